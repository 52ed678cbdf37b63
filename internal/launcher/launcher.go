// Package launcher runs a cluster of entry hosts within this process against a
// fleet of stand-ins for the platform and the backend servers. Hosts can be killed, stopped and restarted.
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

// loopbackAnyPort is a loopback address for which the system picks a free port.
const loopbackAnyPort = "127.0.0.1:0"

// Cluster is a set of entry hosts that share one fleet of backend servers.
type Cluster struct {
	fleet              *standin.Fleet
	hostOptions        []assembler.Option
	hostsPerDataCentre int
	hosts              []*Host
	wrapPeerListener   func(net.Listener) net.Listener

	violations atomic.Int64
}

// Option sets one optional property of a cluster.
type Option func(*Cluster)

// WithHostsPerDataCentre sets the number of entry hosts in each data centre.
func WithHostsPerDataCentre(count int) Option {
	return func(c *Cluster) { c.hostsPerDataCentre = count }
}

// WithHostOptions adds options to every entry host.
func WithHostOptions(options ...assembler.Option) Option {
	return func(c *Cluster) { c.hostOptions = append(c.hostOptions, options...) }
}

// WithPeerListenerWrapper sets a function that wraps the listeners for other entry
// hosts, to count the traffic between hosts or inject faults into it.
func WithPeerListenerWrapper(wrap func(net.Listener) net.Listener) Option {
	return func(c *Cluster) { c.wrapPeerListener = wrap }
}

// Start starts entry hosts in data centres, by default one in each. The returned
// function kills them.
func Start(fleet *standin.Fleet, dataCentres []fuchsiapitch.DataCentreName, options ...Option) (*Cluster, func(), error) {
	cluster := &Cluster{fleet: fleet, hostsPerDataCentre: 1, wrapPeerListener: func(l net.Listener) net.Listener { return l }}
	for _, o := range options {
		o(cluster)
	}
	if err := cluster.startHosts(dataCentres); err != nil {
		cluster.killHosts()
		return nil, nil, err
	}
	return cluster, cluster.killHosts, nil
}

func (c *Cluster) startHosts(dataCentres []fuchsiapitch.DataCentreName) error {
	for _, dataCentre := range dataCentres {
		for n := range c.hostsPerDataCentre {
			host := &Host{cluster: c, down: true, addresses: [listenerCount]string{loopbackAnyPort, loopbackAnyPort, loopbackAnyPort}}
			host.id, host.dataCentre = fuchsiapitch.HostID(fmt.Sprintf("%s-host-%d", dataCentre, n+1)), dataCentre
			if err := host.openListeners(); err != nil {
				return err
			}
			c.hosts = append(c.hosts, host)
		}
	}
	for _, h := range c.hosts {
		h.startIncarnation()
	}
	return nil
}

func (c *Cluster) killHosts() {
	for _, h := range c.hosts {
		h.Kill()
	}
}

// membershipCandidates returns the hosts as they appear in settings: with
// incarnation 0, since incarnations are not known in advance.
func (c *Cluster) membershipCandidates() []fuchsiapitch.Host {
	var hosts []fuchsiapitch.Host
	for _, h := range c.hosts {
		hosts = append(hosts, fuchsiapitch.NewHost(h.id, h.addresses[peerListener], h.dataCentre, 0))
	}
	return hosts
}

// Violations returns the number of invariant violations on all entry hosts.
func (c *Cluster) Violations() int { return int(c.violations.Load()) }

// Hosts returns the entry hosts, ordered by data centre and number.
func (c *Cluster) Hosts() []*Host { return c.hosts }

// OverrideFleet replaces the configuration and the replicas on every entry host
// directly, bypassing the log and the controller.
func (c *Cluster) OverrideFleet(ctx context.Context, configuration fuchsiapitch.Configuration, replicas ...fuchsiapitch.Replica) {
	for _, h := range c.hosts {
		h.entryHost.Runner().Submit(ctx, reducer.FleetOverridden{Configuration: configuration, Replicas: replicas})
	}
}

// listenAll opens the listeners of a host and stores the addresses that the system
// assigned.
func listenAll(addresses *[listenerCount]string) (assembler.Listeners, error) {
	var opened [listenerCount]net.Listener
	var listenConfig net.ListenConfig
	for n := range addresses {
		listener, err := listenConfig.Listen(context.Background(), "tcp", addresses[n])
		if err != nil {
			for _, o := range opened[:n] {
				_ = o.Close()
			}
			return assembler.Listeners{}, trace.Wrap(err)
		}
		opened[n] = listener
		// After a restart the addresses are unchanged. They are not written again,
		// since other goroutines may be reading them.
		if actual := listener.Addr().String(); addresses[n] != actual {
			addresses[n] = actual
		}
	}
	return assembler.Listeners{Clients: opened[clientListener], Peers: opened[peerListener], Operators: opened[operatorListener]}, nil
}
