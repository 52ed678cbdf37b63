package grouper

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// brokenLimit is the largest number of servers that a host tells the
	// controller of at once.
	brokenLimit = 8
	// sparePeriod is the time between two probes of a spare server.
	sparePeriod = 5 * time.Second
	// sweepPeriod is the time between two probes of a server that its
	// dispatcher watches.
	sweepPeriod = 60 * time.Second
)

// Probe asks for the accounts of the servers that this host watches: as
// dispatcher those of its own groups, as controller the others.
func (g *Grouper) Probe(now fuchsiapitch.Instant) {
	watches := g.dispatcherWatches(now.Monotonic())
	if g.tenure != nil {
		watches = append(watches, g.controllerWatches()...)
		if g.tenure.stage == reading || g.tenure.stage == rereading {
			g.health.tokens = max(g.health.tokens, readBackChunk)
		}
	}
	merged := g.merge(watches)
	// What is no longer watched grows stale; its dispatcher knows more.
	g.health.Keep(watched(merged), g.isGroup)
	for _, id := range g.health.Due(now.Monotonic(), merged) {
		g.actions.Probes = append(g.actions.Probes, g.servers[id].server)
	}
}

func watched(watches []Watch) func(fuchsiapitch.ServerID) bool {
	set := make(map[fuchsiapitch.ServerID]bool, len(watches))
	for _, w := range watches {
		set[w.Server] = true
	}
	return func(id fuchsiapitch.ServerID) bool { return set[id] }
}

func (g *Grouper) isGroup(id fuchsiapitch.GroupID) bool {
	_, ok := g.view.Group(id)
	return ok
}

// merge keeps the shortest period of each known server.
func (g *Grouper) merge(watches []Watch) []Watch {
	periods := make(map[fuchsiapitch.ServerID]time.Duration)
	for _, w := range watches {
		if p, ok := periods[w.Server]; !ok || w.Period < p {
			periods[w.Server] = w.Period
		}
	}
	merged := make([]Watch, 0, len(periods))
	for _, id := range slices.Sorted(maps.Keys(periods)) {
		if _, ok := g.servers[id]; ok {
			merged = append(merged, Watch{Server: id, Period: periods[id]})
		}
	}
	return merged
}

func (g *Grouper) dispatcherWatches(now time.Duration) []Watch {
	var list []Watch
	for _, group := range g.view.Groups() {
		if !g.owner(fuchsiapitch.ReplicaID(group.ID)) {
			continue
		}
		for _, m := range group.Members {
			list = append(list, Watch{Server: m, Period: g.watchPeriod(now, group, m)})
		}
	}
	return list
}

func (g *Grouper) watchPeriod(now time.Duration, group Group, member fuchsiapitch.ServerID) time.Duration {
	switch fault := g.health.Check(now, group, g.isLeaving); {
	case fault == MemberStray || fault == MemberLoading:
		return loadingProbePeriod
	case g.health.isStreaming(now, group.ID) && member == group.Members[0]:
		return busyLeaderPeriod
	case g.health.isStreaming(now, group.ID):
		return busyMemberPeriod
	case g.running[fuchsiapitch.ReplicaID(group.ID)]:
		return stalledProbePeriod
	}
	return idleProbePeriod
}

func (g *Grouper) controllerWatches() []Watch {
	periods := make(map[fuchsiapitch.GroupID]time.Duration)
	for _, group := range g.view.Groups() {
		periods[group.ID] = g.memberPeriod(group)
	}
	list := make([]Watch, 0, len(g.engines))
	for _, id := range g.engines {
		period := sparePeriod
		if place, ok := g.view.Place(id); ok {
			period = periods[place]
		}
		list = append(list, Watch{Server: id, Period: period})
	}
	return list
}

// memberPeriod returns how often the controller itself looks at the members of
// a group: often while it changes, seldom while its dispatcher watches it.
func (g *Grouper) memberPeriod(group Group) time.Duration {
	if group.Draining {
		return idleProbePeriod
	}
	for _, m := range group.Members {
		a, ok := g.health.Account(m)
		if !ok || !group.Matches(a) || !a.Ready() {
			return loadingProbePeriod
		}
	}
	return sweepPeriod
}

// observe notes which members of this host's groups are not as they should be,
// and tells the controller of a change at once.
func (g *Grouper) observe(now time.Duration) {
	var broken []fuchsiapitch.ServerID
	for _, group := range g.view.Groups() {
		if !g.owner(fuchsiapitch.ReplicaID(group.ID)) || group.Draining {
			continue
		}
		for _, m := range group.Members {
			fault := g.health.checkMember(now, group, m)
			if fault == 0 && g.isLeaving(m) {
				fault = MemberLeaving
			}
			if fault != 0 && fault != MemberUnproved && len(broken) < brokenLimit {
				broken = append(broken, m)
			}
		}
	}
	if !slices.Equal(broken, g.broken) && len(broken) > 0 {
		g.actions.Tell = true
	}
	g.broken = broken
	g.count(now)
}
