package loader

import (
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// The defaults of the settings.
const (
	// DefaultLinger is the time for which a stopping host goes on serving, so
	// that the balancer notices.
	DefaultLinger = 5 * time.Second
	// DefaultLogLevel is the level of subsystems without one of their own.
	DefaultLogLevel = "info"
)

// TraceExport tells where trace spans go.
type TraceExport string

// The destinations of trace spans.
const (
	// ExportNone makes no spans.
	ExportNone TraceExport = "none"
	// ExportFile writes spans to a file.
	ExportFile TraceExport = "file"
	// ExportOTLP sends spans by OTLP over HTTP.
	ExportOTLP TraceExport = "otlp"
)

// Trace is the setting of the trace export.
type Trace struct {
	export   TraceExport
	file     string
	endpoint string
	sampling float64
}

// Export returns the destination of the spans.
func (t Trace) Export() TraceExport { return t.export }

// File returns the path of the file for spans, "" unless the export is a file.
func (t Trace) File() string { return t.file }

// Endpoint returns the IP number and port for spans, "" unless the export is OTLP.
func (t Trace) Endpoint() string { return t.endpoint }

// Sampling returns the fraction of requests that are traced, from 0 to 1.
func (t Trace) Sampling() float64 { return t.sampling }

// TLS names the files with the certificates of a host. The zero value stands
// for plain connections.
type TLS struct {
	certificateFile string
	keyFile         string
	peerCAFile      string
}

// CertificateFile returns the path of the certificate in PEM form.
func (t TLS) CertificateFile() string { return t.certificateFile }

// KeyFile returns the path of the private key in PEM form.
func (t TLS) KeyFile() string { return t.keyFile }

// PeerCAFile returns the path of the authority that signs the certificates of
// the entry hosts.
func (t TLS) PeerCAFile() string { return t.peerCAFile }

// Enabled reports whether connections are encrypted.
func (t TLS) Enabled() bool { return t.certificateFile != "" }

// Settings is what one process is told at its start.
type Settings struct {
	host              fuchsiapitch.HostID
	dataCentre        fuchsiapitch.DataCentreName
	region            string
	callersAddress    string
	peersAddress      string
	operatorsAddress  string
	logAddress        string
	hostListAddress   string
	weightStore       string
	candidates        []fuchsiapitch.Host
	logLevel          string
	logLevels         map[string]string
	trace             Trace
	tls               TLS
	plain             bool
	operatorTokenFile string
	drainLimit        time.Duration
	linger            time.Duration
}

// Host returns the identifier of the host.
func (s Settings) Host() fuchsiapitch.HostID { return s.host }

// DataCentre returns the data centre of the host.
func (s Settings) DataCentre() fuchsiapitch.DataCentreName { return s.dataCentre }

// Region returns the region of the data centre.
func (s Settings) Region() string { return s.region }

// CallersAddress returns the IP number and port to serve callers at.
func (s Settings) CallersAddress() string { return s.callersAddress }

// PeersAddress returns the IP number and port to serve other entry hosts at.
func (s Settings) PeersAddress() string { return s.peersAddress }

// OperatorsAddress returns the IP number and port to serve operators at.
func (s Settings) OperatorsAddress() string { return s.operatorsAddress }

// LogAddress returns the IP number and port of the platform's log.
func (s Settings) LogAddress() string { return s.logAddress }

// HostListAddress returns the IP number and port of the platform's host list.
func (s Settings) HostListAddress() string { return s.hostListAddress }

// WeightStoreAddress returns the IP number and port of the weight store.
func (s Settings) WeightStoreAddress() string { return s.weightStore }

// Candidates returns the entry hosts to look for, with incarnation 0.
func (s Settings) Candidates() []fuchsiapitch.Host { return s.candidates }

// LogLevel returns the level of a subsystem's log: debug, info, warn or error.
func (s Settings) LogLevel(subsystem string) string {
	if level, ok := s.logLevels[subsystem]; ok {
		return level
	}
	return s.logLevel
}

// Trace returns the setting of the trace export.
func (s Settings) Trace() Trace { return s.trace }

// TLS returns the certificate files.
func (s Settings) TLS() TLS { return s.tls }

// Plain reports whether plain connections are allowed beyond loopback.
func (s Settings) Plain() bool { return s.plain }

// OperatorTokenFile returns the path of the file that holds the bearer token
// of operators, "" for none.
func (s Settings) OperatorTokenFile() string { return s.operatorTokenFile }

// DrainLimit returns the longest time for which a stopping host waits for its
// requests, 0 for no limit.
func (s Settings) DrainLimit() time.Duration { return s.drainLimit }

// Linger returns the time for which a stopping host goes on accepting
// requests, so that the balancer notices.
func (s Settings) Linger() time.Duration { return s.linger }

// SettingsOption changes how settings are read.
type SettingsOption func(*overrides)

// WithOverride replaces the value at a key, such as listen.callers, by a value
// of the command line in YAML. The value is checked like one of the file.
func WithOverride(key, value string) SettingsOption {
	return func(o *overrides) { o.values[key] = value }
}

// ReadSettings reads a settings file. It returns a ProblemsError with every
// problem of the file and of the overrides.
func ReadSettings(path string, options ...SettingsOption) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		p := &problems{}
		p.add(Position{File: path}, Unreadable, err.Error(), "a readable settings file")
		return Settings{}, p.err()
	}
	return DecodeSettings(path, content, options...)
}

// DecodeSettings decodes the content of a settings file. The path only serves
// for messages. It returns a ProblemsError with every problem of the content.
func DecodeSettings(path string, content []byte, options ...SettingsOption) (Settings, error) {
	p := &problems{}
	replaced := &overrides{values: make(map[string]string)}
	for _, o := range options {
		o(replaced)
	}
	bodies := parse(path, content, p)
	if len(p.list) == 0 && len(bodies) != 1 {
		p.add(Position{File: path}, BadValue, "the file", "exactly one YAML document")
	}
	if err := p.err(); err != nil {
		return Settings{}, err
	}
	settings := decodeSettings(newSection(path, "", bodies[0], p, replaced.apply))
	return settings, p.err()
}

func decodeSettings(s *section) Settings {
	settings := Settings{
		host:              fuchsiapitch.HostID(s.nameAt("host")),
		dataCentre:        fuchsiapitch.DataCentreName(s.nameAt("data-centre")),
		region:            s.nameAt("region"),
		logAddress:        s.requiredAddress("log-address"),
		hostListAddress:   s.requiredAddress("host-list-address"),
		weightStore:       s.requiredAddress("weight-store-address"),
		candidates:        decodeCandidates(s),
		trace:             decodeTrace(s.child("trace")),
		tls:               decodeTLS(s),
		plain:             s.flag("plain"),
		operatorTokenFile: s.text("operator-token-file", ""),
		drainLimit:        s.duration("drain-limit", 0, 0),
		linger:            s.duration("linger", DefaultLinger, 0),
	}
	settings.logLevel, settings.logLevels = decodeLogLevels(s.child("log-levels"))
	decodeListen(s, &settings)
	s.finish()
	return settings
}

// decodeListen reads the addresses to listen on. Beyond loopback they need
// certificates, or an explicit statement that plain connections are wanted.
func decodeListen(s *section, settings *Settings) {
	if !s.require("listen", "the addresses for callers, peers and operators") {
		return
	}
	c := s.child("listen")
	settings.callersAddress = c.requiredAddress("callers")
	settings.peersAddress = c.requiredAddress("peers")
	settings.operatorsAddress = c.requiredAddress("operators")
	c.finish()
	if settings.plain || s.has("tls") {
		return
	}
	for _, k := range []string{"callers", "peers", "operators"} {
		if a, err := netip.ParseAddrPort(c.text(k, "")); err == nil && !a.Addr().IsLoopback() {
			c.reject(k, BadValue, "a loopback address, a tls section, or plain: true")
		}
	}
}

func decodeCandidates(s *section) []fuchsiapitch.Host {
	var hosts []fuchsiapitch.Host
	seen := make(map[fuchsiapitch.HostID]bool)
	for _, n := range s.items("candidates", "a list of entry hosts") {
		c := newSection(s.files["candidates"], "candidates", n, s.problems, nil)
		id := fuchsiapitch.HostID(c.nameAt("host"))
		host := fuchsiapitch.NewHost(id, c.requiredAddress("address"), fuchsiapitch.DataCentreName(c.nameAt("data-centre")), 0)
		c.finish()
		if id != "" && seen[id] {
			c.reject("host", Duplicate, "each entry host once")
		}
		seen[id] = true
		hosts = append(hosts, host)
	}
	return hosts
}

func decodeTrace(s *section) Trace {
	t := Trace{
		export:   TraceExport(s.choice("export", string(ExportNone), string(ExportNone), string(ExportFile), string(ExportOTLP))),
		file:     s.text("file", ""),
		endpoint: s.address("endpoint"),
		sampling: s.number("sampling", 1, 0, 1, "a fraction from 0 to 1"),
	}
	if t.export == ExportFile {
		s.require("file", "the path of a file for spans")
	}
	if t.export == ExportOTLP {
		s.require("endpoint", expectedAddress)
	}
	s.finish()
	return t
}

func decodeTLS(s *section) TLS {
	if !s.has("tls") {
		return TLS{}
	}
	c := s.child("tls")
	for _, k := range []string{"certificate-file", "key-file", "peer-ca-file"} {
		c.require(k, "the path of a PEM file")
	}
	t := TLS{
		certificateFile: c.text("certificate-file", ""),
		keyFile:         c.text("key-file", ""),
		peerCAFile:      c.text("peer-ca-file", ""),
	}
	c.finish()
	return t
}

// decodeLogLevels returns the level of every subsystem and those of single ones.
func decodeLogLevels(s *section) (string, map[string]string) {
	levels := make(map[string]string)
	for _, k := range slices.Sorted(maps.Keys(s.values)) {
		levels[k] = s.choice(k, DefaultLogLevel, "debug", "info", "warn", "error")
		if !namePattern.MatchString(k) {
			s.problems.add(s.keys[k], BadValue, "key "+s.path(k), expectedName)
		}
	}
	all, ok := levels["all"]
	if !ok {
		all = DefaultLogLevel
	}
	delete(levels, "all")
	return all, levels
}
