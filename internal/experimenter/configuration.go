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
	// publicationsPerBurst is the number of publications of each publisher in
	// a burst.
	publicationsPerBurst = 4
	// burstInterval is the time from the start of one burst to the next.
	burstInterval = 2 * time.Second
	// slowLogDelay is the delay of each log request while the log is slow.
	slowLogDelay = 300 * time.Millisecond
	// busyHourChangesPerSecond is the change rate when a quarter of the 7,700
	// changes of a day falls into one hour.
	busyHourChangesPerSecond = 7700.0 / 4 / 3600
	// maxInForceSeconds is the target for the 99th percentile of the time from
	// publication until a change is in force at a host.
	maxInForceSeconds = 4
	// maxReadBytesPerSecond is the target for the bytes that one host reads in
	// the busy hour.
	maxReadBytesPerSecond = 3000
	// propagationTime is the time that is left for the last changes to reach
	// every host.
	propagationTime = 5 * time.Second
)

// configurationExperiment measures how configuration changes propagate to the
// hosts while the log fails.
type configurationExperiment struct{}

// Name implements Experiment.
func (configurationExperiment) Name() string { return "configuration" }

// Synopsis implements Experiment.
func (configurationExperiment) Synopsis() string {
	return "three concurrent publishers while the log is slow, unavailable and truncated"
}

// Run implements Experiment.
func (configurationExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	b, closeTestbed, err := startConfigurationTestbed(ctx)
	if err != nil {
		return nil, err
	}
	defer closeTestbed()
	phaseDuration := 25 * time.Second
	if run.Quick {
		phaseDuration = 5 * time.Second
	}
	report := NewReport("configuration", run.Seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatching := b.startWatching(ctx)
	stopPublishing := b.startPublishers(ctx, run.Seed)
	for _, p := range b.faultPhases() {
		fmt.Fprintf(run.Progress, "%s for %s\n", p.name, phaseDuration)
		if err := p.inject(ctx); err != nil {
			return nil, err
		}
		sleepContext(ctx, phaseDuration)
		if err := p.clear(); err != nil {
			return nil, err
		}
	}
	stopPublishing()
	sleepContext(ctx, propagationTime)
	stopWatching()
	if err := b.readReference(ctx); err != nil {
		return nil, err
	}
	b.reportResults(report)
	return report, nil
}

// faultPhase is a part of the run with one fault, or with none.
type faultPhase struct {
	name   string
	inject func(context.Context) error
	clear  func() error
}

func (b *configurationTestbed) faultPhases() []faultPhase {
	nothingToClear := func() error { return nil }
	return []faultPhase{
		{name: "no fault", inject: func(context.Context) error { return nil }, clear: nothingToClear},
		{
			name:   "log slow",
			inject: func(context.Context) error { b.fleet.Log().SetDelay(slowLogDelay); return nil },
			clear:  func() error { b.fleet.Log().SetDelay(0); return nil },
		},
		{
			name:   "log append answers lost",
			inject: func(context.Context) error { b.fleet.Log().LoseAppendResponses(publicationsPerBurst); return nil },
			clear:  nothingToClear,
		},
		{
			name:   "log unavailable",
			inject: func(context.Context) error { b.fleet.Log().SetOutage(true); return nil },
			clear:  func() error { b.fleet.Log().SetOutage(false); return nil },
		},
		{name: "log truncated", inject: b.truncateLog, clear: nothingToClear},
		{
			name:   "log unreachable from one data centre",
			inject: func(context.Context) error { b.fleet.LogServer(b.dataCentres[0]).Kill(); return nil },
			clear:  func() error { return b.fleet.LogServer(b.dataCentres[0]).Restart() },
		},
	}
}

// startPublishers starts the publishers. The returned function stops them and
// waits until their goroutines have ended.
func (b *configurationTestbed) startPublishers(ctx context.Context, seed uint64) func() {
	stop := make(chan struct{})
	publisherDone := make(chan struct{}, configurationPublishers)
	for n := range configurationPublishers {
		random := rand.New(rand.NewPCG(seed, uint64(n))) //nolint:gosec // a seed makes the run repeatable
		go func() {
			b.publishBursts(ctx, stop, fmt.Sprint("publisher-", n), random)
			publisherDone <- struct{}{}
		}()
	}
	return func() {
		close(stop)
		for range configurationPublishers {
			<-publisherDone
		}
	}
}

// publishBursts publishes bursts of changes to customers that all publishers
// share. The publishers start each burst at about the same time, so that their
// changes conflict.
func (b *configurationTestbed) publishBursts(ctx context.Context, stop <-chan struct{}, name string, random *rand.Rand) {
	changePublisher := publisher.New(b.publisherLog, name)
	ticker := time.NewTicker(burstInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for range publicationsPerBurst {
			documents := customerDocuments(random.IntN(configurationCustomers), random.IntN(1000))
			result, err := changePublisher.Publish(ctx, documents)
			b.recordResult(result, err)
		}
	}
}

// reportedResult is the result that a publisher reported for one publication.
type reportedResult struct {
	result publisher.Result
	err    error
}

func (b *configurationTestbed) recordResult(result publisher.Result, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reportedResults = append(b.reportedResults, reportedResult{result: result, err: err})
}

// reportResults compares the reported results with the stream and measures how
// long each accepted publication took to come into force at each host.
func (b *configurationTestbed) reportResults(report *Report) {
	var latencies []float64
	falseReports, neverInForce := 0, 0
	counts := make(map[publisher.Status]float64)
	for _, o := range b.reportedResults {
		counts[o.result.Status]++
		if !b.matchesStream(o.result) {
			falseReports++
		}
		if o.result.Status != publisher.Accepted {
			continue
		}
		for _, h := range b.hostWatchers {
			if at, ok := h.inForceAt(o.result.Offset); ok {
				latencies = append(latencies, at.Sub(b.publisherLog.startedAt(o.result.PublicationID)).Seconds())
			} else {
				neverInForce++
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
	report.AtMost("in-force-p99-s", maxInForceSeconds, quantile(latencies, 0.99))
	report.AtMost("never-in-force-count", 0, float64(neverInForce))
	report.AtMost("reverts-count", 0, float64(b.totalReverts()))
	report.AtMost("untrue-reports-count", 0, float64(falseReports))
	report.AtMost("violations-count", 0, float64(b.cluster.Violations()))
	b.reportReadTraffic(report, counts[publisher.Accepted]+counts[publisher.Lost])
}

// reportReadTraffic reports the bytes that a host reads at the change rate of
// this run and, extrapolated, in the busy hour. Bytes beyond those of an idle
// host are taken as proportional to the change rate.
func (b *configurationTestbed) reportReadTraffic(report *Report, changes float64) {
	seconds := b.watchEndedAt.Sub(b.watchStartedAt).Seconds()
	changesPerSecond := changes / seconds
	busyHourBytesPerSecond := b.idleReadBytesPerSecond + (b.readBytesPerSecond-b.idleReadBytesPerSecond)*busyHourChangesPerSecond/changesPerSecond
	report.Set("changes-per-s", changesPerSecond)
	report.Set("read-idle-bytes-per-s", b.idleReadBytesPerSecond)
	report.Set("read-bytes-per-s", b.readBytesPerSecond)
	report.AtMost("read-busy-hour-bytes-per-s", maxReadBytesPerSecond, busyHourBytesPerSecond)
}

// quantile returns a quantile of sorted values, 0 if there are none.
func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// timingLog is a log that records, for each record, when the first append that
// may have taken effect started. Appends block while truncateLock is held for
// writing.
type timingLog struct {
	fuchsiapitch.Log
	truncateLock    sync.RWMutex
	mutex           sync.Mutex
	appendStartedAt map[fuchsiapitch.RecordID]time.Time
}
