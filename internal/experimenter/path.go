package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

const (
	pathLatencyDuration      = 60 * time.Second
	pathQuickLatencyDuration = 15 * time.Second
	pathBlockDuration        = 800 * time.Millisecond
	pathRounds               = 12
	pathQuickRounds          = 4
	pathLatencyTokens        = 32
	pathIdleDuration         = 2 * time.Second
	pathShortRequestWorkers  = 64

	maxAddedFirstTokenMs      = 2
	minTokensPerSecondPerCore = 100_000
	maxResidentMebibytes      = 32
	mebibyte                  = 1 << 20
)

// pathExperiment compares direct calls to engines with calls through one and
// two entry hosts.
type pathExperiment struct{}

// Name implements Experiment.
func (pathExperiment) Name() string { return "path" }

// Synopsis implements Experiment.
func (pathExperiment) Synopsis() string {
	return "what one and two entry hosts add to direct calls: latency, processor time, memory"
}

// Run implements Experiment.
func (pathExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	report := NewReport("path", run.Seed)
	if err := measureLatency(ctx, run, report); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := measureThroughput(ctx, run, report); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := measureShortRequests(ctx, run, report); err != nil {
		return nil, trace.Wrap(err)
	}
	return report, nil
}

// measureLatency measures idle resident memory, and latency at half load.
func measureLatency(ctx context.Context, run RunParameters, report *Report) error {
	testbed, closeTestbed, err := startPathTestbed(ctx, engine.StepTiming{BaseStep: 5 * time.Millisecond, PerExtraSequence: 10 * time.Microsecond, PerPrefillToken: time.Microsecond})
	if err != nil {
		return err
	}
	defer closeTestbed()
	time.Sleep(pathIdleDuration)
	report.AtMost("resident-memory-idle-megabytes", maxResidentMebibytes, residentBytes()/mebibyte)
	duration := pathLatencyDuration
	if run.Quick {
		duration = pathQuickLatencyDuration
	}
	variants := newPathVariants()
	fmt.Fprintf(run.Progress, "half load, each request by a random variant, %s\n", duration)
	testbed.runOpenLoop(ctx, variants, run.Seed, duration)
	for _, m := range variants {
		if failed, err := m.latencies.FailedStreams(); failed > 0 {
			fmt.Fprintf(run.Progress, "%s: %d requests failed, last error: %v\n", m.name, failed, err)
		}
		report.Set("half-load-failed-"+m.name, float64(failedStreams(m)))
		report.Set("half-load-tokens-"+m.name, float64(m.latencies.ReceivedTokens()))
		for _, p := range []float64{50, 95, 99} {
			report.Set(fmt.Sprintf("first-token-p%.0f-%s-ms", p, m.name), milliseconds(m.latencies.FirstToken(p)))
			report.Set(fmt.Sprintf("inter-token-p%.0f-%s-ms", p, m.name), milliseconds(m.latencies.InterToken(p)))
		}
	}
	reportAddedLatency(report, variants)
	return nil
}

func failedStreams(m *pathVariant) int {
	failed, _ := m.latencies.FailedStreams()
	return failed
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// reportAddedLatency reports the latency that the entry hosts add to direct
// calls.
func reportAddedLatency(report *Report, variants []*pathVariant) {
	direct := variants[0]
	for _, m := range variants[1:] {
		for _, p := range []float64{50, 95, 99} {
			report.Set(fmt.Sprintf("added-inter-token-p%.0f-%s-ms", p, m.name), milliseconds(m.latencies.InterToken(p)-direct.latencies.InterToken(p)))
			name := fmt.Sprintf("added-first-token-p%.0f-%s-ms", p, m.name)
			added := milliseconds(m.latencies.FirstToken(p) - direct.latencies.FirstToken(p))
			if p == 99 {
				report.AtMost(name, maxAddedFirstTokenMs, added)
			} else {
				report.Set(name, added)
			}
		}
	}
}

// measureThroughput measures the processor time and memory per token while
// every slot is in use.
func measureThroughput(ctx context.Context, run RunParameters, report *Report) error {
	testbed, closeTestbed, err := startPathTestbed(ctx, engine.StepTiming{BaseStep: 5 * time.Millisecond, PerExtraSequence: 10 * time.Microsecond, PerPrefillToken: time.Microsecond})
	if err != nil {
		return err
	}
	defer closeTestbed()
	variants := newPathVariants()
	runRounds(run, variants, "full load", func(m *pathVariant) {
		testbed.runClosedLoop(ctx, m, pathGroups*pathSlots, pathThroughputTokens, pathBlockDuration)
	})
	for _, m := range variants {
		report.Set("full-load-tokens-per-second-"+m.name, float64(m.latencies.ReceivedTokens())/m.elapsed.Seconds())
		report.Set("full-load-failed-"+m.name, float64(failedStreams(m)))
		report.Set("full-load-processor-microseconds-per-token-"+m.name, m.medianPerToken(processorSecondsOf)*1e6)
	}
	direct := variants[0]
	for _, m := range variants[1:] {
		tokensPerCoreSecond := 1 / (m.medianPerToken(processorSecondsOf) - direct.medianPerToken(processorSecondsOf))
		if m.hostCount == 1 {
			report.AtLeast("tokens-per-second-per-core-"+m.name, minTokensPerSecondPerCore, tokensPerCoreSecond)
		} else {
			report.Set("tokens-per-second-per-core-"+m.name, tokensPerCoreSecond)
		}
		report.Set("added-bytes-per-token-"+m.name, m.medianPerToken(allocatedBytesOf)-direct.medianPerToken(allocatedBytesOf))
		report.Set("added-allocations-per-token-"+m.name, m.medianPerToken(allocationsOf)-direct.medianPerToken(allocationsOf))
	}
	return nil
}

// runRounds runs one block of every variant in each round, so that changes in
// the load of the machine affect all variants alike.
func runRounds(run RunParameters, variants []*pathVariant, title string, runBlock func(*pathVariant)) {
	rounds := pathRounds
	if run.Quick {
		rounds = pathQuickRounds
	}
	for round := range rounds {
		fmt.Fprintf(run.Progress, "%s, round %d of %d\n", title, round+1, rounds)
		for _, m := range variants {
			runBlock(m)
		}
	}
}

// measureShortRequests measures the request rate and the processor time per
// request with requests of one token.
func measureShortRequests(ctx context.Context, run RunParameters, report *Report) error {
	testbed, closeTestbed, err := startPathTestbed(ctx, engine.StepTiming{BaseStep: time.Millisecond, PerExtraSequence: time.Microsecond, PerPrefillToken: time.Microsecond})
	if err != nil {
		return err
	}
	defer closeTestbed()
	variants := newPathVariants()
	runRounds(run, variants, "short requests", func(m *pathVariant) {
		testbed.runClosedLoop(ctx, m, pathShortRequestWorkers, 1, pathBlockDuration)
	})
	for _, m := range variants {
		report.Set("requests-per-second-"+m.name, float64(m.latencies.CompleteStreams())/m.elapsed.Seconds())
		if m.hostCount > 0 {
			added := m.medianPerToken(processorSecondsOf) - variants[0].medianPerToken(processorSecondsOf)
			report.Set("requests-per-second-per-core-"+m.name, 1/added)
		}
	}
	return nil
}
