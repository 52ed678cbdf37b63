package conductor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// queueBeyond is the number of requests beyond its slots that an engine is
	// given, so that a place that is freed is filled at once.
	queueBeyond = 2
	// holdWeight is the weight of a new observation in the mean time for which a
	// place is held.
	holdWeight = 0.05
	// firstHold is the mean time for which a place is held before any was seen:
	// a stream of 30 events takes between one and two seconds.
	firstHold = 1500 * time.Millisecond
	// firstPlainHold is that of a plain service.
	firstPlainHold = 40 * time.Millisecond
	// firstEvent is the time from a place to the first event, less that of reading
	// the prompt, before any was seen: one pass of six steps with a full batch.
	firstEvent = 60 * time.Millisecond
	// firstWeight is the weight of a new observation in its mean.
	firstWeight = 0.05
	// leastRetry and mostRetry bound the time after which a refused caller is
	// asked to come back.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 2 * time.Second
	// backOffTime is how long a server that refused a request is avoided.
	backOffTime = 300 * time.Millisecond
	// mostFailures is the number of failures in a row after which it gets no requests
	// for that time: a server that fails four in ten has as many once in forty.
	mostFailures = 4
	// firstUnreached and lastUnreached bound the time for which a server that
	// cannot be connected to gets no requests. It doubles with each failure.
	firstUnreached = 500 * time.Millisecond
	lastUnreached  = 4 * time.Second
	// cutSilence is the silence of a server towards this host after which its
	// requests go on elsewhere. Callers give a stream up after two seconds; the
	// leader takes a group with a lost member apart sooner.
	cutSilence = time.Second
	// suspectSilence is the silence after which a server gets no new requests
	// while others can take them.
	suspectSilence = 300 * time.Millisecond
	// lateShare is the part of the time to the deadline that a request which
	// cannot be in time may wait.
	lateShare = 0.25
)

// Urgencies at the engine, from 0 to 9.
const (
	urgencyPerRank = 2
	urgencyMost    = 9
	urgencyLate    = 1
)

// admission is what is known of the places and of the requests that want one.
type admission struct {
	stations      map[fuchsiapitch.ServerID]*station
	places        map[Ticket]*place
	waiting       []*wait
	holds         map[pool]time.Duration
	firsts        map[pool]time.Duration
	suspectedHere map[fuchsiapitch.ServerID]bool
}

// pool names what serves the same requests.
type pool struct {
	service fuchsiapitch.ServiceName
	model   string
}

// place is a request at a server.
type place struct {
	station   *station
	pool      pool
	unread    int
	since     time.Duration
	began     bool
	withdrawn bool
}

// wait is a request that has no place yet.
type wait struct {
	Arrived
	pool  pool
	since time.Duration
	// late states that it cannot be in time any more.
	late bool
}

func newAdmission() admission {
	return admission{
		stations: make(map[fuchsiapitch.ServerID]*station), places: make(map[Ticket]*place),
		holds: make(map[pool]time.Duration), firsts: make(map[pool]time.Duration), suspectedHere: make(map[fuchsiapitch.ServerID]bool),
	}
}

// arrive gives a request a place, a turn in the queue, or a refusal. Where nothing
// serves, a new request is refused at once; a stream that has begun waits, since
// to its caller a refusal is a broken answer.
func (c *Conductor) arrive(now time.Duration, e Arrived) {
	w := &wait{Arrived: e, pool: pool{e.Service, e.Model}, since: now}
	w.late = c.isLate(now, w)
	c.demote(now)
	if !c.spend(now, e) {
		c.refuse(w, NoBudget, leastRetry)
		return
	}
	if !c.hasAhead(w) {
		if s := c.choose(now, w); s != nil {
			c.grant(now, w, s)
			return
		}
	}
	expected, servable := c.expectedWait(now, w)
	switch {
	case !servable && !w.Resumed:
		c.refuse(w, NoReplica, expected)
		return
	case servable && now+expected > c.patience(now, w) && !w.late:
		// It waits behind those that can be in time.
		w.late = true
		expected, _ = c.expectedWait(now, w)
	}
	if servable && now+expected > c.patience(now, w) {
		c.refuse(w, Overloaded, expected)
		return
	}
	c.waiting = append(c.waiting, w)
	slices.SortStableFunc(c.waiting, compareWaits)
	c.serveQueue(now)
}

// compareWaits orders the queue: by rank, those that can be in time before those
// that cannot, those that came back before the new, then by arrival.
func compareWaits(a, b *wait) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank), compareFlags(b.late, a.late), compareFlags(a.Returned, b.Returned), cmp.Compare(a.since, b.since))
}

// compareFlags puts what is set first.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// patience returns until when a request may wait for a place: as long as it can
// be in time, or a part of the time to its deadline.
func (c *Conductor) patience(now time.Duration, w *wait) time.Duration {
	inTime := w.InTime - c.firstTime(w)
	late := now + time.Duration(float64(w.Deadline-now)*lateShare)
	if w.Returned || w.Resumed || w.late {
		return max(inTime, late)
	}
	return inTime
}

// isLate reports whether a request cannot be in time if it gets a place now.
func (c *Conductor) isLate(now time.Duration, w *wait) bool {
	return w.InTime-c.firstTime(w) <= now
}

// firstTime returns the usual time from a place to the first byte.
func (c *Conductor) firstTime(w *wait) time.Duration {
	for _, s := range c.stations {
		if s.serves(w.pool) && s.readPerSecond > 0 {
			return s.ownReadTime(w.Prompt) + c.first(w.pool)
		}
	}
	return c.hold(w.pool) / 2
}

// first returns the mean time from a place to the first byte, less that of reading
// the prompt.
func (c *Conductor) first(p pool) time.Duration {
	if f, ok := c.firsts[p]; ok {
		return f
	}
	return firstEvent
}

// hasAhead reports whether others wait for the same places and come first.
func (c *Conductor) hasAhead(w *wait) bool {
	for _, o := range c.waiting {
		if o.pool == w.pool && compareWaits(o, w) <= 0 {
			return true
		}
	}
	return false
}

// hold returns the mean time for which a place is held.
func (c *Conductor) hold(p pool) time.Duration {
	if h, ok := c.holds[p]; ok {
		return h
	}
	if p.model == "" {
		return firstPlainHold
	}
	return firstHold
}

// expectedWait returns the time until a place is likely, and whether anything
// serves the request at all.
func (c *Conductor) expectedWait(now time.Duration, w *wait) (time.Duration, bool) {
	slots, running, ahead := 0, 0, 0
	back := time.Duration(math.MaxInt64)
	for _, s := range c.stations {
		switch {
		case !s.serves(w.pool):
		case now < s.shunned:
			back = min(back, s.shunned-now)
		default:
			slots += s.slots
			running += s.load()
		}
	}
	switch {
	case slots == 0 && back <= backOffTime:
		return back, true
	case slots == 0:
		return c.repairTime(w), false
	}
	for _, o := range c.waiting {
		if o.pool == w.pool && compareWaits(o, w) <= 0 {
			ahead++
		}
	}
	for _, p := range c.peers {
		if !p.isLive(now) {
			continue
		}
		for _, q := range p.beat.Queues {
			if q.Service == w.pool.service && q.Model == w.pool.model {
				ahead += q.Waiting
			}
		}
	}
	over := max(0, running-slots) + ahead + 1
	return time.Duration(float64(c.hold(w.pool)) * float64(over) / float64(slots)), true
}

// repairTime returns the time until a group is likely where none serves.
func (c *Conductor) repairTime(w *wait) time.Duration {
	p, ok := c.profile(w.Service)
	if !ok || p.Engine == nil {
		return leastRetry
	}
	m, _ := p.Engine.Model(w.Model)
	return m.Warm + p.Engine.Form
}

func (c *Conductor) profile(name fuchsiapitch.ServiceName) (fuchsiapitch.ServiceProfile, bool) {
	if c.table == nil {
		return fuchsiapitch.ServiceProfile{}, false
	}
	return c.table.Service(name)
}

// choose returns the station with the least expected time to the first byte, or
// nil if none has a place.
func (c *Conductor) choose(now time.Duration, w *wait) *station {
	var best *station
	var bestCost float64
	for _, id := range sortedKeys(c.stations) {
		s := c.stations[id]
		if !s.serves(w.pool) || now < s.shunned || s.isOnTrial() || s.load() >= s.slots+c.beyond(s) || !s.mayRead(w.Prompt, w.Pause) {
			continue
		}
		cost := c.cost(now, s, w.Prompt)
		if slices.Contains(w.Avoid, id) {
			cost += avoidCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// avoidCost, in milliseconds, has a request that a server has failed go to any
// other one first.
const avoidCost = 10000

// beyond returns how many requests a station is given beyond its slots.
func (c *Conductor) beyond(s *station) int {
	if s.model == "" {
		return 0
	}
	return queueBeyond
}

// cost returns the expected time to the first byte in milliseconds, with what
// speaks against a station on top.
func (c *Conductor) cost(now time.Duration, s *station, prompt int) float64 {
	const (
		fullBatch = 60.0 // ms, the time of a pass with a full batch
		far       = 2.0  // ms, the way to another data centre
		avoided   = 2000 // ms, more than any honest wait
	)
	cost := float64(s.readTime(prompt).Milliseconds()) + fullBatch*float64(s.load())/float64(max(s.slots, 1))
	if !s.near {
		cost += far
	}
	if now < s.backOff || s.silence(now) > suspectSilence {
		cost += avoided
	}
	return cost
}

// grant gives a station's place to a request.
func (c *Conductor) grant(now time.Duration, w *wait, s *station) {
	p := &place{station: s, pool: w.pool, unread: w.Prompt, since: now}
	c.places[w.Ticket] = p
	if s.running == 0 {
		s.firstDue = now
	}
	s.running++
	s.unread += w.Prompt
	if s.readPerSecond > 0 {
		c.news += w.Prompt
	}
	s.lastSent = now
	c.emit(Grant{Ticket: w.Ticket, Server: s.server, Address: s.address, Urgency: c.urgency(now, w), Engine: s.model != ""})
}

// urgency returns the urgency of a request at the engine.
func (c *Conductor) urgency(now time.Duration, w *wait) int {
	u := w.Rank * urgencyPerRank
	if now > w.InTime {
		u += urgencyLate
	}
	return min(u, urgencyMost)
}

func (c *Conductor) refuse(w *wait, reason Reason, after time.Duration) {
	c.emit(Refuse{Ticket: w.Ticket, Reason: reason, RetryAfter: min(max(after, leastRetry), mostRetry)})
}

// serveQueue gives free places to those that wait, and refuses those whose time
// is over.
func (c *Conductor) serveQueue(now time.Duration) {
	c.demote(now)
	kept := c.waiting[:0]
	full := make(map[pool]bool)
	for _, w := range c.waiting {
		if now > c.patience(w.since, w) {
			expected, _ := c.expectedWait(now, w)
			c.refuse(w, Overloaded, expected)
			continue
		}
		if !full[w.pool] {
			if s := c.choose(now, w); s != nil {
				c.grant(now, w, s)
				continue
			}
			full[w.pool] = true
		}
		kept = append(kept, w)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// demote puts the requests that cannot be in time any more behind those that can.
func (c *Conductor) demote(now time.Duration) {
	changed := false
	for _, w := range c.waiting {
		if !w.late && c.isLate(now, w) {
			w.late, changed = true, true
		}
	}
	if changed {
		slices.SortStableFunc(c.waiting, compareWaits)
	}
}

// begin notes that a prompt was read.
func (c *Conductor) begin(now time.Duration, t Ticket) {
	p, ok := c.places[t]
	if !ok || p.began {
		return
	}
	p.began = true
	p.station.unreached = 0
	seen := now - p.since - p.station.ownReadTime(p.unread)
	c.firsts[p.pool] = time.Duration((1-firstWeight)*float64(c.first(p.pool)) + firstWeight*float64(max(0, seen)))
	p.station.unread -= p.unread
	if p.station.readPerSecond > 0 {
		c.news += p.unread
	}
	p.station.lastByte = max(p.station.lastByte, now)
}

// finish frees a place, or ends a wait.
func (c *Conductor) finish(now time.Duration, e Ended) {
	if e.Fault != "" {
		c.suspects[e.Fault] = now + suspectTime
		c.suspectedHere[e.Fault] = true
	}
	p, ok := c.places[e.Ticket]
	if !ok {
		c.waiting = slices.DeleteFunc(c.waiting, func(w *wait) bool { return w.Ticket == e.Ticket })
		return
	}
	delete(c.places, e.Ticket)
	s := p.station
	s.running--
	if !p.began {
		s.unread -= p.unread
	}
	switch {
	case e.Unreached:
		s.unreached = min(max(2*s.unreached, firstUnreached), lastUnreached)
		s.shunned = now + s.unreached
	case e.Failed:
		s.backOff = now + backOffTime
		s.failures++
		if e.Misdirected || s.failures >= mostFailures {
			// A server with free places would be given all that wait.
			s.shunned = now + backOffTime
		}
	default:
		s.unreached, s.failures = 0, 0
		held := now - p.since
		c.holds[p.pool] = time.Duration((1-holdWeight)*float64(c.hold(p.pool)) + holdWeight*float64(held))
	}
	if s.running == 0 && !s.open {
		delete(c.stations, s.server)
	}
	c.serveQueue(now)
}

// queues returns what waits at this host.
func (c *Conductor) queues() []Queue {
	counts := make(map[pool]int)
	for _, w := range c.waiting {
		counts[w.pool]++
	}
	var queues []Queue
	for p, n := range counts {
		queues = append(queues, Queue{Service: p.service, Model: p.model, Waiting: n})
	}
	return queues
}
