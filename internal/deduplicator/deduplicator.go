package deduplicator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// keyLimit is the largest number of keys remembered in one shard. New keys
	// are refused beyond it, since an early loss of a key would allow a
	// repetition.
	keyLimit = 8192
	// answerBytesLimit bounds the stored answers of one shard. The oldest
	// answers are dropped first; their keys stay.
	answerBytesLimit = 1 << 20
	// stampTolerance is the largest age of a claim against the latest stamp of
	// its shard. The wall clocks of the hosts must agree better than this.
	stampTolerance = time.Minute
)

// entry is the state of one key.
type entry struct {
	request  fuchsiapitch.RequestID
	bodyHash uint64
	stamp    time.Time
	expiry   time.Time
	outcome  fuchsiapitch.Outcome
	answer   *Answer
}

// shard is the fold of one key stream.
type shard struct {
	entries map[Key]*entry
	// order holds the keys in the order of their claims. A key that was claimed
	// again stands in it more than once.
	order []Key
	// horizon is the latest stamp that was folded.
	horizon time.Time
	// answers holds the keys with answers in the order of their completions.
	answers     []Key
	answerBytes int
}

// Deduplicator is the fold of all key streams.
type Deduplicator struct {
	shards [ShardCount]shard
}

// New returns an empty fold.
func New() *Deduplicator {
	d := &Deduplicator{}
	for i := range d.shards {
		d.shards[i].entries = make(map[Key]*entry)
	}
	return d
}

// Look returns what a key means for a request with a body, by what is folded
// so far. Only a folded claim decides that a request may run.
func (d *Deduplicator) Look(wall time.Time, key Key, bodyHash uint64) Verdict {
	s := &d.shards[key.Shard()]
	e, ok := s.entries[key]
	switch {
	case !ok || e.outcome == fuchsiapitch.OutcomeNotRun:
		if len(s.entries) >= keyLimit {
			return Verdict{Standing: Full}
		}
		return Verdict{Standing: Free}
	case e.bodyHash != bodyHash:
		return Verdict{Standing: Reused}
	case e.answer != nil:
		return Verdict{Standing: Answered, Answer: *e.answer}
	case e.outcome == 0 && wall.Before(e.expiry):
		return Verdict{Standing: InProgress}
	}
	return Verdict{Standing: Unclear}
}

// Holds reports whether a folded claim has given the key to the request.
func (d *Deduplicator) Holds(key Key, request fuchsiapitch.RequestID) bool {
	e, ok := d.shards[key.Shard()].entries[key]
	return ok && e.request == request && e.outcome == 0
}

// Keys returns the number of remembered keys.
func (d *Deduplicator) Keys() int {
	count := 0
	for i := range d.shards {
		count += len(d.shards[i].entries)
	}
	return count
}

// Fold takes in the next record of a shard. It depends on the records alone, so
// that every host comes to the same winners. A record folded twice changes
// nothing the second time.
func (d *Deduplicator) Fold(number int, group Group) {
	s := &d.shards[number]
	for _, c := range group.Completions {
		s.complete(c)
	}
	for _, c := range group.Claims {
		s.claim(c)
	}
	s.expire()
}

// Complete takes in the end of a request of this host before its record is
// folded, so that its answer can be replayed at once. A release does not count
// before it is folded: a claim that stands before it in the log must lose on
// this host as it does on every other.
func (d *Deduplicator) Complete(c Completion) {
	if c.Outcome != fuchsiapitch.OutcomeNotRun {
		d.shards[c.Key.Shard()].complete(c)
	}
}

// claim gives a free key to a request. A claim with an old stamp is void: its
// key would be forgotten too early.
func (s *shard) claim(c Claim) {
	if c.Stamp.After(s.horizon) {
		s.horizon = c.Stamp
	}
	if s.horizon.Sub(c.Stamp) > stampTolerance {
		return
	}
	e, known := s.entries[c.Key]
	if known && !s.isExpired(e) && (e.outcome != fuchsiapitch.OutcomeNotRun || e.request == c.Request) {
		return
	}
	if known {
		s.drop(c.Key, e)
	}
	s.entries[c.Key] = &entry{request: c.Request, bodyHash: c.BodyHash, stamp: c.Stamp, expiry: c.Expiry}
	s.order = append(s.order, c.Key)
}

func (s *shard) complete(c Completion) {
	e, ok := s.entries[c.Key]
	if !ok || e.request != c.Request || e.outcome != 0 {
		return
	}
	e.outcome = c.Outcome
	if c.Answer == nil {
		return
	}
	e.answer = c.Answer
	s.answers = append(s.answers, c.Key)
	s.answerBytes += len(c.Answer.Body)
	for s.answerBytes > answerBytesLimit {
		if old, ok := s.entries[s.answers[0]]; ok {
			s.dropAnswer(old)
		}
		s.answers = s.answers[1:]
	}
}

func (s *shard) isExpired(e *entry) bool { return s.horizon.Sub(e.stamp) > Retention }

// expire drops the keys whose retention has passed by the stamps of the log.
func (s *shard) expire() {
	for len(s.order) > 0 {
		e, ok := s.entries[s.order[0]]
		if ok && !s.isExpired(e) {
			return
		}
		if ok {
			s.drop(s.order[0], e)
		}
		s.order = s.order[1:]
	}
}

func (s *shard) drop(key Key, e *entry) {
	s.dropAnswer(e)
	delete(s.entries, key)
}

func (s *shard) dropAnswer(e *entry) {
	if e.answer != nil {
		s.answerBytes -= len(e.answer.Body)
		e.answer = nil
	}
}
