package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// initialUnreachableBackoff is how long an unreachable application server is
	// left out of routing after its first failure. It doubles with each further
	// failure in a row, up to maxUnreachableBackoff.
	initialUnreachableBackoff = time.Second
	// maxUnreachableBackoff bounds the back-off of an unreachable application
	// server.
	maxUnreachableBackoff = 30 * time.Second
)

// backoff is the back-off state of one unreachable application server.
type backoff struct {
	retryAt  time.Duration
	failures int
}

// ApplicationUnreachable records that an application server could not be
// reached and starts or extends its back-off.
func (g *Grouper) ApplicationUnreachable(now fuchsiapitch.Instant, server fuchsiapitch.ServerID) {
	b := g.backoffs[server]
	const maxDoublings = 10
	b.retryAt = now.Monotonic() + min(initialUnreachableBackoff<<min(b.failures, maxDoublings), maxUnreachableBackoff)
	b.failures++
	g.backoffs[server] = b
}

// ApplicationAnswered ends the back-off of an application server.
func (g *Grouper) ApplicationAnswered(server fuchsiapitch.ServerID) { delete(g.backoffs, server) }

// applicationReplicas returns the application servers that can take requests,
// ordered by identifier. These are the servers that the platform lists as not
// leaving. Servers in back-off are skipped unless every server of their service
// is in back-off.
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
		if now >= g.backoffs[id].retryAt {
			reachable[s.Service()] = true
		}
	}
	var list []fuchsiapitch.Replica
	for _, r := range listed {
		if now >= g.backoffs[r.Server().ID()].retryAt || !reachable[r.Service()] {
			list = append(list, r)
		}
	}
	return list
}
