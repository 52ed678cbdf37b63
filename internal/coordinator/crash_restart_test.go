package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

const (
	// restartLethalPart is the lethal part of the tests below, firstSharedPart the first of
	// the parts that lethal requests share with sound ones.
	restartLethalPart quarantiner.Part = 99
	firstSharedPart   quarantiner.Part = 1
	// maxAttempts is the number of servers to which a request is sent.
	maxAttempts = 3
	// minSoundRequests is the number of sound requests from which on their share is checked.
	minSoundRequests = 20
)

// restartScenario is an order of events around the restart of all hosts.
type restartScenario struct {
	sharedParts int
	// variesParts is true if lethal requests have some of the shared parts each.
	variesParts bool
	// soundInterval and lethalInterval are the times between two requests over all hosts.
	soundInterval, lethalInterval time.Duration
	// soundDelay is the time from the first lethal request to the first sound one.
	soundDelay time.Duration
	// restartAfter is the time from the first lethal request to the first restart, negative for
	// one before it, and restartGap the time between two restarts.
	restartAfter, restartGap time.Duration
	// takesTurns is true if requests go to the hosts in turn, not to random ones.
	takesTurns bool
	// otherCrashes is the number of servers that end for another reason while hosts learn the part.
	otherCrashes int
}

// newRestartScenario draws a scenario.
func (cc *crashCluster) newRestartScenario() restartScenario {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(cc.rng.Int64N(int64(most-least)))
	}
	s := restartScenario{
		sharedParts: 1 + cc.rng.IntN(3), variesParts: cc.rng.IntN(2) == 0, takesTurns: cc.rng.IntN(2) == 0,
		soundInterval: between(100*time.Millisecond, 1200*time.Millisecond), lethalInterval: between(50*time.Millisecond, 800*time.Millisecond),
		soundDelay: between(0, 8*time.Second), restartAfter: between(-3*time.Second, 3*time.Second),
	}
	s.otherCrashes = cc.rng.IntN(2) * cc.rng.IntN(5)
	if cc.rng.IntN(2) == 0 {
		s.restartGap = between(500*time.Millisecond, 2*time.Second)
	}
	return s
}

// parts returns the parts of a request, without the one that is its own.
func (s restartScenario) parts(cc *crashCluster, isLethal bool) []quarantiner.Part {
	var parts []quarantiner.Part
	for n := range s.sharedParts {
		if isLethal && s.variesParts && cc.rng.IntN(3) == 0 {
			continue
		}
		parts = append(parts, firstSharedPart+quarantiner.Part(n))
	}
	if isLethal {
		parts = slices.Insert(parts, cc.rng.IntN(len(parts)+1), restartLethalPart)
	}
	return parts
}

// attempt sends a request to a host, and once more to another server if its server ends.
func (cc *crashCluster) attempt(h *simulatedHost, parts []quarantiner.Part, number int) {
	cc.lastTicket++
	t := cc.lastTicket
	cc.parts[t] = parts
	if number < maxAttempts {
		cc.onCrashed[t] = func() { cc.attempt(h, parts, number+1) }
	}
	now := cc.now - h.startedAt
	cc.apply(h, RequestArrived{Ticket: t, Service: plainService, FirstByteBy: now + 400*time.Millisecond, Deadline: now + 3*time.Second, Parts: parts})
}

// sendEvery sends requests of one kind from a time on until another.
func (cc *crashCluster) sendEvery(s restartScenario, isLethal bool, interval, from, until time.Duration) {
	turn := cc.rng.IntN(len(cc.hosts))
	for at := from; at < until; at += interval {
		cc.at(at, func() {
			h := cc.hosts[turn%len(cc.hosts)]
			if turn++; !s.takesTurns {
				h = cc.hosts[cc.rng.IntN(len(cc.hosts))]
			}
			if !isLethal && cc.isLearned(2*lethalWindow) {
				cc.sound++
			}
			cc.attempt(h, s.parts(cc, isLethal), 1)
		})
	}
}

// play plays a scenario. Sound requests alone come before.
func (cc *crashCluster) play(s restartScenario) {
	const calm, beside = 6 * time.Second, 40 * time.Second
	cc.runUntil(4 * time.Second)
	first := cc.now + calm
	end := first + beside
	cc.sendEvery(s, false, s.soundInterval, cc.now, first-2*time.Second)
	cc.sendEvery(s, false, s.soundInterval, first+s.soundDelay, end)
	cc.sendEvery(s, true, s.lethalInterval, first, end)
	cc.at(first-time.Millisecond, func() { cc.lethal = restartLethalPart })
	for n, h := range cc.hosts {
		cc.at(first+s.restartAfter+time.Duration(n)*s.restartGap, func() { cc.restart(h) })
	}
	for range s.otherCrashes {
		cc.at(first+time.Duration(cc.rng.IntN(4000))*time.Millisecond, func() { cc.crash(cc.servers[cc.rng.IntN(len(cc.servers))].ID) })
	}
	cc.runUntil(end)
}

// Guards against sound requests that are refused for long beside lethal ones, because no host
// knows after a restart that the parts that both share were ever answered.
func TestSharedPartAfterRestartOfAllHosts(t *testing.T) {
	for _, size := range []struct{ hosts, servers int }{{hosts: 3, servers: 12}, {hosts: 6, servers: 12}, {hosts: 30, servers: 20}} {
		for seed := range seedCount(t) / 6 {
			t.Run(fmt.Sprintf("%d hosts, seed %d", size.hosts, seed), func(t *testing.T) {
				t.Parallel()
				cc := newCrashCluster(seed, size.hosts, size.servers)
				s := cc.newRestartScenario()
				cc.play(s)
				t.Logf("%+v: %d servers ended, %d of %d sound requests served", s, len(cc.crashes), cc.served, cc.sound)
				if cc.sound >= minSoundRequests && 2*cc.served < cc.sound {
					t.Errorf("got %d of %d sound requests served, want half at least", cc.served, cc.sound)
				}
				if len(cc.violations) > 0 {
					t.Errorf("got violation %q of %d, want none", cc.violations[0], len(cc.violations))
				}
			})
		}
	}
}
