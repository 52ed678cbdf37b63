package experimenter

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/counter"
)

const (
	capacityGroupSize = 8
	capacityService   = "vidrio-llm"
	capacityTimeout   = 90 * time.Second
	capacitySettle    = 8 * time.Second
	// capacityWeightRate in bytes a second lets loads end at once.
	capacityWeightRate = 1 << 50
)

// capacityDocuments is the configuration of every bed, but for the number of
// replicas.
const capacityDocuments = `{kind: rank, name: chat, order: 0, first-token: 480ms, inter-token: 44ms, worth: 1}
---
{kind: customer, name: glass, key-hashes: ["%s"]}
---
{kind: model-service, name: vidrio-llm, rank: chat, model: vidrio, version: "1", replicas: %d, group-size: 8}
`

// capacityShape is the size of one bed.
type capacityShape struct {
	centres          int
	hostsPerCentre   int
	enginesPerCentre int
}

// capacityPoint is what one idle bed uses, for each second.
type capacityPoint struct {
	shape capacityShape
	// peerBytes is what one host exchanges with other hosts.
	peerBytes float64
	// engineBytes is what one engine exchanges with all hosts.
	engineBytes float64
	// logBytes is what one host exchanges with the log.
	logBytes float64
	// listBytes is what one host exchanges with the host list.
	listBytes float64
	// processor is the time of the whole process, stand-ins included, for each
	// host, as a fraction of a core.
	processor float64
	// reducer is the time of the busiest host's reducer as a fraction of a core.
	reducer float64
	// heap is the memory of one host in bytes.
	heap float64
}

// capacityBed is a cluster whose traffic is counted.
type capacityBed struct {
	shape   capacityShape
	fleet   *standin.Fleet
	cluster *launcher.Cluster
	centres []fuchsiapitch.DataCentreName
	peers   counter.Counter
	heap    uint64
}

func startCapacityBed(ctx context.Context, shape capacityShape) (*capacityBed, func(), error) {
	b := &capacityBed{shape: shape}
	for n := range shape.centres {
		b.centres = append(b.centres, fuchsiapitch.DataCentreName(fmt.Sprintf("dc-%d", n+1)))
	}
	fleet, stopFleet, err := standin.Start(standin.WithDataCentres(b.centres...),
		standin.WithEngines(shape.enginesPerCentre/capacityGroupSize, capacityGroupSize),
		standin.WithWeightRate(capacityWeightRate))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	b.fleet, b.heap = fleet, heapBytes()
	cluster, stopCluster, err := launcher.Start(fleet, b.centres, launcher.WithHostsPerDataCentre(shape.hostsPerCentre),
		launcher.WithPeerListenerWrapper(func(l net.Listener) net.Listener { return b.peers.Listen(l) }))
	if err != nil {
		stopFleet()
		return nil, nil, trace.Wrap(err)
	}
	b.cluster = cluster
	cleanUp := func() {
		stopCluster()
		stopFleet()
	}
	if err := b.settle(ctx); err != nil {
		cleanUp()
		return nil, nil, trace.Wrap(err)
	}
	return b, cleanUp, nil
}

// settle publishes the configuration and waits until every group serves.
func (b *capacityBed) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	groups := b.shape.enginesPerCentre / capacityGroupSize
	if err := b.publish(ctx, fmt.Sprintf(capacityDocuments, strings.Repeat("0", 64), groups)); err != nil {
		return err
	}
	if err := b.cluster.AwaitReplicas(ctx, capacityService, groups); err != nil {
		return err
	}
	rest(ctx, capacitySettle)
	return nil
}

func (b *capacityBed) publish(ctx context.Context, text string) error {
	documents, err := loader.DecodeDocuments("capacity", []byte(text))
	if err != nil {
		return err
	}
	log, closeLog := recorder.New(b.fleet.LogAddress(b.centres[0]))
	defer closeLog()
	_, err = publisher.New(log, "capacity").Publish(ctx, documents)
	return err
}

// measure watches the bed for a time.
func (b *capacityBed) measure(ctx context.Context, window time.Duration) capacityPoint {
	before, started := b.read(), time.Now()
	rest(ctx, window)
	used, seconds := b.read().sub(before), time.Since(started).Seconds()
	hosts := float64(len(b.cluster.Hosts()))
	p := capacityPoint{
		shape: b.shape,
		// Each byte leaves one host and reaches another.
		peerBytes:   2 * used.peers / hosts / seconds,
		engineBytes: used.engines / float64(len(b.fleet.Engines())) / seconds,
		logBytes:    used.logs / hosts / seconds,
		listBytes:   used.lists / hosts / seconds,
		processor:   used.processor / hosts / seconds,
		reducer:     used.busiest / seconds,
	}
	p.heap = grown(b.heap) / hosts
	return p
}

// capacityReading is the state of the counters of a bed.
type capacityReading struct {
	peers, engines, logs, lists float64
	processor                   float64
	reducers                    []float64
	busiest                     float64
}

func (b *capacityBed) read() capacityReading {
	r := capacityReading{
		peers: float64(b.peers.Wire()), lists: float64(b.fleet.HostListServer().Traffic()),
		processor: readUsage().processor.Seconds(),
	}
	for _, e := range b.fleet.Engines() {
		r.engines += float64(e.Traffic())
	}
	for _, c := range b.centres {
		r.logs += float64(b.fleet.LogServer(c).Traffic())
	}
	for _, h := range b.cluster.Hosts() {
		r.reducers = append(r.reducers, h.EntryHost().Meter().EventSeconds())
	}
	return r
}

func (r capacityReading) sub(o capacityReading) capacityReading {
	d := capacityReading{
		peers: r.peers - o.peers, engines: r.engines - o.engines, logs: r.logs - o.logs,
		lists: r.lists - o.lists, processor: r.processor - o.processor,
	}
	for n := range r.reducers {
		d.busiest = max(d.busiest, r.reducers[n]-o.reducers[n])
	}
	return d
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// grown returns the bytes by which the heap has grown since an earlier reading.
func grown(before uint64) float64 { return max(float64(heapBytes())-float64(before), 0) }

func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
