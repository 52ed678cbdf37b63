// Package pacer bounds the calls of one host to the platform's store, whose
// limits hold for all hosts together.
package pacer

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// share is the part of the store's limits that all hosts use together; the
	// rest is left to servers and operators.
	share = 0.5
	// mostReads and mostWrites bound one host however few there are, in calls a
	// second: several times what a host needs with all its topics in trouble.
	mostReads, mostWrites = 20, 5
	// readBurst and writeBurst are the calls that may follow each other at once: a
	// start reads all topics and enters the host and a claim.
	readBurst, writeBurst = 10, 4
)

// Store is what the pacer calls.
type Store interface {
	Newest(ctx context.Context, topic string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
	Append(ctx context.Context, a platform.AppendRequest) (int64, error)
}

// Pacer is a store whose calls wait until the host may make them. It is safe for
// concurrent use.
type Pacer struct {
	store         Store
	reads, writes *rate.Limiter
}

// New returns a pacer for a host that knows of no other one yet.
func New(store Store) *Pacer {
	return &Pacer{store: store, reads: rate.NewLimiter(mostReads, readBurst), writes: rate.NewLimiter(mostWrites, writeBurst)}
}

// Share divides the limits of the store, in calls a second, among a number of
// hosts. A limit of 0 is not known and leaves the rate as it is.
func (p *Pacer) Share(hosts int, reads, writes float64) {
	set := func(l *rate.Limiter, limit, most float64) {
		if limit > 0 {
			l.SetLimit(rate.Limit(min(most, share*limit/float64(max(hosts, 1)))))
		}
	}
	set(p.reads, reads, mostReads)
	set(p.writes, writes, mostWrites)
}

// Newest waits for its turn and returns the newest record of each key of a topic.
func (p *Pacer) Newest(ctx context.Context, topic string) (platform.Page, error) {
	if err := wait(ctx, p.reads, "newest"); err != nil {
		return platform.Page{}, err
	}
	return p.store.Newest(ctx, topic)
}

// Read waits for its turn and returns the records of a topic from an offset on.
func (p *Pacer) Read(ctx context.Context, topic string, from int64, news time.Duration) (platform.Page, error) {
	if err := wait(ctx, p.reads, "read"); err != nil {
		return platform.Page{}, err
	}
	return p.store.Read(ctx, topic, from, news)
}

// Append waits for its turn and adds a record to a topic.
func (p *Pacer) Append(ctx context.Context, a platform.AppendRequest) (int64, error) {
	if err := wait(ctx, p.writes, "append"); err != nil {
		return 0, err
	}
	return p.store.Append(ctx, a)
}

// wait waits for the turn of a call. Its error is a PacedError if the turn comes
// after the deadline: the call was not made.
func wait(ctx context.Context, l *rate.Limiter, action string) error {
	if err := l.Wait(ctx); err != nil {
		return &PacedError{Action: action, Err: err}
	}
	return nil
}

// PacedError reports a call that was not made since its turn would have come too
// late.
type PacedError struct {
	// Action names the call.
	Action string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *PacedError) Error() string { return "no turn for " + e.Action + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PacedError) Unwrap() error { return e.Err }

var _ Store = (*Pacer)(nil)
