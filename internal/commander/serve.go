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
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	"github.com/fuchsiapitch/fuchsiapitch/internal/platformassembler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/securer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracer"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// logSubsystems are the names of the subsystems whose log level can be set.
var logSubsystems = []string{"assembler", "runner"}

// serve runs one entry host.
type serve struct {
	streams          Streams
	settingsPath     string
	settingOverrides overrideFlag
}

func newServe(streams Streams) subcommands.Command { return &serve{streams: streams} }

// Name implements subcommands.Command.
func (*serve) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serve) Synopsis() string { return "run an entry host" }

// Usage implements subcommands.Command.
func (*serve) Usage() string {
	return `fuchsiapitch serve --settings FILE [--set KEY=VALUE]...

Runs an entry host until SIGTERM, SIGINT or the command drain stops it. It then
finishes every request before it exits.
Exit code 0 after a stop, 1 after a failure, 2 for wrong settings.

On the users' platform the settings are those of the platform's file, which the
variable ` + platform.SettingsVariable + ` names; the flags are not used then.
SIGHUP makes the host read the file again. Otherwise the settings are read at the
start only, and SIGHUP changes nothing.

Examples:
  fuchsiapitch serve --settings /etc/fuchsiapitch/settings.yaml
  fuchsiapitch serve --settings settings.yaml --set listen.callers=127.0.0.1:8080

`
}

// SetFlags implements subcommands.Command.
func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settingsPath, "settings", "settings.yaml", "settings file")
	f.Var(&s.settingOverrides, "set", "setting that overrides that of the file, as KEY=VALUE; may be repeated")
}

// overrideFlag collects the settings given on the command line.
type overrideFlag struct{ options []loader.SettingsOption }

// String implements flag.Value.
func (*overrideFlag) String() string { return "" }

// Set implements flag.Value.
func (o *overrideFlag) Set(text string) error {
	key, value, found := strings.Cut(text, "=")
	if !found {
		return &OverrideError{Argument: text}
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
	signals, release := catchSignals(ctx)
	defer release()
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		return s.servePlatform(ctx, path, signals)
	}
	settings, err := loader.ReadSettings(s.settingsPath, s.settingOverrides.options...)
	if err != nil {
		return s.streams.fail(ExitUsage, err)
	}
	if err := s.serveHost(ctx, settings, signals); err != nil {
		return s.streams.fail(ExitFailure, err)
	}
	return ExitSuccess
}

// hostSignals are the signals that an entry host handles.
type hostSignals struct {
	// stop is closed at the first signal to stop.
	stop <-chan struct{}
	// reload receives the signals to read the settings again.
	reload <-chan os.Signal
}

// catchSignals handles the signals for an entry host. By default each of them ends the process
// at once, with all requests in flight. SIGHUP is handled until the process ends, the
// signals to stop until release is called. SIGPIPE, which follows a line of the log that nobody
// reads, is ignored.
func catchSignals(ctx context.Context) (signals hostSignals, release func()) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	stopCtx, release := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	return hostSignals{stop: stopCtx.Done(), reload: reload}, release
}

// servePlatform runs an entry host with the settings of the users' platform.
func (s *serve) servePlatform(ctx context.Context, settingsPath string, signals hostSignals) subcommands.ExitStatus {
	settings, err := platform.ReadSettings(settingsPath)
	if err != nil {
		return s.streams.fail(ExitUsage, err)
	}
	nonBlockingOutput, flush := logger.NewNonBlockingWriter(s.streams.Stdout)
	defer flush()
	host, cleanUp, err := platformassembler.New(ctx, settingsPath, signals.reload, logger.New(nonBlockingOutput, logger.WithHost(string(settings.Host))))
	var settingsError *platform.SettingsError
	switch {
	case errors.As(err, &settingsError):
		return s.streams.fail(ExitUsage, err)
	case err != nil:
		return s.streams.fail(ExitFailure, err)
	}
	debug.SetMemoryLimit(host.Settings().MemoryLimitBytes / memoryLimitDivisor)
	defer cleanUp()
	if err := host.Serve(ctx, signals.stop); err != nil {
		return s.streams.fail(ExitFailure, err)
	}
	return ExitSuccess
}

// memoryLimitDivisor divides the platform's memory limit. The quotient is the soft
// limit from which the garbage collector runs more often.
const memoryLimitDivisor = 2

func (s *serve) serveHost(ctx context.Context, settings loader.Settings, signals hostSignals) error {
	hostLogger := newLogger(settings, s.streams.Stdout)
	options, closeOptions, err := entryHostOptions(ctx, settings, hostLogger)
	if err != nil {
		return trace.Wrap(err)
	}
	defer closeOptions()
	listeners, err := openListeners(ctx, settings)
	if err != nil {
		return trace.Wrap(err)
	}
	clients, closeClients := assembler.Connect(assembler.Addresses{
		Log: settings.LogAddress(), HostList: settings.HostListAddress(), WeightStore: settings.WeightStoreAddress(),
	})
	defer closeClients()
	self := fuchsiapitch.NewHost(settings.Host(), settings.PeersAddress(), settings.DataCentre(), assembler.NewIncarnation())
	entryHost, closeEntryHost := assembler.New(self, listeners, clients, options...)
	defer closeEntryHost()
	return trace.Wrap(serveUntilSignal(ctx, entryHost, signals, hostLogger.For("commander")))
}

// serveUntilSignal runs an entry host and stops it gracefully at the first signal to stop.
func serveUntilSignal(ctx context.Context, entryHost *assembler.EntryHost, signals hostSignals, log zerolog.Logger) error {
	serveResult := make(chan error, 1)
	go func() { serveResult <- entryHost.Serve(ctx) }()
	for {
		select {
		case err := <-serveResult:
			return err
		case <-signals.stop:
			entryHost.Stop()
			signals.stop = nil
		case <-signals.reload:
			log.Info().Msg("settings are not reloaded on a signal; changes take effect at the next start")
		}
	}
}

// openListeners opens the listeners at the addresses of the settings.
func openListeners(ctx context.Context, settings loader.Settings) (assembler.Listeners, error) {
	var listenConfig net.ListenConfig
	var listeners [3]net.Listener
	for n, a := range []string{settings.ClientsAddress(), settings.PeersAddress(), settings.OperatorsAddress()} {
		listener, err := listenConfig.Listen(ctx, "tcp", a)
		if err != nil {
			return assembler.Listeners{}, err
		}
		listeners[n] = listener
	}
	return assembler.Listeners{Clients: listeners[0], Peers: listeners[1], Operators: listeners[2]}, nil
}

// entryHostOptions returns the options that the settings define, and a function that
// stops the tracer.
func entryHostOptions(ctx context.Context, settings loader.Settings, hostLogger *logger.Logger) ([]assembler.Option, func(), error) {
	spanTracer, stopTracer, err := tracer.New(ctx, traceOptions(settings.Trace())...)
	if err != nil {
		return nil, nil, err
	}
	options := []assembler.Option{
		assembler.WithCandidates(settings.Candidates()...),
		assembler.WithLogger(hostLogger),
		assembler.WithTracer(spanTracer),
		assembler.WithLinger(settings.Linger()),
		assembler.WithDrainLimit(settings.DrainLimit()),
	}
	security, err := securityOptions(settings)
	if err != nil {
		stopTracer()
		return nil, nil, err
	}
	return append(options, security...), stopTracer, nil
}

func traceOptions(t loader.TraceSettings) []tracer.Option {
	options := []tracer.Option{tracer.WithSamplingRatio(t.SamplingRatio())}
	switch t.Export() {
	case loader.ExportFile:
		options = append(options, tracer.WithFile(t.File()))
	case loader.ExportOTLP:
		options = append(options, tracer.WithEndpoint("http://"+t.Endpoint()+"/v1/traces"))
	case loader.ExportNone:
	}
	return options
}

func newLogger(settings loader.Settings, output io.Writer) *logger.Logger {
	options := []logger.Option{
		logger.WithHost(string(settings.Host())), logger.WithLevel("", parseLevel(settings.LogLevel(""))),
	}
	for _, n := range logSubsystems {
		options = append(options, logger.WithLevel(n, parseLevel(settings.LogLevel(n))))
	}
	return logger.New(output, options...)
}

// parseLevel returns the log level of a name. The loader has validated the name.
func parseLevel(name string) zerolog.Level {
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// securityOptions returns the options for the operator token and TLS.
func securityOptions(settings loader.Settings) ([]assembler.Option, error) {
	var options []assembler.Option
	if path := settings.OperatorTokenFile(); path != "" {
		token, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		options = append(options, assembler.WithOperatorToken(strings.TrimSpace(string(token))))
	}
	if t := settings.TLS(); t.Enabled() {
		tlsConfigs, err := securer.New(t.CertificateFile(), t.KeyFile(), t.PeerCAFile())
		if err != nil {
			return nil, err
		}
		options = append(options, assembler.WithServerTLS(tlsConfigs.ServerTLSConfig()), assembler.WithPeerTLS(tlsConfigs.PeerTLSConfig()))
	}
	return options, nil
}
