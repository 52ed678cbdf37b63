package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// Effect is something that the runner has to do. Effects are plain records.
type Effect interface{ effect() }

// Directive is an effect that tells the holder of one request what to do next.
type Directive interface {
	Effect
	// Subject returns the request that the directive is for.
	Subject() fuchsiapitch.RequestID
}

// StartAttempt has the holder send its request to a replica of this host.
type StartAttempt struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Attempt numbers the attempt; its events carry the number.
	Attempt uint64
	// Replica is the replica to send to.
	Replica fuchsiapitch.Replica
	// Offset is the number of tokens that the caller already has.
	Offset int
	// Priority is the engine's priority; 0 is the most urgent.
	Priority int
	// Deadline is the time after which the holder must not send, on either
	// clock. It checks right before it sends, since the process may have been
	// paused.
	Deadline fuchsiapitch.Instant
}

// ForwardRequest has the holder hand its request to a dispatcher.
type ForwardRequest struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Attempt numbers the attempt; its end carries the number.
	Attempt uint64
	// Host is the dispatcher.
	Host fuchsiapitch.Host
	// Offset is the number of tokens that the caller already has.
	Offset int
	// Deadline is the time after which the holder must not forward, on either
	// clock.
	Deadline fuchsiapitch.Instant
}

// PreemptAttempt has the holder end its attempt, so that more urgent work can
// run. The holder reports AttemptEnded with Stopped set.
type PreemptAttempt struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt to end.
	Attempt uint64
}

// RefuseRequest has the holder tell the caller that the request was not run.
type RefuseRequest struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Reason states why.
	Reason fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}

// FinishRequest has the holder end the request with an outcome.
type FinishRequest struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Outcome states what is known of the request.
	Outcome fuchsiapitch.Outcome
}

// ReplayAnswer has the holder give the caller the stored answer of an earlier
// request with the same idempotency key.
type ReplayAnswer struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Status is the HTTP status of the answer.
	Status int
	// ContentType is the content type of the answer.
	ContentType string
	// Body is the body of the answer.
	Body []byte
}

// SendHeartbeat has a heartbeat sent to another entry host.
type SendHeartbeat struct {
	// To is the host to send to.
	To fuchsiapitch.Host
	// Heartbeat is the message.
	Heartbeat gossiper.Heartbeat
}

// FollowStream has a stream of the log read from an offset on, and every record
// reported. A later FollowStream of the same stream replaces the earlier one.
type FollowStream struct {
	// Stream is the stream.
	Stream fuchsiapitch.StreamName
	// From is the first offset to read.
	From fuchsiapitch.Offset
}

// AppendRecord has a record appended to a stream of the log.
type AppendRecord struct {
	// Stream is the stream.
	Stream fuchsiapitch.StreamName
	// Record is the record.
	Record fuchsiapitch.Record
}

// FetchState has another entry host asked for what has changed in its
// configuration. The runner reports StateFetched in any case.
type FetchState struct {
	// Host is the host to ask.
	Host fuchsiapitch.Host
	// Since is the offset after which changes are wanted.
	Since fuchsiapitch.Offset
}

// ProbeServer has a backend server asked for its own account.
type ProbeServer struct {
	// Server is the backend server.
	Server fuchsiapitch.BackendServer
}

// GiveOrder has an order given to a backend server. The runner drops it
// unsent when the expiry has passed on either clock.
type GiveOrder struct {
	// Server is the backend server.
	Server fuchsiapitch.BackendServer
	// Order is the order.
	Order fuchsiapitch.Order
	// Expiry is the end of the lease that allows the order.
	Expiry fuchsiapitch.Instant
}

// ReportViolation has the violation of an invariant logged and counted.
type ReportViolation struct {
	// Violation is the violated invariant.
	Violation *fuchsiapitch.InvariantError
}

// Subject implements Directive.
func (e StartAttempt) Subject() fuchsiapitch.RequestID { return e.Request }

// Subject implements Directive.
func (e ForwardRequest) Subject() fuchsiapitch.RequestID { return e.Request }

// Subject implements Directive.
func (e PreemptAttempt) Subject() fuchsiapitch.RequestID { return e.Request }

// Subject implements Directive.
func (e RefuseRequest) Subject() fuchsiapitch.RequestID { return e.Request }

// Subject implements Directive.
func (e FinishRequest) Subject() fuchsiapitch.RequestID { return e.Request }

// Subject implements Directive.
func (e ReplayAnswer) Subject() fuchsiapitch.RequestID { return e.Request }

func (StartAttempt) effect()    {}
func (ForwardRequest) effect()  {}
func (PreemptAttempt) effect()  {}
func (RefuseRequest) effect()   {}
func (FinishRequest) effect()   {}
func (ReplayAnswer) effect()    {}
func (SendHeartbeat) effect()   {}
func (FollowStream) effect()    {}
func (AppendRecord) effect()    {}
func (FetchState) effect()      {}
func (ProbeServer) effect()     {}
func (GiveOrder) effect()       {}
func (ReportViolation) effect() {}
