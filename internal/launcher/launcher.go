// Package launcher starts entry hosts in this process against a fleet of
// stand-ins, and ends and restarts them at will.
package launcher

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
)

const loopback = "127.0.0.1:0"

// Cluster is a set of entry hosts before one fleet.
type Cluster struct {
	fleet     *standin.Fleet
	options   []assembler.Option
	perCentre int
	hosts     []*Host
	wrap      func(net.Listener) net.Listener

	violations atomic.Int64
}

// Option sets one optional property of a cluster.
type Option func(*Cluster)

// WithHosts sets the number of entry hosts in each data centre.
func WithHosts(n int) Option { return func(c *Cluster) { c.perCentre = n } }

// WithHostOptions sets options of every entry host.
func WithHostOptions(options ...assembler.Option) Option {
	return func(c *Cluster) { c.options = append(c.options, options...) }
}

// WithPeerListener sets a function that wraps the listeners for other entry
// hosts, to count or disturb what travels between them.
func WithPeerListener(wrap func(net.Listener) net.Listener) Option {
	return func(c *Cluster) { c.wrap = wrap }
}

// Start starts entry hosts in data centres, one in each without options. The
// clean-up function ends them at once.
func Start(fleet *standin.Fleet, centres []fuchsiapitch.DataCentreName, options ...Option) (*Cluster, func(), error) {
	c := &Cluster{fleet: fleet, perCentre: 1, wrap: func(l net.Listener) net.Listener { return l }}
	for _, o := range options {
		o(c)
	}
	if err := c.start(centres); err != nil {
		c.cleanUp()
		return nil, nil, err
	}
	return c, c.cleanUp, nil
}

func (c *Cluster) start(centres []fuchsiapitch.DataCentreName) error {
	for _, centre := range centres {
		for n := range c.perCentre {
			h := &Host{cluster: c, down: true, addresses: [listenerCount]string{loopback, loopback, loopback}}
			h.id, h.centre = fuchsiapitch.HostID(fmt.Sprintf("%s-host-%d", centre, n+1)), centre
			if err := h.listen(); err != nil {
				return err
			}
			c.hosts = append(c.hosts, h)
		}
	}
	for _, h := range c.hosts {
		h.serve()
	}
	return nil
}

func (c *Cluster) cleanUp() {
	for _, h := range c.hosts {
		h.Kill()
	}
}

// candidates returns the hosts as their settings name them.
func (c *Cluster) candidates() []fuchsiapitch.Host {
	var hosts []fuchsiapitch.Host
	for _, h := range c.hosts {
		hosts = append(hosts, fuchsiapitch.NewHost(h.id, h.addresses[peers], h.centre, 0))
	}
	return hosts
}

// Violations returns the number of violated invariants at all entry hosts.
func (c *Cluster) Violations() int { return int(c.violations.Load()) }

// Hosts returns the entry hosts in the order of data centre and number.
func (c *Cluster) Hosts() []*Host { return c.hosts }

// Describe puts a configuration and replicas in force on every host, without
// the log and the controller.
func (c *Cluster) Describe(ctx context.Context, configuration fuchsiapitch.Configuration, replicas ...fuchsiapitch.Replica) {
	for _, h := range c.hosts {
		h.entry.Runner().Submit(ctx, reducer.FleetOverridden{Configuration: configuration, Replicas: replicas})
	}
}

// listen opens the ports of a host.
func listen(addresses *[listenerCount]string) (assembler.Listeners, error) {
	var open [listenerCount]net.Listener
	var config net.ListenConfig
	for n := range addresses {
		l, err := config.Listen(context.Background(), "tcp", addresses[n])
		if err != nil {
			for _, o := range open[:n] {
				_ = o.Close()
			}
			return assembler.Listeners{}, trace.Wrap(err)
		}
		open[n] = l
		// A restart keeps the addresses, which callers may be reading.
		if a := l.Addr().String(); addresses[n] != a {
			addresses[n] = a
		}
	}
	return assembler.Listeners{Callers: open[callers], Peers: open[peers], Operators: open[operators]}, nil
}
