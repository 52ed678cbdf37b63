package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// Event is an input to the reducer from the runner. Events are plain data.
type Event interface{ event() }

// Ticked reports that TickPeriod has passed.
type Ticked struct{}

// RequestReceived reports a request that a client sent to this host.
type RequestReceived struct {
	Request fuchsiapitch.Request
}

// ForwardedRequestReceived reports a request that another entry host has
// forwarded to this host.
type ForwardedRequestReceived struct {
	Request fuchsiapitch.Request
	// From is the host that forwarded the request.
	From fuchsiapitch.Host
	// TokenOffset is the number of tokens that the client has already received.
	TokenOffset int
}

// RequestAbandoned reports that the client of a request has disconnected. The
// request handler reports it only while no attempt is running.
type RequestAbandoned struct {
	Request fuchsiapitch.RequestID
}

// AttemptResponseStarted reports the first token of a token stream.
type AttemptResponseStarted struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt.
	Attempt uint64
	// Latency is the time since the start of the attempt.
	Latency time.Duration
}

// AttemptProgressed reports the tokens of an attempt since the last report.
type AttemptProgressed struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt.
	Attempt uint64
	// NewTokens is the number of tokens since the last report.
	NewTokens int
	// Elapsed is the time since the last report.
	Elapsed time.Duration
}

// AttemptEnded reports the end of an attempt at a replica.
type AttemptEnded struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt.
	Attempt uint64
	// Outcome is the result of the attempt, OutcomeUnknown if it may have run.
	Outcome fuchsiapitch.Outcome
	// TokensDelivered is the total number of tokens that the client has received.
	TokensDelivered int
	// HeaderSent is true once the response header was passed to the client. Only a
	// token stream can then be continued by another attempt.
	HeaderSent bool
	// Preempted is true if a PreemptAttempt ended the attempt.
	Preempted bool
	// ReplicaUnreachable is true if the connection to the replica failed.
	ReplicaUnreachable bool
}

// ForwardEnded reports the end of a request that was forwarded to a dispatcher.
type ForwardEnded struct {
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt.
	Attempt uint64
	// Host is the host of the dispatcher.
	Host fuchsiapitch.HostID
	// Outcome is the result at the dispatcher, OutcomeUnknown if the request may
	// have run.
	Outcome fuchsiapitch.Outcome
	// Refusal is the reason why the dispatcher refused the request, 0 if it did
	// not.
	Refusal fuchsiapitch.RefusalReason
	// RetryAfter is the time after which the dispatcher suggests a retry, 0 if
	// unknown.
	RetryAfter time.Duration
	// TokensDelivered is the total number of tokens that the client has
	// received.
	TokensDelivered int
	// HeaderSent is true once the response header was passed to the client.
	HeaderSent bool
	// HostUnreachable is true if the connection to the dispatcher's host failed.
	HostUnreachable bool
}

// ResponseReceived reports the complete response to a request with an
// idempotency key.
type ResponseReceived struct {
	Request fuchsiapitch.RequestID
	// Status is the HTTP status of the response.
	Status      int
	ContentType string
	Body        []byte
}

// HeartbeatReceived reports a heartbeat of another entry host.
type HeartbeatReceived struct {
	Heartbeat gossiper.Heartbeat
}

// HeartbeatFailed reports that a host did not respond to a heartbeat.
type HeartbeatFailed struct {
	Host fuchsiapitch.HostID
}

// RecordsRead reports the next records of a followed stream.
type RecordsRead struct {
	Stream fuchsiapitch.StreamName
	// From is the offset that was read from.
	From fuchsiapitch.Offset
	// Batch holds at most MaxReadBatch records.
	Batch fuchsiapitch.Batch
}

// ReadFailed reports that a read of the log failed.
type ReadFailed struct {
	Stream fuchsiapitch.StreamName
}

// StreamTruncated reports that the log no longer holds the record at the
// followed offset.
type StreamTruncated struct {
	Stream fuchsiapitch.StreamName
	// Oldest is the offset of the oldest record that the log still holds.
	Oldest fuchsiapitch.Offset
}

// ConfigurationFetched reports the end of a fetch of changes to the
// configuration.
type ConfigurationFetched struct {
	// Host is the host that the fetch was sent to.
	Host fuchsiapitch.HostID
	// Snapshot is the host's response. Its offset is 0 if the fetch failed or the
	// host has no configuration to offer.
	Snapshot configurer.Snapshot
}

// AppendResult is the known result of an append.
type AppendResult int

// The results of an append.
const (
	// Appended means that the record is in the stream.
	Appended AppendResult = iota + 1
	// NotAppended means that the record is not in the stream.
	NotAppended
	// MaybeAppended means that the append failed and the record may still be in
	// the stream.
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

// EngineStatusReceived reports the status with which a backend server answered
// a probe.
type EngineStatusReceived struct {
	Status fuchsiapitch.EngineStatus
}

// ProbeFailed reports that the probe of a backend server failed.
type ProbeFailed struct {
	Server fuchsiapitch.ServerID
}

// OrderEnded reports the end of an order to a backend server.
type OrderEnded struct {
	Server fuchsiapitch.ServerID
	// FencingToken is the fencing token of the order.
	FencingToken fuchsiapitch.FencingToken
	// EngineStatus is the server's status after the order if Outcome is Succeeded.
	EngineStatus fuchsiapitch.EngineStatus
	// Outcome is Succeeded, Failed when the engine rejected the fencing token,
	// NotRun when the order was not sent, and Unknown after any other error.
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
func (ResponseReceived) event()         {}
func (HeartbeatReceived) event()        {}
func (HeartbeatFailed) event()          {}
func (RecordsRead) event()              {}
func (ReadFailed) event()               {}
func (StreamTruncated) event()          {}
func (ConfigurationFetched) event()     {}
func (AppendEnded) event()              {}
func (ServersListed) event()            {}
func (EngineStatusReceived) event()     {}
func (ProbeFailed) event()              {}
func (OrderEnded) event()               {}
func (StopRequested) event()            {}
