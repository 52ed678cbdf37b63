package coordinator

import (
	"math"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
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
	// pace is the factor on all times of the engine, readTokensPerSecond its prompt
	// processing rate.
	pace, readTokensPerSecond float64
	// stepTime is the time of a step without requests, stepTimePerRequest what each
	// request adds to it. stepsPerEvent is the number of steps of a pass, which yields
	// one event per stream.
	stepTime, stepTimePerRequest time.Duration
	stepsPerEvent                int
	// inFlight is the number of requests that this host has in flight at the replica,
	// and unreadTokens the total prompt length of those whose answer has not started.
	// remoteInFlight and remoteUnreadTokens are the sums for the other hosts.
	inFlight, unreadTokens             int
	remoteInFlight, remoteUnreadTokens int
	// lastByteAt is when the last byte arrived from the replica, lastSentAt when this
	// host last sent it a request, and busySince when this host last sent one with no
	// other in flight there.
	lastByteAt, lastSentAt, busySince time.Duration
	// open states that the replica accepts new requests.
	open bool
	// unavailableUntil is the time until which the replica gets no requests from this
	// host. unreachableBackOff is the last back-off after a failure to connect, 0 once
	// the replica has been reached.
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

// isHalfOpen reports whether a single request of this host is testing a replica that
// could not be connected to. Further requests would all wait for the same time-out.
func (r *replica) isHalfOpen() bool { return r.unreachableBackOff > 0 && r.inFlight > 0 }

// totalInFlight returns the requests that all hosts have in flight at a replica.
func (r *replica) totalInFlight() int { return r.inFlight + r.remoteInFlight }

// timeToReadWith returns the time to read all unread prompts and one more.
func (r *replica) timeToReadWith(prompt int) time.Duration {
	return r.timeToRead(r.unreadTokens + r.remoteUnreadTokens + prompt)
}

// timeToRead returns the time to read a number of prompt tokens.
func (r *replica) timeToRead(tokens int) time.Duration {
	if r.readTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.readTokensPerSecond * max(r.pace, 0.1) * float64(time.Second))
}

// passTimeShare is the share of the longest acceptable pause that a pass may take. The
// rest covers prompts of other hosts that this host has not heard of yet, and the
// latency of an event.
const passTimeShare = 0.9

// unreadTokenLimit returns how many prompt tokens may be unread at a replica if its
// streams are to keep within a pause. An engine reads prompts in every step of a pass,
// so all streams wait for the prompts that it reads.
func (r *replica) unreadTokenLimit(pause time.Duration) int {
	if pause <= 0 || r.readTokensPerSecond <= 0 || r.stepsPerEvent <= 0 {
		return math.MaxInt
	}
	pace := max(r.pace, 0.1)
	pass := float64(r.stepsPerEvent) * float64(r.stepTime+time.Duration(r.totalInFlight())*r.stepTimePerRequest) * pace
	remaining := time.Duration(passTimeShare*float64(pause) - pass)
	return int(max(0, remaining).Seconds() / pace * r.readTokensPerSecond)
}

// fitsPauseLimit reports whether a replica may get one more prompt if its streams are
// to keep within a pause. A replica without unread prompts may get a prompt of any
// length.
func (r *replica) fitsPauseLimit(prompt int, pause time.Duration) bool {
	unread := r.unreadTokens + r.remoteUnreadTokens
	return unread == 0 || unread+prompt <= r.unreadTokenLimit(pause)
}

// silentFor returns how long this host has waited for a byte from a replica, 0 if it
// has no request in flight there.
func (r *replica) silentFor(now time.Duration) time.Duration {
	if r.inFlight == 0 {
		return 0
	}
	return now - max(r.lastByteAt, min(r.lastSentAt, r.busySince))
}

// refreshReplicas updates the replicas from the server list and the groups that the
// controller announces.
func (c *Coordinator) refreshReplicas(now time.Duration) {
	for _, r := range c.replicas {
		r.open = false
	}
	if c.routes == nil {
		return
	}
	for name, p := range c.routes.Services() {
		if p.Engine != nil {
			continue
		}
		for id, s := range c.servers {
			if s.report.Service == name && s.listed && !s.report.Leaving {
				c.updateReplica(id, s, p, "")
			}
		}
	}
	statuses, fromController := c.groupsInService(now)
	for _, l := range statuses {
		s, ok := c.servers[l.Leader]
		if !ok || !l.Open || s.report.Leaving || !s.listed && !c.listStale {
			continue
		}
		if p, ok := c.routes.Service(s.report.Service); ok && p.Engine != nil {
			c.updateReplica(l.Leader, s, p, l.Model)
		}
	}
	if fromController {
		c.withdrawFromDissolved(now, statuses)
	}
}

// groupsInService returns the known groups and their state: from this host's plan if it
// is the controller, else as the controller announces them, else as the server list
// shows them. The second result states that they come from a controller.
func (c *Coordinator) groupsInService(now time.Duration) ([]GroupStatus, bool) {
	if c.isController(now) && c.isSurveyed() {
		return c.groupStatuses(), true
	}
	for _, p := range c.peers {
		if p.isLive(now) && p.heartbeat.Claim != 0 && p.heartbeat.Claim == c.knownClaim && len(p.heartbeat.Groups) > 0 {
			return p.heartbeat.Groups, true
		}
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

func (c *Coordinator) updateReplica(id fuchsiapitch.ServerID, s *server, p fuchsiapitch.ServiceProfile, model string) {
	t, ok := c.replicas[id]
	if !ok {
		t = &replica{server: id}
		c.replicas[id] = t
		c.sumRemoteLoads()
	}
	t.address, t.service, t.model, t.open = s.report.Address, s.report.Service, model, true
	t.inSameDataCentre = s.report.DataCentre == c.dataCentre
	t.slots, t.pace = s.report.Slots, 1
	if p.Engine != nil {
		t.slots, t.readTokensPerSecond = p.Engine.Slots, p.Engine.PrefillTokensPerSecond
		t.stepTime, t.stepTimePerRequest, t.stepsPerEvent = p.Engine.StepTime, p.Engine.StepTimePerRequest, p.Engine.StepsPerEvent
		if m, ok := p.Engine.Model(model); ok && m.TimeFactor > 0 {
			t.pace = m.TimeFactor
		}
	}
}

// withdrawFromDissolved withdraws this host's requests from groups that the controller
// has dissolved.
func (c *Coordinator) withdrawFromDissolved(now time.Duration, statuses []GroupStatus) {
	announced := make(map[fuchsiapitch.ServerID]bool, len(statuses))
	for _, l := range statuses {
		announced[l.Leader] = true
	}
	for id, t := range c.replicas {
		if t.open || announced[id] || t.model == "" || t.inFlight == 0 || t.silentFor(now) < groupSilenceTimeout {
			continue
		}
		for _, k := range sortedKeys(c.assignments) {
			if pl := c.assignments[k]; pl.replica == t && !pl.withdrawn {
				pl.withdrawn = true
				c.emit(Withdraw{Ticket: k})
			}
		}
	}
}

// withdrawFromSilent withdraws this host's requests from engines that have gone silent
// towards it, as far as the retry budget allows. A network partition may affect this
// host alone.
func (c *Coordinator) withdrawFromSilent(now time.Duration) {
	for _, k := range sortedKeys(c.assignments) {
		p := c.assignments[k]
		r := p.replica
		if p.withdrawn || r.model == "" || r.silentFor(now) < withdrawalSilence || now-p.grantedAt < withdrawalSilence {
			continue
		}
		if !c.mayRetry(now, r.service) {
			return
		}
		p.withdrawn = true
		r.unavailableUntil = now + withdrawalSilence
		c.emit(Withdraw{Ticket: k})
	}
}

// recordLastBytes records when servers last sent a byte.
func (c *Coordinator) recordLastBytes(lastBytes map[fuchsiapitch.ServerID]time.Duration) {
	for id, at := range lastBytes {
		if r, ok := c.replicas[id]; ok {
			r.lastByteAt = max(r.lastByteAt, at)
		}
	}
}

// sumRemoteLoads adds up the loads that the other live hosts announce.
func (c *Coordinator) sumRemoteLoads() {
	for _, r := range c.replicas {
		r.remoteInFlight, r.remoteUnreadTokens = 0, 0
	}
	for _, p := range c.peers {
		if !p.isLive(c.now) {
			continue
		}
		for _, l := range p.heartbeat.ServerLoads {
			if r, ok := c.replicas[l.Server]; ok {
				r.remoteInFlight += l.InFlight
				r.remoteUnreadTokens += l.UnreadTokens
			}
		}
	}
}

// serverLoads returns the load that this host puts on each server.
func (c *Coordinator) serverLoads(now time.Duration) []ServerLoad {
	var loads []ServerLoad
	for _, id := range sortedKeys(c.replicas) {
		if r := c.replicas[id]; r.inFlight > 0 {
			loads = append(loads, ServerLoad{Server: id, InFlight: r.inFlight, UnreadTokens: r.unreadTokens, SilentFor: r.silentFor(now)})
		}
	}
	return loads
}

// isSilentToAllHosts reports whether a server has requests in flight and no host has
// received a byte from it within groupSilenceTimeout.
func (c *Coordinator) isSilentToAllHosts(now time.Duration, id fuchsiapitch.ServerID) bool {
	hasInFlight := false
	if r, ok := c.replicas[id]; ok && r.inFlight > 0 {
		hasInFlight = true
		if r.silentFor(now) < groupSilenceTimeout {
			return false
		}
	}
	for _, p := range c.peers {
		if !p.isLive(now) {
			continue
		}
		for _, l := range p.heartbeat.ServerLoads {
			if l.Server != id || l.InFlight == 0 {
				continue
			}
			hasInFlight = true
			if l.SilentFor+now-p.lastHeardAt < groupSilenceTimeout {
				return false
			}
		}
	}
	return hasInFlight
}
