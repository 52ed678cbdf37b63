package fuchsiapitch

import "time"

// Request describes one request of a caller to the decisions. The body and the
// tokens of the answer stay with the process that moves them.
type Request struct {
	id         RequestID
	service    ServiceName
	customer   CustomerName
	rank       RankName
	cost       float64
	bytes      int64
	prefix     uint64
	idempotent bool
	stream     bool
	key        string
	bodyHash   uint64
	timeout    time.Duration
}

// RequestOption sets one optional property of a request.
type RequestOption func(*Request)

// NewRequest returns a request that may not be repeated, with an estimated cost
// of one token.
func NewRequest(id RequestID, service ServiceName, customer CustomerName, rank RankName, options ...RequestOption) Request {
	r := Request{id: id, service: service, customer: customer, rank: rank, cost: 1}
	for _, o := range options {
		o(&r)
	}
	return r
}

// WithCost sets the estimated cost in tokens and the size of the body in bytes.
func WithCost(tokens float64, bytes int64) RequestOption {
	return func(r *Request) { r.cost, r.bytes = tokens, bytes }
}

// WithPrefix sets the hash of the prompt prefix, for cache affinity.
func WithPrefix(prefix uint64) RequestOption { return func(r *Request) { r.prefix = prefix } }

// WithRepeatable states that the request may run more than once.
func WithRepeatable() RequestOption { return func(r *Request) { r.idempotent = true } }

// WithTokenStream states that the answer is a stream of tokens, which can be
// resumed after a number of tokens.
func WithTokenStream() RequestOption { return func(r *Request) { r.stream = true } }

// WithIdempotencyKey sets the caller's idempotency key and the hash of the body
// that it stands for.
func WithIdempotencyKey(key string, bodyHash uint64) RequestOption {
	return func(r *Request) { r.key, r.bodyHash = key, bodyHash }
}

// WithTimeLimit sets the time after which the answer is of no use.
func WithTimeLimit(timeout time.Duration) RequestOption {
	return func(r *Request) { r.timeout = timeout }
}

// ID returns the identifier of the request.
func (r Request) ID() RequestID { return r.id }

// Service returns the service that is asked.
func (r Request) Service() ServiceName { return r.service }

// Customer returns the customer that asks.
func (r Request) Customer() CustomerName { return r.customer }

// Rank returns the rank of the request.
func (r Request) Rank() RankName { return r.rank }

// Cost returns the estimated cost in tokens.
func (r Request) Cost() float64 { return r.cost }

// Bytes returns the size of the body in bytes.
func (r Request) Bytes() int64 { return r.bytes }

// Prefix returns the hash of the prompt prefix, 0 for none.
func (r Request) Prefix() uint64 { return r.prefix }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.idempotent }

// Stream reports whether the answer is a stream of tokens.
func (r Request) Stream() bool { return r.stream }

// Key returns the caller's idempotency key, "" for none.
func (r Request) Key() string { return r.key }

// BodyHash returns the hash of the body that the idempotency key stands for.
func (r Request) BodyHash() uint64 { return r.bodyHash }

// TimeLimit returns the time from receipt after which the answer is of no use.
func (r Request) TimeLimit() time.Duration { return r.timeout }

// Replica is one routable unit of a service: a whole group of engines, or one
// application server.
type Replica struct {
	id      ReplicaID
	service ServiceName
	server  BackendServer
	slots   int
	version string
}

// NewReplica returns a replica whose requests go to one backend server: the
// leader of its group or the application server itself.
func NewReplica(id ReplicaID, service ServiceName, server BackendServer, slots int, version string) Replica {
	return Replica{id: id, service: service, server: server, slots: slots, version: version}
}

// ID returns the identifier of the replica.
func (r Replica) ID() ReplicaID { return r.id }

// Service returns the service that the replica serves.
func (r Replica) Service() ServiceName { return r.service }

// Server returns the backend server that takes the requests.
func (r Replica) Server() BackendServer { return r.server }

// Slots returns the largest number of requests that run at once.
func (r Replica) Slots() int { return r.slots }

// Version returns the model version that is loaded.
func (r Replica) Version() string { return r.version }
