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

// Guards against streams that are cut at the end of a stop although they would have ended within
// the grace period: requests in flight were aborted long before the host had to end.
func TestStopLeavesGracePeriodToRequests(t *testing.T) {
	const (
		// responses is the time for the responses to the aborted requests, exit that between
		// the end of the last one and the end of the process.
		responses = 100 * time.Millisecond
		exit      = 150 * time.Millisecond
	)
	for _, grace := range []time.Duration{2 * time.Second, 8 * time.Second, time.Minute} {
		s := newStopSchedule(grace)
		if s.end < grace-exit || s.abort < grace-exit-responses {
			t.Errorf("grace period %s: got an abort after %s and an end after %s, want them not before %s and %s", grace, s.abort, s.end, grace-exit-responses, grace-exit)
		}
	}
}

// Guards against requests that are refused for good, and streams that are cut, since a stopping host
// goes on taking them after every load balancer has noticed the stop: other stopping hosts refuse
// their only other attempt, or the stop ends before they do. A balancer checks a host once a second,
// and sends nothing new to one that has failed two checks.
func TestStopLingersUntilBalancersHaveNoticed(t *testing.T) {
	const (
		checkInterval = time.Second
		missedChecks  = 2
		// roundTrip is the longest time of one check.
		roundTrip = 100 * time.Millisecond
	)
	for _, grace := range []time.Duration{8 * time.Second, time.Minute} {
		got := newStopSchedule(grace).linger
		if noticed := missedChecks * checkInterval; got < noticed || got > noticed+roundTrip {
			t.Errorf("grace period %s: got a linger period of %s, want it to end once balancers have noticed the stop, after %s to %s", grace, got, noticed, noticed+roundTrip)
		}
	}
}
