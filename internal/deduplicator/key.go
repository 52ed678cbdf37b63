// Package deduplicator decides which request may run for an idempotency key.
// It is pure: it holds no goroutine and reads no clock.
//
// The state is a fold over the key streams of the platform's log: the first
// claim of a key wins on every host. A host sends a request with a key only
// after it has folded its own claim and seen it win.
package deduplicator

import (
	"crypto/sha256"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// ShardCount is the number of key streams. A change needs new stream names,
// since a key must stay in its stream for the time of Retention.
const ShardCount = 4

// Retention is the time for which a key is remembered after its claim. The log
// must keep records for longer.
const Retention = time.Hour

// Key is the truncated hash of a customer, a service and an idempotency key.
type Key [16]byte

// NewKey returns the key of a request. Customers and services have separate
// keys.
func NewKey(customer fuchsiapitch.CustomerName, service fuchsiapitch.ServiceName, key string) Key {
	hash := sha256.Sum256([]byte(string(customer) + "\x00" + string(service) + "\x00" + key))
	return Key(hash[:len(Key{})])
}

// Shard returns the number of the stream that holds the key.
func (k Key) Shard() int { return int(k[0]) % ShardCount }

// Answer is the stored answer of a request.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the content type of the body.
	ContentType string
	// Body is the body. It must not be changed.
	Body []byte
}

// Claim reserves a key for one request.
type Claim struct {
	// Key is the key.
	Key Key
	// Request is the request that wants to run.
	Request fuchsiapitch.RequestID
	// BodyHash is the hash of its body.
	BodyHash uint64
	// Stamp is the wall-clock time of the claim.
	Stamp time.Time
	// Expiry is the wall-clock time after which the request no longer runs.
	Expiry time.Time
}

// Completion states how the request that holds a key has ended.
type Completion struct {
	// Key is the key.
	Key Key
	// Request is the request that holds it.
	Request fuchsiapitch.RequestID
	// Outcome states what is known. NotRun frees the key.
	Outcome fuchsiapitch.Outcome
	// Answer is the whole answer, nil when there is none or it is too large.
	Answer *Answer
}

// Group is the content of one record: many claims and completions.
type Group struct {
	// Claims reserve keys, in this order.
	Claims []Claim
	// Completions end requests. They are folded before the claims.
	Completions []Completion
}

// Standing states what a key means for a request.
type Standing int

// The standings of a key.
const (
	// Free means that the key can be claimed.
	Free Standing = iota + 1
	// InProgress means that the request of the key still runs.
	InProgress
	// Answered means that the answer is stored.
	Answered
	// Unclear means that the request may have run and its answer is not known.
	Unclear
	// Reused means that the key stands for another body.
	Reused
	// Full means that no more keys can be remembered.
	Full
)

// Verdict is the standing of a key and, if there is one, the stored answer.
type Verdict struct {
	// Standing states what the key means for the request.
	Standing Standing
	// Answer is the stored answer of an Answered key.
	Answer Answer
}
