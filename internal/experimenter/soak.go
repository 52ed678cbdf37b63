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
	soakDefaultTime  = 10 * time.Minute
	soakQuickTime    = 15 * time.Second
	soakStreams      = 10
	soakBookings     = 4
	soakKeyed        = 3
	soakLookups      = 3
	soakRecoverLimit = 90 * time.Second
	soakReportPeriod = 10 * time.Second
)

// soakExperiment strikes the whole system with every fault at random.
type soakExperiment struct{}

// Name implements Experiment.
func (soakExperiment) Name() string { return "soak" }

// Synopsis implements Experiment.
func (soakExperiment) Synopsis() string {
	return "every fault at random over the whole system, with the invariants on (--minutes)"
}

// Run implements Experiment.
func (soakExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	duration := soakDefaultTime
	switch {
	case run.Duration > 0:
		duration = run.Duration
	case run.Quick:
		duration = soakQuickTime
	}
	bed, cleanUp, err := startSoakBed(ctx, run)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer cleanUp()
	callers := newSoakCallers(bed)
	calling, stopCalling := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { callers.run(calling, run.Seed) })
	bed.strikeAll(ctx, run, duration)
	failed := bed.recover(ctx, callers)
	stopCalling()
	running.Wait()
	return reportSoak(run, bed, callers, failed), nil
}

// reportSoak judges the run.
func reportSoak(run Run, bed *soakBed, callers *soakCallers, failed int) *Report {
	report := NewReport("soak", run.Seed)
	for fault, n := range bed.struck {
		report.Set("faults-"+fault, float64(n))
	}
	early, doubled := callers.judgeLedger()
	t := callers.tally()
	for name, n := range t.counts {
		report.Set(name, float64(n))
	}
	report.AtMost("violated-invariants", 0, float64(bed.cluster.Violations()))
	report.AtMost("doubled-bookings", 0, float64(doubled))
	report.AtMost("told-not-run-yet-run", 0, float64(early))
	report.AtMost("wrong-answers", 0, float64(t.wrong))
	report.AtMost("tokens-repeated-or-lost", 0, float64(t.disorder))
	report.AtMost("streams-cut-in-silence", 0, float64(t.silent))
	report.AtMost("hosts-not-recovered", 0, float64(failed))
	for _, line := range t.notes {
		fmt.Fprintln(run.Progress, line)
	}
	return report
}

// recover waits until every entry host serves again after the last fault, and
// returns the number of hosts that do not within the limit.
func (b *soakBed) recover(ctx context.Context, callers *soakCallers) int {
	limited, cancel := context.WithTimeout(ctx, soakRecoverLimit)
	defer cancel()
	var probing sync.WaitGroup
	var failed atomic.Int64
	for _, h := range b.cluster.Hosts() {
		probing.Go(func() {
			for !callers.probe(ctx, h.URL()) {
				if limited.Err() != nil {
					failed.Add(1)
					callers.note(b.describe(ctx, h))
					return
				}
				time.Sleep(soakPause)
			}
		})
	}
	probing.Wait()
	return int(failed.Load())
}

// describe tells what a host that does not serve knows of its data centre, and
// what the engines themselves report.
func (b *soakBed) describe(ctx context.Context, h *launcher.Host) string {
	var text strings.Builder
	fmt.Fprintf(&text, "host %s does not serve; the stream of its groups has %d records\n",
		h.ID(), len(b.fleet.Log().Records(reducer.GroupStreamPrefix+string(h.DataCentre()))))
	for _, other := range b.cluster.Hosts() {
		if other.DataCentre() != h.DataCentre() {
			continue
		}
		s := statusOf(ctx, other)
		fmt.Fprintf(&text, "  host %s: controller %q, term %d, acting %t\n", other.ID(), s.Holder, s.Term, s.Acting)
		for _, g := range s.Groups {
			fmt.Fprintf(&text, "    group %s of %v: whole %t, %s, draining %t\n", g.Group.ID, g.Group.Members, g.Whole, g.Fault, g.Group.Draining)
		}
	}
	for _, server := range b.fleet.BackendServers() {
		if server.Kind() != fuchsiapitch.EngineServer || server.DataCentre() != h.DataCentre() {
			continue
		}
		a := b.fleet.Engine(server.ID()).Account()
		fmt.Fprintf(&text, "  engine %s: dead %t, group %s, fence %v, ready %t, leaving %t\n", server.ID(),
			b.fleet.Engine(server.ID()).Dead(), a.Assignment().Group(), a.FencingToken(), a.Ready(), a.Leaving())
	}
	return text.String()
}

// strikeAll strikes faults for a time and then ends all of them.
func (b *soakBed) strikeAll(ctx context.Context, run Run, duration time.Duration) {
	random := rand.New(rand.NewPCG(run.Seed, 1)) //nolint:gosec // a seed makes the run repeatable
	started, reported := time.Now(), time.Now()
	faults := b.faults()
	for time.Since(started) < duration && ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		b.struck[f.name]++
		undo := f.strike(random)
		b.pending = append(b.pending, soakUndo{at: time.Now().Add(between(random, f.shortest, f.longest)), end: undo})
		b.undo(time.Now())
		time.Sleep(between(random, soakShortestGap, soakLongestGap))
		if time.Since(reported) > soakReportPeriod {
			reported = time.Now()
			fmt.Fprintf(run.Progress, "%s of %s, %d faults, %d violated invariants\n",
				time.Since(started).Round(time.Second), duration, b.faultCount(), b.cluster.Violations())
		}
	}
	b.undo(time.Now().Add(time.Hour))
}

func (b *soakBed) faultCount() int {
	sum := 0
	for _, n := range b.struck {
		sum += n
	}
	return sum
}

// between returns a random time between two limits.
func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)+1))
}
