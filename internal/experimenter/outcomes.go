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
	faultCalls            = 20_000
	quickFaultCalls       = 3_000
	baselineCalls         = 1_000
	outcomeWorkers        = 400
	outcomeLinger         = time.Second
	outcomeRequestTimeout = 6 * time.Second
	outcomePromptCount    = 8
	// outcomeMaxAttempts is the maximum number of calls for one operation.
	outcomeMaxAttempts   = 60
	outcomeRetryInterval = 50 * time.Millisecond
)

// outcomeCounters counts the outcomes as reported to the clients.
type outcomeCounters struct {
	bookings, keyedBookings                                          atomic.Int64
	answeredBookings, unknownBookings, disconnectedBookings          atomic.Int64
	falseNotRunBookings, mismatchedResponses, answeredNotRunBookings atomic.Int64
	lookups, answeredLookups                                         atomic.Int64
	streams, answeredStreams                                         atomic.Int64
	errorEventStreams, disconnectedStreams                           atomic.Int64
	truncatedStreams, wrongTextStreams                               atomic.Int64
	repeatedTokens, lostTokens                                       atomic.Int64

	durationsMutex sync.Mutex
	// durationsByKind holds the durations of whole operations in microseconds.
	durationsByKind map[string]*hdrhistogram.Histogram
}

// recordDuration records the duration of an operation with all its calls.
func (t *outcomeCounters) recordDuration(kind string, since time.Time) {
	t.durationsMutex.Lock()
	defer t.durationsMutex.Unlock()
	h, ok := t.durationsByKind[kind]
	if !ok {
		h = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		t.durationsByKind[kind] = h
	}
	// It fails only for a duration of more than an hour, which does not occur.
	_ = h.RecordValue(max(1, time.Since(since).Microseconds()))
}

// outcomesExperiment sends bookings, lookups and streams through the system
// while every component fails.
type outcomesExperiment struct{}

// Name implements Experiment.
func (outcomesExperiment) Name() string { return "outcomes" }

// Synopsis implements Experiment.
func (outcomesExperiment) Synopsis() string {
	return "outcomes reported to callers while servers, entry hosts, connections and the log fail"
}

// Run implements Experiment.
func (outcomesExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	testbed, closeTestbed, err := startOutcomeTestbed(ctx, outcomeLinger, outcomeRequestTimeout)
	if err != nil {
		return nil, err
	}
	defer closeTestbed()
	w, err := newOutcomeWorkload(ctx, testbed, run.Seed)
	if err != nil {
		return nil, err
	}
	report := NewReport("outcomes", run.Seed)
	calls := faultCalls
	if run.Quick {
		calls = quickFaultCalls
	}
	fmt.Fprintf(run.Progress, "%d bookings, lookups and streams each without faults\n", baselineCalls)
	w.runCalls(ctx, baselineCalls)
	report.AtMost("unknown-bookings-without-faults", 0, float64(w.counters.unknownBookings.Load()+w.counters.disconnectedBookings.Load()))
	fmt.Fprintf(run.Progress, "%d each while single responses are lost, mismatched or truncated\n", baselineCalls)
	w.runWithResponseFaults(ctx, report)
	fmt.Fprintf(run.Progress, "%d each under faults\n", calls)
	started := time.Now()
	w.runWithFaults(ctx, calls, report)
	report.Set("storm-seconds", time.Since(started).Seconds())
	w.fillReport(report)
	for _, v := range testbed.violations {
		fmt.Fprintln(run.Progress, v)
	}
	return report, nil
}

// outcomeWorkload is the load of all clients.
type outcomeWorkload struct {
	testbed        *outcomeTestbed
	seed           uint64
	expectedTexts  [outcomePromptCount]string
	counters       outcomeCounters
	operationCount atomic.Int64
}

func newOutcomeWorkload(ctx context.Context, testbed *outcomeTestbed, seed uint64) (*outcomeWorkload, error) {
	w := &outcomeWorkload{testbed: testbed, seed: seed}
	w.counters.durationsByKind = make(map[string]*hdrhistogram.Histogram)
	for n := range w.expectedTexts {
		text, err := testbed.expectedText(ctx, outcomeChatBody(n, outcomeStreamTokens))
		if err != nil {
			return nil, err
		}
		w.expectedTexts[n] = text
	}
	return w, nil
}

// runWithResponseFaults runs the clients while faults of single responses are
// injected, and compares the bookings with unknown outcome to the number of
// faults.
func (w *outcomeWorkload) runWithResponseFaults(ctx context.Context, report *Report) {
	unresolved := func() int64 { return w.counters.unknownBookings.Load() + w.counters.disconnectedBookings.Load() }
	before := unresolved()
	responseFaultContext, stop := context.WithCancel(ctx)
	faultCounts := make(chan int, 1)
	go func() { faultCounts <- newFaultInjector(w.testbed, w.seed).injectResponseFaults(responseFaultContext) }()
	w.runCalls(ctx, baselineCalls)
	stop()
	responseFaultCount := <-faultCounts
	report.Set("answers-struck-alone", float64(responseFaultCount))
	report.Set("unknown-bookings-with-answers-struck-alone", float64(unresolved()-before))
	report.AtMost("unknown-bookings-beyond-struck-answers", 0, float64(max(0, unresolved()-before-int64(responseFaultCount))))
}

// runWithFaults runs the clients while faults are injected.
func (w *outcomeWorkload) runWithFaults(ctx context.Context, calls int, report *Report) {
	faultContext, stop := context.WithCancel(ctx)
	injector, injectorDone := newFaultInjector(w.testbed, w.seed), make(chan struct{})
	go func() {
		defer close(injectorDone)
		injector.run(faultContext)
	}()
	w.runCalls(ctx, calls)
	stop()
	<-injectorDone
	injector.fillReport(report)
}

// runCalls sends a number of bookings and as many lookups and streams, from
// outcomeWorkers concurrent clients.
func (w *outcomeWorkload) runCalls(ctx context.Context, calls int) {
	var remainingCalls atomic.Int64
	remainingCalls.Store(int64(calls))
	var workers sync.WaitGroup
	for n := range outcomeWorkers {
		workers.Go(func() {
			c := newOutcomeClient(w.testbed)
			defer c.close()
			random := rand.New(rand.NewPCG(w.seed, uint64(n)+100))
			for remainingCalls.Add(-1) >= 0 && ctx.Err() == nil {
				w.book(ctx, c, random)
				w.lookUp(ctx, c, random)
				w.stream(ctx, c, random)
			}
		})
	}
	workers.Wait()
}

// pickHostURL returns the base URL of a random entry host.
func (w *outcomeWorkload) pickHostURL(random *rand.Rand) string {
	hosts := w.testbed.cluster.Hosts()
	return hosts[random.IntN(len(hosts))].URL()
}

// book makes one booking. Three of four have an idempotency key, with which
// every outcome may be retried. Without a key, only a booking that was
// reported as not-run is retried.
func (w *outcomeWorkload) book(ctx context.Context, c *outcomeClient, random *rand.Rand) {
	defer w.counters.recordDuration("booking", time.Now())
	w.counters.bookings.Add(1)
	reference, key := fmt.Sprintf("booking-%d", w.operationCount.Add(1)), ""
	if random.IntN(4) > 0 {
		w.counters.keyedBookings.Add(1)
		key = reference
	}
	mayHaveRun := false
	for range outcomeMaxAttempts {
		switch outcome := c.book(ctx, w.pickHostURL(random), reference, key); outcome {
		case callAnswered:
			w.counters.answeredBookings.Add(1)
			if w.testbed.fleet.Ledger().RunCount(reference) == 0 {
				w.counters.answeredNotRunBookings.Add(1)
			}
			return
		case callMismatched:
			w.counters.mismatchedResponses.Add(1)
			return
		case callNotRun:
			if !mayHaveRun && w.testbed.fleet.Ledger().RunCount(reference) > 0 {
				w.counters.falseNotRunBookings.Add(1)
			}
		case callDisconnected, callUnknown, callFailed:
			mayHaveRun = true
			if key == "" {
				w.countUnresolvedBooking(outcome)
				return
			}
		}
		time.Sleep(outcomeRetryInterval)
	}
	if mayHaveRun {
		w.countUnresolvedBooking(callUnknown)
	}
}

func (w *outcomeWorkload) countUnresolvedBooking(outcome callOutcome) {
	if outcome == callDisconnected {
		w.counters.disconnectedBookings.Add(1)
		return
	}
	w.counters.unknownBookings.Add(1)
}

// lookUp retries a lookup until it is answered, for at most outcomeMaxAttempts
// attempts.
func (w *outcomeWorkload) lookUp(ctx context.Context, c *outcomeClient, random *rand.Rand) {
	defer w.counters.recordDuration("lookup", time.Now())
	w.counters.lookups.Add(1)
	name := fmt.Sprintf("member-%d", w.operationCount.Add(1))
	for range outcomeMaxAttempts {
		switch c.lookUp(ctx, w.pickHostURL(random), name) {
		case callAnswered:
			w.counters.answeredLookups.Add(1)
			return
		case callMismatched:
			w.counters.mismatchedResponses.Add(1)
			return
		case callNotRun, callDisconnected, callUnknown, callFailed:
			time.Sleep(outcomeRetryInterval)
		}
	}
}

// stream retries a stream until it is complete, for at most outcomeMaxAttempts
// attempts, and checks every attempt.
func (w *outcomeWorkload) stream(ctx context.Context, c *outcomeClient, random *rand.Rand) {
	defer w.counters.recordDuration("stream", time.Now())
	w.counters.streams.Add(1)
	prompt := random.IntN(outcomePromptCount)
	for range outcomeMaxAttempts {
		r := c.stream(ctx, w.pickHostURL(random), outcomeChatBody(prompt, outcomeStreamTokens))
		w.counters.repeatedTokens.Add(int64(r.repeatedCount))
		w.counters.lostTokens.Add(int64(r.lostCount))
		if !strings.HasPrefix(w.expectedTexts[prompt], r.text) || (r.outcome == streamComplete && r.text != w.expectedTexts[prompt]) {
			w.counters.wrongTextStreams.Add(1)
		}
		switch r.outcome {
		case streamComplete:
			w.counters.answeredStreams.Add(1)
			return
		case streamErrorEvent:
			w.counters.errorEventStreams.Add(1)
		case streamDisconnected:
			w.counters.disconnectedStreams.Add(1)
		case streamTruncated:
			w.counters.truncatedStreams.Add(1)
		case streamRefused:
		}
		time.Sleep(outcomeRetryInterval)
	}
}

func (w *outcomeWorkload) fillReport(r *Report) {
	t := &w.counters
	r.AtLeast("bookings", baselineCalls, float64(t.bookings.Load()))
	r.Set("bookings-with-key", float64(t.keyedBookings.Load()))
	r.Set("bookings-answered", float64(t.answeredBookings.Load()))
	r.Set("bookings-unknown", float64(t.unknownBookings.Load()))
	r.Set("bookings-without-word", float64(t.disconnectedBookings.Load()))
	r.Set("bookings-unknown-percent", 100*float64(t.unknownBookings.Load()+t.disconnectedBookings.Load())/float64(max(t.bookings.Load(), 1)))
	r.AtMost("bookings-doubled", 0, float64(len(w.testbed.fleet.Ledger().RepeatedBookings())))
	r.AtMost("bookings-told-not-run-yet-run", 0, float64(t.falseNotRunBookings.Load()))
	r.AtMost("bookings-answered-yet-not-run", 0, float64(t.answeredNotRunBookings.Load()))
	r.AtMost("answers-crossed", 0, float64(t.mismatchedResponses.Load()))
	r.Set("lookups", float64(t.lookups.Load()))
	r.AtMost("lookups-not-answered", 0, float64(t.lookups.Load()-t.answeredLookups.Load()))
	r.Set("streams", float64(t.streams.Load()))
	r.AtMost("streams-not-answered", 0, float64(t.streams.Load()-t.answeredStreams.Load()))
	r.AtMost("streams-cut-without-saying-so", 0, float64(t.truncatedStreams.Load()))
	r.AtMost("streams-with-wrong-text", 0, float64(t.wrongTextStreams.Load()))
	r.AtMost("tokens-repeated", 0, float64(t.repeatedTokens.Load()))
	r.AtMost("tokens-lost", 0, float64(t.lostTokens.Load()))
	r.Set("streams-ended-by-error-event", float64(t.errorEventStreams.Load()))
	r.Set("streams-lost-with-their-entry-host", float64(t.disconnectedStreams.Load()))
	for kind, h := range t.durationsByKind {
		for _, p := range []float64{50, 95, 99, 100} {
			r.Set(fmt.Sprintf("%s-time-p%.0f-ms", kind, p), float64(h.ValueAtQuantile(p))/1000)
		}
	}
	r.AtMost("invariants-violated", 0, float64(len(w.testbed.violations)))
}
