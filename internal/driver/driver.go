// Package driver owns the conductor of a host: it feeds it with events and
// carries out its effects.
package driver

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

const (
	// tickInterval is the time between ticks of the conductor.
	tickInterval = 50 * time.Millisecond
	// reportLimit is the time for a server's report. A live one answers within
	// some milliseconds.
	reportLimit = 200 * time.Millisecond
	// orderLimit is the time for the answer to an order.
	orderLimit = 500 * time.Millisecond
	// suspension is the time that the steady clock may lack against the boot-time
	// clock between two ticks.
	suspension = 300 * time.Millisecond
	// beatLimitBytes is the largest heartbeat.
	beatLimitBytes = 64 << 10
)

// Controls are the management calls of backend servers.
type Controls interface {
	// Report asks a server for its report.
	Report(ctx context.Context, id fuchsiapitch.ServerID, address string) (fuchsiapitch.ServerReport, error)
	// Identify asks which server stands at an address.
	Identify(ctx context.Context, address string) (fuchsiapitch.ServerID, error)
	// Order gives an order.
	Order(ctx context.Context, o fuchsiapitch.GroupOrder) (fuchsiapitch.OrderAnswer, error)
}

// Claimer enters claims to the lead of the groups.
type Claimer interface {
	// Claim enters a claim of this host if the newest one is still in force, and
	// returns the one that stands then.
	Claim(ctx context.Context, known int64) (conductor.ClaimRead, error)
}

// Driver owns the conductor of one host.
type Driver struct {
	conductor *conductor.Conductor
	controls  Controls
	claimer   Claimer
	socket    net.PacketConn
	log       zerolog.Logger
	meter     *meter.Meter
	started   time.Time
	boot      func() time.Duration
	reread    func()
	ctx       context.Context //nolint:containedctx // Effects are carried out in the background until it ends.

	mutex   sync.Mutex
	next    conductor.Ticket
	places  map[conductor.Ticket]*Place
	addrs   map[string]net.Addr
	pending sync.WaitGroup
}

// Option sets one optional property of a driver.
type Option func(*Driver)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(d *Driver) { d.log = log } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(d *Driver) { d.meter = m } }

// WithReread sets what has the configuration read again. It must not wait.
func WithReread(reread func()) Option { return func(d *Driver) { d.reread = reread } }

// New returns a driver that sends heartbeats through a socket. Its effects end
// with the context.
func New(ctx context.Context, c *conductor.Conductor, controls Controls, claimer Claimer, socket net.PacketConn, options ...Option) *Driver {
	d := &Driver{
		conductor: c, controls: controls, claimer: claimer, socket: socket, log: zerolog.Nop(), meter: meter.New(),
		started: time.Now(), boot: bootTime, reread: func() {}, ctx: ctx,
		places: make(map[conductor.Ticket]*Place), addrs: make(map[string]net.Addr),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// now returns the time since the start of the process.
func (d *Driver) now() time.Duration { return time.Since(d.started) }

// At returns an instant as the conductor counts time.
func (d *Driver) At(t time.Time) time.Duration { return t.Sub(d.started) }

// Apply feeds an event to the conductor and carries out its effects.
func (d *Driver) Apply(e conductor.Event) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.apply(e)
}

// LiveHosts returns the number of hosts that are heard, this one included.
func (d *Driver) LiveHosts() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.conductor.LiveHosts(d.now())
}

// View returns what the host believes now.
func (d *Driver) View() conductor.View {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.conductor.View(d.now())
}

func (d *Driver) apply(e conductor.Event) {
	for _, effect := range d.conductor.Apply(d.now(), e) {
		d.do(effect)
	}
}

// do carries out one effect without waiting for it.
func (d *Driver) do(effect conductor.Effect) {
	switch e := effect.(type) {
	case conductor.Grant:
		if p, ok := d.places[e.Ticket]; ok {
			p.grant = e
			d.meter.Granted(time.Since(p.asked))
			p.decided <- nil
		}
	case conductor.Refuse:
		if p, ok := d.places[e.Ticket]; ok {
			delete(d.places, e.Ticket)
			d.meter.RefusedPlace(e.Reason.String())
			p.decided <- &RefusedError{Reason: e.Reason, RetryAfter: e.RetryAfter}
		}
	case conductor.Withdraw:
		if p, ok := d.places[e.Ticket]; ok {
			d.meter.Withdrawn()
			p.withdraw()
		}
	case conductor.SendBeat:
		d.send(e)
	case conductor.AskReport:
		d.background(func() { d.report(e) })
	case conductor.GiveOrder:
		d.background(func() { d.order(e.Order) })
	case conductor.ClaimLead:
		d.background(func() { d.claim(e.Known) })
	case conductor.Reread:
		d.reread()
	case conductor.GroupLost:
		d.meter.Detected(e.Silence)
	case conductor.GroupOpened:
		d.meter.Formed(e.Took)
		d.log.Info().Str("group", string(e.Group)).Str("model", e.Model).Int64("took-ms", e.Took.Milliseconds()).Msg("group is open")
	case conductor.Note:
		d.log.Info().Fields(e.Fields).Msg(e.Message)
	}
}

// background runs a function that Serve waits for.
func (d *Driver) background(run func()) {
	d.pending.Add(1)
	go func() {
		defer d.pending.Done()
		run()
	}()
}

func (d *Driver) report(e conductor.AskReport) {
	ctx, cancel := context.WithTimeout(d.ctx, reportLimit)
	defer cancel()
	r, err := d.controls.Report(ctx, e.Server, e.Address)
	if err != nil {
		d.log.Info().Str("server", string(e.Server)).Err(err).Msg("no report")
	}
	d.meter.Reported(err == nil)
	reported := conductor.Reported{Server: e.Server, Report: r, Err: err}
	if err == nil && r.Started > e.Started {
		if reported.Named, err = d.controls.Identify(ctx, e.Address); err != nil {
			d.log.Info().Str("server", string(e.Server)).Err(err).Msg("server does not say its name")
		}
	}
	d.Apply(reported)
}

func (d *Driver) order(o fuchsiapitch.GroupOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, orderLimit)
	defer cancel()
	answer, err := d.controls.Order(ctx, o)
	if err != nil {
		d.log.Info().Str("server", string(o.Server)).Str("order", o.Kind.String()).Str("answer", answer.String()).Err(err).Msg("order failed")
	}
	d.meter.Ordered(o.Kind.String(), answer.String())
	d.Apply(conductor.Ordered{Order: o, Answer: answer})
}

func (d *Driver) claim(known int64) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	read, err := d.claimer.Claim(ctx, known)
	if err != nil {
		d.log.Info().Err(err).Msg("claim failed")
		return
	}
	d.Apply(read)
}

// send writes a heartbeat to each address. Datagrams may be lost.
func (d *Driver) send(e conductor.SendBeat) {
	data, err := encodeBeat(e.Beat)
	if err != nil {
		d.log.Error().Err(err).Msg("heartbeat cannot be encoded")
		return
	}
	for _, to := range e.To {
		addr, ok := d.addrs[to]
		if !ok {
			resolved, err := net.ResolveUDPAddr("udp4", to)
			if err != nil {
				d.log.Warn().Str("to", to).Err(err).Msg("no address for heartbeats")
				continue
			}
			d.addrs[to], addr = resolved, resolved
		}
		if _, err := d.socket.WriteTo(data, addr); err != nil {
			d.log.Debug().Str("to", to).Err(err).Msg("heartbeat not sent")
		}
	}
}

// Serve ticks and listens for heartbeats until the context ends. It implements
// suture.Service.
func (d *Driver) Serve(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- d.listen(ctx) }()
	defer d.end(ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lag := d.boot() - d.now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l := d.boot() - d.now()
			d.tick(l-lag > suspension)
			lag = l
		}
	}
}

// end waits for what Serve has begun.
func (d *Driver) end(listening <-chan error) {
	if err := d.socket.Close(); err != nil {
		d.log.Warn().Err(err).Msg("socket for heartbeats cannot be closed")
	}
	if err := <-listening; !errors.Is(err, context.Canceled) {
		d.log.Warn().Err(err).Msg("heartbeats ended")
	}
	d.pending.Wait()
}

func (d *Driver) tick(suspended bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last := make(map[fuchsiapitch.ServerID]time.Duration)
	for _, p := range d.places {
		if at := time.Duration(p.lastByte.Load()); at > last[p.grant.Server] {
			last[p.grant.Server] = at
		}
	}
	d.apply(conductor.Ticked{LastBytes: last, Suspended: suspended})
}

// listen takes in heartbeats until the socket is closed.
func (d *Driver) listen(ctx context.Context) error {
	buffer := make([]byte, beatLimitBytes)
	for {
		n, _, err := d.socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			d.log.Warn().Err(err).Msg("heartbeats cannot be read")
			time.Sleep(tickInterval)
			continue
		}
		b, err := decodeBeat(buffer[:n])
		if err != nil {
			d.log.Warn().Err(err).Msg("heartbeat dropped")
			continue
		}
		d.Apply(conductor.BeatHeard{Beat: b})
	}
}

// Place is a place at a server.
type Place struct {
	driver    *Driver
	ticket    conductor.Ticket
	asked     time.Time
	decided   chan error
	grant     conductor.Grant
	lastByte  atomic.Int64
	withdrawn func(server fuchsiapitch.ServerID)
	gone      bool
}

// Acquire waits for a place. Its error is a RefusedError, or that of the
// context.
func (d *Driver) Acquire(ctx context.Context, e conductor.Arrived) (*Place, error) {
	p := &Place{driver: d, asked: time.Now(), decided: make(chan error, 1)}
	d.mutex.Lock()
	d.next++
	p.ticket, e.Ticket = d.next, d.next
	d.places[p.ticket] = p
	d.apply(e)
	d.mutex.Unlock()
	select {
	case err := <-p.decided:
		if err != nil {
			return nil, err
		}
		return p, nil
	case <-ctx.Done():
		p.Release(false, "")
		return nil, ctx.Err()
	}
}

// Server returns the server that gives the place.
func (p *Place) Server() fuchsiapitch.ServerID { return p.grant.Server }

// Address returns the address of the server.
func (p *Place) Address() string { return p.grant.Address }

// Urgency returns the urgency at the engine, and whether the server is one.
func (p *Place) Urgency() (int, bool) { return p.grant.Urgency, p.grant.Engine }

// OnWithdraw sets a function that is called, at most once, when the server can
// serve the place no more. It must not wait.
func (p *Place) OnWithdraw(withdrawn func(server fuchsiapitch.ServerID)) {
	p.driver.mutex.Lock()
	defer p.driver.mutex.Unlock()
	p.withdrawn = withdrawn
	if p.gone {
		withdrawn(p.grant.Server)
	}
}

func (p *Place) withdraw() {
	if p.gone {
		return
	}
	p.gone = true
	if p.withdrawn != nil {
		p.withdrawn(p.grant.Server)
	}
}

// Touch notes that a byte has come from the server.
func (p *Place) Touch() { p.lastByte.Store(int64(p.driver.now())) }

// Begin notes that the answer has begun.
func (p *Place) Begin() {
	p.Touch()
	p.driver.Apply(conductor.Began{Ticket: p.ticket})
}

// Release frees the place. A server that gave no whole answer has failed; fault
// is the one that it blames, if any.
func (p *Place) Release(failed bool, fault fuchsiapitch.ServerID) {
	p.end(conductor.Ended{Ticket: p.ticket, Failed: failed, Fault: fault})
}

// Unreached frees the place at a server that could not be connected to.
func (p *Place) Unreached() {
	p.end(conductor.Ended{Ticket: p.ticket, Failed: true, Unreached: true})
}

// Misdirected frees the place at a server that is not what it was taken for.
func (p *Place) Misdirected() {
	p.end(conductor.Ended{Ticket: p.ticket, Failed: true, Misdirected: true})
}

func (p *Place) end(e conductor.Ended) {
	d := p.driver
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.places, p.ticket)
	d.apply(e)
}
