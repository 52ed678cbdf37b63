package scheduler

// Mechanism is a part of the scheduling policy that can be disabled, so that its
// effect can be measured.
type Mechanism int

// The mechanisms.
const (
	// RankOrder starts requests of more urgent ranks first.
	RankOrder Mechanism = iota + 1
	// Floors guarantees each lower rank a fraction of the capacity.
	Floors
	// Headroom keeps slots free for the most urgent rank.
	Headroom
	// ShareHeadroom keeps slots free for the small customers of the most urgent
	// rank.
	ShareHeadroom
	// SharePreemption preempts streams of lower ranks of customers above their
	// share while requests of small customers wait.
	SharePreemption
	// FairQueueing shares the service of a rank between customers by weight.
	FairQueueing
	// Preemption stops streams of lower ranks while urgent requests wait.
	Preemption
	// AdaptiveConcurrency lowers the concurrency limit of a replica whose tokens
	// come later than the targets of the ranks.
	AdaptiveConcurrency
	// EarlyRefusal refuses a request whose estimated wait exceeds the target of its
	// rank or its time limit.
	EarlyRefusal
	// PrefixAffinity prefers the same replica for requests with equal prompt
	// prefixes.
	PrefixAffinity
	// AffinityBound skips a replica for PrefixAffinity whose load is well above the
	// mean.
	AffinityBound
	// StragglerAvoidance sends fewer requests to a replica that is slower than its
	// peers.
	StragglerAvoidance
	// NonIdempotentReserve keeps slots of an application service for calls that are
	// not idempotent.
	NonIdempotentReserve
)

// Option sets one optional property of a scheduler.
type Option func(*Scheduler)

// Without disables mechanisms.
func Without(mechanisms ...Mechanism) Option {
	return func(s *Scheduler) {
		for _, m := range mechanisms {
			s.disabledMechanisms[m] = true
		}
	}
}

// WithQueueLimit bounds the queue of each class, in requests and in bytes of
// request bodies. One customer cannot fill it: each may hold at most as much as is
// left free.
func WithQueueLimit(requests int, bytes int64) Option {
	return func(s *Scheduler) { s.queueRequestLimit, s.queueByteLimit = requests, bytes }
}
