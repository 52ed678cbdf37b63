package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// LeaseDuration is how long one renewal permits a controller to issue orders.
	LeaseDuration = 3 * time.Second
	// MaxOrderDelay is the maximum time between sending an order and its effect.
	MaxOrderDelay = time.Second
	// PromiseDuration is how long an elector promises not to claim.
	PromiseDuration = 15 * time.Second
	// MaxLogOutage is the maximum time since its last renewal for which a
	// controller may issue orders on the strength of promises.
	MaxLogOutage = 3 * time.Minute
	// lateOrderMargin is the time after the end of a lease within which its last
	// orders take effect.
	lateOrderMargin = MaxOrderDelay + clockMargin
	// clockMargin covers the drift between the clocks of two hosts. The holder of
	// a lease or promise ends it early by this margin.
	clockMargin = 300 * time.Millisecond
	// clockJumpTolerance is the maximum difference between the advance of the wall
	// clock and that of the monotonic clock over one lease.
	clockJumpTolerance = 500 * time.Millisecond
)

// Lapsed reports whether a time span that began at an instant has ended on
// either clock, or whether the two clocks disagree about it. The wall clock
// reveals a pause of the process during which the monotonic clock stood still.
func Lapsed(now, from fuchsiapitch.Instant, span time.Duration) bool {
	monotonic := now.Sub(from)
	wall := now.Wall().Round(0).Sub(from.Wall().Round(0))
	if monotonic >= span || wall >= span {
		return true
	}
	return (wall - monotonic).Abs() > clockJumpTolerance
}

// Lease is the right to issue orders until a fixed time.
type Lease struct {
	sentAt   fuchsiapitch.Instant
	duration time.Duration
}

// NewLease returns a lease that starts at sent and ends clockMargin before the
// span has passed. Its renewal must not have been sent before that instant.
func NewLease(sent fuchsiapitch.Instant, span time.Duration) Lease {
	return Lease{sentAt: sent, duration: span - clockMargin}
}

// IsValid reports whether the lease permits issuing an order now.
func (l Lease) IsValid(now fuchsiapitch.Instant) bool {
	return l.duration > 0 && !Lapsed(now, l.sentAt, l.duration)
}

// Expiry returns the end of the lease on both clocks.
func (l Lease) Expiry() fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(l.sentAt.Monotonic(), l.sentAt.Wall().Round(0)).Add(l.duration)
}
