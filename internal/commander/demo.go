package commander

import (
	"context"
	_ "embed" // for the configuration
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
)

const (
	demoCentre   fuchsiapitch.DataCentreName = "gt-xela"
	demoModel    fuchsiapitch.ServiceName    = "vidrio-llm"
	demoDesk     fuchsiapitch.ServiceName    = "taller-app"
	demoKey                                  = "sk-demo"
	demoHosts                                = 3
	demoDomains                              = 2
	demoEngines                              = 4
	demoServers                              = 2
	demoGroups                               = 2
	demoDeadline                             = time.Minute
)

//go:embed documents/demo.fuchsiapitch.yaml
var demoDocuments []byte

// demo runs stand-ins and entry hosts in one process.
type demo struct {
	streams  Streams
	logs     bool
	platform bool
}

func newDemo(streams Streams) subcommands.Command { return &demo{streams: streams} }

// Name implements subcommands.Command.
func (*demo) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demo) Synopsis() string { return "run stand-ins and three entry hosts in one process" }

// Usage implements subcommands.Command.
func (*demo) Usage() string {
	return `fuchsiapitch demo [--platform] [--logs]

Starts model engines, an application service, the platform's log, host list and
weight store as stand-ins, and three entry hosts before them, all on 127.0.0.1.
Prints the addresses and two calls to try. Ends gracefully on Ctrl-C.

With --platform the stand-ins are those of the users' platform: its metadata
store, an operator, servers that form groups and plain servers.

Examples:
  fuchsiapitch demo
  fuchsiapitch demo --platform

`
}

// SetFlags implements subcommands.Command.
func (d *demo) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&d.logs, "logs", false, "write the log lines of the entry hosts to standard error")
	f.BoolVar(&d.platform, "platform", false, "run on stand-ins of the users' platform")
}

// Execute implements subcommands.Command.
func (d *demo) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return ExitUsage
	}
	run := d.run
	if d.platform {
		run = d.runPlatform
	}
	if err := run(ctx); err != nil {
		return d.streams.fail(ExitFailure, err)
	}
	return ExitSuccess
}

func (d *demo) run(ctx context.Context) error {
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	fleet, stopFleet, err := standin.Start(
		standin.WithDataCentres(demoCentre), standin.WithEngines(demoDomains, demoEngines),
		standin.WithApplications(demoDesk, demoServers),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	defer stopFleet()
	var options []assembler.Option
	if d.logs {
		options = append(options, assembler.WithLogger(logger.New(d.streams.Errors)))
	}
	cluster, stopHosts, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{demoCentre},
		launcher.WithHosts(demoHosts), launcher.WithHostOptions(options...))
	if err != nil {
		return trace.Wrap(err)
	}
	defer stopHosts()
	if err := d.prepare(signalled, cluster, fleet); err != nil {
		return trace.Wrap(err)
	}
	d.print(cluster, fleet)
	<-signalled.Done()
	fmt.Fprintln(d.streams.Out, "stopping")
	for _, h := range cluster.Hosts() {
		h.Stop()
		if err := h.Err(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// prepare publishes the demo's configuration and waits until it is served.
func (d *demo) prepare(ctx context.Context, cluster *launcher.Cluster, fleet *standin.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, demoDeadline)
	defer cancel()
	documents, err := loader.DecodeDocuments("demo", demoDocuments)
	if err != nil {
		return err
	}
	log, closeLog := recorder.New(fleet.LogAddress(demoCentre))
	defer closeLog()
	if _, err := publisher.New(log, "demo").Publish(ctx, documents); err != nil {
		return err
	}
	if err := cluster.AwaitReplicas(ctx, demoModel, demoGroups); err != nil {
		return err
	}
	return cluster.AwaitReplicas(ctx, demoDesk, demoServers)
}

func (d *demo) print(cluster *launcher.Cluster, fleet *standin.Fleet) {
	out := d.streams.Out
	for _, h := range cluster.Hosts() {
		fmt.Fprintf(out, "entry host %s: callers %s, operators %s\n", h.ID(), h.URL(), h.Entry().OperatorURL())
	}
	fmt.Fprintf(out, "log %s, host list %s, weight store %s\n\n",
		fleet.LogAddress(demoCentre), fleet.HostListAddress(), fleet.WeightStoreAddress())
	first := cluster.Hosts()[0].URL()
	fmt.Fprintf(out, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"A quote for forty lamp shades?\"}]}'\n\n", first, demoKey, demoModel)
	fmt.Fprintf(out, "curl %s/services/%s/bookings -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-H 'Idempotency-Key: booking-1' -d '{\"reference\":\"furnace-7\"}'\n\nCtrl-C ends the demo.\n", first, demoDesk, demoKey)
}
