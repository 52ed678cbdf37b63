package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// domainKey identifies the servers of one service in one fabric domain. Groups are formed
// within a domain, so that each is reconciled by itself.
type domainKey struct {
	service fuchsiapitch.ServiceName
	domain  fuchsiapitch.FabricDomainName
}

func (s *server) domainKey() domainKey { return domainKey{s.report.Service, s.report.FabricDomain} }

// reconcileServer reconciles the domain of a server after a change, if this host is the
// controller. The rest follows at the next tick.
func (c *Coordinator) reconcileServer(now time.Duration, s *server) {
	c.replicasStale = true
	if c.routes == nil || !c.isController(now) {
		return
	}
	if !c.isSurveyed() {
		// The groups of all domains are announced once the survey is complete.
		c.reconcile(now)
		return
	}
	c.advanceGroups(now, s.domainKey())
	c.probeServers(now, s.domainKey())
}

// reconcile performs the next steps towards the desired state of all groups.
func (c *Coordinator) reconcile(now time.Duration) {
	if c.routes == nil {
		return
	}
	if !c.surveyServers(now) {
		return
	}
	c.allocateLoads(now)
	c.observeDemand(now)
	keys := c.domainKeys()
	for _, k := range keys {
		c.advanceGroups(now, k)
	}
	// Preloading waits until the groups of all domains have got their loads.
	for _, k := range keys {
		c.preloadServers(now, k)
		c.probeServers(now, k)
	}
}

// domainKeys returns the domains that have servers or groups, sorted.
func (c *Coordinator) domainKeys() []domainKey {
	c.indexDomains()
	keys := make([]domainKey, 0, len(c.domains))
	for k := range c.domains {
		keys = append(keys, k)
	}
	for k, groups := range c.domainGroups {
		if _, ok := c.domains[k]; !ok && len(groups) > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b domainKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.domain, b.domain))
	})
	return keys
}

// indexDomains updates the servers of each domain after servers have come, gone or moved.
func (c *Coordinator) indexDomains() {
	if c.domains != nil {
		return
	}
	c.domains = make(map[domainKey][]*server)
	for _, id := range sortedKeys(c.servers) {
		s := c.servers[id]
		c.domains[s.domainKey()] = append(c.domains[s.domainKey()], s)
	}
}

// advanceGroups performs the next steps of the groups of one domain, and plans new ones.
func (c *Coordinator) advanceGroups(now time.Duration, key domainKey) {
	c.indexDomains()
	servers := c.domains[key]
	c.adoptReportedGroups(now, servers)
	for _, s := range servers {
		if s.openInProgress && now >= s.expectedOpenEnd {
			s.openInProgress, s.report.Membership.State = false, fuchsiapitch.MemberOpen
		}
	}
	for _, g := range c.sortedDomainGroups(key) {
		c.reconcileGroup(now, g)
	}
	if p, ok := c.routes.Service(key.service); ok && p.Engine != nil {
		c.formGroups(now, key.service, key.domain, p.Engine, servers)
	}
}

// preloadServers preloads models on the servers of one domain.
func (c *Coordinator) preloadServers(now time.Duration, key domainKey) {
	servers := c.domains[key]
	if p, ok := c.routes.Service(key.service); ok && p.Engine != nil && (c.hasReceivedRequests || c.isDomainSettled(now, servers)) {
		c.preloadDomain(now, p.Engine, servers)
	}
}

// probeServers probes the servers of one domain whose report is needed.
func (c *Coordinator) probeServers(now time.Duration, key domainKey) {
	for _, s := range c.domains[key] {
		if s.needsProbe && (s.listed || s.report.Membership.Group.Name != "") {
			c.probe(now, s)
		}
	}
}

// addGroup adds a formation to the plan.
func (c *Coordinator) addGroup(g *group) {
	c.groups[g.ref] = g
	key := domainKey{g.service, g.domain}
	if c.domainGroups[key] == nil {
		c.domainGroups[key] = make(map[fuchsiapitch.GroupRef]*group)
	}
	c.domainGroups[key][g.ref] = g
	for _, id := range g.members {
		c.membershipCounts[id]++
	}
}

// removeGroup removes a formation from the plan.
func (c *Coordinator) removeGroup(g *group) {
	delete(c.groups, g.ref)
	delete(c.domainGroups[domainKey{g.service, g.domain}], g.ref)
	for _, id := range g.members {
		if c.membershipCounts[id]--; c.membershipCounts[id] == 0 {
			delete(c.membershipCounts, id)
		}
	}
}

// surveyTimeout is how long a new controller waits for the reports of all servers.
const surveyTimeout = 600 * time.Millisecond

// isSurveyed reports whether this host has completed its survey of the servers as the
// controller.
func (c *Coordinator) isSurveyed() bool {
	return c.controllerSince > 0 && c.surveyedSince == c.controllerSince
}

// surveyServers probes every server, and reports whether the survey is complete. A new
// controller plans no groups before that, because the list may predate the last orders
// of the previous controller.
func (c *Coordinator) surveyServers(now time.Duration) bool {
	if c.isSurveyed() {
		return true
	}
	if len(c.servers) == 0 {
		return false
	}
	if c.surveyStartedAt < c.controllerSince {
		c.surveyStartedAt = now
	}
	unanswered := 0
	for _, id := range sortedKeys(c.servers) {
		s := c.servers[id]
		if c.engineProfile(s) == nil || !s.listed || s.lastResponseAt >= c.controllerSince || s.consecutiveFailures > 0 || s.replaced {
			continue
		}
		unanswered++
		c.probe(now, s)
	}
	if unanswered > 0 && now-c.surveyStartedAt < surveyTimeout {
		return false
	}
	c.surveyedSince = c.controllerSince
	return true
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (c *Coordinator) sortedGroups() []*group { return sortGroups(c.groups) }

func (c *Coordinator) sortedDomainGroups(key domainKey) []*group {
	return sortGroups(c.domainGroups[key])
}

// sortGroups returns formations in the order of their epochs.
func sortGroups(groups map[fuchsiapitch.GroupRef]*group) []*group {
	list := make([]*group, 0, len(groups))
	for _, g := range groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int { return cmp.Compare(a.ref.Epoch, b.ref.Epoch) })
	return list
}

// groupStatuses returns all formations as the controller announces them.
func (c *Coordinator) groupStatuses() []GroupStatus {
	statuses := make([]GroupStatus, 0, len(c.groups))
	for _, g := range c.sortedGroups() {
		statuses = append(statuses, GroupStatus{
			Ref: g.ref, Model: g.model, Leader: g.leader(),
			Open:         c.isOpen(g) && !g.failed && !g.retiring && !g.awaitsMember && !c.servers[g.leader()].isLost(),
			Unresponsive: g.awaitsMember,
		})
	}
	return statuses
}
