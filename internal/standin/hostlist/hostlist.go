// Package hostlist is a stand-in of the platform's lagging list of hosts.
package hostlist

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

// hostAnswer is one host as the platform lists it.
type hostAnswer struct {
	ID           string `json:"id"`
	Kind         string `json:"kind"`
	Address      string `json:"address"`
	DataCentre   string `json:"data-centre"`
	FabricDomain string `json:"fabric-domain"`
	Service      string `json:"service"`
	Leaving      bool   `json:"leaving"`
}

// change is a change that readers see after the lag.
type change struct {
	at      time.Time
	id      fuchsiapitch.ServerID
	host    hostAnswer
	removed bool
}

// HostList keeps the list. Readers see each change after a lag.
type HostList struct {
	lag time.Duration

	mu      sync.Mutex
	hosts   map[fuchsiapitch.ServerID]hostAnswer
	pending []change
}

// New returns an empty list that shows each change after a lag.
func New(lag time.Duration) *HostList {
	return &HostList{lag: lag, hosts: make(map[fuchsiapitch.ServerID]hostAnswer)}
}

// Listen serves the list. It returns a clean-up function.
func (h *HostList) Listen() (*faulter.Server, func(), error) {
	m := http.NewServeMux()
	m.HandleFunc("GET /hosts", h.handleHosts)
	return faulter.Start(m)
}

// Put lists a backend server, or changes its entry.
func (h *HostList) Put(b fuchsiapitch.BackendServer) {
	kind := "engine"
	if b.Kind() == fuchsiapitch.ApplicationServer {
		kind = "application"
	}
	h.add(change{at: time.Now(), id: b.ID(), host: hostAnswer{
		ID: string(b.ID()), Kind: kind, Address: b.Address(), DataCentre: string(b.DataCentre()),
		FabricDomain: string(b.FabricDomain()), Service: string(b.Service()), Leaving: b.Leaving(),
	}})
}

// PutNow lists a backend server without the lag.
func (h *HostList) PutNow(b fuchsiapitch.BackendServer) {
	h.Put(b)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[len(h.pending)-1].at = time.Time{}
}

// Remove drops a backend server from the list.
func (h *HostList) Remove(id fuchsiapitch.ServerID) {
	h.add(change{at: time.Now(), id: id, removed: true})
}

func (h *HostList) add(c change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, c)
}

// visible returns the list as readers see it now, in the order of identifiers.
func (h *HostList) visible(now time.Time) []hostAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.pending) > 0 && now.Sub(h.pending[0].at) >= h.lag {
		c := h.pending[0]
		h.pending = h.pending[1:]
		h.hosts[c.id] = c.host
		if c.removed {
			delete(h.hosts, c.id)
		}
	}
	list := make([]hostAnswer, 0, len(h.hosts))
	for _, id := range slices.Sorted(maps.Keys(h.hosts)) {
		list = append(list, h.hosts[id])
	}
	return list
}

func (h *HostList) handleHosts(w http.ResponseWriter, r *http.Request) {
	data, err := json.Marshal(h.visible(time.Now()))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 36))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
