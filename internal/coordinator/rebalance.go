package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// In a cluster with relays the controller knows the demand for each model: how many
// requests arrive, and for how long each occupies a slot. When a model has too few groups
// for its demand and another one has groups to spare, all the groups of a domain that have
// to make room retire together, and their servers form groups of the other model. Their
// hosts have that model staged, so that this needs no load from the weight store.

const (
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = 2 * time.Second
	// minDemandAge is how long the demand must have been observed before it counts.
	minDemandAge = 3 * time.Second
	// saturatedOccupancy is the ratio of requests in flight to slots from which on more
	// requests may be in demand than are in flight.
	saturatedOccupancy = 0.95
	// targetUtilisation is the share of the slots of a model that its demand may occupy.
	targetUtilisation = 0.85
	// maxRebalancedShare is the share of the domains whose groups may be changed at once.
	maxRebalancedShare = 0.34
	// rebalanceInterval is the minimum time between two changes of the same domain, so
	// that groups do not move back and forth.
	rebalanceInterval = 12 * time.Second
	// minShortage is the number of groups that a model must lack before groups of another
	// model retire for it.
	minShortage = 2
)

// demandState is the demand as the controller observes it.
type demandState struct {
	// arrivalRates and inFlightMeans are the moving averages of the requests per second for
	// each pool and of those in flight there.
	arrivalRates, inFlightMeans map[poolKey]float64
	// demandSince is when the observation began, demandUpdatedAt when it was last
	// continued.
	demandSince, demandUpdatedAt time.Duration
	// rebalancedAt is when groups of a domain last retired for another model.
	rebalancedAt map[domainKey]time.Duration
}

func newDemandState() demandState {
	return demandState{
		arrivalRates: make(map[poolKey]float64), inFlightMeans: make(map[poolKey]float64), rebalancedAt: make(map[domainKey]time.Duration),
	}
}

// observeDemand continues the moving average of the demand.
func (c *Coordinator) observeDemand(now time.Duration) {
	elapsed := now - c.demandUpdatedAt
	c.demandUpdatedAt = now
	if !c.usesRelays() || !c.isController(now) || !c.hasReceivedRequests || elapsed > demandTimeConstant {
		c.demandSince = now
		clear(c.arrivalRates)
		clear(c.inFlightMeans)
		return
	}
	inFlight := make(map[poolKey]float64)
	for _, r := range c.replicas {
		inFlight[poolKey{r.service, r.model}] += float64(r.totalInFlight())
	}
	rates := make(map[poolKey]float64)
	for _, q := range c.queueLengths(now) {
		rates[poolKey{q.Service, q.Model}] += float64(q.Arrivals)
	}
	for k, n := range c.remoteArrivals {
		rates[k.pool] += float64(n)
	}
	for p := range c.arrivalRates {
		if _, ok := rates[p]; !ok {
			rates[p] = 0
		}
	}
	// The average begins as a plain mean.
	weight := min(1, float64(elapsed)/float64(min(demandTimeConstant, max(now-c.demandSince, elapsed))))
	for p, n := range rates {
		c.arrivalRates[p] += weight * (n/arrivalWindow.Seconds() - c.arrivalRates[p])
		c.inFlightMeans[p] += weight * (inFlight[p] - c.inFlightMeans[p])
	}
}

// neededGroups returns how many groups of a model its demand needs, given the number that it
// has, and whether that is known. As long as slots are free, the demand is what is in
// flight; the time for which a request occupies a slot is known less well.
func (c *Coordinator) neededGroups(now time.Duration, service fuchsiapitch.ServiceName, p *fuchsiapitch.EngineProfile, m fuchsiapitch.Model, groups int) (int, bool) {
	k := poolKey{service, m.Name}
	rate, ok := c.arrivalRates[k]
	if !ok || now-c.demandSince < minDemandAge || p.Slots <= 0 {
		return 0, false
	}
	slots := c.inFlightMeans[k]
	if slots > saturatedOccupancy*float64(groups*p.Slots) {
		slots = max(slots, rate*c.slotTime(k).Seconds())
	}
	return int(math.Ceil(slots / targetUtilisation / float64(p.Slots))), true
}

// modelInDemand returns the model that lacks groups for its demand: of several the one
// whose groups serve most with each server. It returns false if none lacks any or the
// demand is unknown.
func (c *Coordinator) modelInDemand(now time.Duration, service fuchsiapitch.ServiceName, gc groupCounts) (fuchsiapitch.Model, bool) {
	for _, m := range modelsByCost(gc.profile) {
		if needed, ok := c.neededGroups(now, service, gc.profile, m, gc.byModel[m.Name]); ok && gc.byModel[m.Name] < needed {
			return m, true
		}
	}
	return fuchsiapitch.Model{}, false
}

// modelsByCost returns the models of a service, the one whose requests take the fewest
// servers first.
func modelsByCost(p *fuchsiapitch.EngineProfile) []fuchsiapitch.Model {
	return slices.SortedFunc(slices.Values(p.Models), func(a, b fuchsiapitch.Model) int {
		return cmp.Or(cmp.Compare(serverCost(a), serverCost(b)), cmp.Compare(a.Name, b.Name))
	})
}

// serverCost is proportional to the server time that a request for a model takes.
func serverCost(m fuchsiapitch.Model) float64 {
	return float64(m.GroupSize) * max(m.TimeFactor, 0.1)
}

// rebalance lets groups retire for a model that lacks groups for its demand.
func (c *Coordinator) rebalance(now time.Duration, service fuchsiapitch.ServiceName, p *fuchsiapitch.EngineProfile) {
	counts := c.countGroups(service, "", p)
	short, ok := c.modelInDemand(now, service, counts)
	if !ok {
		return
	}
	needed, _ := c.neededGroups(now, service, p, short, counts.byModel[short.Name])
	shortage := needed - counts.byModel[short.Name]
	if shortage < minShortage {
		return
	}
	domains := c.serviceDomains(service)
	changing := 0
	for _, k := range domains {
		if c.countGroups(service, k.domain, p).inTransition > 0 {
			changing++
		}
	}
	for _, donor := range slices.Backward(modelsByCost(p)) {
		if donor.Name == short.Name {
			continue
		}
		spare := c.spareGroups(now, service, p, counts, donor, short)
		for _, k := range domains {
			if shortage < 1 || float64(changing) >= maxRebalancedShare*float64(len(domains)) {
				return
			}
			if retired := c.makeRoom(now, k, p, short, donor, spare); retired > 0 {
				spare -= retired
				shortage -= max(1, retired*donor.GroupSize/short.GroupSize)
				changing++
			}
		}
	}
}

// spareGroups returns how many groups of a model may retire for the model that lacks
// groups: those beyond its own demand, or, if its requests take more servers, all but one
// for each two domains.
func (c *Coordinator) spareGroups(now time.Duration, service fuchsiapitch.ServiceName, p *fuchsiapitch.EngineProfile, counts groupCounts, donor, short fuchsiapitch.Model) int {
	needed, ok := c.neededGroups(now, service, p, donor, counts.byModel[donor.Name])
	if !ok {
		return 0
	}
	if serverCost(donor) > serverCost(short) {
		needed = min(needed, len(c.serviceDomains(service))/2)
	}
	return counts.byModel[donor.Name] - needed
}

// serviceDomains returns the domains of a service.
func (c *Coordinator) serviceDomains(service fuchsiapitch.ServiceName) []domainKey {
	return slices.DeleteFunc(c.domainKeys(), func(k domainKey) bool { return k.service != service })
}

// makeRoom lets groups of the donor retire in a domain, as many as a group of the model
// that lacks groups needs. It returns how many.
func (c *Coordinator) makeRoom(now time.Duration, key domainKey, p *fuchsiapitch.EngineProfile, short, donor fuchsiapitch.Model, spare int) int {
	if at, ok := c.rebalancedAt[key]; ok && now-at < rebalanceInterval {
		return 0
	}
	counts := c.countGroups(key.service, key.domain, p)
	servers := c.domains[key]
	if counts.inTransition > 0 || !c.isDomainSettled(now, servers) {
		return 0
	}
	var donors []*group
	for _, g := range c.sortedDomainGroups(key) {
		if g.model == donor.Name && c.isOpen(g) && !g.retiring && !g.failed {
			donors = append(donors, g)
		}
	}
	available := len(c.freeServers(now, servers))
	count := 0
	for available < short.GroupSize && count < len(donors) {
		available += donors[count].size
		count++
	}
	if available < short.GroupSize || count == 0 || count > spare {
		return 0
	}
	c.rebalancedAt[key] = now
	c.log("groups retire for a model in demand", map[string]any{"domain": key.domain, "model": donor.Name, "count": count, "for": short.Name})
	for _, g := range donors[:count] {
		g.retiring = true
	}
	return count
}
