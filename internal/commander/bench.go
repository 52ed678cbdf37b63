package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/fuchsiapitch/fuchsiapitch/internal/experimenter"
)

// bench runs an experiment and prints its figures.
type bench struct {
	streams      Streams
	seed         uint64
	jsonOutput   bool
	quick        bool
	soakMinutes  float64
	outputFolder string
}

func newBench(streams Streams) subcommands.Command { return &bench{streams: streams} }

// Name implements subcommands.Command.
func (*bench) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*bench) Synopsis() string { return "measure the system against its targets" }

// Usage implements subcommands.Command.
func (*bench) Usage() string {
	var b strings.Builder
	b.WriteString(`fuchsiapitch bench [--seed N] [--quick] [--minutes M] [--json] [--write FOLDER] NAME

Runs an experiment in this process against stand-ins. Progress goes to standard
error, the figures to standard output. Exit code 0 means that all targets are
met, 1 that one is missed, 2 that the arguments are wrong.

Example:
  fuchsiapitch bench --seed 1 --quick --json path

Experiments:
`)
	for _, e := range experimenter.All() {
		fmt.Fprintf(&b, "  %-14s %s\n", e.Name(), e.Synopsis())
	}
	b.WriteString("\n")
	return b.String()
}

// SetFlags implements subcommands.Command.
func (b *bench) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&b.seed, "seed", 1, "seed of every random choice")
	f.BoolVar(&b.jsonOutput, "json", false, "print one JSON object")
	f.Float64Var(&b.soakMinutes, "minutes", 0, "duration of the experiment soak in minutes, 0 for its default")
	f.StringVar(&b.outputFolder, "write", "", "folder to which the pages and plots of the experiment are written")
	f.BoolVar(&b.quick, "quick", false, "run for less than 45 s")
}

// Execute implements subcommands.Command.
func (b *bench) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := b.parseExperimentName(f)
	if !ok {
		fmt.Fprint(b.streams.Stderr, b.Usage())
		return ExitUsage
	}
	experiment, ok := experimenter.Find(name)
	if !ok {
		return b.streams.fail(ExitUsage, &UnknownExperimentError{Name: name})
	}
	report, err := experiment.Run(ctx, experimenter.RunParameters{
		Seed: b.seed, Quick: b.quick, Progress: b.streams.Stderr,
		Duration: time.Duration(b.soakMinutes * float64(time.Minute)), Directory: b.outputFolder,
	})
	if err != nil {
		return b.streams.fail(ExitFailure, err)
	}
	b.printReport(report)
	if !report.Met() {
		return ExitFailure
	}
	return ExitSuccess
}

// parseExperimentName returns the name of the experiment. Flags may also follow
// the name.
func (b *bench) parseExperimentName(f *flag.FlagSet) (string, bool) {
	if f.NArg() == 0 {
		return "", false
	}
	name := f.Arg(0)
	if f.NArg() == 1 {
		return name, true
	}
	if err := f.Parse(f.Args()[1:]); err != nil || f.NArg() > 0 {
		return "", false
	}
	return name, true
}

// reportBody is the JSON form of a report.
type reportBody struct {
	Name    string             `json:"name"`
	Seed    uint64             `json:"seed"`
	Figures map[string]float64 `json:"figures"`
	Targets []targetBody       `json:"targets"`
}

// targetBody is the JSON form of a target. Its fields match experimenter.Target for
// conversion.
type targetBody struct {
	Name  string  `json:"name"`
	Limit float64 `json:"limit"`
	Got   float64 `json:"got"`
	Met   bool    `json:"met"`
}

func (b *bench) printReport(report *experimenter.Report) {
	if b.jsonOutput {
		b.printJSON(report)
		return
	}
	table := tabwriter.NewWriter(b.streams.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tseed %d\n", report.Name(), report.Seed())
	for _, n := range report.FigureNames() {
		fmt.Fprintf(table, "%s\t%.4g\n", n, report.Figure(n))
	}
	for _, t := range report.Targets() {
		fmt.Fprintf(table, "target %s\tlimit %.4g\tgot %.4g\tmet %t\n", t.Name, t.Limit, t.Got, t.Met)
	}
	_ = table.Flush()
}

func (b *bench) printJSON(report *experimenter.Report) {
	body := reportBody{Name: report.Name(), Seed: report.Seed(), Figures: make(map[string]float64), Targets: []targetBody{}}
	for _, n := range report.FigureNames() {
		body.Figures[n] = report.Figure(n)
	}
	for _, t := range report.Targets() {
		body.Targets = append(body.Targets, targetBody(t))
	}
	encoder := json.NewEncoder(b.streams.Stdout)
	encoder.SetIndent("", "  ")
	// A write error is ignored: with standard output closed, nobody reads it.
	_ = encoder.Encode(body)
}
