package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

const (
	pathLatencyTime    = 60 * time.Second
	pathQuickTime      = 15 * time.Second
	pathBlock          = 800 * time.Millisecond
	pathRounds         = 12
	pathQuickRounds    = 4
	pathLatencyTokens  = 32
	pathIdleTime       = 2 * time.Second
	pathRequestWorkers = 64

	firstTokenLimitMs   = 2
	tokensPerCoreLimit  = 100_000
	residentLimitMBytes = 32
	megabyte            = 1 << 20
)

// pathExperiment compares direct calls of engines with calls through one and
// through two entry hosts.
type pathExperiment struct{}

// Name implements Experiment.
func (pathExperiment) Name() string { return "path" }

// Synopsis implements Experiment.
func (pathExperiment) Synopsis() string {
	return "what one and two entry hosts add to direct calls: latency, processor time, memory"
}

// Run implements Experiment.
func (pathExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	report := NewReport("path", run.Seed)
	if err := measureLatency(ctx, run, report); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := measureThroughput(ctx, run, report); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := measureRequests(ctx, run, report); err != nil {
		return nil, trace.Wrap(err)
	}
	return report, nil
}

// measureLatency measures resident memory when idle and latency at half load.
func measureLatency(ctx context.Context, run Run, report *Report) error {
	bed, cleanUp, err := startPathBed(ctx, engine.Speed{Token: 5 * time.Millisecond, Batch: 10 * time.Microsecond, Prefill: time.Microsecond})
	if err != nil {
		return err
	}
	defer cleanUp()
	time.Sleep(pathIdleTime)
	report.AtMost("resident-memory-idle-megabytes", residentLimitMBytes, residentBytes()/megabyte)
	duration := pathLatencyTime
	if run.Quick {
		duration = pathQuickTime
	}
	measures := newPathMeasures()
	fmt.Fprintf(run.Progress, "half load, every request by a variant at random, %s\n", duration)
	bed.runOpen(ctx, measures, run.Seed, duration)
	for _, m := range measures {
		if failed, err := m.times.Failed(); failed > 0 {
			fmt.Fprintf(run.Progress, "%s: %d failed, the last with %v\n", m.name, failed, err)
		}
		report.Set("half-load-failed-"+m.name, float64(failedOf(m)))
		report.Set("half-load-tokens-"+m.name, float64(m.times.Tokens()))
		for _, p := range []float64{50, 95, 99} {
			report.Set(fmt.Sprintf("first-token-p%.0f-%s-ms", p, m.name), milliseconds(m.times.First(p)))
			report.Set(fmt.Sprintf("inter-token-p%.0f-%s-ms", p, m.name), milliseconds(m.times.Gap(p)))
		}
	}
	reportAdded(report, measures)
	return nil
}

func failedOf(m *pathMeasure) int {
	failed, _ := m.times.Failed()
	return failed
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// reportAdded reports what the entry hosts add to direct calls.
func reportAdded(report *Report, measures []*pathMeasure) {
	direct := measures[0]
	for _, m := range measures[1:] {
		for _, p := range []float64{50, 95, 99} {
			report.Set(fmt.Sprintf("added-inter-token-p%.0f-%s-ms", p, m.name), milliseconds(m.times.Gap(p)-direct.times.Gap(p)))
			name := fmt.Sprintf("added-first-token-p%.0f-%s-ms", p, m.name)
			added := milliseconds(m.times.First(p) - direct.times.First(p))
			if p == 99 {
				report.AtMost(name, firstTokenLimitMs, added)
			} else {
				report.Set(name, added)
			}
		}
	}
}

// measureThroughput measures the processor time and memory for each token while
// every slot is taken.
func measureThroughput(ctx context.Context, run Run, report *Report) error {
	bed, cleanUp, err := startPathBed(ctx, engine.Speed{Token: 5 * time.Millisecond, Batch: 10 * time.Microsecond, Prefill: time.Microsecond})
	if err != nil {
		return err
	}
	defer cleanUp()
	measures := newPathMeasures()
	runRounds(run, measures, "full load", func(m *pathMeasure) {
		bed.runClosed(ctx, m, pathGroups*pathSlots, pathThroughputTokens, pathBlock)
	})
	for _, m := range measures {
		report.Set("full-load-tokens-per-second-"+m.name, float64(m.times.Tokens())/m.elapsed.Seconds())
		report.Set("full-load-failed-"+m.name, float64(failedOf(m)))
		report.Set("full-load-processor-microseconds-per-token-"+m.name, m.median(processorPerToken)*1e6)
	}
	direct := measures[0]
	for _, m := range measures[1:] {
		perCore := 1 / (m.median(processorPerToken) - direct.median(processorPerToken))
		if m.hosts == 1 {
			report.AtLeast("tokens-per-second-per-core-"+m.name, tokensPerCoreLimit, perCore)
		} else {
			report.Set("tokens-per-second-per-core-"+m.name, perCore)
		}
		report.Set("added-bytes-per-token-"+m.name, m.median(bytesPerToken)-direct.median(bytesPerToken))
		report.Set("added-allocations-per-token-"+m.name, m.median(allocationsPerToken)-direct.median(allocationsPerToken))
	}
	return nil
}

// runRounds runs blocks of every variant in turns, so that changes of the
// machine's load strike all variants alike.
func runRounds(run Run, measures []*pathMeasure, title string, runBlock func(*pathMeasure)) {
	rounds := pathRounds
	if run.Quick {
		rounds = pathQuickRounds
	}
	for round := range rounds {
		fmt.Fprintf(run.Progress, "%s, round %d of %d\n", title, round+1, rounds)
		for _, m := range measures {
			runBlock(m)
		}
	}
}

// measureRequests measures the processor time for each request of one token.
func measureRequests(ctx context.Context, run Run, report *Report) error {
	bed, cleanUp, err := startPathBed(ctx, engine.Speed{Token: time.Millisecond, Batch: time.Microsecond, Prefill: time.Microsecond})
	if err != nil {
		return err
	}
	defer cleanUp()
	measures := newPathMeasures()
	runRounds(run, measures, "short requests", func(m *pathMeasure) {
		bed.runClosed(ctx, m, pathRequestWorkers, 1, pathBlock)
	})
	for _, m := range measures {
		report.Set("requests-per-second-"+m.name, float64(m.times.Whole())/m.elapsed.Seconds())
		if m.hosts > 0 {
			added := m.median(processorPerToken) - measures[0].median(processorPerToken)
			report.Set("requests-per-second-per-core-"+m.name, 1/added)
		}
	}
	return nil
}
