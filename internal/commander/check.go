package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/lister"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
)

// logReadWait is how long the log waits for new records if a read starts at its end.
const logReadWait = 100 * time.Millisecond

// check validates configuration documents without publishing them.
type check struct {
	streams         Streams
	logAddress      string
	hostListAddress string
	timeout         time.Duration
}

func newCheck(streams Streams) subcommands.Command { return &check{streams: streams} }

// Name implements subcommands.Command.
func (*check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*check) Synopsis() string { return "check configuration documents" }

// Usage implements subcommands.Command.
func (*check) Usage() string {
	return `fuchsiapitch check [--log ADDRESS] [--host-list ADDRESS] PATH...

Reads the given files, and below given directories all files whose names end
with fuchsiapitch.yaml, and reports every problem with file, line and column.
With --log, references to documents in force are valid, too. With --host-list, the
sizes of groups are checked against the largest fabric domain.
Exit code 0 if there is no problem, 1 if the platform does not answer, 2 for
problems or wrong arguments.

Examples:
  fuchsiapitch check docs/examples/vidrio-claro
  fuchsiapitch check --log 10.0.0.1:9000 --host-list 10.0.0.1:9001 services/

`
}

// SetFlags implements subcommands.Command.
func (c *check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.logAddress, "log", "", "IP address and port of the platform's log")
	f.StringVar(&c.hostListAddress, "host-list", "", "IP address and port of the platform's host list")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "longest time to wait for the platform")
}

// Execute implements subcommands.Command.
func (c *check) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return ExitUsage
	}
	documents, err := loader.Collect(f.Args()...)
	if err != nil {
		return c.streams.fail(ExitUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.checkDocuments(ctx, documents); err != nil {
		return c.streams.fail(exitCodeOf(err), err)
	}
	fmt.Fprintf(c.streams.Stdout, "%d documents are valid\n", len(documents))
	return ExitSuccess
}

func (c *check) checkDocuments(ctx context.Context, documents []loader.Document) error {
	checks, err := fabricDomainChecks(ctx, c.hostListAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.logAddress == "" {
		return trace.Wrap(loader.Check(documents, checks...))
	}
	log, closeLog := recorder.New(c.logAddress, recorder.WithReadWait(logReadWait))
	defer closeLog()
	return trace.Wrap(publisher.New(log, "", publisher.WithCheckOptions(checks...)).Check(ctx, documents))
}

// exitCodeOf returns the exit code for an error. Problems in documents count as
// wrong input.
func exitCodeOf(err error) subcommands.ExitStatus {
	var problems *loader.ProblemsError
	if errors.As(err, &problems) {
		return ExitUsage
	}
	return ExitFailure
}

// fabricDomainChecks returns the checks against the fabric domains of the host
// list, none if the address is empty.
func fabricDomainChecks(ctx context.Context, hostListAddress string) ([]loader.CheckOption, error) {
	if hostListAddress == "" {
		return nil, nil
	}
	hostList, closeHostList := lister.New(hostListAddress)
	defer closeHostList()
	servers, err := hostList.BackendServers(ctx)
	if err != nil {
		return nil, err
	}
	type domain struct {
		dataCentre fuchsiapitch.DataCentreName
		name       fuchsiapitch.FabricDomainName
	}
	engineCounts := make(map[domain]int)
	largestDomainSize := 0
	for _, s := range servers {
		if s.Kind() != fuchsiapitch.EngineServer {
			continue
		}
		domainKey := domain{dataCentre: s.DataCentre(), name: s.FabricDomain()}
		engineCounts[domainKey]++
		largestDomainSize = max(largestDomainSize, engineCounts[domainKey])
	}
	return []loader.CheckOption{loader.WithLargestDomainSize(largestDomainSize)}, nil
}
