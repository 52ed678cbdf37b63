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
	balanceLoad        = 0.6
	balanceTokens      = 32
	balancePrefixes    = 120
	balancePrefixBytes = 4096
	balanceTailBytes   = 128
	// balanceCacheBytes holds about twelve prefixes in each engine.
	balanceCacheBytes = 13 << 20
	// balanceSkew is the exponent of the popularity of the prefixes.
	balanceSkew = 1.1

	balanceHitLimit = 1.5
)

// balanceExperiment compares the choice of replicas with simpler policies.
type balanceExperiment struct{}

// Name implements Experiment.
func (balanceExperiment) Name() string { return "balance" }

// Synopsis implements Experiment.
func (balanceExperiment) Synopsis() string {
	return "prompt-cache hits and first tokens against random, least-loaded and plain hashing"
}

// balancePolicy is a way to choose replicas under a name.
type balancePolicy struct {
	name   string
	policy router.Policy
	off    []scheduler.Mechanism
}

func balancePolicies() []balancePolicy {
	return []balancePolicy{
		{"bounded-affinity", router.BoundedAffinity, nil},
		{"random", router.Random, []scheduler.Mechanism{scheduler.PrefixAffinity}},
		{"least-loaded", router.LeastLoaded, []scheduler.Mechanism{scheduler.PrefixAffinity}},
		{"plain-hashing", router.UnboundedAffinity, []scheduler.Mechanism{scheduler.AffinityBound}},
	}
}

// Run implements Experiment.
func (balanceExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	report := NewReport("balance", run.Seed)
	times := floodTimes{warmUp: 5 * time.Second, phase: 40 * time.Second}
	if run.Quick {
		times = floodTimes{warmUp: 4 * time.Second, phase: 5 * time.Second}
	}
	results := make(map[string]balance)
	for _, p := range balancePolicies() {
		fmt.Fprintf(run.Progress, "%s, %s\n", p.name, times.phase)
		b, err := measureBalance(ctx, run, times, p)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		results[p.name] = b
		report.Set(p.name+"-hit-ratio", b.hits)
		report.Set(p.name+"-first-token-p50-ms", milliseconds(b.median))
		report.Set(p.name+"-first-token-p95-ms", milliseconds(b.first))
		report.Set(p.name+"-failed-streams", float64(b.failed))
	}
	own := results["bounded-affinity"]
	report.AtLeast("hit-ratio-to-random", balanceHitLimit, own.hits/results["random"].hits)
	report.AtMost("first-token-p95-to-least-loaded", 1, ratioOf(own.first, results["least-loaded"].first))
	return report, nil
}

// balance is what one policy has given.
type balance struct {
	hits          float64
	median, first time.Duration
	failed        int
}

func measureBalance(ctx context.Context, run Run, times floodTimes, p balancePolicy) (balance, error) {
	speed := bedSpeed
	speed.Prefill = 60 * time.Microsecond
	b, closeBed, err := startBed(ctx, []bedCustomer{{"visitors", 1}},
		[]engine.Option{engine.WithCacheBytes(balanceCacheBytes), engine.WithSpeed(speed)},
		reducer.WithRoutingPolicy(p.policy), reducer.WithSchedulerOptions(scheduler.Without(p.off...)))
	if err != nil {
		return balance{}, err
	}
	defer closeBed()
	t, closeTraffic := newTraffic(ctx, run.Seed, b.urls()...)
	defer closeTraffic()
	visitors := source{
		name: "visitors", client: b.client("visitors", "draft"), tokens: balanceTokens,
		rate: balanceLoad * bedTokensPerSecond() / balanceTokens, prompt: sharedPrompt(),
	}
	t.run("warm-up", times.warmUp, visitors)
	before := b.engineCounts()
	t.run("steady", times.phase, visitors)
	after := b.engineCounts()
	cached, fresh := float64(after.CachedTokens-before.CachedTokens), float64(after.PrefillTokens-before.PrefillTokens)
	result := balance{hits: cached / (cached + fresh)}
	steady := t.of("steady", "visitors")
	result.median, result.first = steady.times.First(50), steady.times.First(95)
	result.failed, _ = t.failures()
	return result, nil
}

// popularity returns the relative frequency of the n-th prefix.
func popularity(n int) float64 { return math.Pow(float64(n+1), -balanceSkew) }

// sharedPrompt returns prompts that begin with one of balancePrefixes texts, some
// of which are far more popular than others, and end with a text of their own.
func sharedPrompt() func(*rand.Rand, int) string {
	var cumulative []float64
	total := 0.0
	for n := range balancePrefixes {
		total += popularity(n)
		cumulative = append(cumulative, total)
	}
	return func(random *rand.Rand, n int) string {
		x := random.Float64() * total
		chosen := 0
		for cumulative[chosen] < x {
			chosen++
		}
		prefix := fmt.Sprintf("template %03d ", chosen)
		return strings.Repeat(prefix, balancePrefixBytes/len(prefix)) + freshPrompt(balanceTailBytes)(random, n)
	}
}
