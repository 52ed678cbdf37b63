package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/scheduler"
)

const (
	floodFactor      = 10
	floodChatLoad    = 0.25
	floodChatTokens  = 48
	floodDraftTokens = 48
	floodKilnTokens  = 64
	floodDraftFactor = 2
	floodPromptBytes = 512
	// floodOutstanding bounds the open requests of one source, which the number
	// of open files of the process bounds in turn.
	floodOutstanding = 800

	floodFirstTokenLimitMs = 480
	floodInterTokenLimitMs = 44
	floodRatioLimit        = 1.1
	floodFloorTolerance    = 0.95
	floodUsefulLimit       = 0.95
	floodRefusalLimitMs    = 50
)

// floodTimes are the lengths of the phases.
type floodTimes struct {
	warmUp, phase time.Duration
}

// floodExperiment floods the fleet with the least urgent work and later with
// the most urgent.
type floodExperiment struct{}

// Name implements Experiment.
func (floodExperiment) Name() string { return "flood" }

// Synopsis implements Experiment.
func (floodExperiment) Synopsis() string {
	return "urgent work in a flood of the least urgent, floors in a flood of the urgent, refusals"
}

// Run implements Experiment.
func (floodExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	report := NewReport("flood", run.Seed)
	times := floodTimes{warmUp: 5 * time.Second, phase: 30 * time.Second}
	if run.Quick {
		times = floodTimes{warmUp: 2 * time.Second, phase: 7 * time.Second}
	}
	f, err := measureFlood(ctx, run, times, "")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	without, err := measureUseful(ctx, run, times)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.report(report)
	report.Set("useful-tokens-per-second-without-refusal", without)
	report.AtLeast("useful-tokens-ratio-to-no-refusal", floodUsefulLimit, f.useful/without)
	if run.Quick {
		return report, nil
	}
	for _, a := range floodAblations() {
		ablated, err := measureFlood(ctx, run, floodTimes{warmUp: 3 * time.Second, phase: 10 * time.Second}, a.name, a.mechanism)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		ablated.reportAblation(report, a.name)
	}
	return report, nil
}

// ablation is a mechanism that a run goes without.
type ablation struct {
	name      string
	mechanism scheduler.Mechanism
}

func floodAblations() []ablation {
	return []ablation{
		{"rank-order", scheduler.RankOrder},
		{"floors", scheduler.Floors},
		{"headroom", scheduler.Headroom},
		{"preemption", scheduler.Preemption},
		{"adaptive-concurrency", scheduler.AdaptiveConcurrency},
		{"early-refusal", scheduler.EarlyRefusal},
	}
}

// flood is what one run has measured.
type flood struct {
	unloadedFirst, unloadedGap time.Duration
	calm, flooded, urgent      *series
	kilns                      *series
	useful                     float64
	shares                     map[string]float64
	refusals                   int
	refusalTime                time.Duration
	failed                     int
	lastFailure                error
}

// floodBed is a bed with the sources of the flood.
type floodBed struct {
	*bed
	traffic            *traffic
	chat               source
	urgentFlood        source
	kilnFlood, drafted source
}

func startFloodBed(ctx context.Context, run Run, off ...scheduler.Mechanism) (*floodBed, func(), error) {
	customers := []bedCustomer{{"buyers", 1}, {"drafts", 1}, {"kilns", 1}}
	b, closeBed, err := startBed(ctx, customers, nil, reducer.WithSchedulerOptions(scheduler.Without(off...)))
	if err != nil {
		return nil, nil, err
	}
	t, closeTraffic := newTraffic(ctx, run.Seed, b.urls()...)
	f := &floodBed{bed: b, traffic: t}
	f.chat = f.source("buyers", "chat", floodChatTokens, floodChatLoad)
	f.urgentFlood = f.source("buyers", "chat", floodChatTokens, floodFactor)
	f.drafted = f.source("drafts", "draft", floodDraftTokens, floodDraftFactor)
	f.kilnFlood = f.source("kilns", "kiln", floodKilnTokens, floodFactor)
	return f, func() {
		closeTraffic()
		closeBed()
	}, nil
}

// source returns a source that asks for a multiple of the fleet's capacity.
func (f *floodBed) source(customer, rank string, tokens int, load float64) source {
	return source{
		name: rank, client: f.client(customer, rank), tokens: tokens,
		rate: load * bedTokensPerSecond() / float64(tokens), limit: floodOutstanding, prompt: freshPrompt(floodPromptBytes),
	}
}

func measureFlood(ctx context.Context, run Run, times floodTimes, without string, off ...scheduler.Mechanism) (*flood, error) {
	b, cleanUp, err := startFloodBed(ctx, run, off...)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	show := func(what string) {
		fmt.Fprintf(run.Progress, "%s%s, %s\n", what, strings.TrimSuffix(" without "+without, " without "), times.phase)
	}
	result := &flood{shares: make(map[string]float64)}
	unloaded, err := b.measureUnloaded(ctx, freshPrompt(floodPromptBytes)(rand.New(rand.NewPCG(run.Seed, 0)), 0))
	if err != nil {
		return nil, err
	}
	result.unloadedFirst, result.unloadedGap = unloaded.First(50), unloaded.Gap(50)

	show("urgent work alone")
	b.traffic.run("warm-up", times.warmUp, b.chat)
	b.traffic.run("calm", times.phase, b.chat)
	show("flood of the least urgent")
	b.traffic.run("rising", times.warmUp, b.chat, b.kilnFlood)
	result.useful = b.rate(func() { b.traffic.run("flood", times.phase, b.chat, b.kilnFlood) })
	show("flood of the urgent")
	b.traffic.run("turning", 2*times.warmUp, b.urgentFlood, b.drafted, b.kilnFlood)
	result.measureShares(b, func() { b.traffic.run("urgent", times.phase, b.urgentFlood, b.drafted, b.kilnFlood) })
	result.collect(b)
	return result, nil
}

// rate returns the tokens a second that the engines make meanwhile.
func (b *bed) rate(during func()) float64 {
	before, started := b.engineCounts().Tokens, time.Now()
	during()
	return float64(b.engineCounts().Tokens-before) / time.Since(started).Seconds()
}

// measureShares measures which part of the tokens each rank receives meanwhile.
func (f *flood) measureShares(b *floodBed, during func()) {
	ranks := []string{"chat", "draft", "kiln"}
	before := make(map[string]int)
	for _, r := range ranks {
		before[r] = b.traffic.tokens(r)
	}
	during()
	total := 0
	for _, r := range ranks {
		f.shares[r] = float64(b.traffic.tokens(r) - before[r])
		total += int(f.shares[r])
	}
	for _, r := range ranks {
		f.shares[r] /= float64(total)
	}
}

func (f *flood) collect(b *floodBed) {
	f.calm, f.flooded = b.traffic.of("calm", "chat"), b.traffic.of("flood", "chat")
	f.urgent, f.kilns = b.traffic.of("urgent", "chat"), b.traffic.of("flood", "kiln")
	f.refusals, f.refusalTime = f.kilns.refused(99)
	f.failed, f.lastFailure = b.traffic.failures()
}

func (f *flood) report(report *Report) {
	report.Set("unloaded-engine-first-token-ms", milliseconds(f.unloadedFirst))
	report.Set("unloaded-engine-inter-token-ms", milliseconds(f.unloadedGap))
	report.Set("calm-chat-first-token-p95-ms", milliseconds(f.calm.times.First(95)))
	report.Set("calm-chat-inter-token-p95-ms", milliseconds(f.calm.times.Gap(95)))
	report.Set("useful-tokens-per-second", f.useful)
	report.Set("kiln-refusals", float64(f.refusals))
	report.Set("urgent-flood-chat-first-token-p95-ms", milliseconds(f.urgent.times.First(95)))
	report.AtMost("flood-chat-first-token-p95-ms", floodFirstTokenLimitMs, milliseconds(f.flooded.times.First(95)))
	report.AtMost("flood-chat-inter-token-p95-ms", floodInterTokenLimitMs, milliseconds(f.flooded.times.Gap(95)))
	report.AtMost("flood-chat-first-token-ratio-to-calm", floodRatioLimit, ratioOf(f.flooded.times.First(95), f.calm.times.First(95)))
	report.AtMost("flood-chat-inter-token-ratio-to-calm", floodRatioLimit, ratioOf(f.flooded.times.Gap(95), f.calm.times.Gap(95)))
	refused, _ := f.flooded.refused(50)
	report.AtMost("flood-chat-refusals", 0, float64(refused))
	for _, r := range bedRanks()[1:] {
		report.AtLeast("urgent-flood-"+string(r.Name())+"-share", floodFloorTolerance*r.MinCapacityShare(), f.shares[string(r.Name())])
	}
	report.AtMost("refusal-p99-ms", floodRefusalLimitMs, milliseconds(f.refusalTime))
	report.AtMost("failed-streams", 0, float64(f.failed))
}

// reportAblation records the figures that the mechanisms are judged by.
func (f *flood) reportAblation(report *Report, name string) {
	prefix := "without-" + name + "-"
	report.Set(prefix+"flood-chat-first-token-p95-ms", milliseconds(f.flooded.times.First(95)))
	report.Set(prefix+"flood-chat-inter-token-p95-ms", milliseconds(f.flooded.times.Gap(95)))
	report.Set(prefix+"urgent-flood-chat-first-token-p95-ms", milliseconds(f.urgent.times.First(95)))
	report.Set(prefix+"urgent-flood-draft-share", f.shares["draft"])
	report.Set(prefix+"urgent-flood-kiln-share", f.shares["kiln"])
	report.Set(prefix+"useful-tokens-per-second", f.useful)
	report.Set(prefix+"failed-streams", float64(f.failed))
}

func ratioOf(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// measureUseful returns the tokens a second in the flood of the least urgent
// without early refusal.
func measureUseful(ctx context.Context, run Run, times floodTimes) (float64, error) {
	b, cleanUp, err := startFloodBed(ctx, run, scheduler.EarlyRefusal)
	if err != nil {
		return 0, err
	}
	defer cleanUp()
	fmt.Fprintf(run.Progress, "flood of the least urgent without early refusal, %s\n", times.phase)
	b.traffic.run("warm-up", times.warmUp, b.chat, b.kilnFlood)
	return b.rate(func() { b.traffic.run("flood", times.phase, b.chat, b.kilnFlood) }), nil
}
