package orderer

import "github.com/fuchsiapitch/fuchsiapitch"

const (
	entityTagHeader   = "ETag"
	ifNoneMatchHeader = "If-None-Match"
	// maxCachedStatuses is the maximum number of cached engine statuses.
	maxCachedStatuses = 4096
)

// cachedStatus is the status of an engine with the entity tag that the engine set.
type cachedStatus struct {
	entityTag string
	address   string
	status    fuchsiapitch.EngineStatus
}

// loadCache returns the cached status of a server, and whether there is one from its
// current address.
func (o *Orderer) loadCache(server fuchsiapitch.BackendServer) (cachedStatus, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	entry, ok := o.cachedStatuses[server.ID()]
	return entry, ok && entry.address == server.Address()
}

// storeCache caches a status if it has an entity tag. When the cache is full, it is
// cleared, which costs one full response for each evicted server.
func (o *Orderer) storeCache(server fuchsiapitch.BackendServer, entityTag string, status fuchsiapitch.EngineStatus) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.cachedStatuses) >= maxCachedStatuses {
		clear(o.cachedStatuses)
	}
	if entityTag == "" {
		delete(o.cachedStatuses, server.ID())
		return
	}
	o.cachedStatuses[server.ID()] = cachedStatus{entityTag: entityTag, address: server.Address(), status: status}
}
