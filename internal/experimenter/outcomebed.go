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
	outcomeModel       = "redactor"
	outcomeApplication = "mostrador"
	outcomeKey         = "outcome-key"
	outcomeSlots       = 32
	outcomeTokens      = 24
	outcomeEngines     = 3
	outcomeServers     = 3
	outcomeHosts       = 2
	outcomeReadyTime   = 20 * time.Second
	outcomeLogRate     = 400
)

var outcomeCentres = []fuchsiapitch.DataCentreName{"heredia", "cartago", "alajuela"}

// outcomeBed is six entry hosts in three data centres, each with engines and
// application servers of its own.
type outcomeBed struct {
	fleet         *standin.Fleet
	cluster       *launcher.Cluster
	configuration fuchsiapitch.Configuration

	mutex      sync.Mutex
	violations []string
}

func startOutcomeBed(ctx context.Context, linger, timeout time.Duration) (*outcomeBed, func(), error) {
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(outcomeCentres...), standin.WithEngines(1, outcomeEngines),
		standin.WithApplications(outcomeApplication, outcomeServers),
		standin.WithEngineOptions(
			engine.WithSpeed(engine.Speed{Token: 2 * time.Millisecond, Batch: 20 * time.Microsecond, Prefill: time.Microsecond}),
			engine.WithBatchLimit(outcomeSlots),
		),
		standin.WithLogOptions(logRate()),
	)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	b := &outcomeBed{fleet: fleet, configuration: outcomeConfiguration(timeout)}
	cluster, closeCluster, err := launcher.Start(fleet, outcomeCentres, launcher.WithHostsPerDataCentre(outcomeHosts),
		launcher.WithHostOptions(assembler.WithLinger(linger), assembler.WithViolationHandler(b.violate)))
	if err != nil {
		closeFleet()
		return nil, nil, trace.Wrap(err)
	}
	b.cluster = cluster
	cleanUp := func() {
		closeCluster()
		closeFleet()
	}
	for _, e := range fleet.Engines() {
		b.install(e)
	}
	for _, h := range cluster.Hosts() {
		b.describe(ctx, h)
	}
	if err := b.awaitPeers(ctx); err != nil {
		cleanUp()
		return nil, nil, trace.Wrap(err)
	}
	return b, cleanUp, nil
}

func outcomeConfiguration(timeout time.Duration) fuchsiapitch.Configuration {
	hash := sha256.Sum256([]byte(outcomeKey))
	return fuchsiapitch.NewConfiguration(1, 1,
		[]fuchsiapitch.Service{
			fuchsiapitch.NewService(outcomeModel, fuchsiapitch.ModelService, "counter",
				fuchsiapitch.WithModel("plate", "1"), fuchsiapitch.WithConcurrency(outcomeSlots),
				fuchsiapitch.WithReplicas(outcomeEngines, 1), fuchsiapitch.WithTimeout(timeout)),
			fuchsiapitch.NewService(outcomeApplication, fuchsiapitch.ApplicationService, "counter",
				fuchsiapitch.WithConcurrency(outcomeSlots), fuchsiapitch.WithTimeout(timeout),
				fuchsiapitch.WithRoutes(fuchsiapitch.NewRoute("GET", "/lookups", true))),
		},
		[]fuchsiapitch.Customer{fuchsiapitch.NewCustomer("family", fuchsiapitch.WithKeyHashes(hex.EncodeToString(hash[:])))},
		[]fuchsiapitch.Rank{fuchsiapitch.NewRank("counter", 0, time.Second, time.Second, 1, 0)},
	)
}

func (b *outcomeBed) violate(v *fuchsiapitch.InvariantError) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.violations = append(b.violations, v.Error())
}

// install makes an engine a ready group of its own.
func (b *outcomeBed) install(e *engine.Engine) {
	assignment := fuchsiapitch.NewAssignment(fuchsiapitch.GroupID(e.ID()), outcomeModel, []fuchsiapitch.ServerID{e.ID()}, "plate", "1")
	engine.InstallGroup(fuchsiapitch.NewFencingToken(1, 1), assignment, e)
}

// describe gives a host its configuration and the replicas of its data centre.
func (b *outcomeBed) describe(ctx context.Context, h *launcher.Host) {
	var replicas []fuchsiapitch.Replica
	for _, v := range b.fleet.BackendServers() {
		if v.DataCentre() != h.DataCentre() {
			continue
		}
		service := v.Service()
		if v.Kind() == fuchsiapitch.EngineServer {
			service = outcomeModel
		}
		replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(v.ID()), service, v, outcomeSlots, "1"))
	}
	h.EntryHost().Runner().Submit(ctx, reducer.FleetOverridden{Configuration: b.configuration, Replicas: replicas})
}

// awaitPeers waits until the hosts of each data centre know each other and
// their replicas.
func (b *outcomeBed) awaitPeers(ctx context.Context) error {
	deadline := time.Now().Add(outcomeReadyTime)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if !slices.ContainsFunc(b.cluster.Hosts(), func(h *launcher.Host) bool { return !knowsPeers(ctx, h) }) {
			return nil
		}
		time.Sleep(pathReadyPeriod)
	}
	return &NotReadyError{Timeout: outcomeReadyTime}
}

func knowsPeers(ctx context.Context, h *launcher.Host) bool {
	known := false
	err := h.EntryHost().Runner().Inspect(ctx, func(s *reducer.State) {
		known = len(s.LiveHosts()) == outcomeHosts && s.Configuration().Offset() > 0
	})
	return err == nil && known
}

// expected returns the text of a whole stream, asked of an engine directly.
func (b *outcomeBed) expected(ctx context.Context, body string) (string, error) {
	c := newOutcomeCaller(b)
	defer c.close()
	s := c.stream(ctx, "http://"+b.fleet.Engines()[0].Address(), body)
	if s.end != streamWhole {
		return "", &NotReadyError{Timeout: outcomeReadyTime}
	}
	return s.text, nil
}

func outcomePrompt(n, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"inscription %d for a brass plate"}],"max_tokens":%d,"stream":true}`,
		outcomeModel, n, tokens)
}
