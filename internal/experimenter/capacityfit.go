package experimenter

import "fmt"

// linearFit is a straight line fitted to measured points.
type linearFit struct {
	intercept float64
	slope     float64
}

// valueAt returns the fitted value at a size.
func (l linearFit) valueAt(size float64) float64 { return l.intercept + l.slope*size }

// fitLine returns the least-squares line through points. It is flat when all
// points have the same size.
func fitLine(points []capacityPoint, sizeOf, valueOf func(capacityPoint) float64) linearFit {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x, y := sizeOf(p), valueOf(p)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return linearFit{intercept: sumY / max(n, 1)}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return linearFit{intercept: (sumY - slope*sumX) / n, slope: slope}
}

// capacityMeasurements holds everything that the experiment has measured.
type capacityMeasurements struct {
	dimensions               []scalingDimension
	costPerRequest           requestCost
	configurationChangeBytes float64
	// residentBaseBytes is the resident memory of a process with one host.
	residentBaseBytes float64
}

// measuredQuantity is a quantity that is read from each point.
type measuredQuantity struct {
	name string
	read func(capacityPoint) float64
}

func measuredQuantities() []measuredQuantity {
	return []measuredQuantity{
		{"peer-bytes-per-second", func(p capacityPoint) float64 { return p.peerBytesPerSecond }},
		{"engine-bytes-per-second", func(p capacityPoint) float64 { return p.engineBytesPerSecond }},
		{"log-bytes-per-second", func(p capacityPoint) float64 { return p.logBytesPerSecond }},
		{"list-bytes-per-second", func(p capacityPoint) float64 { return p.hostListBytesPerSecond }},
		{"process-core-percent", func(p capacityPoint) float64 { return 100 * p.processCoreFraction }},
		{"busiest-reducer-core-percent", func(p capacityPoint) float64 { return 100 * p.busiestReducerCoreFraction }},
		{"heap-megabytes", func(p capacityPoint) float64 { return p.hostHeapBytes / 1e6 }},
	}
}

// fitOf returns the fitted line of a quantity along a dimension.
func (m *capacityMeasurements) fitOf(dimension, quantity string) linearFit {
	for _, s := range m.dimensions {
		if s.name != dimension {
			continue
		}
		for _, q := range measuredQuantities() {
			if q.name == quantity {
				return fitLine(s.points, s.sizeOf, q.read)
			}
		}
	}
	return linearFit{}
}

// usageEstimate is the control overhead of one role of a host at the target
// size.
type usageEstimate struct {
	role           string
	mechanism      string
	bytesPerSecond float64
	corePercent    float64
	megabytes      float64
}

// usageEstimates returns the control overhead of a host by role at the target
// size. The first commonEstimateCount roles belong to every host; the
// controller and bridge roles belong to one or two hosts of a data centre.
func (m *capacityMeasurements) usageEstimates() []usageEstimate {
	peerFit, processFit := m.fitOf("hosts", "peer-bytes-per-second"), m.fitOf("hosts", "process-core-percent")
	heapFit := m.fitOf("hosts", "heap-megabytes")
	reducerFit := m.fitOf("servers", "busiest-reducer-core-percent")
	bytesPerEngine := m.fitOf("servers", "engine-bytes-per-second").valueAt(serversPerDataCentre)
	dataCentreFit := m.fitOf("centres", "peer-bytes-per-second")
	serverHeapFit := m.fitOf("servers", "heap-megabytes")
	requestsPerSecond := targetRequestsPerSecond / targetHosts
	heldRequests := requestsPerSecond * meanRequestSeconds
	return []usageEstimate{
		{
			"membership", "heartbeats to one host a period with bounded entries", peerFit.valueAt(hostsPerDataCentre),
			max(processFit.valueAt(hostsPerDataCentre), 0), max(heapFit.valueAt(hostsPerDataCentre), 0),
		},
		{
			"group watch (dispatcher)", "probes of own groups without fresh streams", bytesPerEngine * serversPerHost,
			max(reducerFit.slope, 0) * serversPerHost, max(serverHeapFit.valueAt(serversPerDataCentre)-heapFit.valueAt(hostsPerDataCentre), 0),
		},
		{
			"configuration reader", "one followed stream of the log",
			m.configurationChangeBytes*targetChangesPerDay/secondsPerDay + m.fitOf("hosts", "log-bytes-per-second").valueAt(hostsPerDataCentre), 0, 0,
		},
		{"host list reader", "unchanged lists answered by 304", m.fitOf("hosts", "list-bytes-per-second").valueAt(hostsPerDataCentre), 0, 0},
		{
			"receiver and dispatcher", "one reducer, a few events a request", 0,
			100 * requestsPerSecond * m.costPerRequest.processorTime.Seconds(), heldRequests * m.costPerRequest.heldHeapBytes / 1e6,
		},
		{
			"controller (one host of a data centre)", "reports of changes, and a slow sweep within the host's limit of probes", 0,
			max(reducerFit.valueAt(serversPerDataCentre), 0), 0,
		},
		{"bridge (two hosts of a data centre)", "one heartbeat every 2 s to another data centre, in turns", max(dataCentreFit.valueAt(targetDataCentres)-dataCentreFit.valueAt(1), 0), 0, 0},
	}
}

const (
	// meanRequestSeconds is the mean duration of a request: 385 tokens at the
	// target of 44 ms between tokens, rounded up.
	meanRequestSeconds = 20.0
	// commonEstimateCount is the number of leading estimates that apply to
	// every host.
	commonEstimateCount = 5
)

func (m *capacityMeasurements) fillReport(seed uint64) *Report {
	r := NewReport("capacity", seed)
	for _, s := range m.dimensions {
		for _, q := range measuredQuantities() {
			l := fitLine(s.points, s.sizeOf, q.read)
			r.Set(fmt.Sprintf("%s-%s-base", s.name, q.name), l.intercept)
			r.Set(fmt.Sprintf("%s-%s-slope", s.name, q.name), l.slope)
		}
	}
	r.Set("request-reducer-microseconds", float64(m.costPerRequest.processorTime.Nanoseconds())/1e3)
	r.Set("request-heap-bytes", m.costPerRequest.heldHeapBytes)
	r.Set("change-bytes", m.configurationChangeBytes)
	r.Set("resident-base-megabytes", m.residentBaseBytes/1e6)
	var bytes, percent, megabytes float64
	for _, e := range m.usageEstimates()[:commonEstimateCount] {
		bytes += e.bytesPerSecond
		percent += e.corePercent
		megabytes += e.megabytes
	}
	r.AtMost("target-size-control-bytes-per-second", maxControlBytesPerSecond, bytes)
	r.AtMost("target-size-control-core-percent", maxControlCorePercent, percent)
	r.AtMost("target-size-control-megabytes", maxControlMegabytes, m.residentBaseBytes/1e6+megabytes)
	peerBytesFit := m.fitOf("hosts", "peer-bytes-per-second")
	r.AtMost("control-bytes-growth-8-to-64-hosts-ratio", maxControlBytesGrowth, peerBytesFit.valueAt(64)/max(peerBytesFit.valueAt(8), 1))
	return r
}
