package grouper

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Spare is a healthy backend server that no working group uses.
type Spare struct {
	// ID is the backend server.
	ID fuchsiapitch.ServerID
	// Domain is its fabric domain.
	Domain fuchsiapitch.FabricDomainName
	// Model is the model that it has loaded, "" for none.
	Model string
	// Version is the version that it has loaded.
	Version string
	// Place is its place in the group that it loaded the model for.
	Place int
	// Size is the size of that group.
	Size int
}

// Stranded is a backend server outside every working group.
type Stranded struct {
	// Server is the backend server.
	Server fuchsiapitch.ServerID
	// Reason states why, in kebab case.
	Reason string
}

// The reasons for which a backend server is stranded.
const (
	// ReasonRemainder means that its fabric domain has too few spare servers
	// for a further group.
	ReasonRemainder = "too-few-in-domain"
	// ReasonUnwanted means that every service has its replicas.
	ReasonUnwanted = "no-service-wants-it"
	// ReasonSilent means that it does not answer.
	ReasonSilent = "silent"
	// ReasonUnsteady means that it came back too recently.
	ReasonUnsteady = "unsteady"
	// ReasonLeaving means that it is about to leave.
	ReasonLeaving = "leaving"
	// ReasonForming means that its group is being formed or loads.
	ReasonForming = "forming"
)

// Demand is the wish of one service for further groups.
type Demand struct {
	// Service is the service.
	Service fuchsiapitch.Service
	// Working is the number of its groups that stay as they are.
	Working int
	// Broken are its groups with a missing member, which can be rebuilt.
	Broken []Group
	// Version is the version that new groups load.
	Version string
}

// former holds the state of one planning step.
type former struct {
	pool    map[fuchsiapitch.FabricDomainName][]Spare
	demands []*Demand
	formed  map[fuchsiapitch.ServiceName]int
	freed   map[fuchsiapitch.GroupID]bool
	places  map[fuchsiapitch.ServerID]fuchsiapitch.GroupID
	newID   func() fuchsiapitch.GroupID
	assigns []Change
}

// Form plans which groups to rebuild and which to form from the spare servers.
// The survivors of broken groups are among the spares.
//
// Services take turns by worth divided by the replicas they have, so that worth
// decides who gets scarce servers without starving the others. Each turn places
// one group in one fabric domain: where a broken group of the service has the
// most survivors, then where most servers have the model loaded, then where the
// fewest servers are left over. Every domain is thus used up to a remainder
// smaller than the smallest group. A group spans domains only when its service
// allows it and no domain can hold it. Groups that lose a survivor to another
// group are disbanded.
func Form(demands []Demand, spares []Spare, newID func() fuchsiapitch.GroupID) []Change {
	f := &former{
		pool:   make(map[fuchsiapitch.FabricDomainName][]Spare),
		formed: make(map[fuchsiapitch.ServiceName]int),
		freed:  make(map[fuchsiapitch.GroupID]bool),
		places: make(map[fuchsiapitch.ServerID]fuchsiapitch.GroupID),
		newID:  newID,
	}
	for _, s := range spares {
		f.pool[s.Domain] = append(f.pool[s.Domain], s)
	}
	for i := range demands {
		f.demands = append(f.demands, &demands[i])
		for _, g := range demands[i].Broken {
			for _, m := range g.Members {
				f.places[m] = g.ID
			}
		}
	}
	for f.placeNext() {
	}
	return f.changes()
}

// placeNext places one group for the first service that can be served.
func (f *former) placeNext() bool {
	slices.SortStableFunc(f.demands, func(a, b *Demand) int {
		return cmp.Or(cmp.Compare(f.claim(b), f.claim(a)), cmp.Compare(a.Service.Name(), b.Service.Name()))
	})
	for _, d := range f.demands {
		if d.Working+f.formed[d.Service.Name()] < d.Service.Replicas() && f.place(d) {
			return true
		}
	}
	return false
}

func (f *former) claim(d *Demand) float64 {
	return d.Service.Worth() / float64(d.Working+f.formed[d.Service.Name()]+1)
}

func (f *former) place(d *Demand) bool {
	broken, domain, ok := f.bestDomain(d)
	if !ok {
		return d.Service.CrossDomain() && f.placeAcross(d)
	}
	members := f.pick(d, broken, f.pool[domain])
	f.assign(d, broken, members)
	return true
}

// bestDomain returns the domain for the next group of a service and the broken
// group to rebuild there, if any.
func (f *former) bestDomain(d *Demand) (*Group, fuchsiapitch.FabricDomainName, bool) {
	type option struct {
		domain                     fuchsiapitch.FabricDomainName
		broken                     *Group
		survivors, warm, remainder int
	}
	var options []option
	size := d.Service.GroupSize()
	for _, n := range slices.Sorted(maps.Keys(f.pool)) {
		pool := f.pool[n]
		if len(pool) < size {
			continue
		}
		o := option{domain: n, remainder: (len(pool) - size) % size}
		o.broken, o.survivors = f.bestBroken(d, pool)
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

func isWarm(s Spare, d *Demand) bool {
	return s.Model == d.Service.Model() && s.Version == d.Version
}

// bestBroken returns the broken group of a service with the most survivors in
// a pool.
func (f *former) bestBroken(d *Demand, pool []Spare) (*Group, int) {
	count := make(map[fuchsiapitch.GroupID]int)
	for _, s := range pool {
		count[f.places[s.ID]]++
	}
	var best *Group
	for i := range d.Broken {
		g := &d.Broken[i]
		if !f.freed[g.ID] && count[g.ID] > 0 && (best == nil || count[g.ID] > count[best.ID]) {
			best = g
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, count[best.ID]
}

// pick returns the members of a group: the survivors of a broken group in their
// places, then warm servers, then those in no group, then survivors of others.
func (f *former) pick(d *Demand, broken *Group, pool []Spare) []fuchsiapitch.ServerID {
	preference := func(s Spare) int {
		place, taken := f.places[s.ID]
		switch {
		case broken != nil && taken && place == broken.ID:
			return 0
		case !taken && isWarm(s, d):
			return 1
		case !taken:
			return 2
		default:
			return 3
		}
	}
	sorted := slices.Clone(pool)
	slices.SortStableFunc(sorted, func(a, b Spare) int {
		return cmp.Or(cmp.Compare(preference(a), preference(b)), cmp.Compare(f.places[a.ID], f.places[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	chosen := sorted[:d.Service.GroupSize()]
	places := make([]fuchsiapitch.ServerID, len(chosen))
	if broken != nil {
		copy(places, broken.Members)
	}
	return seat(chosen, places, func(s Spare) bool { return isWarm(s, d) && s.Size == len(chosen) })
}

// seat puts the members of a group in their places: those that were in the group
// before where they were, then those that have the weights of a place loaded,
// then the others.
func seat(chosen []Spare, before []fuchsiapitch.ServerID, isLoaded func(Spare) bool) []fuchsiapitch.ServerID {
	members := make([]fuchsiapitch.ServerID, len(chosen))
	seated := make(map[fuchsiapitch.ServerID]bool)
	put := func(place int, id fuchsiapitch.ServerID) {
		if place >= 0 && place < len(members) && members[place] == "" && !seated[id] {
			members[place], seated[id] = id, true
		}
	}
	for _, s := range chosen {
		put(slices.Index(before, s.ID), s.ID)
	}
	for _, s := range chosen {
		if isLoaded(s) {
			put(s.Place, s.ID)
		}
	}
	for _, s := range chosen {
		put(slices.Index(members, ""), s.ID)
	}
	return members
}

// placeAcross forms a group from the spares of several domains, the largest
// first.
func (f *former) placeAcross(d *Demand) bool {
	var all []Spare
	domains := slices.Sorted(maps.Keys(f.pool))
	slices.SortStableFunc(domains, func(a, b fuchsiapitch.FabricDomainName) int {
		return cmp.Compare(len(f.pool[b]), len(f.pool[a]))
	})
	for _, n := range domains {
		all = append(all, f.pool[n]...)
	}
	if len(all) < d.Service.GroupSize() {
		return false
	}
	broken, _ := f.bestBroken(d, all)
	f.assign(d, broken, f.pick(d, broken, all))
	return true
}

func (f *former) assign(d *Demand, broken *Group, members []fuchsiapitch.ServerID) {
	g := Group{Service: d.Service.Name(), Model: d.Service.Model(), Version: d.Version, Adapters: d.Service.Adapters()}
	if broken != nil {
		g.ID = broken.ID
	} else {
		g.ID = f.newID()
	}
	g.Members = members
	for _, m := range members {
		if place, taken := f.places[m]; taken && place != g.ID {
			f.freed[place] = true
		}
		delete(f.places, m)
		f.drop(m)
	}
	if broken != nil {
		f.freed[g.ID] = true
	}
	f.formed[g.Service]++
	f.assigns = append(f.assigns, Change{Kind: Assign, Group: g})
}

func (f *former) drop(id fuchsiapitch.ServerID) {
	for n := range f.pool {
		f.pool[n] = slices.DeleteFunc(f.pool[n], func(s Spare) bool { return s.ID == id })
	}
}

// changes returns the disbanded groups before the assignments, so that no
// server is in two groups at any point.
func (f *former) changes() []Change {
	assigned := make(map[fuchsiapitch.GroupID]bool)
	for _, c := range f.assigns {
		assigned[c.Group.ID] = true
	}
	var list []Change
	for _, id := range slices.Sorted(maps.Keys(f.freed)) {
		if !assigned[id] {
			list = append(list, Change{Kind: Disband, Group: Group{ID: id}})
		}
	}
	return append(list, f.assigns...)
}
