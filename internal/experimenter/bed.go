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
	bedHosts  = 6
	bedGroups = 12
	bedSlots  = 8
	// bedBatch is the batch limit of an engine. It leaves room for a stream that
	// starts before the engine has noticed the end of another.
	bedBatch   = 2 * bedSlots
	bedCentre  = "gt-xela"
	bedService = "vidrio-llm"

	bedReadyTimeout = 20 * time.Second
	bedReadyPeriod  = 50 * time.Millisecond
)

// bedSpeed is the speed of the engines. A full batch makes a token every
// 21.75 ms.
var bedSpeed = engine.Speed{Token: 20 * time.Millisecond, Batch: 250 * time.Microsecond, Prefill: 20 * time.Microsecond}

// bedTokensPerSecond returns what the engines make with full batches.
func bedTokensPerSecond() float64 {
	step := bedSpeed.Token + (bedSlots-1)*bedSpeed.Batch
	return bedGroups * bedSlots / step.Seconds()
}

// bedRanks are the ranks of the scheduling experiments.
func bedRanks() []fuchsiapitch.Rank {
	return []fuchsiapitch.Rank{
		fuchsiapitch.NewRank("chat", 0, 480*time.Millisecond, 44*time.Millisecond, 100, 0),
		fuchsiapitch.NewRank("draft", 1, 4*time.Second, 100*time.Millisecond, 10, 0.10),
		fuchsiapitch.NewRank("kiln", 2, 20*time.Second, time.Second, 1, 0.05),
	}
}

// bedCustomer is a customer with its weight.
type bedCustomer struct {
	name   string
	weight float64
}

// bed is six entry hosts of one data centre before twelve groups of one engine.
type bed struct {
	fleet   *standin.Fleet
	cluster *launcher.Cluster
	clients []func()
}

// startBed starts a bed that serves. Options switch mechanisms off.
func startBed(ctx context.Context, customers []bedCustomer, engines []engine.Option, decisions ...reducer.Option) (*bed, func(), error) {
	engines = append([]engine.Option{engine.WithSpeed(bedSpeed), engine.WithBatchLimit(bedBatch)}, engines...)
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(bedCentre), standin.WithEngines(1, bedGroups), standin.WithEngineOptions(engines...),
	)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	cluster, closeCluster, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{bedCentre},
		launcher.WithHostsPerDataCentre(bedHosts), launcher.WithHostOptions(assembler.WithReducerOptions(decisions...)))
	if err != nil {
		closeFleet()
		return nil, nil, trace.Wrap(err)
	}
	b := &bed{fleet: fleet, cluster: cluster}
	cleanUp := func() {
		for _, c := range b.clients {
			c()
		}
		closeCluster()
		closeFleet()
	}
	cluster.InjectFleet(ctx, bedConfiguration(customers), b.replicas()...)
	if err := b.awaitReady(ctx); err != nil {
		cleanUp()
		return nil, nil, trace.Wrap(err)
	}
	return b, cleanUp, nil
}

func bedConfiguration(customers []bedCustomer) fuchsiapitch.Configuration {
	service := fuchsiapitch.NewService(bedService, fuchsiapitch.ModelService, "chat",
		fuchsiapitch.WithModel("glaze", "1"), fuchsiapitch.WithConcurrency(bedSlots), fuchsiapitch.WithReplicas(bedGroups, 1))
	var owners []fuchsiapitch.Customer
	for _, c := range customers {
		hash := sha256.Sum256([]byte(c.name))
		owners = append(owners, fuchsiapitch.NewCustomer(fuchsiapitch.CustomerName(c.name), fuchsiapitch.WithWeight(c.weight),
			fuchsiapitch.WithKeyHashes(hex.EncodeToString(hash[:])), fuchsiapitch.WithAllowedRanks("chat", "draft", "kiln")))
	}
	return fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, owners, bedRanks())
}

func (b *bed) replicas() []fuchsiapitch.Replica {
	var replicas []fuchsiapitch.Replica
	for n, server := range b.fleet.BackendServers() {
		id := fmt.Sprintf("group-%02d", n)
		assignment := fuchsiapitch.NewAssignment(fuchsiapitch.GroupID(id), bedService,
			[]fuchsiapitch.ServerID{server.ID()}, "glaze", "1")
		engine.InstallGroup(fuchsiapitch.NewFencingToken(1, 1), assignment, b.fleet.Engine(server.ID()))
		replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(id), bedService, server, bedSlots, "1"))
	}
	return replicas
}

// awaitReady waits until the hosts have divided the replicas among them.
func (b *bed) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(bedReadyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		slots := 0
		for _, h := range b.cluster.Hosts() {
			slots += ownedSlots(ctx, h)
		}
		if slots == bedGroups*bedSlots {
			return nil
		}
		time.Sleep(bedReadyPeriod)
	}
	return &NotReadyError{Timeout: bedReadyTimeout}
}

// client returns a client of a customer that asks for a rank.
func (b *bed) client(customer, rank string) *streamer.Client {
	c, closeClient := streamer.New(customer, streamer.WithRank(rank))
	b.clients = append(b.clients, closeClient)
	return c
}

func (b *bed) urls() []string {
	var urls []string
	for _, h := range b.cluster.Hosts() {
		urls = append(urls, h.URL())
	}
	return urls
}

// engineCounts returns the sum of the counts of all engines.
func (b *bed) engineCounts() engine.Counts {
	var sum engine.Counts
	for _, e := range b.fleet.Engines() {
		c := e.Counts()
		sum.Tokens += c.Tokens
		sum.CachedTokens += c.CachedTokens
		sum.PrefillTokens += c.PrefillTokens
		sum.Cancelled += c.Cancelled
	}
	return sum
}

// measureUnloaded asks one engine directly, one stream at a time.
func (b *bed) measureUnloaded(ctx context.Context, prompt string) (*streamer.Times, error) {
	const streams, tokens = 5, 20
	times := streamer.NewTimes()
	client := b.client("", "")
	url := "http://" + b.fleet.Engines()[0].Address()
	for n := range streams {
		if err := client.Chat(ctx, url, fmt.Sprintf("unloaded-%d", n), chatBody(fmt.Sprint(n)+prompt, tokens), times); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return times, nil
}
