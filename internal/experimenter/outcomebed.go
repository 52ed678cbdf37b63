package experimenter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

const (
	outcomeModelService              = "redactor"
	outcomeApplicationService        = "mostrador"
	outcomeAPIKey                    = "outcome-key"
	outcomeSlots                     = 32
	outcomeStreamTokens              = 24
	outcomeEnginesPerDataCentre      = 3
	outcomeApplicationsPerDataCentre = 3
	outcomeHostsPerDataCentre        = 2
	outcomeReadyTimeout              = 20 * time.Second
	outcomeLogAppendsPerSecond       = 400
)

var outcomeDataCentres = []fuchsiapitch.DataCentreName{"heredia", "cartago", "alajuela"}

// outcomeTestbed is three data centres of two entry hosts, each with engines
// and application servers of its own.
type outcomeTestbed struct {
	fleet         *standin.Fleet
	cluster       *launcher.Cluster
	configuration fuchsiapitch.Configuration

	mutex      sync.Mutex
	violations []string
}

func startOutcomeTestbed(ctx context.Context, linger, requestTimeout time.Duration) (*outcomeTestbed, func(), error) {
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(outcomeDataCentres...), standin.WithEngines(1, outcomeEnginesPerDataCentre),
		standin.WithApplications(outcomeApplicationService, outcomeApplicationsPerDataCentre),
		standin.WithEngineOptions(
			engine.WithStepTiming(engine.StepTiming{BaseStep: 2 * time.Millisecond, PerExtraSequence: 20 * time.Microsecond, PerPrefillToken: time.Microsecond}),
			engine.WithBatchLimit(outcomeSlots),
		),
		standin.WithLogOptions(logRateOption()),
	)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	b := &outcomeTestbed{fleet: fleet, configuration: outcomeConfiguration(requestTimeout)}
	cluster, closeCluster, err := launcher.Start(fleet, outcomeDataCentres, launcher.WithHostsPerDataCentre(outcomeHostsPerDataCentre),
		launcher.WithHostOptions(assembler.WithLinger(linger), assembler.WithViolationHandler(b.recordViolation)))
	if err != nil {
		closeFleet()
		return nil, nil, trace.Wrap(err)
	}
	b.cluster = cluster
	closeTestbed := func() {
		closeCluster()
		closeFleet()
	}
	for _, e := range fleet.Engines() {
		b.installGroup(e)
	}
	for _, h := range cluster.Hosts() {
		b.configureHost(ctx, h)
	}
	if err := b.awaitPeers(ctx); err != nil {
		closeTestbed()
		return nil, nil, trace.Wrap(err)
	}
	return b, closeTestbed, nil
}

func outcomeConfiguration(requestTimeout time.Duration) fuchsiapitch.Configuration {
	keyHash := sha256.Sum256([]byte(outcomeAPIKey))
	return fuchsiapitch.NewConfiguration(1, 1,
		[]fuchsiapitch.Service{
			fuchsiapitch.NewService(outcomeModelService, fuchsiapitch.ModelService, "counter",
				fuchsiapitch.WithModel("plate", "1"), fuchsiapitch.WithConcurrency(outcomeSlots),
				fuchsiapitch.WithReplicas(outcomeEnginesPerDataCentre, 1), fuchsiapitch.WithTimeout(requestTimeout)),
			fuchsiapitch.NewService(outcomeApplicationService, fuchsiapitch.ApplicationService, "counter",
				fuchsiapitch.WithConcurrency(outcomeSlots), fuchsiapitch.WithTimeout(requestTimeout),
				fuchsiapitch.WithRoutes(fuchsiapitch.NewRoute("GET", "/lookups", true))),
		},
		[]fuchsiapitch.Customer{fuchsiapitch.NewCustomer("family", fuchsiapitch.WithKeyHashes(hex.EncodeToString(keyHash[:])))},
		[]fuchsiapitch.Rank{fuchsiapitch.NewRank("counter", 0, time.Second, time.Second, 1, 0)},
	)
}

func (b *outcomeTestbed) recordViolation(v *fuchsiapitch.InvariantError) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.violations = append(b.violations, v.Error())
}

// installGroup makes an engine a ready group of its own.
func (b *outcomeTestbed) installGroup(e *engine.Engine) {
	assignment := fuchsiapitch.NewAssignment(fuchsiapitch.GroupID(e.ID()), outcomeModelService, []fuchsiapitch.ServerID{e.ID()}, "plate", "1")
	engine.InstallGroup(fuchsiapitch.NewFencingToken(1, 1), assignment, e)
}

// configureHost gives a host its configuration and the replicas of its data
// centre.
func (b *outcomeTestbed) configureHost(ctx context.Context, h *launcher.Host) {
	var replicas []fuchsiapitch.Replica
	for _, server := range b.fleet.BackendServers() {
		if server.DataCentre() != h.DataCentre() {
			continue
		}
		service := server.Service()
		if server.Kind() == fuchsiapitch.EngineServer {
			service = outcomeModelService
		}
		replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(server.ID()), service, server, outcomeSlots, "1"))
	}
	h.EntryHost().Runner().Submit(ctx, reducer.FleetOverridden{Configuration: b.configuration, Replicas: replicas})
}

// awaitPeers waits until every host has its configuration and has discovered
// all hosts of its data centre.
func (b *outcomeTestbed) awaitPeers(ctx context.Context) error {
	deadline := time.Now().Add(outcomeReadyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if !slices.ContainsFunc(b.cluster.Hosts(), func(h *launcher.Host) bool { return !hasAllPeers(ctx, h) }) {
			return nil
		}
		time.Sleep(pathPollInterval)
	}
	return &HostsNotReadyError{Timeout: outcomeReadyTimeout}
}

// hasAllPeers reports whether a host has its configuration and has discovered
// all hosts of its data centre.
func hasAllPeers(ctx context.Context, h *launcher.Host) bool {
	hasAll := false
	err := h.EntryHost().Runner().Inspect(ctx, func(s *reducer.State) {
		hasAll = len(s.LiveHosts()) == outcomeHostsPerDataCentre && s.Configuration().Offset() > 0
	})
	return err == nil && hasAll
}

// expectedText returns the text of a complete stream, requested from an engine
// directly.
func (b *outcomeTestbed) expectedText(ctx context.Context, body string) (string, error) {
	c := newOutcomeClient(b)
	defer c.close()
	s := c.stream(ctx, "http://"+b.fleet.Engines()[0].Address(), body)
	if s.outcome != streamComplete {
		return "", &HostsNotReadyError{Timeout: outcomeReadyTimeout}
	}
	return s.text, nil
}

func outcomeChatBody(n, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"inscription %d for a brass plate"}],"max_tokens":%d,"stream":true}`,
		outcomeModelService, n, tokens)
}
