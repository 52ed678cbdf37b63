// Package experimenter measures the system: each experiment starts entry hosts
// and stand-ins in this process, drives load and faults by seed, and reports
// figures against targets.
package experimenter

import (
	"context"
	"io"
	"maps"
	"slices"
	"time"
)

// Target is a limit that a figure must keep.
type Target struct {
	// Name names the figure, with its unit.
	Name string
	// Limit is the stated limit.
	Limit float64
	// Got is the measured value.
	Got float64
	// Met states whether the limit is kept.
	Met bool
}

// Report is the result of one experiment.
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

// Targets returns the targets in the order in which they were judged.
func (r *Report) Targets() []Target { return r.targets }

// Set records a figure. Its name ends with its unit.
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

// Run is the setting of one run of an experiment.
type Run struct {
	// Seed fixes every random choice.
	Seed uint64
	// Duration asks for a time of faults, 0 for the experiment's own.
	Duration time.Duration
	// Quick asks for a run of less than 45 s.
	Quick bool
	// Progress takes lines that show the progress.
	Progress io.Writer
	// Directory takes the pages and plots that an experiment writes, "" for none.
	Directory string
}

// Experiment is a named measurement.
type Experiment interface {
	// Name returns the name that the command line uses.
	Name() string
	// Synopsis returns one line on what is measured.
	Synopsis() string
	// Run runs the experiment. It returns an error when the run itself failed,
	// not when a target was missed.
	Run(ctx context.Context, run Run) (*Report, error)
}
