package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/scheduler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/streamer"
)

const (
	fairnessSmall       = 6
	fairnessSmallLoad   = 0.03
	fairnessFactor      = 20
	fairnessTokens      = 48
	fairnessPromptBytes = 512

	fairnessWaitLimit = 1.2
	fairnessJainLimit = 0.97
)

// fairnessExperiment compares the waits of small customers with and without
// two large ones.
type fairnessExperiment struct{}

// Name implements Experiment.
func (fairnessExperiment) Name() string { return "fairness" }

// Synopsis implements Experiment.
func (fairnessExperiment) Synopsis() string {
	return "small customers beside two that ask for twenty times their work"
}

// Run implements Experiment.
func (fairnessExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	report := NewReport("fairness", run.Seed)
	times := floodTimes{warmUp: 5 * time.Second, phase: 40 * time.Second}
	if run.Quick {
		times = floodTimes{warmUp: 4 * time.Second, phase: 6 * time.Second}
	}
	for _, rank := range []string{"draft", "chat"} {
		f, err := measureFairness(ctx, run, times, rank)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		f.report(report, rank+"-")
	}
	if run.Quick {
		return report, nil
	}
	times.phase = 20 * time.Second
	for _, a := range fairnessAblations() {
		fmt.Fprintf(run.Progress, "without %s\n", a.name)
		f, err := measureFairness(ctx, run, times, a.rank, a.mechanism)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		report.Set("without-"+a.name+"-small-wait-ratio", f.ratio)
		report.Set("without-"+a.name+"-jain-index", f.jain)
		report.Set("without-"+a.name+"-tokens-per-second", f.tokens)
		report.Set("without-"+a.name+"-small-refusals", float64(f.refusals))
	}
	return report, nil
}

// fairnessAblation is a mechanism that a run of one rank goes without.
type fairnessAblation struct {
	ablation
	rank string
}

func fairnessAblations() []fairnessAblation {
	return []fairnessAblation{
		{ablation{"fair-queueing", scheduler.FairQueueing}, "draft"},
		{ablation{"share-preemption", scheduler.SharePreemption}, "draft"},
		{ablation{"share-headroom", scheduler.ShareHeadroom}, "chat"},
	}
}

// fairness is what one run has measured.
type fairness struct {
	calm, crowded             time.Duration
	calmMedian, crowdedMedian time.Duration
	ratio                     float64
	jain                      float64
	tokens                    float64
	refusals                  int
	failed                    int
}

func measureFairness(ctx context.Context, run Run, times floodTimes, rank string, off ...scheduler.Mechanism) (*fairness, error) {
	large := []bedCustomer{{"large-1", 1}, {"large-2", 2}}
	customers := append([]bedCustomer{}, large...)
	for n := range fairnessSmall {
		customers = append(customers, bedCustomer{fmt.Sprintf("small-%d", n+1), 1})
	}
	b, closeBed, err := startBed(ctx, customers, nil, reducer.WithSchedulerOptions(scheduler.Without(off...)))
	if err != nil {
		return nil, err
	}
	defer closeBed()
	t, closeTraffic := newTraffic(ctx, run.Seed, b.urls()...)
	defer closeTraffic()
	sources := make([]source, 0, len(customers))
	for _, c := range customers {
		load := fairnessSmallLoad
		if len(sources) < len(large) {
			load *= fairnessFactor
		}
		sources = append(sources, source{
			name: c.name, client: b.client(c.name, rank), tokens: fairnessTokens,
			rate: load * bedTokensPerSecond() / fairnessTokens, prompt: freshPrompt(fairnessPromptBytes),
		})
	}
	small := sources[len(large):]
	fmt.Fprintf(run.Progress, "%s, small customers alone, %s\n", rank, times.phase)
	t.run("warm-up", times.warmUp, small...)
	t.run("calm", times.phase, small...)
	fmt.Fprintf(run.Progress, "beside two large ones, %s\n", times.phase)
	t.run("rising", times.warmUp, sources...)
	before := tokensOf(t, large)
	f := &fairness{}
	f.tokens = b.rate(func() { t.run("crowded", times.phase, sources...) })
	f.collect(t, large, before, small)
	return f, nil
}

func tokensOf(t *traffic, customers []bedCustomer) []float64 {
	var tokens []float64
	for _, c := range customers {
		tokens = append(tokens, float64(t.tokens(c.name)))
	}
	return tokens
}

// collect merges the small customers and compares the large ones by weight.
func (f *fairness) collect(t *traffic, large []bedCustomer, before []float64, small []source) {
	shares := tokensOf(t, large)
	for n := range shares {
		shares[n] = (shares[n] - before[n]) / large[n].weight
	}
	f.jain = jainIndex(shares)
	calm, crowded := merged(t, "calm", small), merged(t, "crowded", small)
	f.calm, f.crowded = calm.First(95), crowded.First(95)
	f.calmMedian, f.crowdedMedian = calm.First(50), crowded.First(50)
	f.ratio = ratioOf(f.crowded, f.calm)
	for _, s := range small {
		refused, _ := t.of("crowded", s.name).refused(50)
		f.refusals += refused
	}
	f.failed, _ = t.failures()
}

// merged returns the latencies of sources in a phase together.
func merged(t *traffic, phase string, sources []source) *streamer.Times {
	merged := t.of(phase, "all-small")
	for _, s := range sources {
		merged.times.Merge(t.of(phase, s.name).times)
	}
	return merged.times
}

// jainIndex returns Jain's index of shares: 1 when all are equal.
func jainIndex(shares []float64) float64 {
	var sum, squares float64
	for _, x := range shares {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(shares)) * squares)
}

func (f *fairness) report(report *Report, prefix string) {
	report.Set(prefix+"small-first-token-p95-alone-ms", milliseconds(f.calm))
	report.Set(prefix+"small-first-token-p95-crowded-ms", milliseconds(f.crowded))
	report.Set(prefix+"small-first-token-p50-alone-ms", milliseconds(f.calmMedian))
	report.Set(prefix+"small-first-token-p50-crowded-ms", milliseconds(f.crowdedMedian))
	report.Set(prefix+"tokens-per-second", f.tokens)
	report.AtMost(prefix+"small-wait-ratio", fairnessWaitLimit, f.ratio)
	report.AtLeast(prefix+"jain-index-of-large", fairnessJainLimit, f.jain)
	report.AtMost(prefix+"small-refusals", 0, float64(f.refusals))
	report.AtMost(prefix+"failed-streams", 0, float64(f.failed))
}
