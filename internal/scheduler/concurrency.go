package scheduler

import "time"

const (
	// adjustPeriod is the time between two adjustments of the limits.
	adjustPeriod = time.Second
	// latenessWindow is the time constant over which lateness is measured.
	latenessWindow = 3 * time.Second
	// lateLimit is the fraction of late tokens above which a limit is lowered.
	lateLimit = 0.05
	// earlyLimit is the fraction of late tokens below which a limit is raised.
	earlyLimit = 0.02
	// lateTokens is the number of tokens that a judgement needs.
	lateTokens = 50
	// lateAnswers is the number of first tokens that a judgement needs.
	lateAnswers = 20
	// decrease is the factor by which the limit of a late replica is lowered.
	decrease = 0.85
	// minimumLimit is the smallest fraction of the configured slots.
	minimumLimit = 0.25
)

// lateness counts, for one rank on one replica, what came later than the
// rank's targets.
type lateness struct {
	answers, lateAnswers meter
	tokens, lateTokens   meter
}

func newLateness() *lateness {
	m := meter{window: latenessWindow}
	return &lateness{answers: m, lateAnswers: m, tokens: m, lateTokens: m}
}

func (l *lateness) fraction(now time.Duration) (fraction float64, known bool) {
	if n := l.tokens.read(now); n >= lateTokens {
		fraction, known = l.lateTokens.read(now)/n, true
	}
	if n := l.answers.read(now); n >= lateAnswers {
		fraction, known = max(fraction, l.lateAnswers.read(now)/n), true
	}
	return fraction, known
}

func (t *station) latenessOf(order int) *lateness {
	l, ok := t.lateness[order]
	if !ok {
		l = newLateness()
		t.lateness[order] = l
	}
	return l
}

// answered measures the time to the first token of a job.
func (t *station) answered(now time.Duration, j *job, wait time.Duration) {
	j.class.answers.add(now, 1)
	j.class.answerTime.add(now, wait.Seconds())
	target := j.class.rank.FirstTokenTarget()
	if target == 0 {
		return
	}
	l := t.latenessOf(j.class.key.order)
	l.answers.add(now, 1)
	if wait > target {
		l.lateAnswers.add(now, 1)
	}
}

// progressed measures the time between the tokens of a job.
func (t *station) progressed(now time.Duration, j *job, tokens int, elapsed time.Duration) {
	if tokens <= 0 {
		return
	}
	t.gap.add(now, elapsed.Seconds())
	t.gapTokens.add(now, float64(tokens))
	target := j.class.rank.InterTokenTarget()
	if target == 0 {
		return
	}
	l := t.latenessOf(j.class.key.order)
	l.tokens.add(now, float64(tokens))
	if elapsed > target*time.Duration(tokens) {
		l.lateTokens.add(now, float64(tokens))
	}
}

// adjust adapts the limits of the replicas once a period.
//
// The limit of a replica on which more than lateLimit of any rank's tokens come
// late is multiplied by decrease; a limit that is used up on a replica with
// less than earlyLimit is raised by one. Each rank is judged by its own
// targets, so background work alone uses every slot, and a few urgent streams
// are enough to lower the limit.
func (p *pool) adjust(now time.Duration) {
	if now < p.adjustDue {
		return
	}
	p.adjustDue = now + adjustPeriod
	changed := p.judgePaces(now)
	for _, t := range p.stations {
		changed = t.adapt(now, p.scheduler.off[AdaptiveConcurrency]) || changed
	}
	for _, c := range p.classes {
		c.fair.sweep(now)
	}
	if changed {
		p.recount()
	}
	// Floors depend on time as well as on events.
	p.dirty = p.dirty || p.waiting > 0
}

func (t *station) adapt(now time.Duration, off bool) bool {
	if off {
		return false
	}
	worst, known := t.worstLateness(now)
	before := t.limit
	switch {
	case known && worst > lateLimit:
		smallest := max(1, int(minimumLimit*float64(t.replica.Slots())))
		t.limit = max(smallest, min(t.limit-1, int(decrease*float64(t.limit))))
	case worst < earlyLimit && t.running >= t.limit:
		t.limit = min(t.limit+1, t.replica.Slots())
	}
	return t.limit != before
}

func (t *station) worstLateness(now time.Duration) (worst float64, known bool) {
	for _, l := range t.lateness {
		f, ok := l.fraction(now)
		worst, known = max(worst, f), known || ok
	}
	return worst, known
}
