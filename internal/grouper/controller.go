package grouper

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// renewPeriod is the time between two renewals of the lease.
	renewPeriod = time.Second
	// planPeriod is the time between two planning steps.
	planPeriod = 200 * time.Millisecond
	// orderRetryTime is the time after which an order without effect is given
	// again.
	orderRetryTime = 1500 * time.Millisecond
	// readBackChunk is the number of probes that a read-back adds per tick.
	readBackChunk = 100
	// checkpointPeriod is the time between two checkpoints in the stream.
	checkpointPeriod = 5 * time.Minute
	// evictTime is the time after which an elector that is not live is evicted.
	evictTime = 30 * time.Second
	// loadLimit is the largest number of servers that load weights at once.
	loadLimit = 64
	// queueLimit is the largest number of records that wait for the log.
	queueLimit = 256
)

// tenure is the state of a controller within its term.
type tenure struct {
	term       fuchsiapitch.Term
	lease      Lease
	sequence   uint64
	queue      []*writing
	stage      stage
	takeover   time.Duration
	began      time.Duration
	since      time.Duration
	renewed    time.Duration
	planned    time.Duration
	orders     map[fuchsiapitch.ServerID]outstanding
	given      map[fuchsiapitch.ServerID]fuchsiapitch.Fence
	promises   map[fuchsiapitch.HostID]kept
	asked      time.Duration
	sent       map[uint64]fuchsiapitch.Instant
	absent     map[fuchsiapitch.HostID]time.Duration
	drained    map[fuchsiapitch.GroupID]time.Duration
	checked    map[fuchsiapitch.GroupID]check
	lost       map[fuchsiapitch.GroupID]time.Duration
	formed     map[fuchsiapitch.GroupID]fuchsiapitch.Fence
	first      bool
	checkpoint *writing
	saved      time.Duration
	groups     uint64
}

// newTenure returns the state of a controller that has just read its claim.
func newTenure(term fuchsiapitch.Term, lease Lease, takeover time.Duration) *tenure {
	return &tenure{
		term: term, lease: lease, takeover: takeover, began: lease.from.Monotonic(),
		renewed:  lease.from.Monotonic(),
		saved:    lease.from.Monotonic(),
		orders:   make(map[fuchsiapitch.ServerID]outstanding),
		given:    make(map[fuchsiapitch.ServerID]fuchsiapitch.Fence),
		promises: make(map[fuchsiapitch.HostID]kept),
		sent:     make(map[uint64]fuchsiapitch.Instant),
		absent:   make(map[fuchsiapitch.HostID]time.Duration),
		drained:  make(map[fuchsiapitch.GroupID]time.Duration),
		checked:  make(map[fuchsiapitch.GroupID]check),
		lost:     make(map[fuchsiapitch.GroupID]time.Duration),
		formed:   make(map[fuchsiapitch.GroupID]fuchsiapitch.Fence),
	}
}

// confirm takes in a valid record of the stream: one of the controller's own
// leaves the queue and renews the lease, and a release ends it.
func (g *Grouper) confirm(_ fuchsiapitch.Instant, r Record) {
	t := g.tenure
	if t != nil && g.fold.Released() {
		g.tenure = nil
		return
	}
	if t == nil || r.Kind != Renewal || r.Term != t.term || len(t.queue) == 0 || t.queue[0].record.Sequence != r.Sequence {
		return
	}
	t.lease = NewLease(t.queue[0].first, LeaseTime)
	t.queue = t.queue[1:]
}

// enqueue numbers a record of the controller and queues it for the stream.
func (g *Grouper) enqueue(now fuchsiapitch.Instant, kind RecordKind, changes []Change) {
	t := g.tenure
	if len(t.queue) >= queueLimit {
		return
	}
	t.sequence++
	r := g.newRecord(kind, t.term)
	r.Sequence, r.Changes = t.sequence, changes
	t.queue = append(t.queue, &writing{record: r})
	t.renewed = now.Monotonic()
	g.refreshView()
	if t.asks(now) {
		g.actions.Tell = true
	}
}

// control acts as the controller, if this host is.
func (g *Grouper) control(now fuchsiapitch.Instant) {
	t := g.tenure
	if t == nil || !g.fold.Known() {
		return
	}
	if g.stopping {
		g.resign(now)
	}
	if len(t.queue) == 0 && now.Monotonic()-t.renewed >= renewPeriod && !g.stopping {
		g.enqueue(now, Renewal, nil)
	}
	if t.asks(now) && now.Monotonic()-t.asked >= promiseAskPeriod {
		t.asked, g.actions.Tell = now.Monotonic(), true
	}
	expiry, allowed := t.permission(now, g.fold, g.self)
	if allowed && !g.stopping {
		g.advance(now)
	}
	if allowed && t.stage == acting && !g.stopping {
		g.plan(now)
		g.giveOrders(now, expiry)
	}
	if len(t.queue) > 0 {
		t.queue[0].start(now, &g.actions)
	}
	g.keepCheckpoint(now)
}

// resign releases the lease once no order is on its way.
func (g *Grouper) resign(now fuchsiapitch.Instant) {
	t := g.tenure
	if len(t.queue) > 0 {
		return
	}
	for _, o := range t.orders {
		if now.Monotonic()-o.since < lateOrderTime {
			return
		}
	}
	g.enqueue(now, Release, nil)
}

// keepCheckpoint repeats the whole state in the stream before its records expire.
func (g *Grouper) keepCheckpoint(now fuchsiapitch.Instant) {
	t := g.tenure
	if t.checkpoint == nil && now.Monotonic()-t.saved < checkpointPeriod {
		return
	}
	if t.checkpoint == nil {
		t.checkpoint = &writing{record: g.newRecord(Checkpoint, t.term)}
		s := g.fold.Snapshot()
		t.checkpoint.record.State = &s
		t.saved = now.Monotonic()
	}
	if t.checkpoint.first != (fuchsiapitch.Instant{}) && !t.checkpoint.pending {
		t.checkpoint = nil
		return
	}
	t.checkpoint.start(now, &g.actions)
}

// evictions returns the electors that were not live for long. Their promises
// are then no longer needed.
func (g *Grouper) evictions(now time.Duration) []Change {
	t := g.tenure
	live := make(map[fuchsiapitch.HostID]bool, len(g.hosts))
	for _, h := range g.hosts {
		live[h.ID()] = true
	}
	var list []Change
	for _, e := range g.view.Electors() {
		if e.Host == g.self || live[e.Host] {
			delete(t.absent, e.Host)
			continue
		}
		if _, ok := t.absent[e.Host]; !ok {
			t.absent[e.Host] = now
		}
		if now-t.absent[e.Host] >= evictTime {
			list = append(list, Change{Kind: Evict, Host: e.Host})
		}
	}
	for _, h := range slices.Sorted(maps.Keys(t.absent)) {
		if _, ok := g.view.Elector(h); !ok {
			delete(t.absent, h)
		}
	}
	return list
}
