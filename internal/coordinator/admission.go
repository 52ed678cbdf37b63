package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// engineQueueDepth is the number of requests that an engine is sent beyond its
	// slots, so that it fills a freed slot at once.
	engineQueueDepth = 2
	// slotTimeWeight is the weight of a new sample in the moving average of the slot
	// time, the time for which a request occupies a slot.
	slotTimeWeight = 0.05
	// initialEngineSlotTime is the slot time assumed before the first sample. A stream
	// of 30 events takes between one and two seconds.
	initialEngineSlotTime = 1500 * time.Millisecond
	// initialPlainSlotTime is the one assumed for a plain service.
	initialPlainSlotTime = 40 * time.Millisecond
	// initialFirstByteDelay is the first byte delay, which excludes reading the prompt,
	// assumed before the first sample: one pass of six steps with a full batch.
	initialFirstByteDelay = 60 * time.Millisecond
	// firstByteDelayWeight is the weight of a new sample in its moving average.
	firstByteDelayWeight = 0.05
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused caller is
	// given.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// backOffDuration is how long a server that failed a request is avoided.
	backOffDuration = 300 * time.Millisecond
	// maxConsecutiveFailures is the number of failures in a row after which a server
	// gets no requests for backOffDuration. A server that fails 40 % of its requests
	// reaches it once in forty requests.
	maxConsecutiveFailures = 4
	// minUnreachableBackOff and maxUnreachableBackOff bound the back-off for a server
	// that cannot be connected to. It doubles with each failure.
	minUnreachableBackOff = 500 * time.Millisecond
	maxUnreachableBackOff = 4 * time.Second
	// withdrawalSilence is the silence of a server towards this host after which its
	// requests are withdrawn and sent elsewhere. Callers give up on a stream after two
	// seconds. The controller dissolves a group with a lost member sooner than this.
	withdrawalSilence = time.Second
	// avoidanceSilence is the silence after which a server gets no new requests if
	// others can take them.
	avoidanceSilence = 300 * time.Millisecond
	// lateWaitShare is the share of the time to the deadline that a request may be
	// queued once it can no longer be in time.
	lateWaitShare = 0.25
)

// The urgency at the engine ranges from 0 to 9.
const (
	urgencyPerRank = 2
	maxUrgency     = 9
	lateUrgency    = 1
)

// admissionState holds the replicas, the requests in flight and the queue.
type admissionState struct {
	replicas         map[fuchsiapitch.ServerID]*replica
	assignments      map[Ticket]*assignment
	queue            []*queuedRequest
	slotTimes        map[poolKey]time.Duration
	firstByteDelays  map[poolKey]time.Duration
	suspectedLocally map[fuchsiapitch.ServerID]bool
}

// poolKey identifies the replicas that serve the same requests.
type poolKey struct {
	service fuchsiapitch.ServiceName
	model   string
}

// assignment is a request that has been granted a slot.
type assignment struct {
	replica      *replica
	pool         poolKey
	promptTokens int
	grantedAt    time.Duration
	hasStarted   bool
	withdrawn    bool
}

// queuedRequest is a request that has not been granted a slot.
type queuedRequest struct {
	RequestArrived
	pool      poolKey
	arrivedAt time.Duration
	// isLate states that the request can no longer be in time.
	isLate bool
}

func newAdmissionState() admissionState {
	return admissionState{
		replicas: make(map[fuchsiapitch.ServerID]*replica), assignments: make(map[Ticket]*assignment),
		slotTimes: make(map[poolKey]time.Duration), firstByteDelays: make(map[poolKey]time.Duration), suspectedLocally: make(map[fuchsiapitch.ServerID]bool),
	}
}

// admit grants a request a slot, queues it or refuses it. If no replica serves it, a
// new request is refused at once. A resumed stream is queued, because a refusal would
// break an answer that its caller has begun to receive.
func (c *Coordinator) admit(now time.Duration, e RequestArrived) {
	w := &queuedRequest{RequestArrived: e, pool: poolKey{e.Service, e.Model}, arrivedAt: now}
	w.isLate = c.cannotBeInTime(now, w)
	c.demoteLate(now)
	if !c.chargeRetryBudget(now, e) {
		c.refuse(w, NoBudget, minRetryAfter)
		return
	}
	if !c.hasPredecessor(w) {
		if r := c.chooseReplica(now, w); r != nil {
			c.grant(now, w, r)
			return
		}
	}
	expected, servable := c.expectedWait(now, w)
	switch {
	case !servable && !w.Resumed:
		c.refuse(w, NoReplica, expected)
		return
	case servable && now+expected > c.waitLimit(now, w) && !w.isLate:
		// The request is queued behind those that can be in time.
		w.isLate = true
		expected, _ = c.expectedWait(now, w)
	}
	if servable && now+expected > c.waitLimit(now, w) {
		c.refuse(w, Overloaded, expected)
		return
	}
	c.queue = append(c.queue, w)
	slices.SortStableFunc(c.queue, compareQueued)
	c.dispatchQueue(now)
}

// compareQueued orders the queue: by rank, then requests that can be in time, then
// requests that returned after a refusal, then by arrival.
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

// waitLimit returns the time until which a request may be queued: while it can be in
// time, or for lateWaitShare of the time to its deadline.
func (c *Coordinator) waitLimit(now time.Duration, w *queuedRequest) time.Duration {
	inTimeLimit := w.FirstByteBy - c.timeToFirstByte(w)
	lateLimit := now + time.Duration(float64(w.Deadline-now)*lateWaitShare)
	if w.ReturnedAfterRefusal || w.Resumed || w.isLate {
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
		if r.serves(w.pool) && r.readTokensPerSecond > 0 {
			return r.timeToRead(w.InputTokens) + c.firstByteDelay(w.pool)
		}
	}
	return c.slotTime(w.pool) / 2
}

// firstByteDelay returns the mean time from a grant to the first byte, without the time
// to read the prompt.
func (c *Coordinator) firstByteDelay(p poolKey) time.Duration {
	if f, ok := c.firstByteDelays[p]; ok {
		return f
	}
	return initialFirstByteDelay
}

// hasPredecessor reports whether a request for the same replicas is ahead in the queue.
func (c *Coordinator) hasPredecessor(w *queuedRequest) bool {
	for _, o := range c.queue {
		if o.pool == w.pool && compareQueued(o, w) <= 0 {
			return true
		}
	}
	return false
}

// slotTime returns the mean time for which a request occupies a slot.
func (c *Coordinator) slotTime(p poolKey) time.Duration {
	if h, ok := c.slotTimes[p]; ok {
		return h
	}
	if p.model == "" {
		return initialPlainSlotTime
	}
	return initialEngineSlotTime
}

// expectedWait returns the time after which a slot is likely to be free, and whether
// any replica serves the request.
func (c *Coordinator) expectedWait(now time.Duration, w *queuedRequest) (time.Duration, bool) {
	slots, running, ahead := 0, 0, 0
	nextAvailable := time.Duration(math.MaxInt64)
	for _, r := range c.replicas {
		switch {
		case !r.serves(w.pool):
		case now < r.unavailableUntil:
			nextAvailable = min(nextAvailable, r.unavailableUntil-now)
		default:
			slots += r.slots
			running += r.totalInFlight()
		}
	}
	switch {
	case slots == 0 && nextAvailable <= backOffDuration:
		return nextAvailable, true
	case slots == 0:
		return c.timeToRepair(w), false
	}
	for _, o := range c.queue {
		if o.pool == w.pool && compareQueued(o, w) <= 0 {
			ahead++
		}
	}
	for _, p := range c.peers {
		if !p.isLive(now) {
			continue
		}
		for _, q := range p.heartbeat.Queues {
			if q.Service == w.pool.service && q.Model == w.pool.model {
				ahead += q.Waiting
			}
		}
	}
	backlog := max(0, running-slots) + ahead + 1
	return time.Duration(float64(c.slotTime(w.pool)) * float64(backlog) / float64(slots)), true
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

func (c *Coordinator) serviceProfile(name fuchsiapitch.ServiceName) (fuchsiapitch.ServiceProfile, bool) {
	if c.routes == nil {
		return fuchsiapitch.ServiceProfile{}, false
	}
	return c.routes.Service(name)
}

// chooseReplica returns the replica with the lowest cost, or nil if none has a free
// slot.
func (c *Coordinator) chooseReplica(now time.Duration, w *queuedRequest) *replica {
	var best *replica
	var bestCost float64
	for _, id := range sortedKeys(c.replicas) {
		r := c.replicas[id]
		if !r.serves(w.pool) || now < r.unavailableUntil || r.isHalfOpen() || r.totalInFlight() >= r.slots+c.queueDepth(r) || !r.fitsPauseLimit(w.InputTokens, w.MaxPause) {
			continue
		}
		cost := c.costMS(now, r, w.InputTokens)
		if slices.Contains(w.FailedServers, id) {
			cost += failedServerCostMS
		}
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// failedServerCostMS makes a request prefer any other server over one that it has
// failed at.
const failedServerCostMS = 10000

// queueDepth returns how many requests a replica is sent beyond its slots.
func (c *Coordinator) queueDepth(r *replica) int {
	if r.model == "" {
		return 0
	}
	return engineQueueDepth
}

// costMS returns the expected time to the first byte plus penalties, in milliseconds.
func (c *Coordinator) costMS(now time.Duration, r *replica, prompt int) float64 {
	const (
		fullBatchMS = 60.0 // time of a pass with a full batch
		remoteMS    = 2.0  // latency to another data centre
		avoidanceMS = 2000 // exceeds any real wait
	)
	cost := float64(r.timeToReadWith(prompt).Milliseconds()) + fullBatchMS*float64(r.totalInFlight())/float64(max(r.slots, 1))
	if !r.inSameDataCentre {
		cost += remoteMS
	}
	if now < r.avoidedUntil || r.silentFor(now) > avoidanceSilence {
		cost += avoidanceMS
	}
	return cost
}

// grant assigns a slot of a replica to a request.
func (c *Coordinator) grant(now time.Duration, w *queuedRequest, r *replica) {
	p := &assignment{replica: r, pool: w.pool, promptTokens: w.InputTokens, grantedAt: now}
	c.assignments[w.Ticket] = p
	if r.inFlight == 0 {
		r.busySince = now
	}
	r.inFlight++
	r.unreadTokens += w.InputTokens
	if r.readTokensPerSecond > 0 {
		c.unannouncedTokens += w.InputTokens
	}
	r.lastSentAt = now
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
	c.emit(Refuse{Ticket: w.Ticket, Reason: reason, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)})
}

// dispatchQueue grants free slots to queued requests and refuses those that have been
// queued for too long.
func (c *Coordinator) dispatchQueue(now time.Duration) {
	c.demoteLate(now)
	remaining := c.queue[:0]
	full := make(map[poolKey]bool)
	for _, w := range c.queue {
		if now > c.waitLimit(w.arrivedAt, w) {
			expected, _ := c.expectedWait(now, w)
			c.refuse(w, Overloaded, expected)
			continue
		}
		if !full[w.pool] {
			if r := c.chooseReplica(now, w); r != nil {
				c.grant(now, w, r)
				continue
			}
			full[w.pool] = true
		}
		remaining = append(remaining, w)
	}
	clear(c.queue[len(remaining):])
	c.queue = remaining
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

// markAnswerStarted records that the answer has started, so that the prompt has been
// read.
func (c *Coordinator) markAnswerStarted(now time.Duration, t Ticket) {
	p, ok := c.assignments[t]
	if !ok || p.hasStarted {
		return
	}
	p.hasStarted = true
	p.replica.unreachableBackOff = 0
	sample := now - p.grantedAt - p.replica.timeToRead(p.promptTokens)
	c.firstByteDelays[p.pool] = time.Duration((1-firstByteDelayWeight)*float64(c.firstByteDelay(p.pool)) + firstByteDelayWeight*float64(max(0, sample)))
	p.replica.unreadTokens -= p.promptTokens
	if p.replica.readTokensPerSecond > 0 {
		c.unannouncedTokens += p.promptTokens
	}
	p.replica.lastByteAt = max(p.replica.lastByteAt, now)
}

// releaseTicket frees the slot of a request, or removes the request from the queue.
func (c *Coordinator) releaseTicket(now time.Duration, e TicketReleased) {
	if e.FaultyServer != "" {
		c.suspectedUntil[e.FaultyServer] = now + suspicionDuration
		c.suspectedLocally[e.FaultyServer] = true
	}
	p, ok := c.assignments[e.Ticket]
	if !ok {
		c.queue = slices.DeleteFunc(c.queue, func(w *queuedRequest) bool { return w.Ticket == e.Ticket })
		return
	}
	delete(c.assignments, e.Ticket)
	r := p.replica
	r.inFlight--
	if !p.hasStarted {
		r.unreadTokens -= p.promptTokens
	}
	switch {
	case e.Unreachable:
		r.unreachableBackOff = min(max(2*r.unreachableBackOff, minUnreachableBackOff), maxUnreachableBackOff)
		r.unavailableUntil = now + r.unreachableBackOff
	case e.Failed:
		r.avoidedUntil = now + backOffDuration
		r.consecutiveFailures++
		if e.Misdirected || r.consecutiveFailures >= maxConsecutiveFailures {
			// Otherwise the server, which always has free slots, would get every queued
			// request.
			r.unavailableUntil = now + backOffDuration
		}
	default:
		r.unreachableBackOff, r.consecutiveFailures = 0, 0
		occupied := now - p.grantedAt
		c.slotTimes[p.pool] = time.Duration((1-slotTimeWeight)*float64(c.slotTime(p.pool)) + slotTimeWeight*float64(occupied))
	}
	if r.inFlight == 0 && !r.open {
		delete(c.replicas, r.server)
	}
	c.dispatchQueue(now)
}

// queueLengths returns the number of requests queued at this host by service and model.
func (c *Coordinator) queueLengths() []Queue {
	counts := make(map[poolKey]int)
	for _, w := range c.queue {
		counts[w.pool]++
	}
	var queues []Queue
	for p, n := range counts {
		queues = append(queues, Queue{Service: p.service, Model: p.model, Waiting: n})
	}
	return queues
}
