// Package runner turns input and output into events of the reducer and the
// reducer's effects into input and output. One goroutine owns the state.
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

// eventBuffer is the number of events that wait for the reducer.
const eventBuffer = 4096

// envelope is one entry in the queue of the owner of the state: an event,
// perhaps with the mailbox of a new request, or a look at the state.
type envelope struct {
	event   reducer.Event
	mailbox *Mailbox
	inspect func(*reducer.State)
	done    chan struct{}
}

// Runner owns the state of one entry host.
type Runner struct {
	state         *reducer.State
	clock         fuchsiapitch.Clock
	log           zerolog.Logger
	meter         *meter.Meter
	outside       Outside
	queue         chan envelope
	mailboxes     map[fuchsiapitch.RequestID]*Mailbox
	followers     map[fuchsiapitch.StreamName]context.CancelFunc
	workers       *workers
	configuration atomic.Pointer[fuchsiapitch.Configuration]
	inFlight      atomic.Int64
	violations    atomic.Int64
	onViolation   func(*fuchsiapitch.InvariantError)
}

// Outside gathers the outside systems that effects reach.
type Outside struct {
	// Log is the platform's log.
	Log fuchsiapitch.Log
	// Hosts is the platform's list of hosts.
	Hosts fuchsiapitch.HostList
	// Controls gives orders to engines.
	Controls fuchsiapitch.EngineControl
	// Transport carries heartbeats.
	Transport gossiper.Transport
	// Snapshots gives the configuration of other entry hosts.
	Snapshots configurer.SnapshotFetcher
}

// Option sets one optional property of a runner.
type Option func(*Runner)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(r *Runner) { r.log = log } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(r *Runner) { r.meter = m } }

// WithClock sets the clock.
func WithClock(clock fuchsiapitch.Clock) Option { return func(r *Runner) { r.clock = clock } }

// WithViolationHandler sets a function that is told of each violated invariant.
func WithViolationHandler(handle func(*fuchsiapitch.InvariantError)) Option {
	return func(r *Runner) { r.onViolation = handle }
}

// New returns a runner for a state.
func New(state *reducer.State, outside Outside, options ...Option) *Runner {
	r := &Runner{
		state:       state,
		clock:       NewSystemClock(),
		log:         zerolog.Nop(),
		meter:       meter.New(),
		outside:     outside,
		queue:       make(chan envelope, eventBuffer),
		mailboxes:   make(map[fuchsiapitch.RequestID]*Mailbox),
		followers:   make(map[fuchsiapitch.StreamName]context.CancelFunc),
		workers:     newWorkers(),
		onViolation: func(*fuchsiapitch.InvariantError) {},
	}
	for _, o := range options {
		o(r)
	}
	r.configuration.Store(&fuchsiapitch.Configuration{})
	return r
}

// Serve folds events until the context ends, and returns once everything that
// it started has ended. It implements suture.Service.
func (r *Runner) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.workers.wait()
	defer cancel()
	r.startListing(ctx)
	ticker := time.NewTicker(reducer.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.apply(ctx, reducer.Ticked{})
			r.meterSchedules()
		case e := <-r.queue:
			r.handle(ctx, e)
		}
	}
}

func (r *Runner) handle(ctx context.Context, e envelope) {
	if e.inspect != nil {
		e.inspect(r.state)
		close(e.done)
		return
	}
	if e.mailbox != nil {
		r.mailboxes[e.mailbox.request] = e.mailbox
	}
	r.apply(ctx, e.event)
}

func (r *Runner) apply(ctx context.Context, event reducer.Event) {
	start := time.Now()
	for _, e := range r.state.Apply(r.clock.Now(), event) {
		r.carryOut(ctx, e)
	}
	if a, ok := event.(reducer.RequestAbandoned); ok {
		delete(r.mailboxes, a.Request)
	}
	r.publish()
	r.meter.Applied(time.Since(start))
}

// publish makes the parts of the state that others read often readable
// without a look at the state.
func (r *Runner) publish() {
	c := r.state.Configuration()
	if c.Offset() != r.configuration.Load().Offset() {
		r.configuration.Store(&c)
	}
	r.inFlight.Store(int64(r.state.InFlight()))
}

func (r *Runner) meterSchedules() {
	for _, s := range r.state.ServiceStatuses() {
		r.meter.Scheduled(s.Service, s.Slots, s.InFlight, s.Queued, s.Stragglers)
	}
}

// Submit hands an event to the reducer. It drops the event when the context
// ends first.
func (r *Runner) Submit(ctx context.Context, event reducer.Event) {
	select {
	case r.queue <- envelope{event: event}:
	case <-ctx.Done():
	}
}

// Open hands the first event of a request to the reducer and returns the
// mailbox for its directives.
func (r *Runner) Open(ctx context.Context, request fuchsiapitch.RequestID, event reducer.Event) *Mailbox {
	m := newMailbox(request)
	select {
	case r.queue <- envelope{event: event, mailbox: m}:
	case <-ctx.Done():
	}
	return m
}

// Inspect runs a function that reads the state, between two events.
func (r *Runner) Inspect(ctx context.Context, inspect func(*reducer.State)) error {
	e := envelope{inspect: inspect, done: make(chan struct{})}
	select {
	case r.queue <- e:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Past reports whether a deadline has passed on either clock.
func (r *Runner) Past(deadline fuchsiapitch.Instant) bool { return r.clock.Now().HasReached(deadline) }

// Configuration returns the configuration in force.
func (r *Runner) Configuration() fuchsiapitch.Configuration { return *r.configuration.Load() }

// InFlight returns the number of requests that this host holds.
func (r *Runner) InFlight() int { return int(r.inFlight.Load()) }

// Violations returns the number of violated invariants.
func (r *Runner) Violations() int { return int(r.violations.Load()) }
