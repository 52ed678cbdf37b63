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

// operatorCallTimeout bounds a call to the operator API of an entry host.
const operatorCallTimeout = 10 * time.Second

// operatorCommand makes one call to the operator API of an entry host and prints
// the response.
type operatorCommand struct {
	streams   Streams
	name      string
	synopsis  string
	usage     string
	method    string
	path      string
	baseURL   string
	tokenFile string
}

func newStatus(streams Streams) subcommands.Command {
	return &operatorCommand{
		streams: streams, name: "status", synopsis: "show the state of an entry host",
		usage: `fuchsiapitch status [--address URL] [--token-file FILE]

Prints the state of an entry host as JSON: its configuration, the live hosts, the
controller and its term, groups, and why a backend server is in no group. On the
users' platform the address is the one for readiness, and the state holds the
controller, the hosts with the time since their last heartbeat, groups, spare
servers, queues and retry budgets.

Example:
  fuchsiapitch status --address http://127.0.0.1:8082

`, method: http.MethodGet, path: "/status",
	}
}

func newDrain(streams Streams) subcommands.Command {
	return &operatorCommand{
		streams: streams, name: "drain", synopsis: "stop an entry host gracefully",
		usage: `fuchsiapitch drain [--address URL] [--token-file FILE]

Stops an entry host gracefully: it reports that it is not ready, hands its waiting
requests over to other hosts, finishes every running request and exits.

Example:
  fuchsiapitch drain --address http://127.0.0.1:8082

`, method: http.MethodPost, path: "/drain",
	}
}

// Name implements subcommands.Command.
func (o *operatorCommand) Name() string { return o.name }

// Synopsis implements subcommands.Command.
func (o *operatorCommand) Synopsis() string { return o.synopsis }

// Usage implements subcommands.Command.
func (o *operatorCommand) Usage() string { return o.usage }

// SetFlags implements subcommands.Command.
func (o *operatorCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&o.baseURL, "address", "http://127.0.0.1:8082", "base URL of the entry host's operator API")
	f.StringVar(&o.tokenFile, "token-file", "", "file with the operators' bearer token")
}

// Execute implements subcommands.Command.
func (o *operatorCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return ExitUsage
	}
	if err := o.call(ctx); err != nil {
		return o.streams.fail(ExitFailure, err)
	}
	return ExitSuccess
}

func (o *operatorCommand) call(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, o.method, o.baseURL+o.path, http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	if o.tokenFile != "" {
		token, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return trace.Wrap(err)
		}
		request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return trace.Wrap(&OperatorCallError{BaseURL: o.baseURL, HTTPStatus: response.Status})
	}
	_, err = io.Copy(o.streams.Stdout, response.Body)
	return trace.Wrap(err)
}
