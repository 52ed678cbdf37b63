package coordinator

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/rebalancer"
)

const (
	// lostAfterFailures is the number of consecutive failed calls after which a server
	// counts as lost.
	lostAfterFailures = 2
	// silentServerTimeout is the time without a response, from the first call without one
	// on, after which a server counts as lost though it accepts connections. A sound server
	// may be silent for a second or so. Clients abandon a silent stream after two seconds.
	silentServerTimeout = 1500 * time.Millisecond
	// failedProbeInterval is the time between probes of a server that has not
	// responded, lostProbeInterval the time between probes of a lost server.
	failedProbeInterval = 20 * time.Millisecond
	lostProbeInterval   = time.Second
	// removalDelay is added to the stall timeout: a lost server that has been off the
	// list for the sum is removed.
	removalDelay = time.Second
)

// server is the known state of one backend server.
type server struct {
	report fuchsiapitch.ServerReport
	listed bool
	// saysLeaving is true if the server has stated itself that it leaves.
	saysLeaving bool
	// leavesUnlisted is true if the server is off the list and has said that it is not
	// healthy: it leaves, and has not been listed as leaving.
	leavesUnlisted bool
	// listedAt is when the server last appeared on the list, unlistedAt when it last
	// disappeared from it.
	listedAt, unlistedAt time.Duration
	// lastResponseAt is when the server itself last responded to a call, 0 for never.
	lastResponseAt time.Duration
	// recoveredAt is when the server first responded again after it had counted as
	// lost.
	recoveredAt time.Duration
	// consecutiveFailures is the number of calls in a row that got no response. Those to a
	// silent server count as one.
	consecutiveFailures int
	// silentSince is when the first of these calls failed.
	silentSince time.Duration
	// refusesConnections is true if the last of them found nobody listening.
	refusesConnections bool
	// replaced is true if the known incarnation has ended, because another one responds
	// at its address. That may be the next incarnation of this server or another
	// server; only the list shows which.
	replaced bool
	// probeInFlight and orderInFlight are true while a probe or an order has no result
	// yet.
	probeInFlight, orderInFlight bool
	// nextProbeAt is the earliest time of the next probe.
	nextProbeAt time.Duration
	// needsProbe is true if the server has to be probed for its report.
	needsProbe bool
	// lastOrderRefused is true if the server refused its last order. Its reports may
	// predate the state for which it refused, so it gets no order until noOrdersUntil.
	lastOrderRefused bool
	noOrdersUntil    time.Duration
	// highestEpoch is the highest epoch of the formations that this incarnation is
	// known to have joined.
	highestEpoch int64
	// leaveInFlight is true while an order to leave a group with a lost leader is in
	// flight.
	leaveInFlight bool
	// openInProgress is true while an accepted order to open is not complete.
	openInProgress bool
	// expectedOpenEnd is when the open order completes according to the engine profile.
	expectedOpenEnd time.Duration
	// reportsStaleUntil is the time until which reports may predate the last order.
	reportsStaleUntil time.Duration
	// lastModel is the model of the last group that this incarnation joined.
	lastModel string
	// stagingModel is the model that is being staged, expectedStagingEnd when that
	// completes according to the engine profile.
	stagingModel       string
	expectedStagingEnd time.Duration
	// expectedLoadEnd is when the last load that this host ordered completes according
	// to the engine profile.
	expectedLoadEnd time.Duration
}

// isLost reports whether the server does not respond, or another incarnation uses its
// address.
func (s *server) isLost() bool { return s.replaced || s.consecutiveFailures >= lostAfterFailures }

// isUsable reports whether the server may join a new group.
func (s *server) isUsable() bool {
	return s.listed && !s.isLeaving() && !s.replaced && s.consecutiveFailures == 0
}

// isOpening reports whether a ready leader may still open because it is carrying out an
// open order.
func (s *server) isOpening() bool { return s.openInProgress || s.report.OrderInProgress }

// isMemberOf reports whether the server was in the formation by its last report.
func (s *server) isMemberOf(ref fuchsiapitch.GroupRef) bool { return s.report.Membership.Group == ref }

// cluster is the known state of all backend servers and groups.
type cluster struct {
	servers map[fuchsiapitch.ServerID]*server
	// listReadAt is when the list was last read. listStale is true if a read has failed
	// since.
	listReadAt time.Duration
	listStale  bool
	// heardOffset is the end of the newest list of another host that was used, heardAt when that
	// was.
	heardOffset int64
	heardAt     time.Duration
	// storeRecoveredAt is when the list became readable again after a failure.
	storeRecoveredAt time.Duration
	// groups are the formations that this host, as the controller, has planned or
	// adopted.
	groups map[fuchsiapitch.GroupRef]*group
	// groupsAwaitLoads is true if a formation has loads that have not started.
	groupsAwaitLoads bool
	// nextLoadAt is the earliest time of the next load.
	nextLoadAt time.Duration
	// dissolved are the formations that the controller has dissolved. Some members may
	// not have left them yet.
	dissolved map[fuchsiapitch.GroupRef]bool
	// leaders maps each formation to its rank 0 server.
	leaders map[fuchsiapitch.GroupRef]fuchsiapitch.ServerID
	// strandedSince is when the free servers of a domain first were too few for the
	// model that lacks groups.
	strandedSince map[domainKey]time.Duration
	// rebalancers shift the shares of the models of each service, from nextDemandAt on again.
	rebalancers  map[fuchsiapitch.ServiceName]*rebalancer.Rebalancer
	nextDemandAt time.Duration
	// domains are the servers of each domain, sorted; nil if they have to be indexed
	// again. domainGroups are the formations of each domain, and membershipCounts the
	// number of formations of which a server is a member.
	domains          map[domainKey][]*server
	domainGroups     map[domainKey]map[fuchsiapitch.GroupRef]*group
	membershipCounts map[fuchsiapitch.ServerID]int
	// loadCount is the number of loads in progress at loadCountAt.
	loadCount   int
	loadCountAt time.Duration
	// replicasStale is true if servers or groups have changed since the replicas were
	// updated.
	replicasStale bool
}

func newCluster() cluster {
	return cluster{
		servers:       make(map[fuchsiapitch.ServerID]*server),
		groups:        make(map[fuchsiapitch.GroupRef]*group),
		dissolved:     make(map[fuchsiapitch.GroupRef]bool),
		leaders:       make(map[fuchsiapitch.GroupRef]fuchsiapitch.ServerID),
		strandedSince: make(map[domainKey]time.Duration), rebalancers: make(map[fuchsiapitch.ServiceName]*rebalancer.Rebalancer),
		domainGroups: make(map[domainKey]map[fuchsiapitch.GroupRef]*group), membershipCounts: make(map[fuchsiapitch.ServerID]int), loadCountAt: -1,
	}
}

// applyServerList processes a new state of the platform's server list.
func (c *Coordinator) applyServerList(now time.Duration, list []fuchsiapitch.ServerReport) {
	if c.listStale {
		c.storeRecoveredAt = now
	}
	c.listReadAt, c.listStale = now, false
	if c.usesHeardList(now) {
		// This host catches up page by page with what it has heard.
		return
	}
	c.mergeServerList(now, list, c.listOffset)
}

// hearServerList uses the server list of another host, unless a later one is known. The own list stays
// as old as it is.
func (c *Coordinator) hearServerList(now time.Duration, e ServersHeard) {
	if e.Offset <= c.knownListOffset() {
		return
	}
	c.heardOffset, c.heardAt = e.Offset, now
	c.mergeServerList(now, e.Servers, e.Offset)
	c.refreshReplicas(now)
}

// mergeServerList updates the servers from a list that ends at an offset. Those that are not
// on it are unlisted.
func (c *Coordinator) mergeServerList(now time.Duration, list []fuchsiapitch.ServerReport, offset int64) {
	seen := make(map[fuchsiapitch.ServerID]bool, len(list))
	for _, r := range list {
		seen[r.ID] = true
		s, ok := c.servers[r.ID]
		if !ok {
			s = &server{report: r}
			c.servers[r.ID], c.domains = s, nil
		}
		if !s.listed {
			s.listed, s.listedAt, s.leavesUnlisted = true, now, false
		}
		c.noteColdEntry(now, r)
		c.mergeReport(now, s, r, false)
		c.reviewLeaving(now, s, r, offset)
	}
	for id, s := range c.servers {
		if seen[id] {
			continue
		}
		if s.listed {
			s.listed, s.unlistedAt = false, now
			s.needsProbe = true
			if c.isController(now) && s.report.Membership.Group.Name != "" {
				c.log("server of a group is off the list", map[string]any{logFieldServer: id, "group": s.report.Membership.Group.Name, "leaving": s.isLeaving()})
			}
		}
		if now-s.unlistedAt > c.stallTimeout+removalDelay && s.isLost() {
			c.removeServer(id, s)
		}
	}
	c.forgetNotices(now)
}

// removeServer forgets a server that is lost and off the list, unless it leads a group
// or has a call in flight.
func (c *Coordinator) removeServer(id fuchsiapitch.ServerID, s *server) {
	for ref := range c.groups {
		if c.leaders[ref] == id {
			return
		}
	}
	if !s.probeInFlight && !s.orderInFlight {
		delete(c.servers, id)
		c.domains = nil
	}
}

// listLag is the usual age of the list, including the interval between two reads.
const listLag = 3 * time.Second

// mergeReport updates a server from its own report or from the list's. The list lags
// behind, by seconds after an outage of the store. If the server has responded to a
// probe or an order, only those changes of the list are used that cannot be older: a
// later incarnation, a later formation, or a broken formation.
func (c *Coordinator) mergeReport(now time.Duration, s *server, r fuchsiapitch.ServerReport, isOwnReport bool) {
	previous := s.report
	if r.StartedUnixMillis < previous.StartedUnixMillis {
		return
	}
	restarted := r.StartedUnixMillis > previous.StartedUnixMillis
	if !isOwnReport && !restarted && (s.lastResponseAt > 0 || s.replaced) {
		r = c.mergeListedReport(now, s, r)
	}
	if isOwnReport {
		// The server's own report lacks the fields that only the list holds.
		r.Service, r.Address, r.DataCentre = previous.Service, previous.Address, previous.DataCentre
		r.Slots, r.Leaving = previous.Slots, previous.Leaving
		if r.FabricDomain == "" {
			r.FabricDomain = previous.FabricDomain
		}
	}
	if restarted {
		s.lastResponseAt = 0
		s.lastModel, s.stagingModel, s.expectedLoadEnd, s.highestEpoch = "", "", 0, 0
		s.consecutiveFailures, s.replaced, s.saysLeaving = 0, false, c.hasSaidLeaving(r)
		if e, ok := c.replicas[r.ID]; ok {
			e.unavailableUntil, e.unreachableBackOff, e.avoidedUntil, e.consecutiveFailures = 0, 0, 0, 0
		}
	}
	if r.Service != previous.Service || r.FabricDomain != previous.FabricDomain {
		c.domains = nil
	}
	s.report = r
	if restarted && isOwnReport {
		c.noteColdStart(now, s)
	}
	s.highestEpoch = max(s.highestEpoch, r.Membership.Group.Epoch)
	if g := r.Membership.Group; g.Name != "" {
		if f, ok := c.groups[g]; ok {
			s.lastModel = f.model
		} else if len(r.LoadedModels) > 0 {
			s.lastModel = r.LoadedModels[0]
		}
		if r.Membership.Rank == 0 {
			c.leaders[g] = r.ID
		}
	}
	if s.stagingModel != "" && slices.Contains(r.StagedModels, s.stagingModel) {
		s.stagingModel = ""
	}
}

// mergeListedReport returns the server's own report, with the fields that only the list
// holds and the changes that are newer there.
func (c *Coordinator) mergeListedReport(now time.Duration, s *server, listed fuchsiapitch.ServerReport) fuchsiapitch.ServerReport {
	r := s.report
	r.Service, r.Address, r.DataCentre, r.FabricDomain = listed.Service, listed.Address, listed.DataCentre, listed.FabricDomain
	r.Slots, r.Leaving = listed.Slots, listed.Leaving
	if now-s.lastResponseAt > listLag {
		r.StagedModels = listed.StagedModels
	}
	m := listed.Membership
	if m == r.Membership || s.replaced {
		return r
	}
	if now-s.lastResponseAt > listLag {
		s.needsProbe = true
	}
	if m.Group.Epoch > s.highestEpoch || m.Group == r.Membership.Group && m.State == fuchsiapitch.MemberBroken {
		r.Membership, r.LoadedModels = m, listed.LoadedModels
	}
	return r
}

// applyProbe processes the result of a probe.
func (c *Coordinator) applyProbe(now time.Duration, e ProbeCompleted) {
	s, ok := c.servers[e.Server]
	if !ok {
		return
	}
	s.probeInFlight = false
	if e.Err != nil {
		s.refusesConnections = e.Refused
		c.recordFailure(now, s, e.Silent)
		return
	}
	if (s.replaced || e.Report.StartedUnixMillis > s.report.StartedUnixMillis) && e.IdentifiedAs != e.Server {
		c.markReplaced(now, s)
		return
	}
	if e.Report.StartedUnixMillis < s.report.StartedUnixMillis {
		// The list shows a later incarnation than the one that responded.
		c.recordFailure(now, s, false)
		return
	}
	if s.isLost() && !s.replaced {
		s.recoveredAt = now
		c.reprobeLostServers(now, s.report.FabricDomain)
	}
	s.consecutiveFailures, s.lastResponseAt = 0, now
	s.needsProbe = false
	s.leavesUnlisted = s.leavesUnlisted || e.Unhealthy && !s.listed
	e.Report.ID = e.Server
	if s.lastOrderRefused {
		s.lastOrderRefused = false
		c.log("server reports after a refused order", map[string]any{
			logFieldServer: e.Server, "orders": e.Report.AcceptedOrders, "counted": s.report.AcceptedOrders, "group": e.Report.Membership.Group.Name,
			"state": e.Report.Membership.State.String(), "busy": e.Report.OrderInProgress, "started": e.Report.StartedUnixMillis, "known-start": s.report.StartedUnixMillis,
		})
	}
	if c.isStaleReport(now, s, e.Report) {
		s.needsProbe, s.nextProbeAt = true, max(s.reportsStaleUntil, now+orderPollInterval)
	} else {
		s.openInProgress = s.openInProgress && e.Report.OrderInProgress
		c.mergeReport(now, s, e.Report, true)
	}
	c.reconcileServer(now, s)
}

// markReplaced records that the known incarnation of a server has ended. A report does
// not name its server, and addresses are reused, so reports from the address are
// ignored until the list shows a later incarnation of this server.
func (c *Coordinator) markReplaced(now time.Duration, s *server) {
	s.needsProbe, s.openInProgress, s.lastOrderRefused = false, false, false
	if s.replaced {
		return
	}
	c.log("address of the server is used by another incarnation or another server", map[string]any{
		logFieldServer: s.report.ID, "group": s.report.Membership.Group.Name, "address": s.report.Address,
	})
	s.replaced = true
	s.report.Membership, s.report.LoadedModels, s.report.OrderInProgress = fuchsiapitch.Membership{}, nil, false
	c.reconcileServer(now, s)
}

// reprobeLostServers probes the lost servers of a domain again, after one of them has
// responded: the others may have been behind the same network partition.
func (c *Coordinator) reprobeLostServers(now time.Duration, domain fuchsiapitch.FabricDomainName) {
	for _, s := range c.servers {
		if s.report.FabricDomain == domain && s.isLost() && !s.replaced {
			s.consecutiveFailures, s.needsProbe, s.nextProbeAt = lostAfterFailures-1, true, now
		}
	}
}

// isStaleReport reports whether a server's report predates the last order that it
// accepted.
func (c *Coordinator) isStaleReport(now time.Duration, s *server, r fuchsiapitch.ServerReport) bool {
	if r.StartedUnixMillis > s.report.StartedUnixMillis {
		return false
	}
	return s.report.AcceptedOrdersKnown && now < s.reportsStaleUntil && r.AcceptedOrders <= s.report.AcceptedOrders
}

// recordFailure counts a call that got no response from a server. isSilent is true if the
// server accepted the connection: it may go on, and counts as lost only after
// silentServerTimeout, or once it is off the list. A server that has ended or is cut off
// accepts none.
func (c *Coordinator) recordFailure(now time.Duration, s *server, isSilent bool) {
	if s.consecutiveFailures == 0 {
		s.silentSince = now
	}
	if !isSilent || !s.listed || s.consecutiveFailures != lostAfterFailures-1 || now-s.silentSince >= silentServerTimeout {
		s.consecutiveFailures++
	}
	s.needsProbe = true
	s.nextProbeAt = now + failedProbeInterval
	if s.isLost() {
		s.nextProbeAt = now + lostProbeInterval
	}
	if s.consecutiveFailures == lostAfterFailures {
		c.log("server is lost", map[string]any{logFieldServer: s.report.ID, "group": s.report.Membership.Group.Name})
		c.reconcileServer(now, s)
	}
}

// applyOrderResult processes the result of an order.
func (c *Coordinator) applyOrderResult(now time.Duration, e OrderResultReceived) {
	s, ok := c.servers[e.Order.Server]
	if !ok {
		return
	}
	s.orderInFlight, s.leaveInFlight = false, false
	switch e.Result {
	case fuchsiapitch.OrderStarted, fuchsiapitch.OrderDone:
		s.consecutiveFailures, s.lastResponseAt = 0, now
		c.applyAcceptedOrder(now, s, e.Order, e.Result)
	case fuchsiapitch.OrderRefused, fuchsiapitch.OrderMisdirected:
		// If another server uses the address now, the next probe shows a later
		// incarnation.
		s.lastOrderRefused = true
		s.noOrdersUntil = now + c.reportLag(s)
		s.consecutiveFailures, s.lastResponseAt = 0, now
		s.needsProbe, s.nextProbeAt = true, s.noOrdersUntil
		c.cancelLoad(s, e.Order)
	case fuchsiapitch.OrderUnknown:
		c.recordFailure(now, s, e.Silent)
	}
	c.reconcileServer(now, s)
}

// cancelLoad clears the expected load of a refused order.
func (c *Coordinator) cancelLoad(s *server, o fuchsiapitch.GroupOrder) {
	if o.Kind == fuchsiapitch.OrderStage || o.Kind == fuchsiapitch.OrderJoin {
		s.stagingModel, s.expectedLoadEnd = "", 0
		c.loadCountAt = -1
	}
}

// applyAcceptedOrder applies the expected result of an accepted order to the server's
// state, until the next report confirms it.
func (c *Coordinator) applyAcceptedOrder(now time.Duration, s *server, o fuchsiapitch.GroupOrder, result fuchsiapitch.OrderResult) {
	if s.report.AcceptedOrders == o.ExpectedAcceptedOrders && (result == fuchsiapitch.OrderStarted || o.Kind == fuchsiapitch.OrderEvict || o.Kind == fuchsiapitch.OrderLeave) {
		s.report.AcceptedOrders++
	}
	s.reportsStaleUntil = now + c.reportLag(s)
	m := &s.report.Membership
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if result == fuchsiapitch.OrderStarted {
			*m = fuchsiapitch.Membership{Group: o.Group, Rank: rankOf(o.Members, o.Server), State: fuchsiapitch.MemberJoining}
		}
		s.needsProbe, s.nextProbeAt = true, now+c.joinTime(s, o.Model)+c.reportLag(s)
		s.highestEpoch = max(s.highestEpoch, o.Group.Epoch)
		s.lastModel = o.Model
	case fuchsiapitch.OrderOpen:
		s.openInProgress, s.expectedOpenEnd = true, now+c.openTime(s)
		s.reportsStaleUntil = s.expectedOpenEnd + c.reportLag(s)
		s.needsProbe, s.nextProbeAt = true, s.reportsStaleUntil
	case fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict:
		m.State = fuchsiapitch.MemberClosing
		if result == fuchsiapitch.OrderDone {
			m.State = fuchsiapitch.MemberReady
			return
		}
		s.needsProbe, s.nextProbeAt = true, s.reportsStaleUntil
	case fuchsiapitch.OrderLeave:
		if s.isMemberOf(o.Group) {
			*m = fuchsiapitch.Membership{}
		}
	case fuchsiapitch.OrderStage:
		if result == fuchsiapitch.OrderDone {
			s.stagingModel, s.expectedLoadEnd = "", 0
			s.report.StagedModels = append(slices.Clone(s.report.StagedModels), o.Model)
		}
	}
}

func rankOf(members []fuchsiapitch.ServerID, id fuchsiapitch.ServerID) int {
	for n, m := range members {
		if m == id {
			return n
		}
	}
	return -1
}

// probe probes a server unless a call is in flight, the next probe is not due, or the
// known incarnation has ended.
func (c *Coordinator) probe(now time.Duration, s *server) {
	if s.probeInFlight || s.orderInFlight || s.replaced || now < s.nextProbeAt {
		return
	}
	s.probeInFlight, s.nextProbeAt = true, 0
	c.emit(ProbeServer{Server: s.report.ID, Address: s.report.Address, KnownIncarnation: s.report.StartedUnixMillis, ChecksHealth: !s.listed && !s.isLeaving()})
}

// engineProfile returns the engine profile of a server's service, nil for none.
func (c *Coordinator) engineProfile(s *server) *fuchsiapitch.EngineProfile {
	p, _ := c.serviceProfile(s.report.Service)
	return p.Engine
}

// rejoinTime is how long a join takes if the server still has the model loaded from its
// last group.
const rejoinTime = 200 * time.Millisecond

// joinTime returns how long a join takes according to the engine profile.
func (c *Coordinator) joinTime(s *server, model string) time.Duration {
	p := c.engineProfile(s)
	if p == nil {
		return rejoinTime
	}
	m, _ := p.Model(model)
	switch {
	case s.lastModel == model:
		return rejoinTime
	case slices.Contains(s.report.StagedModels, model):
		return m.WarmLoadTime
	case s.stagingModel == model:
		return max(0, s.expectedStagingEnd-c.now) + m.WarmLoadTime
	}
	return c.loadTime(m)
}

// loadTime returns how long a load from the weight store takes.
func (c *Coordinator) loadTime(m fuchsiapitch.Model) time.Duration {
	if !c.hasReceivedRequests {
		return m.ColdLoadTime / earlyLoadSpeedUp
	}
	return m.ColdLoadTime
}

// earlyLoadSpeedUp is the factor by which loads from the weight store are faster before
// the first request arrives.
const earlyLoadSpeedUp = 10

// reportLagMargin is added to the report lag of the profile for network latency and
// timer resolution.
const reportLagMargin = 30 * time.Millisecond

// reportLag returns the maximum age of a server's report.
func (c *Coordinator) reportLag(s *server) time.Duration {
	if p := c.engineProfile(s); p != nil {
		return p.ReportLag + reportLagMargin
	}
	return 0
}

func (c *Coordinator) openTime(s *server) time.Duration {
	if p := c.engineProfile(s); p != nil {
		return p.OpenOrderTime
	}
	return 0
}
