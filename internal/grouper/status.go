package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// strandedCountPeriod is the time between two counts of the stranded servers.
const strandedCountPeriod = time.Second

// Counters are the totals for metrics.
type Counters struct {
	// GroupDowntime is the time for which groups of this host were not whole,
	// summed over the groups.
	GroupDowntime time.Duration
	// StrandedServers is the number of servers in no working group, as counted by the
	// controller. It is 0 on other hosts.
	StrandedServers int
	// TermsHeld is the number of terms that this process has held.
	TermsHeld int
	// OrdersIssued is the number of orders that this process has issued.
	OrdersIssued int
}

// GroupStatus is the status of one group for operators.
type GroupStatus struct {
	// Group is the group as recorded in the stream.
	Group Group
	// DispatchedHere is true if this host dispatches for the group, so that its
	// health is known exactly.
	DispatchedHere bool
	// Whole is true if the group has no fault: every member is ready and reports
	// the recorded assignment.
	Whole bool
	// Fault is the first fault of a group that is not whole.
	Fault Fault
}

// Status is the status of the groups of a data centre for operators.
type Status struct {
	DataCentre fuchsiapitch.DataCentreName
	// Holder is the controller, "" if there is none.
	Holder fuchsiapitch.HostID
	// Term is the controller's term.
	Term fuchsiapitch.Term
	// Acting is true if this host is the controller and has finished its takeover.
	Acting bool
	// Groups are the groups ordered by identifier.
	Groups []GroupStatus
	// Stranded are the servers in no working group. It is empty unless this host
	// is the controller.
	Stranded []Stranded
}

// String returns the fault in kebab case.
func (f Fault) String() string {
	names := [...]string{"none", "member-unproved", "member-silent", "member-leaving", "member-stray", "member-loading"}
	if f < 0 || int(f) >= len(names) {
		return "invalid"
	}
	return names[f]
}

// Status returns the current status of the groups.
func (g *Grouper) Status(now fuchsiapitch.Instant) Status {
	s := Status{
		DataCentre: g.dataCentre, Holder: g.Holder(), Term: g.committed.Term(),
		Acting: g.controller != nil && g.controller.stage == stageActing, Stranded: g.stranded,
	}
	for _, group := range g.speculative.Groups() {
		fault := g.health.CheckGroup(now.Monotonic(), group, g.isLeaving)
		s.Groups = append(s.Groups, GroupStatus{
			Group: group, DispatchedHere: g.isDispatcher(fuchsiapitch.ReplicaID(group.ID)), Whole: fault == 0, Fault: fault,
		})
	}
	return s
}

// Counters returns the totals for metrics.
func (g *Grouper) Counters() Counters { return g.counters }

// updateCounters adds to the downtime of this host's groups and counts the
// stranded servers.
func (g *Grouper) updateCounters(now time.Duration) {
	for _, group := range g.speculative.Groups() {
		countedAt, isCounted := g.downtimeCountedAt[group.ID]
		g.downtimeCountedAt[group.ID] = now
		if isCounted && g.isDispatcher(fuchsiapitch.ReplicaID(group.ID)) && g.health.CheckGroup(now, group, g.isLeaving) != 0 {
			g.counters.GroupDowntime += now - countedAt
		}
	}
	for id := range g.downtimeCountedAt {
		if _, ok := g.speculative.Group(id); !ok {
			delete(g.downtimeCountedAt, id)
		}
	}
	if now-g.strandedCountedAt < strandedCountPeriod {
		return
	}
	g.strandedCountedAt, g.stranded = now, nil
	if g.controller != nil && g.controller.stage == stageActing {
		g.stranded = newPlanner(g, now).strandedServers()
	}
	g.counters.StrandedServers = len(g.stranded)
}

// strandedServers returns the servers in no working group and the reason for
// each.
func (p *planner) strandedServers() []Stranded {
	var list []Stranded
	unmetDemand := p.hasUnmetDemand()
	for _, id := range p.engines {
		groupID, inGroup := p.speculative.GroupOf(id)
		if inGroup && p.groupStates[groupID] == groupWorking {
			continue
		}
		list = append(list, Stranded{Server: id, Reason: p.strandedReason(id, inGroup && p.groupStates[groupID] != groupBroken, unmetDemand)})
	}
	return list
}

func (p *planner) strandedReason(id fuchsiapitch.ServerID, forming, unmetDemand bool) string {
	switch {
	case p.health.IsSilent(id):
		return ReasonSilent
	case p.isLeaving(id):
		return ReasonLeaving
	case forming:
		return ReasonForming
	case !p.health.IsSteady(p.now, id):
		return ReasonUnsteady
	case unmetDemand:
		return ReasonRemainder
	}
	return ReasonUnwanted
}

// hasUnmetDemand reports whether a service lacks replicas.
func (p *planner) hasUnmetDemand() bool {
	count := make(map[fuchsiapitch.ServiceName]int)
	for _, group := range p.groups {
		if p.groupStates[group.ID] != groupBroken {
			count[group.Service]++
		}
	}
	for _, s := range p.configuration.Services() {
		if s.Kind() == fuchsiapitch.ModelService && count[s.Name()] < s.ReplicasPerDataCentre() {
			return true
		}
	}
	return false
}

// Committed returns the state read from the stream. Callers must not modify it.
func (g *Grouper) Committed() *StateMachine { return g.committed }
