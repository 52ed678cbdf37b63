package conductor

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// silentTime is the time without a byte on all streams of a group after which
	// its members are asked whether they live. Events come every 60 ms or so; a
	// pass with long prompts takes up to 150 ms.
	silentTime = 250 * time.Millisecond
	// memberProbe is the time between questions to the members of a silent group.
	memberProbe = 300 * time.Millisecond
	// joinPoll is the time between questions to a member that should be ready.
	joinPoll = 80 * time.Millisecond
	// formLimit is the time after which a formation that does not come about is
	// given up, beyond the time of a load.
	formLimit = 8 * time.Second
)

// group is one formation of a group.
type group struct {
	ref     fuchsiapitch.GroupRef
	service fuchsiapitch.ServiceName
	domain  fuchsiapitch.FabricDomainName
	model   string
	// members are the servers in the order of their ranks, the leader first.
	members []fuchsiapitch.ServerID
	size    int
	// joined are the members that were seen in the formation, and asked the numbers
	// of orders after which others were first told to join it.
	joined map[fuchsiapitch.ServerID]bool
	asked  map[fuchsiapitch.ServerID]int64
	// since is when the formation was planned or found.
	since time.Duration
	// opened is when it was first seen open, 0 for never.
	opened time.Duration
	// failed states that it is to be taken apart.
	failed bool
	// retiring states that it finishes its requests first.
	retiring bool
	// mayLoad states that its members may begin loads, and lacked is when it last
	// had some to begin.
	mayLoad bool
	lacked  time.Duration
	// nextProbe is when its members may be asked again for its silence.
	nextProbe time.Duration
}

func (g *group) head() fuchsiapitch.ServerID { return g.members[0] }

// isOpen reports whether the leader of a group was last seen open.
func (c *Conductor) isOpen(g *group) bool {
	s, ok := c.servers[g.head()]
	return ok && s.in(g.ref) && s.report.Membership.State == fuchsiapitch.MemberOpen
}

// adopt finds the formations that servers report and this host did not plan.
func (c *Conductor) adopt(now time.Duration) {
	found := make(map[fuchsiapitch.GroupRef]*group)
	for _, id := range sortedKeys(c.servers) {
		s := c.servers[id]
		m := s.report.Membership
		if m.Group.Name == "" {
			continue
		}
		if c.dissolved[m.Group] {
			if m.Rank != 0 || m.State != fuchsiapitch.MemberOpen || s.isLost() {
				continue
			}
			// Its leader was out of reach and still takes requests.
			delete(c.dissolved, m.Group)
		}
		if g, ok := c.groups[m.Group]; ok {
			g.joined[id] = g.joined[id] || slices.Contains(g.members, id)
			continue
		}
		p := c.profileOf(s)
		if p == nil {
			continue
		}
		g, ok := found[m.Group]
		if !ok {
			g = &group{ref: m.Group, service: s.report.Service, domain: s.report.Domain, since: now, joined: make(map[fuchsiapitch.ServerID]bool)}
			found[m.Group] = g
		}
		if len(s.report.Loaded) > 0 {
			g.model = s.report.Loaded[0]
		}
		for len(g.members) <= m.Rank {
			g.members = append(g.members, "")
		}
		if m.Rank >= 0 {
			g.members[m.Rank] = id
			g.joined[id] = true
		}
		if model, ok := p.Model(g.model); ok {
			g.size = model.Size
		}
	}
	for ref, g := range found {
		if len(g.members) == 0 || g.size == 0 && g.model == "" {
			continue
		}
		g.failed = g.size != len(g.members) || slices.Contains(g.members, "")
		c.groups[ref] = g
	}
}

// tend takes the next step in the life of a formation.
func (c *Conductor) tend(now time.Duration, g *group) {
	c.judge(now, g)
	if g.failed {
		c.dissolve(now, g)
		return
	}
	if c.isOutOfReach(now, g) {
		c.watchAll(now, g)
		return
	}
	if c.isOpen(g) {
		if g.opened == 0 {
			g.opened = now
			c.emit(GroupOpened{Group: g.ref.Name, Model: g.model, Took: now - g.since})
		}
		if g.retiring {
			c.order(now, g.head(), fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderClose, Group: g.ref})
			return
		}
		c.watch(now, g)
		return
	}
	c.gather(now, g)
}

// judge decides whether a formation has failed.
func (c *Conductor) judge(now time.Duration, g *group) {
	if c.isOutOfReach(now, g) {
		return
	}
	for _, id := range g.members {
		s, ok := c.servers[id]
		switch {
		case !ok, s.isLost():
			if t, serves := c.stations[g.head()]; serves && !g.failed && g.opened > 0 {
				c.emit(GroupLost{Group: g.ref.Name, Model: g.model, Silence: t.silence(now)})
			}
			g.fail(c, "member lost", id)
		case g.joined[id] && !s.in(g.ref):
			g.fail(c, "member left", id)
		case s.report.Membership.State == fuchsiapitch.MemberBroken && s.in(g.ref):
			g.fail(c, "group is broken", id)
		case s.report.Leaving && !g.retiring, id == g.head() && !g.retiring && c.isOffList(now, s) && c.isReplaceable(g):
			if g.opened == 0 && !c.isOpen(g) {
				g.fail(c, "member leaves", id)
			} else {
				c.note("group retires", map[string]any{"group": g.ref.Name, fieldServer: id})
				g.retiring = true
			}
		}
	}
	if g.opened == 0 && !c.isOpen(g) && now-max(g.since, g.lacked) > c.loadLimit(g) {
		g.fail(c, "formation took too long", "")
	}
	if s, ok := c.servers[g.head()]; g.retiring && ok && s.in(g.ref) && s.report.Membership.State == fuchsiapitch.MemberReady && g.opened > 0 {
		g.fail(c, "group has retired", "")
	}
}

// isOutOfReach reports whether no member of a formation answers: behind a cut it
// may be whole and at work, so that nothing is decided about it. A silent leader
// counts as lost only beside a member that has just answered.
func (c *Conductor) isOutOfReach(now time.Duration, g *group) bool {
	head, ok := c.servers[g.head()]
	if !ok || head.ended || head.failures == 0 {
		return false
	}
	for _, id := range g.members {
		if s, ok := c.servers[id]; ok && s.failures == 0 && now-s.direct < freshTime && head.isLost() {
			return false
		}
	}
	return true
}

// relistTime is how long a server that is back in reach may take to return to the
// list, with the list's own lag.
const relistTime = 3 * time.Second

// isOffList reports whether a server that answers is off the list for good.
func (c *Conductor) isOffList(now time.Duration, s *server) bool {
	return !s.listed && !c.listStale && s.failures == 0 && s.direct > s.unlistedAt &&
		now-max(s.unlistedAt, s.recovered) > relistTime
}

// isReplaceable reports whether a domain has enough servers on the list to form a
// group again. Where it has not, its servers may be cut off from the list only.
func (c *Conductor) isReplaceable(g *group) bool {
	usable := 0
	for id, s := range c.servers {
		if s.report.Domain == g.domain && s.isUsable() && (slices.Contains(g.members, id) || !c.isPlanned(id)) {
			usable++
		}
	}
	return usable >= g.size
}

// freshTime is how old an answer of a server may be to show that it is in reach.
const freshTime = time.Second

func (c *Conductor) loadLimit(g *group) time.Duration {
	p, ok := c.table.Service(g.service)
	if !ok || p.Engine == nil {
		return formLimit
	}
	m, _ := p.Engine.Model(g.model)
	return m.Load + formLimit
}

func (g *group) fail(c *Conductor, why string, id fuchsiapitch.ServerID) {
	if g.failed {
		return
	}
	g.failed = true
	c.note("group is taken apart", map[string]any{"group": g.ref.Name, "model": g.model, "why": why, fieldServer: id})
}

// dissolve takes a failed formation off the plan. Its leader must have refused
// requests first, or be out of reach; mayJoin guards its members.
func (c *Conductor) dissolve(now time.Duration, g *group) {
	head, ok := c.servers[g.head()]
	if ok && head.in(g.ref) && !head.isLost() {
		switch head.report.Membership.State {
		case fuchsiapitch.MemberOpen:
			c.order(now, g.head(), fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: g.ref})
			return
		case fuchsiapitch.MemberClosing:
			c.poll(now, head)
			return
		case fuchsiapitch.MemberReady:
			if head.isOpening() {
				if !head.opening {
					c.poll(now, head)
				}
				return
			}
		case fuchsiapitch.MemberJoining, fuchsiapitch.MemberBroken:
		}
	}
	delete(c.groups, g.ref)
	c.dissolved[g.ref] = true
}

// headHasLeft reports whether the leader of a formation can serve it no more: it
// has gone on to another formation, has started again, or is broken.
func (c *Conductor) headHasLeft(ref fuchsiapitch.GroupRef) bool {
	s, ok := c.servers[c.heads[ref]]
	return ok && (!s.in(ref) || s.report.Membership.State == fuchsiapitch.MemberBroken)
}

// isHeadSilent reports whether the leader of a formation does not answer, or is
// not known at all.
func (c *Conductor) isHeadSilent(ref fuchsiapitch.GroupRef) bool {
	s, ok := c.servers[c.heads[ref]]
	return !ok || s.isLost()
}

// watch asks the members of a group that has fallen silent.
func (c *Conductor) watch(now time.Duration, g *group) {
	if !c.isSilent(now, g.head()) && !c.isSuspect(now, g) || now < g.nextProbe {
		return
	}
	c.watchAll(now, g)
}

// watchAll has all members of a group asked.
func (c *Conductor) watchAll(now time.Duration, g *group) {
	if now < g.nextProbe {
		return
	}
	g.nextProbe = now + memberProbe
	for _, id := range g.members {
		if s, ok := c.servers[id]; ok && now-s.direct > memberProbe/2 {
			s.wantProbe = true
		}
	}
}

// isSuspect reports whether a member was named in a refusal.
func (c *Conductor) isSuspect(now time.Duration, g *group) bool {
	for _, id := range g.members {
		if now < c.suspects[id] {
			return true
		}
	}
	return false
}
