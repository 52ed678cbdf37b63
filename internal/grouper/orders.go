package grouper

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// outstandingOrder is an order that has been issued and not answered yet.
type outstandingOrder struct {
	fencingToken fuchsiapitch.FencingToken
	issuedAt     time.Duration
}

// issueOrders issues orders to the members that do not report the assignment of
// their group. An assignment is normally ordered only once it is committed to
// the stream. While the log is unavailable and the electors' promises replace
// the lease, speculative assignments are ordered too. An assignment that a
// queued record supersedes is not ordered.
func (g *Grouper) issueOrders(now fuchsiapitch.Instant, expiry fuchsiapitch.Instant) {
	cs := g.controller
	state := g.committed
	if !cs.lease.IsValid(now) {
		state = g.speculative
	}
	for id, o := range cs.outstandingOrders {
		if now.Monotonic()-o.issuedAt >= orderRetryDelay {
			delete(cs.outstandingOrders, id)
		}
	}
	loadingServers := g.loadingCount(state)
	for _, group := range g.sortedByUrgency(state.Groups()) {
		newest, ok := g.speculative.Group(group.ID)
		if group.FencingToken.Term() != cs.term || !ok || newest.FencingToken != group.FencingToken || !g.needsOrders(group) {
			continue
		}
		if cold := g.coldMemberCount(group); cold > 0 {
			if loadingServers > 0 && loadingServers+cold > maxLoadingServers {
				continue
			}
			loadingServers += cold
		}
		g.issueGroupOrders(now, group, expiry)
	}
}

func (g *Grouper) issueGroupOrders(now fuchsiapitch.Instant, group Group, expiry fuchsiapitch.Instant) {
	cs := g.controller
	for _, m := range group.Members {
		k, listed := g.servers[m]
		status, reported := g.health.LastStatus(m)
		if _, isOutstanding := cs.outstandingOrders[m]; isOutstanding || !listed || !reported || g.health.IsSilent(m) || group.Matches(status) {
			continue
		}
		g.assertOrderAllowed(now, m, group.FencingToken)
		cs.outstandingOrders[m] = outstandingOrder{fencingToken: group.FencingToken, issuedAt: now.Monotonic()}
		cs.lastFencingTokens[m] = group.FencingToken
		g.counters.OrdersIssued++
		order := fuchsiapitch.NewOrder(group.FencingToken, group.Assignment())
		g.actions.Orders = append(g.actions.Orders, IssuedOrder{Server: k.server, Order: order, Expiry: expiry})
	}
}

// assertOrderAllowed asserts that an order is permitted by a lease or by
// promises, and that the fencing tokens sent to a server never decrease.
func (g *Grouper) assertOrderAllowed(now fuchsiapitch.Instant, server fuchsiapitch.ServerID, fencingToken fuchsiapitch.FencingToken) {
	cs := g.controller
	if _, ok := cs.orderPermission(now, g.committed, g.self); !ok || !g.holdsTerm() {
		g.reportViolation("order-under-lease", fmt.Sprintf("order to server %s in term %d, which is over or has neither a valid lease nor the promises of all electors", server, cs.term))
	}
	if fencingToken.Term() != cs.term || fencingToken.Less(cs.lastFencingTokens[server]) {
		g.reportViolation("fence-never-back", fmt.Sprintf("order to server %s has fencing token %d.%d, which is from another term or lower than its last one", server, fencingToken.Term(), fencingToken.Sequence()))
	}
}

func (g *Grouper) needsOrders(group Group) bool {
	return slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool {
		status, ok := g.health.LastStatus(m)
		return ok && !group.Matches(status)
	})
}

// loadingCount returns the number of servers that are loading weights.
func (g *Grouper) loadingCount(state *StateMachine) int {
	count := 0
	for _, group := range state.Groups() {
		for _, m := range group.Members {
			status, ok := g.health.LastStatus(m)
			if ok && group.Matches(status) && !status.Ready() && !g.health.IsSilent(m) {
				count++
			}
		}
	}
	return count
}

// coldMemberCount returns the number of members that have to load weights for
// the group's assignment.
func (g *Grouper) coldMemberCount(group Group) int {
	cold := 0
	for _, m := range group.Members {
		status, _ := g.health.LastStatus(m)
		if !group.Matches(status) && (status.Assignment().Model() != group.Model || status.Assignment().Version() != group.Version) {
			cold++
		}
	}
	return cold
}

// sortedByUrgency returns the groups ordered by the rank of their service, then
// by descending placement weight.
func (g *Grouper) sortedByUrgency(groups []Group) []Group {
	urgency := func(group Group) (int, float64) {
		s, _ := g.configuration.Service(group.Service)
		r, _ := g.configuration.Rank(s.Rank())
		return r.Order(), s.PlacementWeight()
	}
	groups = slices.Clone(groups)
	slices.SortStableFunc(groups, func(a, b Group) int {
		ra, wa := urgency(a)
		rb, wb := urgency(b)
		switch {
		case ra != rb:
			return ra - rb
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return groups
}

// OrderEnded handles the end of an order. The status is the one in the server's
// answer. If it is nil, the server is probed.
func (g *Grouper) OrderEnded(now fuchsiapitch.Instant, server fuchsiapitch.ServerID, fencingToken fuchsiapitch.FencingToken, status *fuchsiapitch.EngineStatus) {
	if status != nil {
		g.health.RecordStatus(now.Monotonic(), *status)
	} else {
		g.RequestProbes([]fuchsiapitch.ServerID{server})
	}
	if g.controller == nil {
		return
	}
	if o, ok := g.controller.outstandingOrders[server]; ok && o.fencingToken == fencingToken && status != nil {
		delete(g.controller.outstandingOrders, server)
	}
}
