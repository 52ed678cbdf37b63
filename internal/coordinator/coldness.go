package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/ramper"
)

// A server is cold for a while after its start, and may become cold at any other moment. The
// hosts that read the server list learn it from there, and tell the others. A group is as cold
// as its leader, which gets the requests.

// coldState holds the servers that are cold, and the bound on the requests to them.
type coldState struct {
	ramps               *ramper.Ramper
	coldOver, coldSlack float64
}

func newColdState(self Peer) coldState { return coldState{ramps: ramper.New(self.ID)} }

// WithColdLimits bounds the requests of all hosts to a cold server in any second: to the rate
// that its service states, times a factor (over), plus a constant (slack).
func WithColdLimits(over, slack float64) Option {
	return func(c *Coordinator) { c.coldOver, c.coldSlack = over, slack }
}

// rampUntil returns from when on a replica may get the next request of this host, because it
// is cold.
func (c *Coordinator) rampUntil(r *replica) time.Duration {
	p, ok := c.serviceProfile(r.service)
	if !ok || p.ColdRequestsPerSecond <= 0 {
		return 0
	}
	return c.ramps.AvailableAt(c.now, r.server, r.lastSentAt, ramper.Limits{PerSecond: p.ColdRequestsPerSecond, Over: c.coldOver, Slack: c.coldSlack})
}

// hasColdBound reports whether the requests to a replica are bounded while it is cold.
func (c *Coordinator) hasColdBound(r *replica) bool {
	p, ok := c.serviceProfile(r.service)
	return ok && p.ColdRequestsPerSecond > 0
}

// noteColdEntry processes what an entry of the server list says of a server.
func (c *Coordinator) noteColdEntry(now time.Duration, entry fuchsiapitch.ServerReport) {
	c.ramps.ReadEntry(now, entry.ID, entry.ColdFor)
}

// noteColdStart records that a server has started again and has not said for how long it is
// cold.
func (c *Coordinator) noteColdStart(now time.Duration, s *server) {
	if p, ok := c.serviceProfile(s.report.Service); ok && p.ColdTime > 0 {
		c.ramps.Observe(now, s.report.ID, p.ColdTime)
	}
}

// suspectColdStart records that a server could not be connected to, and may have started again
// when it can. A leader that started again has left its group, so that only a failure after a
// failure counts there: a lost packet is more likely.
func (c *Coordinator) suspectColdStart(now time.Duration, r *replica) {
	if r.model != "" && r.unreachableBackOff <= minUnreachableBackOff {
		return
	}
	if p, ok := c.serviceProfile(r.service); ok && p.ColdTime > 0 {
		c.ramps.Suspect(now, r.server, r.unreachableBackOff+p.ColdTime)
	}
}

// suspectColdness records that the servers of a data centre may have become cold just now.
func (c *Coordinator) suspectColdness(now time.Duration, name fuchsiapitch.DataCentreName) {
	for id, s := range c.servers {
		if p, ok := c.serviceProfile(s.report.Service); ok && p.ColdTime > 0 && s.report.DataCentre == name {
			c.ramps.Suspect(now, id, p.ColdTime)
		}
	}
}

// hearColdServers processes what another host knows of cold servers. That it is heard shows
// that this host is in touch.
func (c *Coordinator) hearColdServers(now time.Duration, news []ramper.News) {
	c.ramps.Hear(now, news)
	c.ramps.Confirm(now, c.LiveHostCount(now))
}

// advanceRamps ends what is over, and logs the servers that have become cold and get requests.
func (c *Coordinator) advanceRamps(now time.Duration) {
	for _, n := range c.ramps.Advance(now) {
		if r, ok := c.replicas[n.Server]; ok && c.hasColdBound(r) {
			c.log("server is cold", map[string]any{logFieldServer: n.Server, "left-ms": n.Left.Milliseconds()})
		}
	}
}

// setRampHosts tells the ramps which hosts are registered, as the store has just said.
func (c *Coordinator) setRampHosts(now time.Duration) {
	hosts := []fuchsiapitch.HostID{c.self.ID}
	for id := range c.peers {
		hosts = append(hosts, id)
	}
	c.ramps.SetHosts(hosts)
	c.ramps.Confirm(now, c.LiveHostCount(now))
}

// announcedColdServers returns the servers of which this host tells others that they are cold:
// those that get requests, of services with a bound.
func (c *Coordinator) announcedColdServers(now time.Duration) []ramper.News {
	var news []ramper.News
	for _, n := range c.ramps.News(now) {
		if r, ok := c.replicas[n.Server]; ok && c.hasColdBound(r) {
			news = append(news, n)
		}
	}
	return news
}
