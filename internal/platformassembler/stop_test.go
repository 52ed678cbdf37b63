package platformassembler

import (
	"testing"
	"time"
)

// Guards against a host that is killed with its requests in flight, because it goes on
// accepting connections until after the grace period.
func TestStopFitsIntoGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		s := newStopSchedule(grace)
		if s.linger <= 0 || s.linger >= s.abort || s.abort >= s.end || s.end >= grace {
			t.Errorf("grace period %s: got %+v, want a linger period, an abort and an end one after the other", grace, s)
		}
		if grace >= 8*time.Second && s.linger != lingerPeriod {
			t.Errorf("grace period %s: got a linger period of %s, want %s", grace, s.linger, lingerPeriod)
		}
	}
}
