package scheduler

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Admission is the answer to an offered request.
type Admission struct {
	// Accepted states that the request waits or runs.
	Accepted bool
	// Reason states why it was refused.
	Reason fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}

// Start is the decision to run a request on a replica.
type Start struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Replica is the replica.
	Replica fuchsiapitch.Replica
	// Priority is the engine's priority; 0 is the most urgent.
	Priority int
}

// Plan is what the scheduler wants done next.
type Plan struct {
	// Starts are the requests to run.
	Starts []Start
	// Preempts are the running requests to stop so that urgent work can run.
	Preempts []fuchsiapitch.RequestID
	// Refusals are waiting requests that can no longer be served in time.
	Refusals []Refusal
}

// Refusal is the decision to give up a waiting request.
type Refusal struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Reason states why.
	Reason fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}
