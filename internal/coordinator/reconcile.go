package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// reconcileIfController reconciles the groups after a change, if this host is the
// controller.
func (c *Coordinator) reconcileIfController(now time.Duration) {
	if c.isController(now) {
		c.reconcile(now)
	}
	c.refreshReplicas(now)
}

// reconcile performs the next steps towards the desired state of all groups.
func (c *Coordinator) reconcile(now time.Duration) {
	if c.routes == nil {
		return
	}
	if !c.surveyServers(now) {
		return
	}
	c.adoptReportedGroups(now)
	for _, s := range c.servers {
		if s.openInProgress && now >= s.expectedOpenEnd {
			s.openInProgress, s.report.Membership.State = false, fuchsiapitch.MemberOpen
		}
	}
	c.allocateLoads(now)
	for _, g := range c.sortedGroups() {
		c.reconcileGroup(now, g)
	}
	for name, p := range c.routes.Services() {
		if p.Engine == nil {
			continue
		}
		domains := c.serversByDomain(name)
		for _, d := range sortedKeys(domains) {
			c.formGroups(now, name, d, p.Engine, domains[d])
		}
		for _, d := range sortedKeys(domains) {
			if c.hasReceivedRequests || c.isDomainSettled(now, domains[d]) {
				c.preloadDomain(now, p.Engine, domains[d])
			}
		}
	}
	for _, id := range sortedKeys(c.servers) {
		if s := c.servers[id]; s.needsProbe && (s.listed || s.report.Membership.Group.Name != "") {
			c.probe(now, s)
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

func (c *Coordinator) sortedGroups() []*group {
	list := make([]*group, 0, len(c.groups))
	for _, g := range c.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int { return cmp.Compare(a.ref.Epoch, b.ref.Epoch) })
	return list
}

// serversByDomain returns the servers of a service by fabric domain.
func (c *Coordinator) serversByDomain(service fuchsiapitch.ServiceName) map[fuchsiapitch.FabricDomainName][]*server {
	domains := make(map[fuchsiapitch.FabricDomainName][]*server)
	for _, id := range sortedKeys(c.servers) {
		if s := c.servers[id]; s.report.Service == service {
			domains[s.report.FabricDomain] = append(domains[s.report.FabricDomain], s)
		}
	}
	return domains
}

// groupStatuses returns all formations as the controller announces them.
func (c *Coordinator) groupStatuses() []GroupStatus {
	statuses := make([]GroupStatus, 0, len(c.groups))
	for _, g := range c.sortedGroups() {
		statuses = append(statuses, GroupStatus{
			Ref: g.ref, Model: g.model, Leader: g.leader(),
			Open: c.isOpen(g) && !g.failed && !g.retiring && !c.servers[g.leader()].isLost(),
		})
	}
	return statuses
}
