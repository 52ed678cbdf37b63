package reducer

import (
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/deduplicator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
)

const (
	// reservationTimeout is the longest time that a request waits until its claim
	// is read back from the log.
	reservationTimeout = 5 * time.Second
	// clockSkewMargin is the time from the deadline of a request to the expiry of
	// its claim. It allows for the difference between the wall clocks of hosts.
	clockSkewMargin = 5 * time.Second
	// maxKeyedTimeLimit is the longest time limit of a request that reserves a
	// key. The key is thus retained for longer than the request can run.
	maxKeyedTimeLimit = deduplicator.KeyRetention / 2
	// maxLoggedResponseBytes is the size of the largest response body that is
	// appended to the log, so that every host can replay the response.
	maxLoggedResponseBytes = 4 << 10
	// maxLocalResponseBytes is the size of the largest response body that this
	// host stores in memory, so that it can replay the response itself.
	maxLocalResponseBytes = 64 << 10
	// keyRetryAfter is the delay after which the client of a refused request with
	// a key should retry.
	keyRetryAfter = time.Second
)

// reservation is the state of the idempotency key of one request.
type reservation struct {
	key deduplicator.Key
	// claimedAt is the monotonic time of the claim.
	claimedAt time.Duration
	// holdsKey is true once the claim was read back from the log as the one that
	// holds the key.
	holdsKey bool
	// response is the complete response, nil until it has arrived.
	response *deduplicator.Response
}

// keyState is the state of the idempotency keys at this host.
type keyState struct {
	deduplicator    *deduplicator.Deduplicator
	outbox          *deduplicator.Outbox
	streamsFollowed bool
	// pendingClaims are the claims of this host that may be in the log and have
	// not been read back, including those whose requests have ended meanwhile.
	pendingClaims map[fuchsiapitch.RequestID]deduplicator.Claim
	// waitingRequests are the requests of this host whose claims are pending, by
	// key.
	waitingRequests map[deduplicator.Key]fuchsiapitch.RequestID
}

func newKeyState() *keyState {
	return &keyState{
		deduplicator: deduplicator.New(), outbox: &deduplicator.Outbox{},
		pendingClaims:   make(map[fuchsiapitch.RequestID]deduplicator.Claim),
		waitingRequests: make(map[deduplicator.Key]fuchsiapitch.RequestID),
	}
}

// needsReservation reports whether a request must hold its key before it is
// sent. An idempotent request may run more than once and needs no reservation.
func needsReservation(request fuchsiapitch.Request) bool {
	return request.IdempotencyKey() != "" && !request.Idempotent()
}

// reserveKey claims the key of a request, or ends the request if the key is
// already known not to be free.
func (s *State) reserveKey(f *inFlightRequest) {
	r := f.request
	key := deduplicator.NewKey(r.Customer(), r.Service(), r.IdempotencyKey())
	f.deadline = s.now.Add(min(r.TimeLimit(), maxKeyedTimeLimit))
	f.phase, f.reservation = reservingKey, &reservation{key: key, claimedAt: s.now.Monotonic()}
	s.followKeyStreams()
	if s.endIfKeyTaken(f) {
		return
	}
	if _, claimed := s.keys.waitingRequests[key]; claimed {
		s.refuse(f, fuchsiapitch.RefusedKeyInProgress, keyRetryAfter)
		return
	}
	c := deduplicator.Claim{
		Key: key, RequestID: r.ID(), BodyHash: r.BodyHash(),
		ClaimedAt: s.now.Wall(), RequestExpiresAt: f.deadline.Wall().Add(clockSkewMargin),
	}
	if !s.keys.outbox.QueueClaim(c) {
		s.refuse(f, fuchsiapitch.RefusedOverload, keyRetryAfter)
		return
	}
	s.keys.pendingClaims[r.ID()], s.keys.waitingRequests[key] = c, r.ID()
	s.appendKeyRecords()
}

// endIfKeyTaken ends a request whose key is not free, by replaying the stored
// response if there is one. It returns false if the key is free.
func (s *State) endIfKeyTaken(f *inFlightRequest) bool {
	v := s.keys.deduplicator.Lookup(s.now.Wall(), f.reservation.key, f.request.BodyHash())
	switch v.State {
	case deduplicator.InProgress:
		s.refuse(f, fuchsiapitch.RefusedKeyInProgress, keyRetryAfter)
	case deduplicator.BodyMismatch:
		s.refuse(f, fuchsiapitch.RefusedKeyReuse, 0)
	case deduplicator.CapacityReached:
		s.refuse(f, fuchsiapitch.RefusedOverload, keyRetryAfter)
	case deduplicator.OutcomeUnknown:
		s.finish(f, fuchsiapitch.OutcomeUnknown)
	case deduplicator.ResponseStored:
		s.remove(f)
		s.emit(ReplayResponse{
			Request: f.request.ID(), Status: v.Response.Status,
			ContentType: v.Response.ContentType, Body: v.Response.Body,
		})
	case deduplicator.Free:
		return false
	}
	return true
}

// storeResponse stores the complete response to a request with a key, so that
// it can be replayed.
func (s *State) storeResponse(e ResponseReceived) {
	f, ok := s.requests[e.Request]
	if !ok || f.reservation == nil || len(e.Body) > maxLocalResponseBytes {
		return
	}
	f.reservation.response = &deduplicator.Response{Status: e.Status, ContentType: e.ContentType, Body: e.Body}
}

// releaseKey appends the outcome of a request that holds its key, or withdraws
// the claim of a request that does not hold it.
func (s *State) releaseKey(f *inFlightRequest, outcome fuchsiapitch.Outcome) {
	r := f.reservation
	if r == nil {
		return
	}
	id := f.request.ID()
	if s.keys.waitingRequests[r.key] == id {
		delete(s.keys.waitingRequests, r.key)
		if s.keys.outbox.WithdrawClaim(r.key, id) {
			delete(s.keys.pendingClaims, id)
		}
	}
	if !r.holdsKey {
		return
	}
	c := deduplicator.Completion{Key: r.key, RequestID: id, Outcome: outcome}
	if outcome == fuchsiapitch.OutcomeSucceeded {
		c.Response = r.response
	}
	s.keys.deduplicator.CompleteLocal(c)
	if c.Response != nil && len(c.Response.Body) > maxLoggedResponseBytes {
		c.Response = nil
	}
	s.keys.outbox.QueueCompletion(c)
	s.appendKeyRecords()
}

// appendKeyRecords appends the queued claims and completions that are due,
// within this host's share of the log's append capacity.
func (s *State) appendKeyRecords() {
	for _, a := range s.keys.outbox.DueAppends(s.now.Monotonic(), len(s.members.LiveHosts())) {
		data, err := encoder.EncodeKeyRecord(a.Batch)
		if err != nil {
			s.reportViolation("encodable-keys", err.Error())
			s.endKeyAppend(a.Shard, a.RecordID, deduplicator.NotAppended)
			continue
		}
		s.emit(AppendRecord{Stream: keyStream(a.Shard), Record: fuchsiapitch.NewRecord(a.RecordID, data)})
	}
}

func keyStream(shard int) fuchsiapitch.StreamName {
	return fuchsiapitch.StreamName(KeyStreamPrefix + strconv.Itoa(shard))
}

// keyShard returns the shard number of a key stream.
func keyShard(stream fuchsiapitch.StreamName) (int, bool) {
	shard, err := strconv.Atoi(strings.TrimPrefix(string(stream), KeyStreamPrefix))
	return shard, err == nil && shard >= 0 && shard < deduplicator.ShardCount
}

// followKeyStreams follows all key streams from their beginnings.
func (s *State) followKeyStreams() {
	if s.keys.streamsFollowed {
		return
	}
	s.keys.streamsFollowed = true
	for shard := range deduplicator.ShardCount {
		s.emit(FollowStream{Stream: keyStream(shard), From: 1})
	}
}

// applyKeyLogEvent applies a log event of a key stream.
func (s *State) applyKeyLogEvent(event Event) {
	shard, ok := keyShard(streamOf(event))
	if !ok {
		return
	}
	switch e := event.(type) {
	case RecordsRead:
		for _, r := range e.Batch.Records() {
			s.applyKeyRecord(shard, r)
		}
	case StreamTruncated:
		s.emit(FollowStream{Stream: e.Stream, From: e.Oldest})
	case AppendEnded:
		results := map[AppendResult]deduplicator.AppendResult{
			Appended: deduplicator.Appended, NotAppended: deduplicator.NotAppended, MaybeAppended: deduplicator.MaybeAppended,
		}
		s.endKeyAppend(shard, e.Record, results[e.Result])
	}
	s.appendKeyRecords()
}

// endKeyAppend passes the result of an append to the outbox and refuses the
// requests whose claims are known not to be in the log.
func (s *State) endKeyAppend(shard int, record fuchsiapitch.RecordID, result deduplicator.AppendResult) {
	for _, c := range s.keys.outbox.HandleAppendResult(s.now.Monotonic(), shard, record, result) {
		delete(s.keys.pendingClaims, c.RequestID)
		if f, ok := s.requests[c.RequestID]; ok {
			s.refuse(f, fuchsiapitch.RefusedLogUnavailable, keyRetryAfter)
		}
	}
}

// applyKeyRecord applies a record of a key stream and resolves the claims of
// this host in it.
func (s *State) applyKeyRecord(shard int, record fuchsiapitch.Record) {
	batch, err := encoder.DecodeKeyRecord(record.Data())
	if err != nil {
		s.reportViolation("readable-keys", err.Error())
		return
	}
	s.keys.deduplicator.Apply(shard, batch)
	s.keys.outbox.ConfirmRecord(shard, record.ID())
	for _, c := range batch.Claims {
		if _, own := s.keys.pendingClaims[c.RequestID]; own {
			s.resolveClaim(c)
		}
	}
}

// resolveClaim handles a claim of this host that was read back from the log: it
// places the request if the claim holds the key, and ends the request
// otherwise. If the request has ended meanwhile and the claim holds the key,
// the key is released.
func (s *State) resolveClaim(c deduplicator.Claim) {
	delete(s.keys.pendingClaims, c.RequestID)
	holdsKey := s.keys.deduplicator.IsHeldBy(c.Key, c.RequestID)
	f, ok := s.requests[c.RequestID]
	if !ok {
		if holdsKey {
			s.keys.outbox.QueueCompletion(deduplicator.Completion{Key: c.Key, RequestID: c.RequestID, Outcome: fuchsiapitch.OutcomeNotRun})
		}
		return
	}
	delete(s.keys.waitingRequests, c.Key)
	if holdsKey {
		f.reservation.holdsKey = true
		s.place(f)
		return
	}
	if !s.endIfKeyTaken(f) {
		s.refuse(f, fuchsiapitch.RefusedKeyInProgress, keyRetryAfter)
	}
}

// tickKeys appends the claims and completions that are due and refuses requests
// whose claim was not read back in time.
func (s *State) tickKeys() {
	if s.hasApplicationServices() {
		s.followKeyStreams()
	}
	for _, id := range sortedKeys(s.keys.pendingClaims) {
		c := s.keys.pendingClaims[id]
		f, ok := s.requests[id]
		switch {
		case ok && (s.now.Monotonic()-f.reservation.claimedAt >= reservationTimeout || s.now.HasReached(f.deadline)):
			s.refuse(f, fuchsiapitch.RefusedLogUnavailable, keyRetryAfter)
		case !ok && s.now.Wall().After(c.RequestExpiresAt):
			delete(s.keys.pendingClaims, id)
		}
	}
	s.appendKeyRecords()
}

func (s *State) hasApplicationServices() bool {
	for _, v := range s.configuration.Services() {
		if v.Kind() == fuchsiapitch.ApplicationService {
			return true
		}
	}
	return false
}
