package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// Effect is an action for the runner to carry out. Effects are plain data.
type Effect interface{ effect() }

// RequestEffect is an effect that the handler of one request carries out.
type RequestEffect interface {
	Effect
	// RequestID returns the identifier of the request that the effect is for.
	RequestID() fuchsiapitch.RequestID
}

// StartAttempt makes the request handler send the request to a replica that
// this host dispatches for.
type StartAttempt struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt. The events of the attempt carry the
	// same number.
	Attempt uint64
	Replica fuchsiapitch.Replica
	// TokenOffset is the number of tokens that the client has already received.
	TokenOffset int
	// Priority is the priority of the request at the engine; 0 is the most
	// urgent.
	Priority int
	// Deadline is the time after which the handler must not send, on either clock.
	// The handler checks it immediately before it sends, since the process may
	// have been paused.
	Deadline fuchsiapitch.Instant
}

// ForwardRequest makes the request handler forward the request to the
// dispatcher on another host.
type ForwardRequest struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt; ForwardEnded carries it.
	Attempt uint64
	// Host is the host of the dispatcher.
	Host fuchsiapitch.Host
	// TokenOffset is the number of tokens that the client has already received.
	TokenOffset int
	// Deadline is the time after which the handler must not forward, on either
	// clock.
	Deadline fuchsiapitch.Instant
}

// PreemptAttempt makes the request handler end its attempt, so that more urgent
// requests can run. The handler then reports AttemptEnded with Preempted set.
type PreemptAttempt struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt to end.
	Attempt uint64
}

// RefuseRequest makes the request handler refuse the request. A refused request
// was not run.
type RefuseRequest struct {
	Request fuchsiapitch.RequestID
	Reason  fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}

// FinishRequest makes the request handler end the request with an outcome.
type FinishRequest struct {
	Request fuchsiapitch.RequestID
	Outcome fuchsiapitch.Outcome
}

// ReplayResponse makes the request handler send the client the stored response
// to an earlier request with the same idempotency key.
type ReplayResponse struct {
	Request fuchsiapitch.RequestID
	// Status is the HTTP status of the response.
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
// host. The runner reports ConfigurationFetched even if the host does not
// respond.
type FetchConfiguration struct {
	Host fuchsiapitch.Host
	// Since is the offset after which changes are wanted.
	Since fuchsiapitch.Offset
}

// ProbeServer requests the status of a backend server.
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
func (e ReplayResponse) RequestID() fuchsiapitch.RequestID { return e.Request }

func (StartAttempt) effect()       {}
func (ForwardRequest) effect()     {}
func (PreemptAttempt) effect()     {}
func (RefuseRequest) effect()      {}
func (FinishRequest) effect()      {}
func (ReplayResponse) effect()     {}
func (SendHeartbeat) effect()      {}
func (FollowStream) effect()       {}
func (AppendRecord) effect()       {}
func (FetchConfiguration) effect() {}
func (ProbeServer) effect()        {}
func (SendOrder) effect()          {}
func (ReportViolation) effect()    {}
