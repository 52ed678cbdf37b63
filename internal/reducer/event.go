package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// Event is something that happened outside the reducer. Events are plain data
// from the runner and have no behaviour.
type Event interface{ event() }

// Ticked reports that TickPeriod has passed.
type Ticked struct{}

// RequestReceived reports a request that a caller sent to this host.
type RequestReceived struct {
	Request fuchsiapitch.Request
}

// ForwardedRequestReceived reports a request that another entry host has
// forwarded to this host.
type ForwardedRequestReceived struct {
	Request fuchsiapitch.Request
	// From is the host that forwarded the request.
	From fuchsiapitch.Host
	// Offset is the number of tokens that the caller has already received.
	Offset int
}

// RequestAbandoned reports that the caller of a request has disconnected. The
// handler of the request reports it only while no attempt is running.
type RequestAbandoned struct {
	Request fuchsiapitch.RequestID
}

// AttemptResponseStarted reports the first token, or the header of a plain
// answer.
type AttemptResponseStarted struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt that the event belongs to.
	Attempt uint64
	// Latency is the time since the start of the attempt.
	Latency time.Duration
}

// AttemptProgressed reports tokens that have arrived since the last report.
type AttemptProgressed struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt that the event belongs to.
	Attempt uint64
	// Tokens is the number of tokens since the last report.
	Tokens int
	// Elapsed is the time since the last report.
	Elapsed time.Duration
}

// AttemptEnded reports the end of an attempt at a replica.
type AttemptEnded struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt that the event belongs to.
	Attempt uint64
	// Outcome states whether the attempt ran, as far as that is known.
	Outcome fuchsiapitch.Outcome
	// Tokens is the total number of tokens that the caller has received.
	Tokens int
	// HeaderSent states that the header of a plain answer has reached the
	// caller, so that another attempt cannot replace the answer.
	HeaderSent bool
	// Preempted states that a PreemptAttempt ended the attempt.
	Preempted bool
	// Unreachable states that the replica itself could not be reached.
	Unreachable bool
}

// ForwardEnded reports the end of a request that was forwarded to a dispatcher.
type ForwardEnded struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt that the event belongs to.
	Attempt uint64
	// Host is the dispatcher.
	Host fuchsiapitch.HostID
	// Outcome states whether the request ran, as far as that is known.
	Outcome fuchsiapitch.Outcome
	// Refusal is the reason for which the dispatcher refused the request, 0 if
	// it did not.
	Refusal fuchsiapitch.RefusalReason
	// RetryAfter is the time after which the dispatcher suggests a retry, 0 if
	// unknown.
	RetryAfter time.Duration
	// Tokens is the total number of tokens that the caller has received.
	Tokens int
	// HeaderSent states that the header of a plain answer has reached the
	// caller.
	HeaderSent bool
	// Unreachable states that the dispatcher itself could not be reached.
	Unreachable bool
}

// AnswerReceived reports the complete answer of a request with an idempotency
// key.
type AnswerReceived struct {
	Request fuchsiapitch.RequestID
	// Status is the HTTP status of the answer.
	Status      int
	ContentType string
	Body        []byte
}

// HeartbeatReceived reports a heartbeat of another entry host.
type HeartbeatReceived struct {
	Heartbeat gossiper.Heartbeat
}

// HeartbeatFailed reports that a host did not answer a heartbeat.
type HeartbeatFailed struct {
	Host fuchsiapitch.HostID
}

// RecordsRead reports the next records of a followed stream.
type RecordsRead struct {
	Stream fuchsiapitch.StreamName
	// From is the offset that was read from.
	From fuchsiapitch.Offset
	// Batch holds at most ReadBatchLimit records.
	Batch fuchsiapitch.Batch
}

// ReadFailed reports that the log did not answer a read.
type ReadFailed struct {
	Stream fuchsiapitch.StreamName
}

// StreamTruncated reports that the log has dropped the record at the followed
// offset.
type StreamTruncated struct {
	Stream fuchsiapitch.StreamName
	// Oldest is the offset of the oldest record that the log still holds.
	Oldest fuchsiapitch.Offset
}

// ConfigurationFetched reports the end of a fetch of changes to the
// configuration.
type ConfigurationFetched struct {
	// Host is the host that was asked.
	Host fuchsiapitch.HostID
	// Snapshot is the host's answer; its offset is 0 if the host did not answer.
	Snapshot configurer.Snapshot
}

// AppendResult states whether a record was appended, as far as that is known.
type AppendResult int

// The results of an append.
const (
	// Appended means that the record is in the stream.
	Appended AppendResult = iota + 1
	// NotAppended means that the record is not in the stream.
	NotAppended
	// MaybeAppended means that the answer was lost and the record may be in the
	// stream.
	MaybeAppended
)

// AppendEnded reports the end of an append.
type AppendEnded struct {
	Stream fuchsiapitch.StreamName
	Record fuchsiapitch.RecordID
	// Offset is the offset of the record if Result is Appended.
	Offset fuchsiapitch.Offset
	Result AppendResult
}

// ServersListed reports the platform's list of backend servers.
type ServersListed struct {
	// Servers are the listed backend servers of all data centres.
	Servers []fuchsiapitch.BackendServer
}

// ServerAccountReceived reports a backend server's answer to a probe.
type ServerAccountReceived struct {
	Account fuchsiapitch.EngineStatus
}

// ProbeFailed reports that a backend server did not answer a probe.
type ProbeFailed struct {
	Server fuchsiapitch.ServerID
}

// OrderEnded reports the end of an order to a backend server.
type OrderEnded struct {
	Server fuchsiapitch.ServerID
	// Fence is the fencing token of the order.
	Fence fuchsiapitch.FencingToken
	// Account is the server's account after the order if Outcome is Succeeded.
	Account fuchsiapitch.EngineStatus
	// Outcome is Succeeded, Failed when the engine rejected the fencing token,
	// NotRun when the order was not sent, and Unknown when no answer came.
	Outcome fuchsiapitch.Outcome
}

// StopRequested reports that this host is to shut down gracefully.
type StopRequested struct{}

func (Ticked) event()                   {}
func (RequestReceived) event()          {}
func (ForwardedRequestReceived) event() {}
func (RequestAbandoned) event()         {}
func (AttemptResponseStarted) event()   {}
func (AttemptProgressed) event()        {}
func (AttemptEnded) event()             {}
func (ForwardEnded) event()             {}
func (AnswerReceived) event()           {}
func (HeartbeatReceived) event()        {}
func (HeartbeatFailed) event()          {}
func (RecordsRead) event()              {}
func (ReadFailed) event()               {}
func (StreamTruncated) event()          {}
func (ConfigurationFetched) event()     {}
func (AppendEnded) event()              {}
func (ServersListed) event()            {}
func (ServerAccountReceived) event()    {}
func (ProbeFailed) event()              {}
func (OrderEnded) event()               {}
func (StopRequested) event()            {}
