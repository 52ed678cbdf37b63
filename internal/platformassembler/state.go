package platformassembler

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/internal/watcher"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// statePath is the path at which other hosts get this host's copy of the store.
	statePath = "/state"
	// stateTimeout bounds the time until the first byte of another host's state, and then
	// the time without progress. The size is a megabyte for a few thousand routes.
	stateTimeout = time.Second
	// initialStateDelay is how long a starting host waits for the store before it
	// asks other hosts: five times the response time of a slow store.
	initialStateDelay = 500 * time.Millisecond
	// stateRetryInterval is the time between two requests for the state. Each live
	// host sends a heartbeat every 100 ms, so that one of each arrives in between.
	stateRetryInterval = 150 * time.Millisecond
	// stateChunkBytes is how much of the state must be sent within stateTimeout.
	stateChunkBytes = 16 << 10
	// maxStateBytes bounds how much of a response with the state is read.
	maxStateBytes = 16 << 20
)

// hostState is a host's copy of the configuration and the server records in the
// store. The values are in the platform's format.
type hostState struct {
	Configuration []byte            `json:"configuration"`
	Servers       map[string][]byte `json:"servers"`
	// Hosts are the records of the hosts topic, Evacuations what the host knows of the
	// operator's evacuations.
	Hosts       map[string][]byte `json:"hosts,omitempty"`
	Evacuations []evacuationState `json:"evacuations,omitempty"`
	// serversPosition is the end of the list of servers, serversReadAt when it was last read in the
	// store, the zero time if it was not. They are not sent.
	serversPosition int64
	serversReadAt   time.Time
}

// StateError reports that the state of another host could not be fetched or decoded.
type StateError struct {
	// PeerAddress is the address of the other host.
	PeerAddress string
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *StateError) Error() string {
	return "getting the state of host " + e.PeerAddress + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *StateError) Unwrap() error { return e.Err }

func decodeState(peerAddress string, data []byte) (hostState, error) {
	var s hostState
	if err := json.Unmarshal(data, &s); err != nil {
		return hostState{}, &StateError{PeerAddress: peerAddress, Err: err}
	}
	return s, nil
}

// cacheServers updates the state for other hosts with records of the servers topic.
func (h *Host) cacheServers(u tracker.Update) {
	h.stateMutex.Lock()
	defer h.stateMutex.Unlock()
	if u.IsSnapshot || h.state.Servers == nil {
		h.state.Servers = make(map[string][]byte)
	}
	h.state.serversPosition, h.state.serversReadAt = u.Position(), time.Now()
	for _, r := range u.Records {
		if r.IsTombstone() {
			delete(h.state.Servers, r.Key)
			continue
		}
		h.state.Servers[r.Key] = r.Value
	}
}

// serveState sends the state to another host. It responds with 503 as long as this
// host has no configuration.
func (h *Host) serveState(w http.ResponseWriter, _ *http.Request) {
	evacuations := encodeEvacuations(h.driver.View().Evacuations)
	h.stateMutex.Lock()
	state := h.state
	state.Evacuations = evacuations
	data, err := json.Marshal(state)
	h.stateMutex.Unlock()
	if err != nil {
		h.log.Error().Err(err).Msg("failed to encode the state for another host")
	}
	if err != nil || h.relayer.Routes() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := writeWithDeadline(w, data); err != nil {
		h.log.Info().Err(err).Msg("another host did not receive the state")
	}
}

// writeWithDeadline writes a response body. Each chunk must be sent within stateTimeout.
func writeWithDeadline(w http.ResponseWriter, data []byte) error {
	controller := http.NewResponseController(w)
	for chunk := range slices.Chunk(data, stateChunkBytes) {
		if err := controller.SetWriteDeadline(time.Now().Add(stateTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return controller.SetWriteDeadline(time.Now().Add(stateTimeout))
}

// peerHandler returns the handler of requests of other hosts.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(statePath, h.serveState)
	mux.HandleFunc(configurationPath, h.serveConfiguration)
	mux.HandleFunc(serverListPath, h.serveServerList)
	return mux
}

// servePeers serves HTTP requests of other hosts. It listens on the TCP port with the
// number of the UDP port for heartbeats.
func (h *Host) servePeers(ctx context.Context) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp4", h.self.Address)
	if err != nil {
		return err
	}
	server := h.newInternalServer(h.peerHandler())
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(listener) }()
	select {
	case err := <-serveResult:
		return err
	case <-ctx.Done():
		closeErrors := []error{server.Close(), <-serveResult}
		h.log.Debug().Errs("ends", closeErrors).Msg("server for other hosts stopped")
		return ctx.Err()
	}
}

// fetchInitialState fetches the configuration and the server list from a live host,
// as long as this host has no configuration. A host may start while the store is
// unreachable for it.
func (h *Host) fetchInitialState(ctx context.Context) error {
	for delay := initialStateDelay; ctx.Err() == nil && h.relayer.Routes() == nil; delay = stateRetryInterval {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			continue
		}
		peer, ok := pickStateSource(h.driver.View().Peers)
		if !ok || h.relayer.Routes() != nil {
			continue
		}
		if err := h.fetchState(ctx, peer.Address); err != nil {
			h.log.Info().Err(err).Msg("failed to fetch the state of another host")
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// pickStateSource chooses at random among the live hosts with the latest configuration, so
// that hosts that start together spread over them. It returns false if no live host has a
// configuration.
func pickStateSource(peers []coordinator.PeerView) (coordinator.PeerView, bool) {
	var latest []coordinator.PeerView
	version := int64(1)
	for _, p := range peers {
		if !p.IsLive || p.ConfigurationVersion < version {
			continue
		}
		if p.ConfigurationVersion > version {
			latest, version = nil, p.ConfigurationVersion
		}
		latest = append(latest, p)
	}
	if len(latest) == 0 {
		return coordinator.PeerView{}, false
	}
	return latest[rand.IntN(len(latest))], true
}

func (h *Host) fetchState(ctx context.Context, address string) error {
	s, err := h.requestState(ctx, address)
	if err != nil {
		return err
	}
	h.applyState(s)
	return nil
}

// requestState requests the state of another host.
func (h *Host) requestState(ctx context.Context, address string) (hostState, error) {
	data, err := h.requestFromPeer(ctx, address, statePath)
	if err != nil {
		return hostState{}, err
	}
	return decodeState(address, data)
}

// requestFromPeer sends a request to another host and returns the body of the response, which is empty
// if the status is 204. Its error is a StateError.
func (h *Host) requestFromPeer(ctx context.Context, address, pathAndQuery string) ([]byte, error) {
	ctx, w, stop := watcher.New(ctx, "host "+address, stateTimeout, stateTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathAndQuery, http.NoBody)
	if err != nil {
		return nil, &StateError{PeerAddress: address, Err: err}
	}
	response, err := h.peerTransport.RoundTrip(request)
	if err != nil {
		return nil, &StateError{PeerAddress: address, Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(w.Watch(io.LimitReader(response.Body, maxStateBytes)))
	if err != nil {
		return nil, &StateError{PeerAddress: address, Err: err}
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		return nil, &StateError{PeerAddress: address, Err: &platform.StatusError{Action: request.URL.Path, Status: response.StatusCode}}
	}
	return data, nil
}

// applyState applies the state of another host. Its server list is used only if this
// host has none yet, and is treated as stale, as after a failed read of the store.
func (h *Host) applyState(s hostState) {
	h.driver.Apply(coordinator.EvacuationsHeard{News: decodeEvacuations(s.Evacuations)})
	if len(s.Hosts) > 0 {
		h.applyHostList(tracker.Update{Records: encodeHosts(s.Hosts)})
	}
	// In a large cluster most hosts have read no list that they could give.
	if !h.serverListKnown.Load() && len(s.Servers) > 0 {
		h.driver.Apply(coordinator.ServersListed{Servers: h.decodeServers(s.Servers)})
		h.driver.Apply(coordinator.StoreReadFailed{})
		h.serverListKnown.Store(true)
	}
	h.log.Info().Int("servers", len(s.Servers)).Msg("applying the state fetched from another host")
	h.applyConfiguration(s.Configuration, hostSource)
}
