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
	// claimStaggerStep is the delay between the claims of two consecutive live
	// hosts, so that they do not all claim at once.
	claimStaggerStep = 100 * time.Millisecond
	// appendRetryDelay is the time after which a record is appended again if it
	// has not been read back from the stream.
	appendRetryDelay = time.Second
	// appendTimeout is the time after which an append without any result is
	// considered lost.
	appendTimeout = 10 * time.Second
)

// bootstrapDelay is the time without a checkpoint or a controller record after
// which a host initialises the stream with an empty state. It covers two
// checkpoint periods with a margin.
const bootstrapDelay = 2*checkpointPeriod + time.Minute

// pendingAppend is a record that is to be appended to the group stream and has
// not been read back yet.
type pendingAppend struct {
	record      Record
	firstSentAt fuchsiapitch.Instant
	inFlight    bool
	retryAt     time.Duration
}

// send requests the append unless one is in flight or the retry delay has not
// passed.
func (pa *pendingAppend) send(now fuchsiapitch.Instant, a *Actions) {
	if now.Monotonic() < pa.retryAt {
		return
	}
	if pa.firstSentAt == (fuchsiapitch.Instant{}) {
		pa.firstSentAt = now
	}
	pa.inFlight, pa.retryAt = true, now.Monotonic()+appendTimeout
	a.Appends = append(a.Appends, pa.record)
}

// finish records that the append has ended, whatever its result. Only the
// stream shows whether the record was stored, so it is sent again after
// appendRetryDelay unless it has been read back by then.
func (pa *pendingAppend) finish(now fuchsiapitch.Instant) {
	pa.inFlight, pa.retryAt = false, now.Monotonic()+appendRetryDelay
}

// candidate is the state of this host in the election of the controller.
type candidate struct {
	// readingStarted is true once this host has started to read the stream.
	// logReadable is true if the last read succeeded.
	readingStarted bool
	logReadable    bool
	// holderRecordReadAt is when a valid record other than a join was last read.
	// The lease of the current holder counts as lapsed claimDelay after it.
	holderRecordReadAt fuchsiapitch.Instant
	// bootstrapDelayStartedAt is when the state was last complete or a record of a
	// controller was last read. bootstrapDelay counts from it.
	bootstrapDelayStartedAt fuchsiapitch.Instant
	// joinOrBootstrapAppend is the pending join or, while the state is incomplete,
	// the pending empty checkpoint of bootstrap.
	joinOrBootstrapAppend *pendingAppend
	claimAppend           *pendingAppend
	// recordCount numbers the records of this incarnation.
	recordCount uint64
	// attemptedTerm is the term that this host last tried to replace. It is valid
	// if claimAttempted is true.
	attemptedTerm  fuchsiapitch.Term
	claimAttempted bool
}

func (g *Grouper) newRecord(kind RecordKind, term fuchsiapitch.Term) Record {
	g.candidate.recordCount++
	id := fmt.Sprintf("%s-%d-%d", g.self, g.incarnation, g.candidate.recordCount)
	return Record{
		ID: fuchsiapitch.RecordID(id), Kind: kind, Host: g.self, Incarnation: g.incarnation,
		Term: term, ReadOffset: g.committed.NextOffset() - 1,
	}
}

// runElection starts reading the group stream, joins the electors and claims
// the controller's role when the lease has lapsed.
func (g *Grouper) runElection(now fuchsiapitch.Instant) {
	c := &g.candidate
	if !c.readingStarted {
		c.readingStarted, c.logReadable = true, true
		g.actions.FollowFrom = g.committed.NextOffset()
	}
	if !g.committed.IsComplete() {
		g.bootstrap(now)
		return
	}
	c.bootstrapDelayStartedAt = now
	if g.stopping {
		return
	}
	e, joined := g.committed.Elector(g.self)
	switch {
	case joined && e.Incarnation > g.incarnation:
		return
	case !joined || e.Incarnation < g.incarnation:
		if c.joinOrBootstrapAppend == nil {
			c.joinOrBootstrapAppend = &pendingAppend{record: g.newRecord(Join, 0)}
		}
		c.joinOrBootstrapAppend.send(now, &g.actions)
		return
	}
	c.joinOrBootstrapAppend = nil
	if g.mayClaim(now, e) {
		if c.claimAppend == nil {
			c.claimAppend = &pendingAppend{record: g.newRecord(Claim, g.committed.Term())}
		}
		c.attemptedTerm, c.claimAttempted = g.committed.Term(), true
		c.claimAppend.send(now, &g.actions)
	}
}

// bootstrap appends an empty checkpoint when no checkpoint and no record of a
// controller has been read for bootstrapDelay. Every reader adopts the empty
// state. The next controller then waits for MaxLogOutage before it claims, as
// if the previous one had not acknowledged its join.
func (g *Grouper) bootstrap(now fuchsiapitch.Instant) {
	c := &g.candidate
	if !c.logReadable || now.Sub(c.bootstrapDelayStartedAt) < bootstrapDelay {
		return
	}
	if c.joinOrBootstrapAppend == nil {
		r := g.newRecord(Checkpoint, 0)
		r.CheckpointState = &Snapshot{Offset: g.committed.NextOffset() - 1}
		c.joinOrBootstrapAppend = &pendingAppend{record: r}
	}
	c.joinOrBootstrapAppend.send(now, &g.actions)
}

// mayClaim reports whether the holder's lease has certainly lapsed and this host
// is not bound by a promise that it gave.
func (g *Grouper) mayClaim(now fuchsiapitch.Instant, self Elector) bool {
	if g.controller != nil || !g.candidate.logReadable || !g.serversListed || now.Monotonic() < g.ownPromise.until {
		return false
	}
	delay := g.claimDelay(self)
	if g.hasNoEarlierTerm() || g.committed.LeaseReleased() {
		delay = 0
	}
	elapsed := now.Sub(g.candidate.holderRecordReadAt)
	return elapsed >= delay && elapsed >= delay+g.claimStagger()
}

// claimDelay returns how long after its last record the holder may still issue
// orders without this host's promise. The holder asks every elector that it
// knows for a promise before it issues orders without a lease. An elector whose
// join it has acknowledged therefore waits for the lease only. If the holder has
// acknowledged only an earlier incarnation of this host, the promises of that
// incarnation may still be in force, so this host waits for PromiseDuration.
// Otherwise it waits for the longest outage.
func (g *Grouper) claimDelay(self Elector) time.Duration {
	switch {
	case g.committed.MayHaveEarlierTerms():
		return MaxLogOutage
	case g.committed.AcknowledgedOffset() >= self.JoinOffset:
		return LeaseDuration
	case self.FirstJoinOffset > 0 && g.committed.AcknowledgedOffset() >= self.FirstJoinOffset:
		return PromiseDuration + clockMargin
	}
	return MaxLogOutage
}

// hasNoEarlierTerm reports whether there has never been a controller.
func (g *Grouper) hasNoEarlierTerm() bool {
	return g.committed.Term() == 0 && !g.committed.MayHaveEarlierTerms()
}

// claimStagger returns the delay of this host's claim. It differs between live
// hosts, and their order changes with each term.
func (g *Grouper) claimStagger() time.Duration {
	score := func(h fuchsiapitch.Host) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%d/%s", g.committed.Term(), h.ID()))
	}
	hosts := slices.SortedFunc(slices.Values(g.liveHosts), func(a, b fuchsiapitch.Host) int { return cmp.Compare(score(a), score(b)) })
	position := slices.IndexFunc(hosts, func(h fuchsiapitch.Host) bool { return h.ID() == g.self })
	return time.Duration(max(position, 0)) * claimStaggerStep
}

// holdsTerm reports whether this incarnation of the host holds the current term
// and has not released it.
func (g *Grouper) holdsTerm() bool {
	h, incarnation := g.committed.Holder()
	return g.committed.Term() != 0 && !g.committed.LeaseReleased() && h == g.self && incarnation == g.incarnation
}

// RecordsRead applies entries read from the group stream. If nextOffset is
// positive, it is the offset after the last record read, including records that
// could not be decoded.
func (g *Grouper) RecordsRead(now fuchsiapitch.Instant, entries []Entry, nextOffset fuchsiapitch.Offset) {
	g.candidate.logReadable = true
	for _, e := range entries {
		g.applyEntry(now, e)
	}
	if nextOffset > 0 {
		g.committed.Skip(nextOffset - 1)
	}
	if n := len(g.receivedPending); n > 0 && (g.receivedPending[0].Term != g.committed.Term() || g.receivedPending[n-1].Sequence <= g.committed.Sequence()) {
		g.receivedPending = nil
	}
	g.refreshSpeculative()
	g.assertOneGroupPerServer()
}

func (g *Grouper) applyEntry(now fuchsiapitch.Instant, e Entry) {
	settledAt, previousTerm, noEarlierTerm := g.ordersSettledAt(now), g.committed.Term(), g.hasNoEarlierTerm()
	if !g.committed.IsComplete() && (e.Record.Kind == Claim || e.Record.Kind == Renewal) {
		g.candidate.bootstrapDelayStartedAt = now
	}
	if !g.committed.Apply(e) {
		return
	}
	if e.Record.Kind != Join {
		g.candidate.holderRecordReadAt = now
	}
	if g.committed.Term() != previousTerm {
		g.startTerm(e, settledAt, noEarlierTerm)
	}
	g.noteNewAssignments(e.Record)
	g.recordApplied(now, e.Record)
}

// noteNewAssignments notes the assignments in a record of the controller to groups that
// this host dispatches for. Records before this host's own join may be of any age, and
// another host may have dispatched for their groups since.
func (g *Grouper) noteNewAssignments(r Record) {
	if e, ok := g.committed.Elector(g.self); r.Kind != Renewal || !ok || e.Incarnation != g.incarnation {
		return
	}
	for _, c := range r.Changes {
		switch {
		case c.Kind == Assign && g.isDispatcher(fuchsiapitch.ReplicaID(c.Group.ID)):
			g.newAssignments[c.Group.ID] = fuchsiapitch.NewFencingToken(r.Term, r.Sequence)
		case c.Kind == Disband:
			delete(g.newAssignments, c.Group.ID)
		}
	}
}

// ordersSettledAt returns the time by which every order of the current holder
// has certainly taken effect, assuming that this host's claim is the next valid
// record.
func (g *Grouper) ordersSettledAt(now fuchsiapitch.Instant) time.Duration {
	if g.hasNoEarlierTerm() {
		return now.Monotonic()
	}
	if g.committed.LeaseReleased() {
		return g.candidate.holderRecordReadAt.Monotonic() + lateOrderMargin
	}
	e, _ := g.committed.Elector(g.self)
	until := g.candidate.holderRecordReadAt.Monotonic() + g.claimDelay(e) + lateOrderMargin
	if g.ownPromise.term == g.committed.Term() {
		until = max(until, g.ownPromise.until+lateOrderMargin)
	}
	return until
}

// startTerm handles the start of a new term. This host becomes the controller
// if the term was started by its own claim.
func (g *Grouper) startTerm(e Entry, previousOrdersSettledAt time.Duration, isFirstTerm bool) {
	claim := g.candidate.claimAppend
	g.candidate.claimAppend, g.candidate.claimAttempted, g.controller = nil, false, nil
	if g.holdsTerm() && claim != nil && claim.record.ID == e.Record.ID {
		g.controller = newControllerState(g.committed.Term(), NewLease(claim.firstSentAt, LeaseDuration), previousOrdersSettledAt)
		g.controller.isFirstTerm = isFirstTerm
		g.counters.TermsHeld++
	}
}

// ReadFailed records that the log did not answer a read. This host does not
// claim until a read succeeds.
func (g *Grouper) ReadFailed() { g.candidate.logReadable = false }

// LogTruncated handles the loss of records that were not read yet: oldest is
// the first offset that the log still keeps.
func (g *Grouper) LogTruncated(oldest fuchsiapitch.Offset) {
	if g.committed.Truncate(oldest) {
		g.controller = nil
	}
	g.actions.FollowFrom = g.committed.NextOffset()
	g.refreshSpeculative()
}

// AppendEnded records the end of an append. Whether the record is valid shows
// only when it is read back from the stream.
func (g *Grouper) AppendEnded(now fuchsiapitch.Instant, id fuchsiapitch.RecordID) {
	for _, pa := range g.pendingAppends() {
		if pa != nil && pa.record.ID == id {
			pa.finish(now)
		}
	}
}

// pendingAppends returns the appends of this host. Elements may be nil.
func (g *Grouper) pendingAppends() []*pendingAppend {
	list := []*pendingAppend{g.candidate.joinOrBootstrapAppend, g.candidate.claimAppend}
	if g.controller != nil {
		list = append(list, g.controller.checkpointAppend)
		list = append(list, g.controller.appendQueue...)
	}
	return list
}

// refreshSpeculative recomputes the speculative state: the committed state and
// the controller's records that have not been read from the stream yet.
func (g *Grouper) refreshSpeculative() {
	g.speculative = g.committed
	records := g.receivedPending
	if g.controller != nil {
		records = g.controller.queuedRecords()
	}
	if len(records) > 0 && g.committed.IsComplete() {
		g.speculative = g.committed.WithPending(records)
	}
}

// queuedRecords returns the controller's records that have not been read back
// from the stream yet.
func (cs *controllerState) queuedRecords() []Record {
	var records []Record
	for _, pa := range cs.appendQueue {
		records = append(records, pa.record)
	}
	return records
}

// PendingRecords returns the controller's queued records while the log is not
// accepting them, so that the other hosts can route by them. It returns nil on
// all other hosts and while the lease is fresh.
func (g *Grouper) PendingRecords(now fuchsiapitch.Instant) []Record {
	if g.controller == nil || !g.controller.wantsPromises(now) {
		return nil
	}
	return g.controller.queuedRecords()
}

// PendingRecordsReceived handles records that the controller sent in a
// heartbeat because the log does not accept them. They apply until the term
// ends or the stream has caught up with them.
func (g *Grouper) PendingRecordsReceived(records []Record) {
	if records[0].Term != g.committed.Term() || g.controller != nil {
		return
	}
	lastSequence := func(list []Record) uint64 { return list[len(list)-1].Sequence }
	if len(g.receivedPending) > 0 && g.receivedPending[0].Term == records[0].Term && lastSequence(g.receivedPending) >= lastSequence(records) {
		return
	}
	g.receivedPending = records
	for _, r := range records {
		g.noteNewAssignments(r)
	}
	g.refreshSpeculative()
}
