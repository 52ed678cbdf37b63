package coordinator

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/adopter"
)

const (
	// groupSilenceTimeout is the time without a byte on all streams of a group after
	// which its members are probed. Events arrive about every 60 ms; a pass that reads
	// long prompts takes up to 150 ms.
	groupSilenceTimeout = 250 * time.Millisecond
	// memberProbeInterval is the time between probes of the members of a silent group.
	memberProbeInterval = 300 * time.Millisecond
	// keptGroupTimeout is how long a group with a lost member is kept for requests that cannot
	// continue elsewhere, from the first call without a response. Clients abandon a silent
	// stream after two seconds.
	keptGroupTimeout = 2 * time.Second
	// orderPollInterval is the time between probes of a member that is carrying out an
	// order.
	orderPollInterval = 80 * time.Millisecond
	// formationMargin is added to the load time of the model: a formation that has not
	// opened within the sum fails.
	formationMargin = 8 * time.Second
)

// group is one formation of a group.
type group struct {
	ref     fuchsiapitch.GroupRef
	service fuchsiapitch.ServiceName
	domain  fuchsiapitch.FabricDomainName
	model   string
	// members are the servers in rank order, the leader (rank 0) first, "" for those of an adopted
	// formation that no report names.
	members []fuchsiapitch.ServerID
	size    int
	// seenMembers are the members that have been reported to be in the formation.
	// ordersBeforeJoin holds the number of orders that each member had accepted when it
	// was first ordered to join.
	seenMembers      map[fuchsiapitch.ServerID]bool
	ordersBeforeJoin map[fuchsiapitch.ServerID]int64
	// createdAt is when the formation was planned or adopted.
	createdAt time.Duration
	// openedAt is when the formation was first found open, 0 for never.
	openedAt time.Duration
	// failed is true if the formation is to be dissolved.
	failed bool
	// retiring is true if the formation is to be dissolved after it has completed its
	// requests.
	retiring bool
	// awaitsMember is true while a member is lost and the formation is kept because the
	// member may go on.
	awaitsMember bool
	// mayStartLoads is true if the members may start loads. loadsLastPendingAt is when
	// the formation last had loads that had not started.
	mayStartLoads      bool
	loadsLastPendingAt time.Duration
	// silentSince is when an adopted formation with members that no report names began to send no
	// byte, 0 if it sends some.
	silentSince time.Duration
	// nextProbeAt is the earliest time at which the members are probed again.
	nextProbeAt time.Duration
}

func (g *group) leader() fuchsiapitch.ServerID { return g.members[0] }

// isOpen reports whether the leader of a group is open by its last known state.
func (c *Coordinator) isOpen(g *group) bool {
	s, ok := c.servers[g.leader()]
	return ok && s.isMemberOf(g.ref) && s.report.Membership.State == fuchsiapitch.MemberOpen
}

// adoptReportedGroups adds the formations that servers report and that this host did
// not plan.
func (c *Coordinator) adoptReportedGroups(now time.Duration, servers []*server) {
	var abandoned []fuchsiapitch.GroupRef
	var reports []adopter.Report
	var profile *fuchsiapitch.EngineProfile
	for _, s := range servers {
		id, m := s.report.ID, s.report.Membership
		if m.Group.Name == "" {
			continue
		}
		if c.dissolved[m.Group] {
			if m.Rank != 0 || m.State != fuchsiapitch.MemberOpen || s.isLost() {
				continue
			}
			// The leader has been unreachable and still accepts requests. Its members are
			// elsewhere.
			delete(c.dissolved, m.Group)
			abandoned = append(abandoned, m.Group)
		}
		if g, ok := c.groups[m.Group]; ok {
			c.recordMember(g, id, m.Rank)
			continue
		}
		if p := c.engineProfile(s); p != nil {
			profile = p
			r := adopter.Report{Server: id, Membership: m}
			if len(s.report.LoadedModels) > 0 {
				r.Model = s.report.LoadedModels[0]
			}
			reports = append(reports, r)
		}
	}
	sizeOf := func(name string) int {
		m, _ := profile.Model(name)
		return m.GroupSize
	}
	for _, f := range adopter.Adopt(reports, sizeOf) {
		g := &group{ref: f.Ref, service: servers[0].report.Service, domain: servers[0].report.FabricDomain, model: f.Model, size: f.Size, members: f.Members, createdAt: now, seenMembers: make(map[fuchsiapitch.ServerID]bool)}
		g.failed = !f.MayServe(!slices.Contains(abandoned, f.Ref) && c.wasAnnouncedOpen(f.Ref))
		for _, id := range f.Members {
			g.seenMembers[id] = id != ""
		}
		c.addGroup(g)
	}
}

// wasAnnouncedOpen reports whether a formation is open by the newest known group table, or no table
// is known. A new controller knows that of its predecessor.
func (c *Coordinator) wasAnnouncedOpen(ref fuchsiapitch.GroupRef) bool {
	return len(c.announcedGroups) == 0 || slices.ContainsFunc(c.announcedGroups, func(g GroupStatus) bool { return g.Ref == ref && g.Open })
}

// recordMember records that a server reports to be in a formation, also one that did not name all
// members when it was adopted.
func (c *Coordinator) recordMember(g *group, id fuchsiapitch.ServerID, rank int) {
	if rank >= 0 && rank < len(g.members) && g.members[rank] == "" {
		g.members[rank] = id
		c.membershipCounts[id]++
	}
	g.seenMembers[id] = g.seenMembers[id] || slices.Contains(g.members, id)
}

// reconcileGroup performs the next step towards the desired state of a formation.
func (c *Coordinator) reconcileGroup(now time.Duration, g *group) {
	c.checkGroup(now, g)
	if g.failed {
		c.dissolve(now, g)
		return
	}
	if c.isUnreachable(now, g) {
		c.probeMembers(now, g)
		return
	}
	if g.awaitsMember {
		c.probeAwaited(now, g)
	}
	if c.isOpen(g) {
		if g.openedAt == 0 {
			g.openedAt = now
			c.emit(GroupOpened{Group: g.ref.Name, Model: g.model, Elapsed: now - g.createdAt})
		}
		if g.retiring {
			c.sendOrder(now, g.leader(), fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderClose, Group: g.ref})
			return
		}
		c.probeSilentGroup(now, g)
		return
	}
	if g.retiring {
		c.followClose(now, g)
		c.probeSilentGroup(now, g)
	}
	c.assembleGroup(now, g)
}

// followClose probes the leader of a closing formation until it has closed, at a shorter interval
// once no host has a request there.
func (c *Coordinator) followClose(now time.Duration, g *group) {
	leader := c.servers[g.leader()]
	if leader == nil || leader.needsProbe || !leader.isMemberOf(g.ref) || leader.report.Membership.State != fuchsiapitch.MemberClosing {
		return
	}
	interval := memberProbeInterval
	if r, ok := c.replicas[g.leader()]; !ok || r.totalInFlight() == 0 {
		interval = orderPollInterval
	}
	leader.needsProbe, leader.nextProbeAt = true, now+interval
}

// checkGroup marks a formation as failed or retiring if the state of its members
// requires it.
func (c *Coordinator) checkGroup(now time.Duration, g *group) {
	wasAwaiting := g.awaitsMember
	g.awaitsMember = false
	if c.isUnreachable(now, g) {
		return
	}
	for _, id := range g.members {
		s, ok := c.servers[id]
		switch {
		case id == "":
			c.checkUnknownMember(now, g)
		case ok && c.mayRecover(now, g, s):
			if !g.awaitsMember && !wasAwaiting {
				c.log("group is kept for requests that cannot go on elsewhere", map[string]any{"group": g.ref.Name, logFieldServer: id})
			}
			g.awaitsMember = true
		case !ok, s.isLost():
			if r, serves := c.replicas[g.leader()]; serves && !g.failed && g.openedAt > 0 {
				c.emit(GroupLost{Group: g.ref.Name, Model: g.model, Silence: r.silentFor(now)})
			}
			g.markFailed(c, "member lost", id)
		case g.seenMembers[id] && !s.isMemberOf(g.ref):
			g.markFailed(c, "member left", id)
		case s.report.Membership.State == fuchsiapitch.MemberBroken && s.isMemberOf(g.ref):
			g.markFailed(c, "group is broken", id)
		case s.isLeaving() && !g.retiring, id == g.leader() && !g.retiring && c.isDelisted(now, s) && c.canReform(g):
			if g.openedAt == 0 && !c.isOpen(g) {
				g.markFailed(c, "member is leaving", id)
			} else {
				c.log("group retires", map[string]any{"group": g.ref.Name, logFieldServer: id})
				g.retiring = true
			}
		}
	}
	if g.openedAt == 0 && !c.isOpen(g) && now-max(g.createdAt, g.loadsLastPendingAt) > c.formationTimeout(g) {
		g.markFailed(c, "formation timed out", "")
	}
	if s, ok := c.servers[g.leader()]; g.retiring && ok && s.isMemberOf(g.ref) && s.report.Membership.State == fuchsiapitch.MemberReady && g.openedAt > 0 {
		g.markFailed(c, "group has retired", "")
	}
}

// checkUnknownMember marks a formation as failed that may lack a member which no report names: all of
// its streams have been silent for so long that a known member would count as lost.
func (c *Coordinator) checkUnknownMember(now time.Duration, g *group) {
	switch {
	case !c.isOpen(g):
		g.markFailed(c, "member is unknown", "")
	case !c.isSilentToAllHosts(now, g.leader()):
		g.silentSince = 0
	case g.silentSince == 0:
		g.silentSince = now
	case now-g.silentSince >= silentServerTimeout:
		g.markFailed(c, "unknown member is silent", "")
	}
}

// mayRecover reports whether a lost member of a serving formation may respond again, and requests
// depend on it that cannot continue elsewhere. A sound server may be silent for a second or so,
// and may accept no connections meanwhile.
func (c *Coordinator) mayRecover(now time.Duration, g *group, s *server) bool {
	if !s.isLost() || s.replaced || s.refusesConnections || !s.listed || g.failed || g.openedAt == 0 && !c.isOpen(g) || now-s.silentSince >= keptGroupTimeout {
		return false
	}
	r, ok := c.replicas[g.leader()]
	return ok && r.remotePinned+c.pinnedRequests(now)[r] > 0
}

// isUnreachable reports whether the leader of a formation does not respond and cannot
// be told from one behind a network partition. The formation may then be complete and
// serving, so its state is left as it is. A leader counts as lost only if another
// member has responded within maxResponseAge.
func (c *Coordinator) isUnreachable(now time.Duration, g *group) bool {
	leader, ok := c.servers[g.leader()]
	if !ok || leader.replaced || leader.consecutiveFailures == 0 {
		return false
	}
	for _, id := range g.members {
		if s, ok := c.servers[id]; ok && s.consecutiveFailures == 0 && now-s.lastResponseAt < maxResponseAge && leader.isLost() {
			return false
		}
	}
	return true
}

// relistGrace is how long a server may take to reappear on the list once it is
// reachable again, including the lag of the list.
const relistGrace = 3 * time.Second

// isDelisted reports whether a server that responds has been off the list for longer
// than relistGrace.
func (c *Coordinator) isDelisted(now time.Duration, s *server) bool {
	return !s.listed && !c.listStale && s.consecutiveFailures == 0 && s.lastResponseAt > s.unlistedAt &&
		now-max(s.unlistedAt, s.recoveredAt) > relistGrace
}

// canReform reports whether the domain of a group has enough usable servers to form it
// again: a listed one to lead it, and others that may be members of the group which are off the list
// as well. If it has not, its servers may merely be unable to reach the list.
func (c *Coordinator) canReform(g *group) bool {
	usable, listed := 0, 0
	c.indexDomains()
	for _, s := range c.domains[domainKey{g.service, g.domain}] {
		isMember := slices.Contains(g.members, s.report.ID)
		switch {
		case s.isUsable() && (isMember || !c.isGroupMember(s.report.ID)):
			usable++
			listed++
		case isMember && c.mayJoinUnlisted(s):
			usable++
		}
	}
	return usable >= g.size && listed > 0
}

// maxResponseAge is the maximum age of a response that proves a server reachable.
const maxResponseAge = time.Second

func (c *Coordinator) formationTimeout(g *group) time.Duration {
	p, ok := c.routes.Service(g.service)
	if !ok || p.Engine == nil {
		return formationMargin
	}
	m, _ := p.Engine.Model(g.model)
	return m.ColdLoadTime + formationMargin
}

func (g *group) markFailed(c *Coordinator, reason string, id fuchsiapitch.ServerID) {
	if g.failed {
		return
	}
	g.failed = true
	c.log("group is taken apart", map[string]any{"group": g.ref.Name, "model": g.model, "why": reason, logFieldServer: id})
}

// dissolve removes a failed formation from the plan once its leader has stopped
// accepting requests or is lost. A leader that still sends bytes is closed, so that its requests
// can complete; an order to leave would reset them. mayJoin keeps its members from joining
// another formation too early.
func (c *Coordinator) dissolve(now time.Duration, g *group) {
	leader, ok := c.servers[g.leader()]
	if ok && leader.isMemberOf(g.ref) && !leader.isLost() {
		switch leader.report.Membership.State {
		case fuchsiapitch.MemberOpen:
			kind := fuchsiapitch.OrderLeave
			if c.isWorking(now, g) {
				kind = fuchsiapitch.OrderClose
			}
			c.sendOrder(now, g.leader(), fuchsiapitch.GroupOrder{Kind: kind, Group: g.ref})
			return
		case fuchsiapitch.MemberClosing:
			if c.isSilentToAllHosts(now, g.leader()) {
				c.sendOrder(now, g.leader(), fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: g.ref})
				return
			}
			c.followClose(now, g)
			return
		case fuchsiapitch.MemberReady:
			if leader.isOpening() {
				if !leader.openInProgress {
					c.scheduleProbe(now, leader)
				}
				return
			}
		case fuchsiapitch.MemberJoining, fuchsiapitch.MemberBroken:
		}
	}
	c.removeGroup(g)
	c.dissolved[g.ref] = true
}

// isWorking reports whether hosts have requests at the leader of a formation and receive bytes
// from it, so that its members must be there.
func (c *Coordinator) isWorking(now time.Duration, g *group) bool {
	r, ok := c.replicas[g.leader()]
	return ok && r.totalInFlight() > 0 && !c.isSilentToAllHosts(now, g.leader())
}

// hasLeaderLeft reports whether the leader of a formation can no longer serve it: the
// leader has joined another formation, has restarted, or is broken.
func (c *Coordinator) hasLeaderLeft(ref fuchsiapitch.GroupRef) bool {
	s, ok := c.servers[c.leaders[ref]]
	return ok && (!s.isMemberOf(ref) || s.report.Membership.State == fuchsiapitch.MemberBroken)
}

// isLeaderLost reports whether the leader of a formation is lost or unknown.
func (c *Coordinator) isLeaderLost(ref fuchsiapitch.GroupRef) bool {
	s, ok := c.servers[c.leaders[ref]]
	return !ok || s.isLost()
}

// probeSilentGroup probes the members of a group if the group is silent or a member is
// suspected.
func (c *Coordinator) probeSilentGroup(now time.Duration, g *group) {
	if !c.isSilentToAllHosts(now, g.leader()) && !c.hasSuspectMember(now, g) || now < g.nextProbeAt {
		return
	}
	c.probeMembers(now, g)
}

// probeMembers requests probes of all members of a group, at most once per
// memberProbeInterval.
func (c *Coordinator) probeMembers(now time.Duration, g *group) {
	if now < g.nextProbeAt {
		return
	}
	g.nextProbeAt = now + memberProbeInterval
	for _, id := range g.members {
		if s, ok := c.servers[id]; ok && now-s.lastResponseAt > memberProbeInterval/2 {
			s.needsProbe = true
		}
	}
}

// probeAwaited probes the lost members of a formation without waiting for lostProbeInterval.
func (c *Coordinator) probeAwaited(now time.Duration, g *group) {
	for _, id := range g.members {
		if s, ok := c.servers[id]; ok && s.isLost() {
			s.nextProbeAt = min(s.nextProbeAt, now+failedProbeInterval)
		}
	}
}

// hasSuspectMember reports whether a failed request has recently named a member as the
// cause.
func (c *Coordinator) hasSuspectMember(now time.Duration, g *group) bool {
	for _, id := range g.members {
		if now < c.suspectedUntil[id] {
			return true
		}
	}
	return false
}
