// Package lister reads the platform's host list over HTTP. It implements
// fuchsiapitch.HostList.
package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/requester"
)

const (
	system         = "host list"
	action         = "list"
	maxAnswerBytes = 64 << 20
	defaultTimeout = 3 * time.Second

	entityTagHeader = "ETag"
	matchHeader     = "If-None-Match"
)

// Lister is a client of the host list.
type Lister struct {
	address   string
	timeout   time.Duration
	requester *requester.Requester

	mu        sync.Mutex
	entityTag string
	last      []fuchsiapitch.BackendServer
}

// Option sets one optional property of a lister.
type Option func(*Lister)

// New returns a client of the host list at an IP number and port. Without
// options a read may take 3 s. The clean-up function closes the kept
// connections.
func New(address string, options ...Option) (*Lister, func()) {
	q, cleanUp := requester.New(maxAnswerBytes)
	l := &Lister{address: address, timeout: defaultTimeout, requester: q}
	for _, o := range options {
		o(l)
	}
	return l, cleanUp
}

// BackendServers implements fuchsiapitch.HostList. A list that has not changed
// is not sent again by a platform that sets entity tags.
func (l *Lister) BackendServers(ctx context.Context) ([]fuchsiapitch.BackendServer, error) {
	tag, last := l.known()
	header := map[string]string{}
	if tag != "" {
		header[matchHeader] = tag
	}
	answer, err := l.requester.Send(ctx, requester.Request{
		Method: http.MethodGet, URL: "http://" + l.address + "/hosts", Header: header, Timeout: l.timeout,
	})
	if err != nil {
		return nil, unavailable(err)
	}
	if answer.Status == http.StatusNotModified && tag != "" {
		return last, nil
	}
	if answer.Status != http.StatusOK {
		return nil, unavailable(&requester.StatusError{Status: answer.Status})
	}
	servers, err := decode(answer.Body)
	if err != nil {
		return nil, unavailable(err)
	}
	l.remember(answer.Header.Get(entityTagHeader), servers)
	return servers, nil
}

func (l *Lister) known() (string, []fuchsiapitch.BackendServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entityTag, l.last
}

func (l *Lister) remember(tag string, servers []fuchsiapitch.BackendServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entityTag, l.last = tag, servers
}

func unavailable(err error) error {
	return &fuchsiapitch.UnavailableError{System: system, Action: action, Err: err}
}

// hostAnswer is one listed host in its wire form.
type hostAnswer struct {
	ID           string `json:"id"`
	Kind         string `json:"kind"`
	Address      string `json:"address"`
	DataCentre   string `json:"data-centre"`
	FabricDomain string `json:"fabric-domain"`
	Service      string `json:"service"`
	Leaving      bool   `json:"leaving"`
}

// EntryError reports an entry of the list that makes no sense.
type EntryError struct {
	// ID is the identifier in the entry.
	ID string
	// Field names the field in question.
	Field string
}

// Error implements error.
func (e *EntryError) Error() string {
	return "the entry of host " + e.ID + " has no valid " + e.Field
}

func decode(data []byte) ([]fuchsiapitch.BackendServer, error) {
	var hosts []hostAnswer
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, err
	}
	servers := make([]fuchsiapitch.BackendServer, 0, len(hosts))
	for _, h := range hosts {
		b, err := h.backendServer()
		if err != nil {
			return nil, err
		}
		servers = append(servers, b)
	}
	return servers, nil
}

func (h hostAnswer) backendServer() (fuchsiapitch.BackendServer, error) {
	kinds := map[string]fuchsiapitch.ServerKind{
		"engine": fuchsiapitch.EngineServer, "application": fuchsiapitch.ApplicationServer,
	}
	kind, ok := kinds[h.Kind]
	if !ok {
		return fuchsiapitch.BackendServer{}, &EntryError{ID: h.ID, Field: "kind"}
	}
	if h.ID == "" {
		return fuchsiapitch.BackendServer{}, &EntryError{ID: h.ID, Field: "id"}
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fuchsiapitch.BackendServer{}, &EntryError{ID: h.ID, Field: "address"}
	}
	options := []fuchsiapitch.BackendServerOption{
		fuchsiapitch.WithFabricDomain(fuchsiapitch.FabricDomainName(h.FabricDomain)),
		fuchsiapitch.WithApplicationService(fuchsiapitch.ServiceName(h.Service)),
	}
	if h.Leaving {
		options = append(options, fuchsiapitch.WithServerLeaving())
	}
	return fuchsiapitch.NewBackendServer(fuchsiapitch.ServerID(h.ID), kind, h.Address,
		fuchsiapitch.DataCentreName(h.DataCentre), options...), nil
}
