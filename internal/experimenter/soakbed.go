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
	soakKey         = "soak-key"
	soakModel       = "redactor"
	soakApplication = "mostrador"
	soakDomains     = 2
	soakEngines     = 3
	soakServers     = 2
	soakHosts       = 2
	soakWeightRate  = 256 << 20
	soakListLag     = time.Second
	soakStartLimit  = time.Minute
	soakLinger      = 200 * time.Millisecond
	soakDrainLimit  = 10 * time.Second
	soakPause       = 50 * time.Millisecond
	soakShortestGap = 100 * time.Millisecond
	soakLongestGap  = 1500 * time.Millisecond

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

// PublishError reports documents that were not accepted.
type PublishError struct {
	// Status is the status of the publication.
	Status string
}

// Error implements error.
func (e *PublishError) Error() string { return "the documents were not accepted: " + e.Status }

// soakUndo is the end of a fault.
type soakUndo struct {
	at  time.Time
	end func()
}

// soakBed is three data centres with the whole system in force.
type soakBed struct {
	fleet   *standin.Fleet
	cluster *launcher.Cluster
	centres []fuchsiapitch.DataCentreName
	struck  map[string]int
	pending []soakUndo
}

func startSoakBed(ctx context.Context, run Run) (*soakBed, func(), error) {
	b := &soakBed{centres: []fuchsiapitch.DataCentreName{"heredia", "cartago", "alajuela"}, struck: make(map[string]int)}
	isFenced := run.Seed%2 == 0
	speed := engine.Speed{Token: 10 * time.Millisecond, Batch: 20 * time.Microsecond, Prefill: time.Microsecond}
	options := []engine.Option{engine.WithSpeed(speed), engine.WithEventLoss(7)}
	if isFenced {
		options = append(options, engine.WithFencing())
	}
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(b.centres...), standin.WithEngines(soakDomains, soakEngines),
		standin.WithApplications(soakApplication, soakServers), standin.WithEngineOptions(options...),
		standin.WithWeightRate(soakWeightRate), standin.WithListLag(soakListLag),
	)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	hostOptions := launcher.WithHostOptions(
		assembler.WithLogger(logger.New(&invariantWriter{to: run.Progress})),
		assembler.WithLinger(soakLinger), assembler.WithDrainLimit(soakDrainLimit),
	)
	cluster, closeCluster, err := launcher.Start(fleet, b.centres, launcher.WithHostsPerDataCentre(soakHosts), hostOptions)
	if err != nil {
		closeFleet()
		return nil, nil, trace.Wrap(err)
	}
	b.fleet, b.cluster = fleet, cluster
	cleanUp := func() {
		closeCluster()
		closeFleet()
	}
	if err := b.prepare(ctx, isFenced); err != nil {
		cleanUp()
		return nil, nil, trace.Wrap(err)
	}
	return b, cleanUp, nil
}

// prepare publishes the configuration and waits until it is served.
func (b *soakBed) prepare(ctx context.Context, isFenced bool) error {
	ctx, cancel := context.WithTimeout(ctx, soakStartLimit)
	defer cancel()
	hash := sha256.Sum256([]byte(soakKey))
	content := fmt.Sprintf(soakDocuments, hex.EncodeToString(hash[:]), isFenced)
	documents, err := loader.DecodeDocuments("soak", []byte(content))
	if err != nil {
		return trace.Wrap(err)
	}
	log, closeLog := recorder.New(b.fleet.LogAddress(b.centres[0]))
	defer closeLog()
	result, err := publisher.New(log, "soak").Publish(ctx, documents)
	if err != nil {
		return trace.Wrap(err)
	}
	if result.Status != publisher.Accepted {
		return &PublishError{Status: fmt.Sprint(result.Status)}
	}
	if err := b.cluster.AwaitReplicas(ctx, soakModel, soakDomains); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(b.cluster.AwaitReplicas(ctx, soakApplication, soakServers))
}

// undo ends the faults that are due.
func (b *soakBed) undo(now time.Time) {
	var left []soakUndo
	for _, u := range b.pending {
		if u.at.After(now) {
			left = append(left, u)
			continue
		}
		u.end()
	}
	b.pending = left
}

// invariantWriter passes on the log lines that report violated invariants.
type invariantWriter struct{ to io.Writer }

// Write implements io.Writer.
func (w *invariantWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("invariant violated")) {
		return w.to.Write(line)
	}
	return len(line), nil
}
