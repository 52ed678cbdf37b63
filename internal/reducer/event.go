package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// Event is something that happened outside the reducer. Events are plain
// records: they carry data from the runner and have no behaviour.
type Event interface{ event() }

// Ticked reports that time has passed.
type Ticked struct{}

// RequestReceived reports a request of a caller at this host.
type RequestReceived struct {
	// Request describes the request.
	Request fuchsiapitch.Request
}

// RequestOffered reports a request that another entry host hands to this host
// as dispatcher.
type RequestOffered struct {
	// Request describes the request.
	Request fuchsiapitch.Request
	// From is the host that hands the request over.
	From fuchsiapitch.Host
	// Offset is the number of tokens that the caller already has.
	Offset int
}

// RequestAbandoned reports that the caller of a request has gone.
type RequestAbandoned struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
}

// AttemptAnswered reports the first token, or the header of a plain answer.
type AttemptAnswered struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt that the event is of.
	Attempt uint64
	// Wait is the time from the start of the attempt.
	Wait time.Duration
}

// AttemptProgressed reports tokens that have arrived since the last report.
type AttemptProgressed struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt that the event is of.
	Attempt uint64
	// Tokens is the number of tokens since the last report.
	Tokens int
	// Elapsed is the time since the last report.
	Elapsed time.Duration
}

// AttemptEnded reports the end of an attempt at a replica.
type AttemptEnded struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt that the event is of.
	Attempt uint64
	// Outcome states what is known of the attempt.
	Outcome fuchsiapitch.Outcome
	// Tokens is the number of tokens that the caller has in all.
	Tokens int
	// Answered states that the header of a plain answer has reached the caller,
	// so that another attempt cannot replace it.
	Answered bool
	// Stopped states that the attempt was ended by a PreemptAttempt.
	Stopped bool
	// Unreachable states that the replica itself is lost.
	Unreachable bool
}

// ForwardEnded reports the end of a request that was handed to a dispatcher.
type ForwardEnded struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Attempt is the number of the attempt that the event is of.
	Attempt uint64
	// Host is the dispatcher.
	Host fuchsiapitch.HostID
	// Outcome states what is known of the request.
	Outcome fuchsiapitch.Outcome
	// Refusal is the dispatcher's reason for not running it, 0 if none.
	Refusal fuchsiapitch.RefusalReason
	// RetryAfter is the dispatcher's hint for a retry, 0 if none.
	RetryAfter time.Duration
	// Tokens is the number of tokens that the caller has in all.
	Tokens int
	// Answered states that the header of a plain answer has reached the caller.
	Answered bool
	// Unreachable states that the dispatcher itself is lost.
	Unreachable bool
}

// AnswerStored reports the whole answer of a request with an idempotency key.
type AnswerStored struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Status is the HTTP status of the answer.
	Status int
	// ContentType is the content type of the answer.
	ContentType string
	// Body is the body of the answer.
	Body []byte
}

// HeartbeatReceived reports a heartbeat of another entry host.
type HeartbeatReceived struct {
	// Heartbeat is the message.
	Heartbeat gossiper.Heartbeat
}

// HeartbeatFailed reports that a heartbeat got no answer.
type HeartbeatFailed struct {
	// Host is the host that did not answer.
	Host fuchsiapitch.HostID
}

// RecordsRead reports the next records of a followed stream.
type RecordsRead struct {
	// Stream is the stream.
	Stream fuchsiapitch.StreamName
	// From is the offset that was read from.
	From fuchsiapitch.Offset
	// Batch holds the records, at most BatchLimit.
	Batch fuchsiapitch.Batch
}

// ReadFailed reports that the log did not answer a read.
type ReadFailed struct {
	// Stream is the stream.
	Stream fuchsiapitch.StreamName
}

// ReadTruncated reports that the log no longer keeps the followed offset.
type ReadTruncated struct {
	// Stream is the stream.
	Stream fuchsiapitch.StreamName
	// Oldest is the oldest offset still kept.
	Oldest fuchsiapitch.Offset
}

// StateFetched reports what an entry host gave of its configuration.
type StateFetched struct {
	// Host is the host that was asked.
	Host fuchsiapitch.HostID
	// Snapshot is its state, with offset 0 if it did not answer.
	Snapshot configurer.Snapshot
}

// AppendResult states what is known of an append.
type AppendResult int

// The results of an append.
const (
	// Appended means that the record is in the stream.
	Appended AppendResult = iota + 1
	// NotAppended means that the record is not in the stream.
	NotAppended
	// MaybeAppended means that the answer was lost.
	MaybeAppended
)

// AppendEnded reports the end of an append.
type AppendEnded struct {
	// Stream is the stream.
	Stream fuchsiapitch.StreamName
	// Record is the record.
	Record fuchsiapitch.RecordID
	// Offset is the offset of the record, if it was appended.
	Offset fuchsiapitch.Offset
	// Result states what is known.
	Result AppendResult
}

// ServersListed reports the platform's list of backend servers.
type ServersListed struct {
	// Servers are the listed backend servers of all data centres.
	Servers []fuchsiapitch.BackendServer
}

// ServerReported reports a backend server's own account.
type ServerReported struct {
	// Account is the account.
	Account fuchsiapitch.Account
}

// ServerSilent reports that a backend server did not answer a probe.
type ServerSilent struct {
	// Server is the backend server.
	Server fuchsiapitch.ServerID
}

// OrderEnded reports the end of an order.
type OrderEnded struct {
	// Server is the backend server.
	Server fuchsiapitch.ServerID
	// Fence is the fencing number of the order.
	Fence fuchsiapitch.Fence
	// Account is the account after the order, if it answered.
	Account fuchsiapitch.Account
	// Outcome is Succeeded, Failed when the engine refused the fencing number,
	// and Unknown when no answer came.
	Outcome fuchsiapitch.Outcome
}

// StopRequested reports that this host is to stop gracefully.
type StopRequested struct{}

func (Ticked) event()            {}
func (RequestReceived) event()   {}
func (RequestOffered) event()    {}
func (RequestAbandoned) event()  {}
func (AttemptAnswered) event()   {}
func (AttemptProgressed) event() {}
func (AttemptEnded) event()      {}
func (ForwardEnded) event()      {}
func (AnswerStored) event()      {}
func (HeartbeatReceived) event() {}
func (HeartbeatFailed) event()   {}
func (RecordsRead) event()       {}
func (ReadFailed) event()        {}
func (ReadTruncated) event()     {}
func (StateFetched) event()      {}
func (AppendEnded) event()       {}
func (ServersListed) event()     {}
func (ServerReported) event()    {}
func (ServerSilent) event()      {}
func (OrderEnded) event()        {}
func (StopRequested) event()     {}
