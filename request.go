package fuchsiapitch

import "time"

// Request holds the properties of a client request that admission, scheduling and
// routing use. It contains neither the request body nor the tokens of the response;
// these stay with the process that transfers them.
type Request struct {
	id              RequestID
	service         ServiceName
	customer        CustomerName
	rank            RankName
	estimatedTokens float64
	bodyBytes       int64
	prefixHash      uint64
	idempotent      bool
	streaming       bool
	idempotencyKey  string
	bodyHash        uint64
	timeLimit       time.Duration
}

// RequestOption sets one optional property of a request.
type RequestOption func(*Request)

// NewRequest returns a request that must not be repeated, with an estimated cost of
// one token.
func NewRequest(id RequestID, service ServiceName, customer CustomerName, rank RankName, options ...RequestOption) Request {
	r := Request{id: id, service: service, customer: customer, rank: rank, estimatedTokens: 1}
	for _, o := range options {
		o(&r)
	}
	return r
}

// WithEstimatedCost sets the estimated cost in tokens and the size of the body in
// bytes.
func WithEstimatedCost(tokens float64, bodyBytes int64) RequestOption {
	return func(r *Request) { r.estimatedTokens, r.bodyBytes = tokens, bodyBytes }
}

// WithPrefixHash sets the hash of the prompt prefix, which cache affinity uses.
func WithPrefixHash(prefixHash uint64) RequestOption {
	return func(r *Request) { r.prefixHash = prefixHash }
}

// WithIdempotentRequest marks the request as safe to run more than once.
func WithIdempotentRequest() RequestOption { return func(r *Request) { r.idempotent = true } }

// WithTokenStream marks the response as a stream of tokens, which can be resumed after
// any number of tokens.
func WithTokenStream() RequestOption { return func(r *Request) { r.streaming = true } }

// WithIdempotencyKey sets the client's idempotency key and the hash of the request
// body that the key belongs to.
func WithIdempotencyKey(key string, bodyHash uint64) RequestOption {
	return func(r *Request) { r.idempotencyKey, r.bodyHash = key, bodyHash }
}

// WithTimeLimit sets the time from receipt after which the response is no longer
// needed.
func WithTimeLimit(timeLimit time.Duration) RequestOption {
	return func(r *Request) { r.timeLimit = timeLimit }
}

// ID returns the identifier of the request.
func (r Request) ID() RequestID { return r.id }

// Service returns the requested service.
func (r Request) Service() ServiceName { return r.service }

// Customer returns the customer that sent the request.
func (r Request) Customer() CustomerName { return r.customer }

// Rank returns the rank of the request.
func (r Request) Rank() RankName { return r.rank }

// EstimatedTokens returns the estimated cost in tokens.
func (r Request) EstimatedTokens() float64 { return r.estimatedTokens }

// BodyBytes returns the size of the body in bytes.
func (r Request) BodyBytes() int64 { return r.bodyBytes }

// PrefixHash returns the hash of the prompt prefix, 0 for none.
func (r Request) PrefixHash() uint64 { return r.prefixHash }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.idempotent }

// Streaming reports whether the response is a stream of tokens.
func (r Request) Streaming() bool { return r.streaming }

// IdempotencyKey returns the client's idempotency key, "" for none.
func (r Request) IdempotencyKey() string { return r.idempotencyKey }

// BodyHash returns the hash of the body that the idempotency key belongs to.
func (r Request) BodyHash() uint64 { return r.bodyHash }

// TimeLimit returns the time from receipt after which the response is no longer
// needed.
func (r Request) TimeLimit() time.Duration { return r.timeLimit }

// Replica is the unit of a service that requests are routed to: a complete group of
// engines or an application server.
type Replica struct {
	id      ReplicaID
	service ServiceName
	server  BackendServer
	slots   int
	version string
}

// NewReplica returns a replica. Its requests go to one backend server: the leader of
// the group or the application server itself.
func NewReplica(id ReplicaID, service ServiceName, server BackendServer, slots int, version string) Replica {
	return Replica{id: id, service: service, server: server, slots: slots, version: version}
}

// ID returns the identifier of the replica.
func (r Replica) ID() ReplicaID { return r.id }

// Service returns the service that the replica serves.
func (r Replica) Service() ServiceName { return r.service }

// Server returns the backend server that receives the requests.
func (r Replica) Server() BackendServer { return r.server }

// Slots returns the largest number of requests that run concurrently.
func (r Replica) Slots() int { return r.slots }

// Version returns the loaded model version.
func (r Replica) Version() string { return r.version }
