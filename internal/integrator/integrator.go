// Package integrator puts an entry host together for the users' platform: the
// platform's settings, store and servers around the product's own decisions.
package integrator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/pacer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/relayer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// connectLimit is the time for a new connection to a server or the store:
	// several round trips between data centres, and one packet sent again.
	connectLimit = 1200 * time.Millisecond
	// requestConnectLimit is that for a request: some round trips, well below the
	// shortest latency objective. Another server is tried after it.
	requestConnectLimit = 150 * time.Millisecond
	// silenceLimit is the time without an acknowledgement after which a
	// connection is given up.
	silenceLimit = 3 * time.Second
	// serversPause is the time between two reads of the list of servers. A server
	// that leaves must get no new requests within two seconds.
	serversPause = 800 * time.Millisecond
	// newsWait is how long a read of a topic that rarely changes waits for news.
	newsWait = 15 * time.Second
	// configurationWait is that of the configuration, which must be in force within
	// two seconds even if a connection has gone silent.
	configurationWait = 5 * time.Second
	// announcePause is the time between tries to enter the host in the store.
	announcePause = time.Second
	// listenOn is the time during a stop in which new connections are still
	// taken, while the balancer notices that the host is not ready.
	listenOn = 2500 * time.Millisecond
	// stopMargin is kept between the end of a stop and the end by force.
	stopMargin = 300 * time.Millisecond
	// longestIdle is how long a connection of a caller stays open without a request
	// if the configuration sets no limit.
	longestIdle = 60 * time.Second
	// headerLimit is the time that a caller has to send a header before the
	// configuration says otherwise.
	headerLimit = 10 * time.Second
	// headerBytes is the largest header of a request.
	headerBytes = 64 << 10
)

// Settings returns the settings in force.
func (h *Host) Settings() platform.Settings { return *h.settings.Load() }

// Host is one entry host on the platform.
type Host struct {
	path     string
	settings atomic.Pointer[platform.Settings]
	reload   <-chan os.Signal
	logs     *logger.Logger
	log      zerolog.Logger
	meter    *meter.Meter
	calls    *platform.Store
	store    *pacer.Pacer
	driver   *driver.Driver
	relayer  *relayer.Relayer
	self     conductor.Peer
	started  int64
	listed   atomic.Bool
	servers  map[string]fuchsiapitch.ServerReport
	// hosts carries questions to other hosts.
	hosts      *http.Transport
	stateMutex sync.Mutex
	state      hostState
	// storeFails states that the last read of the list failed.
	storeFails atomic.Bool
	// news follow the topics that are read with long polls.
	configuration *tracker.Tracker
	news          []*tracker.Tracker
}

// New returns a host that is not yet at work, with settings from a file that is
// read again at each signal to reload. What it holds ends with the context.
func New(ctx context.Context, path string, reload <-chan os.Signal, logs *logger.Logger) (*Host, func(), error) {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return nil, nil, err
	}
	address := net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort))
	var listen net.ListenConfig
	socket, err := listen.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, nil, err
	}
	h := &Host{
		path: path, reload: reload, logs: logs, log: logs.For("host"), meter: meter.New(),
		self:    conductor.Peer{ID: settings.Host, Address: address},
		started: time.Now().UnixMilli(), servers: make(map[string]fuchsiapitch.ServerReport),
	}
	h.settings.Store(&settings)
	if len(settings.Unknown) > 0 {
		h.log.Info().Strs("fields", settings.Unknown).Msg("settings hold fields that are not used")
	}
	kept := &http.Transport{DialContext: sender.NewDialer(connectLimit, silenceLimit), DisableCompression: true, MaxIdleConnsPerHost: 8}
	once := &http.Transport{DialContext: sender.NewDialer(connectLimit, silenceLimit), DisableCompression: true, DisableKeepAlives: true}
	h.calls = platform.NewStore(settings.Store, kept)
	h.hosts = once
	h.store = pacer.New(h.calls)
	c := conductor.New(h.self, h.started,
		conductor.WithStall(settings.Stall), conductor.WithDataCentre(settings.DataCentre),
		conductor.WithRetryBudget(settings.RetryRatio, settings.RetrySlack, settings.RetryWindow),
	)
	h.driver = driver.New(ctx, c, platform.NewServers(once),
		newClaimer(h.store, h.self.ID, h.started), socket,
		driver.WithLogger(logs.For("conductor")), driver.WithMeter(h.meter), driver.WithReread(func() { h.configuration.Kick() }))
	h.follow()
	calls, closeCalls := sender.New(sender.WithConnectTimeout(requestConnectLimit), sender.WithSilence(silenceLimit))
	h.relayer = relayer.New(h.driver, calls, platform.Headers{}, relayer.WithLogger(logs.For("relayer")), relayer.WithMeter(h.meter))
	h.meter.Running(func() float64 { return float64(h.relayer.Active()) })
	h.meter.Versioned(h.version)
	return h, func() {
		closeCalls()
		kept.CloseIdleConnections()
		if err := socket.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			h.log.Warn().Err(err).Msg("socket for heartbeats cannot be closed")
		}
	}, nil
}

// Serve serves until stop ends, and then finishes what is in flight.
func (h *Host) Serve(ctx context.Context, stop <-chan struct{}) error {
	callers, readiness, err := h.listen(ctx)
	if err != nil {
		return err
	}
	work, endWork := context.WithCancel(ctx)
	defer endWork()
	idle := &idleCloser{limit: h.idleLimit, log: h.log, since: make(map[net.Conn]time.Time)}
	supervisor := h.supervisor()
	supervisor.Add(service(idle.serve))
	ended := supervisor.ServeBackground(work)
	front := &http.Server{
		Handler: h.relayer, ConnState: idle.watch, ReadHeaderTimeout: headerLimit, IdleTimeout: longestIdle, MaxHeaderBytes: headerBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	operators := http.NewServeMux()
	operators.HandleFunc("/", h.ready)
	operators.HandleFunc("/status", h.status)
	operators.HandleFunc("/metrics", h.metrics)
	ready := &http.Server{Handler: operators, ReadHeaderTimeout: headerLimit}
	failed := make(chan error, 2)
	go func() { failed <- front.Serve(callers) }()
	go func() { failed <- ready.Serve(readiness) }()
	h.log.Info().Str("callers", h.settings.Load().Callers).Msg("host serves")
	select {
	case err = <-failed:
	case <-stop:
		err = h.stop(ctx, front)
	case <-ctx.Done():
		err = ctx.Err()
	}
	endWork()
	failures := []error{front.Close(), ready.Close(), <-ended}
	h.log.Info().Err(err).Errs("ends", failures).Msg("host ends")
	return err
}

// idleLimit returns how long a connection may stay without a request.
func (h *Host) idleLimit() time.Duration {
	if t := h.relayer.Table(); t != nil {
		return t.Limits().IdleTimeout
	}
	return 0
}

func (h *Host) listen(ctx context.Context) (callers, readiness net.Listener, err error) {
	var config net.ListenConfig
	if callers, err = config.Listen(ctx, "tcp4", h.settings.Load().Callers); err != nil {
		return nil, nil, err
	}
	if readiness, err = config.Listen(ctx, "tcp4", h.settings.Load().Readiness); err != nil {
		callers.Close()
		return nil, nil, err
	}
	return callers, readiness, nil
}

// stop refuses readiness at once and new connections a little later, and waits
// for the requests in flight.
func (h *Host) stop(ctx context.Context, front *http.Server) error {
	h.log.Info().Int64("in-flight", h.relayer.Active()).Msg("host stops")
	deadline := time.Now().Add(h.settings.Load().Grace - stopMargin)
	h.relayer.Stop()
	h.driver.Apply(conductor.Stopping{})
	select {
	case <-time.After(listenOn):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := front.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	h.log.Warn().Int64("in-flight", h.relayer.Active()).Msg("requests are cut by the end of the grace period")
	return nil
}

// ready answers the balancer.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.relayer.Table() == nil || !h.listed.Load() || h.relayer.Stopped() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// supervisor runs what keeps the host up to date.
func (h *Host) supervisor() *suture.Supervisor {
	s := suture.New("host", suture.Spec{EventHook: func(e suture.Event) {
		h.log.Error().Fields(e.Map()).Msg("service failed")
	}})
	s.Add(h.driver)
	s.Add(service(h.announce))
	s.Add(service(h.watchSettings))
	s.Add(service(h.listenToHosts))
	s.Add(service(h.catchUp))
	s.Add(tracker.New(h.store, platform.ServersTopic, h.counted(platform.ServersTopic, h.takeServers), tracker.WithPause(serversPause), tracker.WithFailures(h.listFailed)))
	for _, t := range h.news {
		s.Add(t)
	}
	return s
}

// counted counts the reads that brought an update.
func (h *Host) counted(topic string, take func(tracker.Update)) func(tracker.Update) {
	return func(u tracker.Update) {
		h.meter.StoreCalled(topic, false)
		take(u)
	}
}

// follow makes the trackers of the topics that rarely change.
func (h *Host) follow() {
	news := func(topic string, take func(tracker.Update), wait time.Duration) *tracker.Tracker {
		return tracker.New(h.store, topic, h.counted(topic, take), tracker.WithWait(wait), tracker.WithFailures(h.storeFailed(topic)))
	}
	h.configuration = news(platform.OperatorTopic, h.takeConfiguration, configurationWait)
	h.news = []*tracker.Tracker{
		h.configuration, news(platform.HostsTopic, h.takeHosts, newsWait), news(platform.ClaimsTopic, h.takeClaims, newsWait),
	}
}

// service is a function that implements suture.Service.
type service func(ctx context.Context) error

// Serve implements suture.Service.
func (f service) Serve(ctx context.Context) error { return f(ctx) }

// version returns the version of the configuration in force, 0 for none.
func (h *Host) version() float64 {
	if t := h.relayer.Table(); t != nil {
		return float64(t.Version())
	}
	return 0
}

func (h *Host) storeFailed(what string) func(error) {
	return func(err error) {
		h.meter.StoreCalled(what, true)
		h.log.Info().Str("topic", what).Err(err).Msg("store cannot be read")
	}
}

func (h *Host) listFailed(err error) {
	h.storeFailed(platform.ServersTopic)(err)
	h.storeFails.Store(true)
	h.driver.Apply(conductor.StoreFailed{})
}

// announce enters the host in the store.
func (h *Host) announce(ctx context.Context) error {
	value, err := json.Marshal(hostRecord{Address: h.self.Address})
	if err != nil {
		return err
	}
	hosts := appender.New(h.store, platform.HostsTopic, string(h.self.ID), h.started)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announcePause)
		_, err := hosts.Append(call, string(h.self.ID), value, -1)
		cancel()
		if err == nil {
			<-ctx.Done()
			return ctx.Err()
		}
		h.log.Info().Err(err).Msg("host cannot be entered in the store")
		select {
		case <-time.After(announcePause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (h *Host) takeConfiguration(u tracker.Update) {
	h.note(u, false)
	for _, i := range u.Items {
		if i.Key != platform.ConfigurationKey || i.Dropped() {
			continue
		}
		table, err := platform.DecodeConfiguration(i.Value)
		if err != nil {
			h.log.Error().Err(err).Msg("configuration is not usable")
			continue
		}
		if h.relayer.Configure(table) {
			h.log.Info().Int64("version", table.Version()).Msg("configuration is in force")
			h.driver.Apply(conductor.Configured{Table: table})
		}
	}
}

func (h *Host) takeServers(u tracker.Update) {
	if h.storeFails.Swap(false) {
		// A long poll that the store has turned away may hang on its connection.
		for _, t := range h.news {
			t.Kick()
		}
	}
	h.note(u, true)
	if u.Whole {
		clear(h.servers)
	}
	for _, i := range u.Items {
		if i.Dropped() {
			delete(h.servers, i.Key)
			continue
		}
		r, err := platform.DecodeServer(i.Key, i.Value)
		if err != nil {
			h.log.Warn().Err(err).Msg("entry names no server")
			delete(h.servers, i.Key)
			continue
		}
		h.servers[i.Key] = r
	}
	list := make([]fuchsiapitch.ServerReport, 0, len(h.servers))
	for _, r := range h.servers {
		list = append(list, r)
	}
	h.driver.Apply(conductor.ServersListed{Servers: list})
	settings := h.Settings()
	h.store.Share(h.driver.LiveHosts(), settings.StoreReads, settings.StoreWrites)
	h.listed.Store(true)
}

func (h *Host) takeHosts(u tracker.Update) {
	var peers []conductor.Peer
	for _, i := range u.Items {
		if p, ok := decodePeer(i); ok {
			peers = append(peers, p)
		}
	}
	h.driver.Apply(conductor.PeersListed{Peers: peers})
}

func (h *Host) takeClaims(u tracker.Update) {
	for _, i := range u.Items {
		if read, ok := decodeClaim(i); ok {
			h.driver.Apply(read)
		}
	}
}
