package coordinator

import (
	"math"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/admitter"
)

// replica is a server that accepts requests: the leader of an open group, or an
// application server.
type replica struct {
	server           fuchsiapitch.ServerID
	address          string
	service          fuchsiapitch.ServiceName
	model            string
	inSameDataCentre bool
	slots            int
	// speed is the speed of a model engine, apart from its slots.
	speed admitter.Engine
	// inFlight is the number of requests that this host has in flight at the replica,
	// and unreadTokens the total prompt length of those whose response has not started.
	// remoteInFlight and remoteUnreadTokens are the same sums over the other live
	// hosts.
	inFlight, unreadTokens             int
	remoteInFlight, remoteUnreadTokens int
	// remotePinned is the number of requests of the other live hosts at the replica that
	// cannot go on elsewhere.
	remotePinned int
	// remoteLastByteAt is when the last byte arrived at another host, as far as known.
	remoteLastByteAt time.Duration
	// lastByteAt is when the last byte arrived from the replica, lastSentAt when this
	// host last sent it a request, and busySince when this host last sent it one while
	// no other was in flight there.
	lastByteAt, lastSentAt, busySince time.Duration
	// open is true if the replica accepts new requests. announced is true if it leads a group,
	// open or not.
	open, announced bool
	// unavailableUntil is the time until which this host sends the replica no requests.
	// unreachableBackOff is the back-off after the last failure to connect, 0 once the
	// replica has responded.
	unavailableUntil, unreachableBackOff time.Duration
	// avoidedUntil is the time until which other replicas are preferred, after a failed
	// request. consecutiveFailures is the number of failed requests in a row.
	avoidedUntil        time.Duration
	consecutiveFailures int
}

// serves reports whether a replica accepts requests for a service and model.
func (r *replica) serves(p poolKey) bool {
	return r.open && r.service == p.service && r.model == p.model
}

// isHalfOpen reports whether a request of this host is testing a replica that could not
// be connected to. No further request is sent meanwhile, because it would run into the
// same time-out.
func (r *replica) isHalfOpen() bool { return r.unreachableBackOff > 0 && r.inFlight > 0 }

// totalInFlight returns the number of requests that all hosts have in flight at a
// replica.
func (r *replica) totalInFlight() int { return r.inFlight + r.remoteInFlight }

// pool returns the pool of a replica.
func (r *replica) pool() poolKey { return poolKey{r.service, r.model} }

// engine returns the speed of a replica with its slots.
func (r *replica) engine() admitter.Engine {
	e := r.speed
	e.Slots = r.slots
	return e
}

// isEngine reports whether a replica reads prompts at a known speed.
func (r *replica) isEngine() bool { return r.speed.ReadTokensPerSecond > 0 }

// allUnreadTokens returns the total length of the unread prompts at a replica.
func (r *replica) allUnreadTokens() int { return r.unreadTokens + r.remoteUnreadTokens }

// passTimeShare is the share of the longest acceptable pause that a pass may take. The
// rest covers prompts that other hosts have sent and not announced yet, and the latency
// of an event.
const passTimeShare = 0.9

// unreadTokenLimit returns how many prompt tokens may be unread at a replica if its
// streams are to pause no longer than maxPause. An engine reads prompts in every step of
// a pass, which delays the events of all its streams.
func (r *replica) unreadTokenLimit(maxPause time.Duration) int {
	if maxPause <= 0 || !r.isEngine() || r.speed.StepsPerEvent <= 0 {
		return math.MaxInt
	}
	remaining := time.Duration(passTimeShare*float64(maxPause)) - r.speed.Pass(r.totalInFlight())
	return r.speed.TokensIn(remaining)
}

// fitsPauseLimit reports whether a replica may get one more prompt if its streams are
// to pause no longer than maxPause. A replica without unread prompts may get a prompt of
// any length.
func (r *replica) fitsPauseLimit(promptTokens int, maxPause time.Duration) bool {
	unread := r.allUnreadTokens()
	return unread == 0 || unread+promptTokens <= r.unreadTokenLimit(maxPause)
}

// silentFor returns the time since the last byte from a replica, or since busySince if
// that is later. It returns 0 if this host has no request in flight there.
func (r *replica) silentFor(now time.Duration) time.Duration {
	if r.inFlight == 0 {
		return 0
	}
	return now - max(r.lastByteAt, min(r.lastSentAt, r.busySince))
}

// refreshReplicas updates the replicas from the server list and the groups that the
// controller announces.
func (c *Coordinator) refreshReplicas(now time.Duration) {
	c.replicasStale = false
	for _, r := range c.replicas {
		r.open, r.announced = false, false
	}
	if c.routes == nil {
		return
	}
	c.forgetServices(now)
	for name, service := range c.services {
		if service.profile.Engine != nil {
			continue
		}
		for id, s := range c.servers {
			if s.report.Service == name && s.listed && !s.isLeaving() {
				c.updateReplica(id, s, service.profile, "")
			}
		}
	}
	statuses, fromController := c.knownGroups(now)
	for _, g := range statuses {
		s, ok := c.servers[g.Leader]
		if !ok {
			continue
		}
		if p, ok := c.serviceProfile(s.report.Service); ok && p.Engine != nil {
			r := c.updateReplica(g.Leader, s, p, g.Model)
			r.announced = true
			r.open = g.Open && !s.isLeaving() && (s.listed || c.listStale)
		}
	}
	c.closeEvacuated()
	if fromController {
		c.revokeFromDissolved(now, statuses)
		c.forgetReplicas()
	}
}

// forgetReplicas forgets the leaders of former groups, once their requests have ended.
func (c *Coordinator) forgetReplicas() {
	for id, r := range c.replicas {
		if r.model != "" && !r.open && !r.announced && r.inFlight == 0 {
			delete(c.replicas, id)
		}
	}
}

// knownGroups returns the known groups: from this host's plan if it is the controller,
// else as the controller announces them, else the open ones by the server list. The
// second result is true if they come from a controller.
func (c *Coordinator) knownGroups(now time.Duration) ([]GroupStatus, bool) {
	if c.isController(now) && c.isSurveyed() {
		return c.groupStatuses(), true
	}
	if len(c.announcedGroups) > 0 && c.hasCurrentGroups(now) {
		return c.announcedGroups, true
	}
	var statuses []GroupStatus
	for id, s := range c.servers {
		m := s.report.Membership
		if m.State != fuchsiapitch.MemberOpen || m.Rank != 0 || len(s.report.LoadedModels) == 0 {
			continue
		}
		statuses = append(statuses, GroupStatus{Ref: m.Group, Model: s.report.LoadedModels[0], Leader: id, Open: true})
	}
	return statuses, false
}

// hasCurrentGroups reports whether the known group table comes from a live controller. A
// table that relays hand on outlasts a change of the controller.
func (c *Coordinator) hasCurrentGroups(now time.Duration) bool {
	if c.usesRelays() {
		return now-c.lastHolderContactAt < groupsLifetime || !c.hasCurrentList(now)
	}
	return c.announcedVersion.Claim == c.knownClaim && c.claimHolder != c.self.ID && now-c.lastHolderContactAt < peerTimeout
}

func (c *Coordinator) updateReplica(id fuchsiapitch.ServerID, s *server, p fuchsiapitch.ServiceProfile, model string) *replica {
	r, ok := c.replicas[id]
	if !ok {
		r = &replica{server: id}
		c.replicas[id] = r
		c.sumRemoteLoads()
	}
	r.address, r.service, r.model, r.open = s.report.Address, s.report.Service, model, true
	r.inSameDataCentre = s.report.DataCentre == c.dataCentre
	r.slots, r.speed = s.report.Slots, admitter.Engine{TimeFactor: 1}
	if p.Engine != nil {
		r.slots = p.Engine.Slots
		r.speed = admitter.Engine{
			ReadTokensPerSecond: p.Engine.PrefillTokensPerSecond, TimeFactor: 1,
			StepTime: p.Engine.StepTime, StepTimePerRequest: p.Engine.StepTimePerRequest, StepsPerEvent: p.Engine.StepsPerEvent,
		}
		if m, ok := p.Engine.Model(model); ok && m.TimeFactor > 0 {
			r.speed.TimeFactor = m.TimeFactor
		}
	}
	if known, ok := c.pools[r.pool()]; ok {
		known.SetEngine(r.engine())
	}
	return r
}

// recordLastByteTimes records when servers last sent a byte.
func (c *Coordinator) recordLastByteTimes(lastByteTimes map[fuchsiapitch.ServerID]time.Duration) {
	for id, at := range lastByteTimes {
		if r, ok := c.replicas[id]; ok {
			r.lastByteAt = max(r.lastByteAt, at)
		}
	}
}

// sumRemoteLoads updates the remote loads of all replicas from the heartbeats of the
// other live hosts.
func (c *Coordinator) sumRemoteLoads() {
	for _, r := range c.replicas {
		r.remoteInFlight, r.remoteUnreadTokens, r.remotePinned, r.remoteLastByteAt = 0, 0, 0, 0
	}
	clear(c.remoteQueues)
	clear(c.remoteArrivals)
	clear(c.remoteCustomers)
	clear(c.confinedQueues)
	if c.usesRelays() {
		c.addRelayedLoads(c.now)
		return
	}
	for _, p := range c.peers {
		if c.isLive(p, c.now) {
			c.addLoads(p.lastHeartbeat, p.lastHeartbeatReceivedAt, 1)
		}
	}
}

// serverLoads returns the load that this host puts on each server.
func (c *Coordinator) serverLoads(now time.Duration) []ServerLoad {
	var loads []ServerLoad
	pinned := c.pinnedRequests(now)
	for _, id := range sortedKeys(c.replicas) {
		if r := c.replicas[id]; r.inFlight > 0 {
			loads = append(loads, ServerLoad{Server: id, InFlight: r.inFlight, UnreadTokens: r.unreadTokens, Pinned: pinned[r], SilentFor: r.silentFor(now)})
		}
	}
	return loads
}

// isSilentToAllHosts reports whether a server has requests in flight and no host has
// received a byte from it within the silence timeout.
func (c *Coordinator) isSilentToAllHosts(now time.Duration, id fuchsiapitch.ServerID) bool {
	r, ok := c.replicas[id]
	if !ok || r.totalInFlight() == 0 {
		return false
	}
	timeout := groupSilenceTimeout
	if c.usesRelays() {
		timeout += relayedSilenceMargin
	}
	if r.inFlight > 0 && r.silentFor(now) < groupSilenceTimeout {
		return false
	}
	return r.remoteInFlight == 0 || now-r.remoteLastByteAt >= timeout
}
