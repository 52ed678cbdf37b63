package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// firstAvoidTime is the time for which an application server that could not
	// be reached is avoided. It doubles with each further failure.
	firstAvoidTime = time.Second
	// avoidTimeLimit is the longest such time.
	avoidTimeLimit = 30 * time.Second
)

// avoidance is the state of an application server that could not be reached.
type avoidance struct {
	until    time.Duration
	failures int
}

// Avoid takes in that an application server could not be reached.
func (g *Grouper) Avoid(now fuchsiapitch.Instant, server fuchsiapitch.ServerID) {
	a := g.avoided[server]
	const doublingLimit = 10
	a.until = now.Monotonic() + min(firstAvoidTime<<min(a.failures, doublingLimit), avoidTimeLimit)
	a.failures++
	g.avoided[server] = a
}

// Trust takes in that an application server has answered.
func (g *Grouper) Trust(server fuchsiapitch.ServerID) { delete(g.avoided, server) }

// applicationReplicas returns the application servers that can take requests, in
// the order of their identifiers: those that the platform lists as staying, and
// of these only the reachable ones as long as a service has any.
func (g *Grouper) applicationReplicas(now time.Duration) []fuchsiapitch.Replica {
	var listed []fuchsiapitch.Replica
	reachable := make(map[fuchsiapitch.ServiceName]bool)
	for _, id := range g.applications {
		s := g.servers[id].server
		service, ok := g.configuration.Service(s.Service())
		if !ok || !g.servers[id].listed || s.Leaving() {
			continue
		}
		listed = append(listed, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(id), s.Service(), s, service.Concurrency(), ""))
		if now >= g.avoided[id].until {
			reachable[s.Service()] = true
		}
	}
	var list []fuchsiapitch.Replica
	for _, r := range listed {
		if now >= g.avoided[r.Server().ID()].until || !reachable[r.Service()] {
			list = append(list, r)
		}
	}
	return list
}
