package launcher

import (
	"context"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
)

// Indices of a host's addresses and listeners.
const (
	clientListener = iota
	peerListener
	operatorListener
	listenerCount
)

// Host is one entry host of a cluster. It is down before its first start and after it
// has stopped, until it is restarted.
type Host struct {
	cluster     *Cluster
	id          fuchsiapitch.HostID
	dataCentre  fuchsiapitch.DataCentreName
	addresses   [listenerCount]string
	listeners   assembler.Listeners
	incarnation uint64
	entryHost   *assembler.EntryHost
	cancel      context.CancelFunc
	serveResult chan error
	cleanUps    []func()
	serveError  error
	down        bool
}

// ID returns the identifier of the host.
func (h *Host) ID() fuchsiapitch.HostID { return h.id }

// DataCentre returns the data centre of the host.
func (h *Host) DataCentre() fuchsiapitch.DataCentreName { return h.dataCentre }

// EntryHost returns the entry host of the current or last incarnation.
func (h *Host) EntryHost() *assembler.EntryHost { return h.entryHost }

// URL returns the base URL for clients. It stays the same across restarts.
func (h *Host) URL() string { return "http://" + h.addresses[clientListener] }

// Down reports whether the host has stopped and was not restarted.
func (h *Host) Down() bool { return h.down }

// Err returns the error with which the last incarnation stopped, if any.
func (h *Host) Err() error { return h.serveError }

func (h *Host) openListeners() error {
	var err error
	h.listeners, err = listenAll(&h.addresses)
	if err == nil {
		h.listeners.Peers = h.cluster.wrapPeerListener(h.listeners.Peers)
	}
	return err
}

// startIncarnation starts a new incarnation on the open listeners.
func (h *Host) startIncarnation() {
	h.incarnation++
	self := fuchsiapitch.NewHost(h.id, h.addresses[peerListener], h.dataCentre, h.incarnation)
	options := slices.Concat(h.cluster.hostOptions, []assembler.Option{
		assembler.WithCandidates(h.cluster.membershipCandidates()...),
		assembler.WithViolationHandler(func(*fuchsiapitch.InvariantError) { h.cluster.violations.Add(1) }),
	})
	clients, closeClients := h.connectClients()
	entryHost, closeEntryHost := assembler.New(self, h.listeners, clients, options...)
	ctx, cancel := context.WithCancel(context.Background())
	h.entryHost, h.cancel, h.serveResult, h.down = entryHost, cancel, make(chan error, 1), false
	h.cleanUps = []func(){closeClients, closeEntryHost}
	go func() { h.serveResult <- entryHost.Serve(ctx) }()
}

// connectClients returns clients of the external systems and a function that closes
// them.
func (h *Host) connectClients() (assembler.Dependencies, func()) {
	fleet := h.cluster.fleet
	return assembler.Connect(assembler.Addresses{
		Log: fleet.LogAddress(h.dataCentre), HostList: fleet.HostListAddress(), WeightStore: fleet.WeightStoreAddress(),
	})
}

// Kill stops the host immediately without draining, like a crash of its process.
func (h *Host) Kill() {
	if h.down {
		return
	}
	h.cancel()
	h.awaitStop()
}

// Stop drains and stops the host, and returns once it has stopped.
func (h *Host) Stop() {
	if h.down {
		return
	}
	h.entryHost.Stop()
	h.awaitStop()
	h.cancel()
}

// awaitStop waits until the entry host has stopped and frees its resources.
func (h *Host) awaitStop() {
	h.serveError = <-h.serveResult
	h.down = true
	for _, c := range h.cleanUps {
		c()
	}
}

// Restart starts a new incarnation on the same ports if the host is down.
func (h *Host) Restart() error {
	if !h.down {
		return nil
	}
	if err := h.openListeners(); err != nil {
		return err
	}
	h.startIncarnation()
	return nil
}
