package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// Effect is an action for the runner to carry out. Effects are plain data.
type Effect interface{ effect() }

// RequestEffect is an effect for the handler of one request.
type RequestEffect interface {
	Effect
	// RequestID returns the request that the effect is for.
	RequestID() fuchsiapitch.RequestID
}

// StartAttempt tells the handler of a request to send it to a replica of this
// host.
type StartAttempt struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt; the events of the attempt carry it.
	Attempt uint64
	Replica fuchsiapitch.Replica
	// Offset is the number of tokens that the caller has already received.
	Offset int
	// Priority is the priority of the request at the engine; 0 is the most
	// urgent.
	Priority int
	// Deadline is the time after which the handler must not send, on either
	// clock. The handler checks it right before it sends, since the process may
	// have been paused.
	Deadline fuchsiapitch.Instant
}

// ForwardRequest tells the handler of a request to forward it to a dispatcher on
// another host.
type ForwardRequest struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt; ForwardEnded carries it.
	Attempt uint64
	// Host is the dispatcher.
	Host fuchsiapitch.Host
	// Offset is the number of tokens that the caller has already received.
	Offset int
	// Deadline is the time after which the handler must not forward, on either
	// clock.
	Deadline fuchsiapitch.Instant
}

// PreemptAttempt tells the handler of a request to end its attempt, so that more
// urgent requests can run. The handler reports AttemptEnded with Preempted set.
type PreemptAttempt struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt to end.
	Attempt uint64
}

// RefuseRequest tells the handler to inform the caller that the request was not
// run.
type RefuseRequest struct {
	Request fuchsiapitch.RequestID
	Reason  fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}

// FinishRequest tells the handler to end the request with an outcome.
type FinishRequest struct {
	Request fuchsiapitch.RequestID
	Outcome fuchsiapitch.Outcome
}

// ReplayAnswer tells the handler to send the caller the stored answer of an
// earlier request with the same idempotency key.
type ReplayAnswer struct {
	Request fuchsiapitch.RequestID
	// Status is the HTTP status of the answer.
	Status      int
	ContentType string
	Body        []byte
}

// SendHeartbeat sends a heartbeat to another entry host.
type SendHeartbeat struct {
	To        fuchsiapitch.Host
	Heartbeat gossiper.Heartbeat
}

// FollowStream reads a stream of the log from an offset on and reports every
// record in RecordsRead events. A later FollowStream of the same stream replaces
// the earlier one.
type FollowStream struct {
	Stream fuchsiapitch.StreamName
	// From is the first offset to read.
	From fuchsiapitch.Offset
}

// AppendRecord appends a record to a stream of the log.
type AppendRecord struct {
	Stream fuchsiapitch.StreamName
	Record fuchsiapitch.Record
}

// FetchConfiguration fetches changes to the configuration from another entry
// host. The runner reports ConfigurationFetched even if the host does not answer.
type FetchConfiguration struct {
	Host fuchsiapitch.Host
	// Since is the offset after which changes are wanted.
	Since fuchsiapitch.Offset
}

// ProbeServer asks a backend server to report its assignment and state.
type ProbeServer struct {
	Server fuchsiapitch.BackendServer
}

// SendOrder sends an order to a backend server. The runner does not send it once
// LeaseExpiry has passed on either clock.
type SendOrder struct {
	Server fuchsiapitch.BackendServer
	Order  fuchsiapitch.Order
	// LeaseExpiry is the end of the lease that permits the order.
	LeaseExpiry fuchsiapitch.Instant
}

// ReportViolation logs and counts the violation of an invariant.
type ReportViolation struct {
	Violation *fuchsiapitch.InvariantError
}

// RequestID implements RequestEffect.
func (e StartAttempt) RequestID() fuchsiapitch.RequestID { return e.Request }

// RequestID implements RequestEffect.
func (e ForwardRequest) RequestID() fuchsiapitch.RequestID { return e.Request }

// RequestID implements RequestEffect.
func (e PreemptAttempt) RequestID() fuchsiapitch.RequestID { return e.Request }

// RequestID implements RequestEffect.
func (e RefuseRequest) RequestID() fuchsiapitch.RequestID { return e.Request }

// RequestID implements RequestEffect.
func (e FinishRequest) RequestID() fuchsiapitch.RequestID { return e.Request }

// RequestID implements RequestEffect.
func (e ReplayAnswer) RequestID() fuchsiapitch.RequestID { return e.Request }

func (StartAttempt) effect()       {}
func (ForwardRequest) effect()     {}
func (PreemptAttempt) effect()     {}
func (RefuseRequest) effect()      {}
func (FinishRequest) effect()      {}
func (ReplayAnswer) effect()       {}
func (SendHeartbeat) effect()      {}
func (FollowStream) effect()       {}
func (AppendRecord) effect()       {}
func (FetchConfiguration) effect() {}
func (ProbeServer) effect()        {}
func (SendOrder) effect()          {}
func (ReportViolation) effect()    {}
