package fuchsiapitch

import (
	"context"
	"io"
	"time"
)

// Fence is the fencing number of an order: the term of the controller and the
// sequence of the order within the term. Orders are ordered by term first.
type Fence struct {
	term     Term
	sequence uint64
}

// NewFence returns a fencing number.
func NewFence(term Term, sequence uint64) Fence {
	return Fence{term: term, sequence: sequence}
}

// Term returns the term of the controller that gave the order.
func (f Fence) Term() Term { return f.term }

// Sequence returns the place of the order within its term.
func (f Fence) Sequence() uint64 { return f.sequence }

// Less reports whether f precedes o.
func (f Fence) Less(o Fence) bool {
	if f.term != o.term {
		return f.term < o.term
	}
	return f.sequence < o.sequence
}

// Assignment states which group a backend server belongs to and what it serves
// there. The zero assignment stands for a backend server in no group.
type Assignment struct {
	group    GroupID
	service  ServiceName
	members  []ServerID
	model    string
	version  string
	adapters []string
}

// NewAssignment returns an assignment to a group of members, in rank order of
// the group; the first member is the leader that takes requests.
func NewAssignment(group GroupID, service ServiceName, members []ServerID, model, version string, adapters ...string) Assignment {
	return Assignment{group: group, service: service, members: members, model: model, version: version, adapters: adapters}
}

// Group returns the identifier of the group, "" for none.
func (a Assignment) Group() GroupID { return a.group }

// Service returns the service that the group serves.
func (a Assignment) Service() ServiceName { return a.service }

// Members returns the backend servers of the group, the leader first.
func (a Assignment) Members() []ServerID { return a.members }

// Model returns the model to load.
func (a Assignment) Model() string { return a.model }

// Version returns the version of the model to load.
func (a Assignment) Version() string { return a.version }

// Adapters returns the adapters to load beside the model.
func (a Assignment) Adapters() []string { return a.adapters }

// Order asks a backend server to take up an assignment.
type Order struct {
	fence      Fence
	assignment Assignment
}

// NewOrder returns an order that carries a fencing number.
func NewOrder(fence Fence, assignment Assignment) Order {
	return Order{fence: fence, assignment: assignment}
}

// Fence returns the fencing number of the order.
func (o Order) Fence() Fence { return o.fence }

// Assignment returns the assignment to take up.
func (o Order) Assignment() Assignment { return o.assignment }

// Account is what a backend server itself reports of its state.
type Account struct {
	server      ServerID
	incarnation uint64
	fence       Fence
	assignment  Assignment
	ready       bool
	leaving     bool
	running     int
	cachedBytes int64
}

// AccountOption sets one optional property of an account.
type AccountOption func(*Account)

// NewAccount returns the account of a backend server that has accepted orders
// up to a fencing number.
func NewAccount(server ServerID, incarnation uint64, fence Fence, assignment Assignment, options ...AccountOption) Account {
	a := Account{server: server, incarnation: incarnation, fence: fence, assignment: assignment}
	for _, o := range options {
		o(&a)
	}
	return a
}

// WithReady states that the assignment is loaded and can serve.
func WithReady() AccountOption { return func(a *Account) { a.ready = true } }

// WithAccountLeaving states that the backend server is about to leave.
func WithAccountLeaving() AccountOption { return func(a *Account) { a.leaving = true } }

// WithLoad sets the number of running requests and the cached bytes. Both lag.
func WithLoad(running int, cachedBytes int64) AccountOption {
	return func(a *Account) { a.running, a.cachedBytes = running, cachedBytes }
}

// Server returns the backend server that the account is of.
func (a Account) Server() ServerID { return a.server }

// Incarnation returns the number that rises with each restart of the engine.
func (a Account) Incarnation() uint64 { return a.incarnation }

// Fence returns the highest fencing number that the engine has seen.
func (a Account) Fence() Fence { return a.fence }

// Assignment returns the assignment that the engine holds.
func (a Account) Assignment() Assignment { return a.assignment }

// Ready reports whether the assignment is loaded and can serve.
func (a Account) Ready() bool { return a.ready }

// Leaving reports whether the backend server is about to leave.
func (a Account) Leaving() bool { return a.leaving }

// Running returns the reported number of running requests.
func (a Account) Running() int { return a.running }

// CachedBytes returns the reported size of the prefix cache in bytes.
func (a Account) CachedBytes() int64 { return a.cachedBytes }

// Call is one HTTP call to a backend server.
type Call struct {
	request    RequestID
	method     string
	path       string
	header     map[string][]string
	body       []byte
	priority   int
	offset     int
	stream     bool
	idempotent bool
	deadline   time.Time
}

// CallOption sets one optional property of a call.
type CallOption func(*Call)

// NewCall returns a call that may not be repeated.
func NewCall(request RequestID, method, path string, body []byte, options ...CallOption) Call {
	c := Call{request: request, method: method, path: path, body: body}
	for _, o := range options {
		o(&c)
	}
	return c
}

// WithHeader sets the header fields to pass on.
func WithHeader(header map[string][]string) CallOption {
	return func(c *Call) { c.header = header }
}

// WithPriority sets the engine's priority; 0 is the most urgent.
func WithPriority(priority int) CallOption { return func(c *Call) { c.priority = priority } }

// WithStream asks for a stream of tokens that starts after the given number of
// tokens, 0 for the beginning.
func WithStream(offset int) CallOption {
	return func(c *Call) { c.stream, c.offset = true, offset }
}

// WithIdempotent states that the call may be repeated.
func WithIdempotent() CallOption { return func(c *Call) { c.idempotent = true } }

// WithDeadline sets the time after which the answer is of no use.
func WithDeadline(deadline time.Time) CallOption { return func(c *Call) { c.deadline = deadline } }

// Request returns the identifier of the request.
func (c Call) Request() RequestID { return c.request }

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Path returns the path and query.
func (c Call) Path() string { return c.path }

// Header returns the header fields to pass on.
func (c Call) Header() map[string][]string { return c.header }

// Body returns the body. Callers must not change it.
func (c Call) Body() []byte { return c.body }

// Priority returns the engine's priority; 0 is the most urgent.
func (c Call) Priority() int { return c.priority }

// Offset returns the number of tokens after which a stream starts.
func (c Call) Offset() int { return c.offset }

// Stream reports whether a stream of tokens is wanted.
func (c Call) Stream() bool { return c.stream }

// Idempotent reports whether the call may be repeated.
func (c Call) Idempotent() bool { return c.idempotent }

// Deadline returns the time after which the answer is of no use, zero for none.
func (c Call) Deadline() time.Time { return c.deadline }

// Answer is the answer of a backend server. Its body is read piece by piece.
type Answer struct {
	status int
	header map[string][]string
	body   AnswerBody
}

// NewAnswer returns an answer with an HTTP status, header fields and a body.
func NewAnswer(status int, header map[string][]string, body AnswerBody) Answer {
	return Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Header returns the header fields.
func (a Answer) Header() map[string][]string { return a.header }

// Body returns the body, which the caller must close.
func (a Answer) Body() AnswerBody { return a.body }

// Chunk is one piece of an answer: whole server-sent events for a stream, or
// plain bytes otherwise.
type Chunk struct {
	data   []byte
	tokens int
}

// NewChunk returns a piece of an answer with the number of tokens in it.
func NewChunk(data []byte, tokens int) Chunk { return Chunk{data: data, tokens: tokens} }

// Data returns the bytes of the piece, valid until the next read.
func (c Chunk) Data() []byte { return c.data }

// Tokens returns the number of tokens in the piece, 0 for plain bytes.
func (c Chunk) Tokens() int { return c.tokens }

// AnswerBody reads an answer piece by piece and checks that it is whole and
// belongs to the request.
type AnswerBody interface {
	// Next returns the next piece. It returns io.EOF after the last piece of a
	// whole answer, a TruncatedAnswerError when the answer ends early, a
	// CrossedAnswerError when it belongs to another request, and an
	// UnreachableError when the backend server is lost.
	Next() (Chunk, error)
	io.Closer
}

// Caller sends calls to backend servers, model engines and applications alike.
type Caller interface {
	// Call sends one call, at most once, and returns the answer once its header
	// has arrived. Its error is an AttemptError, which states whether the call
	// was run. The context ends the call and the reading of its answer.
	Call(ctx context.Context, server BackendServer, call Call) (Answer, error)
}

// CacheEvent is a late and possibly missing report that an engine keeps or has
// dropped the key-value cache of a prompt prefix.
type CacheEvent struct {
	sequence uint64
	prefix   uint64
	evicted  bool
}

// NewCacheEvent returns a cache event. Gaps in the sequence reveal lost events.
func NewCacheEvent(sequence, prefix uint64, evicted bool) CacheEvent {
	return CacheEvent{sequence: sequence, prefix: prefix, evicted: evicted}
}

// Sequence returns the place of the event among the events of its engine.
func (e CacheEvent) Sequence() uint64 { return e.sequence }

// Prefix returns the hash of the prompt prefix.
func (e CacheEvent) Prefix() uint64 { return e.prefix }

// Evicted reports whether the prefix was dropped.
func (e CacheEvent) Evicted() bool { return e.evicted }

// Controls are the management calls of a model engine.
type Controls interface {
	// Account returns what the engine reports of itself, or an UnreachableError.
	Account(ctx context.Context, server BackendServer) (Account, error)

	// Order gives an order and returns the engine's account after it. It
	// returns a FencedError when the engine refuses an old fencing number and
	// an UnreachableError when the order may or may not have been taken up.
	Order(ctx context.Context, server BackendServer, order Order) (Account, error)

	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, server BackendServer, after uint64) ([]CacheEvent, error)
}
