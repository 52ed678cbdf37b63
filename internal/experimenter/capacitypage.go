package experimenter

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 5 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// writeFiles writes CAPACITY.md and a plot of each quantity along each
// dimension into a directory.
func (m *capacityMeasurements) writeFiles(directory string, report *Report) error {
	plotDirectory := filepath.Join(directory, "capacity")
	if err := os.MkdirAll(plotDirectory, 0o755); err != nil {
		return trace.Wrap(err)
	}
	for _, s := range m.dimensions {
		for _, q := range measuredQuantities() {
			if err := s.writePlot(filepath.Join(plotDirectory, s.name+"-"+q.name+".svg"), q); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return trace.Wrap(os.WriteFile(filepath.Join(directory, "CAPACITY.md"), []byte(m.renderPage(report)), 0o600))
}

// writePlot plots the points of a quantity with their fitted line.
func (s scalingDimension) writePlot(path string, q measuredQuantity) error {
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = s.unit, q.name
	points := make(plotter.XYs, 0, len(s.points))
	highest := 0.0
	for _, c := range s.points {
		points = append(points, plotter.XY{X: s.sizeOf(c), Y: q.read(c)})
		highest = max(highest, q.read(c))
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	fitted := fitLine(s.points, s.sizeOf, q.read)
	chart.Add(scatter, plotter.NewFunction(fitted.valueAt), plotter.NewGrid())
	chart.Y.Min, chart.Y.Max = 0, highest*1.1
	return chart.Save(plotWidth, plotHeight, path)
}

const capacityIntroduction = `# Capacity

This page is written by ` + "`fuchsiapitch bench --seed N --write docs capacity`" + `; figures and
plots come from one run on one machine, with stand-ins in the same process.

The target size of the design: %d entry hosts in front of %d replicas and
accelerators in %d data centres; %.0f requests and %.1f million tokens a second;
%.0f configuration changes a day. An entry host has %.1f peers in its data centre
and monitors %.1f backend servers; a data centre has %.0f.

## One entry host at that size

Bytes count both directions with the overhead of IP and TCP. The processor time
of membership is that of the whole idle process, including its share of the
stand-ins, and is therefore an upper bound. Memory is heap in addition to the
%.1f MB that a process with one host has resident without the stand-ins. No
streams run, so that every group is probed; while streams advance, leaders and
members are polled every 2 and 3 s.

| role | mechanism | bytes a second | of a core, %% | MB |
| --- | --- | ---: | ---: | ---: |
`

const capacityNotes = `
Not counted as control: the tokens themselves, which do not pass through the
reducer. A host receives %.1f requests a second; from arrival to end, one takes %.0f µs
of its reducer's time, and each held request takes %.0f bytes.

## Where it would break

* Heartbeats carry a bounded number of entries to one host a second, so their
  bytes do not grow with the number of hosts. The time for a change to reach
  every host grows with the logarithm of the number of hosts.
* The controller applies the records of all backend servers of its data centre
  and reports on them. Its processor time grows faster than their number: see the
  busiest reducer by backend servers. Beyond the limit a data centre needs two
  streams, or a controller whose cost per step depends only on what has changed.
* Appends: one renewal a second of each controller, %d in all, beside the
  configuration's %.2f a second and one for each batch of idempotency keys. The
  log accepts several hundred a second.
* Every host polls the host list every 2 s. The response to an unchanged list is
  a 304 without a body; a changed list is sent whole, %.0f entries in a data centre.

## Slopes

`

// renderPage returns the contents of CAPACITY.md.
func (m *capacityMeasurements) renderPage(report *Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, capacityIntroduction, targetHosts, targetServers, targetDataCentres, targetRequestsPerSecond, targetTokensPerSecond/1e6,
		targetChangesPerDay, hostsPerDataCentre-1, serversPerHost, serversPerDataCentre, m.residentBaseBytes/1e6)
	for _, e := range m.usageEstimates() {
		fmt.Fprintf(&b, "| %s | %s | %.0f | %.3f | %.2f |\n", e.role, e.mechanism, e.bytesPerSecond, e.corePercent, e.megabytes)
	}
	b.WriteString("\n| target | limit | estimate | met |\n| --- | ---: | ---: | --- |\n")
	for _, t := range report.Targets() {
		fmt.Fprintf(&b, "| %s | %.4g | %.4g | %t |\n", t.Name, t.Limit, t.Got, t.Met)
	}
	fmt.Fprintf(&b, capacityNotes, targetRequestsPerSecond/targetHosts, report.Figure("request-reducer-microseconds"),
		m.costPerRequest.heldHeapBytes, targetDataCentres, targetChangesPerDay/secondsPerDay, serversPerDataCentre)
	for _, s := range m.dimensions {
		m.writeDimension(&b, s)
	}
	return b.String()
}

// writeDimension writes the table of the points of a dimension.
func (m *capacityMeasurements) writeDimension(b *strings.Builder, s scalingDimension) {
	fmt.Fprintf(b, "### By %s\n\n| quantity |", s.unit)
	for _, p := range s.points {
		fmt.Fprintf(b, " %.0f |", s.sizeOf(p))
	}
	b.WriteString(" base | slope |\n| --- |" + strings.Repeat(" ---: |", len(s.points)+2) + "\n")
	for _, q := range measuredQuantities() {
		fmt.Fprintf(b, "| [%s](capacity/%s-%s.svg) |", q.name, s.name, q.name)
		for _, p := range s.points {
			fmt.Fprintf(b, " %.3g |", q.read(p))
		}
		l := fitLine(s.points, s.sizeOf, q.read)
		fmt.Fprintf(b, " %.3g | %.3g |\n", l.intercept, l.slope)
	}
	b.WriteString("\n")
}
