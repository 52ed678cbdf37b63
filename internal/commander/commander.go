// Package commander implements the commands of the fuchsiapitch program.
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
	// ExitSuccess means that the command succeeded.
	ExitSuccess subcommands.ExitStatus = 0
	// ExitFailure means that the command failed, or that a target was missed.
	ExitFailure subcommands.ExitStatus = 1
	// ExitUsage means that the arguments or files are wrong.
	ExitUsage subcommands.ExitStatus = 2
)

// Streams are the standard streams of a command.
type Streams struct {
	// Stdout receives results.
	Stdout io.Writer
	// Stderr receives progress and errors.
	Stderr io.Writer
}

// Commands returns all commands of the program, in the order of the command-line
// reference.
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

// Run runs the command that is named by the arguments and returns the exit code.
func Run(ctx context.Context, streams Streams, arguments []string) int {
	flags := flag.NewFlagSet("fuchsiapitch", flag.ContinueOnError)
	flags.SetOutput(streams.Stderr)
	commandSet := subcommands.NewCommander(flags, "fuchsiapitch")
	commandSet.Output, commandSet.Error = streams.Stdout, streams.Stderr
	commandSet.Register(commandSet.HelpCommand(), "")
	commandSet.Register(commandSet.FlagsCommand(), "")
	for _, command := range Commands(streams) {
		commandSet.Register(command, "")
	}
	if err := flags.Parse(arguments); err != nil {
		return int(ExitUsage)
	}
	return int(commandSet.Execute(ctx))
}

// fail prints an error and returns an exit code.
func (s Streams) fail(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(s.Stderr, "fuchsiapitch:", err)
	return code
}
