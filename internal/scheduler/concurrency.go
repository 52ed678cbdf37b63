package scheduler

import "time"

const (
	// adjustInterval is the time between two adjustments of the concurrency limits.
	adjustInterval = time.Second
	// latenessWindow is the time constant of the sums in lateness.
	latenessWindow = 3 * time.Second
	// decreaseThreshold is the fraction of late tokens above which a limit is
	// lowered.
	decreaseThreshold = 0.05
	// increaseThreshold is the fraction of late tokens below which a limit is
	// raised.
	increaseThreshold = 0.02
	// minTokenSamples is the number of recent tokens from which their late
	// fraction is known.
	minTokenSamples = 50
	// minFirstTokenSamples is the number of recent first tokens from which their
	// late fraction is known.
	minFirstTokenSamples = 20
	// decreaseFactor is the factor by which the limit of a late replica is
	// multiplied.
	decreaseFactor = 0.85
	// minLimitFraction is the smallest limit as a fraction of the configured slots.
	minLimitFraction = 0.25
)

// lateness counts the tokens of one rank on one replica, and those of them that
// came later than the rank's targets.
type lateness struct {
	firstTokenCount, lateFirstTokenCount decayingSum
	tokenCount, lateTokenCount           decayingSum
}

func newLateness() *lateness {
	sum := decayingSum{timeConstant: latenessWindow}
	return &lateness{firstTokenCount: sum, lateFirstTokenCount: sum, tokenCount: sum, lateTokenCount: sum}
}

// lateFraction returns the late fraction of the tokens or of the first tokens,
// whichever is greater.
func (l *lateness) lateFraction(now time.Duration) (fraction float64, known bool) {
	if n := l.tokenCount.valueAt(now); n >= minTokenSamples {
		fraction, known = l.lateTokenCount.valueAt(now)/n, true
	}
	if n := l.firstTokenCount.valueAt(now); n >= minFirstTokenSamples {
		fraction, known = max(fraction, l.lateFirstTokenCount.valueAt(now)/n), true
	}
	return fraction, known
}

func (rs *replicaState) latenessOf(order int) *lateness {
	l, ok := rs.latenessByOrder[order]
	if !ok {
		l = newLateness()
		rs.latenessByOrder[order] = l
	}
	return l
}

// recordFirstToken records the time to the first token of a job.
func (rs *replicaState) recordFirstToken(now time.Duration, j *job, wait time.Duration) {
	j.class.firstTokenCount.add(now, 1)
	j.class.firstTokenSeconds.add(now, wait.Seconds())
	target := j.class.rank.FirstTokenTarget()
	if target == 0 {
		return
	}
	l := rs.latenessOf(j.class.key.rankOrder)
	l.firstTokenCount.add(now, 1)
	if wait > target {
		l.lateFirstTokenCount.add(now, 1)
	}
}

// recordInterToken records the time that further tokens of a job took.
func (rs *replicaState) recordInterToken(now time.Duration, j *job, tokens int, elapsed time.Duration) {
	if tokens <= 0 {
		return
	}
	rs.interTokenSeconds.add(now, elapsed.Seconds())
	rs.interTokenCount.add(now, float64(tokens))
	target := j.class.rank.InterTokenTarget()
	if target == 0 {
		return
	}
	l := rs.latenessOf(j.class.key.rankOrder)
	l.tokenCount.add(now, float64(tokens))
	if elapsed > target*time.Duration(tokens) {
		l.lateTokenCount.add(now, float64(tokens))
	}
}

// adjustLimits adjusts the concurrency limits of the replicas once per
// adjustInterval: additive increase, multiplicative decrease.
//
// If more than decreaseThreshold of any rank's tokens are late on a replica, its
// limit is multiplied by decreaseFactor. If less than increaseThreshold are late
// and the limit is reached, it is raised by one. Each rank is compared with its own
// targets, so background work alone uses every slot, and a few urgent streams are
// enough to lower the limit.
func (p *pool) adjustLimits(now time.Duration) {
	if now < p.nextAdjustAt {
		return
	}
	p.nextAdjustAt = now + adjustInterval
	changed := p.updateSpeeds(now)
	for _, rs := range p.replicaStates {
		changed = rs.adjustLimit(now, p.scheduler.disabledMechanisms[AdaptiveConcurrency]) || changed
	}
	for _, c := range p.classes {
		c.queue.removeIdleFlows(now)
	}
	if changed {
		p.recountSlots()
	}
	// Floors and headroom change with time as well as with events.
	p.dirty = p.dirty || p.queueLength > 0
}

func (rs *replicaState) adjustLimit(now time.Duration, disabled bool) bool {
	if disabled {
		return false
	}
	worst, known := rs.worstLateness(now)
	before := rs.concurrencyLimit
	switch {
	case known && worst > decreaseThreshold:
		minLimit := max(1, int(minLimitFraction*float64(rs.replica.Slots())))
		rs.concurrencyLimit = max(minLimit, min(rs.concurrencyLimit-1, int(decreaseFactor*float64(rs.concurrencyLimit))))
	case worst < increaseThreshold && rs.runningRequests >= rs.concurrencyLimit:
		rs.concurrencyLimit = min(rs.concurrencyLimit+1, rs.replica.Slots())
	}
	return rs.concurrencyLimit != before
}

func (rs *replicaState) worstLateness(now time.Duration) (worst float64, known bool) {
	for _, l := range rs.latenessByOrder {
		f, ok := l.lateFraction(now)
		worst, known = max(worst, f), known || ok
	}
	return worst, known
}
