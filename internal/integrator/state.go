package integrator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// statePath answers other hosts with what this one knows from the store.
	statePath = "/state"
	// stateLimit is the time for an answer with the state, which is a megabyte for
	// some thousand routes.
	stateLimit = time.Second
	// stateDelay is the time that the store has to answer a host that starts: five
	// times that of a slow one.
	stateDelay = 500 * time.Millisecond
	// statePause is the time between two rounds of questions to the hosts that are
	// heard, each of which sends a heartbeat every tenth of a second.
	statePause = 150 * time.Millisecond
	// stateBytes is the largest state that is read.
	stateBytes = 16 << 20
)

// hostState is what a host knows from the store, in the words of the platform.
type hostState struct {
	Configuration []byte            `json:"configuration"`
	Servers       map[string][]byte `json:"servers"`
}

// StateError reports that the state of another host cannot be used.
type StateError struct {
	// Host is the address of the other host.
	Host string
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *StateError) Error() string { return "state of " + e.Host + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *StateError) Unwrap() error { return e.Err }

func decodeState(host string, data []byte) (hostState, error) {
	var s hostState
	if err := json.Unmarshal(data, &s); err != nil {
		return hostState{}, &StateError{Host: host, Err: err}
	}
	return s, nil
}

// note keeps records of the store for other hosts.
func (h *Host) note(u tracker.Update, servers bool) {
	h.stateMutex.Lock()
	defer h.stateMutex.Unlock()
	if servers && u.Whole || h.state.Servers == nil {
		h.state.Servers = make(map[string][]byte)
	}
	for _, i := range u.Items {
		switch {
		case !servers && i.Key == platform.ConfigurationKey && !i.Dropped():
			h.state.Configuration = i.Value
		case servers && i.Dropped():
			delete(h.state.Servers, i.Key)
		case servers:
			h.state.Servers[i.Key] = i.Value
		}
	}
}

// serveState answers another host.
func (h *Host) serveState(w http.ResponseWriter, _ *http.Request) {
	h.stateMutex.Lock()
	data, err := json.Marshal(h.state)
	h.stateMutex.Unlock()
	if err != nil || h.relayer.Table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}

// listenToHosts serves other hosts at the address for heartbeats.
func (h *Host) listenToHosts(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", h.self.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(statePath, h.serveState)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit, WriteTimeout: headerLimit}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		ends := []error{server.Close(), <-ended}
		h.log.Debug().Errs("ends", ends).Msg("other hosts are served no more")
		return ctx.Err()
	}
}

// catchUp asks the hosts that are heard for the configuration and the servers, as
// long as the store has told neither: a host may start while it is cut off from the
// store.
func (h *Host) catchUp(ctx context.Context) error {
	for wait := stateDelay; ctx.Err() == nil && h.relayer.Table() == nil; wait = statePause {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			continue
		}
		peer, ok := h.bestInformed()
		if !ok || h.relayer.Table() != nil {
			continue
		}
		if err := h.askState(ctx, peer.Address); err != nil {
			h.log.Info().Err(err).Msg("another host does not tell its state")
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// bestInformed returns the host that is heard and has the latest configuration.
func (h *Host) bestInformed() (conductor.PeerView, bool) {
	var best conductor.PeerView
	for _, p := range h.driver.View().Peers {
		if p.Live && p.Version > best.Version {
			best = p
		}
	}
	return best, best.Version > 0
}

func (h *Host) askState(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, stateLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statePath, http.NoBody)
	if err != nil {
		return &StateError{Host: address, Err: err}
	}
	response, err := h.hosts.RoundTrip(request)
	if err != nil {
		return &StateError{Host: address, Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, stateBytes))
	if err != nil {
		return &StateError{Host: address, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil
	}
	s, err := decodeState(address, data)
	if err != nil {
		return err
	}
	h.takeState(s)
	return nil
}

// takeState takes in what another host knows. The list of servers counts as that of
// a store that cannot be read.
func (h *Host) takeState(s hostState) {
	if !h.listed.Load() {
		var list []fuchsiapitch.ServerReport
		for id, value := range s.Servers {
			if r, err := platform.DecodeServer(id, value); err == nil {
				list = append(list, r)
			} else {
				h.log.Warn().Err(err).Msg("entry names no server")
			}
		}
		h.driver.Apply(conductor.ServersListed{Servers: list})
		h.driver.Apply(conductor.StoreFailed{})
		h.listed.Store(true)
	}
	h.log.Info().Int("servers", len(s.Servers)).Msg("state of another host is taken")
	h.takeConfiguration(tracker.Update{Items: []platform.Item{{Key: platform.ConfigurationKey, Value: s.Configuration}}})
}
