package platformassembler

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// serverListPath is the path at which other hosts get this host's list of servers, if it ends
	// after the position in the query.
	serverListPath, positionQuery = "/servers", "after"
	// serverListTimeout is the age of the own list from which on a host uses those of other hosts.
	// The store may refuse single hosts. A server that drains must stop getting new requests within
	// this time.
	serverListTimeout = 2 * time.Second
	// maxListSources is the number of hosts that are asked in turn, as the store may refuse some of
	// them as well.
	maxListSources = 3
)

// serverList is a list of servers in the format in which hosts send it to each other.
type serverList struct {
	// Position is the end of the list in the store.
	Position int64             `json:"position"`
	Servers  map[string][]byte `json:"servers"`
}

// decodeServers decodes the records of a list. Invalid ones are left out.
func (h *Host) decodeServers(values map[string][]byte) []fuchsiapitch.ServerReport {
	reports := make([]fuchsiapitch.ServerReport, 0, len(values))
	for id, value := range values {
		r, err := platform.DecodeServer(id, value)
		if err != nil {
			h.log.Warn().Err(err).Msg("ignoring invalid server record")
			continue
		}
		reports = append(reports, r)
	}
	return reports
}

// serveServerList sends the server list as the store has sent it to this host. It responds with 204 if
// that does not end after the position in the query.
func (h *Host) serveServerList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get(positionQuery), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.stateMutex.Lock()
	isLater := h.state.Servers != nil && h.state.serversPosition > after
	var data []byte
	if isLater {
		data, err = json.Marshal(serverList{Position: h.state.serversPosition, Servers: h.state.Servers})
	}
	h.stateMutex.Unlock()
	switch {
	case err != nil:
		h.log.Error().Err(err).Msg("failed to encode the server list for another host")
		w.WriteHeader(http.StatusInternalServerError)
		return
	case !isLater:
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := writeWithDeadline(w, data); err != nil {
		h.log.Info().Err(err).Msg("another host did not receive the server list")
	}
}

// ownServerList returns the end of the list that this host has read in the store, and whether it has
// read it lately.
func (h *Host) ownServerList(now time.Time) (position int64, isCurrent bool) {
	h.stateMutex.Lock()
	defer h.stateMutex.Unlock()
	return h.state.serversPosition, now.Sub(h.state.serversReadAt) < serverListTimeout
}

// followServerList takes the server list from other hosts while this host cannot read it in the store.
// In a large cluster only relays and the controller do so: the others get directories.
func (h *Host) followServerList(ctx context.Context) error {
	heard := int64(0)
	isFollowing := false
	for pause := serverListTimeout; ctx.Err() == nil; pause = serverListInterval/2 + rand.N(serverListInterval) {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			continue
		}
		position, isCurrent := h.ownServerList(time.Now())
		if isCurrent || !h.driver.ServesServerList() {
			isFollowing = false
			continue
		}
		list, address, ok := h.fetchServerList(ctx, max(position, heard))
		if !ok {
			continue
		}
		if !isFollowing {
			h.log.Warn().Str("peer", address).Msg("using the server lists of other hosts, as the store does not send it")
		}
		isFollowing, heard = true, list.Position
		h.driver.Apply(coordinator.ServersHeard{Servers: h.decodeServers(list.Servers), Offset: list.Position})
		h.serverListKnown.Store(true)
	}
	return ctx.Err()
}

// fetchServerList fetches a list that ends after a position from one of the live hosts, relays first, since
// most members read none. It returns false if it finds none.
func (h *Host) fetchServerList(ctx context.Context, after int64) (list serverList, address string, ok bool) {
	peers := h.driver.View().Peers
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b coordinator.PeerView) int {
		switch {
		case a.IsRelay == b.IsRelay:
			return 0
		case a.IsRelay:
			return -1
		}
		return 1
	})
	asked := 0
	for _, p := range peers {
		if !p.IsLive || asked >= maxListSources {
			continue
		}
		asked++
		list, err := h.requestServerList(ctx, p.Address, after)
		if err != nil {
			h.log.Info().Err(err).Msg("failed to fetch the server list of another host")
			continue
		}
		if list.Position > after {
			return list, p.Address, true
		}
	}
	return serverList{}, "", false
}

// requestServerList requests the list of another host. It returns an empty one if that does not end after
// a position. Its error is a StateError.
func (h *Host) requestServerList(ctx context.Context, address string, after int64) (serverList, error) {
	data, err := h.requestFromPeer(ctx, address, serverListPath+"?"+positionQuery+"="+strconv.FormatInt(after, 10))
	if err != nil || len(data) == 0 {
		return serverList{}, err
	}
	var list serverList
	if err := json.Unmarshal(data, &list); err != nil {
		return serverList{}, &StateError{PeerAddress: address, Err: err}
	}
	return list, nil
}
