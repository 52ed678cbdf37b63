package router

import (
	"cmp"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Candidate is a dispatcher that could take a request of one service.
type Candidate struct {
	// Host is the dispatcher.
	Host fuchsiapitch.Host
	// Slots is the number of requests that its replicas run at once.
	Slots int
	// Load is the number of requests that wait or run at the dispatcher.
	Load int
}

// Table holds the dispatchers of each service in this data centre.
type Table struct {
	dispatchers map[fuchsiapitch.ServiceName][]Candidate
	owned       map[fuchsiapitch.HostID][]fuchsiapitch.Replica
}

// NewTable assigns each replica to its owner among the live hosts.
func NewTable(hosts []fuchsiapitch.Host, replicas []fuchsiapitch.Replica) *Table {
	t := &Table{
		dispatchers: make(map[fuchsiapitch.ServiceName][]Candidate),
		owned:       make(map[fuchsiapitch.HostID][]fuchsiapitch.Replica),
	}
	for _, r := range replicas {
		h, ok := Owner(hosts, r.ID())
		if !ok {
			continue
		}
		t.owned[h.ID()] = append(t.owned[h.ID()], r)
		t.addSlots(r.Service(), h, r.Slots())
	}
	return t
}

func (t *Table) addSlots(service fuchsiapitch.ServiceName, host fuchsiapitch.Host, slots int) {
	list := t.dispatchers[service]
	for i := range list {
		if list[i].Host.ID() == host.ID() {
			list[i].Slots += slots
			return
		}
	}
	t.dispatchers[service] = append(list, Candidate{Host: host, Slots: slots})
}

// Owned returns the replicas that a host dispatches for.
func (t *Table) Owned(host fuchsiapitch.HostID) []fuchsiapitch.Replica { return t.owned[host] }

// Choose returns the dispatcher for a request. Candidates are tried in the
// order of rendezvous hashing on the prompt prefix, so that equal prefixes meet
// in one cache; of the first two, the one with less load per slot is taken
// unless the first has a free slot. The load function gives the number of
// requests at a dispatcher. Excluded dispatchers are not chosen.
func (t *Table) Choose(request fuchsiapitch.Request, excluded map[fuchsiapitch.HostID]bool, load func(fuchsiapitch.HostID) int) (fuchsiapitch.Host, bool) {
	candidates := t.ordered(request, excluded)
	if len(candidates) == 0 {
		return fuchsiapitch.Host{}, false
	}
	for i := range candidates {
		candidates[i].Load = load(candidates[i].Host.ID())
	}
	first := candidates[0]
	if len(candidates) == 1 || first.Load < first.Slots {
		return first.Host, true
	}
	if second := candidates[1]; second.Load*first.Slots < first.Load*second.Slots {
		return second.Host, true
	}
	return first.Host, true
}

func (t *Table) ordered(request fuchsiapitch.Request, excluded map[fuchsiapitch.HostID]bool) []Candidate {
	key := string(request.ID())
	if request.Prefix() != 0 {
		key = formatPrefix(request.Prefix())
	}
	var candidates []Candidate
	for _, c := range t.dispatchers[request.Service()] {
		if !excluded[c.Host.ID()] {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Compare(weigh(b.Host.ID(), key), weigh(a.Host.ID(), key))
	})
	return candidates
}
