package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/admitter"
)

const (
	// simulatedServiceTime is the time for which a simulated request occupies a slot.
	simulatedServiceTime = 400 * time.Millisecond
	// simulatedSlots is the number of slots of a simulated server.
	simulatedSlots = 6
	// simulatedQueue is how many requests a server queues before it rejects more.
	simulatedQueue = 2 * simulatedSlots
	// simulatedWarmUp is the time after which the hosts know of a new load.
	simulatedWarmUp = time.Second
)

// load is the traffic of a hostCluster and what its servers see of it.
type load struct {
	hc         *hostCluster
	nextTicket Ticket
	// inFlight are the requests at each server, and highest the most at any server.
	inFlight map[fuchsiapitch.ServerID]int
	highest  int
	// served counts the requests that the servers have completed.
	served int
	// Requests count from countFrom on, when the hosts know of the load, until until.
	countFrom, until time.Duration
}

// startLoad sends requests to random hosts at a rate until a time.
func startLoad(hc *hostCluster, perSecond float64, until time.Duration) *load {
	l := &load{hc: hc, inFlight: make(map[fuchsiapitch.ServerID]int), countFrom: hc.now + simulatedWarmUp, until: until}
	hc.onGrant = l.grant
	for _, h := range hc.hosts {
		pool := admitter.NewPool(false)
		for range 200 {
			pool.ObserveService(simulatedServiceTime)
		}
		h.coordinator.pools[poolKey{service: plainService}] = pool
	}
	var arrive func()
	arrive = func() {
		if hc.now >= until {
			return
		}
		h := hc.hosts[hc.rng.IntN(len(hc.hosts))]
		l.nextTicket++
		now := hc.now - h.startedAt
		hc.apply(h, RequestArrived{Ticket: l.nextTicket, Service: plainService, FirstByteBy: now + 2*time.Second, Deadline: now + 4*time.Second})
		hc.at(hc.now+time.Duration(hc.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	return l
}

// grant runs a granted request at its server.
func (l *load) grant(h *simulatedHost, g Grant) {
	l.inFlight[g.Server]++
	if l.hc.now >= l.countFrom {
		l.highest = max(l.highest, l.inFlight[g.Server])
	}
	l.hc.at(l.hc.now+simulatedServiceTime, func() {
		l.inFlight[g.Server]--
		if l.hc.now >= l.countFrom && l.hc.now < l.until {
			l.served++
		}
		l.hc.apply(h, TicketReleased{Ticket: g.Ticket})
	})
}

// Pattern: hundreds of hosts choose among the same servers by counts that are some hundred
// milliseconds old. They must not all choose the same server and fill it until it rejects
// requests, nor leave slots idle in an overload.
func TestManyHostsSpreadRequests(t *testing.T) {
	const hosts, servers, seconds = 150, 40, 6
	capacity := servers * simulatedSlots / simulatedServiceTime.Seconds()
	for _, ratio := range []float64{0.6, 1.6} {
		t.Run(fmt.Sprintf("load of %g of the slots", ratio), func(t *testing.T) {
			hc := newHostCluster(7, hosts, 5)
			hc.listServers(servers)
			hc.runUntil(5 * time.Second)
			l := startLoad(hc, ratio*capacity, hc.now+seconds*time.Second)
			hc.runUntil(hc.now + seconds*time.Second)
			if got, want := l.highest, simulatedSlots+simulatedQueue; got > want {
				t.Errorf("got %d requests at one server, want at most %d", got, want)
			}
			want := 0.75 * min(ratio, 1) * capacity * (seconds - simulatedWarmUp.Seconds())
			if got := float64(l.served); got < want {
				t.Errorf("got %g requests served, want at least %g", got, want)
			}
		})
	}
}
