package limiter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// View is the membership of the entry hosts in this data centre as this host sees it.
// Both lists include this host.
type View struct {
	// LiveHosts are the hosts that respond.
	LiveHosts []fuchsiapitch.HostID
	// KnownHosts are the hosts that have not announced their shutdown.
	KnownHosts []fuchsiapitch.HostID
	// Demand returns the most recently reported demand of a customer at another host.
	Demand func(fuchsiapitch.HostID, fuchsiapitch.CustomerName) gossiper.CustomerDemand
}

// lacksMajority reports whether at most half of the known hosts respond, so that this
// host cannot distinguish a failure of the others from a network partition.
func (v View) lacksMajority() bool {
	return len(v.KnownHosts) > 1 && 2*len(v.LiveHosts) <= len(v.KnownHosts)
}

// localLimits is this host's share of a customer's limits.
type localLimits struct {
	inFlight        int
	bodyBytes       int64
	tokensPerSecond float64
}

// allocation is the share of a limit that one host receives.
type allocation struct {
	host fuchsiapitch.HostID
	// weight is the host's weight in the apportionment.
	weight float64
	// inUse is the number of units in use, units the number allocated.
	inUse int
	units int
	// remainder is the fraction of a unit that was lost in rounding down.
	remainder float64
}

// equalShareFraction is the fraction of a limit that is divided equally, so that a host
// that receives its first request of a customer already has a share of the limit.
const equalShareFraction = 0.1

// updateLocalLimits computes this host's share of a customer's limits. During a
// partition each host without a majority takes an equal share, so that the limit is
// exceeded by less than half.
func (l *Limiter) updateLocalLimits(u *customerUsage) {
	if u.localLimitsValid {
		return
	}
	u.localLimitsValid = true
	c := u.customer
	allocations := l.weightedAllocations(u)
	share := weightShare(allocations, l.localHost)
	u.localLimits = localLimits{
		inFlight:        unitsOf(allocateInFlight(allocations, c.Name(), c.MaxInFlight()), l.localHost),
		bodyBytes:       int64(float64(c.MaxQueuedBytes()) * share),
		tokensPerSecond: c.MaxTokensPerSecond() * share,
	}
}

// weightedAllocations returns the hosts that share the limits, with their weights.
func (l *Limiter) weightedAllocations(u *customerUsage) []allocation {
	if l.view.lacksMajority() {
		return equalAllocations(l.view.KnownHosts)
	}
	allocations := make([]allocation, 0, len(l.view.LiveHosts))
	totalWeight := 0.0
	for _, h := range l.view.LiveHosts {
		d := l.reportedDemand(u, h)
		allocations = append(allocations, allocation{host: h, weight: d.tokensPerSecond, inUse: d.inFlight})
		totalWeight += d.tokensPerSecond
	}
	base := max(totalWeight, 1) * equalShareFraction / float64(len(allocations))
	for i := range allocations {
		allocations[i].weight += base
	}
	return allocations
}

func equalAllocations(hosts []fuchsiapitch.HostID) []allocation {
	allocations := make([]allocation, 0, len(hosts))
	for _, h := range hosts {
		allocations = append(allocations, allocation{host: h, weight: 1})
	}
	return allocations
}

func (l *Limiter) reportedDemand(u *customerUsage, host fuchsiapitch.HostID) demandSample {
	if host == l.localHost {
		return u.demand.lastReport
	}
	if l.view.Demand == nil {
		return demandSample{}
	}
	d := l.view.Demand(host, u.customer.Name())
	return demandSample{inFlight: d.InFlight, tokensPerSecond: d.TokensPerSecond}
}

// allocateInFlight allocates a limit on requests in flight among the hosts.
//
// The limit is first apportioned by weight. A host that uses more than its units,
// because the demand has moved to another host, keeps its running requests. The rest of
// the limit is then apportioned among the other hosts by their unused units, so that
// the limit holds while the demand moves.
func allocateInFlight(allocations []allocation, customer fuchsiapitch.CustomerName, limit int) []allocation {
	allocations = apportion(allocations, customer, limit)
	unallocated := limit
	unused := make([]allocation, 0, len(allocations))
	for _, c := range allocations {
		unallocated -= c.inUse
		unused = append(unused, allocation{host: c.host, weight: float64(max(0, c.units-c.inUse))})
	}
	unused = apportion(unused, customer, max(0, unallocated))
	for i, c := range allocations {
		if c.units > c.inUse {
			allocations[i].units = c.inUse + unitsOf(unused, c.host)
		}
	}
	return allocations
}

// apportion divides whole units by weight with the largest remainder method. The order
// of the allocations does not matter. Ties are broken by a hash of customer and host,
// so that the same host is not disadvantaged for every customer.
func apportion(allocations []allocation, customer fuchsiapitch.CustomerName, units int) []allocation {
	totalWeight := 0.0
	for _, c := range allocations {
		totalWeight += c.weight
	}
	if totalWeight == 0 {
		return allocations
	}
	allocated := 0
	for i := range allocations {
		exact := float64(units) * allocations[i].weight / totalWeight
		allocations[i].units = int(exact)
		allocations[i].remainder = exact - float64(allocations[i].units)
		allocated += allocations[i].units
	}
	ordered := slices.Clone(allocations)
	slices.SortFunc(ordered, func(a, b allocation) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(tieBreakHash(customer, b.host), tieBreakHash(customer, a.host)))
	})
	for i := range min(max(0, units-allocated), len(ordered)) {
		ordered[i].units++
	}
	return ordered
}

func tieBreakHash(customer fuchsiapitch.CustomerName, host fuchsiapitch.HostID) uint64 {
	return xxhash.Sum64String(string(customer) + "/" + string(host))
}

func unitsOf(allocations []allocation, host fuchsiapitch.HostID) int {
	for _, c := range allocations {
		if c.host == host {
			return c.units
		}
	}
	return 0
}

func weightShare(allocations []allocation, host fuchsiapitch.HostID) float64 {
	totalWeight, ownWeight := 0.0, 0.0
	for _, c := range allocations {
		totalWeight += c.weight
		if c.host == host {
			ownWeight = c.weight
		}
	}
	if totalWeight == 0 {
		return 0
	}
	return ownWeight / totalWeight
}
