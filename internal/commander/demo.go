package commander

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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
	"github.com/fuchsiapitch/fuchsiapitch/internal/deployer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
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
	demoDeadline                             = time.Minute
)

// demo runs stand-ins and entry hosts in one process.
type demo struct {
	streams Streams
	logs    bool
}

func newDemo(streams Streams) subcommands.Command { return &demo{streams: streams} }

// Name implements subcommands.Command.
func (*demo) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demo) Synopsis() string { return "run stand-ins and three entry hosts in one process" }

// Usage implements subcommands.Command.
func (*demo) Usage() string {
	return `fuchsiapitch demo [--logs]

Starts model engines, an application service, the platform's log, host list and
weight store as stand-ins, and three entry hosts before them, all on 127.0.0.1.
Prints the addresses and two calls to try. Ends gracefully on Ctrl-C.

Example:
  fuchsiapitch demo

`
}

// SetFlags implements subcommands.Command.
func (d *demo) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&d.logs, "logs", false, "write the log lines of the entry hosts to standard error")
}

// Execute implements subcommands.Command.
func (d *demo) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return ExitUsage
	}
	if err := d.run(ctx); err != nil {
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
	deployment, stopHosts, err := deployer.Start(ctx, fleet, []fuchsiapitch.DataCentreName{demoCentre},
		deployer.WithHostsPerCentre(demoHosts), deployer.WithHostOptions(options...))
	if err != nil {
		return trace.Wrap(err)
	}
	defer stopHosts()
	if err := d.prepare(signalled, deployment); err != nil {
		return trace.Wrap(err)
	}
	d.print(deployment, fleet)
	<-signalled.Done()
	fmt.Fprintln(d.streams.Out, "stopping")
	for _, r := range deployment.Hosts() {
		if err := r.Stop(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// prepare puts the demo's configuration in force and waits until it serves.
func (d *demo) prepare(ctx context.Context, deployment *deployer.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, demoDeadline)
	defer cancel()
	model, configuration := demoConfiguration()
	replicas, err := deployment.AssignSingly(ctx, model)
	if err != nil {
		return err
	}
	deployment.Describe(ctx, configuration, replicas)
	for _, r := range deployment.Hosts() {
		err := deployer.Await(ctx, func() bool { return r.Entry().Runner().Configuration().Offset() > 0 })
		if err != nil {
			return err
		}
	}
	return nil
}

func demoConfiguration() (fuchsiapitch.Service, fuchsiapitch.Configuration) {
	hash := sha256.Sum256([]byte(demoKey))
	rank := fuchsiapitch.NewRank("chat", 0, 480*time.Millisecond, 44*time.Millisecond, 1, 0)
	model := fuchsiapitch.NewService(demoModel, fuchsiapitch.ModelService, rank.Name(), fuchsiapitch.WithModel("vidrio", "1"))
	desk := fuchsiapitch.NewService(demoDesk, fuchsiapitch.ApplicationService, rank.Name(),
		fuchsiapitch.WithRoutes(fuchsiapitch.NewRoute("GET", "/lookups", true)))
	customer := fuchsiapitch.NewCustomer("demo", fuchsiapitch.WithKeyHashes(hex.EncodeToString(hash[:])))
	return model, fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{model, desk},
		[]fuchsiapitch.Customer{customer}, []fuchsiapitch.Rank{rank})
}

func (d *demo) print(deployment *deployer.Deployment, fleet *standin.Fleet) {
	out := d.streams.Out
	for _, r := range deployment.Hosts() {
		fmt.Fprintf(out, "entry host %s: callers %s, operators %s\n", r.Entry().Self().ID(), r.Entry().CallerURL(), r.Entry().OperatorURL())
	}
	fmt.Fprintf(out, "log %s, host list %s, weight store %s\n\n",
		fleet.LogAddress(demoCentre), fleet.HostListAddress(), fleet.WeightStoreAddress())
	first := deployment.Hosts()[0].Entry().CallerURL()
	fmt.Fprintf(out, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"A quote for forty lamp shades?\"}]}'\n\n", first, demoKey, demoModel)
	fmt.Fprintf(out, "curl %s/services/%s/bookings -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-H 'Idempotency-Key: booking-1' -d '{\"reference\":\"furnace-7\"}'\n\nCtrl-C ends the demo.\n", first, demoDesk, demoKey)
}
