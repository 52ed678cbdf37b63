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
	// DefaultLinger is the default time for which a stopping host still accepts
	// requests, so that the load balancer can take it out of rotation.
	DefaultLinger = 5 * time.Second
	// DefaultLogLevel is the log level of subsystems for which none is set.
	DefaultLogLevel = "info"
)

// TraceExport is the destination of trace spans.
type TraceExport string

// The destinations of trace spans.
const (
	// ExportNone disables tracing: no spans are created.
	ExportNone TraceExport = "none"
	// ExportFile writes spans to a file.
	ExportFile TraceExport = "file"
	// ExportOTLP sends spans by OTLP over HTTP.
	ExportOTLP TraceExport = "otlp"
)

// TraceSettings configures the export of trace spans.
type TraceSettings struct {
	export        TraceExport
	file          string
	endpoint      string
	samplingRatio float64
}

// Export returns the destination of the spans.
func (t TraceSettings) Export() TraceExport { return t.export }

// File returns the path of the file for spans. It is set if the export is ExportFile.
func (t TraceSettings) File() string { return t.file }

// Endpoint returns the IP address and port that spans are sent to. It is set if
// the export is ExportOTLP.
func (t TraceSettings) Endpoint() string { return t.endpoint }

// SamplingRatio returns the fraction of requests that are traced, from 0 to 1.
func (t TraceSettings) SamplingRatio() float64 { return t.samplingRatio }

// TLSFiles holds the paths of a host's certificate files. The zero value stands
// for plaintext connections.
type TLSFiles struct {
	certificateFile string
	keyFile         string
	peerCAFile      string
}

// CertificateFile returns the path of the certificate in PEM form.
func (t TLSFiles) CertificateFile() string { return t.certificateFile }

// KeyFile returns the path of the private key in PEM form.
func (t TLSFiles) KeyFile() string { return t.keyFile }

// PeerCAFile returns the path of the certificate, in PEM form, of the authority
// that signs the certificates of the entry hosts.
func (t TLSFiles) PeerCAFile() string { return t.peerCAFile }

// Enabled reports whether connections are encrypted.
func (t TLSFiles) Enabled() bool { return t.certificateFile != "" }

// Settings holds the settings of one process, which are read at its start.
type Settings struct {
	host               fuchsiapitch.HostID
	dataCentre         fuchsiapitch.DataCentreName
	region             string
	clientsAddress     string
	peersAddress       string
	operatorsAddress   string
	logAddress         string
	hostListAddress    string
	weightStoreAddress string
	candidates         []fuchsiapitch.Host
	defaultLogLevel    string
	subsystemLogLevels map[string]string
	trace              TraceSettings
	tls                TLSFiles
	plaintextAllowed   bool
	operatorTokenFile  string
	drainLimit         time.Duration
	linger             time.Duration
}

// Host returns the identifier of the host.
func (s Settings) Host() fuchsiapitch.HostID { return s.host }

// DataCentre returns the data centre of the host.
func (s Settings) DataCentre() fuchsiapitch.DataCentreName { return s.dataCentre }

// Region returns the region of the data centre.
func (s Settings) Region() string { return s.region }

// ClientsAddress returns the IP address and port on which clients are served.
func (s Settings) ClientsAddress() string { return s.clientsAddress }

// PeersAddress returns the IP address and port on which other entry hosts are
// served.
func (s Settings) PeersAddress() string { return s.peersAddress }

// OperatorsAddress returns the IP address and port on which operators are served.
func (s Settings) OperatorsAddress() string { return s.operatorsAddress }

// LogAddress returns the IP address and port of the platform's log.
func (s Settings) LogAddress() string { return s.logAddress }

// HostListAddress returns the IP address and port of the platform's host list.
func (s Settings) HostListAddress() string { return s.hostListAddress }

// WeightStoreAddress returns the IP address and port of the weight store.
func (s Settings) WeightStoreAddress() string { return s.weightStoreAddress }

// Candidates returns the entry hosts to contact as peers. Their incarnations are
// not known from the settings and are 0.
func (s Settings) Candidates() []fuchsiapitch.Host { return s.candidates }

// LogLevel returns the log level of a subsystem: debug, info, warn or error.
func (s Settings) LogLevel(subsystem string) string {
	if level, ok := s.subsystemLogLevels[subsystem]; ok {
		return level
	}
	return s.defaultLogLevel
}

// Trace returns the settings of the trace export.
func (s Settings) Trace() TraceSettings { return s.trace }

// TLS returns the paths of the certificate files.
func (s Settings) TLS() TLSFiles { return s.tls }

// PlaintextAllowed reports whether plaintext connections are allowed on addresses
// other than loopback.
func (s Settings) PlaintextAllowed() bool { return s.plaintextAllowed }

// OperatorTokenFile returns the path of the file with the bearer token of
// operators, "" for none.
func (s Settings) OperatorTokenFile() string { return s.operatorTokenFile }

// DrainLimit returns the maximum time for which a stopping host waits for its
// requests in flight, 0 for no limit.
func (s Settings) DrainLimit() time.Duration { return s.drainLimit }

// Linger returns the time for which a stopping host still accepts requests, so
// that the load balancer can take it out of rotation.
func (s Settings) Linger() time.Duration { return s.linger }

// SettingsOption sets one option of ReadSettings and DecodeSettings.
type SettingsOption func(*overrides)

// WithOverride replaces the value at a key, such as listen.callers, with a value
// from the command line in YAML. It is checked in the same way as a value in the
// file.
func WithOverride(key, value string) SettingsOption {
	return func(o *overrides) { o.values[key] = value }
}

// ReadSettings reads a settings file. It returns a ProblemsError with all problems
// of the file and of the overrides.
func ReadSettings(path string, options ...SettingsOption) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		p := &problems{}
		p.add(Position{File: path}, Unreadable, err.Error(), "a readable settings file")
		return Settings{}, p.err()
	}
	return DecodeSettings(path, content, options...)
}

// DecodeSettings decodes the content of a settings file. The path is used only in
// messages. It returns a ProblemsError with all problems of the content and of the
// overrides.
func DecodeSettings(path string, content []byte, options ...SettingsOption) (Settings, error) {
	p := &problems{}
	flagOverrides := &overrides{values: make(map[string]string)}
	for _, o := range options {
		o(flagOverrides)
	}
	bodies := parse(path, content, p)
	if len(p.list) == 0 && len(bodies) != 1 {
		p.add(Position{File: path}, BadValue, "the file", "exactly one YAML document")
	}
	if err := p.err(); err != nil {
		return Settings{}, err
	}
	settings := decodeSettings(newSection(path, "", bodies[0], p, flagOverrides.apply))
	return settings, p.err()
}

func decodeSettings(s *section) Settings {
	settings := Settings{
		host:               fuchsiapitch.HostID(s.requiredName("host")),
		dataCentre:         fuchsiapitch.DataCentreName(s.requiredName("data-centre")),
		region:             s.requiredName("region"),
		logAddress:         s.requiredAddress("log-address"),
		hostListAddress:    s.requiredAddress("host-list-address"),
		weightStoreAddress: s.requiredAddress("weight-store-address"),
		candidates:         decodeCandidates(s),
		trace:              decodeTrace(s.subsection("trace")),
		tls:                decodeTLS(s),
		plaintextAllowed:   s.boolean("plain"),
		operatorTokenFile:  s.text("operator-token-file", ""),
		drainLimit:         s.duration("drain-limit", 0, 0),
		linger:             s.duration("linger", DefaultLinger, 0),
	}
	settings.defaultLogLevel, settings.subsystemLogLevels = decodeLogLevels(s.subsection("log-levels"))
	decodeListenAddresses(s, &settings)
	s.reportUnknownKeys()
	return settings
}

// decodeListenAddresses reads the addresses to listen on. Addresses other than
// loopback require certificates, or plain: true to allow plaintext connections.
func decodeListenAddresses(s *section, settings *Settings) {
	if !s.require("listen", "the addresses for callers, peers and operators") {
		return
	}
	c := s.subsection("listen")
	settings.clientsAddress = c.requiredAddress("callers")
	settings.peersAddress = c.requiredAddress("peers")
	settings.operatorsAddress = c.requiredAddress("operators")
	c.reportUnknownKeys()
	if settings.plaintextAllowed || s.has("tls") {
		return
	}
	for _, k := range []string{"callers", "peers", "operators"} {
		if listenAddress, err := netip.ParseAddrPort(c.text(k, "")); err == nil && !listenAddress.Addr().IsLoopback() {
			c.reportValue(k, BadValue, "a loopback address, a tls section, or plain: true")
		}
	}
}

func decodeCandidates(s *section) []fuchsiapitch.Host {
	var hosts []fuchsiapitch.Host
	seen := make(map[fuchsiapitch.HostID]bool)
	for _, n := range s.listItems("candidates", "a list of entry hosts") {
		c := newSection(s.valueFiles["candidates"], "candidates", n, s.problems, nil)
		id := fuchsiapitch.HostID(c.requiredName("host"))
		host := fuchsiapitch.NewHost(id, c.requiredAddress("address"), fuchsiapitch.DataCentreName(c.requiredName("data-centre")), 0)
		c.reportUnknownKeys()
		if id != "" && seen[id] {
			c.reportValue("host", Duplicate, "each entry host once")
		}
		seen[id] = true
		hosts = append(hosts, host)
	}
	return hosts
}

func decodeTrace(s *section) TraceSettings {
	t := TraceSettings{
		export:        TraceExport(s.choice("export", string(ExportNone), string(ExportNone), string(ExportFile), string(ExportOTLP))),
		file:          s.text("file", ""),
		endpoint:      s.address("endpoint"),
		samplingRatio: s.number("sampling", 1, 0, 1, "a fraction from 0 to 1"),
	}
	if t.export == ExportFile {
		s.require("file", "the path of a file for spans")
	}
	if t.export == ExportOTLP {
		s.require("endpoint", expectedAddress)
	}
	s.reportUnknownKeys()
	return t
}

func decodeTLS(s *section) TLSFiles {
	if !s.has("tls") {
		return TLSFiles{}
	}
	c := s.subsection("tls")
	for _, k := range []string{"certificate-file", "key-file", "peer-ca-file"} {
		c.require(k, "the path of a PEM file")
	}
	t := TLSFiles{
		certificateFile: c.text("certificate-file", ""),
		keyFile:         c.text("key-file", ""),
		peerCAFile:      c.text("peer-ca-file", ""),
	}
	c.reportUnknownKeys()
	return t
}

// decodeLogLevels returns the default log level and the levels of single
// subsystems.
func decodeLogLevels(s *section) (string, map[string]string) {
	levels := make(map[string]string)
	for _, k := range slices.Sorted(maps.Keys(s.values)) {
		levels[k] = s.choice(k, DefaultLogLevel, "debug", "info", "warn", "error")
		if !namePattern.MatchString(k) {
			s.problems.add(s.keyPositions[k], BadValue, "key "+s.fullKey(k), expectedName)
		}
	}
	defaultLevel, ok := levels["all"]
	if !ok {
		defaultLevel = DefaultLogLevel
	}
	delete(levels, "all")
	return defaultLevel, levels
}
