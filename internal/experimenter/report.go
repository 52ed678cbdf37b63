// Package experimenter measures the system against its targets. Each
// experiment starts entry hosts and stand-ins of the backend servers and the
// platform in this process, generates load and injects faults from a seed, and
// reports figures.
package experimenter

import (
	"context"
	"io"
	"maps"
	"slices"
	"time"
)

// Target is a figure with its limit.
type Target struct {
	// Name is the name of the figure. It ends with the unit.
	Name string
	// Limit is the largest or smallest permitted value.
	Limit float64
	// Got is the measured value.
	Got float64
	// Met is true if the value is within the limit.
	Met bool
}

// Report holds the figures and targets of one run of an experiment.
type Report struct {
	name    string
	seed    uint64
	figures map[string]float64
	targets []Target
}

// NewReport returns an empty report.
func NewReport(name string, seed uint64) *Report {
	return &Report{name: name, seed: seed, figures: make(map[string]float64)}
}

// Name returns the name of the experiment.
func (r *Report) Name() string { return r.name }

// Seed returns the seed of the run.
func (r *Report) Seed() uint64 { return r.seed }

// Figure returns a figure by name.
func (r *Report) Figure(name string) float64 { return r.figures[name] }

// FigureNames returns the names of the figures in ascending order.
func (r *Report) FigureNames() []string { return slices.Sorted(maps.Keys(r.figures)) }

// Targets returns the targets in the order in which they were recorded.
func (r *Report) Targets() []Target { return r.targets }

// Set records a figure without a target. Its name ends with its unit.
func (r *Report) Set(name string, value float64) { r.figures[name] = value }

// AtMost records a figure that must not exceed a limit.
func (r *Report) AtMost(name string, limit, got float64) {
	r.Set(name, got)
	r.targets = append(r.targets, Target{Name: name, Limit: limit, Got: got, Met: got <= limit})
}

// AtLeast records a figure that must not fall below a limit.
func (r *Report) AtLeast(name string, limit, got float64) {
	r.Set(name, got)
	r.targets = append(r.targets, Target{Name: name, Limit: limit, Got: got, Met: got >= limit})
}

// Met reports whether every target is met.
func (r *Report) Met() bool {
	return !slices.ContainsFunc(r.targets, func(t Target) bool { return !t.Met })
}

// RunParameters holds the parameters of one run of an experiment.
type RunParameters struct {
	// Seed fixes every random choice.
	Seed uint64
	// Duration is the time for which faults are injected, 0 for the default of
	// the experiment.
	Duration time.Duration
	// Quick shortens the run to less than 45 s.
	Quick bool
	// Progress receives progress messages, one a line.
	Progress io.Writer
	// Directory is the directory for the pages and plots of the experiment, ""
	// to write none.
	Directory string
}

// Experiment is a measurement that the command line selects by name.
type Experiment interface {
	// Name returns the name of the experiment on the command line.
	Name() string
	// Synopsis describes in one line what is measured.
	Synopsis() string
	// Run runs the experiment. A missed target is not an error; an error means
	// that the run itself failed.
	Run(ctx context.Context, run RunParameters) (*Report, error)
}
