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
	pathCentre           = "gt-antigua"
	pathService          = "vidrio-llm"
	pathKey              = "path-key"
	pathReadyTimeout     = 20 * time.Second
	pathReadyPeriod      = 50 * time.Millisecond
)

// NotReadyError reports entry hosts that did not find each other in time.
type NotReadyError struct {
	// Timeout is the time that was waited.
	Timeout time.Duration
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return "the entry hosts were not ready after " + e.Timeout.String()
}

// pathMeasure is the result of one variant: direct, one host or two hosts.
type pathMeasure struct {
	name    string
	hosts   int
	times   *streamer.Times
	blocks  []pathBlockUsage
	elapsed time.Duration
}

// pathBlockUsage is what one block of a variant has used.
type pathBlockUsage struct {
	used   usage
	tokens int
}

func processorPerToken(u usage) float64   { return u.processor.Seconds() }
func bytesPerToken(u usage) float64       { return float64(u.bytes) }
func allocationsPerToken(u usage) float64 { return float64(u.mallocs) }

func newPathMeasures() []*pathMeasure {
	var measures []*pathMeasure
	for hosts, name := range []string{"direct", "one-host", "two-hosts"} {
		measures = append(measures, &pathMeasure{name: name, hosts: hosts, times: streamer.NewTimes()})
	}
	return measures
}

// median returns the median over the blocks of a use for each token.
func (m *pathMeasure) median(use func(usage) float64) float64 {
	var each []float64
	for _, b := range m.blocks {
		each = append(each, use(b.used)/float64(max(b.tokens, 1)))
	}
	slices.Sort(each)
	return each[len(each)/2]
}

// pathBed is a fleet of engines behind two entry hosts, the second of which
// dispatches for every engine.
type pathBed struct {
	fleet      *standin.Fleet
	client     *streamer.Client
	entry      *launcher.Host
	dispatcher *launcher.Host
	speed      engine.Speed
}

// startPathBed starts a bed whose engines are ready groups of one.
func startPathBed(ctx context.Context, speed engine.Speed) (*pathBed, func(), error) {
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(pathCentre), standin.WithEngines(1, pathGroups),
		standin.WithEngineOptions(engine.WithSpeed(speed), engine.WithBatchLimit(pathSlots)),
	)
	if err != nil {
		return nil, nil, err
	}
	cluster, closeCluster, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{pathCentre}, launcher.WithHostsPerDataCentre(2))
	if err != nil {
		closeFleet()
		return nil, nil, err
	}
	client, closeClient := streamer.New(pathKey)
	b := &pathBed{fleet: fleet, client: client, entry: cluster.Hosts()[0], dispatcher: cluster.Hosts()[1], speed: speed}
	cleanUp := func() {
		closeClient()
		closeCluster()
		closeFleet()
	}
	cluster.InjectFleet(ctx, pathConfiguration(), b.replicas()...)
	if err := b.awaitReady(ctx); err != nil {
		cleanUp()
		return nil, nil, trace.Wrap(err)
	}
	return b, cleanUp, nil
}

func pathConfiguration() fuchsiapitch.Configuration {
	hash := sha256.Sum256([]byte(pathKey))
	return fuchsiapitch.NewConfiguration(1, 1,
		[]fuchsiapitch.Service{fuchsiapitch.NewService(pathService, fuchsiapitch.ModelService, "chat",
			fuchsiapitch.WithModel("glaze", "1"), fuchsiapitch.WithConcurrency(pathSlots), fuchsiapitch.WithReplicas(pathGroups, 1))},
		[]fuchsiapitch.Customer{fuchsiapitch.NewCustomer("buyers", fuchsiapitch.WithKeyHashes(hex.EncodeToString(hash[:])))},
		[]fuchsiapitch.Rank{fuchsiapitch.NewRank("chat", 0, time.Second, time.Second, 1, 0)},
	)
}

// replicas makes each engine a ready group whose dispatcher is the second host.
func (b *pathBed) replicas() []fuchsiapitch.Replica {
	hosts := []fuchsiapitch.Host{b.entry.EntryHost().Self(), b.dispatcher.EntryHost().Self()}
	var replicas []fuchsiapitch.Replica
	servers := b.fleet.BackendServers()
	for n := 0; len(replicas) < len(servers); n++ {
		id := fmt.Sprintf("group-%d", n)
		if owner, _ := router.Owner(hosts, fuchsiapitch.ReplicaID(id)); owner.ID() != b.dispatcher.ID() {
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

// awaitReady waits until the second host alone dispatches.
func (b *pathBed) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(pathReadyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if ownedSlots(ctx, b.entry) == 0 && ownedSlots(ctx, b.dispatcher) > 0 {
			return nil
		}
		time.Sleep(pathReadyPeriod)
	}
	return &NotReadyError{Timeout: pathReadyTimeout}
}

// ownedSlots returns the number of slots that a host dispatches for.
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

// base returns the base URL for the n-th request of a variant.
func (b *pathBed) base(hosts, n int) string {
	switch hosts {
	case 1:
		return b.dispatcher.URL()
	case 2:
		return b.entry.URL()
	}
	engines := b.fleet.Engines()
	return "http://" + engines[n%len(engines)].Address()
}

func pathBody(n, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"quote %d for an opal lamp shade"}],"max_tokens":%d,"stream":true}`,
		pathService, n, tokens)
}

// runOpen sends requests at random times, at half of what the engines can take,
// each by a variant at random, so that all variants meet the same conditions.
func (b *pathBed) runOpen(ctx context.Context, measures []*pathMeasure, seed uint64, duration time.Duration) {
	random := rand.New(rand.NewPCG(seed, 0))
	each := time.Duration(pathLatencyTokens) * b.speed.Token
	period := 2 * each / (pathGroups * pathSlots)
	started := time.Now()
	var running sync.WaitGroup
	at := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		at += time.Duration(random.ExpFloat64() * float64(period))
		if at > duration {
			break
		}
		time.Sleep(at - time.Since(started))
		m := measures[random.IntN(len(measures))]
		running.Go(func() { b.ask(ctx, m, n, pathLatencyTokens) })
	}
	running.Wait()
}

// runClosed keeps a number of requests under way for a time.
func (b *pathBed) runClosed(ctx context.Context, m *pathMeasure, workers, tokens int, duration time.Duration) {
	before, started, earlier := readUsage(), time.Now(), m.times.Tokens()
	var running sync.WaitGroup
	for w := range workers {
		running.Go(func() {
			for n := w; time.Since(started) < duration && ctx.Err() == nil; n += workers {
				b.ask(ctx, m, n, tokens)
			}
		})
	}
	running.Wait()
	m.blocks = append(m.blocks, pathBlockUsage{used: readUsage().since(before), tokens: m.times.Tokens() - earlier})
	m.elapsed += time.Since(started)
}

// ask sends one request. Failures are counted in the measure.
func (b *pathBed) ask(ctx context.Context, m *pathMeasure, n, tokens int) {
	id := fmt.Sprintf("%s-%d", m.name, n)
	_ = b.client.Chat(ctx, b.base(m.hosts, n), id, pathBody(n, tokens), m.times)
}
