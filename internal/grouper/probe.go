package grouper

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// maxFaultyMembers is the maximum number of faulty members that a host reports
	// to the controller at once.
	maxFaultyMembers = 8
	// spareProbePeriod is the time between two of the controller's probes of a
	// spare server.
	spareProbePeriod = 5 * time.Second
	// dispatchedProbePeriod is the time between two of the controller's probes of
	// a server that its dispatcher also probes.
	dispatchedProbePeriod = 60 * time.Second
)

// ScheduleProbes requests the probes that are due. A dispatcher probes the
// members of its own groups; the controller also probes all engines.
func (g *Grouper) ScheduleProbes(now fuchsiapitch.Instant) {
	targets := g.dispatcherTargets(now.Monotonic())
	if g.controller != nil {
		targets = append(targets, g.controllerTargets()...)
		if g.controller.stage == stageReadingBack || g.controller.stage == stageRereading {
			g.health.probeTokens = max(g.health.probeTokens, readBackProbesPerTick)
		}
	}
	merged := g.mergeTargets(targets)
	// Forget the servers that this host no longer probes. Its data on them would go
	// stale, and their dispatchers have newer data.
	g.health.Retain(targetFilter(merged), g.groupExists)
	for _, id := range g.health.TakeDueProbes(now.Monotonic(), merged) {
		g.actions.Probes = append(g.actions.Probes, g.servers[id].server)
	}
}

// targetFilter returns a predicate for the servers among the targets.
func targetFilter(targets []ProbeTarget) func(fuchsiapitch.ServerID) bool {
	set := make(map[fuchsiapitch.ServerID]bool, len(targets))
	for _, t := range targets {
		set[t.Server] = true
	}
	return func(id fuchsiapitch.ServerID) bool { return set[id] }
}

func (g *Grouper) groupExists(id fuchsiapitch.GroupID) bool {
	_, ok := g.speculative.Group(id)
	return ok
}

// mergeTargets keeps one target per known server, with the shortest period.
func (g *Grouper) mergeTargets(targets []ProbeTarget) []ProbeTarget {
	periods := make(map[fuchsiapitch.ServerID]time.Duration)
	for _, t := range targets {
		if p, ok := periods[t.Server]; !ok || t.Period < p {
			periods[t.Server] = t.Period
		}
	}
	merged := make([]ProbeTarget, 0, len(periods))
	for _, id := range slices.Sorted(maps.Keys(periods)) {
		if _, ok := g.servers[id]; ok {
			merged = append(merged, ProbeTarget{Server: id, Period: periods[id]})
		}
	}
	return merged
}

func (g *Grouper) dispatcherTargets(now time.Duration) []ProbeTarget {
	var list []ProbeTarget
	for _, group := range g.speculative.Groups() {
		if !g.isDispatcher(fuchsiapitch.ReplicaID(group.ID)) {
			continue
		}
		for _, m := range group.Members {
			list = append(list, ProbeTarget{Server: m, Period: g.memberProbePeriod(now, group, m)})
		}
	}
	return list
}

func (g *Grouper) memberProbePeriod(now time.Duration, group Group, member fuchsiapitch.ServerID) time.Duration {
	switch fault := g.health.CheckGroup(now, group, g.isLeaving); {
	case fault == MemberStray || fault == MemberLoading:
		return loadingProbePeriod
	case g.health.isStreaming(now, group.ID) && member == group.Members[0]:
		return streamingLeaderProbePeriod
	case g.health.isStreaming(now, group.ID):
		return streamingMemberProbePeriod
	case g.busyReplicas[fuchsiapitch.ReplicaID(group.ID)]:
		return stalledProbePeriod
	}
	return idleProbePeriod
}

func (g *Grouper) controllerTargets() []ProbeTarget {
	periods := make(map[fuchsiapitch.GroupID]time.Duration)
	for _, group := range g.speculative.Groups() {
		periods[group.ID] = g.controllerProbePeriod(group)
	}
	list := make([]ProbeTarget, 0, len(g.engines))
	for _, id := range g.engines {
		period := spareProbePeriod
		if groupID, ok := g.speculative.GroupOf(id); ok {
			period = periods[groupID]
		}
		list = append(list, ProbeTarget{Server: id, Period: period})
	}
	return list
}

// controllerProbePeriod returns how often the controller itself probes the
// members of a group: often while the group changes, seldom while its dispatcher
// probes it anyway.
func (g *Grouper) controllerProbePeriod(group Group) time.Duration {
	if group.Draining {
		return idleProbePeriod
	}
	for _, m := range group.Members {
		status, ok := g.health.LastStatus(m)
		if !ok || !group.Matches(status) || !status.Ready() {
			return loadingProbePeriod
		}
	}
	return dispatchedProbePeriod
}

// updateFaultyMembers records which members of this host's groups are faulty,
// and requests a heartbeat to the controller when the list changes and is not
// empty.
func (g *Grouper) updateFaultyMembers(now time.Duration) {
	var faulty []fuchsiapitch.ServerID
	for _, group := range g.speculative.Groups() {
		if !g.isDispatcher(fuchsiapitch.ReplicaID(group.ID)) || group.Draining {
			continue
		}
		for _, m := range group.Members {
			fault := g.health.checkMember(now, group, m)
			if fault == 0 && g.isLeaving(m) {
				fault = MemberLeaving
			}
			if fault != 0 && fault != MemberUnproved && len(faulty) < maxFaultyMembers {
				faulty = append(faulty, m)
			}
		}
	}
	if !slices.Equal(faulty, g.faultyMembers) && len(faulty) > 0 {
		g.actions.SendHeartbeats = true
	}
	g.faultyMembers = faulty
	g.updateCounters(now)
}
