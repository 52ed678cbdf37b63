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
	// reserveLimit is the longest wait for a claim to come back from the log.
	reserveLimit = 5 * time.Second
	// expiryMargin is added to the deadline of a request to allow for the
	// difference between the clocks of hosts.
	expiryMargin = 5 * time.Second
	// keyedTimeLimit bounds the time for which a request with a key may run, so
	// that its key is remembered for longer than it runs.
	keyedTimeLimit = deduplicator.Retention / 2
	// sharedAnswerBytes is the largest answer that is appended to the log, so
	// that every host can replay it.
	sharedAnswerBytes = 4 << 10
	// keptAnswerBytes is the largest answer that this host itself can replay.
	keptAnswerBytes = 64 << 10
	// keyRetryAfter is the hint for a retry of a refused request with a key.
	keyRetryAfter = time.Second
)

// reservation is the state of the idempotency key of one request.
type reservation struct {
	key deduplicator.Key
	// since is the monotonic time of the claim.
	since time.Duration
	// won states that the folded claim of this request holds the key.
	won bool
	// answer is the whole answer, once it is known.
	answer *deduplicator.Answer
}

// keyState is what this host knows and does about idempotency keys.
type keyState struct {
	fold      *deduplicator.Deduplicator
	outbox    *deduplicator.Outbox
	following bool
	// claims are the claims of this host that may stand in the log and have not
	// been folded, also those whose requests have ended meanwhile.
	claims map[fuchsiapitch.RequestID]deduplicator.Claim
	// claiming names the request of this host that waits for a key.
	claiming map[deduplicator.Key]fuchsiapitch.RequestID
}

func newKeyState() *keyState {
	return &keyState{
		fold: deduplicator.New(), outbox: &deduplicator.Outbox{},
		claims:   make(map[fuchsiapitch.RequestID]deduplicator.Claim),
		claiming: make(map[deduplicator.Key]fuchsiapitch.RequestID),
	}
}

// needsReservation reports whether a request must hold its key before it is
// sent. A request that may be repeated needs no key.
func needsReservation(request fuchsiapitch.Request) bool {
	return request.Key() != "" && !request.Idempotent()
}

// reserve claims the key of a request, or ends the request by what is known of
// the key already.
func (s *State) reserve(f *flight) {
	r := f.request
	key := deduplicator.NewKey(r.Customer(), r.Service(), r.Key())
	f.deadline = s.now.Add(min(r.TimeLimit(), keyedTimeLimit))
	f.phase, f.reservation = reserving, &reservation{key: key, since: s.now.Monotonic()}
	s.followKeys()
	if s.judgeKey(f) {
		return
	}
	if _, busy := s.keys.claiming[key]; busy {
		s.refuse(f, fuchsiapitch.RefusedKeyInProgress, keyRetryAfter)
		return
	}
	c := deduplicator.Claim{
		Key: key, Request: r.ID(), BodyHash: r.BodyHash(),
		Stamp: s.now.Wall(), Expiry: f.deadline.Wall().Add(expiryMargin),
	}
	if !s.keys.outbox.Claim(c) {
		s.refuse(f, fuchsiapitch.RefusedOverload, keyRetryAfter)
		return
	}
	s.keys.claims[r.ID()], s.keys.claiming[key] = c, r.ID()
	s.appendKeys()
}

// judgeKey ends a request whose key is not free. It returns false otherwise.
func (s *State) judgeKey(f *flight) bool {
	v := s.keys.fold.Look(s.now.Wall(), f.reservation.key, f.request.BodyHash())
	switch v.Standing {
	case deduplicator.InProgress:
		s.refuse(f, fuchsiapitch.RefusedKeyInProgress, keyRetryAfter)
	case deduplicator.Reused:
		s.refuse(f, fuchsiapitch.RefusedKeyReuse, 0)
	case deduplicator.Full:
		s.refuse(f, fuchsiapitch.RefusedOverload, keyRetryAfter)
	case deduplicator.Unclear:
		s.finish(f, fuchsiapitch.Unknown)
	case deduplicator.Answered:
		s.remove(f)
		s.emit(ReplayAnswer{
			Request: f.request.ID(), Status: v.Answer.Status,
			ContentType: v.Answer.ContentType, Body: v.Answer.Body,
		})
	case deduplicator.Free:
		return false
	}
	return true
}

// storeAnswer keeps the whole answer of a request that holds its key.
func (s *State) storeAnswer(e AnswerStored) {
	f, ok := s.requests[e.Request]
	if !ok || f.reservation == nil || len(e.Body) > keptAnswerBytes {
		return
	}
	f.reservation.answer = &deduplicator.Answer{Status: e.Status, ContentType: e.ContentType, Body: e.Body}
}

// releaseKey makes known how the request that holds a key has ended, or takes
// back the claim of a request that never held it.
func (s *State) releaseKey(f *flight, outcome fuchsiapitch.Outcome) {
	r := f.reservation
	if r == nil {
		return
	}
	id := f.request.ID()
	if s.keys.claiming[r.key] == id {
		delete(s.keys.claiming, r.key)
		if s.keys.outbox.Withdraw(r.key, id) {
			delete(s.keys.claims, id)
		}
	}
	if !r.won {
		return
	}
	c := deduplicator.Completion{Key: r.key, Request: id, Outcome: outcome}
	if outcome == fuchsiapitch.Succeeded {
		c.Answer = r.answer
	}
	s.keys.fold.Complete(c)
	if c.Answer != nil && len(c.Answer.Body) > sharedAnswerBytes {
		c.Answer = nil
	}
	s.keys.outbox.Complete(c)
	s.appendKeys()
}

// appendKeys appends what waits, within this host's share of the log.
func (s *State) appendKeys() {
	for _, a := range s.keys.outbox.Due(s.now.Monotonic(), len(s.members.Live())) {
		data, err := encoder.EncodeKeyGroup(a.Group)
		if err != nil {
			s.violate("encodable-keys", err.Error())
			s.endAppend(a.Shard, a.Record, deduplicator.Lost)
			continue
		}
		s.emit(AppendRecord{Stream: keyStream(a.Shard), Record: fuchsiapitch.NewRecord(a.Record, data)})
	}
}

func keyStream(shard int) fuchsiapitch.StreamName {
	return fuchsiapitch.StreamName(KeyStreamPrefix + strconv.Itoa(shard))
}

// shardOf returns the number of a key stream.
func shardOf(stream fuchsiapitch.StreamName) (int, bool) {
	shard, err := strconv.Atoi(strings.TrimPrefix(string(stream), KeyStreamPrefix))
	return shard, err == nil && shard >= 0 && shard < deduplicator.ShardCount
}

// followKeys has the key streams read from their beginnings.
func (s *State) followKeys() {
	if s.keys.following {
		return
	}
	s.keys.following = true
	for shard := range deduplicator.ShardCount {
		s.emit(FollowStream{Stream: keyStream(shard), From: 1})
	}
}

// applyKeyLog folds the streams of reserved idempotency keys.
func (s *State) applyKeyLog(event Event) {
	shard, ok := shardOf(streamOf(event))
	if !ok {
		return
	}
	switch e := event.(type) {
	case RecordsRead:
		for _, r := range e.Batch.Records() {
			s.foldKeys(shard, r)
		}
	case ReadTruncated:
		s.emit(FollowStream{Stream: e.Stream, From: e.Oldest})
	case AppendEnded:
		results := map[AppendResult]deduplicator.Result{
			Appended: deduplicator.Landed, NotAppended: deduplicator.Lost, MaybeAppended: deduplicator.Uncertain,
		}
		s.endAppend(shard, e.Record, results[e.Result])
	}
	s.appendKeys()
}

// endAppend refuses the requests whose claims are certainly not in the log.
func (s *State) endAppend(shard int, record fuchsiapitch.RecordID, result deduplicator.Result) {
	for _, c := range s.keys.outbox.Ended(s.now.Monotonic(), shard, record, result) {
		delete(s.keys.claims, c.Request)
		if f, ok := s.requests[c.Request]; ok {
			s.refuse(f, fuchsiapitch.RefusedLogAway, keyRetryAfter)
		}
	}
}

func (s *State) foldKeys(shard int, record fuchsiapitch.Record) {
	group, err := encoder.DecodeKeyGroup(record.Data())
	if err != nil {
		s.violate("readable-keys", err.Error())
		return
	}
	s.keys.fold.Fold(shard, group)
	s.keys.outbox.Folded(shard, record.ID())
	for _, c := range group.Claims {
		if _, own := s.keys.claims[c.Request]; own {
			s.resolve(c)
		}
	}
}

// resolve ends the wait for a claim of this host that has been folded.
func (s *State) resolve(c deduplicator.Claim) {
	delete(s.keys.claims, c.Request)
	won := s.keys.fold.Holds(c.Key, c.Request)
	f, ok := s.requests[c.Request]
	if !ok {
		if won {
			s.keys.outbox.Complete(deduplicator.Completion{Key: c.Key, Request: c.Request, Outcome: fuchsiapitch.NotRun})
		}
		return
	}
	delete(s.keys.claiming, c.Key)
	if won {
		f.reservation.won = true
		s.place(f)
		return
	}
	if !s.judgeKey(f) {
		s.refuse(f, fuchsiapitch.RefusedKeyInProgress, keyRetryAfter)
	}
}

// tickKeys appends the reservations that wait for a batch and refuses requests
// whose claim does not come back.
func (s *State) tickKeys() {
	if s.hasApplications() {
		s.followKeys()
	}
	for _, id := range sortedKeys(s.keys.claims) {
		c := s.keys.claims[id]
		f, ok := s.requests[id]
		switch {
		case ok && (s.now.Monotonic()-f.reservation.since >= reserveLimit || s.now.Past(f.deadline)):
			s.refuse(f, fuchsiapitch.RefusedLogAway, keyRetryAfter)
		case !ok && s.now.Wall().After(c.Expiry):
			delete(s.keys.claims, id)
		}
	}
	s.appendKeys()
}

func (s *State) hasApplications() bool {
	for _, v := range s.configuration.Services() {
		if v.Kind() == fuchsiapitch.ApplicationService {
			return true
		}
	}
	return false
}
