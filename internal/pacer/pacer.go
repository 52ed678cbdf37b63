// Package pacer limits the rate of one host's calls to the platform's store. The
// rate limits of the store apply to all hosts together.
package pacer

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// limitShare is the fraction of the store's rate limits that all hosts use
	// together. The rest is left to backend servers and operators.
	limitShare = 0.5
	// maxReadsPerSecond and maxWritesPerSecond bound one host, no matter how few
	// hosts there are. They are several times what a host needs while the reads of
	// all its topics fail.
	maxReadsPerSecond, maxWritesPerSecond = 20, 5
	// readBurst and writeBurst are the numbers of calls that may be made without a
	// pause. A starting host reads all topics, and appends its host record and a
	// claim.
	readBurst, writeBurst = 10, 4
)

// Store provides access to the topics of the platform's store.
type Store interface {
	Newest(ctx context.Context, topic string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
	Append(ctx context.Context, a platform.AppendRequest) (int64, error)
}

// Pacer is a Store that delays each call until the rate limit of the host admits
// it. It is safe for concurrent use.
type Pacer struct {
	store                     Store
	readLimiter, writeLimiter *rate.Limiter
}

// New returns a pacer with the maximum rates of one host. They hold until
// UpdateLimits is called.
func New(store Store) *Pacer {
	return &Pacer{store: store, readLimiter: rate.NewLimiter(maxReadsPerSecond, readBurst), writeLimiter: rate.NewLimiter(maxWritesPerSecond, writeBurst)}
}

// UpdateLimits divides the rate limits of the store, in calls per second, among a
// number of hosts. A limit of 0 is unknown and leaves the rate unchanged.
func (p *Pacer) UpdateLimits(hosts int, storeReads, storeWrites float64) {
	setRate := func(l *rate.Limiter, limit, ceiling float64) {
		if limit > 0 {
			l.SetLimit(rate.Limit(min(ceiling, limitShare*limit/float64(max(hosts, 1)))))
		}
	}
	setRate(p.readLimiter, storeReads, maxReadsPerSecond)
	setRate(p.writeLimiter, storeWrites, maxWritesPerSecond)
}

// Newest waits for the rate limiter and returns the newest record of each key of a
// topic.
func (p *Pacer) Newest(ctx context.Context, topic string) (platform.Page, error) {
	if err := throttle(ctx, p.readLimiter, "newest"); err != nil {
		return platform.Page{}, err
	}
	return p.store.Newest(ctx, topic)
}

// Read waits for the rate limiter and returns the records of a topic from an offset
// on. The store waits up to maxWait for new records.
func (p *Pacer) Read(ctx context.Context, topic string, from int64, maxWait time.Duration) (platform.Page, error) {
	if err := throttle(ctx, p.readLimiter, "read"); err != nil {
		return platform.Page{}, err
	}
	return p.store.Read(ctx, topic, from, maxWait)
}

// Append waits for the rate limiter and appends a record to a topic.
func (p *Pacer) Append(ctx context.Context, a platform.AppendRequest) (int64, error) {
	if err := throttle(ctx, p.writeLimiter, "append"); err != nil {
		return 0, err
	}
	return p.store.Append(ctx, a)
}

// throttle waits until a rate limiter admits a call. It returns a ThrottledError if
// that would be after the deadline of the context, or if the context ends first. The
// call must not be made then.
func throttle(ctx context.Context, l *rate.Limiter, action string) error {
	if err := l.Wait(ctx); err != nil {
		return &ThrottledError{Action: action, Err: err}
	}
	return nil
}

// ThrottledError reports a call that was not made because the rate limiter did not
// admit it before its context ended.
type ThrottledError struct {
	// Action names the call.
	Action string
	// Err is the error of the rate limiter.
	Err error
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return "rate limiter did not admit the call in time: " + e.Action + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *ThrottledError) Unwrap() error { return e.Err }

var _ Store = (*Pacer)(nil)
