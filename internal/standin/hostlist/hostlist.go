// Package hostlist is a stand-in for the platform's host list, which shows changes
// with a lag.
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

// serverEntry is the JSON form of one backend server in the list.
type serverEntry struct {
	ID           string `json:"id"`
	Kind         string `json:"kind"`
	Address      string `json:"address"`
	DataCentre   string `json:"data-centre"`
	FabricDomain string `json:"fabric-domain"`
	Service      string `json:"service"`
	Leaving      bool   `json:"leaving"`
}

// pendingChange is a change that readers do not see until the lag has passed.
type pendingChange struct {
	madeAt    time.Time
	serverID  fuchsiapitch.ServerID
	entry     serverEntry
	isRemoval bool
}

// HostList holds the list and the changes that are not visible yet.
type HostList struct {
	lag time.Duration

	mu             sync.Mutex
	entries        map[fuchsiapitch.ServerID]serverEntry
	pendingChanges []pendingChange
}

// New returns an empty list. Each change becomes visible to readers after the lag.
func New(lag time.Duration) *HostList {
	return &HostList{lag: lag, entries: make(map[fuchsiapitch.ServerID]serverEntry)}
}

// Listen serves the list over HTTP on a loopback port. The returned function closes
// the server.
func (h *HostList) Listen() (*faulter.Server, func(), error) {
	m := http.NewServeMux()
	m.HandleFunc("GET /hosts", h.handleHosts)
	return faulter.Start(m)
}

// Put adds a backend server to the list or replaces its entry, after the lag.
func (h *HostList) Put(b fuchsiapitch.BackendServer) {
	kind := "engine"
	if b.Kind() == fuchsiapitch.ApplicationServer {
		kind = "application"
	}
	h.addPending(pendingChange{madeAt: time.Now(), serverID: b.ID(), entry: serverEntry{
		ID: string(b.ID()), Kind: kind, Address: b.Address(), DataCentre: string(b.DataCentre()),
		FabricDomain: string(b.FabricDomain()), Service: string(b.Service()), Leaving: b.Leaving(),
	}})
}

// PutNow is Put without the lag. The change still waits for earlier changes that are
// pending.
func (h *HostList) PutNow(b fuchsiapitch.BackendServer) {
	h.Put(b)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingChanges[len(h.pendingChanges)-1].madeAt = time.Time{}
}

// Remove removes a backend server from the list, after the lag.
func (h *HostList) Remove(id fuchsiapitch.ServerID) {
	h.addPending(pendingChange{madeAt: time.Now(), serverID: id, isRemoval: true})
}

func (h *HostList) addPending(c pendingChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingChanges = append(h.pendingChanges, c)
}

// visibleEntries applies the changes whose lag has passed and returns the list that
// readers see, sorted by identifier.
func (h *HostList) visibleEntries(now time.Time) []serverEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.pendingChanges) > 0 && now.Sub(h.pendingChanges[0].madeAt) >= h.lag {
		c := h.pendingChanges[0]
		h.pendingChanges = h.pendingChanges[1:]
		h.entries[c.serverID] = c.entry
		if c.isRemoval {
			delete(h.entries, c.serverID)
		}
	}
	sorted := make([]serverEntry, 0, len(h.entries))
	for _, id := range slices.Sorted(maps.Keys(h.entries)) {
		sorted = append(sorted, h.entries[id])
	}
	return sorted
}

func (h *HostList) handleHosts(w http.ResponseWriter, r *http.Request) {
	data, err := json.Marshal(h.visibleEntries(time.Now()))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 36))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
