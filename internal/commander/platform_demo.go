package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	"github.com/fuchsiapitch/fuchsiapitch/internal/platformassembler"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// runPlatform runs stand-ins of the users' platform and entry hosts in front of
// them until a signal arrives.
func (d *demo) runPlatform(ctx context.Context) error {
	signalCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	installation, stopInstallation, err := standin.StartInstallation()
	if err != nil {
		return trace.Wrap(err)
	}
	defer stopInstallation()
	settingsFolder, err := os.MkdirTemp("", "fuchsiapitch-demo-")
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() {
		if err := os.RemoveAll(settingsFolder); err != nil {
			fmt.Fprintln(d.streams.Stderr, err)
		}
	}()
	hosts := platformDemoHosts{installation: installation, settingsFolder: settingsFolder, logOutput: io.Discard}
	if d.showLogs {
		hosts.logOutput = d.streams.Stderr
	}
	for n := range demoEntryHosts {
		if err := hosts.startHost(ctx, fmt.Sprintf("host-%d", n+1), signalCtx.Done()); err != nil {
			return trace.Wrap(err)
		}
	}
	for n, c := range hosts.clientAddresses {
		fmt.Fprintf(d.streams.Stdout, "entry host: callers http://%s operators http://%s\n", c, hosts.operatorAddresses[n])
	}
	headers := fmt.Sprintf("-H 'Host: %s' %s", standin.HostName, standin.CurlHeaderArguments())
	fmt.Fprintf(d.streams.Stdout, "\ncurl -N http://%s%sx %s -d 'A quote for forty lamp shades?'\n\n", hosts.clientAddresses[0], standin.StreamPathPrefix, headers)
	fmt.Fprintf(d.streams.Stdout, "curl http://%s%sx %s -d 'furnace 7, two hours'\n\nCtrl-C ends the demo.\n", hosts.clientAddresses[0], standin.BookPathPrefix, headers)
	<-signalCtx.Done()
	fmt.Fprintln(d.streams.Stdout, "stopping")
	return trace.Wrap(hosts.awaitEnd())
}

// platformDemoHosts starts the entry hosts of a platform demo and awaits their end.
type platformDemoHosts struct {
	installation      *standin.Installation
	settingsFolder    string
	logOutput         io.Writer
	clientAddresses   []string
	operatorAddresses []string
	serveResults      []chan error
}

func (p *platformDemoHosts) startHost(ctx context.Context, name string, stop <-chan struct{}) error {
	settingsPath, clientAddress, operatorAddress, err := p.installation.WriteSettings(p.settingsFolder, name)
	if err != nil {
		return err
	}
	host, cleanUp, err := platformassembler.New(ctx, settingsPath, make(chan os.Signal), logger.New(p.logOutput, logger.WithHost(name)))
	if err != nil {
		return err
	}
	serveResult := make(chan error, 1)
	go func() {
		defer cleanUp()
		serveResult <- host.Serve(ctx, stop)
	}()
	p.clientAddresses, p.operatorAddresses, p.serveResults = append(p.clientAddresses, clientAddress), append(p.operatorAddresses, operatorAddress), append(p.serveResults, serveResult)
	return nil
}

// awaitEnd waits until all hosts have stopped and returns the first error.
func (p *platformDemoHosts) awaitEnd() error {
	var firstError error
	for _, serveResult := range p.serveResults {
		if err := <-serveResult; err != nil && firstError == nil {
			firstError = err
		}
	}
	return firstError
}
