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

// Loads are fractions of the token rate of all engines.
const (
	smallCustomerCount  = 6
	smallCustomerLoad   = 0.03
	largeLoadFactor     = 20
	fairnessMeanTokens  = 48
	fairnessPromptBytes = 512

	maxSmallWaitRatio = 1.2
	minJainIndex      = 0.97
)

// fairnessExperiment compares the first-token latency of small customers with
// and without two large customers.
type fairnessExperiment struct{}

// Name implements Experiment.
func (fairnessExperiment) Name() string { return "fairness" }

// Synopsis implements Experiment.
func (fairnessExperiment) Synopsis() string {
	return "first-token latency of small customers with and without two customers of twenty times their load"
}

// Run implements Experiment.
func (fairnessExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	report := NewReport("fairness", run.Seed)
	durations := phaseDurations{warmUp: 5 * time.Second, phase: 40 * time.Second}
	if run.Quick {
		durations = phaseDurations{warmUp: 4 * time.Second, phase: 6 * time.Second}
	}
	for _, rank := range []string{"draft", "chat"} {
		f, err := measureFairness(ctx, run, durations, rank)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		f.fillReport(report, rank+"-")
	}
	if run.Quick {
		return report, nil
	}
	durations.phase = 20 * time.Second
	for _, a := range fairnessAblations() {
		fmt.Fprintf(run.Progress, "without %s\n", a.name)
		f, err := measureFairness(ctx, run, durations, a.rank, a.mechanism)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		report.Set("without-"+a.name+"-small-wait-ratio", f.smallWaitRatio)
		report.Set("without-"+a.name+"-jain-index", f.largeJainIndex)
		report.Set("without-"+a.name+"-tokens-per-second", f.tokensPerSecond)
		report.Set("without-"+a.name+"-small-refusals", float64(f.smallRefusals))
	}
	return report, nil
}

// fairnessAblation is an ablation that is measured for one rank.
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

// fairnessResult holds the measurements for one rank. Refusals are those of the
// small customers while the large ones send requests.
type fairnessResult struct {
	aloneFirstTokenP95, crowdedFirstTokenP95 time.Duration
	aloneFirstTokenP50, crowdedFirstTokenP50 time.Duration
	smallWaitRatio                           float64
	largeJainIndex                           float64
	tokensPerSecond                          float64
	smallRefusals                            int
	failedStreams                            int
}

// measureFairness measures the small customers alone and then beside the large
// ones.
func measureFairness(ctx context.Context, run RunParameters, durations phaseDurations, rank string, disabledMechanisms ...scheduler.Mechanism) (*fairnessResult, error) {
	large := []weightedCustomer{{"large-1", 1}, {"large-2", 2}}
	customers := append([]weightedCustomer{}, large...)
	for n := range smallCustomerCount {
		customers = append(customers, weightedCustomer{fmt.Sprintf("small-%d", n+1), 1})
	}
	b, closeTestbed, err := startSchedulingTestbed(ctx, customers, nil, reducer.WithSchedulerOptions(scheduler.Without(disabledMechanisms...)))
	if err != nil {
		return nil, err
	}
	defer closeTestbed()
	generator, closeGenerator := newLoadGenerator(ctx, run.Seed, b.hostURLs()...)
	defer closeGenerator()
	sources := make([]source, 0, len(customers))
	for _, c := range customers {
		load := smallCustomerLoad
		if len(sources) < len(large) {
			load *= largeLoadFactor
		}
		sources = append(sources, source{
			name: c.name, client: b.newClient(c.name, rank), meanTokens: fairnessMeanTokens,
			requestsPerSecond: load * schedulingTokensPerSecond() / fairnessMeanTokens, prompt: uniquePrompt(fairnessPromptBytes),
		})
	}
	small := sources[len(large):]
	fmt.Fprintf(run.Progress, "%s, small customers alone, %s\n", rank, durations.phase)
	generator.run("warm-up", durations.warmUp, small...)
	generator.run("calm", durations.phase, small...)
	fmt.Fprintf(run.Progress, "small customers beside two large ones, %s\n", durations.phase)
	generator.run("rising", durations.warmUp, sources...)
	largeTokensBefore := tokensByCustomer(generator, large)
	f := &fairnessResult{}
	f.tokensPerSecond = b.measureTokenRate(func() { generator.run("crowded", durations.phase, sources...) })
	f.collect(generator, large, largeTokensBefore, small)
	return f, nil
}

func tokensByCustomer(generator *loadGenerator, customers []weightedCustomer) []float64 {
	var tokens []float64
	for _, c := range customers {
		tokens = append(tokens, float64(generator.receivedTokens(c.name)))
	}
	return tokens
}

// collect merges the results of the small customers and computes the fairness
// index of the tokens of the large ones, divided by their weights.
func (f *fairnessResult) collect(generator *loadGenerator, large []weightedCustomer, largeTokensBefore []float64, small []source) {
	shares := tokensByCustomer(generator, large)
	for n := range shares {
		shares[n] = (shares[n] - largeTokensBefore[n]) / large[n].weight
	}
	f.largeJainIndex = jainIndex(shares)
	aloneLatencies, crowdedLatencies := mergedLatencies(generator, "calm", small), mergedLatencies(generator, "crowded", small)
	f.aloneFirstTokenP95, f.crowdedFirstTokenP95 = aloneLatencies.FirstToken(95), crowdedLatencies.FirstToken(95)
	f.aloneFirstTokenP50, f.crowdedFirstTokenP50 = aloneLatencies.FirstToken(50), crowdedLatencies.FirstToken(50)
	f.smallWaitRatio = durationRatio(f.crowdedFirstTokenP95, f.aloneFirstTokenP95)
	for _, s := range small {
		refused, _ := generator.resultOf("crowded", s.name).refusalPercentile(50)
		f.smallRefusals += refused
	}
	f.failedStreams, _ = generator.failures()
}

// mergedLatencies returns the latencies of several sources in a phase.
func mergedLatencies(generator *loadGenerator, phase string, sources []source) *streamer.Latencies {
	merged := generator.resultOf(phase, "all-small")
	for _, s := range sources {
		merged.latencies.Merge(generator.resultOf(phase, s.name).latencies)
	}
	return merged.latencies
}

// jainIndex returns Jain's fairness index of shares: 1 when all are equal.
func jainIndex(shares []float64) float64 {
	var sum, squares float64
	for _, share := range shares {
		sum += share
		squares += share * share
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(shares)) * squares)
}

func (f *fairnessResult) fillReport(report *Report, prefix string) {
	report.Set(prefix+"small-first-token-p95-alone-ms", milliseconds(f.aloneFirstTokenP95))
	report.Set(prefix+"small-first-token-p95-crowded-ms", milliseconds(f.crowdedFirstTokenP95))
	report.Set(prefix+"small-first-token-p50-alone-ms", milliseconds(f.aloneFirstTokenP50))
	report.Set(prefix+"small-first-token-p50-crowded-ms", milliseconds(f.crowdedFirstTokenP50))
	report.Set(prefix+"tokens-per-second", f.tokensPerSecond)
	report.AtMost(prefix+"small-wait-ratio", maxSmallWaitRatio, f.smallWaitRatio)
	report.AtLeast(prefix+"jain-index-of-large", minJainIndex, f.largeJainIndex)
	report.AtMost(prefix+"small-refusals", 0, float64(f.smallRefusals))
	report.AtMost(prefix+"failed-streams", 0, float64(f.failedStreams))
}
