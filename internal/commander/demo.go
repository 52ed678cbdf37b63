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
	demoDataCentre         fuchsiapitch.DataCentreName = "gt-xela"
	demoModelService       fuchsiapitch.ServiceName    = "vidrio-llm"
	demoApplicationService fuchsiapitch.ServiceName    = "taller-app"
	demoAPIKey                                         = "sk-demo"
	demoEntryHosts                                     = 3
	demoFabricDomains                                  = 2
	demoEnginesPerDomain                               = 4
	demoApplicationServers                             = 2
	demoModelReplicas                                  = 2
	demoStartTimeout                                   = time.Minute
)

//go:embed documents/demo.fuchsiapitch.yaml
var demoDocuments []byte

// demo runs stand-ins and entry hosts in one process until a signal arrives.
type demo struct {
	streams    Streams
	showLogs   bool
	onPlatform bool
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
weight store as stand-ins, and three entry hosts in front of them, all on 127.0.0.1.
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
	f.BoolVar(&d.showLogs, "logs", false, "write the log lines of the entry hosts to standard error")
	f.BoolVar(&d.onPlatform, "platform", false, "run on stand-ins of the users' platform")
}

// Execute implements subcommands.Command.
func (d *demo) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return ExitUsage
	}
	run := d.run
	if d.onPlatform {
		run = d.runPlatform
	}
	if err := run(ctx); err != nil {
		return d.streams.fail(ExitFailure, err)
	}
	return ExitSuccess
}

func (d *demo) run(ctx context.Context) error {
	signalCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	fleet, stopFleet, err := standin.Start(
		standin.WithDataCentres(demoDataCentre), standin.WithEngines(demoFabricDomains, demoEnginesPerDomain),
		standin.WithApplications(demoApplicationService, demoApplicationServers),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	defer stopFleet()
	var options []assembler.Option
	if d.showLogs {
		options = append(options, assembler.WithLogger(logger.New(d.streams.Stderr)))
	}
	cluster, stopHosts, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{demoDataCentre},
		launcher.WithHostsPerDataCentre(demoEntryHosts), launcher.WithHostOptions(options...))
	if err != nil {
		return trace.Wrap(err)
	}
	defer stopHosts()
	if err := d.publishAndAwait(signalCtx, cluster, fleet); err != nil {
		return trace.Wrap(err)
	}
	d.printInstructions(cluster, fleet)
	<-signalCtx.Done()
	fmt.Fprintln(d.streams.Stdout, "stopping")
	for _, h := range cluster.Hosts() {
		h.Stop()
		if err := h.Err(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// publishAndAwait publishes the demo's configuration and waits until all replicas
// of its services are routable.
func (d *demo) publishAndAwait(ctx context.Context, cluster *launcher.Cluster, fleet *standin.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	documents, err := loader.DecodeDocuments("demo", demoDocuments)
	if err != nil {
		return err
	}
	log, closeLog := recorder.New(fleet.LogAddress(demoDataCentre))
	defer closeLog()
	if _, err := publisher.New(log, "demo").Publish(ctx, documents); err != nil {
		return err
	}
	if err := cluster.AwaitReplicas(ctx, demoModelService, demoModelReplicas); err != nil {
		return err
	}
	return cluster.AwaitReplicas(ctx, demoApplicationService, demoApplicationServers)
}

func (d *demo) printInstructions(cluster *launcher.Cluster, fleet *standin.Fleet) {
	out := d.streams.Stdout
	for _, h := range cluster.Hosts() {
		fmt.Fprintf(out, "entry host %s: callers %s, operators %s\n", h.ID(), h.URL(), h.EntryHost().OperatorURL())
	}
	fmt.Fprintf(out, "log %s, host list %s, weight store %s\n\n",
		fleet.LogAddress(demoDataCentre), fleet.HostListAddress(), fleet.WeightStoreAddress())
	firstURL := cluster.Hosts()[0].URL()
	fmt.Fprintf(out, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"A quote for forty lamp shades?\"}]}'\n\n", firstURL, demoAPIKey, demoModelService)
	fmt.Fprintf(out, "curl %s/services/%s/bookings -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-H 'Idempotency-Key: booking-1' -d '{\"reference\":\"furnace-7\"}'\n\nCtrl-C ends the demo.\n", firstURL, demoApplicationService, demoAPIKey)
}
