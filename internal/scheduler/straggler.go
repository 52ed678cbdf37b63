package scheduler

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// speedState is the state of a replica by its speed compared with its peers.
type speedState int

const (
	// normalSpeed means that the replica is about as fast as its peers.
	normalSpeed speedState = iota
	// slow means that the replica is slower than its peers and may use half of its
	// slots.
	slow
	// ejected means that the replica has been slow for ejectionDelay and receives no
	// requests.
	ejected
	// probing means that an ejected replica may run one request, to check whether it
	// has recovered.
	probing
)

const (
	// interTokenWindow is the time constant of the sums that give the mean time
	// between tokens.
	interTokenWindow = 5 * time.Second
	// minInterTokenSamples is the number of recent tokens from which the mean time
	// between tokens is known.
	minInterTokenSamples = 20
	// slowRatio is the multiple of the median time between tokens from which a
	// replica is slow.
	slowRatio = 2
	// recoveryRatio is the multiple of that median below which a slow replica has
	// normal speed again.
	recoveryRatio = 1.4
	// ejectionDelay is the time after which a slow replica is ejected.
	ejectionDelay = 5 * time.Second
	// probeInterval is the time from the ejection of a replica to its next probe.
	probeInterval = 10 * time.Second
)

// meanInterToken returns the recent mean time between tokens.
func (rs *replicaState) meanInterToken(now time.Duration) (interToken time.Duration, known bool) {
	n := rs.interTokenCount.valueAt(now)
	if n < minInterTokenSamples {
		return 0, false
	}
	return time.Duration(rs.interTokenSeconds.valueAt(now) / n * float64(time.Second)), true
}

// updateSpeeds compares each replica with the median of the other replicas, at this
// and at other dispatchers. It reports whether a speed has changed.
func (p *pool) updateSpeeds(now time.Duration) bool {
	if p.scheduler.disabledMechanisms[StragglerAvoidance] {
		return false
	}
	changed := false
	for _, rs := range p.replicaStates {
		before := rs.speed
		p.updateSpeed(now, rs)
		changed = changed || rs.speed != before
	}
	return changed
}

// updateSpeed updates the speed of one replica. A slow replica is ejected after
// ejectionDelay, a probed one at once if it has not recovered.
func (p *pool) updateSpeed(now time.Duration, rs *replicaState) {
	if rs.speed == ejected {
		if now >= rs.nextProbeAt {
			rs.speed = probing
		}
		return
	}
	interToken, known := rs.meanInterToken(now)
	peerMedian, found := median(append(p.interTokenTimesExcept(now, rs), p.peerInterTokenTimes...))
	if !known || !found {
		return
	}
	switch {
	case interToken < scaleDuration(peerMedian, recoveryRatio):
		rs.speed, rs.straggling = normalSpeed, false
	case interToken >= scaleDuration(peerMedian, slowRatio) && rs.speed == normalSpeed:
		rs.speed, rs.slowSince = slow, now
	case rs.speed == probing, rs.speed == slow && now-rs.slowSince >= ejectionDelay:
		rs.straggling = true
		if p.mayEject(rs) {
			rs.speed, rs.nextProbeAt = ejected, now+probeInterval
		}
	}
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// mayEject reports whether at least half of the replicas of the pool remain in use
// without rs, so that a wrong measurement never makes a service unavailable and no
// queued request is left without a replica.
func (p *pool) mayEject(rs *replicaState) bool {
	others := 0
	for _, o := range p.replicaStates {
		if o != rs && o.speed != ejected {
			others++
		}
	}
	return 2*others >= len(p.replicaStates)
}

// interTokenTimesExcept returns the known mean times between tokens of all replicas
// of the pool but rs.
func (p *pool) interTokenTimesExcept(now time.Duration, rs *replicaState) []time.Duration {
	var times []time.Duration
	for _, o := range p.replicaStates {
		if interToken, known := o.meanInterToken(now); known && o != rs {
			times = append(times, interToken)
		}
	}
	return times
}

// median returns the lower median, false if there are no values. It sorts the
// values in place.
func median(values []time.Duration) (time.Duration, bool) {
	if len(values) == 0 {
		return 0, false
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], true
}

// Stragglers returns the replicas that have been slow for ejectionDelay and have not
// recovered, sorted by identifier.
func (s *Scheduler) Stragglers() []fuchsiapitch.ReplicaID {
	var ids []fuchsiapitch.ReplicaID
	for _, p := range s.sortedPools {
		for _, rs := range p.replicaStates {
			if rs.straggling {
				ids = append(ids, rs.replica.ID())
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// SetPeerInterTokenTimes sets the mean times between tokens that other dispatchers
// report for a service.
func (s *Scheduler) SetPeerInterTokenTimes(service fuchsiapitch.ServiceName, interTokenTimes []time.Duration) {
	if p, ok := s.pools[service]; ok {
		p.peerInterTokenTimes = interTokenTimes
	}
}

// MedianInterTokenTime returns the mean time between tokens at the median replica
// of a service, false if it is not known for any replica.
func (s *Scheduler) MedianInterTokenTime(now fuchsiapitch.Instant, service fuchsiapitch.ServiceName) (time.Duration, bool) {
	p, ok := s.pools[service]
	if !ok {
		return 0, false
	}
	times := p.interTokenTimesExcept(now.Monotonic(), nil)
	return median(times)
}
