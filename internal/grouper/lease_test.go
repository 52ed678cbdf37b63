package grouper

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func instant(monotonic, wall time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(monotonic, time.Unix(1000, 0).Add(wall))
}

func TestLease(t *testing.T) {
	cases := map[string]struct {
		now   fuchsiapitch.Instant
		holds bool
	}{
		"holds before its end":                        {instant(time.Second, time.Second), true},
		"lapses on the monotonic clock":               {instant(LeaseTime, LeaseTime), false},
		"ends before others may count it as over":     {instant(LeaseTime-clockMargin, LeaseTime-clockMargin), false},
		"lapses on the wall clock after a pause":      {instant(time.Second, time.Minute), false},
		"lapses when the wall clock is set back":      {instant(time.Second, -time.Minute), false},
		"lapses when the clocks come apart by a jump": {instant(time.Second, 1700*time.Millisecond), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assertEqual(t, NewLease(instant(0, 0), LeaseTime).Holds(c.now), c.holds, "holds")
		})
	}
}

func TestRenewal(t *testing.T) {
	t.Run("a lease counts from the sending of its renewal", func(t *testing.T) {
		d := newDesk("s1", "s2")
		d.run(5 * time.Second)
		d.withhold = true
		d.run(LeaseTime)
		d.withhold = false
		late := d.tenure.queue[0].record
		now := instant(d.now, d.now)
		d.Read(now, []Entry{{Offset: fuchsiapitch.Offset(len(d.stream)), Record: late}}, 0)
		assertEqual(t, len(d.tenure.queue), 0, "queued records")
		assertEqual(t, d.tenure.lease.Holds(now), false, "holds")
	})
}
