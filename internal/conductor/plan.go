package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// replan plans after news, if this host leads.
func (c *Conductor) replan(now time.Duration) {
	if c.leads(now) {
		c.plan(now)
	}
	c.refreshStations(now)
}

// plan brings the groups closer to what is wanted.
func (c *Conductor) plan(now time.Duration) {
	if c.table == nil {
		return
	}
	if !c.survey(now) {
		return
	}
	c.adopt(now)
	for _, s := range c.servers {
		if s.opening && now >= s.openAt {
			s.opening, s.report.Membership.State = false, fuchsiapitch.MemberOpen
		}
	}
	c.shareLoads(now)
	for _, g := range c.sortedGroups() {
		c.tend(now, g)
	}
	for name, p := range c.table.Services() {
		if p.Engine == nil {
			continue
		}
		domains := c.domains(name)
		for _, d := range sortedKeys(domains) {
			c.form(now, name, d, p.Engine, domains[d])
		}
		for _, d := range sortedKeys(domains) {
			if c.busy || c.isSettled(now, domains[d]) {
				c.warm(now, p.Engine, domains[d])
			}
		}
	}
	for _, id := range sortedKeys(c.servers) {
		if s := c.servers[id]; s.wantProbe && (s.listed || s.report.Membership.Group.Name != "") {
			c.ask(now, s)
		}
	}
}

// surveyLimit is the longest time that a new leader waits for the reports of all
// servers.
const surveyLimit = 600 * time.Millisecond

// isSurveyed reports whether a leader has asked all servers.
func (c *Conductor) isSurveyed() bool { return c.leadsSince > 0 && c.surveyed == c.leadsSince }

// survey has a leader that is new in office ask every server before it plans: the
// list may be older than the last orders of the leader before it.
func (c *Conductor) survey(now time.Duration) bool {
	if c.isSurveyed() {
		return true
	}
	if len(c.servers) == 0 {
		return false
	}
	if c.surveyFrom < c.leadsSince {
		c.surveyFrom = now
	}
	missing := 0
	for _, id := range sortedKeys(c.servers) {
		s := c.servers[id]
		if c.profileOf(s) == nil || !s.listed || s.direct >= c.leadsSince || s.failures > 0 || s.ended {
			continue
		}
		missing++
		c.ask(now, s)
	}
	if missing > 0 && now-c.surveyFrom < surveyLimit {
		return false
	}
	c.surveyed = c.leadsSince
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

func (c *Conductor) sortedGroups() []*group {
	list := make([]*group, 0, len(c.groups))
	for _, g := range c.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int { return cmp.Compare(a.ref.Epoch, b.ref.Epoch) })
	return list
}

// domains returns the servers of a service by fabric domain.
func (c *Conductor) domains(service fuchsiapitch.ServiceName) map[fuchsiapitch.FabricDomainName][]*server {
	domains := make(map[fuchsiapitch.FabricDomainName][]*server)
	for _, id := range sortedKeys(c.servers) {
		if s := c.servers[id]; s.report.Service == service {
			domains[s.report.Domain] = append(domains[s.report.Domain], s)
		}
	}
	return domains
}

// groupLines returns all formations as other hosts learn them.
func (c *Conductor) groupLines() []GroupLine {
	lines := make([]GroupLine, 0, len(c.groups))
	for _, g := range c.sortedGroups() {
		lines = append(lines, GroupLine{
			Ref: g.ref, Model: g.model, Head: g.head(),
			Open: c.isOpen(g) && !g.failed && !g.retiring && !c.servers[g.head()].isLost(),
		})
	}
	return lines
}
