package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

const (
	soakDefaultDuration     = 10 * time.Minute
	soakQuickDuration       = 15 * time.Second
	soakStreamWorkers       = 10
	soakBookingWorkers      = 4
	soakKeyedBookingWorkers = 3
	soakLookupWorkers       = 3
	soakRecoveryTimeout     = 90 * time.Second
	soakProgressInterval    = 10 * time.Second
)

// soakExperiment injects every kind of fault at random into the whole system.
type soakExperiment struct{}

// Name implements Experiment.
func (soakExperiment) Name() string { return "soak" }

// Synopsis implements Experiment.
func (soakExperiment) Synopsis() string {
	return "random faults of every kind in the whole system, with the invariants checked (--minutes sets the duration)"
}

// Run implements Experiment.
func (soakExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	duration := soakDefaultDuration
	switch {
	case run.Duration > 0:
		duration = run.Duration
	case run.Quick:
		duration = soakQuickDuration
	}
	testbed, closeTestbed, err := startSoakTestbed(ctx, run)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer closeTestbed()
	clients := newSoakClients(testbed)
	callContext, stopCalling := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { clients.run(callContext, run.Seed) })
	testbed.injectFaults(ctx, run, duration)
	unrecoveredHosts := testbed.awaitRecovery(ctx, clients)
	stopCalling()
	running.Wait()
	return reportSoak(run, testbed, clients, unrecoveredHosts), nil
}

// reportSoak returns the report of the run and prints the notes of the
// clients.
func reportSoak(run RunParameters, testbed *soakTestbed, clients *soakClients, unrecoveredHosts int) *Report {
	report := NewReport("soak", run.Seed)
	for fault, n := range testbed.faultCounts {
		report.Set("faults-"+fault, float64(n))
	}
	falseNotRun, doubled := clients.checkLedger()
	counters := clients.snapshot()
	for name, n := range counters.countsByOutcome {
		report.Set(name, float64(n))
	}
	report.AtMost("violated-invariants", 0, float64(testbed.cluster.Violations()))
	report.AtMost("doubled-bookings", 0, float64(doubled))
	report.AtMost("told-not-run-yet-run", 0, float64(falseNotRun))
	report.AtMost("wrong-answers", 0, float64(counters.wrongResponses))
	report.AtMost("tokens-repeated-or-lost", 0, float64(counters.disorderedStreams))
	report.AtMost("streams-cut-in-silence", 0, float64(counters.truncatedStreams))
	report.AtMost("hosts-not-recovered", 0, float64(unrecoveredHosts))
	for _, line := range counters.notes {
		fmt.Fprintln(run.Progress, line)
	}
	return report
}

// awaitRecovery waits until every entry host serves after the faults have been
// cleared. It returns the number of hosts that do not serve within the
// timeout.
func (b *soakTestbed) awaitRecovery(ctx context.Context, clients *soakClients) int {
	timeoutContext, cancel := context.WithTimeout(ctx, soakRecoveryTimeout)
	defer cancel()
	var probing sync.WaitGroup
	var unrecoveredHosts atomic.Int64
	for _, h := range b.cluster.Hosts() {
		probing.Go(func() {
			for !clients.isServing(ctx, h.URL()) {
				if timeoutContext.Err() != nil {
					unrecoveredHosts.Add(1)
					clients.addNote(b.diagnoseHost(ctx, h))
					return
				}
				time.Sleep(soakRetryInterval)
			}
		})
	}
	probing.Wait()
	return int(unrecoveredHosts.Load())
}

// diagnoseHost describes the data centre of a host that does not serve: the
// group status on each of its hosts and the status of its engines.
func (b *soakTestbed) diagnoseHost(ctx context.Context, h *launcher.Host) string {
	var text strings.Builder
	fmt.Fprintf(&text, "host %s does not serve: its group stream has %d records\n",
		h.ID(), len(b.fleet.Log().Records(reducer.GroupStreamPrefix+string(h.DataCentre()))))
	for _, other := range b.cluster.Hosts() {
		if other.DataCentre() != h.DataCentre() {
			continue
		}
		s := groupStatusOf(ctx, other)
		fmt.Fprintf(&text, "  host %s: controller %q, term %d, acting %t\n", other.ID(), s.Holder, s.Term, s.Acting)
		for _, g := range s.Groups {
			fmt.Fprintf(&text, "    group %s with members %v: complete %t, fault %s, draining %t\n", g.Group.ID, g.Group.Members, g.Whole, g.Fault, g.Group.Draining)
		}
	}
	for _, server := range b.fleet.BackendServers() {
		if server.Kind() != fuchsiapitch.EngineServer || server.DataCentre() != h.DataCentre() {
			continue
		}
		a := b.fleet.Engine(server.ID()).Status()
		fmt.Fprintf(&text, "  engine %s: dead %t, group %s, fencing token %v, ready %t, leaving %t\n", server.ID(),
			b.fleet.Engine(server.ID()).Dead(), a.Assignment().Group(), a.FencingToken(), a.Ready(), a.Leaving())
	}
	return text.String()
}

// injectFaults injects random faults for a time and then clears all of them.
func (b *soakTestbed) injectFaults(ctx context.Context, run RunParameters, duration time.Duration) {
	random := rand.New(rand.NewPCG(run.Seed, 1)) //nolint:gosec // a seed makes the run repeatable
	startedAt, progressPrintedAt := time.Now(), time.Now()
	faults := b.faults()
	for time.Since(startedAt) < duration && ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		b.faultCounts[f.name]++
		clearFault := f.inject(random)
		b.activeFaults = append(b.activeFaults, activeFault{clearAt: time.Now().Add(randomDuration(random, f.minDuration, f.maxDuration)), clear: clearFault})
		b.clearFaults(time.Now())
		time.Sleep(randomDuration(random, soakMinFaultInterval, soakMaxFaultInterval))
		if time.Since(progressPrintedAt) > soakProgressInterval {
			progressPrintedAt = time.Now()
			fmt.Fprintf(run.Progress, "%s of %s, %d faults, %d violated invariants\n",
				time.Since(startedAt).Round(time.Second), duration, b.totalFaultCount(), b.cluster.Violations())
		}
	}
	b.clearFaults(time.Now().Add(time.Hour))
}

func (b *soakTestbed) totalFaultCount() int {
	sum := 0
	for _, n := range b.faultCounts {
		sum += n
	}
	return sum
}

// randomDuration returns a random duration between two limits.
func randomDuration(random *rand.Rand, minDuration, maxDuration time.Duration) time.Duration {
	return minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)+1))
}
