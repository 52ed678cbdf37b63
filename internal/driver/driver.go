// Package driver runs the coordinator of a host: it passes events to the coordinator and
// executes the effects that the coordinator returns.
package driver

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

const (
	// tickInterval is the interval between the ticks that the coordinator receives.
	tickInterval = 50 * time.Millisecond
	// probeTimeout bounds the probe of a backend server. A live server responds within
	// a few milliseconds.
	probeTimeout = 200 * time.Millisecond
	// orderTimeout bounds an order to a backend server.
	orderTimeout = 500 * time.Millisecond
	// suspensionThreshold is how far the monotonic clock may fall behind the boot-time
	// clock between two ticks before the process counts as suspended. During a
	// suspension only the boot-time clock advances.
	suspensionThreshold = 300 * time.Millisecond
	// maxConcurrentCalls bounds the calls to backend servers in progress. The time-out of
	// a call begins when it is made, so that a host that has to call hundreds of servers
	// does not take its own backlog for their silence.
	maxConcurrentCalls = 64
	// maxHeartbeatBytes is the size of the largest heartbeat that can be received.
	maxHeartbeatBytes = 64 << 10
)

// ServerClient calls the management interface of backend servers.
type ServerClient interface {
	// Report requests the report of a server.
	Report(ctx context.Context, id fuchsiapitch.ServerID, address string) (fuchsiapitch.ServerReport, error)
	// Identify requests the identifier of the server at an address.
	Identify(ctx context.Context, address string) (fuchsiapitch.ServerID, error)
	// CheckHealth requests the health of the server at an address. It returns the
	// identifier of the server, and whether it is failing or leaves.
	CheckHealth(ctx context.Context, address string) (fuchsiapitch.ServerID, bool, error)
	// Order sends an order to the server that it names.
	Order(ctx context.Context, o fuchsiapitch.GroupOrder) (fuchsiapitch.OrderResult, error)
}

// Claimer appends to the store the claims by which a host becomes the controller.
type Claimer interface {
	// Claim appends a claim of this host if the store holds no claim newer than the
	// previous one, and returns the claim in force afterwards.
	Claim(ctx context.Context, previousClaim int64) (coordinator.ClaimRead, error)
}

// Driver runs the coordinator of one host.
type Driver struct {
	coordinator         *coordinator.Coordinator
	servers             ServerClient
	claimer             Claimer
	socket              net.PacketConn
	log                 zerolog.Logger
	meter               *meter.Meter
	startedAt           time.Time
	bootClock           func() time.Duration
	reloadConfiguration func()
	ctx                 context.Context //nolint:containedctx // Effects run in the background until it ends.

	mutex           sync.Mutex
	lastTicket      coordinator.Ticket
	slots           map[coordinator.Ticket]*Slot
	parsedAddresses map[string]net.Addr
	backgroundTasks sync.WaitGroup
	// callSlots holds a value for each call to a backend server in progress.
	callSlots chan struct{}
}

// Option sets one optional property of a driver.
type Option func(*Driver)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(d *Driver) { d.log = log } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(d *Driver) { d.meter = m } }

// WithConfigurationReload sets a function that starts a reload of the configuration.
// It must not block.
func WithConfigurationReload(reload func()) Option {
	return func(d *Driver) { d.reloadConfiguration = reload }
}

// New returns a driver that sends and receives heartbeats through a socket. The
// effects that it executes are cancelled when the context ends.
func New(ctx context.Context, c *coordinator.Coordinator, servers ServerClient, claimer Claimer, socket net.PacketConn, options ...Option) *Driver {
	d := &Driver{
		coordinator: c, servers: servers, claimer: claimer, socket: socket, log: zerolog.Nop(), meter: meter.New(),
		startedAt: time.Now(), bootClock: bootTime, reloadConfiguration: func() {}, ctx: ctx,
		slots: make(map[coordinator.Ticket]*Slot), parsedAddresses: make(map[string]net.Addr),
		callSlots: make(chan struct{}, maxConcurrentCalls),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// now returns the time since the creation of the driver.
func (d *Driver) now() time.Duration { return time.Since(d.startedAt) }

// SinceStart returns the time from the creation of the driver in New to an instant.
// The creation of the driver is the time base of the coordinator.
func (d *Driver) SinceStart(t time.Time) time.Duration { return t.Sub(d.startedAt) }

// Apply passes an event to the coordinator and executes the effects.
func (d *Driver) Apply(e coordinator.Event) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.applyLocked(e)
}

// LiveHostCount returns the number of live hosts, including this one.
func (d *Driver) LiveHostCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.LiveHostCount(d.now())
}

// Turn returns the position of this host among the hosts of the cluster, and their number.
func (d *Driver) Turn() (rank, hosts int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.Turn(d.now())
}

// NeedsServerList reports whether this host has to read the server list and the claims in the
// store itself.
func (d *Driver) NeedsServerList() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.NeedsServerList(d.now())
}

// NeedsHostList reports whether this host has to read the registered hosts in the store itself.
func (d *Driver) NeedsHostList() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.NeedsHostList(d.now())
}

// KnowsServers reports whether this host has a list or a directory of the backend servers.
func (d *Driver) KnowsServers() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.KnowsServers()
}

// ServesServerList reports whether this host reads the server list for others, or in a small cluster for
// itself.
func (d *Driver) ServesServerList() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.ServesServerList(d.now())
}

// UsesRelays reports whether hosts send their heartbeats to relays.
func (d *Driver) UsesRelays() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.UsesRelays()
}

// View returns a snapshot of the state of the coordinator.
func (d *Driver) View() coordinator.View {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.View(d.now())
}

// applyLocked does the same as Apply. The caller holds the mutex.
func (d *Driver) applyLocked(e coordinator.Event) {
	for _, effect := range d.coordinator.Apply(d.now(), e) {
		d.execute(effect)
	}
}

// execute executes one effect. It does not wait for calls to servers or the store.
// The caller holds the mutex.
func (d *Driver) execute(effect coordinator.Effect) {
	switch e := effect.(type) {
	case coordinator.Grant:
		if s, ok := d.slots[e.Ticket]; ok {
			s.grant = e
			d.meter.ObserveQueueWait(time.Since(s.requestedAt))
			s.decision <- nil
		}
	case coordinator.Refuse:
		if s, ok := d.slots[e.Ticket]; ok {
			delete(d.slots, e.Ticket)
			d.meter.CountSlotRefusal(e.Reason.String())
			s.decision <- &AdmissionError{Reason: e.Reason, RetryAfter: e.RetryAfter}
		}
	case coordinator.Revoke:
		if s, ok := d.slots[e.Ticket]; ok {
			d.meter.CountSlotRevocation()
			s.revoke(e.Quarantined)
		}
	case coordinator.SendHeartbeat:
		d.sendHeartbeat(e)
	case coordinator.SendDigest:
		d.sendDigest(e)
	case coordinator.ProbeServer:
		d.callServer(func() { d.Apply(d.probeServer(e)) })
	case coordinator.SendOrder:
		d.callServer(func() { d.Apply(d.sendOrder(e.Order)) })
	case coordinator.ClaimControl:
		d.runInBackground(func() { d.claimControl(e.PreviousClaim) })
	case coordinator.RereadConfiguration:
		d.reloadConfiguration()
	case coordinator.VerifyServer:
		d.callServer(func() { d.Apply(d.verifyServer(e)) })
	case coordinator.ServerEnded:
		d.reportServerEnd(e)
	case coordinator.PermitUsed:
		d.reportPermitUse(e)
	case coordinator.QuarantineChanged:
		d.reportQuarantine(e)
	case coordinator.ServerSetAside:
		d.reportSetAside(e)
	case coordinator.EvacuationChanged:
		d.reportEvacuation(e)
	case coordinator.GroupLost:
		d.meter.ObserveFailureDetection(e.Silence)
	case coordinator.GroupOpened:
		d.meter.ObserveGroupFormation(e.Elapsed)
		d.log.Info().Str("group", string(e.Group)).Str("model", e.Model).Int64("took-ms", e.Elapsed.Milliseconds()).Msg("group is open")
	case coordinator.WriteLog:
		d.log.Info().Fields(e.Fields).Msg(e.Message)
	}
}

// runInBackground runs a function in a goroutine. Serve waits for it before it
// returns.
func (d *Driver) runInBackground(run func()) {
	d.backgroundTasks.Add(1)
	go func() {
		defer d.backgroundTasks.Done()
		run()
	}()
}

// callServer runs a call to a backend server in a goroutine, once fewer than
// maxConcurrentCalls are in progress.
func (d *Driver) callServer(call func()) {
	d.runInBackground(func() {
		select {
		case d.callSlots <- struct{}{}:
		case <-d.ctx.Done():
			return
		}
		defer func() { <-d.callSlots }()
		call()
	})
}

// probeServer requests the report of a server and returns the result. If the report
// shows a later incarnation than the known one, it also requests the identifier of the
// server, since another server may use the address now. It also requests the health if the
// probe asks for it.
func (d *Driver) probeServer(e coordinator.ProbeServer) coordinator.ProbeCompleted {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	ctx, isSilent := withSilenceDetection(ctx)
	r, err := d.servers.Report(ctx, e.Server, e.Address)
	if err != nil {
		d.log.Info().Str("server", string(e.Server)).Err(err).Msg("could not get report of server")
	}
	d.meter.CountReportRequest(err == nil)
	result := coordinator.ProbeCompleted{Server: e.Server, Report: r, Err: err, Silent: err != nil && isSilent(), Refused: errors.Is(err, syscall.ECONNREFUSED)}
	if err == nil && r.StartedUnixMillis > e.KnownIncarnation {
		if result.IdentifiedAs, err = d.servers.Identify(ctx, e.Address); err != nil {
			d.log.Info().Str("server", string(e.Server)).Err(err).Msg("could not get identifier of server")
		}
	}
	if result.Err == nil && e.ChecksHealth {
		id, unhealthy, err := d.servers.CheckHealth(ctx, e.Address)
		if err != nil {
			d.log.Info().Str("server", string(e.Server)).Err(err).Msg("could not get health of server")
		}
		result.Unhealthy = unhealthy && id == e.Server
	}
	return result
}

// sendOrder sends an order to a server and returns the result.
func (d *Driver) sendOrder(o fuchsiapitch.GroupOrder) coordinator.OrderResultReceived {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	ctx, isSilent := withSilenceDetection(ctx)
	result, err := d.servers.Order(ctx, o)
	if err != nil {
		d.log.Info().Str("server", string(o.Server)).Str("order", o.Kind.String()).Str("answer", result.String()).Err(err).Msg("order failed")
	}
	d.meter.CountOrder(o.Kind.String(), result.String())
	return coordinator.OrderResultReceived{Order: o, Result: result, Silent: err != nil && isSilent()}
}

// claimControl claims the role of the controller from the holder of the previous claim,
// and applies the claim in force afterwards.
func (d *Driver) claimControl(previousClaim int64) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	claim, err := d.claimer.Claim(ctx, previousClaim)
	if err != nil {
		d.log.Info().Err(err).Msg("could not claim control of groups")
		return
	}
	d.Apply(claim)
}

// sendHeartbeat sends a heartbeat to each address.
func (d *Driver) sendHeartbeat(e coordinator.SendHeartbeat) {
	data, err := encodeHeartbeat(e.Heartbeat)
	if err != nil {
		d.log.Error().Err(err).Msg("could not encode heartbeat")
		return
	}
	for _, address := range e.Addresses {
		d.sendDatagram(address, data)
	}
}

// sendDigest sends a digest to each recipient, with the group table and the directory if it lacks
// them.
func (d *Driver) sendDigest(e coordinator.SendDigest) {
	type contents struct{ groups, directory bool }
	encoded := make(map[contents][]byte)
	for _, r := range e.Recipients {
		needed := contents{r.NeedsGroups, r.NeedsDirectory}
		data, ok := encoded[needed]
		if !ok {
			digest := e.Digest
			if r.NeedsGroups {
				digest.Sender.Groups = e.Groups
			}
			if r.NeedsDirectory {
				digest.Directory = e.Directory
			}
			var err error
			if data, err = encodeDigest(digest); err != nil {
				d.log.Error().Err(err).Msg("could not encode digest")
				return
			}
			encoded[needed] = data
		}
		echo, err := encodeEcho(r.EchoedSequence)
		if err != nil {
			d.log.Error().Err(err).Msg("could not encode digest")
			return
		}
		d.sendDatagram(r.Address, append(data[:len(data):len(data)], echo...))
	}
}

// sendDatagram sends a datagram to another host. It may be lost.
func (d *Driver) sendDatagram(address string, data []byte) {
	destination, ok := d.parsedAddresses[address]
	if !ok {
		// A name is not looked up: that could take seconds, in which no event is processed.
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			d.log.Warn().Str("to", address).Err(err).Msg("could not resolve heartbeat address")
			return
		}
		destination = net.UDPAddrFromAddrPort(parsed)
		d.parsedAddresses[address] = destination
	}
	if _, err := d.socket.WriteTo(data, destination); err != nil {
		d.log.Debug().Str("to", address).Err(err).Msg("could not send heartbeat")
	}
}

// Serve passes ticks and received heartbeats to the coordinator until the context
// ends. It implements suture.Service.
func (d *Driver) Serve(ctx context.Context) error {
	receiverDone := make(chan error, 1)
	go func() { receiverDone <- d.receiveHeartbeats(ctx) }()
	defer d.shutDown(receiverDone)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	previousClockGap := d.bootClock() - d.now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			currentClockGap := d.bootClock() - d.now()
			d.tick(currentClockGap - previousClockGap)
			// A reading that was held up between the two clocks is too small.
			previousClockGap = max(previousClockGap, currentClockGap)
		}
	}
}

// shutDown closes the socket, and waits for the receiver of heartbeats and the
// background functions.
func (d *Driver) shutDown(receiverErr <-chan error) {
	if err := d.socket.Close(); err != nil {
		d.log.Warn().Err(err).Msg("could not close heartbeat socket")
	}
	if err := <-receiverErr; !errors.Is(err, context.Canceled) {
		d.log.Warn().Err(err).Msg("heartbeat receiver stopped unexpectedly")
	}
	d.backgroundTasks.Wait()
}

// tick passes a tick to the coordinator, with the time of the last byte from each
// server that handles a request of this host. suspendedFor is how far the monotonic clock
// has fallen behind the boot-time clock since the last tick.
func (d *Driver) tick(suspendedFor time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	lastByteTimes := make(map[fuchsiapitch.ServerID]time.Duration)
	for _, s := range d.slots {
		if at := time.Duration(s.lastByteAt.Load()); at > lastByteTimes[s.grant.Server] {
			lastByteTimes[s.grant.Server] = at
		}
	}
	ticked := coordinator.Ticked{LastByteTimes: lastByteTimes}
	if suspendedFor > suspensionThreshold {
		ticked.WasSuspended, ticked.SuspendedFor = true, suspendedFor
	}
	d.applyLocked(ticked)
}

// receiveHeartbeats passes received heartbeats to the coordinator until the context
// ends and the socket is closed.
func (d *Driver) receiveHeartbeats(ctx context.Context) error {
	buffer := make([]byte, maxHeartbeatBytes)
	for {
		n, _, err := d.socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			d.log.Warn().Err(err).Msg("could not receive heartbeat")
			time.Sleep(tickInterval)
			continue
		}
		event, err := decodeDatagram(buffer[:n])
		if err != nil {
			d.log.Warn().Err(err).Msg("discarded malformed heartbeat")
			continue
		}
		d.Apply(event)
	}
}

// Slot is a slot of a server for one request, requested or granted. decision receives
// nil for a grant, or else an AdmissionError.
type Slot struct {
	driver      *Driver
	ticket      coordinator.Ticket
	requestedAt time.Time
	decision    chan error
	grant       coordinator.Grant
	lastByteAt  atomic.Int64
	onRevoke    func(server fuchsiapitch.ServerID, quarantined bool)
	revoked     bool
	// revokedForQuarantine is true if the slot was revoked because of a quarantine.
	revokedForQuarantine bool
}

// Acquire requests a slot and waits until it is granted or refused. Its error is an
// AdmissionError, or the error of the context.
func (d *Driver) Acquire(ctx context.Context, e coordinator.RequestArrived) (*Slot, error) {
	s := &Slot{driver: d, requestedAt: time.Now(), decision: make(chan error, 1)}
	d.mutex.Lock()
	d.lastTicket++
	s.ticket, e.Ticket = d.lastTicket, d.lastTicket
	d.slots[s.ticket] = s
	d.applyLocked(e)
	d.mutex.Unlock()
	select {
	case err := <-s.decision:
		if err != nil {
			return nil, err
		}
		return s, nil
	case <-ctx.Done():
		s.Release(false, "")
		return nil, ctx.Err()
	}
}

// Ticket returns the ticket of the slot.
func (s *Slot) Ticket() coordinator.Ticket { return s.ticket }

// Server returns the server to which the slot belongs.
func (s *Slot) Server() fuchsiapitch.ServerID { return s.grant.Server }

// Address returns the address of the server.
func (s *Slot) Address() string { return s.grant.Address }

// Urgency returns the urgency of the request at the engine, and whether the server
// is a model engine.
func (s *Slot) Urgency() (int, bool) { return s.grant.Urgency, s.grant.IsEngine }

// OnRevoke sets a function that is called, at most once, when the slot is revoked,
// because its group has been dissolved or is silent, or because a part of the prompt of its
// request is quarantined. It is called at once if the slot is already revoked. It must not
// block.
func (s *Slot) OnRevoke(onRevoke func(server fuchsiapitch.ServerID, quarantined bool)) {
	s.driver.mutex.Lock()
	defer s.driver.mutex.Unlock()
	s.onRevoke = onRevoke
	if s.revoked {
		onRevoke(s.grant.Server, s.revokedForQuarantine)
	}
}

// revoke marks the slot as revoked. The caller holds the mutex of the driver.
func (s *Slot) revoke(quarantined bool) {
	if s.revoked {
		return
	}
	s.revoked, s.revokedForQuarantine = true, quarantined
	if s.onRevoke != nil {
		s.onRevoke(s.grant.Server, quarantined)
	}
}

// RecordActivity records that data has arrived from the server.
func (s *Slot) RecordActivity() { s.lastByteAt.Store(int64(s.driver.now())) }

// RecordResponseStart records that the server has sent the first byte of its
// response.
func (s *Slot) RecordResponseStart() {
	s.RecordActivity()
	s.driver.Apply(coordinator.ResponseStarted{Ticket: s.ticket})
}

// Release releases the slot. failed is true if the server sent no complete response;
// faultyServer is the server named as the cause, "" for none.
func (s *Slot) Release(failed bool, faultyServer fuchsiapitch.ServerID) {
	s.release(coordinator.TicketReleased{Ticket: s.ticket, Failed: failed, FaultyServer: faultyServer})
}

// ReleaseComplete releases the slot of a server whose complete response has arrived.
func (s *Slot) ReleaseComplete() {
	s.release(coordinator.TicketReleased{Ticket: s.ticket, Complete: true})
}

// ReleaseEnded releases the slot of a server that has ended the connection. failed is true if
// that cut the response off, false if the response may be complete.
func (s *Slot) ReleaseEnded(failed bool) {
	s.release(coordinator.TicketReleased{Ticket: s.ticket, Failed: failed, ConnectionEnded: true})
}

// ReleaseUnreachable releases the slot of a server that could not be connected to.
func (s *Slot) ReleaseUnreachable() {
	s.release(coordinator.TicketReleased{Ticket: s.ticket, Failed: true, Unreachable: true})
}

// ReleaseMisdirected releases the slot of a server that is not the one that the
// request was addressed to.
func (s *Slot) ReleaseMisdirected() {
	s.release(coordinator.TicketReleased{Ticket: s.ticket, Failed: true, Misdirected: true})
}

// release removes the slot from the driver and reports the release to the coordinator.
func (s *Slot) release(e coordinator.TicketReleased) {
	d := s.driver
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.slots, s.ticket)
	d.applyLocked(e)
}
