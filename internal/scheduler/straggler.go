package scheduler

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// pace is the standing of a replica among its peers.
type pace int

const (
	// steady means that the replica keeps up with its peers.
	steady pace = iota
	// slow means that it is slower and gets half of its slots.
	slow
	// stopped means that it has been slow for long and gets nothing.
	stopped
	// probed means that a stopped replica gets one request, to see whether it
	// has recovered.
	probed
)

const (
	// paceWindow is the time constant over which the pace is measured.
	paceWindow = 5 * time.Second
	// paceTokens is the number of recent tokens that a judgement needs.
	paceTokens = 20
	// slowRatio is the multiple of the median pace from which a replica is slow.
	slowRatio = 2
	// steadyRatio is the multiple below which a slow replica is steady again.
	steadyRatio = 1.4
	// slowTime is the time after which a slow replica is stopped.
	slowTime = 5 * time.Second
	// probePeriod is the time between two probes of a stopped replica.
	probePeriod = 10 * time.Second
)

// interToken returns the recent mean time between tokens.
func (t *station) interToken(now time.Duration) (gap time.Duration, known bool) {
	n := t.gapTokens.read(now)
	if n < paceTokens {
		return 0, false
	}
	return time.Duration(t.gap.read(now) / n * float64(time.Second)), true
}

// judgePaces compares each replica with the median of the others, at this
// dispatcher and at the peers. It reports whether a standing has changed.
func (p *pool) judgePaces(now time.Duration) bool {
	if p.scheduler.off[StragglerAvoidance] {
		return false
	}
	changed := false
	for _, t := range p.stations {
		before := t.standing
		p.judge(now, t)
		changed = changed || t.standing != before
	}
	return changed
}

func (p *pool) judge(now time.Duration, t *station) {
	if t.standing == stopped {
		if now >= t.probing {
			t.standing = probed
		}
		return
	}
	gap, known := t.interToken(now)
	usual, found := median(append(p.gapsBeside(now, t), p.peers...))
	if !known || !found {
		return
	}
	switch {
	case gap < scale(usual, steadyRatio):
		t.standing, t.straggles = steady, false
	case gap >= scale(usual, slowRatio) && t.standing == steady:
		t.standing, t.slowSince = slow, now
	case t.standing == probed, t.standing == slow && now-t.slowSince >= slowTime:
		t.straggles = true
		if p.mayStop(t) {
			t.standing, t.probing = stopped, now+probePeriod
		}
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// mayStop reports whether at least half of the replicas here go on without t,
// so that a wrong measure never takes a service away and no request that waits
// here is stranded.
func (p *pool) mayStop(t *station) bool {
	others := 0
	for _, o := range p.stations {
		if o != t && o.standing != stopped {
			others++
		}
	}
	return 2*others >= len(p.stations)
}

// gapsBeside returns the mean times between tokens at the replicas but t.
func (p *pool) gapsBeside(now time.Duration, t *station) []time.Duration {
	var gaps []time.Duration
	for _, o := range p.stations {
		if gap, known := o.interToken(now); known && o != t {
			gaps = append(gaps, gap)
		}
	}
	return gaps
}

// median returns the lower median, false without values.
func median(values []time.Duration) (time.Duration, bool) {
	if len(values) == 0 {
		return 0, false
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], true
}

// Stragglers returns the replicas that have been much slower than their peers
// for some time, in the order of their identifiers.
func (s *Scheduler) Stragglers() []fuchsiapitch.ReplicaID {
	var ids []fuchsiapitch.ReplicaID
	for _, p := range s.ordered {
		for _, t := range p.stations {
			if t.straggles {
				ids = append(ids, t.replica.ID())
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// SetPeerPaces sets the mean times between tokens that other dispatchers
// measure for a service.
func (s *Scheduler) SetPeerPaces(service fuchsiapitch.ServiceName, paces []time.Duration) {
	if p, ok := s.pools[service]; ok {
		p.peers = paces
	}
}

// Pace returns the mean time between tokens at the median replica of a service.
func (s *Scheduler) Pace(now fuchsiapitch.Instant, service fuchsiapitch.ServiceName) (time.Duration, bool) {
	p, ok := s.pools[service]
	if !ok {
		return 0, false
	}
	gaps := p.gapsBeside(now.Monotonic(), nil)
	return median(gaps)
}
