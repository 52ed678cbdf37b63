package commander

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/google/subcommands"
)

// version prints the version of the program.
type version struct {
	streams Streams
}

func newVersion(streams Streams) subcommands.Command { return &version{streams: streams} }

// Name implements subcommands.Command.
func (*version) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*version) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*version) Usage() string { return "fuchsiapitch version\n\nPrints the version of the program.\n" }

// SetFlags implements subcommands.Command.
func (*version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (v *version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Fprintf(v.streams.Stdout, "fuchsiapitch %s %s\n", Version, runtime.Version())
	return ExitSuccess
}
