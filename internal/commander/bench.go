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

// bench runs an experiment.
type bench struct {
	streams Streams
	seed    uint64
	json    bool
	quick   bool
	minutes float64
	write   string
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
	f.BoolVar(&b.json, "json", false, "print one JSON object")
	f.Float64Var(&b.minutes, "minutes", 0, "length of a soak in minutes, 0 for its own")
	f.StringVar(&b.write, "write", "", "folder that takes the pages and plots of the experiment")
	f.BoolVar(&b.quick, "quick", false, "run for less than 45 s")
}

// Execute implements subcommands.Command.
func (b *bench) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := b.parse(f)
	if !ok {
		fmt.Fprint(b.streams.Errors, b.Usage())
		return ExitUsage
	}
	e, ok := experimenter.Find(name)
	if !ok {
		return b.streams.fail(ExitUsage, &UnknownExperimentError{Name: name})
	}
	report, err := e.Run(ctx, experimenter.Run{
		Seed: b.seed, Quick: b.quick, Progress: b.streams.Errors,
		Duration: time.Duration(b.minutes * float64(time.Minute)), Directory: b.write,
	})
	if err != nil {
		return b.streams.fail(ExitFailure, err)
	}
	b.print(report)
	if !report.Met() {
		return ExitFailure
	}
	return ExitSuccess
}

// parse returns the name of the experiment. Flags may stand behind it as well.
func (b *bench) parse(f *flag.FlagSet) (string, bool) {
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

// benchBody is the JSON form of a report.
type benchBody struct {
	Name    string             `json:"name"`
	Seed    uint64             `json:"seed"`
	Figures map[string]float64 `json:"figures"`
	Targets []benchTarget      `json:"targets"`
}

type benchTarget struct {
	Name  string  `json:"name"`
	Limit float64 `json:"limit"`
	Got   float64 `json:"got"`
	Met   bool    `json:"met"`
}

func (b *bench) print(report *experimenter.Report) {
	if b.json {
		b.printJSON(report)
		return
	}
	w := tabwriter.NewWriter(b.streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tseed %d\n", report.Name(), report.Seed())
	for _, n := range report.FigureNames() {
		fmt.Fprintf(w, "%s\t%.4g\n", n, report.Figure(n))
	}
	for _, t := range report.Targets() {
		fmt.Fprintf(w, "target %s\tlimit %.4g\tgot %.4g\tmet %t\n", t.Name, t.Limit, t.Got, t.Met)
	}
	_ = w.Flush()
}

func (b *bench) printJSON(report *experimenter.Report) {
	body := benchBody{Name: report.Name(), Seed: report.Seed(), Figures: make(map[string]float64), Targets: []benchTarget{}}
	for _, n := range report.FigureNames() {
		body.Figures[n] = report.Figure(n)
	}
	for _, t := range report.Targets() {
		body.Targets = append(body.Targets, benchTarget(t))
	}
	encoder := json.NewEncoder(b.streams.Out)
	encoder.SetIndent("", "  ")
	// A reader that has gone cannot be told.
	_ = encoder.Encode(body)
}
