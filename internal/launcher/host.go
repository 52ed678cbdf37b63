package launcher

import (
	"context"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
)

// The listeners of a host.
const (
	callers = iota
	peers
	operators
	listenerCount
)

// Host is one entry host, which may be down.
type Host struct {
	cluster     *Cluster
	id          fuchsiapitch.HostID
	centre      fuchsiapitch.DataCentreName
	addresses   [listenerCount]string
	listeners   assembler.Listeners
	incarnation uint64
	entry       *assembler.EntryHost
	cancel      context.CancelFunc
	ended       chan error
	cleanUps    []func()
	err         error
	down        bool
}

// ID returns the identifier of the host.
func (h *Host) ID() fuchsiapitch.HostID { return h.id }

// DataCentre returns the data centre of the host.
func (h *Host) DataCentre() fuchsiapitch.DataCentreName { return h.centre }

// Entry returns the entry host of the newest incarnation.
func (h *Host) Entry() *assembler.EntryHost { return h.entry }

// URL returns the base URL for callers, which stays the same over restarts.
func (h *Host) URL() string { return "http://" + h.addresses[callers] }

// Down reports whether the host has ended and was not restarted.
func (h *Host) Down() bool { return h.down }

// Err returns the error with which the last incarnation ended, nil for none.
func (h *Host) Err() error { return h.err }

func (h *Host) listen() error {
	var err error
	h.listeners, err = listen(&h.addresses)
	if err == nil {
		h.listeners.Peers = h.cluster.wrap(h.listeners.Peers)
	}
	return err
}

// serve starts a new incarnation on the open ports.
func (h *Host) serve() {
	h.incarnation++
	self := fuchsiapitch.NewHost(h.id, h.addresses[peers], h.centre, h.incarnation)
	options := slices.Concat(h.cluster.options, []assembler.Option{
		assembler.WithCandidates(h.cluster.candidates()...),
		assembler.WithViolationHandler(func(*fuchsiapitch.InvariantError) { h.cluster.violations.Add(1) }),
	})
	outside, closeOutside := h.connect()
	entry, closeEntry := assembler.New(self, h.listeners, outside, options...)
	ctx, cancel := context.WithCancel(context.Background())
	h.entry, h.cancel, h.ended, h.down = entry, cancel, make(chan error, 1), false
	h.cleanUps = []func(){closeOutside, closeEntry}
	go func() { h.ended <- entry.Serve(ctx) }()
}

// connect returns clients of the outside systems.
func (h *Host) connect() (assembler.Dependencies, func()) {
	fleet := h.cluster.fleet
	return assembler.Connect(assembler.Addresses{
		Log: fleet.LogAddress(h.centre), HostList: fleet.HostListAddress(), WeightStore: fleet.WeightStoreAddress(),
	})
}

// Kill ends the host at once, as the end of its process does.
func (h *Host) Kill() {
	if h.down {
		return
	}
	h.cancel()
	h.await()
}

// Stop ends the host gracefully and returns once it has ended.
func (h *Host) Stop() {
	if h.down {
		return
	}
	h.entry.Stop()
	h.await()
	h.cancel()
}

func (h *Host) await() {
	h.err = <-h.ended
	h.down = true
	for _, c := range h.cleanUps {
		c()
	}
}

// Restart starts a new incarnation on the same ports.
func (h *Host) Restart() error {
	if !h.down {
		return nil
	}
	if err := h.listen(); err != nil {
		return err
	}
	h.serve()
	return nil
}
