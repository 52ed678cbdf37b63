package grouper

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func newInstant(monotonic, wall time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(monotonic, time.Unix(1000, 0).Add(wall))
}

func TestLease(t *testing.T) {
	cases := map[string]struct {
		now       fuchsiapitch.Instant
		wantValid bool
	}{
		"holds before its end":                    {newInstant(time.Second, time.Second), true},
		"lapses on the monotonic clock":           {newInstant(LeaseDuration, LeaseDuration), false},
		"ends before others may count it as over": {newInstant(LeaseDuration-clockMargin, LeaseDuration-clockMargin), false},
		"lapses on the wall clock after a pause":  {newInstant(time.Second, time.Minute), false},
		"lapses when the wall clock is set back":  {newInstant(time.Second, -time.Minute), false},
		"lapses when the clocks diverge":          {newInstant(time.Second, 1700*time.Millisecond), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assertEqual(t, NewLease(newInstant(0, 0), LeaseDuration).IsValid(c.now), c.wantValid, "holds")
		})
	}
}

func TestRenewal(t *testing.T) {
	t.Run("a lease counts from the sending of its renewal", func(t *testing.T) {
		f := newFixture("s1", "s2")
		f.run(5 * time.Second)
		f.withholdReads = true
		f.run(LeaseDuration)
		f.withholdReads = false
		late := f.controller.appendQueue[0].record
		now := newInstant(f.now, f.now)
		f.RecordsRead(now, []Entry{{Offset: fuchsiapitch.Offset(len(f.log)), Record: late}}, 0)
		assertEqual(t, len(f.controller.appendQueue), 0, "queued records")
		assertEqual(t, f.controller.lease.IsValid(now), false, "holds")
	})
}
