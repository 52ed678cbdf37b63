package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/rebalancer"
)

const (
	// reservedSpares is the number of free servers that a domain keeps as spares once
	// it has as many groups as there are models.
	reservedSpares = 2
	// saturatedDemandRatio is the demand ratio from which a model gets groups beyond
	// its share.
	saturatedDemandRatio = 0.85
	// strandedTimeout is how long the free servers of a domain stay unused if they are
	// too few for the model that lacks groups. After that they form a group of a model
	// for which they suffice. It exceeds the time in which a server restarts, or is
	// replaced after it has announced that it leaves.
	strandedTimeout = 6 * time.Second
)

// demandInterval is the time between two observations of the demand for models.
const demandInterval = 250 * time.Millisecond

// changeMargin is added to the time of a warm load: the requests of the group that gives way end.
const changeMargin = 2 * time.Second

// groupCounts counts the formations of a service.
type groupCounts struct {
	profile *fuchsiapitch.EngineProfile
	// shares shift the configured shares of the models.
	shares *rebalancer.Rebalancer
	// byModel counts the formations of each model in all domains, except retiring ones.
	byModel map[string]int
	// inDomain counts the formations in one domain, inTransition those among them that
	// are retiring or not open yet.
	inDomain, inTransition int
}

func (c *Coordinator) countGroups(service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, p *fuchsiapitch.EngineProfile) groupCounts {
	gc := groupCounts{profile: p, shares: c.rebalancer(service), byModel: make(map[string]int)}
	for _, g := range c.groups {
		if g.service != service || g.failed {
			continue
		}
		if !g.retiring {
			gc.byModel[g.model]++
		}
		if g.domain != domain {
			continue
		}
		gc.inDomain++
		if g.retiring || !c.isOpen(g) {
			gc.inTransition++
		}
	}
	return gc
}

// rebalancer returns what shifts the shares of the models of a service.
func (c *Coordinator) rebalancer(service fuchsiapitch.ServiceName) *rebalancer.Rebalancer {
	r, ok := c.rebalancers[service]
	if !ok {
		r = &rebalancer.Rebalancer{}
		c.rebalancers[service] = r
	}
	return r
}

// observeDemand lets the shares of models follow a demand that lasts.
func (c *Coordinator) observeDemand(now time.Duration) {
	if now < c.nextDemandAt {
		return
	}
	c.nextDemandAt = now + demandInterval
	for name, service := range c.services {
		p := service.profile.Engine
		if p == nil || len(p.Models) < 2 {
			continue
		}
		gc := c.countGroups(name, "", p)
		pools := make([]rebalancer.Pool, len(p.Models))
		for n, m := range p.Models {
			pools[n] = rebalancer.Pool{
				Model: m.Name, Servers: gc.byModel[m.Name] * m.GroupSize, GroupSize: m.GroupSize,
				Pressure: c.demandRatio(name, m.Name), ChangeTime: m.WarmLoadTime + p.OpenOrderTime + changeMargin,
			}
		}
		if move, ok := gc.shares.Observe(now, pools); ok {
			c.log("share of the servers follows the demand", map[string]any{"service": name, "from": move.From, "to": move.To})
		}
	}
}

// serversPerShare returns the number of servers that the given formations of a model
// use, divided by the model's share of the requests.
func (gc groupCounts) serversPerShare(m fuchsiapitch.Model, formations int) float64 {
	return float64(formations*m.GroupSize) / max(gc.shares.Share(m.Name, m.InitialLoadShare), 0.01)
}

// leastSupplied returns the model with the fewest servers per share, among the models
// whose groups need at most the given number of servers. Among equals it returns the
// one with the largest groups.
func (gc groupCounts) leastSupplied(servers int) fuchsiapitch.Model {
	var best fuchsiapitch.Model
	for _, m := range gc.profile.Models {
		if m.GroupSize > servers || m.GroupSize <= 0 {
			continue
		}
		current, lowest := gc.serversPerShare(m, gc.byModel[m.Name]), gc.serversPerShare(best, gc.byModel[best.Name])
		if best.GroupSize == 0 || current < lowest || current == lowest && m.GroupSize > best.GroupSize {
			best = m
		}
	}
	return best
}

// availableServers returns how many of the free servers of a domain a new formation may
// use, given the number of formations in the domain.
func (gc groupCounts) availableServers(freeCount, inDomain int) int {
	if inDomain >= len(gc.profile.Models) {
		return freeCount - reservedSpares
	}
	return freeCount
}

// maxGroupSize exceeds the size of any group.
const maxGroupSize = 1 << 16

// chooseModel returns the model that the next formation in a domain should serve, if
// any. If the free servers are too few for the model that lacks groups, they stay
// unused until strandedTimeout has passed. Then a group of another model retires to
// make room, or else the servers form a group of a model whose demand ratio is no
// lower.
func (c *Coordinator) chooseModel(now time.Duration, service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, p *fuchsiapitch.EngineProfile, freeCount int, isSettled bool) (fuchsiapitch.Model, bool) {
	gc := c.countGroups(service, domain, p)
	wanted := gc.leastSupplied(maxGroupSize)
	best := gc.leastSupplied(gc.availableServers(freeCount, gc.inDomain))
	key := domainKey{service: service, domain: domain}
	if best.GroupSize > 0 && (best.Name == wanted.Name || isSettled && c.demandRatio(service, best.Name) >= saturatedDemandRatio) {
		delete(c.strandedSince, key)
		return best, true
	}
	retiree := c.groupToRetire(service, domain, gc, wanted, freeCount)
	if best.GroupSize > 0 && c.demandRatio(service, best.Name) < c.demandRatio(service, wanted.Name) {
		// The servers are of more use as spares for the model in higher demand.
		best = fuchsiapitch.Model{}
	}
	if best.GroupSize == 0 && retiree == nil || gc.inTransition > 0 || !isSettled {
		delete(c.strandedSince, key)
		return fuchsiapitch.Model{}, false
	}
	since, isStranded := c.strandedSince[key]
	switch {
	case !isStranded:
		c.strandedSince[key] = now
		return fuchsiapitch.Model{}, false
	case now-since < strandedTimeout:
		return fuchsiapitch.Model{}, false
	}
	delete(c.strandedSince, key)
	if retiree != nil {
		c.log("group retires", map[string]any{"group": retiree.ref.Name, "model": retiree.model, "for": wanted.Name, "domain": domain, "free": freeCount})
		retiree.retiring = true
		return fuchsiapitch.Model{}, false
	}
	c.log("free servers are too few for the wanted model and form a group of another model", map[string]any{"domain": domain, "model": best.Name, "wanted": wanted.Name, "free": freeCount})
	return best, true
}

// groupToRetire returns a group of another model whose servers, together with the free
// ones of the domain, suffice for the wanted model, or nil if there is none. The other
// model must not have a higher demand ratio. Without the group it must still have more
// servers per share than the wanted model has now.
func (c *Coordinator) groupToRetire(service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, gc groupCounts, wanted fuchsiapitch.Model, freeCount int) *group {
	wantedSupply := gc.serversPerShare(wanted, gc.byModel[wanted.Name])
	for _, g := range c.sortedDomainGroups(domainKey{service, domain}) {
		m, ok := gc.profile.Model(g.model)
		switch {
		case !ok, g.failed, m.Name == wanted.Name:
		case gc.availableServers(freeCount+g.size, gc.inDomain-1) < wanted.GroupSize:
		case gc.serversPerShare(m, gc.byModel[m.Name]-1) <= wantedSupply, c.demandRatio(service, m.Name) > c.demandRatio(service, wanted.Name):
		default:
			return g
		}
	}
	return nil
}

// demandRatio returns the number of requests for a model, in flight and queued at all
// hosts, divided by the number of its slots.
func (c *Coordinator) demandRatio(service fuchsiapitch.ServiceName, model string) float64 {
	slots, requests := 0, 0
	for _, r := range c.replicas {
		if r.open && r.service == service && r.model == model {
			slots += r.slots
			requests += r.totalInFlight()
		}
	}
	for _, w := range c.queue {
		if w.Service == service && w.Model == model {
			requests++
		}
	}
	for k, n := range c.remoteQueues {
		if k.pool == (poolKey{service, model}) {
			requests += n
		}
	}
	return float64(requests) / float64(max(slots, 1))
}
