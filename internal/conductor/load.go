package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// keptLoads is the number of loads at once that are left to new groups: those of
// one small group, of the eight that are possible on the users' installations.
const keptLoads = 3

// needsLoad reports whether a server cannot join with a model but by a load.
func (s *server) needsLoad(model string) bool {
	return s.model != model && s.staging != model && !slices.Contains(s.report.Staged, model)
}

// missingLoads returns the number of loads that a formation has yet to begin.
func (c *Conductor) missingLoads(g *group) int {
	n := 0
	for _, id := range g.members {
		if s, ok := c.servers[id]; ok && !s.in(g.ref) && s.needsLoad(g.model) {
			n++
		}
	}
	return n
}

// shareLoads decides which formations may begin loads. Loads beyond the limit slow
// down all of them, and a group serves only when it has the last of its own, so
// they go to one formation after the other: first to models that no group serves
// or will serve soon, then to those that need the fewest.
func (c *Conductor) shareLoads(now time.Duration) {
	served := make(map[string]bool)
	missing := make(map[*group]int)
	var waiting []*group
	for _, g := range c.sortedGroups() {
		n := c.missingLoads(g)
		switch {
		case g.failed:
		case c.isOpen(g), n == 0:
			served[g.model] = true
		default:
			missing[g], g.lacked = n, now
			waiting = append(waiting, g)
		}
	}
	c.loadsAwaited = len(waiting) > 0
	begun := c.runningLoads(now)
	for len(waiting) > 0 {
		next := slices.MinFunc(waiting, func(a, b *group) int {
			switch {
			case served[a.model] == served[b.model]:
				return cmp.Compare(missing[a], missing[b])
			case served[a.model]:
				return 1
			}
			return -1
		})
		limit := c.loadsAtOnce(next.service)
		next.mayLoad = limit <= 0 || begun < limit
		begun += missing[next]
		served[next.model] = true
		waiting = slices.DeleteFunc(waiting, func(g *group) bool { return g == next })
	}
}

// loadsAtOnce returns the limit on loads at once of a service, 0 for none.
func (c *Conductor) loadsAtOnce(name fuchsiapitch.ServiceName) int {
	if p, ok := c.table.Service(name); ok && p.Engine != nil {
		return p.Engine.LoadsAtOnce
	}
	return 0
}

// mayWarm reports whether a server may begin a load that only prepares it.
func (c *Conductor) mayWarm(now time.Duration, s *server, model string) bool {
	p := c.profileOf(s)
	if p == nil || s.asking || s.ordering {
		return false
	}
	if !c.busy || slices.Contains(s.report.Staged, model) {
		return true
	}
	return !c.loadsAwaited && (p.LoadsAtOnce <= 0 || c.runningLoads(now) < p.LoadsAtOnce-keptLoads)
}

// runningLoads returns the number of loads that are under way by the profile.
func (c *Conductor) runningLoads(now time.Duration) int {
	n := 0
	for _, s := range c.servers {
		if now < s.loading {
			n++
		}
	}
	return n
}

// reserveLoad reports whether a server may begin an order: those that need no
// load always, others within the limits of the weight store.
func (c *Conductor) reserveLoad(now time.Duration, s *server, o fuchsiapitch.GroupOrder) bool {
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if !s.needsLoad(o.Model) {
			return true
		}
		if g, ok := c.groups[o.Group]; ok && c.busy && !g.mayLoad {
			return false
		}
	case fuchsiapitch.OrderStage:
	case fuchsiapitch.OrderOpen, fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict, fuchsiapitch.OrderLeave:
		return true
	}
	return c.beginLoad(now, s, o.Model)
}

// beginLoad notes a load if the weight store has room for it.
func (c *Conductor) beginLoad(now time.Duration, s *server, model string) bool {
	p := c.profileOf(s)
	if p == nil {
		return false
	}
	if !c.busy {
		// Loads before the first request are fast and not limited.
		return true
	}
	if p.LoadsAtOnce > 0 && c.runningLoads(now) >= p.LoadsAtOnce || now < c.nextLoad {
		return false
	}
	if p.LoadsPerSecond > 0 {
		c.nextLoad = now + time.Duration(float64(time.Second)/p.LoadsPerSecond)
	}
	s.loading = now + c.joinTime(s, model)
	return true
}
