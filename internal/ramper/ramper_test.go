package ramper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Load: a server is cold for five seconds, and every host has requests for it all the time.
// Some hosts know a list from before others were added, some restart and forget what they have
// sent, some hear nobody, and requests arrive up to 20 ms late.
func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	limits := Limits{PerSecond: 14, Over: 1.5, Slack: 5}
	for _, c := range []struct {
		hosts, knownToOld, old, restarts int
		// isCut is true if the old hosts hear nobody any more.
		isCut bool
		// leastPerSecond is what the server gets on average at least, over all servers.
		leastPerSecond float64
	}{
		{hosts: 91, knownToOld: 91, leastPerSecond: 12},
		{hosts: 91, knownToOld: 70, old: 40, leastPerSecond: 11},
		{hosts: 91, knownToOld: 70, old: 40, isCut: true, leastPerSecond: 5},
		{hosts: 91, knownToOld: 10, old: 10, leastPerSecond: 11},
		{hosts: 91, knownToOld: 91, restarts: 9, leastPerSecond: 12},
		{hosts: 300, knownToOld: 290, old: 200, restarts: 9, leastPerSecond: 12},
		{hosts: 3, knownToOld: 3, leastPerSecond: 8},
		{hosts: 1, knownToOld: 1, leastPerSecond: 3},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(c.hosts)))
			var all []fuchsiapitch.HostID
			for n := range c.hosts {
				all = append(all, fuchsiapitch.HostID(fmt.Sprintf("host-%d", n)))
			}
			total, highest := 0, 0
			const servers, length = 40, 5 * time.Second
			for s := range servers {
				server := fuchsiapitch.ServerID(fmt.Sprintf("i-%08x", s*2654435761))
				var arrivals []time.Duration
				for n, id := range all {
					r := New(id)
					r.SetHosts(all)
					if n < c.old {
						r.SetHosts(all[:c.knownToOld])
					}
					r.Observe(0, server, length)
					isCut := n < c.old && c.isCut
					arrivals = append(arrivals, sends(rng, r, server, length, limits, n < c.restarts, func(now time.Duration) {
						if !isCut {
							r.Confirm(now, c.hosts)
						}
					})...)
				}
				total += len(arrivals)
				highest = max(highest, mostInSecond(arrivals))
			}
			if bound := int(limits.PerSecond*limits.Over + limits.Slack); highest > bound {
				t.Errorf("got %d requests in a second, want at most %d", highest, bound)
			}
			if got := float64(total) / servers / length.Seconds(); got < c.leastPerSecond {
				t.Errorf("got %.1f requests a second on average, want at least %.1f", got, c.leastPerSecond)
			}
		})
	}
}

// sends returns when the requests of one host arrive that sends as many as it may. hear is
// called as often as the host may hear of others.
func sends(rng *rand.Rand, r *Ramper, server fuchsiapitch.ServerID, length time.Duration, limits Limits, restarts bool, hear func(now time.Duration)) []time.Duration {
	var arrivals []time.Duration
	lastSentAt := time.Duration(0)
	restartAt := time.Duration(rng.Int64N(int64(length)))
	for now := 2 * time.Millisecond; now < length; now += 2 * time.Millisecond {
		if restarts && now >= restartAt {
			lastSentAt, restarts = 0, false
		}
		hear(now)
		if now >= r.AvailableAt(now, server, lastSentAt, limits) {
			arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(20*time.Millisecond))))
			lastSentAt = now
		}
	}
	return arrivals
}

func mostInSecond(arrivals []time.Duration) int {
	slices.Sort(arrivals)
	most, first := 0, 0
	for n, at := range arrivals {
		for at-arrivals[first] >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// Failure: a host started without the store, is cut off from all others, or wakes from a freeze. It
// cannot know how many hosts share the server.
func TestHostOutOfTouchSendsNothing(t *testing.T) {
	const now, coldTime = time.Minute, 10 * time.Second
	for name, c := range map[string]struct {
		prepare func(r *Ramper)
		want    time.Duration
	}{
		"in touch": {func(r *Ramper) { r.SetHosts([]fuchsiapitch.HostID{"a", "b"}); r.Confirm(now, 2) }, 0},
		"no list":  {func(r *Ramper) { r.Confirm(now, 2) }, now + coldTime},
		"cut off":  {func(r *Ramper) { r.SetHosts([]fuchsiapitch.HostID{"a", "b"}); r.Confirm(now-listLifetime-1, 2) }, now + coldTime},
		"freeze":   {func(r *Ramper) { r.SetHosts([]fuchsiapitch.HostID{"a", "b"}); r.Confirm(now, 2); r.Expire() }, now + coldTime},
	} {
		t.Run(name, func(t *testing.T) {
			r := New("a")
			c.prepare(r)
			r.Observe(now, "s", coldTime)
			if got := r.AvailableAt(now, "s", 0, Limits{PerSecond: 14, Over: 1.5, Slack: 5}); got != c.want {
				t.Errorf("got requests allowed from %v on, want %v", got, c.want)
			}
		})
	}
}

// Guards against a server that counts as cold for good, as an old entry of it is read again
// and again, and against one that becomes cold again unnoticed.
func TestEntryCountsFromItsFirstReading(t *testing.T) {
	r := New("a")
	for _, step := range []struct{ now, left, want time.Duration }{
		{0, 3 * time.Second, 3 * time.Second},
		{2 * time.Second, 3 * time.Second, time.Second},
		{3 * time.Second, 0, 0},
		{5 * time.Second, 3 * time.Second, 3 * time.Second},
	} {
		r.ReadEntry(step.now, "s", step.left)
		if got := r.ColdFor(step.now, "s"); got != step.want {
			t.Errorf("got cold for %v at %v, want %v", got, step.now, step.want)
		}
	}
}
