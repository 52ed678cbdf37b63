package commander

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
)

// publish publishes configuration documents.
type publish struct {
	streams               Streams
	logAddress            string
	hostListAddress       string
	explicitPublisherName string
	dryRun                bool
	waitForHosts          bool
	hostURLs              string
	tokenFile             string
	timeout               time.Duration
}

func newPublish(streams Streams) subcommands.Command { return &publish{streams: streams} }

// Name implements subcommands.Command.
func (*publish) Name() string { return "publish" }

// Synopsis implements subcommands.Command.
func (*publish) Synopsis() string { return "put configuration documents into force" }

// Usage implements subcommands.Command.
func (*publish) Usage() string {
	return `fuchsiapitch publish --log ADDRESS [--publisher NAME] [--dry-run]
    [--wait --hosts URL,...] [--token-file FILE] [--host-list ADDRESS] PATH...

Reads and checks documents like the command check, and publishes those that differ
from the documents in force. The publication is accepted or rejected as a whole.
Documents that no file names stay in force; a file removes one by "removed: true".
If another publication has changed one of the documents in the meantime, none of
them is put into force, and the publisher and ID of that publication are printed.
If the result is unknown, publish again: the documents are never accepted twice.
Exit code 0 if the documents are in force, 1 if they are not or the result is
unknown, 2 for problems or wrong arguments.

Examples:
  fuchsiapitch publish --log 10.0.0.1:9000 --dry-run services/
  fuchsiapitch publish --log 10.0.0.1:9000 --wait --hosts http://10.0.1.1:8082,http://10.0.2.1:8082 services/

`
}

// SetFlags implements subcommands.Command.
func (p *publish) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.logAddress, "log", "", "IP address and port of the platform's log")
	f.StringVar(&p.hostListAddress, "host-list", "", "IP address and port of the platform's host list, to check the sizes of groups")
	f.StringVar(&p.explicitPublisherName, "publisher", "", "name that others see as the publisher (default $USER)")
	f.BoolVar(&p.dryRun, "dry-run", false, "show what would change and publish nothing")
	f.BoolVar(&p.waitForHosts, "wait", false, "wait until the documents are in force on every host of --hosts")
	f.StringVar(&p.hostURLs, "hosts", "", "base URLs of the operator APIs of the entry hosts, separated by commas")
	f.StringVar(&p.tokenFile, "token-file", "", "file with the operators' bearer token")
	f.DurationVar(&p.timeout, "timeout", 30*time.Second, "longest time to publish, and separately the longest time to wait for the hosts")
}

// Execute implements subcommands.Command.
func (p *publish) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || p.logAddress == "" || p.waitForHosts && p.hostURLs == "" {
		f.Usage()
		return ExitUsage
	}
	documents, err := loader.Collect(f.Args()...)
	if err != nil {
		return p.streams.fail(ExitUsage, err)
	}
	log, closeLog := recorder.New(p.logAddress, recorder.WithReadWait(logReadWait))
	defer closeLog()
	publishCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	checks, err := fabricDomainChecks(publishCtx, p.hostListAddress)
	if err != nil {
		return p.streams.fail(ExitFailure, err)
	}
	documentPublisher := publisher.New(log, p.publisherName(), publisher.WithCheckOptions(checks...))
	if p.dryRun {
		return p.printPlan(publishCtx, documentPublisher, documents)
	}
	result, err := documentPublisher.Publish(publishCtx, documents)
	if err != nil {
		return p.streams.fail(exitCodeOf(err), err)
	}
	if !p.printResult(result) {
		return ExitFailure
	}
	if p.waitForHosts {
		return p.awaitHosts(ctx, result.Offset)
	}
	return ExitSuccess
}

func (p *publish) publisherName() string {
	if p.explicitPublisherName != "" {
		return p.explicitPublisherName
	}
	return os.Getenv("USER")
}

func (p *publish) printPlan(ctx context.Context, documentPublisher *publisher.Publisher, documents []loader.Document) subcommands.ExitStatus {
	differences, err := documentPublisher.Plan(ctx, documents)
	if err != nil {
		return p.streams.fail(exitCodeOf(err), err)
	}
	p.printDifferences(differences)
	fmt.Fprintf(p.streams.Stdout, "%d documents would change\n", len(differences))
	return ExitSuccess
}

func (p *publish) printDifferences(differences []publisher.Difference) {
	for _, d := range differences {
		fmt.Fprintln(p.streams.Stdout, d)
	}
}

// printResult prints the outcome of a publication and reports whether its documents
// are in force.
func (p *publish) printResult(result publisher.Result) bool {
	out := p.streams.Stdout
	switch result.Status {
	case publisher.Accepted:
		p.printDifferences(result.Differences)
		fmt.Fprintf(out, "publication %s is accepted, in force from offset %d\n", result.PublicationID, result.Offset)
		return true
	case publisher.Unchanged:
		fmt.Fprintf(out, "every document is in force already, at offset %d\n", result.Offset)
		return true
	case publisher.Lost:
		fmt.Fprintf(out, "publication %s lost: %s was changed by %q in publication %s at offset %d\n",
			result.PublicationID, result.Conflict.Key, result.Conflict.Publisher, result.Conflict.PublicationID, result.Conflict.CurrentRevision)
	case publisher.NotPublished:
		fmt.Fprintf(out, "publication %s was not published: %v\n", result.PublicationID, result.Err)
	case publisher.Unknown:
		fmt.Fprintf(out, "publication %s may or may not be accepted, publish again to learn which: %v\n", result.PublicationID, result.Err)
	}
	return false
}

// awaitHosts waits until every host has an offset in force, and prints the status of
// each.
func (p *publish) awaitHosts(ctx context.Context, offset fuchsiapitch.Offset) subcommands.ExitStatus {
	var options []publisher.WaiterOption
	if p.tokenFile != "" {
		token, err := os.ReadFile(p.tokenFile)
		if err != nil {
			return p.streams.fail(ExitUsage, trace.Wrap(err))
		}
		options = append(options, publisher.WithOperatorToken(strings.TrimSpace(string(token))))
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	exitCode := ExitSuccess
	for _, h := range publisher.NewWaiter(strings.Split(p.hostURLs, ","), options...).Wait(ctx, offset) {
		fmt.Fprintln(p.streams.Stdout, formatHostStatus(h))
		if !h.InForce {
			exitCode = ExitFailure
		}
	}
	return exitCode
}

func formatHostStatus(status publisher.HostStatus) string {
	switch {
	case status.InForce:
		return fmt.Sprintf("host %s at %s: in force, offset %d, hash %x", status.HostID, status.BaseURL, status.ConfigurationOffset, status.ConfigurationHash)
	case status.Err != nil:
		return status.Err.Error()
	}
	return fmt.Sprintf("host %s at %s: not in force, offset %d", status.HostID, status.BaseURL, status.ConfigurationOffset)
}
