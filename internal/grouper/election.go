package grouper

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// claimStagger is the time by which each further live host delays its claim.
	claimStagger = 100 * time.Millisecond
	// appendRetryTime is the time after which a record is appended again when
	// the stream does not show it.
	appendRetryTime = time.Second
	// appendLostTime is the time after which an append without any report is
	// taken as lost.
	appendLostTime = 10 * time.Second
)

// bootstrapTime is the time without any checkpoint after which a host starts
// from an empty state.
const bootstrapTime = 2*checkpointPeriod + time.Minute

// writing is one record on its way into the stream.
type writing struct {
	record  Record
	first   fuchsiapitch.Instant
	pending bool
	retry   time.Duration
}

// start sends the record when it is not on its way already.
func (w *writing) start(now fuchsiapitch.Instant, a *Actions) {
	if now.Monotonic() < w.retry {
		return
	}
	if w.first == (fuchsiapitch.Instant{}) {
		w.first = now
	}
	w.pending, w.retry = true, now.Monotonic()+appendLostTime
	a.Appends = append(a.Appends, w.record)
}

// end takes in the report of the append. The stream itself tells whether the
// record is in it, so the record is only appended again after a while.
func (w *writing) end(now fuchsiapitch.Instant) {
	w.pending, w.retry = false, now.Monotonic()+appendRetryTime
}

// candidate is this host's part in electing the controller.
type candidate struct {
	follows  bool
	readable bool
	// read is when the last valid record of the current holder was read.
	read fuchsiapitch.Instant
	// lost is when the state of the stream was last known.
	lost    fuchsiapitch.Instant
	join    *writing
	claim   *writing
	counter uint64
	// claimed is the term that this host last tried to replace, valid when tried.
	claimed fuchsiapitch.Term
	tried   bool
}

func (g *Grouper) newRecord(kind RecordKind, term fuchsiapitch.Term) Record {
	g.candidate.counter++
	id := fmt.Sprintf("%s-%d-%d", g.self, g.incarnation, g.candidate.counter)
	return Record{
		ID: fuchsiapitch.RecordID(id), Kind: kind, Host: g.self, Incarnation: g.incarnation,
		Term: term, Read: g.fold.Next() - 1,
	}
}

// elect follows the stream, joins the electors and claims a lapsed lease.
func (g *Grouper) elect(now fuchsiapitch.Instant) {
	c := &g.candidate
	if !c.follows {
		c.follows, c.readable = true, true
		g.actions.Follow = g.fold.Next()
	}
	if !g.fold.Known() {
		g.bootstrap(now)
		return
	}
	c.lost = now
	if g.stopping {
		return
	}
	e, joined := g.fold.Elector(g.self)
	switch {
	case joined && e.Incarnation > g.incarnation:
		return
	case !joined || e.Incarnation < g.incarnation:
		if c.join == nil {
			c.join = &writing{record: g.newRecord(Join, 0)}
		}
		c.join.start(now, &g.actions)
		return
	}
	c.join = nil
	if g.mayClaim(now, e) {
		if c.claim == nil {
			c.claim = &writing{record: g.newRecord(Claim, g.fold.Term())}
		}
		c.claimed, c.tried = g.fold.Term(), true
		c.claim.start(now, &g.actions)
	}
}

// bootstrap starts anew when the log keeps no checkpoint and no controller has
// written for long. Every reader takes up the empty state, and the next
// controller waits as if it were unknown to the last one.
func (g *Grouper) bootstrap(now fuchsiapitch.Instant) {
	c := &g.candidate
	if !c.readable || now.Sub(c.lost) < bootstrapTime {
		return
	}
	if c.join == nil {
		r := g.newRecord(Checkpoint, 0)
		r.State = &Snapshot{Offset: g.fold.Next() - 1}
		c.join = &writing{record: r}
	}
	c.join.start(now, &g.actions)
}

// mayClaim reports whether the lease of the current holder has surely lapsed
// and no promise of this host stands against a claim.
func (g *Grouper) mayClaim(now fuchsiapitch.Instant, self Elector) bool {
	if g.tenure != nil || !g.candidate.readable || !g.listed || now.Monotonic() < g.promised.until {
		return false
	}
	wait := g.wait(self)
	if g.isFirst() || g.fold.Released() {
		wait = 0
	}
	since := now.Sub(g.candidate.read)
	return since >= wait && since >= wait+g.stagger()
}

// wait returns the time after the last record of the holder in which it may
// still give orders without this host's knowledge. The holder asks every
// elector that it has read of for a promise before it gives orders without a
// lease, so an elector that it acknowledged need only wait for the lease. Of a
// host whose earlier incarnation it acknowledged it has no promise but those that
// this incarnation gave before it ended.
func (g *Grouper) wait(self Elector) time.Duration {
	switch {
	case g.fold.Restarted():
		return OutageLimit
	case g.fold.Acknowledged() >= self.Joined:
		return LeaseTime
	case self.Since > 0 && g.fold.Acknowledged() >= self.Since:
		return PromiseTime + clockMargin
	}
	return OutageLimit
}

// isFirst reports whether there has never been a controller.
func (g *Grouper) isFirst() bool { return g.fold.Term() == 0 && !g.fold.Restarted() }

// stagger spreads the claims of the live hosts over time.
func (g *Grouper) stagger() time.Duration {
	score := func(h fuchsiapitch.Host) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%d/%s", g.fold.Term(), h.ID()))
	}
	hosts := slices.SortedFunc(slices.Values(g.hosts), func(a, b fuchsiapitch.Host) int { return cmp.Compare(score(a), score(b)) })
	place := slices.IndexFunc(hosts, func(h fuchsiapitch.Host) bool { return h.ID() == g.self })
	return time.Duration(max(place, 0)) * claimStagger
}

// holds reports whether this process is the holder of the current term.
func (g *Grouper) holds() bool {
	h, incarnation := g.fold.Holder()
	return g.fold.Term() != 0 && !g.fold.Released() && h == g.self && incarnation == g.incarnation
}

// Read takes in records of the group stream.
func (g *Grouper) Read(now fuchsiapitch.Instant, entries []Entry, next fuchsiapitch.Offset) {
	g.candidate.readable = true
	for _, e := range entries {
		g.read(now, e)
	}
	if next > 0 {
		g.fold.Skip(next - 1)
	}
	if n := len(g.heard); n > 0 && (g.heard[0].Term != g.fold.Term() || g.heard[n-1].Sequence <= g.fold.Sequence()) {
		g.heard = nil
	}
	g.refreshView()
	g.assertPlaces()
}

func (g *Grouper) read(now fuchsiapitch.Instant, e Entry) {
	before, term, first := g.takeover(now), g.fold.Term(), g.isFirst()
	if !g.fold.Known() && (e.Record.Kind == Claim || e.Record.Kind == Renewal) {
		g.candidate.lost = now
	}
	if !g.fold.Apply(e) {
		return
	}
	if e.Record.Kind != Join {
		g.candidate.read = now
	}
	if g.fold.Term() != term {
		g.newTerm(e, before, first)
	}
	g.confirm(now, e.Record)
}

// takeover returns the earliest time at which the orders of the current holder
// have surely taken effect, should this host win the next record.
func (g *Grouper) takeover(now fuchsiapitch.Instant) time.Duration {
	if g.isFirst() {
		return now.Monotonic()
	}
	if g.fold.Released() {
		return g.candidate.read.Monotonic() + lateOrderTime
	}
	e, _ := g.fold.Elector(g.self)
	until := g.candidate.read.Monotonic() + g.wait(e) + lateOrderTime
	if g.promised.term == g.fold.Term() {
		until = max(until, g.promised.until+lateOrderTime)
	}
	return until
}

// newTerm follows a change of the controller.
func (g *Grouper) newTerm(e Entry, takeover time.Duration, first bool) {
	c := g.candidate.claim
	g.candidate.claim, g.candidate.tried, g.tenure = nil, false, nil
	if g.holds() && c != nil && c.record.ID == e.Record.ID {
		g.tenure = newTenure(g.fold.Term(), NewLease(c.first, LeaseTime), takeover)
		g.tenure.first = first
		g.counters.Terms++
	}
}

// ReadFailed takes in that the log did not answer a read.
func (g *Grouper) ReadFailed() { g.candidate.readable = false }

// Truncated takes in that the log no longer keeps the followed offset.
func (g *Grouper) Truncated(oldest fuchsiapitch.Offset) {
	if g.fold.Truncate(oldest) {
		g.tenure = nil
	}
	g.actions.Follow = g.fold.Next()
	g.refreshView()
}

// AppendEnded takes in the end of an append. Only reading the stream tells that
// a record is valid.
func (g *Grouper) AppendEnded(now fuchsiapitch.Instant, id fuchsiapitch.RecordID) {
	for _, w := range g.writings() {
		if w != nil && w.record.ID == id {
			w.end(now)
		}
	}
}

func (g *Grouper) writings() []*writing {
	list := []*writing{g.candidate.join, g.candidate.claim}
	if g.tenure != nil {
		list = append(list, g.tenure.checkpoint)
		list = append(list, g.tenure.queue...)
	}
	return list
}

// refreshView brings the view up to date: the state of the stream and the
// controller's own records that are not in it yet.
func (g *Grouper) refreshView() {
	g.view = g.fold
	records := g.heard
	if g.tenure != nil {
		records = g.tenure.queued()
	}
	if len(records) > 0 && g.fold.Known() {
		g.view = g.fold.With(records)
	}
}

// queued returns the controller's records that are not in the stream yet.
func (t *tenure) queued() []Record {
	var records []Record
	for _, w := range t.queue {
		records = append(records, w.record)
	}
	return records
}

// Pending returns the controller's records that the log does not take up, for
// the other hosts to route by.
func (g *Grouper) Pending(now fuchsiapitch.Instant) []Record {
	if g.tenure == nil || !g.tenure.asks(now) {
		return nil
	}
	return g.tenure.queued()
}

// HearPending takes in records of the controller that the log does not take up.
// They count as long as the term lasts and the stream has no later ones.
func (g *Grouper) HearPending(records []Record) {
	if records[0].Term != g.fold.Term() || g.tenure != nil {
		return
	}
	last := func(list []Record) uint64 { return list[len(list)-1].Sequence }
	if len(g.heard) > 0 && g.heard[0].Term == records[0].Term && last(g.heard) >= last(records) {
		return
	}
	g.heard = records
	g.refreshView()
}
