package experimenter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/router"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/streamer"
)

const (
	pathGroups           = 8
	pathSlots            = 32
	pathThroughputTokens = 64
	pathDataCentre       = "gt-antigua"
	pathService          = "vidrio-llm"
	pathAPIKey           = "path-key"
	pathReadyTimeout     = 20 * time.Second
	pathPollInterval     = 50 * time.Millisecond
)

// HostsNotReadyError reports entry hosts that were not ready to serve in time.
type HostsNotReadyError struct {
	// Timeout is the time limit that was exceeded.
	Timeout time.Duration
}

// Error implements error.
func (e *HostsNotReadyError) Error() string {
	return "entry hosts not ready after " + e.Timeout.String()
}

// pathVariant is a path of the requests with its measurements: direct, or
// through one or two entry hosts.
type pathVariant struct {
	name      string
	hostCount int
	latencies *streamer.Latencies
	blocks    []blockUsage
	elapsed   time.Duration
}

// blockUsage is the resource usage of this process during one block of a
// variant.
type blockUsage struct {
	usage  resourceUsage
	tokens int
}

func processorSecondsOf(u resourceUsage) float64 { return u.processorTime.Seconds() }
func allocatedBytesOf(u resourceUsage) float64   { return float64(u.allocatedBytes) }
func allocationsOf(u resourceUsage) float64      { return float64(u.allocations) }

func newPathVariants() []*pathVariant {
	var variants []*pathVariant
	for hostCount, name := range []string{"direct", "one-host", "two-hosts"} {
		variants = append(variants, &pathVariant{name: name, hostCount: hostCount, latencies: streamer.NewLatencies()})
	}
	return variants
}

// medianPerToken returns the median over the blocks of an amount per token.
func (m *pathVariant) medianPerToken(amountOf func(resourceUsage) float64) float64 {
	var perToken []float64
	for _, b := range m.blocks {
		perToken = append(perToken, amountOf(b.usage)/float64(max(b.tokens, 1)))
	}
	slices.Sort(perToken)
	return perToken[len(perToken)/2]
}

// pathTestbed is a set of engines behind two entry hosts. The second host
// dispatches for every engine.
type pathTestbed struct {
	fleet          *standin.Fleet
	client         *streamer.Client
	entryHost      *launcher.Host
	dispatcherHost *launcher.Host
	engineSpeed    engine.StepTiming
}

// startPathTestbed starts a testbed in which each engine is a ready group of
// its own.
func startPathTestbed(ctx context.Context, engineSpeed engine.StepTiming) (*pathTestbed, func(), error) {
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(pathDataCentre), standin.WithEngines(1, pathGroups),
		standin.WithEngineOptions(engine.WithStepTiming(engineSpeed), engine.WithBatchLimit(pathSlots)),
	)
	if err != nil {
		return nil, nil, err
	}
	cluster, closeCluster, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{pathDataCentre}, launcher.WithHostsPerDataCentre(2))
	if err != nil {
		closeFleet()
		return nil, nil, err
	}
	client, closeClient := streamer.New(pathAPIKey)
	b := &pathTestbed{fleet: fleet, client: client, entryHost: cluster.Hosts()[0], dispatcherHost: cluster.Hosts()[1], engineSpeed: engineSpeed}
	closeTestbed := func() {
		closeClient()
		closeCluster()
		closeFleet()
	}
	cluster.OverrideFleet(ctx, pathConfiguration(), b.installGroups()...)
	if err := b.awaitReady(ctx); err != nil {
		closeTestbed()
		return nil, nil, trace.Wrap(err)
	}
	return b, closeTestbed, nil
}

func pathConfiguration() fuchsiapitch.Configuration {
	keyHash := sha256.Sum256([]byte(pathAPIKey))
	return fuchsiapitch.NewConfiguration(1, 1,
		[]fuchsiapitch.Service{fuchsiapitch.NewService(pathService, fuchsiapitch.ModelService, "chat",
			fuchsiapitch.WithModel("glaze", "1"), fuchsiapitch.WithConcurrency(pathSlots), fuchsiapitch.WithReplicas(pathGroups, 1))},
		[]fuchsiapitch.Customer{fuchsiapitch.NewCustomer("buyers", fuchsiapitch.WithKeyHashes(hex.EncodeToString(keyHash[:])))},
		[]fuchsiapitch.Rank{fuchsiapitch.NewRank("chat", 0, time.Second, time.Second, 1, 0)},
	)
}

// installGroups makes each engine a ready group and returns the replicas. The
// group identifiers are chosen so that the second host owns every replica.
func (b *pathTestbed) installGroups() []fuchsiapitch.Replica {
	hosts := []fuchsiapitch.Host{b.entryHost.EntryHost().Self(), b.dispatcherHost.EntryHost().Self()}
	var replicas []fuchsiapitch.Replica
	servers := b.fleet.BackendServers()
	for n := 0; len(replicas) < len(servers); n++ {
		id := fmt.Sprintf("group-%d", n)
		if owner, _ := router.Owner(hosts, fuchsiapitch.ReplicaID(id)); owner.ID() != b.dispatcherHost.ID() {
			continue
		}
		server := servers[len(replicas)]
		assignment := fuchsiapitch.NewAssignment(fuchsiapitch.GroupID(id), pathService,
			[]fuchsiapitch.ServerID{server.ID()}, "glaze", "1")
		engine.InstallGroup(fuchsiapitch.NewFencingToken(1, 1), assignment, b.fleet.Engine(server.ID()))
		replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(id), pathService, server, pathSlots, "1"))
	}
	return replicas
}

// awaitReady waits until only the second host owns slots.
func (b *pathTestbed) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(pathReadyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if ownedSlots(ctx, b.entryHost) == 0 && ownedSlots(ctx, b.dispatcherHost) > 0 {
			return nil
		}
		time.Sleep(pathPollInterval)
	}
	return &HostsNotReadyError{Timeout: pathReadyTimeout}
}

// ownedSlots returns the number of slots that a host dispatches for, 0 if its
// reducer cannot be inspected.
func ownedSlots(ctx context.Context, h *launcher.Host) int {
	slots := 0
	err := h.EntryHost().Runner().Inspect(ctx, func(s *reducer.State) {
		for _, l := range s.ComposeHeartbeat().Loads {
			slots += l.Slots
		}
	})
	if err != nil {
		return 0
	}
	return slots
}

// baseURL returns the base URL for the n-th request of a variant.
func (b *pathTestbed) baseURL(hostCount, n int) string {
	switch hostCount {
	case 1:
		return b.dispatcherHost.URL()
	case 2:
		return b.entryHost.URL()
	}
	engines := b.fleet.Engines()
	return "http://" + engines[n%len(engines)].Address()
}

func pathChatBody(n, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"quote %d for an opal lamp shade"}],"max_tokens":%d,"stream":true}`,
		pathService, n, tokens)
}

// runOpenLoop sends requests at random times, at half the capacity of the
// engines. Each request uses a random variant, so that all variants run under
// the same conditions.
func (b *pathTestbed) runOpenLoop(ctx context.Context, variants []*pathVariant, seed uint64, duration time.Duration) {
	random := rand.New(rand.NewPCG(seed, 0))
	streamTime := time.Duration(pathLatencyTokens) * b.engineSpeed.BaseStep
	meanInterval := 2 * streamTime / (pathGroups * pathSlots)
	started := time.Now()
	var running sync.WaitGroup
	arrivalOffset := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		arrivalOffset += time.Duration(random.ExpFloat64() * float64(meanInterval))
		if arrivalOffset > duration {
			break
		}
		time.Sleep(arrivalOffset - time.Since(started))
		m := variants[random.IntN(len(variants))]
		running.Go(func() { b.sendRequest(ctx, m, n, pathLatencyTokens) })
	}
	running.Wait()
}

// runClosedLoop keeps a fixed number of requests in flight for a time and
// records the resource usage as one block of the variant.
func (b *pathTestbed) runClosedLoop(ctx context.Context, m *pathVariant, workers, tokens int, duration time.Duration) {
	before, started, tokensBefore := readUsage(), time.Now(), m.latencies.ReceivedTokens()
	var running sync.WaitGroup
	for w := range workers {
		running.Go(func() {
			for n := w; time.Since(started) < duration && ctx.Err() == nil; n += workers {
				b.sendRequest(ctx, m, n, tokens)
			}
		})
	}
	running.Wait()
	m.blocks = append(m.blocks, blockUsage{usage: readUsage().since(before), tokens: m.latencies.ReceivedTokens() - tokensBefore})
	m.elapsed += time.Since(started)
}

// sendRequest sends one request. The latencies of the variant also count
// failures.
func (b *pathTestbed) sendRequest(ctx context.Context, m *pathVariant, n, tokens int) {
	id := fmt.Sprintf("%s-%d", m.name, n)
	_ = b.client.Chat(ctx, b.baseURL(m.hostCount, n), id, pathChatBody(n, tokens), m.latencies)
}
