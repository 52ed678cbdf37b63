package experimenter

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

const (
	soakAPIKey                    = "soak-key"
	soakModelService              = "redactor"
	soakApplicationService        = "mostrador"
	soakDomainsPerDataCentre      = 2
	soakEnginesPerDomain          = 3
	soakApplicationsPerDataCentre = 2
	soakHostsPerDataCentre        = 2
	soakWeightBytesPerSecond      = 256 << 20
	soakHostListLag               = time.Second
	soakStartTimeout              = time.Minute
	soakLinger                    = 200 * time.Millisecond
	soakDrainLimit                = 10 * time.Second
	soakRetryInterval             = 50 * time.Millisecond
	soakMinFaultInterval          = 100 * time.Millisecond
	soakMaxFaultInterval          = 1500 * time.Millisecond

	soakDocuments = `
{kind: rank, name: counter, order: 0, first-token: 480ms, inter-token: 44ms, worth: 1}
---
{kind: customer, name: parish, key-hashes: [%s]}
---
{kind: model-service, name: redactor, rank: counter, model: brass, version: "1", replicas: 2, group-size: 2, fencing: %t}
---
{kind: application-service, name: mostrador, rank: counter, routes: [{method: GET, prefix: /lookups, idempotent: true}]}
`
)

// PublishError reports configuration documents that were not accepted.
type PublishError struct {
	// Status is the status of the publication.
	Status string
}

// Error implements error.
func (e *PublishError) Error() string { return "configuration documents not accepted: " + e.Status }

// activeFault is an injected fault with the time at which to clear it.
type activeFault struct {
	clearAt time.Time
	clear   func()
}

// soakTestbed is three data centres of the whole system, with published
// configuration and groups that the hosts form.
type soakTestbed struct {
	fleet        *standin.Fleet
	cluster      *launcher.Cluster
	dataCentres  []fuchsiapitch.DataCentreName
	faultCounts  map[string]int
	activeFaults []activeFault
}

func startSoakTestbed(ctx context.Context, run RunParameters) (*soakTestbed, func(), error) {
	b := &soakTestbed{dataCentres: []fuchsiapitch.DataCentreName{"heredia", "cartago", "alajuela"}, faultCounts: make(map[string]int)}
	fencingEnabled := run.Seed%2 == 0
	speed := engine.StepTiming{BaseStep: 10 * time.Millisecond, PerExtraSequence: 20 * time.Microsecond, PerPrefillToken: time.Microsecond}
	options := []engine.Option{engine.WithStepTiming(speed), engine.WithCacheEventLoss(7)}
	if fencingEnabled {
		options = append(options, engine.WithFencing())
	}
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(b.dataCentres...), standin.WithEngines(soakDomainsPerDataCentre, soakEnginesPerDomain),
		standin.WithApplications(soakApplicationService, soakApplicationsPerDataCentre), standin.WithEngineOptions(options...),
		standin.WithWeightStoreRate(soakWeightBytesPerSecond), standin.WithHostListLag(soakHostListLag),
	)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	hostOptions := launcher.WithHostOptions(
		assembler.WithLogger(logger.New(&invariantWriter{target: run.Progress})),
		assembler.WithLinger(soakLinger), assembler.WithDrainLimit(soakDrainLimit),
	)
	cluster, closeCluster, err := launcher.Start(fleet, b.dataCentres, launcher.WithHostsPerDataCentre(soakHostsPerDataCentre), hostOptions)
	if err != nil {
		closeFleet()
		return nil, nil, trace.Wrap(err)
	}
	b.fleet, b.cluster = fleet, cluster
	closeTestbed := func() {
		closeCluster()
		closeFleet()
	}
	if err := b.prepare(ctx, fencingEnabled); err != nil {
		closeTestbed()
		return nil, nil, trace.Wrap(err)
	}
	return b, closeTestbed, nil
}

// prepare publishes the configuration and waits until every service has its
// replicas.
func (b *soakTestbed) prepare(ctx context.Context, fencingEnabled bool) error {
	ctx, cancel := context.WithTimeout(ctx, soakStartTimeout)
	defer cancel()
	keyHash := sha256.Sum256([]byte(soakAPIKey))
	content := fmt.Sprintf(soakDocuments, hex.EncodeToString(keyHash[:]), fencingEnabled)
	documents, err := loader.DecodeDocuments("soak", []byte(content))
	if err != nil {
		return trace.Wrap(err)
	}
	log, closeLog := recorder.New(b.fleet.LogAddress(b.dataCentres[0]))
	defer closeLog()
	result, err := publisher.New(log, "soak").Publish(ctx, documents)
	if err != nil {
		return trace.Wrap(err)
	}
	if result.Status != publisher.Accepted {
		return &PublishError{Status: fmt.Sprint(result.Status)}
	}
	if err := b.cluster.AwaitReplicas(ctx, soakModelService, soakDomainsPerDataCentre); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(b.cluster.AwaitReplicas(ctx, soakApplicationService, soakApplicationsPerDataCentre))
}

// clearFaults clears the faults that are due.
func (b *soakTestbed) clearFaults(now time.Time) {
	var remaining []activeFault
	for _, f := range b.activeFaults {
		if f.clearAt.After(now) {
			remaining = append(remaining, f)
			continue
		}
		f.clear()
	}
	b.activeFaults = remaining
}

// invariantWriter passes on only the log lines of violated invariants.
type invariantWriter struct{ target io.Writer }

// Write implements io.Writer.
func (w *invariantWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("invariant violated")) {
		return w.target.Write(line)
	}
	return len(line), nil
}
