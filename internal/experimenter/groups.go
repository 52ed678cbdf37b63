package experimenter

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/streamer"
)

const (
	groupsDeaths      = 6
	groupsQuickDeaths = 2
	groupsOutage      = 60 * time.Second
	groupsQuickOutage = 6 * time.Second
	groupsPause       = 6 * time.Second
	groupsWarmTime    = 2 * time.Second

	outBusyLimitSeconds = 1
	outIdleLimitSeconds = 3
	wholeLimitSeconds   = 5
)

// groupsExperiment measures how groups are taken out of routing and rebuilt.
type groupsExperiment struct{}

// Name implements Experiment.
func (groupsExperiment) Name() string { return "groups" }

// Synopsis implements Experiment.
func (groupsExperiment) Synopsis() string {
	return "how soon a broken group is out of routing and whole again, while members, domains, the controller and the log fail"
}

// groupsRun is one run of the experiment.
type groupsRun struct {
	*groupsBed
	run      Run
	report   *Report
	out      map[string]time.Duration
	whole    map[string]time.Duration
	stranded int
	turn     int
}

// Run implements Experiment.
func (groupsExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	bed, cleanUp, err := startGroupsBed(ctx, run.Seed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer cleanUp()
	r := &groupsRun{
		groupsBed: bed, run: run, report: NewReport("groups", run.Seed),
		out: make(map[string]time.Duration), whole: make(map[string]time.Duration),
	}
	start := time.Now()
	formed, err := r.awaitWhole(ctx, start)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r.report.Set("first-groups-whole-s", formed.Seconds())
	for _, phase := range []func(context.Context) error{
		r.idle, r.busy, r.domainDark, r.controllerDies, r.controllerPaused, r.logAway,
	} {
		if err := phase(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	r.finish(time.Since(start))
	return r.report, nil
}

func (r *groupsRun) progress(format string, arguments ...any) {
	fmt.Fprintf(r.run.Progress, format+"\n", arguments...)
}

func (r *groupsRun) deaths() int {
	if r.run.Quick {
		return groupsQuickDeaths
	}
	return groupsDeaths
}

// idle has members die one after another while no stream runs.
func (r *groupsRun) idle(ctx context.Context) error {
	for range r.deaths() {
		if err := r.memberDies(ctx, "idle"); err != nil {
			return err
		}
	}
	return nil
}

// busy has members die one after another while streams run on every group.
func (r *groupsRun) busy(ctx context.Context) error {
	stop := r.stream(ctx, streamer.NewTimes())
	defer stop()
	time.Sleep(groupsWarmTime)
	for range r.deaths() {
		if err := r.memberDies(ctx, "busy"); err != nil {
			return err
		}
	}
	return r.memberPauses(ctx)
}

// memberPauses has a member of a busy group stop answering without closing its
// connections, and go on with its old state.
func (r *groupsRun) memberPauses(ctx context.Context) error {
	group, victim := r.member(ctx, 0)
	start := time.Now()
	victim.Pause()
	out, err := r.awaitOut(ctx, start, group, victim)
	victim.Resume()
	if err != nil {
		return err
	}
	r.report.Set("out-of-routing-streams-member-paused-s", out.Seconds())
	r.progress("busy, paused: out of routing after %s", out.Round(time.Millisecond))
	_, err = r.awaitWhole(ctx, time.Now())
	return err
}

// awaitOut waits until a group with a member is no longer routed to.
func (r *groupsRun) awaitOut(ctx context.Context, since time.Time, group grouper.Group, member *engine.Engine) (time.Duration, error) {
	return r.await(ctx, since, "a group out of routing", func(serving map[fuchsiapitch.GroupID]grouper.Group) bool {
		g, ok := serving[group.ID]
		return !ok || !slices.Contains(g.Members, member.ID())
	})
}

// memberDies has one member die and measures how soon its group is out of
// routing and whole again.
func (r *groupsRun) memberDies(ctx context.Context, phase string) error {
	r.turn++
	group, victim := r.member(ctx, r.turn%groupsDomains)
	return r.strike(ctx, phase, group, victim, func() {})
}

// strike has a member die with something else and measures both times. The time
// that the weight store needs for the loads is taken off the second.
func (r *groupsRun) strike(ctx context.Context, phase string, group grouper.Group, victim *engine.Engine, also func()) error {
	loads := r.fleet.WeightStore().Loads()
	start := time.Now()
	victim.Die()
	also()
	out, err := r.awaitOut(ctx, start, group, victim)
	if err != nil {
		return err
	}
	whole, err := r.awaitWhole(ctx, start)
	if err != nil {
		return err
	}
	whole -= time.Duration(r.fleet.WeightStore().Loads()-loads) * groupsModelBytes * time.Second / groupsWeightRate
	r.out[phase], r.whole[phase] = max(r.out[phase], out), max(r.whole[phase], whole)
	r.progress("%s: out of routing after %s, whole %s beyond the load", phase, out.Round(time.Millisecond), whole.Round(time.Millisecond))
	return r.revive(ctx, victim)
}

// revive brings engines back and waits until as many groups serve as possible.
func (r *groupsRun) revive(ctx context.Context, engines ...*engine.Engine) error {
	r.stranded = max(r.stranded, r.groupsBed.stranded(ctx))
	for _, e := range engines {
		if err := e.Revive(); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := r.awaitWhole(ctx, time.Now())
	return err
}

// domainDark has every engine of one domain die at once and come back.
func (r *groupsRun) domainDark(ctx context.Context) error {
	loads := r.fleet.WeightStore().Loads()
	engines := r.domain(r.random.IntN(groupsDomains))
	start := time.Now()
	for _, e := range engines {
		e.Die()
	}
	out, err := r.awaitWhole(ctx, start)
	if err != nil {
		return err
	}
	r.out["domain-dark"] = out
	back := time.Now()
	if err := r.revive(ctx, engines...); err != nil {
		return err
	}
	whole := time.Since(back) - time.Duration(r.fleet.WeightStore().Loads()-loads)*groupsModelBytes*time.Second/groupsWeightRate
	r.whole["domain-back"] = whole
	r.progress("domain: out of routing after %s, whole %s beyond the loads after its return", out.Round(time.Millisecond), whole.Round(time.Millisecond))
	return nil
}

// controllerDies has the controller and a member die at once.
func (r *groupsRun) controllerDies(ctx context.Context) error {
	controller := r.controller(ctx)
	group, victim := r.member(ctx, 0)
	if err := r.strike(ctx, "controller-dies", group, victim, controller.Kill); err != nil {
		return err
	}
	return trace.Wrap(controller.Restart())
}

// controllerPaused pauses the controller past its lease while a member dies.
func (r *groupsRun) controllerPaused(ctx context.Context) error {
	r.cluster.InjectFleet(ctx, groupsConfiguration())
	if _, err := r.awaitWhole(ctx, time.Now()); err != nil {
		return err
	}
	controller := r.controller(ctx)
	group, victim := r.member(ctx, 1)
	resumed := make(chan error, 1)
	pause := func() {
		go func() {
			resumed <- controller.EntryHost().Runner().Inspect(ctx, func(*reducer.State) { time.Sleep(groupsPause) })
		}()
	}
	if err := r.strike(ctx, "controller-paused", group, victim, pause); err != nil {
		return err
	}
	return trace.Wrap(<-resumed)
}

// logAway takes the log away while members die one after another.
func (r *groupsRun) logAway(ctx context.Context) error {
	outage := groupsOutage
	if r.run.Quick {
		outage = groupsQuickOutage
	}
	start := time.Now()
	r.fleet.Log().SetOut(true)
	defer r.fleet.Log().SetOut(false)
	time.Sleep(outage / 4)
	for n := 0; n == 0 || time.Since(start) < outage*3/4; n++ {
		if err := r.memberDies(ctx, "log-away"); err != nil {
			return err
		}
	}
	time.Sleep(max(0, outage-time.Since(start)))
	r.fleet.Log().SetOut(false)
	r.progress("log back after %s", time.Since(start).Round(time.Second))
	time.Sleep(groupsWarmTime)
	_, err := r.awaitWhole(ctx, time.Now())
	return err
}

func (r *groupsRun) finish(elapsed time.Duration) {
	r.report.AtMost("out-of-routing-streams-max-s", outBusyLimitSeconds, r.out["busy"].Seconds())
	r.report.AtMost("out-of-routing-idle-max-s", outIdleLimitSeconds, r.out["idle"].Seconds())
	for _, phase := range []string{"domain-dark", "controller-dies", "controller-paused", "log-away"} {
		r.report.AtMost("out-of-routing-"+phase+"-max-s", outIdleLimitSeconds, r.out[phase].Seconds())
	}
	for _, phase := range slices.Sorted(maps.Keys(r.whole)) {
		r.report.AtMost("whole-again-"+phase+"-beyond-load-max-s", wholeLimitSeconds, r.whole[phase].Seconds())
	}
	r.report.Set("group-downtime-s", r.downtime.Seconds())
	r.report.Set("run-time-s", elapsed.Seconds())
	r.report.AtMost("stranded-above-optimum-accelerators", 0, float64(r.stranded))
	r.report.AtMost("double-assignments", 0, float64(r.doubles))
	r.report.AtMost("partial-service-violations", 0, float64(r.violations.Load()))
}

func sortedIDs(groups map[fuchsiapitch.GroupID]grouper.Group) []fuchsiapitch.GroupID {
	return slices.Sorted(maps.Keys(groups))
}
