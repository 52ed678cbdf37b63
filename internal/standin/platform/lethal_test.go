package platform

import (
	"fmt"
	"testing"
	"time"
)

// newCrashedChecker returns a checker of which servers have ended under the part "x" at a time.
func newCrashedChecker(start time.Time, crashes int) *lethalChecker {
	c := newLethalChecker()
	c.setPart("x")
	for n := range crashes {
		id := fmt.Sprintf("c%d", n)
		c.recordSent(id, "h0", []string{"x", "own"}, start)
		c.recordRun(id, []string{"x", "own"}, incarnation{server: fmt.Sprint(n)}, start)
	}
	return c
}

// Guards against a check that misses requests which reach servers with a part under which five
// have ended, or blames hosts for those that they may send.
func TestLethalArrivalCheck(t *testing.T) {
	late := stableWindow + time.Millisecond
	for name, c := range map[string]struct {
		crashes int
		parts   []string
		after   time.Duration
		before  func(c *lethalChecker, start time.Time)
		want    int
	}{
		"late":                  {crashes: 5, parts: []string{"x", "own"}, after: late, want: 2},
		"in the middle":         {crashes: 5, parts: []string{"a", "x", "own"}, after: late, want: 2},
		"as the last part":      {crashes: 5, parts: []string{"a", "x"}, after: late},
		"another part":          {crashes: 5, parts: []string{"a", "own"}, after: late},
		"within the window":     {crashes: 5, parts: []string{"x", "own"}, after: stableWindow},
		"after four":            {crashes: 4, parts: []string{"x", "own"}, after: late},
		"host that has started": {crashes: 5, parts: []string{"x", "own"}, after: late, before: func(c *lethalChecker, start time.Time) { c.excuse("h0", start.Add(time.Second)) }},
		"host that had started": {crashes: 5, parts: []string{"x", "own"}, after: late, before: func(c *lethalChecker, start time.Time) { c.excuse("h0", start.Add(-time.Second)) }, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			checker := newCrashedChecker(start, c.crashes)
			if c.before != nil {
				c.before(checker, start)
			}
			violations := 0
			for n := range maxLethalArrivals + 2 {
				id := fmt.Sprintf("r%d", n)
				checker.recordSent(id, "h0", c.parts, start.Add(c.after))
				violations += len(checker.recordArrival(id, "e0", start.Add(c.after)))
			}
			if violations != c.want {
				t.Errorf("got %d violations, want %d", violations, c.want)
			}
		})
	}
}

// Guards against a check that misses sound requests which do not run beside lethal ones, or
// counts those that it must not.
func TestSoundRequestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		crashes, beside, served int
		after                   time.Duration
		want                    int
	}{
		"none runs":              {crashes: 5, beside: 40, after: 2*stableWindow + time.Second, want: 1},
		"less than half run":     {crashes: 5, beside: 40, served: 19, after: 2*stableWindow + time.Second, want: 1},
		"half run":               {crashes: 5, beside: 40, served: 20, after: 2*stableWindow + time.Second},
		"few":                    {crashes: 5, beside: 19, after: 2*stableWindow + time.Second},
		"earlier":                {crashes: 5, beside: 40, after: stableWindow},
		"fewer crashes":          {crashes: 2, beside: 40, after: 2*stableWindow + time.Second, want: 1},
		"after the last request": {crashes: 5, beside: 40, after: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			checker := newCrashedChecker(start, c.crashes)
			for n := range 40 {
				id := fmt.Sprintf("b%d", n)
				checker.recordSent(id, "h0", []string{"a", "own"}, start.Add(-time.Minute))
				checker.recordRun(id, []string{"a", "own"}, incarnation{}, start.Add(-time.Minute))
			}
			for n := range c.beside {
				id := fmt.Sprintf("s%d", n)
				checker.recordSent(id, "h0", []string{"a", "own"}, start.Add(c.after))
				if n < c.served {
					checker.recordRun(id, []string{"a", "own"}, incarnation{}, start.Add(c.after))
				}
			}
			checker.recordSent("last", "h0", []string{"x", "own"}, start.Add(time.Minute))
			if got := checker.checkSoundRequests("x"); len(got) != c.want {
				t.Errorf("got violations %q, want %d", got, c.want)
			}
		})
	}
}
