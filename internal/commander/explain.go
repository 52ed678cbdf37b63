package commander

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/fuchsiapitch/fuchsiapitch/internal/explainer"
)

// explain prints the log lines that concern one request.
type explain struct{ streams Streams }

func newExplain(streams Streams) subcommands.Command { return &explain{streams: streams} }

// Name implements subcommands.Command.
func (*explain) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explain) Synopsis() string {
	return "print the log lines of one request and of the decisions that may have affected it"
}

// Usage implements subcommands.Command.
func (*explain) Usage() string {
	return `fuchsiapitch explain REQUEST-ID [FILE...]

Reads log lines of any number of hosts, from standard input if no file is given.
Prints the lines of the request, and those of the hosts' decisions about the
controller, groups and the configuration from three seconds before the request
until its last line, sorted by time.
Exit code 1 if no line has the request ID. Requests that were answered in time have
no line.

Example:
  fuchsiapitch explain 9c41d07be2a35f68 host-1.log host-2.log

`
}

// SetFlags implements subcommands.Command.
func (*explain) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (e *explain) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return ExitUsage
	}
	lines, err := readLines(f.Args()[1:])
	if err != nil {
		return e.streams.fail(ExitUsage, err)
	}
	related, err := explainer.Explain(f.Arg(0), lines)
	if err != nil {
		return e.streams.fail(ExitFailure, err)
	}
	for _, l := range related {
		fmt.Fprintln(e.streams.Stdout, l)
	}
	return ExitSuccess
}

// readLines reads the log lines of files, or of standard input without files.
func readLines(paths []string) ([]explainer.Line, error) {
	if len(paths) == 0 {
		return explainer.Read(os.Stdin)
	}
	var all []explainer.Line
	for _, p := range paths {
		lines, err := readFile(p)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readFile(path string) (lines []explainer.Line, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return explainer.Read(file)
}
