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
	floodLoadFactor      = 10
	floodChatLoad        = 0.25
	floodChatMeanTokens  = 48
	floodDraftMeanTokens = 48
	floodKilnMeanTokens  = 64
	floodDraftLoadFactor = 2
	floodPromptBytes     = 512
	// maxOutstandingPerSource limits the requests of a source in flight,
	// because the process has a limited number of open files.
	maxOutstandingPerSource = 800

	maxFloodFirstTokenMs = 480
	maxFloodInterTokenMs = 44
	maxFloodLatencyRatio = 1.1
	minFloorFraction     = 0.95
	minUsefulTokensRatio = 0.95
	maxRefusalMs         = 50
)

// phaseDurations holds the lengths of a warm-up and of a measured phase.
type phaseDurations struct {
	warmUp, phase time.Duration
}

// floodExperiment overloads the engines with requests of the least urgent rank
// and then with requests of the most urgent rank.
type floodExperiment struct{}

// Name implements Experiment.
func (floodExperiment) Name() string { return "flood" }

// Synopsis implements Experiment.
func (floodExperiment) Synopsis() string {
	return "latency of urgent requests under overload by the least urgent rank, floors under overload by the most urgent, refusals"
}

// Run implements Experiment.
func (floodExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	report := NewReport("flood", run.Seed)
	durations := phaseDurations{warmUp: 5 * time.Second, phase: 30 * time.Second}
	if run.Quick {
		durations = phaseDurations{warmUp: 2 * time.Second, phase: 7 * time.Second}
	}
	f, err := measureFlood(ctx, run, durations, "")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	usefulWithoutRefusal, err := measureUsefulWithoutRefusal(ctx, run, durations)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.fillReport(report)
	report.Set("useful-tokens-per-second-without-refusal", usefulWithoutRefusal)
	report.AtLeast("useful-tokens-ratio-to-no-refusal", minUsefulTokensRatio, f.usefulTokensPerSecond/usefulWithoutRefusal)
	if run.Quick {
		return report, nil
	}
	for _, a := range floodAblations() {
		ablated, err := measureFlood(ctx, run, phaseDurations{warmUp: 3 * time.Second, phase: 10 * time.Second}, a.name, a.mechanism)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		ablated.reportAblation(report, a.name)
	}
	return report, nil
}

// ablation is a scheduler mechanism that is disabled to measure its effect.
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

// floodResult holds the measurements of one run. The calm results are from the
// phase without a flood, the flooded ones from the flood of the least urgent
// rank, and the urgent ones and the token shares from the flood of the most
// urgent rank. Refusals are those of the least urgent rank in its flood.
type floodResult struct {
	unloadedFirstToken, unloadedInterToken time.Duration
	calmChat, floodedChat, urgentFloodChat *sourceResult
	floodedKiln                            *sourceResult
	usefulTokensPerSecond                  float64
	tokenSharesByRank                      map[string]float64
	kilnRefusals                           int
	kilnRefusalP99                         time.Duration
	failedStreams                          int
	lastError                              error
}

// floodTestbed is a scheduling testbed with the sources of the experiment.
type floodTestbed struct {
	*schedulingTestbed
	generator             *loadGenerator
	chat                  source
	urgentFlood           source
	kilnFlood, draftFlood source
}

func startFloodTestbed(ctx context.Context, run RunParameters, disabledMechanisms ...scheduler.Mechanism) (*floodTestbed, func(), error) {
	customers := []weightedCustomer{{"buyers", 1}, {"drafts", 1}, {"kilns", 1}}
	b, closeSchedulingTestbed, err := startSchedulingTestbed(ctx, customers, nil, reducer.WithSchedulerOptions(scheduler.Without(disabledMechanisms...)))
	if err != nil {
		return nil, nil, err
	}
	generator, closeGenerator := newLoadGenerator(ctx, run.Seed, b.hostURLs()...)
	f := &floodTestbed{schedulingTestbed: b, generator: generator}
	f.chat = f.newSource("buyers", "chat", floodChatMeanTokens, floodChatLoad)
	f.urgentFlood = f.newSource("buyers", "chat", floodChatMeanTokens, floodLoadFactor)
	f.draftFlood = f.newSource("drafts", "draft", floodDraftMeanTokens, floodDraftLoadFactor)
	f.kilnFlood = f.newSource("kilns", "kiln", floodKilnMeanTokens, floodLoadFactor)
	return f, func() {
		closeGenerator()
		closeSchedulingTestbed()
	}, nil
}

// newSource returns a source whose load is a multiple of the token rate of all
// engines.
func (f *floodTestbed) newSource(customer, rank string, tokens int, load float64) source {
	return source{
		name: rank, client: f.newClient(customer, rank), meanTokens: tokens,
		requestsPerSecond: load * schedulingTokensPerSecond() / float64(tokens), maxOutstanding: maxOutstandingPerSource, prompt: uniquePrompt(floodPromptBytes),
	}
}

func measureFlood(ctx context.Context, run RunParameters, durations phaseDurations, ablationName string, disabledMechanisms ...scheduler.Mechanism) (*floodResult, error) {
	b, closeTestbed, err := startFloodTestbed(ctx, run, disabledMechanisms...)
	if err != nil {
		return nil, err
	}
	defer closeTestbed()
	printProgress := func(title string) {
		fmt.Fprintf(run.Progress, "%s%s, %s\n", title, strings.TrimSuffix(" without "+ablationName, " without "), durations.phase)
	}
	result := &floodResult{tokenSharesByRank: make(map[string]float64)}
	unloadedLatencies, err := b.measureUnloadedEngine(ctx, uniquePrompt(floodPromptBytes)(rand.New(rand.NewPCG(run.Seed, 0)), 0))
	if err != nil {
		return nil, err
	}
	result.unloadedFirstToken, result.unloadedInterToken = unloadedLatencies.FirstToken(50), unloadedLatencies.InterToken(50)

	printProgress("requests of the most urgent rank alone")
	b.generator.run("warm-up", durations.warmUp, b.chat)
	b.generator.run("calm", durations.phase, b.chat)
	printProgress("flood of the least urgent rank")
	b.generator.run("rising", durations.warmUp, b.chat, b.kilnFlood)
	result.usefulTokensPerSecond = b.measureTokenRate(func() { b.generator.run("flood", durations.phase, b.chat, b.kilnFlood) })
	printProgress("flood of the most urgent rank")
	b.generator.run("turning", 2*durations.warmUp, b.urgentFlood, b.draftFlood, b.kilnFlood)
	result.measureTokenShares(b, func() { b.generator.run("urgent", durations.phase, b.urgentFlood, b.draftFlood, b.kilnFlood) })
	result.collect(b)
	return result, nil
}

// measureTokenRate returns the tokens a second that the engines generate
// during runLoad.
func (b *schedulingTestbed) measureTokenRate(runLoad func()) float64 {
	before, started := b.totalEngineCounts().GeneratedTokens, time.Now()
	runLoad()
	return float64(b.totalEngineCounts().GeneratedTokens-before) / time.Since(started).Seconds()
}

// measureTokenShares measures the share of the received tokens that belongs to
// each rank during runLoad.
func (f *floodResult) measureTokenShares(b *floodTestbed, runLoad func()) {
	ranks := []string{"chat", "draft", "kiln"}
	before := make(map[string]int)
	for _, r := range ranks {
		before[r] = b.generator.receivedTokens(r)
	}
	runLoad()
	total := 0
	for _, r := range ranks {
		f.tokenSharesByRank[r] = float64(b.generator.receivedTokens(r) - before[r])
		total += int(f.tokenSharesByRank[r])
	}
	for _, r := range ranks {
		f.tokenSharesByRank[r] /= float64(total)
	}
}

func (f *floodResult) collect(b *floodTestbed) {
	f.calmChat, f.floodedChat = b.generator.resultOf("calm", "chat"), b.generator.resultOf("flood", "chat")
	f.urgentFloodChat, f.floodedKiln = b.generator.resultOf("urgent", "chat"), b.generator.resultOf("flood", "kiln")
	f.kilnRefusals, f.kilnRefusalP99 = f.floodedKiln.refusalPercentile(99)
	f.failedStreams, f.lastError = b.generator.failures()
}

func (f *floodResult) fillReport(report *Report) {
	report.Set("unloaded-engine-first-token-ms", milliseconds(f.unloadedFirstToken))
	report.Set("unloaded-engine-inter-token-ms", milliseconds(f.unloadedInterToken))
	report.Set("calm-chat-first-token-p95-ms", milliseconds(f.calmChat.latencies.FirstToken(95)))
	report.Set("calm-chat-inter-token-p95-ms", milliseconds(f.calmChat.latencies.InterToken(95)))
	report.Set("useful-tokens-per-second", f.usefulTokensPerSecond)
	report.Set("kiln-refusals", float64(f.kilnRefusals))
	report.Set("urgent-flood-chat-first-token-p95-ms", milliseconds(f.urgentFloodChat.latencies.FirstToken(95)))
	report.AtMost("flood-chat-first-token-p95-ms", maxFloodFirstTokenMs, milliseconds(f.floodedChat.latencies.FirstToken(95)))
	report.AtMost("flood-chat-inter-token-p95-ms", maxFloodInterTokenMs, milliseconds(f.floodedChat.latencies.InterToken(95)))
	report.AtMost("flood-chat-first-token-ratio-to-calm", maxFloodLatencyRatio, durationRatio(f.floodedChat.latencies.FirstToken(95), f.calmChat.latencies.FirstToken(95)))
	report.AtMost("flood-chat-inter-token-ratio-to-calm", maxFloodLatencyRatio, durationRatio(f.floodedChat.latencies.InterToken(95), f.calmChat.latencies.InterToken(95)))
	refused, _ := f.floodedChat.refusalPercentile(50)
	report.AtMost("flood-chat-refusals", 0, float64(refused))
	for _, r := range schedulingRanks()[1:] {
		report.AtLeast("urgent-flood-"+string(r.Name())+"-share", minFloorFraction*r.MinCapacityShare(), f.tokenSharesByRank[string(r.Name())])
	}
	report.AtMost("refusal-p99-ms", maxRefusalMs, milliseconds(f.kilnRefusalP99))
	report.AtMost("failed-streams", 0, float64(f.failedStreams))
}

// reportAblation reports the figures that show the effect of the disabled
// mechanism.
func (f *floodResult) reportAblation(report *Report, name string) {
	prefix := "without-" + name + "-"
	report.Set(prefix+"flood-chat-first-token-p95-ms", milliseconds(f.floodedChat.latencies.FirstToken(95)))
	report.Set(prefix+"flood-chat-inter-token-p95-ms", milliseconds(f.floodedChat.latencies.InterToken(95)))
	report.Set(prefix+"urgent-flood-chat-first-token-p95-ms", milliseconds(f.urgentFloodChat.latencies.FirstToken(95)))
	report.Set(prefix+"urgent-flood-draft-share", f.tokenSharesByRank["draft"])
	report.Set(prefix+"urgent-flood-kiln-share", f.tokenSharesByRank["kiln"])
	report.Set(prefix+"useful-tokens-per-second", f.usefulTokensPerSecond)
	report.Set(prefix+"failed-streams", float64(f.failedStreams))
}

func durationRatio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// measureUsefulWithoutRefusal returns the tokens a second that the engines
// generate in a flood of the least urgent rank with early refusal disabled.
func measureUsefulWithoutRefusal(ctx context.Context, run RunParameters, durations phaseDurations) (float64, error) {
	b, closeTestbed, err := startFloodTestbed(ctx, run, scheduler.EarlyRefusal)
	if err != nil {
		return 0, err
	}
	defer closeTestbed()
	fmt.Fprintf(run.Progress, "flood of the least urgent rank without early refusal, %s\n", durations.phase)
	b.generator.run("warm-up", durations.warmUp, b.chat, b.kilnFlood)
	return b.measureTokenRate(func() { b.generator.run("flood", durations.phase, b.chat, b.kilnFlood) }), nil
}
