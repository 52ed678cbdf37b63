package experimenter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/streamer"
)

const (
	schedulingHosts  = 6
	schedulingGroups = 12
	schedulingSlots  = 8
	// schedulingBatchLimit is the batch limit of an engine. It leaves room for
	// a stream that starts before the engine has noticed the end of another.
	schedulingBatchLimit = 2 * schedulingSlots
	schedulingDataCentre = "gt-xela"
	schedulingService    = "vidrio-llm"

	schedulingReadyTimeout = 20 * time.Second
	schedulingPollInterval = 50 * time.Millisecond
)

// schedulingEngineSpeed is the speed of the engines. With every slot in use, a
// decoding step takes 21.75 ms.
var schedulingEngineSpeed = engine.StepTiming{BaseStep: 20 * time.Millisecond, PerExtraSequence: 250 * time.Microsecond, PerPrefillToken: 20 * time.Microsecond}

// schedulingTokensPerSecond returns the token rate of all engines together with
// every slot in use.
func schedulingTokensPerSecond() float64 {
	stepTime := schedulingEngineSpeed.BaseStep + (schedulingSlots-1)*schedulingEngineSpeed.PerExtraSequence
	return schedulingGroups * schedulingSlots / stepTime.Seconds()
}

// schedulingRanks returns the ranks of the scheduling experiments.
func schedulingRanks() []fuchsiapitch.Rank {
	return []fuchsiapitch.Rank{
		fuchsiapitch.NewRank("chat", 0, 480*time.Millisecond, 44*time.Millisecond, 100, 0),
		fuchsiapitch.NewRank("draft", 1, 4*time.Second, 100*time.Millisecond, 10, 0.10),
		fuchsiapitch.NewRank("kiln", 2, 20*time.Second, time.Second, 1, 0.05),
	}
}

// weightedCustomer is a customer with its scheduling weight.
type weightedCustomer struct {
	name   string
	weight float64
}

// schedulingTestbed is one data centre with six entry hosts and twelve
// single-engine groups.
type schedulingTestbed struct {
	fleet         *standin.Fleet
	cluster       *launcher.Cluster
	clientClosers []func()
}

// startSchedulingTestbed starts a testbed and waits until its hosts own the
// slots of every replica. The state options can disable scheduler mechanisms.
func startSchedulingTestbed(ctx context.Context, customers []weightedCustomer, engineOptions []engine.Option, stateOptions ...reducer.Option) (*schedulingTestbed, func(), error) {
	engineOptions = append([]engine.Option{engine.WithStepTiming(schedulingEngineSpeed), engine.WithBatchLimit(schedulingBatchLimit)}, engineOptions...)
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(schedulingDataCentre), standin.WithEngines(1, schedulingGroups), standin.WithEngineOptions(engineOptions...),
	)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	cluster, closeCluster, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{schedulingDataCentre},
		launcher.WithHostsPerDataCentre(schedulingHosts), launcher.WithHostOptions(assembler.WithReducerOptions(stateOptions...)))
	if err != nil {
		closeFleet()
		return nil, nil, trace.Wrap(err)
	}
	b := &schedulingTestbed{fleet: fleet, cluster: cluster}
	closeTestbed := func() {
		for _, c := range b.clientClosers {
			c()
		}
		closeCluster()
		closeFleet()
	}
	cluster.OverrideFleet(ctx, schedulingConfiguration(customers), b.installGroups()...)
	if err := b.awaitSlots(ctx); err != nil {
		closeTestbed()
		return nil, nil, trace.Wrap(err)
	}
	return b, closeTestbed, nil
}

func schedulingConfiguration(customers []weightedCustomer) fuchsiapitch.Configuration {
	service := fuchsiapitch.NewService(schedulingService, fuchsiapitch.ModelService, "chat",
		fuchsiapitch.WithModel("glaze", "1"), fuchsiapitch.WithConcurrency(schedulingSlots), fuchsiapitch.WithReplicas(schedulingGroups, 1))
	var configuredCustomers []fuchsiapitch.Customer
	for _, c := range customers {
		keyHash := sha256.Sum256([]byte(c.name))
		configuredCustomers = append(configuredCustomers, fuchsiapitch.NewCustomer(fuchsiapitch.CustomerName(c.name), fuchsiapitch.WithWeight(c.weight),
			fuchsiapitch.WithKeyHashes(hex.EncodeToString(keyHash[:])), fuchsiapitch.WithAllowedRanks("chat", "draft", "kiln")))
	}
	return fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, configuredCustomers, schedulingRanks())
}

// installGroups makes each engine a ready group of its own and returns the
// replicas.
func (b *schedulingTestbed) installGroups() []fuchsiapitch.Replica {
	var replicas []fuchsiapitch.Replica
	for n, server := range b.fleet.BackendServers() {
		id := fmt.Sprintf("group-%02d", n)
		assignment := fuchsiapitch.NewAssignment(fuchsiapitch.GroupID(id), schedulingService,
			[]fuchsiapitch.ServerID{server.ID()}, "glaze", "1")
		engine.InstallGroup(fuchsiapitch.NewFencingToken(1, 1), assignment, b.fleet.Engine(server.ID()))
		replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(id), schedulingService, server, schedulingSlots, "1"))
	}
	return replicas
}

// awaitSlots waits until the hosts together own the slots of every replica.
func (b *schedulingTestbed) awaitSlots(ctx context.Context) error {
	deadline := time.Now().Add(schedulingReadyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		ownedSlotCount := 0
		for _, h := range b.cluster.Hosts() {
			ownedSlotCount += ownedSlots(ctx, h)
		}
		if ownedSlotCount == schedulingGroups*schedulingSlots {
			return nil
		}
		time.Sleep(schedulingPollInterval)
	}
	return &HostsNotReadyError{Timeout: schedulingReadyTimeout}
}

// newClient returns a client that sends requests of a rank for a customer.
func (b *schedulingTestbed) newClient(customer, rank string) *streamer.Client {
	c, closeClient := streamer.New(customer, streamer.WithRank(rank))
	b.clientClosers = append(b.clientClosers, closeClient)
	return c
}

func (b *schedulingTestbed) hostURLs() []string {
	var urls []string
	for _, h := range b.cluster.Hosts() {
		urls = append(urls, h.URL())
	}
	return urls
}

// totalEngineCounts returns the sum of the counters of all engines.
func (b *schedulingTestbed) totalEngineCounts() engine.Counts {
	var sum engine.Counts
	for _, e := range b.fleet.Engines() {
		c := e.Counts()
		sum.GeneratedTokens += c.GeneratedTokens
		sum.CachedTokens += c.CachedTokens
		sum.PrefillTokens += c.PrefillTokens
		sum.CancelledRequests += c.CancelledRequests
	}
	return sum
}

// measureUnloadedEngine measures the latencies of an idle engine. It bypasses
// the entry hosts and sends one stream at a time.
func (b *schedulingTestbed) measureUnloadedEngine(ctx context.Context, prompt string) (*streamer.Latencies, error) {
	const streams, tokens = 5, 20
	latencies := streamer.NewLatencies()
	client := b.newClient("", "")
	url := "http://" + b.fleet.Engines()[0].Address()
	for n := range streams {
		if err := client.Chat(ctx, url, fmt.Sprintf("unloaded-%d", n), chatBody(fmt.Sprint(n)+prompt, tokens), latencies); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return latencies, nil
}
