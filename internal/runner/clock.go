package runner

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// SystemClock implements fuchsiapitch.Clock with the monotonic and wall clocks
// of the operating system.
type SystemClock struct {
	startedAt time.Time
}

// NewSystemClock returns a clock whose monotonic time is 0 at the time of the
// call.
func NewSystemClock() *SystemClock { return &SystemClock{startedAt: time.Now()} }

// Now implements fuchsiapitch.Clock.
func (c *SystemClock) Now() fuchsiapitch.Instant {
	now := time.Now()
	return fuchsiapitch.NewInstant(now.Sub(c.startedAt), now.Round(0))
}
