// Package lister is an HTTP client of the platform's host list. It implements
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
	systemName         = "host list"
	readAction         = "list"
	maxResponseBytes   = 64 << 20
	defaultReadTimeout = 3 * time.Second

	entityTagHeader   = "ETag"
	ifNoneMatchHeader = "If-None-Match"
)

// Lister is a client of the host list. It caches the last list with its entity
// tag, and revalidates it with a conditional request.
type Lister struct {
	address     string
	readTimeout time.Duration
	requester   *requester.Requester

	mutex sync.Mutex
	// entityTag is the entity tag of cachedServers, "" if the response had none.
	entityTag     string
	cachedServers []fuchsiapitch.BackendServer
}

// Option sets one optional property of a lister.
type Option func(*Lister)

// New returns a client of the host list at an IP address and port. A read times out
// after 3 s without a byte. The returned function closes the idle connections.
func New(address string, options ...Option) (*Lister, func()) {
	client, closeConnections := requester.New(maxResponseBytes)
	l := &Lister{address: address, readTimeout: defaultReadTimeout, requester: client}
	for _, o := range options {
		o(l)
	}
	return l, closeConnections
}

// BackendServers implements fuchsiapitch.HostList. If the platform sets entity tags,
// it does not send an unchanged list again, and the cached one is returned.
func (l *Lister) BackendServers(ctx context.Context) ([]fuchsiapitch.BackendServer, error) {
	etag, cachedServers := l.loadCache()
	header := map[string]string{}
	if etag != "" {
		header[ifNoneMatchHeader] = etag
	}
	response, err := l.requester.Send(ctx, requester.Request{
		Method: http.MethodGet, URL: "http://" + l.address + "/hosts", Header: header, Timeout: l.readTimeout,
	})
	if err != nil {
		return nil, unavailableError(err)
	}
	if response.Status == http.StatusNotModified && etag != "" {
		return cachedServers, nil
	}
	if response.Status != http.StatusOK {
		return nil, unavailableError(&requester.StatusError{Status: response.Status})
	}
	servers, err := decodeServers(response.Body)
	if err != nil {
		return nil, unavailableError(err)
	}
	l.storeCache(response.Header.Get(entityTagHeader), servers)
	return servers, nil
}

func (l *Lister) loadCache() (string, []fuchsiapitch.BackendServer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.entityTag, l.cachedServers
}

func (l *Lister) storeCache(etag string, servers []fuchsiapitch.BackendServer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entityTag, l.cachedServers = etag, servers
}

func unavailableError(err error) error {
	return &fuchsiapitch.UnavailableError{System: systemName, Action: readAction, Err: err}
}

// hostEntry is the JSON form of one host in the list.
type hostEntry struct {
	ID           string `json:"id"`
	Kind         string `json:"kind"`
	Address      string `json:"address"`
	DataCentre   string `json:"data-centre"`
	FabricDomain string `json:"fabric-domain"`
	Service      string `json:"service"`
	Leaving      bool   `json:"leaving"`
}

// InvalidEntryError reports an entry of the host list with an invalid field.
type InvalidEntryError struct {
	// HostID is the identifier in the entry. It may be empty.
	HostID string
	// Field names the invalid field.
	Field string
}

// Error implements error.
func (e *InvalidEntryError) Error() string {
	return "host list entry for host " + e.HostID + " has an invalid " + e.Field
}

func decodeServers(data []byte) ([]fuchsiapitch.BackendServer, error) {
	var hosts []hostEntry
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, err
	}
	servers := make([]fuchsiapitch.BackendServer, 0, len(hosts))
	for _, h := range hosts {
		server, err := h.backendServer()
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

func (h hostEntry) backendServer() (fuchsiapitch.BackendServer, error) {
	kindsByName := map[string]fuchsiapitch.ServerKind{
		"engine": fuchsiapitch.EngineServer, "application": fuchsiapitch.ApplicationServer,
	}
	kind, ok := kindsByName[h.Kind]
	if !ok {
		return fuchsiapitch.BackendServer{}, &InvalidEntryError{HostID: h.ID, Field: "kind"}
	}
	if h.ID == "" {
		return fuchsiapitch.BackendServer{}, &InvalidEntryError{HostID: h.ID, Field: "id"}
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fuchsiapitch.BackendServer{}, &InvalidEntryError{HostID: h.ID, Field: "address"}
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
