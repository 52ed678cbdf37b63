package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// LeaseTime is the time for which one renewal lets a controller give orders.
	LeaseTime = 3 * time.Second
	// OrderTime is the longest time in which an order can take effect after it
	// was sent.
	OrderTime = time.Second
	// PromiseTime is the time for which an elector promises not to claim.
	PromiseTime = 15 * time.Second
	// OutageLimit is the longest time for which a controller gives orders on
	// promises, counted from its last renewal.
	OutageLimit = 3 * time.Minute
	// lateOrderTime is the time after the end of a lease in which its last orders
	// take effect.
	lateOrderTime = OrderTime + clockMargin
	// clockMargin covers the drift between the clocks of two hosts.
	clockMargin = 300 * time.Millisecond
	// jumpTolerance is the largest difference between the wall clock and the
	// monotonic clock over one lease.
	jumpTolerance = 500 * time.Millisecond
)

// Lapsed reports whether a time span that began at an instant is over on either
// clock, or whether the clocks disagree on it. A monotonic clock that stands
// still while the process is paused is found out by the wall clock.
func Lapsed(now, from fuchsiapitch.Instant, span time.Duration) bool {
	monotonic := now.Sub(from)
	wall := now.Wall().Round(0).Sub(from.Wall().Round(0))
	if monotonic >= span || wall >= span {
		return true
	}
	return (wall - monotonic).Abs() > jumpTolerance
}

// Lease is the right to give orders until an instant.
type Lease struct {
	from fuchsiapitch.Instant
	span time.Duration
}

// NewLease returns a lease that counts from the instant before its renewal was
// sent.
func NewLease(sent fuchsiapitch.Instant, span time.Duration) Lease {
	return Lease{from: sent, span: span - clockMargin}
}

// Holds reports whether the lease allows an order now.
func (l Lease) Holds(now fuchsiapitch.Instant) bool {
	return l.span > 0 && !Lapsed(now, l.from, l.span)
}

// Expiry returns the end of the lease on both clocks.
func (l Lease) Expiry() fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(l.from.Monotonic(), l.from.Wall().Round(0)).Add(l.span)
}
