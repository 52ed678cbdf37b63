package grouper

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// outstanding is an order without a report.
type outstanding struct {
	fence fuchsiapitch.Fence
	since time.Duration
}

// giveOrders orders every member that does not report the assignment of its
// group. An assignment is in the stream before it is ordered, unless the log is
// away and the electors' promises stand in for the lease. An assignment that a
// later one on its way into the stream replaces is not ordered.
func (g *Grouper) giveOrders(now fuchsiapitch.Instant, expiry fuchsiapitch.Instant) {
	t := g.tenure
	source := g.fold
	if !t.lease.Holds(now) {
		source = g.view
	}
	for id, o := range t.orders {
		if now.Monotonic()-o.since >= orderRetryTime {
			delete(t.orders, id)
		}
	}
	loading := g.loading(source)
	for _, group := range g.byUrgency(source.Groups()) {
		newest, ok := g.view.Group(group.ID)
		if group.Fence.Term() != t.term || !ok || newest.Fence != group.Fence || !g.needsOrders(group) {
			continue
		}
		if cold := g.coldMembers(group); cold > 0 {
			if loading > 0 && loading+cold > loadLimit {
				continue
			}
			loading += cold
		}
		g.orderGroup(now, group, expiry)
	}
}

func (g *Grouper) orderGroup(now fuchsiapitch.Instant, group Group, expiry fuchsiapitch.Instant) {
	t := g.tenure
	for _, m := range group.Members {
		k, listed := g.servers[m]
		a, reported := g.health.Account(m)
		if _, busy := t.orders[m]; busy || !listed || !reported || g.health.Silent(m) || group.Matches(a) {
			continue
		}
		g.checkOrder(now, m, group.Fence)
		t.orders[m] = outstanding{fence: group.Fence, since: now.Monotonic()}
		t.given[m] = group.Fence
		g.counters.Orders++
		order := fuchsiapitch.NewOrder(group.Fence, group.Assignment())
		g.actions.Orders = append(g.actions.Orders, Give{Server: k.server, Order: order, Expiry: expiry})
	}
}

// checkOrder asserts that an order is given under a lease or promises and that
// fencing numbers never go back.
func (g *Grouper) checkOrder(now fuchsiapitch.Instant, server fuchsiapitch.ServerID, fence fuchsiapitch.Fence) {
	t := g.tenure
	if _, ok := t.permission(now, g.fold, g.self); !ok || !g.holds() {
		g.breach("order-under-lease", fmt.Sprintf("order to %s in term %d without a lease", server, t.term))
	}
	if fence.Term() != t.term || fence.Less(t.given[server]) {
		g.breach("fence-never-back", fmt.Sprintf("order to %s with %d.%d", server, fence.Term(), fence.Sequence()))
	}
}

func (g *Grouper) needsOrders(group Group) bool {
	return slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool {
		a, ok := g.health.Account(m)
		return ok && !group.Matches(a)
	})
}

// loading returns the number of servers that load weights now.
func (g *Grouper) loading(source *Fold) int {
	count := 0
	for _, group := range source.Groups() {
		for _, m := range group.Members {
			a, ok := g.health.Account(m)
			if ok && group.Matches(a) && !a.Ready() && !g.health.Silent(m) {
				count++
			}
		}
	}
	return count
}

// coldMembers returns the number of members that have to load weights.
func (g *Grouper) coldMembers(group Group) int {
	cold := 0
	for _, m := range group.Members {
		a, _ := g.health.Account(m)
		if !group.Matches(a) && (a.Assignment().Model() != group.Model || a.Assignment().Version() != group.Version) {
			cold++
		}
	}
	return cold
}

// byUrgency sorts groups by the urgency of their service's rank, then by worth.
func (g *Grouper) byUrgency(groups []Group) []Group {
	order := func(group Group) (int, float64) {
		s, _ := g.configuration.Service(group.Service)
		r, _ := g.configuration.Rank(s.Rank())
		return r.Order(), s.Worth()
	}
	groups = slices.Clone(groups)
	slices.SortStableFunc(groups, func(a, b Group) int {
		ra, wa := order(a)
		rb, wb := order(b)
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

// OrderEnded takes in the end of an order. The account in the answer tells the
// server's state; without one the server is probed.
func (g *Grouper) OrderEnded(now fuchsiapitch.Instant, server fuchsiapitch.ServerID, fence fuchsiapitch.Fence, account *fuchsiapitch.Account) {
	if account != nil {
		g.health.Report(now.Monotonic(), *account)
	} else {
		g.Suspect([]fuchsiapitch.ServerID{server})
	}
	if g.tenure == nil {
		return
	}
	if o, ok := g.tenure.orders[server]; ok && o.fence == fence && account != nil {
		delete(g.tenure.orders, server)
	}
}
