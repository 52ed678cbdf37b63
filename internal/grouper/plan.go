package grouper

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// drainTimeLimit is the longest time that running requests get before a
	// group is changed.
	drainTimeLimit = 10 * time.Minute
	// drainSettleTime is the time after which a group without running requests
	// counts as drained. Reports of running requests lag.
	drainSettleTime = 2 * time.Second
	// firstCheckTime is the time in which a group must serve a new version.
	firstCheckTime = 10 * time.Minute
	// unlistedTime is the time after which a member that a new controller has
	// never found in the platform's list counts as lost.
	unlistedTime = time.Minute
	// abandonTime is the time after which a group without any answering member
	// is disbanded.
	abandonTime = 10 * time.Minute
)

// check is the state of a group's first check after an assignment.
type check struct {
	fence fuchsiapitch.Fence
	since time.Duration
}

// standing is the state of a group as the controller sees it.
type standing int

const (
	// groupWorking means that every member reports the assignment and is ready.
	groupWorking standing = iota + 1
	// groupForming means that members are still ordered or load.
	groupForming
	// groupDraining means that the group takes no new requests.
	groupDraining
	// groupBroken means that a member is lost.
	groupBroken
)

// plan queues the changes that bring the groups closer to the configuration.
func (g *Grouper) plan(now fuchsiapitch.Instant) {
	t := g.tenure
	if now.Monotonic()-t.planned < planPeriod || g.configuration.Offset() == 0 {
		return
	}
	if t.lease.Holds(now) && len(t.queue) > 0 {
		return
	}
	t.planned = now.Monotonic()
	p := newPlanner(g, now.Monotonic())
	changes := slices.Concat(g.evictions(now.Monotonic()), p.retire(), p.roll(), p.refence(), p.form())
	if len(changes) > 0 {
		g.enqueue(now, Renewal, changes)
	}
}

// planner holds one planning step. Each group is changed once in a step.
type planner struct {
	*Grouper
	now     time.Duration
	groups  []Group
	state   map[fuchsiapitch.GroupID]standing
	touched map[fuchsiapitch.GroupID]bool
}

func newPlanner(g *Grouper, now time.Duration) *planner {
	p := &planner{
		Grouper: g, now: now, groups: g.view.Groups(),
		state:   make(map[fuchsiapitch.GroupID]standing),
		touched: make(map[fuchsiapitch.GroupID]bool),
	}
	for _, group := range p.groups {
		p.state[group.ID] = p.judge(group)
		if p.state[group.ID] == groupWorking {
			g.tenure.formed[group.ID] = group.Fence
		}
		if !group.Draining {
			delete(g.tenure.drained, group.ID)
		} else if _, ok := g.tenure.drained[group.ID]; !ok {
			g.tenure.drained[group.ID] = now
		}
	}
	return p
}

func (p *planner) judge(group Group) standing {
	forming := false
	for _, m := range group.Members {
		if p.isLost(m) {
			return groupBroken
		}
		a, ok := p.health.Account(m)
		forming = forming || !ok || !group.Matches(a) || !a.Ready()
	}
	switch {
	case group.Draining:
		return groupDraining
	case forming:
		return groupForming
	}
	return groupWorking
}

// isLost reports whether a member is gone: its silence is confirmed, or the
// platform's list, which lags, has not named it for long.
func (p *planner) isLost(id fuchsiapitch.ServerID) bool {
	if _, ok := p.servers[id]; !ok {
		return p.now-p.tenure.began >= unlistedTime
	}
	return p.health.Silent(id)
}

// hasLeaver reports whether a member is about to leave.
func (p *planner) hasLeaver(group Group) bool {
	return slices.ContainsFunc(group.Members, p.isLeaving)
}

// isDrained reports whether the running requests of a draining group have ended
// or had their time.
func (p *planner) isDrained(group Group) bool {
	since, ok := p.tenure.drained[group.ID]
	if !ok {
		return false
	}
	if p.state[group.ID] == groupBroken || p.now-since >= drainTimeLimit {
		return true
	}
	leader := group.Members[0]
	a, ok := p.health.Account(leader)
	return ok && p.now-since >= drainSettleTime && p.health.Heard(leader, since+drainSettleTime) && a.Running() == 0
}

func (p *planner) drain(group Group) Change {
	p.touched[group.ID] = true
	return Change{Kind: Drain, Group: Group{ID: group.ID}}
}

// retire drains and disbands groups that the configuration no longer wants, that
// a member is about to leave, or that nobody answers for.
func (p *planner) retire() []Change {
	var list []Change
	count := make(map[fuchsiapitch.ServiceName]int)
	for _, group := range p.workingFirst() {
		service, ok := p.configuration.Service(group.Service)
		wanted := ok && service.Kind() == fuchsiapitch.ModelService
		if wanted && !p.hasLeaver(group) {
			count[group.Service]++
			wanted = count[group.Service] <= service.Replicas()
		}
		if wanted && !p.hasLeaver(group) && !p.isAbandoned(group) {
			continue
		}
		switch {
		case !group.Draining && p.state[group.ID] != groupBroken:
			list = append(list, p.drain(group))
		case p.isDrained(group), p.state[group.ID] == groupBroken && (!wanted || p.isAbandoned(group)):
			p.touched[group.ID] = true
			list = append(list, Change{Kind: Disband, Group: Group{ID: group.ID}})
		}
	}
	return list
}

// isAbandoned reports whether no member of a group has answered for long.
func (p *planner) isAbandoned(group Group) bool {
	if slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool { return !p.isLost(m) }) {
		delete(p.tenure.lost, group.ID)
		return false
	}
	since, ok := p.tenure.lost[group.ID]
	if !ok {
		p.tenure.lost[group.ID] = p.now
		return false
	}
	return p.now-since >= abandonTime
}

// workingFirst returns the groups with working ones first, so that surplus
// groups are those that serve least.
func (p *planner) workingFirst() []Group {
	groups := slices.Clone(p.groups)
	slices.SortStableFunc(groups, func(a, b Group) int { return int(p.state[a.ID]) - int(p.state[b.ID]) })
	return groups
}

// refence renews the fencing number of groups whose members do not report their
// assignment and were assigned in an earlier term, that report a higher number,
// or that worked before: after the loss of a member every member has to take up
// the assignment anew.
func (p *planner) refence() []Change {
	var list []Change
	for _, group := range p.groups {
		if p.touched[group.ID] || p.state[group.ID] != groupForming {
			continue
		}
		broke := p.tenure.formed[group.ID] == group.Fence
		stale := group.Fence.Term() != p.tenure.term && p.needsOrders(group)
		overtaken := slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool {
			a, ok := p.health.Account(m)
			return ok && group.Fence.Less(a.Fence())
		})
		if stale || overtaken || broke {
			p.touched[group.ID] = true
			list = append(list, Change{Kind: Assign, Group: group})
		}
	}
	return list
}

// form rebuilds broken groups and forms new ones from the spare servers.
func (p *planner) form() []Change {
	var demands []Demand
	for _, s := range p.configuration.Services() {
		if s.Kind() != fuchsiapitch.ModelService {
			continue
		}
		d := Demand{Service: s, Version: p.versionOf(s)}
		for _, group := range p.groups {
			switch {
			case group.Service != s.Name():
			case p.state[group.ID] != groupBroken || p.touched[group.ID]:
				d.Working++
			default:
				d.Broken = append(d.Broken, group)
			}
		}
		demands = append(demands, d)
	}
	return Form(demands, p.spares(), p.newGroupID)
}

func (p *planner) newGroupID() fuchsiapitch.GroupID {
	p.tenure.groups++
	return fuchsiapitch.GroupID(fmt.Sprintf("%s-%d-%d", p.dataCentre, p.tenure.term, p.tenure.groups))
}

// spares returns the steady servers in no group and the survivors of broken
// groups, in the order of their identifiers.
func (p *planner) spares() []Spare {
	busy := make(map[fuchsiapitch.ServerID]bool)
	for _, group := range p.groups {
		if p.state[group.ID] == groupBroken && !p.touched[group.ID] {
			continue
		}
		for _, m := range group.Members {
			busy[m] = true
		}
	}
	var list []Spare
	for _, id := range p.engines {
		if busy[id] || p.isLeaving(id) || !p.health.Steady(p.now, id) {
			continue
		}
		a, _ := p.health.Account(id)
		list = append(list, Spare{
			ID: id, Domain: p.servers[id].server.FabricDomain(),
			Model: a.Assignment().Model(), Version: a.Assignment().Version(),
			Place: slices.Index(a.Assignment().Members(), id), Size: len(a.Assignment().Members()),
		})
	}
	return list
}
