package orderer

import "github.com/fuchsiapitch/fuchsiapitch"

const (
	entityTagHeader = "ETag"
	matchHeader     = "If-None-Match"
	// rememberLimit is the largest number of accounts that are remembered.
	rememberLimit = 4096
)

// tagged is an account with the entity tag that its engine gave it.
type tagged struct {
	tag     string
	address string
	account fuchsiapitch.EngineStatus
}

// remembered returns the last account of a server at its address.
func (o *Orderer) remembered(server fuchsiapitch.BackendServer) (tagged, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	t, ok := o.accounts[server.ID()]
	return t, ok && t.address == server.Address()
}

// remember keeps an account with an entity tag. Beyond the limit all earlier
// ones are forgotten, which costs a whole answer each.
func (o *Orderer) remember(server fuchsiapitch.BackendServer, tag string, account fuchsiapitch.EngineStatus) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.accounts) >= rememberLimit {
		clear(o.accounts)
	}
	if tag == "" {
		delete(o.accounts, server.ID())
		return
	}
	o.accounts[server.ID()] = tagged{tag: tag, address: server.Address(), account: account}
}
