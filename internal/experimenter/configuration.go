package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
)

const (
	configurationPublishers = 3
	configurationCustomers  = 12
	// configurationBurst is the number of publications of each publisher in one
	// burst.
	configurationBurst = 4
	// configurationPause is the time between two bursts.
	configurationPause = 2 * time.Second
	// configurationDelay is the delay of a slow log.
	configurationDelay = 300 * time.Millisecond
	// busyHourRate is the number of changes a second when a quarter of the 7,700
	// changes of a day falls into one hour.
	busyHourRate = 7700.0 / 4 / 3600
	// inForceLimit is the target for the time to be in force, in seconds.
	inForceLimit = 4
	// readLimitBytes is the target for reading, in bytes a second and host.
	readLimitBytes = 3000
	// settleTime is the time for which the last changes may take to spread.
	settleTime = 5 * time.Second
)

// configurationExperiment measures how configuration spreads.
type configurationExperiment struct{}

// Name implements Experiment.
func (configurationExperiment) Name() string { return "configuration" }

// Synopsis implements Experiment.
func (configurationExperiment) Synopsis() string {
	return "three racing publishers while the log is slow, away and truncated"
}

// Run implements Experiment.
func (configurationExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	b, closeBed, err := startConfigurationBed(ctx)
	if err != nil {
		return nil, err
	}
	defer closeBed()
	length := 25 * time.Second
	if run.Quick {
		length = 5 * time.Second
	}
	report := NewReport("configuration", run.Seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatching := b.watch(ctx)
	stopPublishing := b.publish(ctx, run.Seed)
	for _, p := range b.phases() {
		fmt.Fprintf(run.Progress, "%s for %s\n", p.name, length)
		if err := p.begin(ctx); err != nil {
			return nil, err
		}
		rest(ctx, length)
		if err := p.end(); err != nil {
			return nil, err
		}
	}
	stopPublishing()
	rest(ctx, settleTime)
	stopWatching()
	if err := b.readTruth(ctx); err != nil {
		return nil, err
	}
	b.report(report)
	return report, nil
}

// configurationPhase is a part of the run with one fault.
type configurationPhase struct {
	name  string
	begin func(context.Context) error
	end   func() error
}

func (b *configurationBed) phases() []configurationPhase {
	none := func() error { return nil }
	return []configurationPhase{
		{name: "no fault", begin: func(context.Context) error { return nil }, end: none},
		{
			name:  "log slow",
			begin: func(context.Context) error { b.fleet.Log().SetDelay(configurationDelay); return nil },
			end:   func() error { b.fleet.Log().SetDelay(0); return nil },
		},
		{
			name:  "answers of the log lost",
			begin: func(context.Context) error { b.fleet.Log().LoseAppendAnswers(configurationBurst); return nil },
			end:   none,
		},
		{
			name:  "log away",
			begin: func(context.Context) error { b.fleet.Log().SetOut(true); return nil },
			end:   func() error { b.fleet.Log().SetOut(false); return nil },
		},
		{name: "log truncated", begin: b.truncate, end: none},
		{
			name:  "log away from one data centre",
			begin: func(context.Context) error { b.fleet.LogServer(b.centres[0]).Die(); return nil },
			end:   func() error { return b.fleet.LogServer(b.centres[0]).Revive() },
		},
	}
}

// publish starts the publishers. The function it returns waits for their end.
func (b *configurationBed) publish(ctx context.Context, seed uint64) func() {
	stop := make(chan struct{})
	ended := make(chan struct{}, configurationPublishers)
	for n := range configurationPublishers {
		random := rand.New(rand.NewPCG(seed, uint64(n))) //nolint:gosec // a seed makes the run repeatable
		go func() {
			b.publishBursts(ctx, stop, fmt.Sprint("publisher-", n), random)
			ended <- struct{}{}
		}()
	}
	return func() {
		close(stop)
		for range configurationPublishers {
			<-ended
		}
	}
}

// publishBursts publishes changes to customers that the publishers share. All
// of them begin each burst at the same time.
func (b *configurationBed) publishBursts(ctx context.Context, stop <-chan struct{}, name string, random *rand.Rand) {
	library := publisher.New(b.timed, name)
	ticker := time.NewTicker(configurationPause)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for range configurationBurst {
			documents := customerDocuments(random.IntN(configurationCustomers), random.IntN(1000))
			result, err := library.Publish(ctx, documents)
			b.record(result, err)
		}
	}
}

// observation is what one publisher was told.
type observation struct {
	result publisher.Result
	err    error
}

func (b *configurationBed) record(result publisher.Result, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.observations = append(b.observations, observation{result: result, err: err})
}

// report compares what the publishers were told with the stream, and when each
// accepted publication was in force.
func (b *configurationBed) report(report *Report) {
	var latencies []float64
	untrue, missing := 0, 0
	counts := make(map[publisher.Status]float64)
	for _, o := range b.observations {
		counts[o.result.Status]++
		if !b.isTrue(o.result) {
			untrue++
		}
		if o.result.Status != publisher.Accepted {
			continue
		}
		for _, h := range b.watched {
			if at, ok := h.inForceAt(o.result.Offset); ok {
				latencies = append(latencies, at.Sub(b.timed.startOf(o.result.Publication)).Seconds())
			} else {
				missing++
			}
		}
	}
	slices.Sort(latencies)
	for _, s := range []publisher.Status{publisher.Accepted, publisher.Lost, publisher.Unchanged, publisher.NotPublished, publisher.Unknown} {
		report.Set("publications-"+s.String()+"-count", counts[s])
	}
	report.Set("publications-refused-count", counts[0])
	report.Set("in-force-p50-s", quantile(latencies, 0.5))
	report.Set("in-force-max-s", quantile(latencies, 1))
	report.AtLeast("publications-accepted-count", 1, counts[publisher.Accepted])
	report.AtMost("in-force-p99-s", inForceLimit, quantile(latencies, 0.99))
	report.AtMost("never-in-force-count", 0, float64(missing))
	report.AtMost("reverts-count", 0, float64(b.reverts()))
	report.AtMost("untrue-reports-count", 0, float64(untrue))
	report.AtMost("violations-count", 0, float64(b.cluster.Violations()))
	b.reportReading(report, counts[publisher.Accepted]+counts[publisher.Lost])
}

// reportReading gives the bytes that a host reads at the rate of this run, and
// at the busy hour's: what an idle host reads, and the rest in proportion.
func (b *configurationBed) reportReading(report *Report, changes float64) {
	seconds := b.ended.Sub(b.began).Seconds()
	rate := changes / seconds
	busy := b.idleBytes + (b.readBytes-b.idleBytes)*busyHourRate/rate
	report.Set("changes-per-s", rate)
	report.Set("read-idle-bytes-per-s", b.idleBytes)
	report.Set("read-bytes-per-s", b.readBytes)
	report.AtMost("read-busy-hour-bytes-per-s", readLimitBytes, busy)
}

// quantile returns a quantile of sorted values, 0 for none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// timedLog notes when the first append of each record began that may have
// taken effect. Appends stand still while the log is truncated.
type timedLog struct {
	fuchsiapitch.Log
	gate   sync.RWMutex
	mutex  sync.Mutex
	starts map[fuchsiapitch.RecordID]time.Time
}
