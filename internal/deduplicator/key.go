// Package deduplicator decides which request may run for an idempotency key.
// It is pure: it starts no goroutines and reads no clock.
//
// It is a replicated state machine. Every host applies the records of the key
// streams of the platform's log in order, and the first claim of a key holds
// it. A host sends a request with a key to a backend server only after it has
// applied the claim of the request and the claim holds the key.
package deduplicator

import (
	"crypto/sha256"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// ShardCount is the number of key streams. A different number needs new stream
// names, since a key must stay in its stream for KeyRetention.
const ShardCount = 4

// KeyRetention is the time for which a key is stored after its claim. The
// retention of the log must be longer.
const KeyRetention = time.Hour

// Key is the truncated hash of a customer, a service and an idempotency key.
type Key [16]byte

// NewKey returns the key of a request. Each pair of customer and service has its
// own key space.
func NewKey(customer fuchsiapitch.CustomerName, service fuchsiapitch.ServiceName, key string) Key {
	hash := sha256.Sum256([]byte(string(customer) + "\x00" + string(service) + "\x00" + key))
	return Key(hash[:len(Key{})])
}

// Shard returns the index of the stream that holds the key.
func (k Key) Shard() int { return int(k[0]) % ShardCount }

// Response is the stored response to a request.
type Response struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the content type of the body.
	ContentType string
	// Body must not be modified.
	Body []byte
}

// Claim is a request to reserve a key for one client request.
type Claim struct {
	Key Key
	// RequestID identifies the request that needs the key to run.
	RequestID fuchsiapitch.RequestID
	// BodyHash is the hash of the body of that request.
	BodyHash uint64
	// ClaimedAt is the wall-clock time of the claim.
	ClaimedAt time.Time
	// RequestExpiresAt is the wall-clock time after which the request no longer
	// runs.
	RequestExpiresAt time.Time
}

// Completion is the outcome of the request that holds a key.
type Completion struct {
	Key Key
	// RequestID identifies the request that holds the key.
	RequestID fuchsiapitch.RequestID
	// Outcome is the outcome of the request. NotRun releases the key.
	Outcome fuchsiapitch.Outcome
	// Response is the complete response, nil if there is none or it is too large.
	Response *Response
}

// Batch is the content of one record.
type Batch struct {
	// Claims are applied in this order.
	Claims []Claim
	// Completions are applied before the claims.
	Completions []Completion
}

// KeyState is the state of a key for a request.
type KeyState int

// The states of a key.
const (
	// Free means that the key can be claimed.
	Free KeyState = iota + 1
	// InProgress means that the request that holds the key is still running.
	InProgress
	// ResponseStored means that the request has completed and its response is
	// stored.
	ResponseStored
	// OutcomeUnknown means that the request may have run and its response is not
	// stored.
	OutcomeUnknown
	// BodyMismatch means that the key is held by a request with a different body.
	BodyMismatch
	// CapacityReached means that the shard of the key can store no more keys.
	CapacityReached
)

// LookupResult is the state of a key and the stored response, if any.
type LookupResult struct {
	// State is the state of the key for the request.
	State KeyState
	// Response is the stored response if the state is ResponseStored.
	Response Response
}
