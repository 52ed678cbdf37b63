package grouper

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// leaseRenewalPeriod is the time after the last controller record at which an
	// empty renewal is queued.
	leaseRenewalPeriod = time.Second
	// planPeriod is the minimum time between two planning steps.
	planPeriod = 200 * time.Millisecond
	// orderRetryDelay is the time after which an unanswered order may be issued
	// again.
	orderRetryDelay = 1500 * time.Millisecond
	// readBackProbesPerTick is the minimum number of probe tokens per tick while a
	// new controller reads back the status of every engine.
	readBackProbesPerTick = 100
	// checkpointPeriod is the time between two checkpoints in the group stream.
	checkpointPeriod = 5 * time.Minute
	// electorEvictionDelay is the time for which an elector must be missing from
	// the live hosts before the controller evicts it.
	electorEvictionDelay = 30 * time.Second
	// maxLoadingServers is the maximum number of servers that load weights at the
	// same time.
	maxLoadingServers = 64
	// maxQueuedRecords is the maximum number of records that wait to be appended.
	maxQueuedRecords = 256
)

// controllerState is the state that a host keeps while it is the controller of
// a term.
type controllerState struct {
	term  fuchsiapitch.Term
	lease Lease
	// lastSequence is the sequence of the last record that was enqueued.
	lastSequence uint64
	appendQueue  []*pendingAppend
	stage        takeoverStage
	// previousOrdersSettledAt is the time by which the orders of the previous
	// controller have taken effect.
	previousOrdersSettledAt time.Duration
	// termStartedAt is when the claim of this term was first sent.
	termStartedAt     time.Duration
	readBackStartedAt time.Duration
	lastEnqueuedAt    time.Duration
	lastPlannedAt     time.Duration
	outstandingOrders map[fuchsiapitch.ServerID]outstandingOrder
	// lastFencingTokens holds the fencing token of the last order issued to each
	// server.
	lastFencingTokens   map[fuchsiapitch.ServerID]fuchsiapitch.FencingToken
	promises            map[fuchsiapitch.HostID]receivedPromise
	promisesRequestedAt time.Duration
	// heartbeatSentAt holds the send times of this host's heartbeats by sequence.
	heartbeatSentAt     map[uint64]fuchsiapitch.Instant
	electorAbsentSince  map[fuchsiapitch.HostID]time.Duration
	drainingSince       map[fuchsiapitch.GroupID]time.Duration
	rolloutChecks       map[fuchsiapitch.GroupID]rolloutCheck
	allMembersLostSince map[fuchsiapitch.GroupID]time.Duration
	// workingFencingTokens holds the fencing token with which each group last
	// worked.
	workingFencingTokens map[fuchsiapitch.GroupID]fuchsiapitch.FencingToken
	isFirstTerm          bool
	checkpointAppend     *pendingAppend
	checkpointedAt       time.Duration
	// groupCount numbers the groups that were formed in this term.
	groupCount uint64
}

// newControllerState returns the state of a controller that has just read its
// own claim.
func newControllerState(term fuchsiapitch.Term, lease Lease, previousOrdersSettledAt time.Duration) *controllerState {
	return &controllerState{
		term: term, lease: lease, previousOrdersSettledAt: previousOrdersSettledAt, termStartedAt: lease.sentAt.Monotonic(),
		lastEnqueuedAt:       lease.sentAt.Monotonic(),
		checkpointedAt:       lease.sentAt.Monotonic(),
		outstandingOrders:    make(map[fuchsiapitch.ServerID]outstandingOrder),
		lastFencingTokens:    make(map[fuchsiapitch.ServerID]fuchsiapitch.FencingToken),
		promises:             make(map[fuchsiapitch.HostID]receivedPromise),
		heartbeatSentAt:      make(map[uint64]fuchsiapitch.Instant),
		electorAbsentSince:   make(map[fuchsiapitch.HostID]time.Duration),
		drainingSince:        make(map[fuchsiapitch.GroupID]time.Duration),
		rolloutChecks:        make(map[fuchsiapitch.GroupID]rolloutCheck),
		allMembersLostSince:  make(map[fuchsiapitch.GroupID]time.Duration),
		workingFencingTokens: make(map[fuchsiapitch.GroupID]fuchsiapitch.FencingToken),
	}
}

// recordApplied handles a valid record of the group stream. A renewal written
// by this controller is removed from the append queue and renews the lease,
// counted from the first time that it was sent. A release ends the controller's
// term.
func (g *Grouper) recordApplied(_ fuchsiapitch.Instant, r Record) {
	cs := g.controller
	if cs != nil && g.committed.LeaseReleased() {
		g.controller = nil
		return
	}
	if cs == nil || r.Kind != Renewal || r.Term != cs.term || len(cs.appendQueue) == 0 || cs.appendQueue[0].record.Sequence != r.Sequence {
		return
	}
	cs.lease = NewLease(cs.appendQueue[0].firstSentAt, LeaseDuration)
	cs.appendQueue = cs.appendQueue[1:]
}

// enqueueRecord assigns the next sequence number to a record of the controller
// and queues it for appending. It drops the record if the queue is full.
func (g *Grouper) enqueueRecord(now fuchsiapitch.Instant, kind RecordKind, changes []Change) {
	cs := g.controller
	if len(cs.appendQueue) >= maxQueuedRecords {
		return
	}
	cs.lastSequence++
	r := g.newRecord(kind, cs.term)
	r.Sequence, r.Changes = cs.lastSequence, changes
	cs.appendQueue = append(cs.appendQueue, &pendingAppend{record: r})
	cs.lastEnqueuedAt = now.Monotonic()
	g.refreshSpeculative()
	if cs.wantsPromises(now) {
		g.actions.SendHeartbeats = true
	}
}

// runController performs the controller's work for one tick. It does nothing
// unless this host is the controller.
func (g *Grouper) runController(now fuchsiapitch.Instant) {
	cs := g.controller
	if cs == nil || !g.committed.IsComplete() {
		return
	}
	if g.stopping {
		g.releaseLease(now)
	}
	if len(cs.appendQueue) == 0 && now.Monotonic()-cs.lastEnqueuedAt >= leaseRenewalPeriod && !g.stopping {
		g.enqueueRecord(now, Renewal, nil)
	}
	if cs.wantsPromises(now) && now.Monotonic()-cs.promisesRequestedAt >= promiseRequestPeriod {
		cs.promisesRequestedAt, g.actions.SendHeartbeats = now.Monotonic(), true
	}
	expiry, allowed := cs.orderPermission(now, g.committed, g.self)
	if allowed && !g.stopping {
		g.advanceTakeover(now)
	}
	if allowed && cs.stage == stageActing && !g.stopping {
		g.planChanges(now)
		g.issueOrders(now, expiry)
	}
	if len(cs.appendQueue) > 0 {
		cs.appendQueue[0].send(now, &g.actions)
	}
	g.writeCheckpoint(now)
}

// releaseLease queues the release of the lease once no record is queued and
// every outstanding order is too old to take effect.
func (g *Grouper) releaseLease(now fuchsiapitch.Instant) {
	cs := g.controller
	if len(cs.appendQueue) > 0 {
		return
	}
	for _, o := range cs.outstandingOrders {
		if now.Monotonic()-o.issuedAt < lateOrderMargin {
			return
		}
	}
	g.enqueueRecord(now, Release, nil)
}

// writeCheckpoint appends a snapshot of the committed state to the stream every
// checkpointPeriod, so that the state outlives the log's retention of older
// records.
func (g *Grouper) writeCheckpoint(now fuchsiapitch.Instant) {
	cs := g.controller
	if cs.checkpointAppend == nil && now.Monotonic()-cs.checkpointedAt < checkpointPeriod {
		return
	}
	if cs.checkpointAppend == nil {
		cs.checkpointAppend = &pendingAppend{record: g.newRecord(Checkpoint, cs.term)}
		s := g.committed.Snapshot()
		cs.checkpointAppend.record.CheckpointState = &s
		cs.checkpointedAt = now.Monotonic()
	}
	if cs.checkpointAppend.firstSentAt != (fuchsiapitch.Instant{}) && !cs.checkpointAppend.inFlight {
		cs.checkpointAppend = nil
		return
	}
	cs.checkpointAppend.send(now, &g.actions)
}

// electorEvictions returns the evictions of the electors that have been missing
// from the live hosts for electorEvictionDelay. The promises of evicted
// electors are no longer required.
func (g *Grouper) electorEvictions(now time.Duration) []Change {
	cs := g.controller
	live := make(map[fuchsiapitch.HostID]bool, len(g.liveHosts))
	for _, h := range g.liveHosts {
		live[h.ID()] = true
	}
	var list []Change
	for _, e := range g.speculative.Electors() {
		if e.Host == g.self || live[e.Host] {
			delete(cs.electorAbsentSince, e.Host)
			continue
		}
		if _, ok := cs.electorAbsentSince[e.Host]; !ok {
			cs.electorAbsentSince[e.Host] = now
		}
		if now-cs.electorAbsentSince[e.Host] >= electorEvictionDelay {
			list = append(list, Change{Kind: Evict, Host: e.Host})
		}
	}
	for _, h := range slices.Sorted(maps.Keys(cs.electorAbsentSince)) {
		if _, ok := g.speculative.Elector(h); !ok {
			delete(cs.electorAbsentSince, h)
		}
	}
	return list
}
