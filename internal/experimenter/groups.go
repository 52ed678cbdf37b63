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
	memberFailures      = 6
	quickMemberFailures = 2
	logOutage           = 60 * time.Second
	quickLogOutage      = 6 * time.Second
	controllerPauseTime = 6 * time.Second
	groupsWarmUp        = 2 * time.Second

	maxOutOfRoutingStreamingSeconds = 1
	maxOutOfRoutingIdleSeconds      = 3
	maxRecoverySeconds              = 5
)

// groupsExperiment measures how soon failed groups are taken out of routing
// and replaced.
type groupsExperiment struct{}

// Name implements Experiment.
func (groupsExperiment) Name() string { return "groups" }

// Synopsis implements Experiment.
func (groupsExperiment) Synopsis() string {
	return "time until a broken group is out of routing, and until it is whole again, while members, domains, the controller and the log fail"
}

// groupsRun is one run of the experiment. outOfRoutingTimes and recoveryTimes
// hold the longest time of each phase, strandedEngines the largest number of
// engines that were stranded at once.
type groupsRun struct {
	*groupsTestbed
	parameters        RunParameters
	report            *Report
	outOfRoutingTimes map[string]time.Duration
	recoveryTimes     map[string]time.Duration
	strandedEngines   int
	failedMemberCount int
}

// Run implements Experiment.
func (groupsExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	testbed, closeTestbed, err := startGroupsTestbed(ctx, run.Seed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer closeTestbed()
	r := &groupsRun{
		groupsTestbed: testbed, parameters: run, report: NewReport("groups", run.Seed),
		outOfRoutingTimes: make(map[string]time.Duration), recoveryTimes: make(map[string]time.Duration),
	}
	start := time.Now()
	formationTime, err := r.awaitAllGroups(ctx, start)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r.report.Set("first-groups-whole-s", formationTime.Seconds())
	for _, phase := range []func(context.Context) error{
		r.failMembersWhenIdle, r.failMembersWhenStreaming, r.failDomain, r.failController, r.pauseController, r.failLog,
	} {
		if err := phase(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	r.fillReport(time.Since(start))
	return r.report, nil
}

func (r *groupsRun) printProgress(format string, arguments ...any) {
	fmt.Fprintf(r.parameters.Progress, format+"\n", arguments...)
}

func (r *groupsRun) failuresPerPhase() int {
	if r.parameters.Quick {
		return quickMemberFailures
	}
	return memberFailures
}

// failMembersWhenIdle fails members one after another without streams.
func (r *groupsRun) failMembersWhenIdle(ctx context.Context) error {
	for range r.failuresPerPhase() {
		if err := r.failMember(ctx, "idle"); err != nil {
			return err
		}
	}
	return nil
}

// failMembersWhenStreaming fails members one after another while streams run
// on every group.
func (r *groupsRun) failMembersWhenStreaming(ctx context.Context) error {
	stop := r.startStreams(ctx, streamer.NewLatencies())
	defer stop()
	time.Sleep(groupsWarmUp)
	for range r.failuresPerPhase() {
		if err := r.failMember(ctx, "busy"); err != nil {
			return err
		}
	}
	return r.pauseMember(ctx)
}

// pauseMember pauses a member of a group with streams and measures how soon the
// group is out of routing. The connections of the member stay open, and it
// keeps its state.
func (r *groupsRun) pauseMember(ctx context.Context) error {
	group, victim := r.pickMember(ctx, 0)
	start := time.Now()
	victim.Pause()
	outOfRoutingTime, err := r.awaitOutOfRouting(ctx, start, group, victim)
	victim.Resume()
	if err != nil {
		return err
	}
	r.report.Set("out-of-routing-streams-member-paused-s", outOfRoutingTime.Seconds())
	r.printProgress("busy, member paused: out of routing after %s", outOfRoutingTime.Round(time.Millisecond))
	_, err = r.awaitAllGroups(ctx, time.Now())
	return err
}

// awaitOutOfRouting waits until a group does not serve or no longer contains a
// member, and returns the time elapsed since an instant.
func (r *groupsRun) awaitOutOfRouting(ctx context.Context, since time.Time, group grouper.Group, member *engine.Engine) (time.Duration, error) {
	return r.awaitGroups(ctx, since, "a failed group out of routing", func(serving map[fuchsiapitch.GroupID]grouper.Group) bool {
		g, ok := serving[group.ID]
		return !ok || !slices.Contains(g.Members, member.ID())
	})
}

// failMember fails one member and measures how soon its group is out of routing
// and as many groups serve as possible.
func (r *groupsRun) failMember(ctx context.Context, phase string) error {
	r.failedMemberCount++
	group, victim := r.pickMember(ctx, r.failedMemberCount%groupsDomainCount)
	return r.failMemberWith(ctx, phase, group, victim, func() {})
}

// failMemberWith fails a member, injects another fault at the same time and
// measures both times. The recovery time excludes the time that the weight
// store takes for the loads.
func (r *groupsRun) failMemberWith(ctx context.Context, phase string, group grouper.Group, victim *engine.Engine, injectOther func()) error {
	loadsBefore := r.fleet.WeightStore().StartedLoads()
	start := time.Now()
	victim.Kill()
	injectOther()
	outOfRoutingTime, err := r.awaitOutOfRouting(ctx, start, group, victim)
	if err != nil {
		return err
	}
	recoveryTime, err := r.awaitAllGroups(ctx, start)
	if err != nil {
		return err
	}
	recoveryTime -= time.Duration(r.fleet.WeightStore().StartedLoads()-loadsBefore) * groupsModelBytes * time.Second / groupsWeightBytesPerSecond
	r.outOfRoutingTimes[phase], r.recoveryTimes[phase] = max(r.outOfRoutingTimes[phase], outOfRoutingTime), max(r.recoveryTimes[phase], recoveryTime)
	r.printProgress("%s: out of routing after %s, all groups serving after %s, not counting weight loading", phase, outOfRoutingTime.Round(time.Millisecond), recoveryTime.Round(time.Millisecond))
	return r.restartEngines(ctx, victim)
}

// restartEngines records the number of stranded engines, restarts engines and
// waits until as many groups serve as possible.
func (r *groupsRun) restartEngines(ctx context.Context, engines ...*engine.Engine) error {
	r.strandedEngines = max(r.strandedEngines, r.groupsTestbed.strandedEngines(ctx))
	for _, e := range engines {
		if err := e.Restart(); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := r.awaitAllGroups(ctx, time.Now())
	return err
}

// failDomain fails every engine of one domain at once, restarts them, and
// measures the recovery after the failure and after the restart.
func (r *groupsRun) failDomain(ctx context.Context) error {
	loadsBefore := r.fleet.WeightStore().StartedLoads()
	engines := r.domainEngines(r.random.IntN(groupsDomainCount))
	start := time.Now()
	for _, e := range engines {
		e.Kill()
	}
	outOfRoutingTime, err := r.awaitAllGroups(ctx, start)
	if err != nil {
		return err
	}
	r.outOfRoutingTimes["domain-dark"] = outOfRoutingTime
	restartedAt := time.Now()
	if err := r.restartEngines(ctx, engines...); err != nil {
		return err
	}
	recoveryTime := time.Since(restartedAt) - time.Duration(r.fleet.WeightStore().StartedLoads()-loadsBefore)*groupsModelBytes*time.Second/groupsWeightBytesPerSecond
	r.recoveryTimes["domain-back"] = recoveryTime
	r.printProgress("domain failed: out of routing after %s, all groups serving %s after its restart, not counting weight loading", outOfRoutingTime.Round(time.Millisecond), recoveryTime.Round(time.Millisecond))
	return nil
}

// failController fails the controller and a member at once.
func (r *groupsRun) failController(ctx context.Context) error {
	controller := r.actingController(ctx)
	group, victim := r.pickMember(ctx, 0)
	if err := r.failMemberWith(ctx, "controller-dies", group, victim, controller.Kill); err != nil {
		return err
	}
	return trace.Wrap(controller.Restart())
}

// pauseController pauses the controller for longer than its lease while a
// member fails.
func (r *groupsRun) pauseController(ctx context.Context) error {
	r.cluster.OverrideFleet(ctx, groupsConfiguration())
	if _, err := r.awaitAllGroups(ctx, time.Now()); err != nil {
		return err
	}
	controller := r.actingController(ctx)
	group, victim := r.pickMember(ctx, 1)
	inspectResult := make(chan error, 1)
	pause := func() {
		go func() {
			inspectResult <- controller.EntryHost().Runner().Inspect(ctx, func(*reducer.State) { time.Sleep(controllerPauseTime) })
		}()
	}
	if err := r.failMemberWith(ctx, "controller-paused", group, victim, pause); err != nil {
		return err
	}
	return trace.Wrap(<-inspectResult)
}

// failLog makes the log unavailable while members fail one after another.
func (r *groupsRun) failLog(ctx context.Context) error {
	outage := logOutage
	if r.parameters.Quick {
		outage = quickLogOutage
	}
	start := time.Now()
	r.fleet.Log().SetOutage(true)
	defer r.fleet.Log().SetOutage(false)
	time.Sleep(outage / 4)
	for n := 0; n == 0 || time.Since(start) < outage*3/4; n++ {
		if err := r.failMember(ctx, "log-away"); err != nil {
			return err
		}
	}
	time.Sleep(max(0, outage-time.Since(start)))
	r.fleet.Log().SetOutage(false)
	r.printProgress("log available again after %s", time.Since(start).Round(time.Second))
	time.Sleep(groupsWarmUp)
	_, err := r.awaitAllGroups(ctx, time.Now())
	return err
}

func (r *groupsRun) fillReport(elapsed time.Duration) {
	r.report.AtMost("out-of-routing-streams-max-s", maxOutOfRoutingStreamingSeconds, r.outOfRoutingTimes["busy"].Seconds())
	r.report.AtMost("out-of-routing-idle-max-s", maxOutOfRoutingIdleSeconds, r.outOfRoutingTimes["idle"].Seconds())
	for _, phase := range []string{"domain-dark", "controller-dies", "controller-paused", "log-away"} {
		r.report.AtMost("out-of-routing-"+phase+"-max-s", maxOutOfRoutingIdleSeconds, r.outOfRoutingTimes[phase].Seconds())
	}
	for _, phase := range slices.Sorted(maps.Keys(r.recoveryTimes)) {
		r.report.AtMost("whole-again-"+phase+"-beyond-load-max-s", maxRecoverySeconds, r.recoveryTimes[phase].Seconds())
	}
	r.report.Set("group-downtime-s", r.groupDowntime.Seconds())
	r.report.Set("run-time-s", elapsed.Seconds())
	r.report.AtMost("stranded-above-optimum-accelerators", 0, float64(r.strandedEngines))
	r.report.AtMost("double-assignments", 0, float64(r.doubleAssignments))
	r.report.AtMost("partial-service-violations", 0, float64(r.violationCount.Load()))
}

func sortedIDs(groups map[fuchsiapitch.GroupID]grouper.Group) []fuchsiapitch.GroupID {
	return slices.Sorted(maps.Keys(groups))
}
