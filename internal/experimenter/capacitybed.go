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
	capacityGroupSize    = 8
	capacityService      = "vidrio-llm"
	capacityReadyTimeout = 90 * time.Second
	capacitySettleTime   = 8 * time.Second
	// capacityWeightBytesPerSecond is high enough for weights to load at once.
	capacityWeightBytesPerSecond = 1 << 50
)

// capacityDocuments is the configuration of every testbed. The key hash and
// the number of replicas are filled in.
const capacityDocuments = `{kind: rank, name: chat, order: 0, first-token: 480ms, inter-token: 44ms, worth: 1}
---
{kind: customer, name: glass, key-hashes: ["%s"]}
---
{kind: model-service, name: vidrio-llm, rank: chat, model: vidrio, version: "1", replicas: %d, group-size: 8}
`

// capacityShape is the size of a testbed.
type capacityShape struct {
	dataCentres          int
	hostsPerDataCentre   int
	enginesPerDataCentre int
}

// capacityPoint holds the resource use of an idle testbed of one shape. Before
// the measurement only the shape is set.
type capacityPoint struct {
	shape capacityShape
	// peerBytesPerSecond is the traffic of one host with other hosts.
	peerBytesPerSecond float64
	// engineBytesPerSecond is the traffic of one engine with all hosts.
	engineBytesPerSecond float64
	// logBytesPerSecond is the traffic of one host with the log.
	logBytesPerSecond float64
	// hostListBytesPerSecond is the traffic of one host with the host list.
	hostListBytesPerSecond float64
	// processCoreFraction is the processor time of the process, stand-ins
	// included, as a fraction of a core per host.
	processCoreFraction float64
	// busiestReducerCoreFraction is the event time of the busiest host's
	// reducer as a fraction of a core.
	busiestReducerCoreFraction float64
	// hostHeapBytes is the heap memory of one host.
	hostHeapBytes float64
}

// capacityTestbed is a cluster whose traffic, processor time and memory are
// measured.
type capacityTestbed struct {
	shape             capacityShape
	fleet             *standin.Fleet
	cluster           *launcher.Cluster
	dataCentreNames   []fuchsiapitch.DataCentreName
	peerTraffic       counter.Counter
	baselineHeapBytes uint64
}

func startCapacityTestbed(ctx context.Context, shape capacityShape) (*capacityTestbed, func(), error) {
	b := &capacityTestbed{shape: shape}
	for n := range shape.dataCentres {
		b.dataCentreNames = append(b.dataCentreNames, fuchsiapitch.DataCentreName(fmt.Sprintf("dc-%d", n+1)))
	}
	fleet, stopFleet, err := standin.Start(standin.WithDataCentres(b.dataCentreNames...),
		standin.WithEngines(shape.enginesPerDataCentre/capacityGroupSize, capacityGroupSize),
		standin.WithWeightStoreRate(capacityWeightBytesPerSecond))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	b.fleet, b.baselineHeapBytes = fleet, liveHeapBytes()
	cluster, stopCluster, err := launcher.Start(fleet, b.dataCentreNames, launcher.WithHostsPerDataCentre(shape.hostsPerDataCentre),
		launcher.WithPeerListenerWrapper(func(l net.Listener) net.Listener { return b.peerTraffic.CountConnections(l) }))
	if err != nil {
		stopFleet()
		return nil, nil, trace.Wrap(err)
	}
	b.cluster = cluster
	closeTestbed := func() {
		stopCluster()
		stopFleet()
	}
	if err := b.awaitServing(ctx); err != nil {
		closeTestbed()
		return nil, nil, trace.Wrap(err)
	}
	return b, closeTestbed, nil
}

// awaitServing publishes the configuration and waits until every group serves.
func (b *capacityTestbed) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, capacityReadyTimeout)
	defer cancel()
	groups := b.shape.enginesPerDataCentre / capacityGroupSize
	if err := b.publish(ctx, fmt.Sprintf(capacityDocuments, strings.Repeat("0", 64), groups)); err != nil {
		return err
	}
	if err := b.cluster.AwaitReplicas(ctx, capacityService, groups); err != nil {
		return err
	}
	sleepContext(ctx, capacitySettleTime)
	return nil
}

func (b *capacityTestbed) publish(ctx context.Context, text string) error {
	documents, err := loader.DecodeDocuments("capacity", []byte(text))
	if err != nil {
		return err
	}
	log, closeLog := recorder.New(b.fleet.LogAddress(b.dataCentreNames[0]))
	defer closeLog()
	_, err = publisher.New(log, "capacity").Publish(ctx, documents)
	return err
}

// measure measures the resource use of the idle testbed over a time window.
func (b *capacityTestbed) measure(ctx context.Context, window time.Duration) capacityPoint {
	before, started := b.readCounters(), time.Now()
	sleepContext(ctx, window)
	difference, seconds := b.readCounters().subtract(before), time.Since(started).Seconds()
	hosts := float64(len(b.cluster.Hosts()))
	p := capacityPoint{
		shape: b.shape,
		// Each byte counts twice: for the host that sends it and the one that receives it.
		peerBytesPerSecond:         2 * difference.peerTrafficBytes / hosts / seconds,
		engineBytesPerSecond:       difference.engineTrafficBytes / float64(len(b.fleet.Engines())) / seconds,
		logBytesPerSecond:          difference.logTrafficBytes / hosts / seconds,
		hostListBytesPerSecond:     difference.hostListTrafficBytes / hosts / seconds,
		processCoreFraction:        difference.processorSeconds / hosts / seconds,
		busiestReducerCoreFraction: difference.busiestReducerSeconds / seconds,
	}
	p.hostHeapBytes = heapGrowth(b.baselineHeapBytes) / hosts
	return p
}

// counterReading holds the cumulative counters of a testbed, or the difference
// of two readings. busiestReducerSeconds is set only in a difference.
type counterReading struct {
	peerTrafficBytes, engineTrafficBytes, logTrafficBytes, hostListTrafficBytes float64
	processorSeconds                                                            float64
	reducerSeconds                                                              []float64
	busiestReducerSeconds                                                       float64
}

func (b *capacityTestbed) readCounters() counterReading {
	r := counterReading{
		peerTrafficBytes: float64(b.peerTraffic.WireBytes()), hostListTrafficBytes: float64(b.fleet.HostListServer().WireBytes()),
		processorSeconds: readUsage().processorTime.Seconds(),
	}
	for _, e := range b.fleet.Engines() {
		r.engineTrafficBytes += float64(e.WireBytes())
	}
	for _, c := range b.dataCentreNames {
		r.logTrafficBytes += float64(b.fleet.LogServer(c).WireBytes())
	}
	for _, h := range b.cluster.Hosts() {
		r.reducerSeconds = append(r.reducerSeconds, h.EntryHost().Meter().ReducerSeconds())
	}
	return r
}

// subtract returns the increase of the counters since an earlier reading.
func (r counterReading) subtract(earlier counterReading) counterReading {
	d := counterReading{
		peerTrafficBytes: r.peerTrafficBytes - earlier.peerTrafficBytes, engineTrafficBytes: r.engineTrafficBytes - earlier.engineTrafficBytes, logTrafficBytes: r.logTrafficBytes - earlier.logTrafficBytes,
		hostListTrafficBytes: r.hostListTrafficBytes - earlier.hostListTrafficBytes, processorSeconds: r.processorSeconds - earlier.processorSeconds,
	}
	for n := range r.reducerSeconds {
		d.busiestReducerSeconds = max(d.busiestReducerSeconds, r.reducerSeconds[n]-earlier.reducerSeconds[n])
	}
	return d
}

// liveHeapBytes returns the size of the heap after a garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heapGrowth returns the bytes by which the heap has grown since an earlier
// reading, at least 0.
func heapGrowth(earlierBytes uint64) float64 {
	return max(float64(liveHeapBytes())-float64(earlierBytes), 0)
}

// sleepContext waits for a time or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
