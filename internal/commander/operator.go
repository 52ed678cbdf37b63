package commander

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
)

// operatorTimeout bounds a call to an entry host.
const operatorTimeout = 10 * time.Second

// operator calls the operator's side of one entry host.
type operator struct {
	streams   Streams
	name      string
	synopsis  string
	usage     string
	method    string
	path      string
	address   string
	tokenFile string
}

func newStatus(streams Streams) subcommands.Command {
	return &operator{
		streams: streams, name: "status", synopsis: "show the state of an entry host",
		usage: `fuchsiapitch status [--address URL] [--token-file FILE]

Prints the state of an entry host as JSON: its configuration, groups, leases and
why a backend server is in no group. On the platform the address is that of
readiness, and the state holds who leads, the hosts that are heard, groups,
spares, queues and the budgets for repeats.

Example:
  fuchsiapitch status --address http://127.0.0.1:8082

`, method: http.MethodGet, path: "/status",
	}
}

func newDrain(streams Streams) subcommands.Command {
	return &operator{
		streams: streams, name: "drain", synopsis: "stop an entry host gracefully",
		usage: `fuchsiapitch drain [--address URL] [--token-file FILE]

Has an entry host stop: it turns not ready, hands its work over, finishes every
request and ends.

Example:
  fuchsiapitch drain --address http://127.0.0.1:8082

`, method: http.MethodPost, path: "/drain",
	}
}

// Name implements subcommands.Command.
func (o *operator) Name() string { return o.name }

// Synopsis implements subcommands.Command.
func (o *operator) Synopsis() string { return o.synopsis }

// Usage implements subcommands.Command.
func (o *operator) Usage() string { return o.usage }

// SetFlags implements subcommands.Command.
func (o *operator) SetFlags(f *flag.FlagSet) {
	f.StringVar(&o.address, "address", "http://127.0.0.1:8082", "base URL of the operators' side")
	f.StringVar(&o.tokenFile, "token-file", "", "file with the operators' bearer token")
}

// Execute implements subcommands.Command.
func (o *operator) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return ExitUsage
	}
	if err := o.call(ctx); err != nil {
		return o.streams.fail(ExitFailure, err)
	}
	return ExitSuccess
}

func (o *operator) call(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, o.method, o.address+o.path, http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	if o.tokenFile != "" {
		token, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return trace.Wrap(err)
		}
		q.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return trace.Wrap(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return trace.Wrap(&OperatorError{Address: o.address, Status: answer.Status})
	}
	_, err = io.Copy(o.streams.Out, answer.Body)
	return trace.Wrap(err)
}
