package deduplicator

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// maxBatchEntries is the maximum number of claims and completions in one
	// record.
	maxBatchEntries = 256
	// maxQueuedClaims is the maximum number of claims queued for one shard.
	maxQueuedClaims = 1024
	// maxQueuedCompletions is the maximum number of completions queued for one
	// shard while the log is unavailable. The oldest are dropped. Other hosts then
	// report the outcome of their keys as unknown.
	maxQueuedCompletions = 4096
	// appendInterval is the mean time between two appends of all hosts that share
	// the log, which limits them to 100 appends per second together.
	appendInterval = 10 * time.Millisecond
	// appendBurst is the number of intervals by which an append may start before it
	// is due at the permitted rate.
	appendBurst = 4
	// appendRetryDelay is the delay before a record is appended again. If the
	// response to an append was lost, the record may be read from the stream within
	// this time, which makes the retry unnecessary.
	appendRetryDelay = time.Second
)

// Append is a request to append one record to the stream of a shard.
type Append struct {
	// Shard is the index of the stream.
	Shard int
	// RecordID identifies the record. A retry has the same identifier.
	RecordID fuchsiapitch.RecordID
	// Batch is the content of the record.
	Batch Batch
}

// AppendResult is the result of an append.
type AppendResult int

// The results of an append.
const (
	// Appended means that the record is in the stream.
	Appended AppendResult = iota + 1
	// NotAppended means that the record is not in the stream.
	NotAppended
	// MaybeAppended means that the response was lost, so that the record may be in
	// the stream.
	MaybeAppended
)

// appendQueue is the queue of one shard. One record is in flight at a time.
// Claims and completions that are queued meanwhile go into the next records.
type appendQueue struct {
	claims           []Claim
	completions      []Completion
	inFlightRecordID fuchsiapitch.RecordID
	inFlightBatch    Batch
	// lastAppendUncertain is true if the response to the last append of the record
	// in flight was lost and no retry has started. anyAppendUncertain is true if the
	// response to at least one append of the record was lost.
	lastAppendUncertain bool
	anyAppendUncertain  bool
	nextAppendAt        time.Duration
}

// Outbox batches the claims and completions of this host into records.
//
// It limits the rate of appends with the generic cell rate algorithm:
// theoreticalArrival is the time at which the next append would be due at the
// permitted rate, and an append may start up to appendBurst intervals earlier.
type Outbox struct {
	queues             [ShardCount]appendQueue
	theoreticalArrival time.Duration
	recordCount        uint64
	lastServedShard    int
}

// QueueClaim queues a claim. It returns false if the queue is full.
func (o *Outbox) QueueClaim(c Claim) bool {
	q := &o.queues[c.Key.Shard()]
	if len(q.claims) >= maxQueuedClaims {
		return false
	}
	q.claims = append(q.claims, c)
	return true
}

// WithdrawClaim removes a claim that is still queued. It returns false if there
// is none, in which case the claim may be in flight or in the log.
func (o *Outbox) WithdrawClaim(key Key, request fuchsiapitch.RequestID) bool {
	q := &o.queues[key.Shard()]
	queued := len(q.claims)
	q.claims = slices.DeleteFunc(q.claims, func(c Claim) bool { return c.RequestID == request })
	return len(q.claims) < queued
}

// QueueCompletion queues a completion. If the queue is full, the oldest completion
// is dropped.
func (o *Outbox) QueueCompletion(c Completion) {
	q := &o.queues[c.Key.Shard()]
	if len(q.completions) >= maxQueuedCompletions {
		q.completions = q.completions[1:]
	}
	q.completions = append(q.completions, c)
}

// PendingCount returns the number of claims and completions that are queued or in
// flight.
func (o *Outbox) PendingCount() int {
	count := 0
	for i := range o.queues {
		q := &o.queues[i]
		count += len(q.claims) + len(q.completions) + len(q.inFlightBatch.Claims) + len(q.inFlightBatch.Completions)
	}
	return count
}

// DueAppends returns the appends to start now. The shards are served in
// round-robin order. The append rate of the log is divided equally among the given
// number of hosts, and this host is limited to its share.
func (o *Outbox) DueAppends(now time.Duration, hosts int) []Append {
	interval := time.Duration(max(hosts, 1)) * appendInterval
	var appends []Append
	for range ShardCount {
		o.lastServedShard = (o.lastServedShard + 1) % ShardCount
		if now < o.theoreticalArrival-appendBurst*interval {
			return appends
		}
		if !o.queues[o.lastServedShard].prepareRecord(now, &o.recordCount) {
			continue
		}
		q := &o.queues[o.lastServedShard]
		o.theoreticalArrival = max(o.theoreticalArrival, now) + interval
		appends = append(appends, Append{Shard: o.lastServedShard, RecordID: q.inFlightRecordID, Batch: q.inFlightBatch})
	}
	return appends
}

// prepareRecord determines the record to append next, a retry or a new one, and
// reports whether there is one.
func (q *appendQueue) prepareRecord(now time.Duration, count *uint64) bool {
	if now < q.nextAppendAt {
		return false
	}
	if q.inFlightRecordID != "" {
		retry := q.lastAppendUncertain
		q.lastAppendUncertain = false
		return retry
	}
	claims := min(len(q.claims), maxBatchEntries)
	completions := min(len(q.completions), maxBatchEntries-claims)
	if claims+completions == 0 {
		return false
	}
	q.inFlightBatch = Batch{Claims: slices.Clone(q.claims[:claims]), Completions: slices.Clone(q.completions[:completions])}
	q.claims, q.completions = q.claims[claims:], q.completions[completions:]
	*count++
	q.inFlightRecordID = q.inFlightBatch.recordID(*count)
	return true
}

// recordID returns the identifier of the record with this batch. It is unique
// across processes, since request identifiers are, and within this process,
// since count differs for each record.
func (b Batch) recordID(count uint64) fuchsiapitch.RecordID {
	requestID := fuchsiapitch.RequestID("")
	if len(b.Claims) > 0 {
		requestID = b.Claims[0].RequestID
	} else {
		requestID = b.Completions[0].RequestID
	}
	return fuchsiapitch.RecordID(fmt.Sprintf("%s-%d", requestID, count))
}

// HandleAppendResult handles the result of an append. It returns the claims of the
// record if they are certainly not in the log. Completions are then queued again
// for the next record. After an append with a lost response, NotAppended does not
// prove that the record is missing, since the earlier append may have succeeded.
func (o *Outbox) HandleAppendResult(now time.Duration, shard int, record fuchsiapitch.RecordID, result AppendResult) []Claim {
	q := &o.queues[shard]
	if q.inFlightRecordID != record {
		return nil
	}
	if result == NotAppended && q.anyAppendUncertain {
		result = MaybeAppended
	}
	switch result {
	case Appended:
		q.clearInFlight()
	case MaybeAppended:
		q.lastAppendUncertain, q.anyAppendUncertain, q.nextAppendAt = true, true, now+appendRetryDelay
	case NotAppended:
		claims := q.inFlightBatch.Claims
		q.completions = append(q.inFlightBatch.Completions, q.completions...)
		q.clearInFlight()
		q.nextAppendAt = now + appendRetryDelay
		if len(claims) > 0 {
			q.nextAppendAt = now
		}
		return claims
	}
	return nil
}

// ConfirmRecord confirms that a record was read from the stream of a shard. The
// record is then no longer in flight.
func (o *Outbox) ConfirmRecord(shard int, record fuchsiapitch.RecordID) {
	if q := &o.queues[shard]; q.inFlightRecordID == record {
		q.clearInFlight()
	}
}

func (q *appendQueue) clearInFlight() {
	q.inFlightRecordID, q.inFlightBatch, q.lastAppendUncertain, q.anyAppendUncertain, q.nextAppendAt = "", Batch{}, false, false, 0
}
