// Package commander holds the commands of the program.
package commander

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Version is the version of the program.
const Version = "0.1.0"

// The exit codes of the program.
const (
	// ExitSuccess means that the command did what was asked.
	ExitSuccess subcommands.ExitStatus = 0
	// ExitFailure means that the command failed, or that a target was missed.
	ExitFailure subcommands.ExitStatus = 1
	// ExitUsage means that the arguments or files are wrong.
	ExitUsage subcommands.ExitStatus = 2
)

// Streams are the standard streams of a command.
type Streams struct {
	// Out takes results.
	Out io.Writer
	// Errors takes progress and errors.
	Errors io.Writer
}

// Commands returns every command of the program, in the order of the help.
func Commands(streams Streams) []subcommands.Command {
	return []subcommands.Command{
		newServe(streams),
		newDemo(streams),
		newExplain(streams),
		newCheck(streams),
		newPublish(streams),
		newStatus(streams),
		newDrain(streams),
		newBench(streams),
		newVersion(streams),
	}
}

// Run runs the command that the arguments name and returns the exit code.
func Run(ctx context.Context, streams Streams, arguments []string) int {
	flags := flag.NewFlagSet("fuchsiapitch", flag.ContinueOnError)
	flags.SetOutput(streams.Errors)
	c := subcommands.NewCommander(flags, "fuchsiapitch")
	c.Output, c.Error = streams.Out, streams.Errors
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	for _, m := range Commands(streams) {
		c.Register(m, "")
	}
	if err := flags.Parse(arguments); err != nil {
		return int(ExitUsage)
	}
	return int(c.Execute(ctx))
}

// fail prints an error and returns an exit code.
func (s Streams) fail(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(s.Errors, "fuchsiapitch:", err)
	return code
}
