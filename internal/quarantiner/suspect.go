package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a part that may be quarantined.
type suspect struct {
	crashes   []Incarnation
	hasAnswer bool
	answers   int
}

// bestSuspect returns the part that explains best the crashes that were heard of before the settle time, nil if there
// are too few of them.
func (t *Table) bestSuspect(now, settleTime time.Duration) *suspect {
	var best *suspect
	for p, r := range t.records {
		if len(r.crashes) < minCrashes || t.quarantines[p] != nil {
			continue
		}
		if s := t.newSuspect(now, p, r, settleTime); len(s.crashes) >= minCrashes && s.compare(best) > 0 {
			best = s
		}
	}
	return best
}

// rivals returns the parts that may explain the crashes as well as the best one, with that one. If none of
// them was ever answered, few crashes more are no evidence: they may have another reason, and
// a crash that hosts know by two incarnations counts twice.
func (t *Table) rivals(now, settleTime time.Duration, best *suspect) []Part {
	var found []Part
	for p, r := range t.records {
		if len(r.crashes) < minCrashes || t.quarantines[p] != nil {
			continue
		}
		if s := t.newSuspect(now, p, r, settleTime); len(s.crashes) >= minCrashes && s.compare(best) == 0 {
			found = append(found, p)
			continue
		}
		// Other hosts may not have had the time to tell of answered requests.
		s := t.newSuspect(now, p, r, 0)
		if !s.hasAnswer && !best.hasAnswer && len(s.crashes) >= minCrashes && best.countBeyond(s) < minCrashes {
			found = append(found, p)
		}
	}
	return found
}

func (t *Table) newSuspect(now time.Duration, p Part, r *record, settleTime time.Duration) *suspect {
	return &suspect{crashes: t.countedCrashes(now, r, settleTime), hasAnswer: r.hasAnswer, answers: t.answerCount(p)}
}

// compare returns a positive number if a suspect explains crashes better than another one: it has
// never been answered, ended more servers, or has been answered less often. It returns 0 if
// the evidence is the same.
func (s *suspect) compare(o *suspect) int {
	if o == nil {
		return 1
	}
	if s.hasAnswer != o.hasAnswer {
		if o.hasAnswer {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(s.crashes), len(o.crashes)), cmp.Compare(o.answers, s.answers), slices.CompareFunc(s.crashes, o.crashes, Incarnation.compare))
}

// countBeyond returns the number of crashes that are not those of another suspect.
func (s *suspect) countBeyond(o *suspect) int {
	n := 0
	for _, i := range s.crashes {
		if !slices.Contains(o.crashes, i) {
			n++
		}
	}
	return n
}

func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Server, o.Server), cmp.Compare(i.StartedUnixMillis, o.StartedUnixMillis))
}

// countedCrashes returns the crashes that count against a part, in order: those later than its
// newest answer began, and that were heard of before the settle time. An answer that began shortly
// before speaks for the part all the same, unless servers go on ending under it.
func (t *Table) countedCrashes(now time.Duration, r *record, settleTime time.Duration) []Incarnation {
	var counted []Incarnation
	var first, last time.Duration
	for _, i := range r.crashes {
		c, ok := t.crashes[i]
		if !ok || c.isExplained || now-c.heardAt < settleTime || r.hasAnswer && r.answeredAt >= c.at {
			continue
		}
		if len(counted) == 0 {
			first, last = c.at, c.at
		}
		first, last = min(first, c.at), max(last, c.at)
		counted = append(counted, i)
	}
	if last-first < crashSpread {
		counted = slices.DeleteFunc(counted, func(i Incarnation) bool { return r.vouchesAt(t.crashes[i].at) })
	}
	slices.SortFunc(counted, Incarnation.compare)
	return counted
}
