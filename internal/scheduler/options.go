package scheduler

// Mechanism is one part of the policy that can be switched off, so that its
// effect can be measured.
type Mechanism int

// The mechanisms.
const (
	// RankOrder serves the most urgent rank first.
	RankOrder Mechanism = iota + 1
	// Floors keep a share of the capacity for each lower rank.
	Floors
	// Headroom keeps slots free for the most urgent rank.
	Headroom
	// ShareHeadroom keeps slots free for small customers of the most urgent rank.
	ShareHeadroom
	// SharePreemption stops streams of lower ranks of customers over their share
	// while requests of small customers wait.
	SharePreemption
	// FairQueueing shares a rank between its customers by weight.
	FairQueueing
	// Preemption stops background streams while urgent work waits.
	Preemption
	// AdaptiveConcurrency lowers the slots of a replica that is late.
	AdaptiveConcurrency
	// EarlyRefusal refuses a request whose estimated wait is too long.
	EarlyRefusal
	// PrefixAffinity sends equal prompt prefixes to one replica.
	PrefixAffinity
	// AffinityBound passes over a replica that is loaded above the mean.
	AffinityBound
	// StragglerAvoidance gives less work to a replica slower than its peers.
	StragglerAvoidance
	// ReservedCalls keeps slots of an application service for calls that may
	// not be repeated.
	ReservedCalls
)

// Option sets one optional property of a scheduler.
type Option func(*Scheduler)

// Without switches mechanisms off.
func Without(mechanisms ...Mechanism) Option {
	return func(s *Scheduler) {
		for _, m := range mechanisms {
			s.off[m] = true
		}
	}
}

// WithQueueLimit bounds what waits in one rank of one service, in requests and
// in bytes of request bodies. One customer never fills it: each may hold at
// most as much as is left free.
func WithQueueLimit(requests int, bytes int64) Option {
	return func(s *Scheduler) { s.queueRequests, s.queueBytes = requests, bytes }
}
