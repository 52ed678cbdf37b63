package experimenter

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
)

// The size that decides the design.
const (
	targetHosts          = 410
	targetServers        = 6200
	targetCentres        = 7
	targetRequests       = 3900.0
	targetTokens         = 1.5e6
	targetChangesPerDay  = 7700.0
	targetCorePercent    = 3.3
	targetMegabytes      = 32.0
	targetBytesPerSecond = 3000.0

	secondsPerDay   = 86400.0
	hostsPerCentre  = targetHosts / float64(targetCentres)
	serversPerNode  = targetServers / float64(targetHosts)
	serversInCentre = targetServers / float64(targetCentres)
)

// growthLimit is the largest ratio of the control bytes of a host among many
// hosts to those of a host among few.
const growthLimit = 1.25

// capacityExperiment measures how the use of a host grows with the size of the
// system.
type capacityExperiment struct{}

// Name implements Experiment.
func (capacityExperiment) Name() string { return "capacity" }

// Synopsis implements Experiment.
func (capacityExperiment) Synopsis() string {
	return "slopes of control traffic, time and memory, and the target size from them"
}

// capacityDimension holds the measured points of one dimension.
type capacityDimension struct {
	name   string
	unit   string
	points []capacityPoint
	size   func(capacityPoint) float64
}

// Run implements Experiment.
func (capacityExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	bare := residentBytes()
	m := &capacityMeasures{requests: measureRequestCost()}
	var err error
	if m.resident, err = measureResident(ctx, bare); err != nil {
		return nil, trace.Wrap(err)
	}
	window := 6 * time.Second
	if run.Quick {
		window = 3 * time.Second
	}
	for _, s := range capacitySeries(run.Quick) {
		if s.points, err = measureSeries(ctx, run, s, window); err != nil {
			return nil, trace.Wrap(err)
		}
		m.series = append(m.series, s)
	}
	if m.changeBytes, err = measureChanges(ctx, run); err != nil {
		return nil, trace.Wrap(err)
	}
	report := m.report(run.Seed)
	if run.Directory != "" {
		if err := m.write(run.Directory, report); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return report, nil
}

// measureResident returns the resident memory in bytes of a process with one
// entry host: that of this process before the smallest bed, less what the
// stand-ins alone add to a bare process.
func measureResident(ctx context.Context, bare float64) (float64, error) {
	_, stopFleet, err := standin.Start(standin.WithEngines(1, capacityGroupSize))
	if err != nil {
		return 0, err
	}
	standins := residentBytes() - bare
	stopFleet()
	_, cleanUp, err := startCapacityBed(ctx, capacityShape{1, 1, capacityGroupSize})
	if err != nil {
		return 0, err
	}
	defer cleanUp()
	return residentBytes() - max(standins, 0), nil
}

// capacitySeries returns the shapes to measure.
func capacitySeries(quick bool) []capacityDimension {
	hosts := shapes(func(n int) capacityShape { return capacityShape{1, n, 16} }, 2, 4, 8, 16, 32, 64)
	servers := shapes(watchedShape, 96, 200, 400, 600, 800)
	centres := shapes(func(n int) capacityShape { return capacityShape{n, 2, 8} }, 1, 2, 3, 5, 7)
	if quick {
		hosts = shapes(func(n int) capacityShape { return capacityShape{1, n, 16} }, 4, 32)
		servers = shapes(watchedShape, 32, 128)
		centres = shapes(func(n int) capacityShape { return capacityShape{n, 2, 8} }, 1, 3)
	}
	return []capacityDimension{
		{name: "hosts", unit: "entry hosts in the data centre", points: hosts, size: func(p capacityPoint) float64 { return float64(p.shape.hostsPerCentre) }},
		{name: "servers", unit: "backend servers in the data centre", points: servers, size: func(p capacityPoint) float64 { return float64(p.shape.enginesPerCentre) }},
		{name: "centres", unit: "data centres", points: centres, size: func(p capacityPoint) float64 { return float64(p.shape.centres) }},
	}
}

// watchedShape returns the shape with as many entry hosts for its backend
// servers as at the target size.
func watchedShape(servers int) capacityShape {
	return capacityShape{1, int(math.Ceil(float64(servers) / serversPerNode)), servers}
}

func shapes(shape func(int) capacityShape, sizes ...int) []capacityPoint {
	var points []capacityPoint
	for _, n := range sizes {
		points = append(points, capacityPoint{shape: shape(n)})
	}
	return points
}

func measureSeries(ctx context.Context, run Run, s capacityDimension, window time.Duration) ([]capacityPoint, error) {
	var measured []capacityPoint
	for _, p := range s.points {
		bed, cleanUp, err := startCapacityBed(ctx, p.shape)
		if err != nil {
			return nil, err
		}
		point := bed.measure(ctx, window)
		cleanUp()
		measured = append(measured, point)
		fmt.Fprintf(run.Progress, "%.0f %s: peers %.0f B/s, an engine %.0f B/s, log %.0f B/s, list %.0f B/s, process %.2f%%, busiest reducer %.3f%%, heap %.2f MB\n",
			s.size(point), s.unit, point.peerBytes, point.engineBytes, point.logBytes, point.listBytes,
			100*point.processor, 100*point.reducer, point.heap/1e6)
	}
	return measured, nil
}

// capacityChanges is the number of configuration changes that are measured.
const capacityChanges = 40

// measureChanges returns the bytes that one host reads for one change.
func measureChanges(ctx context.Context, run Run) (float64, error) {
	bed, cleanUp, err := startCapacityBed(ctx, capacityShape{1, 4, 8})
	if err != nil {
		return 0, err
	}
	defer cleanUp()
	idle := bed.measure(ctx, 3*time.Second)
	before, started := bed.read(), time.Now()
	for n := range capacityChanges {
		text := fmt.Sprintf(`{kind: customer, name: customer-%d, weight: %d, key-hashes: ["%064d"]}`, n%10, n+1, n+1)
		if err := bed.publish(ctx, text); err != nil {
			return 0, err
		}
	}
	rest(ctx, time.Second)
	used := bed.read().sub(before)
	hosts := float64(len(bed.cluster.Hosts()))
	// The publisher's own traffic counts as well, so that this is an upper bound.
	changes := (used.logs/hosts - idle.logBytes*time.Since(started).Seconds()) / capacityChanges
	fmt.Fprintf(run.Progress, "a configuration change: %.0f B for a host\n", changes)
	return max(changes, 0), nil
}
