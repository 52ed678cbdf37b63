package grouper

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Spare is a backend server that is available for assignment: it is in no
// group, or a survivor of a broken group.
type Spare struct {
	ID     fuchsiapitch.ServerID
	Domain fuchsiapitch.FabricDomainName
	// Model is the model that the server has loaded, "" for none.
	Model string
	// Version is the version of the loaded model.
	Version string
	// MemberIndex is the server's index in the group for which it loaded the
	// model.
	MemberIndex int
	// LoadedGroupSize is the size of the group for which it loaded the model.
	LoadedGroupSize int
}

// Stranded is a backend server that is in no working group.
type Stranded struct {
	Server fuchsiapitch.ServerID
	// Reason is the reason why it is in no working group, in kebab case.
	Reason string
}

// The reasons why a backend server is stranded.
const (
	// ReasonRemainder means that a service lacks replicas, but the fabric domain of
	// the server has too few spare servers for another group.
	ReasonRemainder = "too-few-in-domain"
	// ReasonUnwanted means that every service has all its replicas.
	ReasonUnwanted = "no-service-wants-it"
	// ReasonSilent means that it does not answer probes.
	ReasonSilent = "silent"
	// ReasonUnsteady means that it answers again but is still in hold-down.
	ReasonUnsteady = "unsteady"
	// ReasonLeaving means that it is about to leave.
	ReasonLeaving = "leaving"
	// ReasonForming means that its group is being formed or is loading the model.
	ReasonForming = "forming"
)

// Demand is the demand of one service for groups. It contains the number of
// groups that the service has and those that can be rebuilt.
type Demand struct {
	Service fuchsiapitch.Service
	// WorkingCount is the number of its groups that are kept as they are.
	WorkingCount int
	// BrokenGroups are its groups with a lost member. They can be rebuilt.
	BrokenGroups []Group
	// Version is the model version that new groups load.
	Version string
}

// placer holds the state of one run of PlaceGroups.
type placer struct {
	sparesByDomain map[fuchsiapitch.FabricDomainName][]Spare
	demands        []*Demand
	assignedCount  map[fuchsiapitch.ServiceName]int
	// consumedGroups are the broken groups that were rebuilt or have lost a
	// survivor to another group.
	consumedGroups map[fuchsiapitch.GroupID]bool
	brokenGroupOf  map[fuchsiapitch.ServerID]fuchsiapitch.GroupID
	newID          func() fuchsiapitch.GroupID
	assignments    []Change
}

// PlaceGroups decides which broken groups to rebuild and which groups to form
// from the spare servers. The survivors of broken groups are among the spares.
//
// Services take turns in order of their placement weight divided by their number
// of replicas plus one. Services of high weight thus get scarce servers first,
// without starving the others. Each turn places one group in one fabric domain.
// It prefers the domain in which a broken group of the service has the most
// survivors, then the one in which most servers have the model loaded, then the
// one with the fewest servers left over. Every domain is filled until fewer
// servers remain than the smallest group needs. A group spans domains only if
// its service allows it and no single domain can hold it. Broken groups that
// lose a survivor to another group are disbanded.
func PlaceGroups(demands []Demand, spares []Spare, newID func() fuchsiapitch.GroupID) []Change {
	p := &placer{
		sparesByDomain: make(map[fuchsiapitch.FabricDomainName][]Spare),
		assignedCount:  make(map[fuchsiapitch.ServiceName]int),
		consumedGroups: make(map[fuchsiapitch.GroupID]bool),
		brokenGroupOf:  make(map[fuchsiapitch.ServerID]fuchsiapitch.GroupID),
		newID:          newID,
	}
	for _, s := range spares {
		p.sparesByDomain[s.Domain] = append(p.sparesByDomain[s.Domain], s)
	}
	for i := range demands {
		p.demands = append(p.demands, &demands[i])
		for _, g := range demands[i].BrokenGroups {
			for _, m := range g.Members {
				p.brokenGroupOf[m] = g.ID
			}
		}
	}
	for p.placeNextGroup() {
	}
	return p.changes()
}

// placeNextGroup places one group for the service of the highest priority that
// lacks replicas and can be placed. It returns false if there is none.
func (p *placer) placeNextGroup() bool {
	slices.SortStableFunc(p.demands, func(a, b *Demand) int {
		return cmp.Or(cmp.Compare(p.priority(b), p.priority(a)), cmp.Compare(a.Service.Name(), b.Service.Name()))
	})
	for _, d := range p.demands {
		if d.WorkingCount+p.assignedCount[d.Service.Name()] < d.Service.ReplicasPerDataCentre() && p.placeGroup(d) {
			return true
		}
	}
	return false
}

func (p *placer) priority(d *Demand) float64 {
	return d.Service.PlacementWeight() / float64(d.WorkingCount+p.assignedCount[d.Service.Name()]+1)
}

func (p *placer) placeGroup(d *Demand) bool {
	broken, domain, ok := p.bestDomain(d)
	if !ok {
		return d.Service.AllowsCrossDomain() && p.placeAcrossDomains(d)
	}
	members := p.selectMembers(d, broken, p.sparesByDomain[domain])
	p.addAssignment(d, broken, members)
	return true
}

// bestDomain returns the domain for the next group of a service, and the broken
// group to rebuild there, if any.
func (p *placer) bestDomain(d *Demand) (*Group, fuchsiapitch.FabricDomainName, bool) {
	type option struct {
		domain                     fuchsiapitch.FabricDomainName
		broken                     *Group
		survivors, warm, remainder int
	}
	var options []option
	size := d.Service.GroupSize()
	for _, n := range slices.Sorted(maps.Keys(p.sparesByDomain)) {
		pool := p.sparesByDomain[n]
		if len(pool) < size {
			continue
		}
		o := option{domain: n, remainder: (len(pool) - size) % size}
		o.broken, o.survivors = p.bestBrokenGroup(d, pool)
		for _, s := range pool {
			if isWarm(s, d) {
				o.warm++
			}
		}
		options = append(options, o)
	}
	if len(options) == 0 {
		return nil, "", false
	}
	best := slices.MaxFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.survivors, b.survivors), cmp.Compare(min(a.warm, size), min(b.warm, size)),
			cmp.Compare(b.remainder, a.remainder), cmp.Compare(b.domain, a.domain))
	})
	return best.broken, best.domain, true
}

// isWarm reports whether a spare has the model version of a demand loaded.
func isWarm(s Spare, d *Demand) bool {
	return s.Model == d.Service.Model() && s.Version == d.Version
}

// bestBrokenGroup returns the broken group of a service that has the most
// survivors in a pool, and their number.
func (p *placer) bestBrokenGroup(d *Demand, pool []Spare) (*Group, int) {
	count := make(map[fuchsiapitch.GroupID]int)
	for _, s := range pool {
		count[p.brokenGroupOf[s.ID]]++
	}
	var best *Group
	for i := range d.BrokenGroups {
		g := &d.BrokenGroups[i]
		if !p.consumedGroups[g.ID] && count[g.ID] > 0 && (best == nil || count[g.ID] > count[best.ID]) {
			best = g
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, count[best.ID]
}

// selectMembers chooses the members of a group from a pool. It prefers the
// survivors of the broken group, then warm servers in no group, then other
// servers in no group, then survivors of other groups.
func (p *placer) selectMembers(d *Demand, broken *Group, pool []Spare) []fuchsiapitch.ServerID {
	preference := func(s Spare) int {
		groupID, isSurvivor := p.brokenGroupOf[s.ID]
		switch {
		case broken != nil && isSurvivor && groupID == broken.ID:
			return 0
		case !isSurvivor && isWarm(s, d):
			return 1
		case !isSurvivor:
			return 2
		default:
			return 3
		}
	}
	sorted := slices.Clone(pool)
	slices.SortStableFunc(sorted, func(a, b Spare) int {
		return cmp.Or(cmp.Compare(preference(a), preference(b)), cmp.Compare(p.brokenGroupOf[a.ID], p.brokenGroupOf[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	chosen := sorted[:d.Service.GroupSize()]
	brokenMembers := make([]fuchsiapitch.ServerID, len(chosen))
	if broken != nil {
		copy(brokenMembers, broken.Members)
	}
	return orderMembers(chosen, brokenMembers, func(s Spare) bool { return isWarm(s, d) && s.LoadedGroupSize == len(chosen) })
}

// orderMembers arranges the chosen servers by member index. Members of the
// previous group keep their index, then servers that have the weights of an
// index loaded get that index, then the others fill the gaps.
func orderMembers(chosen []Spare, previousMembers []fuchsiapitch.ServerID, isLoaded func(Spare) bool) []fuchsiapitch.ServerID {
	members := make([]fuchsiapitch.ServerID, len(chosen))
	placed := make(map[fuchsiapitch.ServerID]bool)
	assign := func(index int, id fuchsiapitch.ServerID) {
		if index >= 0 && index < len(members) && members[index] == "" && !placed[id] {
			members[index], placed[id] = id, true
		}
	}
	for _, s := range chosen {
		assign(slices.Index(previousMembers, s.ID), s.ID)
	}
	for _, s := range chosen {
		if isLoaded(s) {
			assign(s.MemberIndex, s.ID)
		}
	}
	for _, s := range chosen {
		assign(slices.Index(members, ""), s.ID)
	}
	return members
}

// placeAcrossDomains places a group on the spares of several domains, starting
// with the domain that has the most.
func (p *placer) placeAcrossDomains(d *Demand) bool {
	var all []Spare
	domains := slices.Sorted(maps.Keys(p.sparesByDomain))
	slices.SortStableFunc(domains, func(a, b fuchsiapitch.FabricDomainName) int {
		return cmp.Compare(len(p.sparesByDomain[b]), len(p.sparesByDomain[a]))
	})
	for _, n := range domains {
		all = append(all, p.sparesByDomain[n]...)
	}
	if len(all) < d.Service.GroupSize() {
		return false
	}
	broken, _ := p.bestBrokenGroup(d, all)
	p.addAssignment(d, broken, p.selectMembers(d, broken, all))
	return true
}

func (p *placer) addAssignment(d *Demand, broken *Group, members []fuchsiapitch.ServerID) {
	g := Group{Service: d.Service.Name(), Model: d.Service.Model(), Version: d.Version, Adapters: d.Service.Adapters()}
	if broken != nil {
		g.ID = broken.ID
	} else {
		g.ID = p.newID()
	}
	g.Members = members
	for _, m := range members {
		if groupID, isSurvivor := p.brokenGroupOf[m]; isSurvivor && groupID != g.ID {
			p.consumedGroups[groupID] = true
		}
		delete(p.brokenGroupOf, m)
		p.removeSpare(m)
	}
	if broken != nil {
		p.consumedGroups[g.ID] = true
	}
	p.assignedCount[g.Service]++
	p.assignments = append(p.assignments, Change{Kind: Assign, Group: g})
}

func (p *placer) removeSpare(id fuchsiapitch.ServerID) {
	for n := range p.sparesByDomain {
		p.sparesByDomain[n] = slices.DeleteFunc(p.sparesByDomain[n], func(s Spare) bool { return s.ID == id })
	}
}

// changes returns the disbandments before the assignments, so that no server is
// in two groups at any point.
func (p *placer) changes() []Change {
	assigned := make(map[fuchsiapitch.GroupID]bool)
	for _, c := range p.assignments {
		assigned[c.Group.ID] = true
	}
	var list []Change
	for _, id := range slices.Sorted(maps.Keys(p.consumedGroups)) {
		if !assigned[id] {
			list = append(list, Change{Kind: Disband, Group: Group{ID: id}})
		}
	}
	return append(list, p.assignments...)
}
