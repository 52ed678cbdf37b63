package grouper

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// maxDrainTime is the maximum time that running requests get to finish before
	// their group is changed.
	maxDrainTime = 10 * time.Minute
	// drainSettleTime is how long a group must have been draining before a report
	// without running requests counts, because such reports lag.
	drainSettleTime = 2 * time.Second
	// rolloutTimeout is the time within which a group must work after it was
	// assigned a new version.
	rolloutTimeout = 10 * time.Minute
	// unlistedGracePeriod is the time from the start of a term after which a
	// member that has never been in the platform's list counts as lost.
	unlistedGracePeriod = time.Minute
	// abandonDelay is the time after which a group whose members are all lost is
	// disbanded.
	abandonDelay = 10 * time.Minute
)

// rolloutCheck is the start of the rollout check for one assignment of a group.
type rolloutCheck struct {
	fencingToken fuchsiapitch.FencingToken
	startedAt    time.Duration
}

// groupState is the state of a group as the controller judges it. The order of
// the values matters: sortedByState sorts by it.
type groupState int

const (
	// groupWorking means that every member reports the assignment and is ready.
	groupWorking groupState = iota + 1
	// groupForming means that a member has not adopted the assignment or is still
	// loading.
	groupForming
	// groupDraining means that the group takes no new requests.
	groupDraining
	// groupBroken means that a member is lost.
	groupBroken
)

// planChanges queues the changes that bring the groups closer to the
// configuration.
func (g *Grouper) planChanges(now fuchsiapitch.Instant) {
	cs := g.controller
	if now.Monotonic()-cs.lastPlannedAt < planPeriod || g.configuration.Offset() == 0 {
		return
	}
	if cs.lease.IsValid(now) && len(cs.appendQueue) > 0 {
		return
	}
	cs.lastPlannedAt = now.Monotonic()
	p := newPlanner(g, now.Monotonic())
	changes := slices.Concat(g.electorEvictions(now.Monotonic()), p.retireGroups(), p.rollOut(), p.renewFencingTokens(), p.formGroups())
	if len(changes) > 0 {
		g.enqueueRecord(now, Renewal, changes)
	}
}

// planner holds the state of one planning step. A step changes each group at
// most once.
type planner struct {
	*Grouper
	now           time.Duration
	groups        []Group
	groupStates   map[fuchsiapitch.GroupID]groupState
	changedGroups map[fuchsiapitch.GroupID]bool
}

func newPlanner(g *Grouper, now time.Duration) *planner {
	p := &planner{
		Grouper: g, now: now, groups: g.speculative.Groups(),
		groupStates:   make(map[fuchsiapitch.GroupID]groupState),
		changedGroups: make(map[fuchsiapitch.GroupID]bool),
	}
	for _, group := range p.groups {
		p.groupStates[group.ID] = p.classify(group)
		if p.groupStates[group.ID] == groupWorking {
			g.controller.workingFencingTokens[group.ID] = group.FencingToken
		}
		if !group.Draining {
			delete(g.controller.drainingSince, group.ID)
		} else if _, ok := g.controller.drainingSince[group.ID]; !ok {
			g.controller.drainingSince[group.ID] = now
		}
	}
	return p
}

func (p *planner) classify(group Group) groupState {
	forming := false
	for _, m := range group.Members {
		if p.isLost(m) {
			return groupBroken
		}
		status, ok := p.health.LastStatus(m)
		forming = forming || !ok || !group.Matches(status) || !status.Ready()
	}
	switch {
	case group.Draining:
		return groupDraining
	case forming:
		return groupForming
	}
	return groupWorking
}

// isLost reports whether a member is gone: it is silent, or it is still unknown
// unlistedGracePeriod after the start of the term. The platform's list lags, so
// a missing entry alone proves nothing.
func (p *planner) isLost(id fuchsiapitch.ServerID) bool {
	if _, ok := p.servers[id]; !ok {
		return p.now-p.controller.termStartedAt >= unlistedGracePeriod
	}
	return p.health.IsSilent(id)
}

// hasLeavingMember reports whether a member of the group is about to leave.
func (p *planner) hasLeavingMember(group Group) bool {
	return slices.ContainsFunc(group.Members, p.isLeaving)
}

// isDrained reports whether a draining group can be changed: its running requests
// have finished, it is broken, or maxDrainTime has passed.
func (p *planner) isDrained(group Group) bool {
	since, ok := p.controller.drainingSince[group.ID]
	if !ok {
		return false
	}
	if p.groupStates[group.ID] == groupBroken || p.now-since >= maxDrainTime {
		return true
	}
	leader := group.Members[0]
	status, ok := p.health.LastStatus(leader)
	return ok && p.now-since >= drainSettleTime && p.health.ReportedSince(leader, since+drainSettleTime) && status.RunningRequests() == 0
}

func (p *planner) drainGroup(group Group) Change {
	p.changedGroups[group.ID] = true
	return Change{Kind: Drain, Group: Group{ID: group.ID}}
}

// retireGroups drains and disbands groups that exceed the configuration, have a
// leaving member or are abandoned.
func (p *planner) retireGroups() []Change {
	var list []Change
	count := make(map[fuchsiapitch.ServiceName]int)
	for _, group := range p.sortedByState() {
		service, ok := p.configuration.Service(group.Service)
		wanted := ok && service.Kind() == fuchsiapitch.ModelService
		if wanted && !p.hasLeavingMember(group) {
			count[group.Service]++
			wanted = count[group.Service] <= service.ReplicasPerDataCentre()
		}
		if wanted && !p.hasLeavingMember(group) && !p.isAbandoned(group) {
			continue
		}
		switch {
		case !group.Draining && p.groupStates[group.ID] != groupBroken:
			list = append(list, p.drainGroup(group))
		case p.isDrained(group), p.groupStates[group.ID] == groupBroken && (!wanted || p.isAbandoned(group)):
			p.changedGroups[group.ID] = true
			list = append(list, Change{Kind: Disband, Group: Group{ID: group.ID}})
		}
	}
	return list
}

// isAbandoned reports whether all members of a group have been lost for
// abandonDelay.
func (p *planner) isAbandoned(group Group) bool {
	if slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool { return !p.isLost(m) }) {
		delete(p.controller.allMembersLostSince, group.ID)
		return false
	}
	since, ok := p.controller.allMembersLostSince[group.ID]
	if !ok {
		p.controller.allMembersLostSince[group.ID] = p.now
		return false
	}
	return p.now-since >= abandonDelay
}

// sortedByState returns the groups with the working ones first, so that of the
// surplus groups the broken ones are removed first, then those that are draining
// and forming.
func (p *planner) sortedByState() []Group {
	groups := slices.Clone(p.groups)
	slices.SortStableFunc(groups, func(a, b Group) int { return int(p.groupStates[a.ID]) - int(p.groupStates[b.ID]) })
	return groups
}

// renewFencingTokens assigns forming groups again under a new fencing token. It
// selects groups that were assigned in an earlier term and need orders, groups
// with a member that reports a higher fencing token, and groups that have worked
// before with their present token: after the loss of a member, every member has
// to adopt the assignment again.
func (p *planner) renewFencingTokens() []Change {
	var list []Change
	for _, group := range p.groups {
		if p.changedGroups[group.ID] || p.groupStates[group.ID] != groupForming {
			continue
		}
		stoppedWorking := p.controller.workingFencingTokens[group.ID] == group.FencingToken
		stale := group.FencingToken.Term() != p.controller.term && p.needsOrders(group)
		overtaken := slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool {
			status, ok := p.health.LastStatus(m)
			return ok && group.FencingToken.Less(status.FencingToken())
		})
		if stale || overtaken || stoppedWorking {
			p.changedGroups[group.ID] = true
			list = append(list, Change{Kind: Assign, Group: group})
		}
	}
	return list
}

// formGroups rebuilds broken groups and forms new ones from the spare servers.
func (p *planner) formGroups() []Change {
	var demands []Demand
	for _, s := range p.configuration.Services() {
		if s.Kind() != fuchsiapitch.ModelService {
			continue
		}
		d := Demand{Service: s, Version: p.targetVersion(s)}
		for _, group := range p.groups {
			switch {
			case group.Service != s.Name():
			case p.groupStates[group.ID] != groupBroken || p.changedGroups[group.ID]:
				d.WorkingCount++
			default:
				d.BrokenGroups = append(d.BrokenGroups, group)
			}
		}
		demands = append(demands, d)
	}
	return PlaceGroups(demands, p.spareServers(), p.newGroupID)
}

func (p *planner) newGroupID() fuchsiapitch.GroupID {
	p.controller.groupCount++
	return fuchsiapitch.GroupID(fmt.Sprintf("%s-%d-%d", p.dataCentre, p.controller.term, p.controller.groupCount))
}

// spareServers returns the steady servers that are in no group and the
// survivors of broken groups, ordered by identifier.
func (p *planner) spareServers() []Spare {
	unavailable := make(map[fuchsiapitch.ServerID]bool)
	for _, group := range p.groups {
		if p.groupStates[group.ID] == groupBroken && !p.changedGroups[group.ID] {
			continue
		}
		for _, m := range group.Members {
			unavailable[m] = true
		}
	}
	var list []Spare
	for _, id := range p.engines {
		if unavailable[id] || p.isLeaving(id) || !p.health.IsSteady(p.now, id) {
			continue
		}
		status, _ := p.health.LastStatus(id)
		list = append(list, Spare{
			ID: id, Domain: p.servers[id].server.FabricDomain(),
			Model: status.Assignment().Model(), Version: status.Assignment().Version(),
			MemberIndex: slices.Index(status.Assignment().Members(), id), LoadedGroupSize: len(status.Assignment().Members()),
		})
	}
	return list
}
