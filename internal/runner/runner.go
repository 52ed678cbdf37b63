// Package runner runs the event loop around the reducer: it passes events to the
// reducer and executes the effects that the reducer returns. One goroutine owns
// the reducer's state.
package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// queueCapacity is the number of entries that the queue holds before Submit,
// OpenRequest and Inspect block.
const queueCapacity = 4096

// queueEntry is one entry in the queue of the event loop: an event, with a
// mailbox if it is the first event of a request, or a function that reads the
// state. inspectDone is closed after that function has returned.
type queueEntry struct {
	event       reducer.Event
	mailbox     *Mailbox
	inspect     func(*reducer.State)
	inspectDone chan struct{}
}

// Runner is the event loop of one entry host and owns the reducer's state.
type Runner struct {
	state           *reducer.State
	clock           fuchsiapitch.Clock
	logger          zerolog.Logger
	meter           *meter.Meter
	dependencies    Dependencies
	queue           chan queueEntry
	mailboxes       map[fuchsiapitch.RequestID]*Mailbox
	cancelFollowers map[fuchsiapitch.StreamName]context.CancelFunc
	workers         *workerGroup
	fetchLimit      fetchLimit
	configuration   atomic.Pointer[fuchsiapitch.Configuration]
	inFlight        atomic.Int64
	violationCount  atomic.Int64
	onViolation     func(*fuchsiapitch.InvariantError)
}

// Dependencies are the clients for the external systems that effects use. The clients of
// the log and of the host list end a call whose bytes do not move; the runner does not
// limit its duration, since a transfer that is cancelled begins again at its first byte.
type Dependencies struct {
	// Log is the platform's append-only log. If it is nil, no stream is followed.
	Log fuchsiapitch.Log
	// HostList is the platform's host list. If it is nil, no list is polled.
	HostList fuchsiapitch.HostList
	// EngineControl probes engines and sends them orders.
	EngineControl fuchsiapitch.EngineControl
	// Transport sends heartbeats to other entry hosts.
	Transport gossiper.Transport
	// SnapshotFetcher fetches the configuration from other entry hosts. If it is
	// nil, every fetch ends with an empty snapshot.
	SnapshotFetcher configurer.SnapshotFetcher
}

// Option sets one optional property of a runner.
type Option func(*Runner)

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option { return func(r *Runner) { r.logger = logger } }

// WithMeter sets the metrics that the runner updates.
func WithMeter(m *meter.Meter) Option { return func(r *Runner) { r.meter = m } }

// WithClock sets the clock for events and deadlines. The default is a
// SystemClock.
func WithClock(clock fuchsiapitch.Clock) Option { return func(r *Runner) { r.clock = clock } }

// WithViolationHandler sets a function that is called for each violation of an
// invariant.
func WithViolationHandler(handle func(*fuchsiapitch.InvariantError)) Option {
	return func(r *Runner) { r.onViolation = handle }
}

// New returns a runner that takes ownership of a state.
func New(state *reducer.State, dependencies Dependencies, options ...Option) *Runner {
	r := &Runner{
		state:           state,
		clock:           NewSystemClock(),
		logger:          zerolog.Nop(),
		meter:           meter.New(),
		dependencies:    dependencies,
		queue:           make(chan queueEntry, queueCapacity),
		mailboxes:       make(map[fuchsiapitch.RequestID]*Mailbox),
		cancelFollowers: make(map[fuchsiapitch.StreamName]context.CancelFunc),
		workers:         newWorkerGroup(),
		onViolation:     func(*fuchsiapitch.InvariantError) {},
	}
	for _, o := range options {
		o(r)
	}
	r.configuration.Store(&fuchsiapitch.Configuration{})
	return r
}

// Serve processes events until the context ends, then waits for the goroutines
// that it started. It implements suture.Service.
func (r *Runner) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.workers.wait()
	defer cancel()
	r.startHostListPolling(ctx)
	ticker := time.NewTicker(reducer.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.applyEvent(ctx, reducer.Ticked{})
			r.updateServiceMetrics()
		case e := <-r.queue:
			r.handleEntry(ctx, e)
		}
	}
}

// handleEntry processes one queue entry. The mailbox of a new request is
// registered before its first event, which can already produce effects.
func (r *Runner) handleEntry(ctx context.Context, e queueEntry) {
	if e.inspect != nil {
		e.inspect(r.state)
		close(e.inspectDone)
		return
	}
	if e.mailbox != nil {
		r.mailboxes[e.mailbox.requestID] = e.mailbox
	}
	r.applyEvent(ctx, e.event)
}

// applyEvent applies an event to the state and executes the resulting effects.
func (r *Runner) applyEvent(ctx context.Context, event reducer.Event) {
	start := time.Now()
	for _, e := range r.state.Apply(r.clock.Now(), event) {
		r.execute(ctx, e)
	}
	if a, ok := event.(reducer.RequestAbandoned); ok {
		delete(r.mailboxes, a.Request)
	}
	r.refreshCachedState()
	r.meter.ObserveReducerEvent(time.Since(start))
}

// refreshCachedState copies the parts of the state that other goroutines read
// often, so that these reads do not have to go through the queue.
func (r *Runner) refreshCachedState() {
	c := r.state.Configuration()
	if c.Offset() != r.configuration.Load().Offset() {
		r.configuration.Store(&c)
	}
	r.inFlight.Store(int64(r.state.InFlight()))
}

func (r *Runner) updateServiceMetrics() {
	for _, s := range r.state.ServiceStatuses() {
		r.meter.SetDispatcherGauges(s.Service, s.Slots, s.InFlight, s.Queued, s.Stragglers)
	}
}

// Submit queues an event for the reducer. It drops the event if the context
// ends while the queue is full.
func (r *Runner) Submit(ctx context.Context, event reducer.Event) {
	select {
	case r.queue <- queueEntry{event: event}:
	case <-ctx.Done():
	}
}

// OpenRequest queues the first event of a request and returns the mailbox that
// receives the effects of the request.
func (r *Runner) OpenRequest(ctx context.Context, requestID fuchsiapitch.RequestID, event reducer.Event) *Mailbox {
	m := newMailbox(requestID)
	select {
	case r.queue <- queueEntry{event: event, mailbox: m}:
	case <-ctx.Done():
	}
	return m
}

// Inspect runs a function that reads the state on the event loop, between two
// events, and waits until it has returned. If the context ends first, Inspect
// returns the context's error, and a function that is already queued may still
// run.
func (r *Runner) Inspect(ctx context.Context, inspect func(*reducer.State)) error {
	e := queueEntry{inspect: inspect, inspectDone: make(chan struct{})}
	select {
	case r.queue <- e:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-e.inspectDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HasReached reports whether a deadline has passed on the monotonic or the wall
// clock.
func (r *Runner) HasReached(deadline fuchsiapitch.Instant) bool {
	return r.clock.Now().HasReached(deadline)
}

// Configuration returns the configuration in force.
func (r *Runner) Configuration() fuchsiapitch.Configuration { return *r.configuration.Load() }

// InFlight returns the number of requests in flight at this host.
func (r *Runner) InFlight() int { return int(r.inFlight.Load()) }

// ViolationCount returns the number of invariant violations since the start.
func (r *Runner) ViolationCount() int { return int(r.violationCount.Load()) }
