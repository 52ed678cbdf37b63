package coordinator

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/selector"
)

// formGroups plans new formations from the free servers of a domain.
func (c *Coordinator) formGroups(now time.Duration, service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, p *fuchsiapitch.EngineProfile, servers []*server) {
	isSettled := c.isDomainSettled(now, servers)
	if !isSettled && !c.hasReceivedRequests {
		return
	}
	for {
		free := c.freeServers(now, servers)
		if slices.ContainsFunc(servers, func(s *server) bool { return s.leaveInFlight }) {
			// These servers will be free shortly.
			return
		}
		model, ok := c.chooseModel(now, service, domain, p, len(free), isSettled)
		if !ok {
			return
		}
		if !c.formGroup(now, service, domain, model, free) {
			return
		}
	}
}

// settleDuration is how long a domain must be stable before its first groups are
// formed, and before a model gets a group only because another model does not fit.
// Servers appear on the list one after the other.
const settleDuration = time.Second

// returnTimeout is how long a domain waits for a listed server that does not respond. It
// exceeds the time in which a server restarts. A server that has ended leaves the list
// sooner, unless the store is away.
const returnTimeout = strandedTimeout

// isDomainSettled reports whether the servers of a domain have been listed and
// responsive for settleDuration, so that all of them are likely to be known and usable.
// A server that has been silent for returnTimeout is not waited for.
func (c *Coordinator) isDomainSettled(now time.Duration, servers []*server) bool {
	for _, s := range servers {
		recovering := s.recoveredAt > 0 && now-s.recoveredAt < settleDuration
		mayReturn := s.consecutiveFailures > 0 && now-s.silentSince < returnTimeout
		if s.listed && (now-s.listedAt < settleDuration || recovering || mayReturn) {
			return false
		}
	}
	return true
}

// freeServers returns the servers that a new formation may use.
func (c *Coordinator) freeServers(now time.Duration, servers []*server) []*server {
	var free []*server
	for _, s := range servers {
		if !s.isUsable() && !c.mayJoinUnlisted(s) || c.isGroupMember(s.report.ID) {
			continue
		}
		if s.lastResponseAt < c.controllerSince {
			s.needsProbe = true
			continue
		}
		m := s.report.Membership
		if m.Group.Name != "" && !c.mayJoin(s) && !c.canReleaseLeader(s) {
			c.leaveLostLeader(now, s)
			continue
		}
		free = append(free, s)
	}
	return free
}

// mayJoinUnlisted reports whether a server that is off the list may still be a member of a new group:
// it holds a model, and has answered and been healthy since. It may be cut off from the store alone.
func (c *Coordinator) mayJoinUnlisted(s *server) bool {
	return !s.listed && !c.listStale && s.lastModel != "" && !s.isLeaving() && !s.replaced && s.consecutiveFailures == 0 && s.lastResponseAt > s.unlistedAt
}

// canReleaseLeader reports whether the leader of a server's last formation is idle, so
// that it can leave that formation before the server joins another.
func (c *Coordinator) canReleaseLeader(s *server) bool {
	leader, ok := c.servers[c.leaders[s.report.Membership.Group]]
	if !ok || !leader.isMemberOf(s.report.Membership.Group) || leader.isLost() {
		return false
	}
	switch leader.report.Membership.State {
	case fuchsiapitch.MemberReady, fuchsiapitch.MemberJoining, fuchsiapitch.MemberBroken:
		return true
	case fuchsiapitch.MemberOpen, fuchsiapitch.MemberClosing:
	}
	return false
}

// isGroupMember reports whether a server is a member of a current formation.
func (c *Coordinator) isGroupMember(id fuchsiapitch.ServerID) bool { return c.membershipCounts[id] > 0 }

// formGroup plans one formation of the servers that can join soonest, and reports whether it did. A
// member of an earlier formation with an idle leader can join only once that leader has joined
// the new formation or has been ordered to leave the old one.
func (c *Coordinator) formGroup(now time.Duration, service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, model fuchsiapitch.Model, free []*server) bool {
	candidates := make([]selector.Candidate, len(free))
	for n, s := range free {
		candidates[n] = selector.Candidate{
			Server: s.report.ID, JoinTime: c.joinTime(s, model.Name) + c.displacementPenalty(s, model.Name),
			Listed: s.listed, Leads: c.leaders[s.report.Membership.Group] == s.report.ID,
		}
	}
	members := selector.Select(candidates, model.GroupSize)
	if members == nil {
		return false
	}
	g := &group{
		service: service, domain: domain, model: model.Name, size: model.GroupSize, createdAt: now,
		seenMembers: make(map[fuchsiapitch.ServerID]bool),
		ref:         fuchsiapitch.GroupRef{Epoch: c.nextEpoch()}, members: members,
	}
	g.ref.Name = fuchsiapitch.GroupID(fmt.Sprintf("g%d", g.ref.Epoch))
	c.addGroup(g)
	c.groupsAwaitLoads = c.groupsAwaitLoads || c.pendingLoads(g) > 0
	c.leaders[g.ref] = g.leader()
	c.log("group is formed", map[string]any{"group": g.ref.Name, "model": g.model, "domain": domain, "members": g.members})
	c.assembleGroup(now, g)
	return true
}

// displacementPenalty returns what is added to the join time of a server that has
// another model loaded or staged, so that this preparation is not wasted.
func (c *Coordinator) displacementPenalty(s *server, model string) time.Duration {
	if s.lastModel != "" && s.lastModel != model || len(s.report.StagedModels) > 0 && !slices.Contains(s.report.StagedModels, model) {
		return time.Second
	}
	return 0
}

// releasePreviousLeader orders the leader of a server's last formation to leave it, if
// that leader is idle and not a member of the new formation.
func (c *Coordinator) releasePreviousLeader(now time.Duration, s *server, g *group) {
	ref := s.report.Membership.Group
	leader, ok := c.servers[c.leaders[ref]]
	if ref.Name == "" || !ok || !c.canReleaseLeader(s) || slices.Contains(g.members, leader.report.ID) {
		return
	}
	c.sendOrder(now, leader.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: ref})
}
