// Package deployer runs several entry hosts in this process before a fleet of
// stand-ins, for the demo, the experiments and the tests.
package deployer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
)

// loopback is the address of every socket of a deployment.
const loopback = "127.0.0.1:0"

// pollPeriod is the time between two looks at a state that is waited for.
const pollPeriod = 20 * time.Millisecond

// Option sets one optional property of a deployment.
type Option func(*Deployment)

// WithHostsPerCentre sets the number of entry hosts in each data centre.
func WithHostsPerCentre(n int) Option { return func(d *Deployment) { d.perCentre = n } }

// WithHostOptions sets options of every entry host.
func WithHostOptions(options ...assembler.Option) Option {
	return func(d *Deployment) { d.options = append(d.options, options...) }
}

// Deployment is a set of running entry hosts.
type Deployment struct {
	fleet      *standin.Fleet
	perCentre  int
	options    []assembler.Option
	hosts      []*Running
	violations atomic.Int64
}

// Running is one entry host of a deployment.
type Running struct {
	entry   *assembler.EntryHost
	cancel  context.CancelFunc
	ended   chan error
	cleanUp func()
	err     error
}

// Entry returns the entry host.
func (r *Running) Entry() *assembler.EntryHost { return r.entry }

// Kill ends the entry host at once, as the loss of its process does.
func (r *Running) Kill() error {
	r.cancel()
	return r.wait()
}

// Stop ends the entry host gracefully and waits for its end.
func (r *Running) Stop() error {
	r.entry.Stop()
	return r.wait()
}

func (r *Running) wait() error {
	if err, open := <-r.ended; open {
		r.err = err
		close(r.ended)
		r.cleanUp()
	}
	return r.err
}

// planned is an entry host whose sockets are open.
type planned struct {
	host      fuchsiapitch.Host
	listeners assembler.Listeners
}

// Start runs entry hosts in the given data centres of a fleet. The clean-up
// function ends them.
func Start(ctx context.Context, fleet *standin.Fleet, centres []fuchsiapitch.DataCentreName, options ...Option) (*Deployment, func(), error) {
	d := &Deployment{fleet: fleet, perCentre: 1}
	for _, o := range options {
		o(d)
	}
	var plans []planned
	for _, c := range centres {
		for n := range d.perCentre {
			p, err := plan(ctx, fuchsiapitch.HostID(fmt.Sprintf("%s-entry-%02d", c, n+1)), c)
			if err != nil {
				return nil, nil, trace.Wrap(err)
			}
			plans = append(plans, p)
		}
	}
	for _, p := range plans {
		d.hosts = append(d.hosts, d.run(ctx, p, others(plans, p.host.ID())))
	}
	return d, d.close, nil
}

func plan(ctx context.Context, id fuchsiapitch.HostID, centre fuchsiapitch.DataCentreName) (planned, error) {
	var config net.ListenConfig
	var listeners [3]net.Listener
	for n := range listeners {
		l, err := config.Listen(ctx, "tcp", loopback)
		if err != nil {
			return planned{}, err
		}
		listeners[n] = l
	}
	host := fuchsiapitch.NewHost(id, listeners[1].Addr().String(), centre, assembler.NewIncarnation())
	return planned{host: host, listeners: assembler.Listeners{
		Callers: listeners[0], Peers: listeners[1], Operators: listeners[2],
	}}, nil
}

func others(plans []planned, self fuchsiapitch.HostID) []fuchsiapitch.Host {
	var hosts []fuchsiapitch.Host
	for _, p := range plans {
		if p.host.ID() != self {
			hosts = append(hosts, fuchsiapitch.NewHost(p.host.ID(), p.host.Address(), p.host.DataCentre(), 0))
		}
	}
	return hosts
}

func (d *Deployment) run(ctx context.Context, p planned, candidates []fuchsiapitch.Host) *Running {
	outside, closeOutside := assembler.Connect(assembler.Addresses{
		Log:         d.fleet.LogAddress(p.host.DataCentre()),
		HostList:    d.fleet.HostListAddress(),
		WeightStore: d.fleet.WeightStoreAddress(),
	})
	options := append([]assembler.Option{
		assembler.WithCandidates(candidates...),
		assembler.WithLinger(0),
		assembler.WithViolationHandler(func(*fuchsiapitch.InvariantError) { d.violations.Add(1) }),
	}, d.options...)
	entry, cleanUp := assembler.New(p.host, p.listeners, outside, options...)
	ctx, cancel := context.WithCancel(ctx)
	r := &Running{entry: entry, cancel: cancel, ended: make(chan error, 1), cleanUp: func() {
		cancel()
		cleanUp()
		closeOutside()
	}}
	go func() { r.ended <- entry.Serve(ctx) }()
	return r
}

func (d *Deployment) close() {
	for _, r := range d.hosts {
		r.cancel()
	}
	for _, r := range d.hosts {
		// The end of a host that was cut off is no failure of the deployment.
		_ = r.wait()
	}
}

// Hosts returns the entry hosts in the order of data centre and number.
func (d *Deployment) Hosts() []*Running { return slices.Clone(d.hosts) }

// Violations returns the number of violated invariants at all entry hosts.
func (d *Deployment) Violations() int { return int(d.violations.Load()) }

// Restart starts an entry host again in place of one that has ended, with the
// same identifier and new addresses.
func (d *Deployment) Restart(ctx context.Context, index int) error {
	old := d.hosts[index].entry.Self()
	p, err := plan(ctx, old.ID(), old.DataCentre())
	if err != nil {
		return trace.Wrap(err)
	}
	var candidates []fuchsiapitch.Host
	for _, r := range d.hosts {
		if h := r.entry.Self(); h.ID() != old.ID() {
			candidates = append(candidates, h)
		}
	}
	d.hosts[index] = d.run(ctx, p, candidates)
	return nil
}

// Await polls a condition until it holds or the context ends.
func Await(ctx context.Context, condition func() bool) error {
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-t.C:
		}
	}
	return nil
}
