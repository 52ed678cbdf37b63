package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// loadsReservedForGroups is the number of concurrent loads that preloading leaves to
// new groups. One small group needs that many; the users' installations allow eight
// concurrent loads.
const loadsReservedForGroups = 3

// needsLoad reports whether a server must load the model from the weight store to join
// a group of it.
func (s *server) needsLoad(model string) bool {
	return s.lastModel != model && s.stagingModel != model && !slices.Contains(s.report.StagedModels, model)
}

// pendingLoads returns the number of loads that a formation needs and has not started.
func (c *Coordinator) pendingLoads(g *group) int {
	n := 0
	for _, id := range g.members {
		if s, ok := c.servers[id]; ok && !s.isMemberOf(g.ref) && s.needsLoad(g.model) {
			n++
		}
	}
	return n
}

// allocateLoads decides which formations may start loads. Loads beyond the limit slow
// all of them down, and a group serves only when its last load is complete. Formations
// therefore load one after the other: first those of models that no group serves or is
// about to serve, then those that need the fewest loads.
func (c *Coordinator) allocateLoads(now time.Duration) {
	servedModels := make(map[string]bool)
	pending := make(map[*group]int)
	var waiting []*group
	for _, g := range c.sortedGroups() {
		n := c.pendingLoads(g)
		switch {
		case g.failed:
		case c.isOpen(g), n == 0:
			servedModels[g.model] = true
		default:
			pending[g], g.loadsLastPendingAt = n, now
			waiting = append(waiting, g)
		}
	}
	c.groupsAwaitLoads = len(waiting) > 0
	allocatedLoads := c.loadsInProgress(now)
	for len(waiting) > 0 {
		nextGroup := slices.MinFunc(waiting, func(a, b *group) int {
			switch {
			case servedModels[a.model] == servedModels[b.model]:
				return cmp.Compare(pending[a], pending[b])
			case servedModels[a.model]:
				return 1
			}
			return -1
		})
		limit := c.maxConcurrentLoads(nextGroup.service)
		nextGroup.mayStartLoads = limit <= 0 || allocatedLoads < limit
		allocatedLoads += pending[nextGroup]
		servedModels[nextGroup.model] = true
		waiting = slices.DeleteFunc(waiting, func(g *group) bool { return g == nextGroup })
	}
}

// maxConcurrentLoads returns the limit on concurrent loads of a service, 0 for none.
func (c *Coordinator) maxConcurrentLoads(name fuchsiapitch.ServiceName) int {
	if p, ok := c.routes.Service(name); ok && p.Engine != nil {
		return p.Engine.FullSpeedLoads
	}
	return 0
}

// mayPreload reports whether a server may start to load a model in preparation for a
// later group.
func (c *Coordinator) mayPreload(now time.Duration, s *server, model string) bool {
	p := c.engineProfile(s)
	if p == nil || s.probeInFlight || s.orderInFlight {
		return false
	}
	if !c.hasReceivedRequests || slices.Contains(s.report.StagedModels, model) {
		return true
	}
	return !c.groupsAwaitLoads && (p.FullSpeedLoads <= 0 || c.loadsInProgress(now) < p.FullSpeedLoads-loadsReservedForGroups)
}

// loadsInProgress returns the number of loads that are in progress according to the
// engine profile.
func (c *Coordinator) loadsInProgress(now time.Duration) int {
	if c.loadCountAt == now {
		return c.loadCount
	}
	c.loadCount, c.loadCountAt = 0, now
	for _, s := range c.servers {
		if now < s.expectedLoadEnd {
			c.loadCount++
		}
	}
	return c.loadCount
}

// reserveLoad reports whether the limits on loads allow an order, and records the load
// that it starts. Orders without a load are always allowed.
func (c *Coordinator) reserveLoad(now time.Duration, s *server, o fuchsiapitch.GroupOrder) bool {
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if !s.needsLoad(o.Model) {
			return true
		}
		if g, ok := c.groups[o.Group]; ok && c.hasReceivedRequests && !g.mayStartLoads {
			return false
		}
	case fuchsiapitch.OrderStage:
	case fuchsiapitch.OrderOpen, fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict, fuchsiapitch.OrderLeave:
		return true
	}
	return c.startLoad(now, s, o.Model)
}

// startLoad records the start of a load if the limits of the weight store allow it.
func (c *Coordinator) startLoad(now time.Duration, s *server, model string) bool {
	p := c.engineProfile(s)
	if p == nil {
		return false
	}
	if !c.hasReceivedRequests {
		// Loads before the first request are fast and not limited.
		return true
	}
	if p.FullSpeedLoads > 0 && c.loadsInProgress(now) >= p.FullSpeedLoads || now < c.nextLoadAt {
		return false
	}
	if p.LoadStartsPerSecond > 0 {
		c.nextLoadAt = now + time.Duration(float64(time.Second)/p.LoadStartsPerSecond)
	}
	s.expectedLoadEnd = now + c.joinTime(s, model)
	c.loadCountAt = -1
	return true
}
