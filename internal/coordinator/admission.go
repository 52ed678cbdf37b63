package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/admitter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/confiner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

const (
	// engineQueueDepth is the number of requests sent to an engine beyond its slots, so
	// that it can fill a freed slot at once.
	engineQueueDepth = 2
	// minRetryAfter and maxRetryAfter bound the retry delay that is sent to a refused
	// client.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// backOffDuration is how long other servers are preferred over one that failed a
	// request.
	backOffDuration = 300 * time.Millisecond
	// maxConsecutiveFailures is the number of failures in a row after which a server
	// gets no requests for backOffDuration. A server that fails 40 % of its requests
	// reaches it once in forty requests.
	maxConsecutiveFailures = 4
	// minUnreachableBackOff and maxUnreachableBackOff bound the back-off for a server
	// that cannot be connected to. It doubles with each failure.
	minUnreachableBackOff = 500 * time.Millisecond
	maxUnreachableBackOff = 4 * time.Second
	// revocationSilence is how long a server may send no byte to this host before the
	// slots of its requests are revoked, so that the requests are sent elsewhere. A sound
	// server may be silent for a second or so. Clients abandon a silent stream after two
	// seconds. The controller dissolves a group with a dead member sooner than this.
	revocationSilence = 1500 * time.Millisecond
	// avoidanceSilence is how long a server may send no byte to this host before other
	// servers are preferred for new requests.
	avoidanceSilence = 300 * time.Millisecond
	// lateWaitShare is the share of the time to its deadline for which a request may be
	// queued once it can no longer get its first byte in time.
	lateWaitShare = 0.25
)

// The urgency of a request at the engine ranges from 0, the most urgent, to 9.
const (
	urgencyPerRank = 2
	maxUrgency     = 9
	lateUrgency    = 1
)

// admissionState holds the services, the replicas, the requests in flight and the queue.
// suspectedLocally marks the servers that failed requests of this host have named as
// the cause.
type admissionState struct {
	services         map[fuchsiapitch.ServiceName]*knownService
	replicas         map[fuchsiapitch.ServerID]*replica
	assignments      map[Ticket]*assignment
	queue            []*queuedRequest
	suspectedLocally map[fuchsiapitch.ServerID]bool
}

// poolKey identifies the replicas that serve the same requests.
type poolKey struct {
	service fuchsiapitch.ServiceName
	model   string
}

// assignment is a request that has been granted a slot.
type assignment struct {
	replica         *replica
	pool            poolKey
	home            confiner.Home
	rank            int
	promptTokens    int
	grantedAt       time.Duration
	responseStarted bool
	// startedAt is when the response started, expectedFirstEvent how long after the grant it
	// was expected, 0 for unknown.
	startedAt, expectedFirstEvent time.Duration
	// incarnation is the run of the server to which the request was sent, and parts are the
	// parts of its prompt. isPermitted is true if it was sent by a permit for a quarantined
	// part, hasAcquitted once its response has acquitted its parts.
	incarnation               quarantiner.Incarnation
	parts                     []quarantiner.Part
	isPermitted, hasAcquitted bool
	revoked                   bool
	// mayMove is true if the request may be sent to another server while it runs.
	mayMove bool
	// returningFrom is the pause after which the request was granted, until the first
	// response; nil for none.
	returningFrom *pause
}

// queuedRequest is a request that has not been granted a slot.
type queuedRequest struct {
	RequestArrived
	pool      poolKey
	home      confiner.Home
	arrivedAt time.Duration
	// isLate is true if the first byte can no longer arrive by FirstByteBy.
	isLate bool
	// isPermitted is true if the request has permits for its quarantined parts.
	isPermitted bool
	// awaitsRetry is true if the request waits until the retry budget allows its retry.
	awaitsRetry bool
}

func newAdmissionState() admissionState {
	return admissionState{
		services: make(map[fuchsiapitch.ServiceName]*knownService), replicas: make(map[fuchsiapitch.ServerID]*replica), assignments: make(map[Ticket]*assignment),
		suspectedLocally: make(map[fuchsiapitch.ServerID]bool),
	}
}

// admit grants a request a slot, queues it or refuses it. If no replica serves it, or it would
// exceed the retry budget, a new request is refused at once. A resumed stream is queued, because
// a refusal would break off a response that its client has begun to receive.
func (c *Coordinator) admit(now time.Duration, e RequestArrived) {
	w := &queuedRequest{RequestArrived: e, pool: poolKey{e.Service, e.Model}, home: c.regions.Narrow(e.Home), arrivedAt: now}
	if c.refuseHomeless(w) {
		return
	}
	if len(w.Parts) > 0 && c.holdsBack(now) {
		c.awaitingStored = append(c.awaitingStored, w)
		return
	}
	if c.passesQuarantine(now, w) {
		c.admitChecked(now, w)
	}
}

// admitChecked admits a request that has no quarantined part, or the permits for them.
func (c *Coordinator) admitChecked(now time.Duration, w *queuedRequest) {
	e := w.RequestArrived
	w.isLate = c.cannotBeInTime(now, w)
	c.retainService(e)
	c.countArrival(now, w)
	c.demoteLate(now)
	if !c.chargeRetryBudget(now, e) {
		if !w.Resumed {
			c.refuse(w, NoBudget, minRetryAfter)
			return
		}
		w.awaitsRetry = true
	}
	if !c.isNarrowed(w) && c.isShed(w) {
		c.refuse(w, Overloaded, c.shedRetryAfter(now, w.pool))
		return
	}
	if !w.awaitsRetry && !c.hasPredecessor(now, w) {
		if r := c.chooseReplica(now, w); r != nil {
			c.grant(now, w, r)
			return
		}
	}
	if c.refuseIfPaused(now, w, c.soonestReturns(now)) {
		return
	}
	expectedWait, servable := c.expectedWait(now, w)
	switch {
	case !servable && !w.Resumed:
		c.refuse(w, c.unservableReason(w), expectedWait)
		return
	case servable && now+expectedWait > c.waitLimit(now, w) && !w.isLate:
		// The request is queued behind those that can be in time.
		w.isLate = true
		expectedWait, _ = c.expectedWait(now, w)
	}
	if servable && !w.Resumed && now+expectedWait > c.waitLimit(now, w) {
		c.refuse(w, Overloaded, expectedWait)
		return
	}
	c.queue = append(c.queue, w)
	slices.SortStableFunc(c.queue, compareQueued)
	c.dispatchQueue(now)
}

// compareQueued orders the queue: by rank, then requests that can be in time, then
// requests that the client sent again after a refusal, then by arrival.
func compareQueued(a, b *queuedRequest) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank), compareTrueFirst(b.isLate, a.isLate), compareTrueFirst(a.ReturnedAfterRefusal, b.ReturnedAfterRefusal), cmp.Compare(a.arrivedAt, b.arrivedAt))
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// waitLimit returns the time until which a request may be queued: the latest grant that
// still gets the first byte in time. A late or returned request may in any case be queued
// for lateWaitShare of the time to its deadline. A refusal of a resumed stream would end it,
// so that it may be queued until its deadline.
func (c *Coordinator) waitLimit(now time.Duration, w *queuedRequest) time.Duration {
	if w.Resumed {
		return w.Deadline
	}
	inTimeLimit := w.FirstByteBy - c.timeToFirstByte(w)
	lateLimit := now + time.Duration(float64(w.Deadline-now)*lateWaitShare)
	if w.ReturnedAfterRefusal || w.isLate {
		return max(inTimeLimit, lateLimit)
	}
	return inTimeLimit
}

// cannotBeInTime reports whether a request would miss FirstByteBy even if it got a slot
// now.
func (c *Coordinator) cannotBeInTime(now time.Duration, w *queuedRequest) bool {
	return w.FirstByteBy-c.timeToFirstByte(w) <= now
}

// timeToFirstByte returns the expected time from a grant to the first byte.
func (c *Coordinator) timeToFirstByte(w *queuedRequest) time.Duration {
	for _, r := range c.replicas {
		if r.serves(w.pool) && r.isEngine() {
			return r.speed.TimeToRead(w.InputTokens) + c.poolOf(w.pool).FirstEventDelay()
		}
	}
	return c.poolOf(w.pool).ServiceTime() / 2
}

// hasPredecessor reports whether another request for the same replicas comes first in
// the queue. One that avoids servers has been offered all the other ones.
func (c *Coordinator) hasPredecessor(now time.Duration, w *queuedRequest) bool {
	return slices.ContainsFunc(c.queue, func(o *queuedRequest) bool { return o.precedes(w) && !o.avoidsFailedNow(now) })
}

// precedes reports whether a queued request gets a slot of the same replicas before another one.
func (w *queuedRequest) precedes(other *queuedRequest) bool {
	return w.pool == other.pool && w.home.Overlaps(other.home) && !w.awaitsRetry && compareQueued(w, other) <= 0
}

// expectedWait returns the time after which a slot is likely to be free, and whether
// any replica serves the request.
func (c *Coordinator) expectedWait(now time.Duration, w *queuedRequest) (time.Duration, bool) {
	slots, inFlight, queuedAhead, isPaused := 0, 0, 0, false
	availableIn := time.Duration(math.MaxInt64)
	for _, r := range c.replicas {
		switch {
		case !r.serves(w.pool) || !c.mayUse(w.home, r):
		case now < c.availableAt(r):
			availableIn = min(availableIn, c.availableAt(r)-now)
			isPaused = isPaused || c.pausedFor(now, r.server) > 0
		default:
			slots += r.slots
			inFlight += r.totalInFlight()
		}
	}
	switch {
	case slots == 0 && (isPaused || availableIn <= backOffDuration):
		return availableIn, true
	case slots == 0:
		return c.timeToRepair(w), false
	}
	for _, o := range c.queue {
		if o.precedes(w) {
			queuedAhead++
		}
	}
	for k, n := range c.remoteQueues {
		if k.pool == w.pool && k.rank <= w.Rank {
			queuedAhead += n
		}
	}
	queuedAhead -= c.queuedElsewhere(w)
	backlog := max(0, inFlight-slots) + queuedAhead + 1
	return time.Duration(float64(c.poolOf(w.pool).ServiceTime()) * float64(backlog) / float64(slots)), true
}

// timeToRepair returns the time after which a group is likely to serve the model if
// none does now.
func (c *Coordinator) timeToRepair(w *queuedRequest) time.Duration {
	p, ok := c.serviceProfile(w.Service)
	if !ok || p.Engine == nil {
		return minRetryAfter
	}
	m, _ := p.Engine.Model(w.Model)
	return m.WarmLoadTime + p.Engine.OpenOrderTime
}

// chooseReplica returns the replica with the lowest cost, or nil if none has a free
// slot.
func (c *Coordinator) chooseReplica(now time.Duration, w *queuedRequest) *replica {
	return c.chooseAmong(now, w, c.freeReplicas(now, w.confined()))
}

// freeReplicas returns the replicas of a pool, in the home, that may get a request now.
func (c *Coordinator) freeReplicas(now time.Duration, p confinedPool) []*replica {
	var free []*replica
	for _, id := range sortedKeys(c.replicas) {
		if r := c.replicas[id]; r.serves(p.pool) && c.mayUse(p.home, r) && c.isFree(now, r) {
			free = append(free, r)
		}
	}
	return free
}

// isFree reports whether a replica may get a request now.
func (c *Coordinator) isFree(now time.Duration, r *replica) bool {
	return !c.isHeldBack(now, r) && !r.isHalfOpen() && r.totalInFlight() < c.slotLimit(r)
}

// chooseAmong returns the replica with the lowest cost among some that were free, or nil if
// none is.
func (c *Coordinator) chooseAmong(now time.Duration, w *queuedRequest, free []*replica) *replica {
	var candidates []*replica
	avoidsFailed := w.avoidsFailedNow(now)
	for _, r := range free {
		if !c.isFree(now, r) || !r.fitsPauseLimit(w.InputTokens, w.MaxPause) || avoidsFailed && slices.Contains(w.FailedServers, r.server) {
			continue
		}
		candidates = append(candidates, r)
	}
	if c.usesRelays() && len(candidates) > 0 && candidates[0].isEngine() {
		return c.drawEngine(now, w, candidates)
	}
	var best *replica
	var bestCost float64
	for _, r := range c.drawReplicas(candidates) {
		cost := c.costMS(now, r, w.InputTokens)
		if slices.Contains(w.FailedServers, r.server) {
			cost += failedServerCostMS
		}
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// failedServerBackOff is how long a request that avoids the servers that have failed it waits for
// another one. All hosts learn within this time that a group is taken apart or a server has restarted.
const failedServerBackOff = 500 * time.Millisecond

// failedServerCostMS is added to the cost of a server at which the request has failed,
// so that any other server is preferred.
const failedServerCostMS = 10000

// avoidsFailedNow reports whether a request waits for another server than those that have
// failed it.
func (w *queuedRequest) avoidsFailedNow(now time.Duration) bool {
	return w.AvoidsFailedServers && len(w.FailedServers) > 0 && now < w.arrivedAt+failedServerBackOff
}

// queueDepth returns how many requests may be sent to a replica beyond its slots.
func (c *Coordinator) queueDepth(r *replica) int {
	if r.model == "" {
		return 0
	}
	return engineQueueDepth
}

// costMS returns the expected time to the first byte plus penalties, in milliseconds.
func (c *Coordinator) costMS(now time.Duration, r *replica, promptTokens int) float64 {
	const (
		fullBatchMS = 60.0 // time of a pass with a full batch
		remoteMS    = 2.0  // latency to another data centre
		avoidanceMS = 2000 // exceeds any real wait
	)
	cost := float64(r.speed.TimeToRead(r.allUnreadTokens()+promptTokens).Milliseconds()) + fullBatchMS*float64(r.totalInFlight())/float64(max(r.slots, 1))
	if !r.inSameDataCentre {
		cost += remoteMS
	}
	if now < r.avoidedUntil || c.isSilent(now, r) {
		cost += avoidanceMS
	}
	return cost
}

// grant assigns a slot of a replica to a request.
func (c *Coordinator) grant(now time.Duration, w *queuedRequest, r *replica) {
	a := &assignment{
		replica: r, pool: w.pool, home: w.home, rank: w.Rank, promptTokens: w.InputTokens, grantedAt: now, mayMove: w.MayMove,
		incarnation: c.incarnationOf(r.server), parts: w.Parts, isPermitted: w.isPermitted,
	}
	if a.isPermitted {
		c.usePermits(now, w.Parts, r.server)
	}
	c.assignments[w.Ticket] = a
	if r.isEngine() && c.usesRelays() {
		a.expectedFirstEvent = c.poolOf(w.pool).ExpectFor(r.engine(), r.totalInFlight(), w.InputTokens)
	}
	if r.inFlight == 0 {
		r.busySince = now
	}
	r.inFlight++
	r.unreadTokens += w.InputTokens
	if r.isEngine() {
		c.unannouncedTokens += w.InputTokens
	}
	r.lastSentAt = now
	c.countReturning(a)
	c.emit(Grant{Ticket: w.Ticket, Server: r.server, Address: r.address, Urgency: c.urgency(now, w), IsEngine: r.model != ""})
}

// urgency returns the urgency of a request at the engine.
func (c *Coordinator) urgency(now time.Duration, w *queuedRequest) int {
	u := w.Rank * urgencyPerRank
	if now > w.FirstByteBy {
		u += lateUrgency
	}
	return min(u, maxUrgency)
}

func (c *Coordinator) refuse(w *queuedRequest, reason RefusalReason, retryAfter time.Duration) {
	c.returnPermit(w)
	c.emit(Refuse{Ticket: w.Ticket, Reason: reason, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)})
}

// dispatchQueue grants free slots to queued requests and refuses those that have been
// queued for too long.
func (c *Coordinator) dispatchQueue(now time.Duration) {
	c.demoteLate(now)
	remaining := c.queue[:0]
	fullPools, freeReplicas := make(map[confinedPool]bool), make(map[confinedPool][]*replica)
	soonestReturns := c.soonestReturns(now)
	for _, w := range c.queue {
		if now > c.waitLimit(w.arrivedAt, w) || now >= w.Deadline {
			expectedWait, _ := c.expectedWait(now, w)
			c.refuse(w, w.reasonAtLimit(), expectedWait)
			continue
		}
		if c.refuseIfPaused(now, w, soonestReturns) {
			continue
		}
		if w.awaitsRetry && c.takeRetry(now, w.Service) {
			w.awaitsRetry = false
		}
		if !w.awaitsRetry && !fullPools[w.confined()] {
			free, isKnown := freeReplicas[w.confined()]
			if !isKnown {
				free = c.freeReplicas(now, w.confined())
				freeReplicas[w.confined()] = free
			}
			if r := c.chooseAmong(now, w, free); r != nil {
				c.grant(now, w, r)
				continue
			}
			fullPools[w.confined()] = !w.avoidsFailedNow(now)
		}
		remaining = append(remaining, w)
	}
	clear(c.queue[len(remaining):])
	c.queue = remaining
}

// reasonAtLimit returns the reason to refuse a request that was queued for as long as it may be.
func (w *queuedRequest) reasonAtLimit() RefusalReason {
	if w.awaitsRetry {
		return NoBudget
	}
	return Overloaded
}

// demoteLate moves requests that can no longer be in time behind those that can.
func (c *Coordinator) demoteLate(now time.Duration) {
	changed := false
	for _, w := range c.queue {
		if !w.isLate && c.cannotBeInTime(now, w) {
			w.isLate, changed = true, true
		}
	}
	if changed {
		slices.SortStableFunc(c.queue, compareQueued)
	}
}

// markResponseStarted records that the response has started, which means that the
// engine has read the prompt.
func (c *Coordinator) markResponseStarted(now time.Duration, t Ticket) {
	a, ok := c.assignments[t]
	if !ok || a.responseStarted {
		return
	}
	a.responseStarted, a.startedAt = true, now
	a.replica.unreachableBackOff = 0
	c.poolOf(a.pool).ObserveFirstEvent(now-a.grantedAt, a.replica.speed.TimeToRead(a.promptTokens), a.expectedFirstEvent)
	a.replica.unreadTokens -= a.promptTokens
	if a.replica.isEngine() {
		c.unannouncedTokens += a.promptTokens
	}
	a.replica.lastByteAt = max(a.replica.lastByteAt, now)
	if a.returningFrom != nil {
		c.endReturning(a, true)
		c.dispatchQueue(now)
	}
}

// occupied returns for how long a request has occupied a slot of its replica. The time that it
// waited there for a slot, as far as it shows, does not count in a cluster with relays.
func (c *Coordinator) occupied(now time.Duration, a *assignment) time.Duration {
	whole := now - a.grantedAt
	if !c.usesRelays() || !a.responseStarted || !a.replica.isEngine() {
		return whole
	}
	return min(whole, now-a.startedAt+a.replica.speed.TimeToRead(a.promptTokens)+a.replica.speed.Pass(a.replica.slots))
}

// releaseTicket frees the slot of a request, or removes a request without a slot from
// the queue.
func (c *Coordinator) releaseTicket(now time.Duration, e TicketReleased) {
	if e.FaultyServer != "" {
		c.suspectedUntil[e.FaultyServer] = now + suspicionDuration
		c.suspectedLocally[e.FaultyServer] = true
	}
	a, ok := c.assignments[e.Ticket]
	if !ok {
		c.stopAwaitingPermit(e.Ticket)
		c.stopHoldingBack(e.Ticket)
		c.queue = slices.DeleteFunc(c.queue, func(w *queuedRequest) bool {
			isReleased := w.Ticket == e.Ticket
			if isReleased {
				c.returnPermit(w)
			}
			return isReleased
		})
		return
	}
	delete(c.assignments, e.Ticket)
	c.observeRelease(now, a, e)
	c.endReturning(a, !e.Failed)
	r := a.replica
	r.inFlight--
	if c.usesRelays() {
		c.poolOf(a.pool).CountCompletion(now, a.rank)
	}
	if !a.responseStarted {
		r.unreadTokens -= a.promptTokens
	}
	switch {
	case e.Unreachable:
		r.unreachableBackOff = min(max(2*r.unreachableBackOff, minUnreachableBackOff), maxUnreachableBackOff)
		r.unavailableUntil = now + r.unreachableBackOff
		c.suspectColdStart(now, r)
	case e.Failed:
		r.avoidedUntil = now + backOffDuration
		r.consecutiveFailures++
		if e.Misdirected || r.consecutiveFailures >= maxConsecutiveFailures {
			// A server that fails requests at once always has free slots, and would get
			// every queued request.
			r.unavailableUntil = now + backOffDuration
		}
	default:
		r.unreachableBackOff, r.consecutiveFailures = 0, 0
		c.poolOf(a.pool).ObserveService(c.occupied(now, a))
	}
	if r.inFlight == 0 && !r.open && !r.announced {
		delete(c.replicas, r.server)
	}
	c.dispatchQueue(now)
}

// queueLengths returns the number of requests queued at this host, and of those that have
// arrived recently, by service, model and rank.
func (c *Coordinator) queueLengths(now time.Duration) []Queue {
	counts := make(map[queueKey]int)
	for _, w := range c.queue {
		if !w.awaitsRetry && w.home == confiner.Anywhere {
			counts[queueKey{w.pool, w.Rank}]++
		}
	}
	arrivals := make(map[queueKey]admitter.Arrivals)
	for p, pool := range c.pools {
		for _, a := range pool.Arrivals(now) {
			counts[queueKey{p, a.Rank}] += 0
			arrivals[queueKey{p, a.Rank}] = a
		}
	}
	var queues []Queue
	for _, k := range sortedQueueKeys(counts) {
		a := arrivals[k]
		queues = append(queues, Queue{Service: k.pool.service, Model: k.pool.model, Rank: k.rank, Length: counts[k], Arrivals: a.All, Returned: a.Returned, Completed: a.Completed})
	}
	return append(queues, c.confinedQueueLengths()...)
}
