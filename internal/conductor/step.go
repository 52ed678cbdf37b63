package conductor

import (
	"fmt"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// gather has the members of a new formation join, and opens it when each of
// them has reported ready.
func (c *Conductor) gather(now time.Duration, g *group) {
	ready := 0
	for _, id := range g.members {
		s := c.servers[id]
		if !s.in(g.ref) {
			c.join(now, g, s)
			continue
		}
		switch s.report.Membership.State {
		case fuchsiapitch.MemberReady:
			ready++
		case fuchsiapitch.MemberJoining:
			c.poll(now, s)
		case fuchsiapitch.MemberOpen, fuchsiapitch.MemberClosing, fuchsiapitch.MemberBroken:
		}
	}
	head := c.servers[g.head()]
	if ready < g.size || len(g.members) != g.size {
		return
	}
	if head.opening {
		return
	}
	if head.report.Busy {
		c.poll(now, head)
		return
	}
	c.order(now, g.head(), fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderOpen, Group: g.ref})
}

// join has a server join a formation. What has left a formation never comes back
// to it: a member that took the order and is not in it has left.
func (c *Conductor) join(now time.Duration, g *group, s *server) {
	id := s.report.ID
	after, asked := g.asked[id]
	switch {
	case asked && s.report.OrdersKnown && s.report.Orders != after:
		g.fail(c, "member left", id)
	case !c.mayJoin(s):
		c.releaseHead(now, s, g)
	case c.order(now, id, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderJoin, Group: g.ref, Model: g.model, Members: g.members}):
		if g.asked == nil {
			g.asked = make(map[fuchsiapitch.ServerID]int64)
		}
		if !asked {
			g.asked[id] = s.report.Orders
		}
	}
}

// poll has a server that is at work asked a little later.
func (c *Conductor) poll(now time.Duration, s *server) {
	if !s.wantProbe {
		s.wantProbe, s.nextProbe = true, now+joinPoll
	}
}

// mayJoin reports whether a server may join another formation: it is in none,
// or the leader of the one it is in can serve it no more. A leader itself may
// go while it takes no requests.
func (c *Conductor) mayJoin(s *server) bool {
	m := s.report.Membership
	if m.Group.Name == "" {
		return true
	}
	if c.heads[m.Group] == s.report.ID {
		return m.State == fuchsiapitch.MemberReady && !s.isOpening() || m.State == fuchsiapitch.MemberJoining || m.State == fuchsiapitch.MemberBroken
	}
	return c.headHasLeft(m.Group)
}

// leaveSilentHead has a member leave a formation whose leader does not answer. A
// leader that goes on unseen cannot work without it.
func (c *Conductor) leaveSilentHead(now time.Duration, s *server) {
	ref := s.report.Membership.Group
	if c.isHeadSilent(ref) && c.heads[ref] != s.report.ID {
		s.freeing = c.order(now, s.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: ref}) || s.freeing
	}
}

// order emits an order to a server and reports whether it did. It does not while
// a call to the server is under way or its state is not known.
func (c *Conductor) order(now time.Duration, id fuchsiapitch.ServerID, o fuchsiapitch.GroupOrder) bool {
	s, ok := c.servers[id]
	if !ok || s.asking || s.ordering || s.ended || now < s.heldUntil {
		return false
	}
	if s.failures > 0 || s.direct < c.leadsSince || !s.report.OrdersKnown || s.wantProbe && now >= s.nextProbe {
		s.wantProbe = true
		c.ask(now, s)
		return false
	}
	if !c.reserveLoad(now, s, o) {
		return false
	}
	if o.Kind == fuchsiapitch.OrderOpen && s.wantProbe && now < s.nextProbe {
		return false
	}
	o.Server, o.Address, o.After, o.Fence = id, s.report.Address, s.report.Orders, c.claim
	if err := c.check(o, s); err != nil {
		c.violations++
		c.note(err.Error(), map[string]any{"invariant": err.Invariant})
		return false
	}
	s.ordering = true
	c.note("order", map[string]any{"order": o.Kind.String(), fieldServer: id, "group": o.Group.Name, "model": o.Model, "after": o.After})
	c.emit(GiveOrder{Order: o})
	return true
}

// check asserts what must hold for an order. An order that it finds wrong is not
// given.
func (c *Conductor) check(o fuchsiapitch.GroupOrder, s *server) *fuchsiapitch.InvariantError {
	var broken string
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if !c.mayJoin(s) {
			broken = "one-group-per-server"
		}
	case fuchsiapitch.OrderOpen:
		g := c.groups[o.Group]
		for _, id := range g.members {
			m := c.servers[id]
			if !m.in(o.Group) || m.report.Membership.State != fuchsiapitch.MemberReady {
				broken = "whole-or-not-serving"
			}
		}
	case fuchsiapitch.OrderStage, fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict, fuchsiapitch.OrderLeave:
	}
	if broken == "" {
		return nil
	}
	return &fuchsiapitch.InvariantError{Invariant: broken, Detail: fmt.Sprintf("%s to %s for %s", o.Kind, o.Server, o.Group.Name)}
}
