package conductor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// form plans new formations of the servers of a domain that are free.
func (c *Conductor) form(now time.Duration, service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, p *fuchsiapitch.EngineProfile, servers []*server) {
	settled := c.isSettled(now, servers)
	if !settled && !c.busy {
		return
	}
	for {
		free := c.free(now, servers)
		if slices.ContainsFunc(servers, func(s *server) bool { return s.freeing }) {
			// More of them will be free in a moment.
			return
		}
		model, ok := c.nextModel(now, service, domain, p, len(free), settled)
		if !ok {
			return
		}
		c.formOne(now, service, domain, model, free)
	}
}

// settleTime is how long a domain must be without news before its first groups are
// formed, and before a model gets one because another does not fit: the servers
// appear on the list one after the other.
const settleTime = time.Second

// isSettled reports whether all servers of a domain are likely to be known and
// usable.
func (c *Conductor) isSettled(now time.Duration, servers []*server) bool {
	for _, s := range servers {
		back := s.recovered > 0 && now-s.recovered < settleTime
		if s.listed && (now-s.listedAt < settleTime || back || s.failures > 0) {
			return false
		}
	}
	return true
}

// free returns the servers that a new formation may use.
func (c *Conductor) free(now time.Duration, servers []*server) []*server {
	var free []*server
	for _, s := range servers {
		if !s.isUsable() || c.isPlanned(s.report.ID) {
			continue
		}
		if s.direct < c.leadsSince {
			s.wantProbe = true
			continue
		}
		m := s.report.Membership
		if m.Group.Name != "" && !c.mayJoin(s) && !c.willBeFree(s) {
			c.leaveSilentHead(now, s)
			continue
		}
		free = append(free, s)
	}
	return free
}

// willBeFree reports whether the leader of a server's last formation is at rest
// and will be moved on first.
func (c *Conductor) willBeFree(s *server) bool {
	head, ok := c.servers[c.heads[s.report.Membership.Group]]
	if !ok || !head.in(s.report.Membership.Group) || head.isLost() {
		return false
	}
	switch head.report.Membership.State {
	case fuchsiapitch.MemberReady, fuchsiapitch.MemberJoining, fuchsiapitch.MemberBroken:
		return true
	case fuchsiapitch.MemberOpen, fuchsiapitch.MemberClosing:
	}
	return false
}

// isPlanned reports whether a server is a member of a formation.
func (c *Conductor) isPlanned(id fuchsiapitch.ServerID) bool {
	for _, g := range c.groups {
		if slices.Contains(g.members, id) {
			return true
		}
	}
	return false
}

// formOne plans one formation. Servers that need the least time come first; a
// leader that must go first for others to be free is taken in or told to leave.
func (c *Conductor) formOne(now time.Duration, service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, model fuchsiapitch.Model, free []*server) {
	slices.SortStableFunc(free, func(a, b *server) int {
		return cmp.Compare(c.joinTime(a, model.Name)+c.displaced(a, model.Name), c.joinTime(b, model.Name)+c.displaced(b, model.Name))
	})
	chosen := free[:model.Size]
	g := &group{
		service: service, domain: domain, model: model.Name, size: model.Size, since: now,
		joined: make(map[fuchsiapitch.ServerID]bool),
		ref:    fuchsiapitch.GroupRef{Epoch: c.nextEpoch()},
	}
	g.ref.Name = fuchsiapitch.GroupID(fmt.Sprintf("g%d", g.ref.Epoch))
	head := chosen[0]
	for _, s := range chosen {
		if c.heads[s.report.Membership.Group] == s.report.ID {
			head = s
			break
		}
	}
	g.members = append(g.members, head.report.ID)
	for _, s := range chosen {
		if s != head {
			g.members = append(g.members, s.report.ID)
		}
	}
	c.groups[g.ref] = g
	c.heads[g.ref] = head.report.ID
	c.note("group is formed", map[string]any{"group": g.ref.Name, "model": g.model, "domain": domain, "members": g.members})
	c.gather(now, g)
}

// displaced weighs the use of a spare that holds another model.
func (c *Conductor) displaced(s *server, model string) time.Duration {
	if s.model != "" && s.model != model || len(s.report.Staged) > 0 && !slices.Contains(s.report.Staged, model) {
		return time.Second
	}
	return 0
}

// releaseHead has the leader of a server's last formation leave it, if it is at rest
// and not part of the new formation.
func (c *Conductor) releaseHead(now time.Duration, s *server, g *group) {
	ref := s.report.Membership.Group
	head, ok := c.servers[c.heads[ref]]
	if ref.Name == "" || !ok || !c.willBeFree(s) || slices.Contains(g.members, head.report.ID) {
		return
	}
	c.order(now, head.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: ref})
}
