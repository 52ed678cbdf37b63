package coordinator

import (
	"fmt"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// assembleGroup orders the members of a new formation to join, and its leader to open
// once every member has reported ready.
func (c *Coordinator) assembleGroup(now time.Duration, g *group) {
	ready := 0
	for _, id := range g.members {
		s, ok := c.servers[id]
		if !ok {
			return
		}
		if !s.isMemberOf(g.ref) {
			c.joinGroup(now, g, s)
			continue
		}
		switch s.report.Membership.State {
		case fuchsiapitch.MemberReady:
			ready++
		case fuchsiapitch.MemberJoining:
			c.scheduleProbe(now, s)
		case fuchsiapitch.MemberOpen, fuchsiapitch.MemberClosing, fuchsiapitch.MemberBroken:
		}
	}
	leader := c.servers[g.leader()]
	if ready < g.size || len(g.members) != g.size {
		return
	}
	if leader.openInProgress {
		return
	}
	if leader.report.OrderInProgress {
		c.scheduleProbe(now, leader)
		return
	}
	c.sendOrder(now, g.leader(), fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderOpen, Group: g.ref})
}

// joinGroup orders a server to join a formation. A server never rejoins a formation
// that it has left, so one that has accepted an order since and is not a member counts
// as having left.
func (c *Coordinator) joinGroup(now time.Duration, g *group, s *server) {
	id := s.report.ID
	ordersBefore, wasOrdered := g.ordersBeforeJoin[id]
	switch {
	case wasOrdered && s.report.AcceptedOrdersKnown && s.report.AcceptedOrders != ordersBefore:
		g.markFailed(c, "member left", id)
	case !c.mayJoin(s):
		c.releasePreviousLeader(now, s, g)
	case c.sendOrder(now, id, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderJoin, Group: g.ref, Model: g.model, Members: g.members}):
		if g.ordersBeforeJoin == nil {
			g.ordersBeforeJoin = make(map[fuchsiapitch.ServerID]int64)
		}
		if !wasOrdered {
			g.ordersBeforeJoin[id] = s.report.AcceptedOrders
		}
	}
}

// scheduleProbe schedules a probe of a server that is carrying out an order.
func (c *Coordinator) scheduleProbe(now time.Duration, s *server) {
	if !s.needsProbe {
		s.needsProbe, s.nextProbeAt = true, now+orderPollInterval
	}
}

// mayJoin reports whether a server may join another formation: it is in none, or the
// leader of its formation can no longer serve that. A leader may join another formation
// if it accepts no requests.
func (c *Coordinator) mayJoin(s *server) bool {
	m := s.report.Membership
	if m.Group.Name == "" {
		return true
	}
	if c.leaders[m.Group] == s.report.ID {
		return m.State == fuchsiapitch.MemberReady && !s.isOpening() || m.State == fuchsiapitch.MemberJoining || m.State == fuchsiapitch.MemberBroken
	}
	return c.hasLeaderLeft(m.Group)
}

// leaveLostLeader orders a member to leave a formation whose leader is lost. The leader
// may still be running, but cannot serve without the member.
func (c *Coordinator) leaveLostLeader(now time.Duration, s *server) {
	ref := s.report.Membership.Group
	if c.isLeaderLost(ref) && c.leaders[ref] != s.report.ID {
		s.leaveInFlight = c.sendOrder(now, s.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: ref}) || s.leaveInFlight
	}
}

// sendOrder emits an order to a server and reports whether it did. It emits none while
// a call to the server is in flight, the server's state is not known, or the limits on
// loads do not allow it.
func (c *Coordinator) sendOrder(now time.Duration, id fuchsiapitch.ServerID, o fuchsiapitch.GroupOrder) bool {
	s, ok := c.servers[id]
	if !ok || s.probeInFlight || s.orderInFlight || s.replaced || now < s.noOrdersUntil {
		return false
	}
	if s.consecutiveFailures > 0 || s.lastResponseAt < c.controllerSince || !s.report.AcceptedOrdersKnown || s.needsProbe && now >= s.nextProbeAt {
		s.needsProbe = true
		c.probe(now, s)
		return false
	}
	if !c.reserveLoad(now, s, o) {
		return false
	}
	if o.Kind == fuchsiapitch.OrderOpen && s.needsProbe && now < s.nextProbeAt {
		return false
	}
	o.Server, o.Address, o.ExpectedAcceptedOrders, o.FencingToken = id, s.report.Address, s.report.AcceptedOrders, c.ownClaim
	if err := c.checkOrder(o, s); err != nil {
		c.violations++
		c.log(err.Error(), map[string]any{"invariant": err.Invariant})
		return false
	}
	s.orderInFlight = true
	c.log("sending order to server", map[string]any{"order": o.Kind.String(), logFieldServer: id, "group": o.Group.Name, "model": o.Model, "after": o.ExpectedAcceptedOrders})
	c.emit(SendOrder{Order: o})
	return true
}

// checkOrder returns an error if an order would violate an invariant. Such an order is
// not sent.
func (c *Coordinator) checkOrder(o fuchsiapitch.GroupOrder, s *server) *fuchsiapitch.InvariantError {
	var violatedInvariant string
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if !c.mayJoin(s) {
			violatedInvariant = "one-group-per-server"
		}
	case fuchsiapitch.OrderOpen:
		g := c.groups[o.Group]
		for _, id := range g.members {
			m := c.servers[id]
			if !m.isMemberOf(o.Group) || m.report.Membership.State != fuchsiapitch.MemberReady {
				violatedInvariant = "whole-or-not-serving"
			}
		}
	case fuchsiapitch.OrderStage, fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict, fuchsiapitch.OrderLeave:
	}
	if violatedInvariant == "" {
		return nil
	}
	return &fuchsiapitch.InvariantError{Invariant: violatedInvariant, Detail: fmt.Sprintf("%s to %s for %s", o.Kind, o.Server, o.Group.Name)}
}
