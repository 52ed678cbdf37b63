package grouper

import (
	"fmt"
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

// stage is the progress of a takeover.
type stage int

const (
	// starting means that the claim has just been read.
	starting stage = iota
	// reading means that every server's account is read back.
	reading
	// waiting means that orders of the last controller may still take effect.
	waiting
	// rereading means that every account is read back once more, since a server
	// that ignores fencing numbers may have taken up a late order.
	rereading
	// acting means that the controller forms groups and gives orders.
	acting
)

// outstanding is an order without a report.
type outstanding struct {
	fence fuchsiapitch.Fence
	since time.Duration
}

// tenure is the state of a controller within its term.
type tenure struct {
	term       fuchsiapitch.Term
	lease      Lease
	sequence   uint64
	queue      []*writing
	stage      stage
	takeover   time.Duration
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
		term: term, lease: lease, takeover: takeover,
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
		if now.Monotonic()-o.since < OrderTime+clockMargin {
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

// advance follows the stages of a takeover. Every account is read back. Where
// engines ignore fencing numbers, the controller then waits until the orders of
// the last one have surely taken effect, and reads every account back again.
func (g *Grouper) advance(now fuchsiapitch.Instant) {
	t := g.tenure
	switch t.stage {
	case starting:
		g.startReading(now, reading)
	case reading:
		switch {
		case !g.readBack(t.since):
		case t.first || g.allFenced():
			t.stage = acting
		default:
			t.stage = waiting
		}
	case waiting:
		if now.Monotonic() >= t.takeover {
			g.startReading(now, rereading)
		}
	case rereading:
		if g.readBack(t.since) {
			t.stage = acting
		}
	case acting:
	}
}

func (g *Grouper) startReading(now fuchsiapitch.Instant, next stage) {
	g.tenure.stage, g.tenure.since = next, now.Monotonic()
	for _, id := range g.engines {
		g.health.Suspect(id)
	}
}

func (g *Grouper) readBack(since time.Duration) bool {
	if !g.listed {
		return false
	}
	for _, id := range g.engines {
		if !g.health.Answered(id, since) {
			return false
		}
	}
	return true
}

// allFenced reports whether every engine checks fencing numbers.
func (g *Grouper) allFenced() bool {
	for _, s := range g.configuration.Services() {
		if s.Kind() == fuchsiapitch.ModelService && !s.Fenced() {
			return false
		}
	}
	return true
}

// giveOrders orders every member that does not report the assignment of its
// group. An assignment is in the stream before it is ordered, unless the log is
// away and the electors' promises stand in for the lease. An assignment that a
// later one on its way into the stream replaces is not ordered.
func (g *Grouper) giveOrders(now fuchsiapitch.Instant, expiry fuchsiapitch.Instant) {
	t := g.tenure
	source := g.fold
	if !t.lease.Holds(now) {
		source = g.view
	}
	for id, o := range t.orders {
		if now.Monotonic()-o.since >= orderRetryTime {
			delete(t.orders, id)
		}
	}
	loading := g.loading(source)
	for _, group := range g.byUrgency(source.Groups()) {
		newest, ok := g.view.Group(group.ID)
		if group.Fence.Term() != t.term || !ok || newest.Fence != group.Fence || !g.needsOrders(group) {
			continue
		}
		if cold := g.coldMembers(group); cold > 0 {
			if loading > 0 && loading+cold > loadLimit {
				continue
			}
			loading += cold
		}
		g.orderGroup(now, group, expiry)
	}
}

func (g *Grouper) orderGroup(now fuchsiapitch.Instant, group Group, expiry fuchsiapitch.Instant) {
	t := g.tenure
	for _, m := range group.Members {
		k, listed := g.servers[m]
		a, reported := g.health.Account(m)
		if _, busy := t.orders[m]; busy || !listed || !reported || g.health.Silent(m) || group.Matches(a) {
			continue
		}
		g.checkOrder(now, m, group.Fence)
		t.orders[m] = outstanding{fence: group.Fence, since: now.Monotonic()}
		t.given[m] = group.Fence
		g.counters.Orders++
		order := fuchsiapitch.NewOrder(group.Fence, group.Assignment())
		g.actions.Orders = append(g.actions.Orders, Give{Server: k.server, Order: order, Expiry: expiry})
	}
}

// checkOrder asserts that an order is given under a lease or promises and that
// fencing numbers never go back.
func (g *Grouper) checkOrder(now fuchsiapitch.Instant, server fuchsiapitch.ServerID, fence fuchsiapitch.Fence) {
	t := g.tenure
	if _, ok := t.permission(now, g.fold, g.self); !ok || !g.holds() {
		g.breach("order-under-lease", fmt.Sprintf("order to %s in term %d without a lease", server, t.term))
	}
	if fence.Term() != t.term || fence.Less(t.given[server]) {
		g.breach("fence-never-back", fmt.Sprintf("order to %s with %d.%d", server, fence.Term(), fence.Sequence()))
	}
}

func (g *Grouper) needsOrders(group Group) bool {
	return slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool {
		a, ok := g.health.Account(m)
		return ok && !group.Matches(a)
	})
}

// loading returns the number of servers that load weights now.
func (g *Grouper) loading(source *Fold) int {
	count := 0
	for _, group := range source.Groups() {
		for _, m := range group.Members {
			a, ok := g.health.Account(m)
			if ok && group.Matches(a) && !a.Ready() && !g.health.Silent(m) {
				count++
			}
		}
	}
	return count
}

// coldMembers returns the number of members that have to load weights.
func (g *Grouper) coldMembers(group Group) int {
	cold := 0
	for _, m := range group.Members {
		a, _ := g.health.Account(m)
		if !group.Matches(a) && (a.Assignment().Model() != group.Model || a.Assignment().Version() != group.Version) {
			cold++
		}
	}
	return cold
}

// byUrgency sorts groups by the urgency of their service's rank, then by worth.
func (g *Grouper) byUrgency(groups []Group) []Group {
	order := func(group Group) (int, float64) {
		s, _ := g.configuration.Service(group.Service)
		r, _ := g.configuration.Rank(s.Rank())
		return r.Order(), s.Worth()
	}
	groups = slices.Clone(groups)
	slices.SortStableFunc(groups, func(a, b Group) int {
		ra, wa := order(a)
		rb, wb := order(b)
		switch {
		case ra != rb:
			return ra - rb
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return groups
}

// OrderEnded takes in the end of an order. The account in the answer tells the
// server's state; without one the server is probed.
func (g *Grouper) OrderEnded(now fuchsiapitch.Instant, server fuchsiapitch.ServerID, fence fuchsiapitch.Fence, account *fuchsiapitch.Account) {
	if account != nil {
		g.health.Report(now.Monotonic(), *account)
	} else {
		g.Suspect([]fuchsiapitch.ServerID{server})
	}
	if g.tenure == nil {
		return
	}
	if o, ok := g.tenure.orders[server]; ok && o.fence == fence && account != nil {
		delete(g.tenure.orders, server)
	}
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
