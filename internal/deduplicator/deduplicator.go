package deduplicator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// maxKeysPerShard is the number of stored keys from which on Lookup refuses new
	// keys of a shard. Claims that are already on their way to the log are still
	// applied, so that a shard can exceed it. No key is evicted instead, since a key
	// evicted before the end of its retention would allow its request to run twice.
	maxKeysPerShard = 8192
	// maxResponseBytesPerShard is the maximum size of the stored responses of one
	// shard. The oldest responses are evicted first. Their keys are kept.
	maxResponseBytesPerShard = 1 << 20
	// maxClaimLag is the maximum time by which a claim may be older than the latest
	// claim of its shard. The clock skew between hosts must be smaller.
	maxClaimLag = time.Minute
)

// keyEntry is the state of one claimed key. The outcome is 0 until the request
// completes.
type keyEntry struct {
	requestID        fuchsiapitch.RequestID
	bodyHash         uint64
	claimedAt        time.Time
	requestExpiresAt time.Time
	outcome          fuchsiapitch.Outcome
	response         *Response
}

// shard is the state that results from applying the records of one key stream.
type shard struct {
	entries map[Key]*keyEntry
	// claimOrder holds the keys in the order of their claims. A key that was
	// released and claimed again occurs more than once.
	claimOrder []Key
	// latestClaimTime is the latest wall-clock time of the applied claims. Keys
	// expire by it instead of by a local clock, so that all hosts agree.
	latestClaimTime time.Time
	// responseOrder holds the keys with stored responses in the order in which the
	// responses arrived.
	responseOrder []Key
	responseBytes int
}

// Deduplicator is the replicated state machine of the idempotency keys. Each
// shard applies the records of one key stream.
type Deduplicator struct {
	shards [ShardCount]shard
}

// New returns a deduplicator without keys.
func New() *Deduplicator {
	d := &Deduplicator{}
	for i := range d.shards {
		d.shards[i].entries = make(map[Key]*keyEntry)
	}
	return d
}

// Lookup returns the state of a key for a request with a given body, according
// to the records applied so far. The state Free does not permit the request to
// run: it may run only after its claim is applied and holds the key.
func (d *Deduplicator) Lookup(wall time.Time, key Key, bodyHash uint64) LookupResult {
	s := &d.shards[key.Shard()]
	e, ok := s.entries[key]
	switch {
	case !ok || e.outcome == fuchsiapitch.OutcomeNotRun:
		if len(s.entries) >= maxKeysPerShard {
			return LookupResult{State: CapacityReached}
		}
		return LookupResult{State: Free}
	case e.bodyHash != bodyHash:
		return LookupResult{State: BodyMismatch}
	case e.response != nil:
		return LookupResult{State: ResponseStored, Response: *e.response}
	case e.outcome == 0 && wall.Before(e.requestExpiresAt):
		return LookupResult{State: InProgress}
	}
	return LookupResult{State: OutcomeUnknown}
}

// IsHeldBy reports whether the request holds the key by an applied claim and has
// not completed.
func (d *Deduplicator) IsHeldBy(key Key, request fuchsiapitch.RequestID) bool {
	e, ok := d.shards[key.Shard()].entries[key]
	return ok && e.requestID == request && e.outcome == 0
}

// KeyCount returns the number of stored keys.
func (d *Deduplicator) KeyCount() int {
	count := 0
	for i := range d.shards {
		count += len(d.shards[i].entries)
	}
	return count
}

// Apply applies the next record of a shard. The result depends only on the
// records, so that all hosts give each key to the same request. Applying a
// record again has no effect.
func (d *Deduplicator) Apply(shardIndex int, batch Batch) {
	s := &d.shards[shardIndex]
	for _, c := range batch.Completions {
		s.applyCompletion(c)
	}
	for _, c := range batch.Claims {
		s.applyClaim(c)
	}
	s.expireEntries()
}

// CompleteLocal records the completion of a request of this host before its
// record is applied, so that its response can be replayed immediately. NotRun has
// no effect until its record is applied: a claim that precedes this record in
// the log must be rejected on this host as on every other.
func (d *Deduplicator) CompleteLocal(c Completion) {
	if c.Outcome != fuchsiapitch.OutcomeNotRun {
		d.shards[c.Key.Shard()].applyCompletion(c)
	}
}

// applyClaim gives a free key to a request. A claim that is older than the latest
// one by more than maxClaimLag is ignored, since its key would expire too early. A
// claim of the request that released the key is a duplicate, and is ignored too.
func (s *shard) applyClaim(c Claim) {
	if c.ClaimedAt.After(s.latestClaimTime) {
		s.latestClaimTime = c.ClaimedAt
	}
	if s.latestClaimTime.Sub(c.ClaimedAt) > maxClaimLag {
		return
	}
	e, found := s.entries[c.Key]
	if found && !s.isExpired(e) && (e.outcome != fuchsiapitch.OutcomeNotRun || e.requestID == c.RequestID) {
		return
	}
	if found {
		s.deleteEntry(c.Key, e)
	}
	s.entries[c.Key] = &keyEntry{requestID: c.RequestID, bodyHash: c.BodyHash, claimedAt: c.ClaimedAt, requestExpiresAt: c.RequestExpiresAt}
	s.claimOrder = append(s.claimOrder, c.Key)
}

func (s *shard) applyCompletion(c Completion) {
	e, ok := s.entries[c.Key]
	if !ok || e.requestID != c.RequestID || e.outcome != 0 {
		return
	}
	e.outcome = c.Outcome
	if c.Response == nil {
		return
	}
	e.response = c.Response
	s.responseOrder = append(s.responseOrder, c.Key)
	s.responseBytes += len(c.Response.Body)
	for s.responseBytes > maxResponseBytesPerShard {
		if oldest, ok := s.entries[s.responseOrder[0]]; ok {
			s.deleteResponse(oldest)
		}
		s.responseOrder = s.responseOrder[1:]
	}
}

func (s *shard) isExpired(e *keyEntry) bool { return s.latestClaimTime.Sub(e.claimedAt) > KeyRetention }

// expireEntries deletes the keys whose retention has ended according to the claim
// times in the log.
func (s *shard) expireEntries() {
	for len(s.claimOrder) > 0 {
		e, ok := s.entries[s.claimOrder[0]]
		if ok && !s.isExpired(e) {
			return
		}
		if ok {
			s.deleteEntry(s.claimOrder[0], e)
		}
		s.claimOrder = s.claimOrder[1:]
	}
}

func (s *shard) deleteEntry(key Key, e *keyEntry) {
	s.deleteResponse(e)
	delete(s.entries, key)
}

func (s *shard) deleteResponse(e *keyEntry) {
	if e.response != nil {
		s.responseBytes -= len(e.response.Body)
		e.response = nil
	}
}
