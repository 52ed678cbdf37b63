package experimenter

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/router"
	"github.com/fuchsiapitch/fuchsiapitch/internal/scheduler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

const (
	balanceOfferedLoad = 0.6
	balanceMeanTokens  = 32
	balancePrefixCount = 120
	balancePrefixBytes = 4096
	balanceSuffixBytes = 128
	// balanceCacheBytes holds about twelve prefixes in each engine.
	balanceCacheBytes = 13 << 20
	// balanceZipfExponent is the exponent of the Zipf distribution of
	// prefixes.
	balanceZipfExponent = 1.1

	// minHitRatioToRandom is the least ratio of the cache hits of bounded
	// affinity to those of random routing.
	minHitRatioToRandom = 1.5
)

// balanceExperiment compares bounded-affinity routing with simpler routing
// policies.
type balanceExperiment struct{}

// Name implements Experiment.
func (balanceExperiment) Name() string { return "balance" }

// Synopsis implements Experiment.
func (balanceExperiment) Synopsis() string {
	return "prompt-cache hits and first-token latency compared with random, least-loaded and plain-hashing routing"
}

// policyVariant is a routing policy with the scheduler mechanisms that are
// disabled for it.
type policyVariant struct {
	name               string
	policy             router.Policy
	disabledMechanisms []scheduler.Mechanism
}

func policyVariants() []policyVariant {
	return []policyVariant{
		{"bounded-affinity", router.BoundedAffinity, nil},
		{"random", router.Random, []scheduler.Mechanism{scheduler.PrefixAffinity}},
		{"least-loaded", router.LeastLoaded, []scheduler.Mechanism{scheduler.PrefixAffinity}},
		{"plain-hashing", router.UnboundedAffinity, []scheduler.Mechanism{scheduler.AffinityBound}},
	}
}

// Run implements Experiment.
func (balanceExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	report := NewReport("balance", run.Seed)
	durations := phaseDurations{warmUp: 5 * time.Second, phase: 40 * time.Second}
	if run.Quick {
		durations = phaseDurations{warmUp: 4 * time.Second, phase: 5 * time.Second}
	}
	results := make(map[string]balanceResult)
	for _, p := range policyVariants() {
		fmt.Fprintf(run.Progress, "%s, %s\n", p.name, durations.phase)
		measured, err := measurePolicy(ctx, run, durations, p)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		results[p.name] = measured
		report.Set(p.name+"-hit-ratio", measured.cacheHitRatio)
		report.Set(p.name+"-first-token-p50-ms", milliseconds(measured.firstTokenP50))
		report.Set(p.name+"-first-token-p95-ms", milliseconds(measured.firstTokenP95))
		report.Set(p.name+"-failed-streams", float64(measured.failedStreams))
	}
	boundedAffinity := results["bounded-affinity"]
	report.AtLeast("hit-ratio-to-random", minHitRatioToRandom, boundedAffinity.cacheHitRatio/results["random"].cacheHitRatio)
	report.AtMost("first-token-p95-to-least-loaded", 1, durationRatio(boundedAffinity.firstTokenP95, results["least-loaded"].firstTokenP95))
	return report, nil
}

// balanceResult holds the measurements of one routing policy.
type balanceResult struct {
	cacheHitRatio                float64
	firstTokenP50, firstTokenP95 time.Duration
	failedStreams                int
}

// measurePolicy measures cache hits and first-token latency at a steady load.
func measurePolicy(ctx context.Context, run RunParameters, durations phaseDurations, p policyVariant) (balanceResult, error) {
	engineSpeed := schedulingEngineSpeed
	engineSpeed.PerPrefillToken = 60 * time.Microsecond
	b, closeTestbed, err := startSchedulingTestbed(ctx, []weightedCustomer{{"visitors", 1}},
		[]engine.Option{engine.WithCacheBytes(balanceCacheBytes), engine.WithStepTiming(engineSpeed)},
		reducer.WithRoutingPolicy(p.policy), reducer.WithSchedulerOptions(scheduler.Without(p.disabledMechanisms...)))
	if err != nil {
		return balanceResult{}, err
	}
	defer closeTestbed()
	generator, closeGenerator := newLoadGenerator(ctx, run.Seed, b.hostURLs()...)
	defer closeGenerator()
	visitors := source{
		name: "visitors", client: b.newClient("visitors", "draft"), meanTokens: balanceMeanTokens,
		requestsPerSecond: balanceOfferedLoad * schedulingTokensPerSecond() / balanceMeanTokens, prompt: sharedPrefixPrompt(),
	}
	generator.run("warm-up", durations.warmUp, visitors)
	before := b.totalEngineCounts()
	generator.run("steady", durations.phase, visitors)
	after := b.totalEngineCounts()
	cachedTokens, uncachedTokens := float64(after.CachedTokens-before.CachedTokens), float64(after.PrefillTokens-before.PrefillTokens)
	result := balanceResult{cacheHitRatio: cachedTokens / (cachedTokens + uncachedTokens)}
	steady := generator.resultOf("steady", "visitors")
	result.firstTokenP50, result.firstTokenP95 = steady.latencies.FirstToken(50), steady.latencies.FirstToken(95)
	result.failedStreams, _ = generator.failures()
	return result, nil
}

// zipfWeight returns the relative frequency of the prefix of a rank, which
// starts at 0.
func zipfWeight(rank int) float64 { return math.Pow(float64(rank+1), -balanceZipfExponent) }

// sharedPrefixPrompt returns a generator of prompts. Each prompt begins with
// one of balancePrefixCount prefixes, drawn from a Zipf distribution, and ends
// with a prompt of uniquePrompt.
func sharedPrefixPrompt() func(*rand.Rand, int) string {
	var cumulativeWeights []float64
	totalWeight := 0.0
	for n := range balancePrefixCount {
		totalWeight += zipfWeight(n)
		cumulativeWeights = append(cumulativeWeights, totalWeight)
	}
	return func(random *rand.Rand, n int) string {
		sample := random.Float64() * totalWeight
		prefixIndex := 0
		for cumulativeWeights[prefixIndex] < sample {
			prefixIndex++
		}
		prefix := fmt.Sprintf("template %03d ", prefixIndex)
		return strings.Repeat(prefix, balancePrefixBytes/len(prefix)) + uniquePrompt(balanceSuffixBytes)(random, n)
	}
}
