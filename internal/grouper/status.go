package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// countPeriod is the time between two counts of the stranded servers.
const countPeriod = time.Second

// Counters are totals for metrics.
type Counters struct {
	// GroupDowntime is the time that groups of this host were not whole, summed
	// over the groups.
	GroupDowntime time.Duration
	// Stranded is the number of servers outside every working group, as the
	// controller counts them.
	Stranded int
	// Terms is the number of terms that this process has held.
	Terms int
	// Orders is the number of orders that this process has given.
	Orders int
}

// GroupStatus is one group as operators see it.
type GroupStatus struct {
	// Group is the group as the stream records it.
	Group Group
	// Dispatched states that this host dispatches for the group, so that its
	// view is exact.
	Dispatched bool
	// Whole states that every member proves to be as recorded.
	Whole bool
	// Fault is the first fault of a group that is not whole.
	Fault Fault
}

// Status is the state of the groups of a data centre as operators see it.
type Status struct {
	// DataCentre is the data centre.
	DataCentre fuchsiapitch.DataCentreName
	// Holder is the controller, "" when there is none.
	Holder fuchsiapitch.HostID
	// Term is the term of the controller.
	Term fuchsiapitch.Term
	// Acting states that this host is the controller and gives orders.
	Acting bool
	// Groups are the groups in the order of their identifiers.
	Groups []GroupStatus
	// Stranded are the servers outside every working group, as the controller
	// sees them.
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

// Status returns the state of the groups.
func (g *Grouper) Status(now fuchsiapitch.Instant) Status {
	s := Status{
		DataCentre: g.dataCentre, Holder: g.Holder(), Term: g.fold.Term(),
		Acting: g.tenure != nil && g.tenure.stage == acting, Stranded: g.stranded,
	}
	for _, group := range g.view.Groups() {
		fault := g.health.Check(now.Monotonic(), group, g.isLeaving)
		s.Groups = append(s.Groups, GroupStatus{
			Group: group, Dispatched: g.owner(fuchsiapitch.ReplicaID(group.ID)), Whole: fault == 0, Fault: fault,
		})
	}
	return s
}

// Counters returns the totals for metrics.
func (g *Grouper) Counters() Counters { return g.counters }

// count adds up the downtime of this host's groups and the stranded servers.
func (g *Grouper) count(now time.Duration) {
	for _, group := range g.view.Groups() {
		last, seen := g.downtime[group.ID]
		g.downtime[group.ID] = now
		if seen && g.owner(fuchsiapitch.ReplicaID(group.ID)) && g.health.Check(now, group, g.isLeaving) != 0 {
			g.counters.GroupDowntime += now - last
		}
	}
	for id := range g.downtime {
		if _, ok := g.view.Group(id); !ok {
			delete(g.downtime, id)
		}
	}
	if now-g.counted < countPeriod {
		return
	}
	g.counted, g.stranded = now, nil
	if g.tenure != nil && g.tenure.stage == acting {
		g.stranded = newPlanner(g, now).strand()
	}
	g.counters.Stranded = len(g.stranded)
}

// strand returns the servers outside every working group and the reasons.
func (p *planner) strand() []Stranded {
	var list []Stranded
	wanting := p.isWanting()
	for _, id := range p.engines {
		place, placed := p.view.Place(id)
		if placed && p.state[place] == groupWorking {
			continue
		}
		list = append(list, Stranded{Server: id, Reason: p.reason(id, placed && p.state[place] != groupBroken, wanting)})
	}
	return list
}

func (p *planner) reason(id fuchsiapitch.ServerID, forming, wanting bool) string {
	switch {
	case p.health.Silent(id):
		return ReasonSilent
	case p.isLeaving(id):
		return ReasonLeaving
	case forming:
		return ReasonForming
	case !p.health.Steady(p.now, id):
		return ReasonUnsteady
	case wanting:
		return ReasonRemainder
	}
	return ReasonUnwanted
}

// isWanting reports whether a service lacks replicas.
func (p *planner) isWanting() bool {
	count := make(map[fuchsiapitch.ServiceName]int)
	for _, group := range p.groups {
		if p.state[group.ID] != groupBroken {
			count[group.Service]++
		}
	}
	for _, s := range p.configuration.Services() {
		if s.Kind() == fuchsiapitch.ModelService && count[s.Name()] < s.Replicas() {
			return true
		}
	}
	return false
}

// Fold returns the state of the stream. Callers must not change it.
func (g *Grouper) Fold() *Fold { return g.fold }
