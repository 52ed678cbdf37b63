package runner

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// SystemClock implements fuchsiapitch.Clock with the monotonic and wall clocks
// of the operating system.
type SystemClock struct {
	start time.Time
}

// NewSystemClock returns a clock whose monotonic time starts at 0.
func NewSystemClock() *SystemClock { return &SystemClock{start: time.Now()} }

// Now implements fuchsiapitch.Clock.
func (c *SystemClock) Now() fuchsiapitch.Instant {
	now := time.Now()
	return fuchsiapitch.NewInstant(now.Sub(c.start), now.Round(0))
}
