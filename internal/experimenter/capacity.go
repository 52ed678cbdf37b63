package experimenter

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
)

// The target size of the system, and the limits on the control overhead of one
// entry host at that size.
const (
	targetHosts              = 410
	targetServers            = 6200
	targetDataCentres        = 7
	targetRequestsPerSecond  = 3900.0
	targetTokensPerSecond    = 1.5e6
	targetChangesPerDay      = 7700.0
	maxControlCorePercent    = 3.3
	maxControlMegabytes      = 32.0
	maxControlBytesPerSecond = 3000.0

	secondsPerDay        = 86400.0
	hostsPerDataCentre   = targetHosts / float64(targetDataCentres)
	serversPerHost       = targetServers / float64(targetHosts)
	serversPerDataCentre = targetServers / float64(targetDataCentres)
)

// maxControlBytesGrowth is the largest permitted ratio of the control bytes of
// a host in a data centre with many hosts to those in one with few.
const maxControlBytesGrowth = 1.25

// capacityExperiment measures how the resource use of an entry host grows with
// the size of the system.
type capacityExperiment struct{}

// Name implements Experiment.
func (capacityExperiment) Name() string { return "capacity" }

// Synopsis implements Experiment.
func (capacityExperiment) Synopsis() string {
	return "growth of control traffic, processor time and memory with the size of the system, extrapolated to the target size"
}

// scalingDimension is a size that is varied on its own, with the points
// measured along it.
type scalingDimension struct {
	name   string
	unit   string
	points []capacityPoint
	sizeOf func(capacityPoint) float64
}

// Run implements Experiment.
func (capacityExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	baselineBytes := residentBytes()
	m := &capacityMeasurements{costPerRequest: measureReducerCost()}
	var err error
	if m.residentBaseBytes, err = measureResidentBytes(ctx, baselineBytes); err != nil {
		return nil, trace.Wrap(err)
	}
	window := 6 * time.Second
	if run.Quick {
		window = 3 * time.Second
	}
	for _, s := range scalingDimensions(run.Quick) {
		if s.points, err = measureDimension(ctx, run, s, window); err != nil {
			return nil, trace.Wrap(err)
		}
		m.dimensions = append(m.dimensions, s)
	}
	if m.configurationChangeBytes, err = measureChangeBytes(ctx, run); err != nil {
		return nil, trace.Wrap(err)
	}
	report := m.fillReport(run.Seed)
	if run.Directory != "" {
		if err := m.writeFiles(run.Directory, report); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return report, nil
}

// measureResidentBytes returns the resident memory in bytes of a process with
// one entry host: the resident memory of this process with the smallest
// testbed, less what the stand-ins alone add to baselineBytes.
func measureResidentBytes(ctx context.Context, baselineBytes float64) (float64, error) {
	_, stopFleet, err := standin.Start(standin.WithEngines(1, capacityGroupSize))
	if err != nil {
		return 0, err
	}
	standinBytes := residentBytes() - baselineBytes
	stopFleet()
	_, closeTestbed, err := startCapacityTestbed(ctx, capacityShape{1, 1, capacityGroupSize})
	if err != nil {
		return 0, err
	}
	defer closeTestbed()
	return residentBytes() - max(standinBytes, 0), nil
}

// scalingDimensions returns the dimensions with the shapes to measure.
func scalingDimensions(quick bool) []scalingDimension {
	hostPoints := unmeasuredPoints(func(n int) capacityShape { return capacityShape{1, n, 16} }, 2, 4, 8, 16, 32, 64)
	serverPoints := unmeasuredPoints(shapeAtTargetRatio, 96, 200, 400, 600, 800)
	dataCentrePoints := unmeasuredPoints(func(n int) capacityShape { return capacityShape{n, 2, 8} }, 1, 2, 3, 5, 7)
	if quick {
		hostPoints = unmeasuredPoints(func(n int) capacityShape { return capacityShape{1, n, 16} }, 4, 32)
		serverPoints = unmeasuredPoints(shapeAtTargetRatio, 32, 128)
		dataCentrePoints = unmeasuredPoints(func(n int) capacityShape { return capacityShape{n, 2, 8} }, 1, 3)
	}
	return []scalingDimension{
		{name: "hosts", unit: "entry hosts in the data centre", points: hostPoints, sizeOf: func(p capacityPoint) float64 { return float64(p.shape.hostsPerDataCentre) }},
		{name: "servers", unit: "backend servers in the data centre", points: serverPoints, sizeOf: func(p capacityPoint) float64 { return float64(p.shape.enginesPerDataCentre) }},
		{name: "centres", unit: "data centres", points: dataCentrePoints, sizeOf: func(p capacityPoint) float64 { return float64(p.shape.dataCentres) }},
	}
}

// shapeAtTargetRatio returns a shape with the target size's ratio of backend
// servers to entry hosts.
func shapeAtTargetRatio(servers int) capacityShape {
	return capacityShape{1, int(math.Ceil(float64(servers) / serversPerHost)), servers}
}

func unmeasuredPoints(shapeOf func(int) capacityShape, sizes ...int) []capacityPoint {
	var points []capacityPoint
	for _, n := range sizes {
		points = append(points, capacityPoint{shape: shapeOf(n)})
	}
	return points
}

func measureDimension(ctx context.Context, run RunParameters, s scalingDimension, window time.Duration) ([]capacityPoint, error) {
	var measured []capacityPoint
	for _, p := range s.points {
		testbed, closeTestbed, err := startCapacityTestbed(ctx, p.shape)
		if err != nil {
			return nil, err
		}
		point := testbed.measure(ctx, window)
		closeTestbed()
		measured = append(measured, point)
		fmt.Fprintf(run.Progress, "%.0f %s: peers %.0f B/s per host, engines %.0f B/s per engine, log %.0f B/s per host, host list %.0f B/s per host, process %.2f%% of a core per host, busiest reducer %.3f%% of a core, heap %.2f MB per host\n",
			s.sizeOf(point), s.unit, point.peerBytesPerSecond, point.engineBytesPerSecond, point.logBytesPerSecond, point.hostListBytesPerSecond,
			100*point.processCoreFraction, 100*point.busiestReducerCoreFraction, point.hostHeapBytes/1e6)
	}
	return measured, nil
}

// measuredChangeCount is the number of configuration changes that are published
// to measure the bytes of one.
const measuredChangeCount = 40

// measureChangeBytes returns the bytes that one host reads for one
// configuration change.
func measureChangeBytes(ctx context.Context, run RunParameters) (float64, error) {
	testbed, closeTestbed, err := startCapacityTestbed(ctx, capacityShape{1, 4, 8})
	if err != nil {
		return 0, err
	}
	defer closeTestbed()
	idle := testbed.measure(ctx, 3*time.Second)
	before, started := testbed.readCounters(), time.Now()
	for n := range measuredChangeCount {
		text := fmt.Sprintf(`{kind: customer, name: customer-%d, weight: %d, key-hashes: ["%064d"]}`, n%10, n+1, n+1)
		if err := testbed.publish(ctx, text); err != nil {
			return 0, err
		}
	}
	sleepContext(ctx, time.Second)
	used := testbed.readCounters().subtract(before)
	hosts := float64(len(testbed.cluster.Hosts()))
	// The log traffic includes the publisher's own, so this is an upper bound.
	bytesPerChange := (used.logTrafficBytes/hosts - idle.logBytesPerSecond*time.Since(started).Seconds()) / measuredChangeCount
	fmt.Fprintf(run.Progress, "configuration change: %.0f B read per host\n", bytesPerChange)
	return max(bytesPerChange, 0), nil
}
