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
	pathThroughput     = 3 * time.Second
	pathRequestBlock   = 2 * time.Second
	pathLatencyTokens  = 64
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
	bed, cleanUp, err := startPathBed(ctx, engine.Speed{Token: 10 * time.Millisecond, Batch: 20 * time.Microsecond, Prefill: 5 * time.Microsecond})
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
	for _, m := range measures {
		fmt.Fprintf(run.Progress, "full load, %s\n", m.name)
		bed.runClosed(ctx, m, pathGroups*pathSlots, pathThroughputTokens, pathThroughput)
		report.Set("full-load-tokens-per-second-"+m.name, float64(m.times.Tokens())/m.elapsed.Seconds())
		report.Set("full-load-failed-"+m.name, float64(failedOf(m)))
		report.Set("full-load-processor-microseconds-per-token-"+m.name, m.perToken(m.used.processor.Seconds()*1e6))
	}
	direct := measures[0]
	for _, m := range measures[1:] {
		added := m.perToken(m.used.processor.Seconds()) - direct.perToken(direct.used.processor.Seconds())
		if m.hosts == 1 {
			report.AtLeast("tokens-per-second-per-core-"+m.name, tokensPerCoreLimit, 1/added)
		} else {
			report.Set("tokens-per-second-per-core-"+m.name, 1/added)
		}
		report.Set("added-bytes-per-token-"+m.name, m.perToken(float64(m.used.bytes))-direct.perToken(float64(direct.used.bytes)))
		report.Set("added-allocations-per-token-"+m.name, m.perToken(float64(m.used.mallocs))-direct.perToken(float64(direct.used.mallocs)))
	}
	return nil
}

// measureRequests measures the processor time for each request of one token.
func measureRequests(ctx context.Context, run Run, report *Report) error {
	bed, cleanUp, err := startPathBed(ctx, engine.Speed{Token: time.Millisecond, Batch: time.Microsecond, Prefill: time.Microsecond})
	if err != nil {
		return err
	}
	defer cleanUp()
	var direct float64
	for _, m := range newPathMeasures() {
		fmt.Fprintf(run.Progress, "short requests, %s\n", m.name)
		bed.runClosed(ctx, m, pathRequestWorkers, 1, pathRequestBlock)
		report.Set("requests-per-second-"+m.name, float64(m.times.Whole())/m.elapsed.Seconds())
		each := m.used.processor.Seconds() / float64(max(m.times.Whole(), 1))
		if m.hosts == 0 {
			direct = each
			continue
		}
		report.Set("requests-per-second-per-core-"+m.name, 1/(each-direct))
	}
	return nil
}
