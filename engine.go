package fuchsiapitch

import (
	"context"
	"io"
	"time"
)

// FencingToken protects engines against orders of a deposed controller. It consists
// of the controller's term and the sequence number of the order within that term.
// Tokens compare by term first.
type FencingToken struct {
	term     Term
	sequence uint64
}

// NewFencingToken returns the token of an order.
func NewFencingToken(term Term, sequence uint64) FencingToken {
	return FencingToken{term: term, sequence: sequence}
}

// Term returns the term of the controller that issued the order.
func (f FencingToken) Term() Term { return f.term }

// Sequence returns the sequence number of the order within its term.
func (f FencingToken) Sequence() uint64 { return f.sequence }

// Less reports whether f is older than o.
func (f FencingToken) Less(o FencingToken) bool {
	if f.term != o.term {
		return f.term < o.term
	}
	return f.sequence < o.sequence
}

// Assignment is the membership of a backend server in a group and what it serves
// there. The zero value means that the backend server is in no group.
type Assignment struct {
	group    GroupID
	service  ServiceName
	members  []ServerID
	model    string
	version  string
	adapters []string
}

// NewAssignment returns an assignment to a group. The members are in the order of
// their ranks within the group; the first is the leader, which receives the requests.
func NewAssignment(group GroupID, service ServiceName, members []ServerID, model, version string, adapters ...string) Assignment {
	return Assignment{group: group, service: service, members: members, model: model, version: version, adapters: adapters}
}

// Group returns the identifier of the group, or "" if there is none.
func (a Assignment) Group() GroupID { return a.group }

// Service returns the service that the group serves.
func (a Assignment) Service() ServiceName { return a.service }

// Members returns the backend servers of the group, leader first.
func (a Assignment) Members() []ServerID { return a.members }

// Model returns the model to load.
func (a Assignment) Model() string { return a.model }

// Version returns the version of the model to load.
func (a Assignment) Version() string { return a.version }

// Adapters returns the adapters to load with the model.
func (a Assignment) Adapters() []string { return a.adapters }

// Order instructs a backend server to apply an assignment.
type Order struct {
	fencingToken FencingToken
	assignment   Assignment
}

// NewOrder returns an order with a fencing token.
func NewOrder(fencingToken FencingToken, assignment Assignment) Order {
	return Order{fencingToken: fencingToken, assignment: assignment}
}

// FencingToken returns the fencing token of the order.
func (o Order) FencingToken() FencingToken { return o.fencingToken }

// Assignment returns the assignment to apply.
func (o Order) Assignment() Assignment { return o.assignment }

// EngineStatus is the state that an engine reports.
type EngineStatus struct {
	server           ServerID
	incarnation      uint64
	fencingToken     FencingToken
	assignment       Assignment
	ready            bool
	leaving          bool
	runningRequests  int
	prefixCacheBytes int64
}

// EngineStatusOption sets one optional property of an engine status.
type EngineStatusOption func(*EngineStatus)

// NewEngineStatus returns the status of an engine. The fencing token is the highest
// that the engine has seen.
func NewEngineStatus(server ServerID, incarnation uint64, fencingToken FencingToken, assignment Assignment, options ...EngineStatusOption) EngineStatus {
	s := EngineStatus{server: server, incarnation: incarnation, fencingToken: fencingToken, assignment: assignment}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithReady marks the assignment as loaded and able to serve.
func WithReady() EngineStatusOption { return func(s *EngineStatus) { s.ready = true } }

// WithEngineLeaving marks the backend server as about to leave.
func WithEngineLeaving() EngineStatusOption { return func(s *EngineStatus) { s.leaving = true } }

// WithReportedLoad sets the number of running requests and the size of the prefix
// cache. Both values may be out of date.
func WithReportedLoad(runningRequests int, prefixCacheBytes int64) EngineStatusOption {
	return func(s *EngineStatus) { s.runningRequests, s.prefixCacheBytes = runningRequests, prefixCacheBytes }
}

// Server returns the backend server that the engine runs on.
func (s EngineStatus) Server() ServerID { return s.server }

// Incarnation returns a number that increases with each restart of the engine.
func (s EngineStatus) Incarnation() uint64 { return s.incarnation }

// FencingToken returns the highest fencing token that the engine has seen.
func (s EngineStatus) FencingToken() FencingToken { return s.fencingToken }

// Assignment returns the current assignment of the engine.
func (s EngineStatus) Assignment() Assignment { return s.assignment }

// Ready reports whether the assignment is loaded and can serve.
func (s EngineStatus) Ready() bool { return s.ready }

// Leaving reports whether the backend server is about to leave.
func (s EngineStatus) Leaving() bool { return s.leaving }

// RunningRequests returns the reported number of running requests.
func (s EngineStatus) RunningRequests() int { return s.runningRequests }

// PrefixCacheBytes returns the reported size of the prefix cache in bytes.
func (s EngineStatus) PrefixCacheBytes() int64 { return s.prefixCacheBytes }

// Call is one HTTP request to a backend server.
type Call struct {
	request        RequestID
	method         string
	path           string
	header         map[string][]string
	body           []byte
	enginePriority int
	tokenOffset    int
	streaming      bool
	idempotent     bool
	deadline       time.Time
}

// CallOption sets one optional property of a call.
type CallOption func(*Call)

// NewCall returns a call that must not be repeated.
func NewCall(request RequestID, method, path string, body []byte, options ...CallOption) Call {
	c := Call{request: request, method: method, path: path, body: body}
	for _, o := range options {
		o(&c)
	}
	return c
}

// WithHeader sets the header fields to forward.
func WithHeader(header map[string][]string) CallOption {
	return func(c *Call) { c.header = header }
}

// WithEnginePriority sets the scheduling priority at the engine; 0 is the most urgent.
func WithEnginePriority(enginePriority int) CallOption {
	return func(c *Call) { c.enginePriority = enginePriority }
}

// WithStream requests a stream of tokens that starts after tokenOffset tokens; 0 is
// the beginning.
func WithStream(tokenOffset int) CallOption {
	return func(c *Call) { c.streaming, c.tokenOffset = true, tokenOffset }
}

// WithIdempotent marks the call as safe to repeat.
func WithIdempotent() CallOption { return func(c *Call) { c.idempotent = true } }

// WithDeadline sets the time after which the response is no longer needed.
func WithDeadline(deadline time.Time) CallOption { return func(c *Call) { c.deadline = deadline } }

// Request returns the identifier of the client's request.
func (c Call) Request() RequestID { return c.request }

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Path returns the path and query.
func (c Call) Path() string { return c.path }

// Header returns the header fields to forward.
func (c Call) Header() map[string][]string { return c.header }

// Body returns the body. Callers must not change it.
func (c Call) Body() []byte { return c.body }

// EnginePriority returns the scheduling priority at the engine; 0 is the most urgent.
func (c Call) EnginePriority() int { return c.enginePriority }

// TokenOffset returns the number of tokens after which the stream starts.
func (c Call) TokenOffset() int { return c.tokenOffset }

// Streaming reports whether the response is a stream of tokens.
func (c Call) Streaming() bool { return c.streaming }

// Idempotent reports whether the call may be repeated.
func (c Call) Idempotent() bool { return c.idempotent }

// Deadline returns the time after which the response is no longer needed; the zero
// time means no deadline.
func (c Call) Deadline() time.Time { return c.deadline }

// BackendResponse is the response of a backend server. Its body is read in chunks.
type BackendResponse struct {
	status int
	header map[string][]string
	body   ResponseBody
}

// NewBackendResponse returns a response with an HTTP status, header fields and a body.
func NewBackendResponse(status int, header map[string][]string, body ResponseBody) BackendResponse {
	return BackendResponse{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (r BackendResponse) Status() int { return r.status }

// Header returns the header fields.
func (r BackendResponse) Header() map[string][]string { return r.header }

// Body returns the body. The reader must close it.
func (r BackendResponse) Body() ResponseBody { return r.body }

// Chunk is a part of a response body: complete server-sent events if the response is
// a stream, arbitrary bytes otherwise.
type Chunk struct {
	data   []byte
	tokens int
}

// NewChunk returns a chunk and the number of tokens in it.
func NewChunk(data []byte, tokens int) Chunk { return Chunk{data: data, tokens: tokens} }

// Data returns the bytes of the chunk. They are valid until the next read.
func (c Chunk) Data() []byte { return c.data }

// Tokens returns the number of tokens in the chunk, 0 if the response is not a stream.
func (c Chunk) Tokens() int { return c.tokens }

// ResponseBody reads a response in chunks and checks that it is complete and belongs
// to the request.
type ResponseBody interface {
	// Next returns the next chunk. It returns io.EOF after the last chunk of a
	// complete response, a TruncatedResponseError if the response ends early, a
	// MismatchedResponseError if it belongs to another request, and an
	// UnreachableError if the connection to the backend server is lost.
	Next() (Chunk, error)
	io.Closer
}

// BackendClient sends calls to backend servers, both engines and application servers.
type BackendClient interface {
	// Call sends a call at most once and returns when the header of the response has
	// arrived. Its error is an AttemptError, which states whether the call was
	// executed. Cancelling the context ends the call and the reading of its response.
	Call(ctx context.Context, server BackendServer, call Call) (BackendResponse, error)
}

// CacheEvent reports that an engine has stored or evicted the key-value cache of a
// prompt prefix. Events may arrive late or be lost.
type CacheEvent struct {
	sequence   uint64
	prefixHash uint64
	evicted    bool
}

// NewCacheEvent returns a cache event. A gap in the sequence numbers means that
// events were lost.
func NewCacheEvent(sequence, prefixHash uint64, evicted bool) CacheEvent {
	return CacheEvent{sequence: sequence, prefixHash: prefixHash, evicted: evicted}
}

// Sequence returns the sequence number of the event at its engine.
func (e CacheEvent) Sequence() uint64 { return e.sequence }

// PrefixHash returns the hash of the prompt prefix.
func (e CacheEvent) PrefixHash() uint64 { return e.prefixHash }

// Evicted reports whether the prefix was evicted.
func (e CacheEvent) Evicted() bool { return e.evicted }

// EngineControl is the management interface of engines.
type EngineControl interface {
	// EngineStatus returns the status that the engine reports. It returns an
	// UnreachableError if the engine does not respond.
	EngineStatus(ctx context.Context, server BackendServer) (EngineStatus, error)

	// Order sends an order and returns the engine's status after it. It returns a
	// StaleFencingTokenError if the engine refuses the fencing token as too old, and
	// an UnreachableError if the order may or may not have been applied.
	Order(ctx context.Context, server BackendServer, order Order) (EngineStatus, error)

	// CacheEvents returns the cache events with a sequence number above after.
	CacheEvents(ctx context.Context, server BackendServer, after uint64) ([]CacheEvent, error)
}
