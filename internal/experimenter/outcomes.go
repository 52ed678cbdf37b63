package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	outcomeCalls      = 20_000
	outcomeQuickCalls = 3_000
	outcomeCalm       = 1_000
	outcomeWorkers    = 400
	outcomeLinger     = time.Second
	outcomeTimeout    = 6 * time.Second
	outcomePrompts    = 8
	// outcomeTries is the largest number of calls that a caller makes for one
	// piece of work.
	outcomeTries = 60
	outcomePause = 50 * time.Millisecond
)

// tally counts what callers were told.
type tally struct {
	bookings, keyed                 atomic.Int64
	wholeBookings, unknown, nothing atomic.Int64
	notRunYetRun, crossed, unkept   atomic.Int64
	lookups, answeredLookups        atomic.Int64
	streams, answeredStreams        atomic.Int64
	errorEvents, lostStreams        atomic.Int64
	silentStreams, wrongText        atomic.Int64
	repeatedTokens, lostTokens      atomic.Int64

	mutex sync.Mutex
	// times are the times of whole pieces of work by kind, in microseconds.
	times map[string]*hdrhistogram.Histogram
}

// took records the time of one piece of work, with all its calls.
func (t *tally) took(kind string, since time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h, ok := t.times[kind]
	if !ok {
		h = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		t.times[kind] = h
	}
	// No piece of work takes an hour.
	_ = h.RecordValue(max(1, time.Since(since).Microseconds()))
}

// outcomesExperiment has bookings, lookups and streams go through the system
// while everything fails.
type outcomesExperiment struct{}

// Name implements Experiment.
func (outcomesExperiment) Name() string { return "outcomes" }

// Synopsis implements Experiment.
func (outcomesExperiment) Synopsis() string {
	return "what callers are told while servers, entry hosts, connections and the log fail"
}

// Run implements Experiment.
func (outcomesExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	bed, cleanUp, err := startOutcomeBed(ctx, outcomeLinger, outcomeTimeout)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	w, err := newOutcomeWork(ctx, bed, run.Seed)
	if err != nil {
		return nil, err
	}
	report := NewReport("outcomes", run.Seed)
	calls := outcomeCalls
	if run.Quick {
		calls = outcomeQuickCalls
	}
	fmt.Fprintf(run.Progress, "%d bookings, lookups and streams each without faults\n", outcomeCalm)
	w.work(ctx, outcomeCalm)
	report.AtMost("unknown-bookings-without-faults", 0, float64(w.tally.unknown.Load()+w.tally.nothing.Load()))
	fmt.Fprintf(run.Progress, "%d each while single answers are lost, crossed or cut\n", outcomeCalm)
	w.underStruckAnswers(ctx, report)
	fmt.Fprintf(run.Progress, "%d each under faults\n", calls)
	started := time.Now()
	w.underStorm(ctx, calls, report)
	report.Set("storm-seconds", time.Since(started).Seconds())
	w.report(report)
	for _, v := range bed.violations {
		fmt.Fprintln(run.Progress, v)
	}
	return report, nil
}

// outcomeWork is the work of all callers.
type outcomeWork struct {
	bed      *outcomeBed
	seed     uint64
	expected [outcomePrompts]string
	tally    tally
	next     atomic.Int64
}

func newOutcomeWork(ctx context.Context, bed *outcomeBed, seed uint64) (*outcomeWork, error) {
	w := &outcomeWork{bed: bed, seed: seed}
	w.tally.times = make(map[string]*hdrhistogram.Histogram)
	for n := range w.expected {
		text, err := bed.expected(ctx, outcomePrompt(n, outcomeTokens))
		if err != nil {
			return nil, err
		}
		w.expected[n] = text
	}
	return w, nil
}

// underStruckAnswers has the callers work while single answers are struck, and
// compares the unknown bookings with the answers that were struck.
func (w *outcomeWork) underStruckAnswers(ctx context.Context, report *Report) {
	unknown := func() int64 { return w.tally.unknown.Load() + w.tally.nothing.Load() }
	before := unknown()
	strikeContext, stop := context.WithCancel(ctx)
	struck := make(chan int, 1)
	go func() { struck <- newStorm(w.bed, w.seed).strikeAnswers(strikeContext) }()
	w.work(ctx, outcomeCalm)
	stop()
	answers := <-struck
	report.Set("answers-struck-alone", float64(answers))
	report.Set("unknown-bookings-with-answers-struck-alone", float64(unknown()-before))
	report.AtMost("unknown-bookings-beyond-struck-answers", 0, float64(max(0, unknown()-before-int64(answers))))
}

// underStorm has the callers work while faults strike.
func (w *outcomeWork) underStorm(ctx context.Context, calls int, report *Report) {
	stormContext, stop := context.WithCancel(ctx)
	s, ended := newStorm(w.bed, w.seed), make(chan struct{})
	go func() {
		defer close(ended)
		s.run(stormContext)
	}()
	w.work(ctx, calls)
	stop()
	<-ended
	s.report(report)
}

// work has the callers make a number of bookings, lookups and streams each.
func (w *outcomeWork) work(ctx context.Context, calls int) {
	var left atomic.Int64
	left.Store(int64(calls))
	var running sync.WaitGroup
	for n := range outcomeWorkers {
		running.Go(func() {
			c := newOutcomeCaller(w.bed)
			defer c.close()
			random := rand.New(rand.NewPCG(w.seed, uint64(n)+100))
			for left.Add(-1) >= 0 && ctx.Err() == nil {
				w.book(ctx, c, random)
				w.lookUp(ctx, c, random)
				w.stream(ctx, c, random)
			}
		})
	}
	running.Wait()
}

// base returns the address of an entry host at random.
func (w *outcomeWork) base(random *rand.Rand) string {
	hosts := w.bed.cluster.Hosts()
	return hosts[random.IntN(len(hosts))].URL()
}

// book makes one booking. Three of four have a key, with which the caller may
// try again whatever it was told; without one it tries again only when it was
// told that the booking was not run.
func (w *outcomeWork) book(ctx context.Context, c *outcomeCaller, random *rand.Rand) {
	defer w.tally.took("booking", time.Now())
	w.tally.bookings.Add(1)
	reference, key := fmt.Sprintf("booking-%d", w.next.Add(1)), ""
	if random.IntN(4) > 0 {
		w.tally.keyed.Add(1)
		key = reference
	}
	mayHaveRun := false
	for range outcomeTries {
		switch s := c.book(ctx, w.base(random), reference, key); s {
		case saidWhole:
			w.tally.wholeBookings.Add(1)
			if w.bed.fleet.Ledger().Runs(reference) == 0 {
				w.tally.unkept.Add(1)
			}
			return
		case saidCrossed:
			w.tally.crossed.Add(1)
			return
		case saidNotRun:
			if !mayHaveRun && w.bed.fleet.Ledger().Runs(reference) > 0 {
				w.tally.notRunYetRun.Add(1)
			}
		case saidNothing, saidUnknown, saidFailed:
			mayHaveRun = true
			if key == "" {
				w.settle(s)
				return
			}
		}
		time.Sleep(outcomePause)
	}
	if mayHaveRun {
		w.settle(saidUnknown)
	}
}

func (w *outcomeWork) settle(s said) {
	if s == saidNothing {
		w.tally.nothing.Add(1)
		return
	}
	w.tally.unknown.Add(1)
}

// lookUp repeats a call until it is answered.
func (w *outcomeWork) lookUp(ctx context.Context, c *outcomeCaller, random *rand.Rand) {
	defer w.tally.took("lookup", time.Now())
	w.tally.lookups.Add(1)
	name := fmt.Sprintf("member-%d", w.next.Add(1))
	for range outcomeTries {
		switch c.lookUp(ctx, w.base(random), name) {
		case saidWhole:
			w.tally.answeredLookups.Add(1)
			return
		case saidCrossed:
			w.tally.crossed.Add(1)
			return
		case saidNotRun, saidNothing, saidUnknown, saidFailed:
			time.Sleep(outcomePause)
		}
	}
}

// stream repeats a stream until it is whole. Every piece of it is checked.
func (w *outcomeWork) stream(ctx context.Context, c *outcomeCaller, random *rand.Rand) {
	defer w.tally.took("stream", time.Now())
	w.tally.streams.Add(1)
	prompt := random.IntN(outcomePrompts)
	for range outcomeTries {
		r := c.stream(ctx, w.base(random), outcomePrompt(prompt, outcomeTokens))
		w.tally.repeatedTokens.Add(int64(r.repeated))
		w.tally.lostTokens.Add(int64(r.lost))
		if !strings.HasPrefix(w.expected[prompt], r.text) || (r.end == streamWhole && r.text != w.expected[prompt]) {
			w.tally.wrongText.Add(1)
		}
		switch r.end {
		case streamWhole:
			w.tally.answeredStreams.Add(1)
			return
		case streamError:
			w.tally.errorEvents.Add(1)
		case streamLost:
			w.tally.lostStreams.Add(1)
		case streamSilent:
			w.tally.silentStreams.Add(1)
		case streamRefused:
		}
		time.Sleep(outcomePause)
	}
}

func (w *outcomeWork) report(r *Report) {
	t := &w.tally
	r.AtLeast("bookings", outcomeCalm, float64(t.bookings.Load()))
	r.Set("bookings-with-key", float64(t.keyed.Load()))
	r.Set("bookings-answered", float64(t.wholeBookings.Load()))
	r.Set("bookings-unknown", float64(t.unknown.Load()))
	r.Set("bookings-without-word", float64(t.nothing.Load()))
	r.Set("bookings-unknown-percent", 100*float64(t.unknown.Load()+t.nothing.Load())/float64(max(t.bookings.Load(), 1)))
	r.AtMost("bookings-doubled", 0, float64(len(w.bed.fleet.Ledger().Doubled())))
	r.AtMost("bookings-told-not-run-yet-run", 0, float64(t.notRunYetRun.Load()))
	r.AtMost("bookings-answered-yet-not-run", 0, float64(t.unkept.Load()))
	r.AtMost("answers-crossed", 0, float64(t.crossed.Load()))
	r.Set("lookups", float64(t.lookups.Load()))
	r.AtMost("lookups-not-answered", 0, float64(t.lookups.Load()-t.answeredLookups.Load()))
	r.Set("streams", float64(t.streams.Load()))
	r.AtMost("streams-not-answered", 0, float64(t.streams.Load()-t.answeredStreams.Load()))
	r.AtMost("streams-cut-without-saying-so", 0, float64(t.silentStreams.Load()))
	r.AtMost("streams-with-wrong-text", 0, float64(t.wrongText.Load()))
	r.AtMost("tokens-repeated", 0, float64(t.repeatedTokens.Load()))
	r.AtMost("tokens-lost", 0, float64(t.lostTokens.Load()))
	r.Set("streams-ended-by-error-event", float64(t.errorEvents.Load()))
	r.Set("streams-lost-with-their-entry-host", float64(t.lostStreams.Load()))
	for kind, h := range t.times {
		for _, p := range []float64{50, 95, 99, 100} {
			r.Set(fmt.Sprintf("%s-time-p%.0f-ms", kind, p), float64(h.ValueAtQuantile(p))/1000)
		}
	}
	r.AtMost("invariants-violated", 0, float64(len(w.bed.violations)))
}
