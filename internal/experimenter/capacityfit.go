package experimenter

import "fmt"

// line is a straight line through measured points.
type line struct {
	base  float64
	slope float64
}

// at returns the value at a size.
func (l line) at(size float64) float64 { return l.base + l.slope*size }

// fit returns the line with the least squares. A line through one point is flat.
func fit(points []capacityPoint, size, value func(capacityPoint) float64) line {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x, y := size(p), value(p)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return line{base: sumY / max(n, 1)}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return line{base: (sumY - slope*sumX) / n, slope: slope}
}

// capacityMeasures are all measured points.
type capacityMeasures struct {
	series      []capacityDimension
	requests    requestCost
	changeBytes float64
	// resident is the resident memory of a process with one host in bytes.
	resident float64
}

// capacityQuantity is one value of a point.
type capacityQuantity struct {
	name  string
	value func(capacityPoint) float64
}

func capacityQuantities() []capacityQuantity {
	return []capacityQuantity{
		{"peer-bytes-per-second", func(p capacityPoint) float64 { return p.peerBytes }},
		{"engine-bytes-per-second", func(p capacityPoint) float64 { return p.engineBytes }},
		{"log-bytes-per-second", func(p capacityPoint) float64 { return p.logBytes }},
		{"list-bytes-per-second", func(p capacityPoint) float64 { return p.listBytes }},
		{"process-core-percent", func(p capacityPoint) float64 { return 100 * p.processor }},
		{"busiest-reducer-core-percent", func(p capacityPoint) float64 { return 100 * p.reducer }},
		{"heap-megabytes", func(p capacityPoint) float64 { return p.heap / 1e6 }},
	}
}

func (m *capacityMeasures) line(name, quantity string) line {
	for _, s := range m.series {
		if s.name != name {
			continue
		}
		for _, q := range capacityQuantities() {
			if q.name == quantity {
				return fit(s.points, s.size, q.value)
			}
		}
	}
	return line{}
}

// estimate is what one host uses for control at the target size.
type estimate struct {
	role      string
	mechanism string
	bytes     float64
	percent   float64
	megabytes float64
}

// estimates returns the parts of a host's use at the target size. The first
// belong to every host; the controller and the bridge are one or two hosts of a
// data centre.
func (m *capacityMeasures) estimates() []estimate {
	peers, process := m.line("hosts", "peer-bytes-per-second"), m.line("hosts", "process-core-percent")
	heap := m.line("hosts", "heap-megabytes")
	reducer := m.line("servers", "busiest-reducer-core-percent")
	engine := m.line("servers", "engine-bytes-per-second").at(serversInCentre)
	centres := m.line("centres", "peer-bytes-per-second")
	serverHeap := m.line("servers", "heap-megabytes")
	requests := targetRequests / targetHosts
	held := requests * heldSeconds
	return []estimate{
		{
			"membership", "heartbeats to one host a period with bounded entries", peers.at(hostsPerCentre),
			max(process.at(hostsPerCentre), 0), max(heap.at(hostsPerCentre), 0),
		},
		{
			"group watch (dispatcher)", "probes of own groups without fresh streams", engine * serversPerNode,
			max(reducer.slope, 0) * serversPerNode, max(serverHeap.at(serversInCentre)-heap.at(hostsPerCentre), 0),
		},
		{
			"configuration reader", "one followed stream of the log",
			m.changeBytes*targetChangesPerDay/secondsPerDay + m.line("hosts", "log-bytes-per-second").at(hostsPerCentre), 0, 0,
		},
		{"host list reader", "unchanged lists answered by 304", m.line("hosts", "list-bytes-per-second").at(hostsPerCentre), 0, 0},
		{
			"receiver and dispatcher", "one reducer, a few events a request", 0,
			100 * requests * m.requests.processor.Seconds(), held * m.requests.heap / 1e6,
		},
		{
			"controller (one host of a data centre)", "reports of changes, and a slow sweep within the host's limit of probes", 0,
			max(reducer.at(serversInCentre), 0), 0,
		},
		{"bridge (two hosts of a data centre)", "one heartbeat every 2 s to another data centre, in turns", max(centres.at(targetCentres)-centres.at(1), 0), 0, 0},
	}
}

const (
	// heldSeconds is the mean life of a request: 385 tokens at the target rate
	// of 44 ms, rounded up.
	heldSeconds = 20.0
	// commonEstimates is the number of estimates that belong to every host.
	commonEstimates = 5
)

func (m *capacityMeasures) report(seed uint64) *Report {
	r := NewReport("capacity", seed)
	for _, s := range m.series {
		for _, q := range capacityQuantities() {
			l := fit(s.points, s.size, q.value)
			r.Set(fmt.Sprintf("%s-%s-base", s.name, q.name), l.base)
			r.Set(fmt.Sprintf("%s-%s-slope", s.name, q.name), l.slope)
		}
	}
	r.Set("request-reducer-microseconds", float64(m.requests.processor.Nanoseconds())/1e3)
	r.Set("request-heap-bytes", m.requests.heap)
	r.Set("change-bytes", m.changeBytes)
	r.Set("resident-base-megabytes", m.resident/1e6)
	var bytes, percent, megabytes float64
	for _, e := range m.estimates()[:commonEstimates] {
		bytes += e.bytes
		percent += e.percent
		megabytes += e.megabytes
	}
	r.AtMost("target-size-control-bytes-per-second", targetBytesPerSecond, bytes)
	r.AtMost("target-size-control-core-percent", targetCorePercent, percent)
	r.AtMost("target-size-control-megabytes", targetMegabytes, m.resident/1e6+megabytes)
	peers := m.line("hosts", "peer-bytes-per-second")
	r.AtMost("control-bytes-growth-8-to-64-hosts-ratio", growthLimit, peers.at(64)/max(peers.at(8), 1))
	return r
}
