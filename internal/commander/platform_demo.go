package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/integrator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// runPlatform runs stand-ins of the users' platform and entry hosts before them
// until it is told to stop.
func (d *demo) runPlatform(ctx context.Context) error {
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	installation, end, err := standin.NewInstallation()
	if err != nil {
		return trace.Wrap(err)
	}
	defer end()
	folder, err := os.MkdirTemp("", "fuchsiapitch-demo-")
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() {
		if err := os.RemoveAll(folder); err != nil {
			fmt.Fprintln(d.streams.Errors, err)
		}
	}()
	hosts := demoPlatform{installation: installation, folder: folder, logs: io.Discard}
	if d.logs {
		hosts.logs = d.streams.Errors
	}
	for n := range demoHosts {
		if err := hosts.start(ctx, fmt.Sprintf("host-%d", n+1), signalled.Done()); err != nil {
			return trace.Wrap(err)
		}
	}
	for n, c := range hosts.callers {
		fmt.Fprintf(d.streams.Out, "entry host: callers http://%s operators http://%s\n", c, hosts.operators[n])
	}
	headers := fmt.Sprintf("-H 'Host: %s' %s", standin.HostName, standin.CallerHeaders())
	fmt.Fprintf(d.streams.Out, "\ncurl -N http://%s%sx %s -d 'A quote for forty lamp shades?'\n\n", hosts.callers[0], standin.StreamPath, headers)
	fmt.Fprintf(d.streams.Out, "curl http://%s%sx %s -d 'furnace 7, two hours'\n\nCtrl-C ends the demo.\n", hosts.callers[0], standin.BookPath, headers)
	<-signalled.Done()
	fmt.Fprintln(d.streams.Out, "stopping")
	return trace.Wrap(hosts.await())
}

// demoPlatform holds the entry hosts of a demo.
type demoPlatform struct {
	installation *standin.Installation
	folder       string
	logs         io.Writer
	callers      []string
	operators    []string
	ends         []chan error
}

func (p *demoPlatform) start(ctx context.Context, name string, stop <-chan struct{}) error {
	path, callers, operators, err := p.installation.WriteSettings(p.folder, name)
	if err != nil {
		return err
	}
	host, cleanUp, err := integrator.New(ctx, path, make(chan os.Signal), logger.New(p.logs, logger.WithHost(name)))
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		defer cleanUp()
		ended <- host.Serve(ctx, stop)
	}()
	p.callers, p.operators, p.ends = append(p.callers, callers), append(p.operators, operators), append(p.ends, ended)
	return nil
}

// await waits for the end of all hosts and returns the first failure.
func (p *demoPlatform) await() error {
	var first error
	for _, ended := range p.ends {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}
