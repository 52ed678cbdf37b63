package commander

import (
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/integrator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	"github.com/fuchsiapitch/fuchsiapitch/internal/securer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracer"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// subsystems are the names that log levels can be set for.
var subsystems = []string{"assembler", "runner"}

// serve runs one entry host.
type serve struct {
	streams   Streams
	path      string
	overrides overrides
}

func newServe(streams Streams) subcommands.Command { return &serve{streams: streams} }

// Name implements subcommands.Command.
func (*serve) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serve) Synopsis() string { return "run an entry host" }

// Usage implements subcommands.Command.
func (*serve) Usage() string {
	return `fuchsiapitch serve --settings FILE [--set KEY=VALUE]...

Runs an entry host until it is told to stop by SIGTERM, SIGINT or the command
drain. It then finishes every request before it ends.
Exit code 0 after a stop, 1 after a failure, 2 for wrong settings.

On the users' platform the settings are those of the platform's file, which the
variable ` + platform.SettingsVariable + ` names; the flags are not used then.
SIGHUP has the file read again.

Examples:
  fuchsiapitch serve --settings /etc/fuchsiapitch/settings.yaml
  fuchsiapitch serve --settings settings.yaml --set listen.callers=127.0.0.1:8080

`
}

// SetFlags implements subcommands.Command.
func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.path, "settings", "settings.yaml", "settings file")
	f.Var(&s.overrides, "set", "setting in place of that of the file, as KEY=VALUE; may be repeated")
}

// overrides collects the settings of the command line.
type overrides struct{ options []loader.SettingsOption }

// String implements flag.Value.
func (*overrides) String() string { return "" }

// Set implements flag.Value.
func (o *overrides) Set(text string) error {
	key, value, found := strings.Cut(text, "=")
	if !found {
		return &OverrideError{Text: text}
	}
	o.options = append(o.options, loader.WithOverride(key, value))
	return nil
}

// Execute implements subcommands.Command.
func (s *serve) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return ExitUsage
	}
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		return s.servePlatform(ctx, path)
	}
	settings, err := loader.ReadSettings(s.path, s.overrides.options...)
	if err != nil {
		return s.streams.fail(ExitUsage, err)
	}
	if err := s.run(ctx, settings); err != nil {
		return s.streams.fail(ExitFailure, err)
	}
	return ExitSuccess
}

// servePlatform runs an entry host with the settings of the users' platform.
func (s *serve) servePlatform(ctx context.Context, path string) subcommands.ExitStatus {
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return s.streams.fail(ExitUsage, err)
	}
	lines, flush := logger.NewBounded(s.streams.Out)
	defer flush()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	host, cleanUp, err := integrator.New(ctx, path, reload, logger.New(lines, logger.WithHost(string(settings.Host))))
	var wrong *platform.SettingsError
	switch {
	case errors.As(err, &wrong):
		return s.streams.fail(ExitUsage, err)
	case err != nil:
		return s.streams.fail(ExitFailure, err)
	}
	debug.SetMemoryLimit(host.Settings().MemoryLimitBytes / memoryShare)
	defer cleanUp()
	if err := host.Serve(ctx, signalled.Done()); err != nil {
		return s.streams.fail(ExitFailure, err)
	}
	return ExitSuccess
}

// memoryShare is the part of the platform's memory limit, as a divisor, at which
// the garbage collector works harder.
const memoryShare = 2

func (s *serve) run(ctx context.Context, settings loader.Settings) error {
	options, cleanUpOptions, err := hostOptions(ctx, settings, s.streams.Out)
	if err != nil {
		return trace.Wrap(err)
	}
	defer cleanUpOptions()
	listeners, err := listen(ctx, settings)
	if err != nil {
		return trace.Wrap(err)
	}
	outside, closeOutside := assembler.Connect(assembler.Addresses{
		Log: settings.LogAddress(), HostList: settings.HostListAddress(), WeightStore: settings.WeightStoreAddress(),
	})
	defer closeOutside()
	self := fuchsiapitch.NewHost(settings.Host(), settings.PeersAddress(), settings.DataCentre(), assembler.NewIncarnation())
	entry, cleanUp := assembler.New(self, listeners, outside, options...)
	defer cleanUp()
	return trace.Wrap(serveUntilSignal(ctx, entry))
}

// serveUntilSignal stops an entry host gracefully at the first signal.
func serveUntilSignal(ctx context.Context, entry *assembler.EntryHost) error {
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- entry.Serve(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-signalled.Done():
	}
	entry.Stop()
	return <-ended
}

func listen(ctx context.Context, settings loader.Settings) (assembler.Listeners, error) {
	var config net.ListenConfig
	var listeners [3]net.Listener
	for n, a := range []string{settings.CallersAddress(), settings.PeersAddress(), settings.OperatorsAddress()} {
		l, err := config.Listen(ctx, "tcp", a)
		if err != nil {
			return assembler.Listeners{}, err
		}
		listeners[n] = l
	}
	return assembler.Listeners{Callers: listeners[0], Peers: listeners[1], Operators: listeners[2]}, nil
}

// hostOptions returns the options of an entry host that its settings ask for.
func hostOptions(ctx context.Context, settings loader.Settings, logs io.Writer) ([]assembler.Option, func(), error) {
	spans, stopSpans, err := tracer.New(ctx, traceOptions(settings.Trace())...)
	if err != nil {
		return nil, nil, err
	}
	options := []assembler.Option{
		assembler.WithCandidates(settings.Candidates()...),
		assembler.WithLogger(newLogger(settings, logs)),
		assembler.WithTracer(spans),
		assembler.WithLinger(settings.Linger()),
		assembler.WithDrainLimit(settings.DrainLimit()),
	}
	secure, err := secureOptions(settings)
	if err != nil {
		stopSpans()
		return nil, nil, err
	}
	return append(options, secure...), stopSpans, nil
}

func traceOptions(t loader.Trace) []tracer.Option {
	options := []tracer.Option{tracer.WithSampling(t.Sampling())}
	switch t.Export() {
	case loader.ExportFile:
		options = append(options, tracer.WithFile(t.File()))
	case loader.ExportOTLP:
		options = append(options, tracer.WithEndpoint("http://"+t.Endpoint()+"/v1/traces"))
	case loader.ExportNone:
	}
	return options
}

func newLogger(settings loader.Settings, w io.Writer) *logger.Logger {
	options := []logger.Option{
		logger.WithHost(string(settings.Host())), logger.WithLevel("", parseLevel(settings.LogLevel(""))),
	}
	for _, n := range subsystems {
		options = append(options, logger.WithLevel(n, parseLevel(settings.LogLevel(n))))
	}
	return logger.New(w, options...)
}

// parseLevel returns a log level. The loader has checked its name.
func parseLevel(name string) zerolog.Level {
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

func secureOptions(settings loader.Settings) ([]assembler.Option, error) {
	var options []assembler.Option
	if path := settings.OperatorTokenFile(); path != "" {
		token, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		options = append(options, assembler.WithOperatorToken(strings.TrimSpace(string(token))))
	}
	if t := settings.TLS(); t.Enabled() {
		s, err := securer.New(t.CertificateFile(), t.KeyFile(), t.PeerCAFile())
		if err != nil {
			return nil, err
		}
		options = append(options, assembler.WithCallersTLS(s.Callers()), assembler.WithPeersTLS(s.Peers()))
	}
	return options, nil
}
