// Package platformassembler assembles an entry host for the users' platform: it connects
// the platform's settings, store and backend servers to the coordinator, which makes
// the scheduling decisions, and runs the host's servers and background services.
package platformassembler

import (
	"context"
	"errors"
	"math"
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
	"github.com/fuchsiapitch/fuchsiapitch/internal/acceptor"
	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/collector"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/keeper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/pacer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/relayer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/spreader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// connectTimeout bounds the set-up of a connection to the store, to another host
	// or for a report or an order to a backend server. It covers several round trips
	// between data centres and one retransmitted packet.
	connectTimeout = 1200 * time.Millisecond
	// requestConnectTimeout bounds the set-up of a connection for a client's request,
	// after which another server is tried. It covers some round trips and is well
	// below the shortest latency objective.
	requestConnectTimeout = 150 * time.Millisecond
	// silenceTimeout is the time without a TCP acknowledgement after which a
	// connection is closed, and the time without a byte after which a stream that a
	// backend server has begun is aborted.
	silenceTimeout = 3 * time.Second
	// serverListInterval is the time between two reads of the server list. A draining
	// server must stop getting new requests within 2 s.
	serverListInterval = 800 * time.Millisecond
	// longPollWait is how long a read of a topic that rarely changes waits for a new
	// record.
	longPollWait = 15 * time.Second
	// hostListInterval is the pause between two reads of the registered hosts. Hosts that
	// start together register one after the other.
	hostListInterval = 500 * time.Millisecond
	// registrationRetryInterval bounds one attempt to register the host in the store,
	// and is the pause before the next one.
	registrationRetryInterval = time.Second
	// lingerPeriod is how long a stopping host serves as before, until load balancers have
	// noticed that it is not ready: two checks, one a second.
	lingerPeriod = 2100 * time.Millisecond
	// drainIdlePeriod is how long a stopping host keeps idle connections open after the
	// linger period. It could only refuse most of the requests on them, while clients find
	// other hosts by new connections, and the host serves fully after its restart.
	drainIdlePeriod = 0
	// abortMargin is the time kept between the abort of the requests in flight and the end
	// of the graceful shutdown, in which their responses are sent.
	abortMargin = 100 * time.Millisecond
	// shutdownMargin is the time kept between the end of the graceful shutdown and
	// the forced termination of the process.
	shutdownMargin = 150 * time.Millisecond
)

// Settings returns the settings in force.
func (h *Host) Settings() platform.Settings { return *h.settings.Load() }

// Host is one entry host.
type Host struct {
	settingsPath  string
	settings      atomic.Pointer[platform.Settings]
	reloadSignals <-chan os.Signal
	rootLogger    *logger.Logger
	log           zerolog.Logger
	meter         *meter.Meter
	storeClient   *platform.StoreClient
	// pacedStore is the store client behind the rate limits of this host.
	pacedStore *pacer.Pacer
	driver     *driver.Driver
	relayer    *relayer.Relayer
	// bodies reads the bodies of requests.
	bodies *collector.Collector
	self   coordinator.Peer
	// startedUnixMillis is the start time of the process, which is its incarnation.
	startedUnixMillis int64
	// serverListKnown is true once a server list has been read from the store or
	// fetched from another host.
	serverListKnown atomic.Bool
	// serversByKey is the server list, by the keys of the records in the store.
	serversByKey map[string]fuchsiapitch.ServerReport
	// peerTransport sends requests to other hosts.
	peerTransport *http.Transport
	stateMutex    sync.Mutex
	// state is what other hosts can fetch from this one. It is guarded by stateMutex.
	state hostState
	// serverListReadFailedAt is when the last read of the server list failed, nil if it did not.
	serverListReadFailedAt atomic.Pointer[time.Time]
	// storeTransport is the transport of the calls to the store.
	storeTransport *http.Transport
	// longPollTrackers follow the topics that are read with long polls;
	// configurationTracker is one of them.
	configurationTracker *tracker.Tracker
	longPollTrackers     []*tracker.Tracker
	era                  *eraState
	configurationLag     configurationLag
	// configurationTransfers is the number of other hosts that this one is sending its configuration to.
	configurationTransfers atomic.Int64
}

// New returns a host that does not serve yet, and a function that releases its
// resources. The settings file is reloaded at each reload signal. Background work
// ends with the context.
func New(ctx context.Context, settingsPath string, reloadSignals <-chan os.Signal, logs *logger.Logger) (*Host, func(), error) {
	settings, err := platform.ReadSettings(settingsPath)
	if err != nil {
		return nil, nil, err
	}
	address := net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort))
	var listen net.ListenConfig
	heartbeatSocket, err := listen.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, nil, err
	}
	h := &Host{
		settingsPath: settingsPath, reloadSignals: reloadSignals, rootLogger: logs, log: logs.For("host"), meter: meter.New(),
		self:              coordinator.Peer{ID: settings.Host, Address: address, DataCentre: settings.DataCentre, Capacity: capacityOf(settings)},
		startedUnixMillis: time.Now().UnixMilli(), serversByKey: make(map[string]fuchsiapitch.ServerReport),
	}
	h.settings.Store(&settings)
	if len(settings.UnknownFields) > 0 {
		h.log.Info().Strs("fields", settings.UnknownFields).Msg("settings contain unrecognised fields")
	}
	pooledTransport := &http.Transport{DialContext: sender.NewDialer(connectTimeout, silenceTimeout), DisableCompression: true, MaxIdleConnsPerHost: 8}
	singleUseTransport := &http.Transport{DialContext: sender.NewDialer(connectTimeout, silenceTimeout), DisableCompression: true, DisableKeepAlives: true}
	h.storeTransport = pooledTransport
	h.era = newEraState()
	h.storeClient = platform.NewStoreClient(settings.StoreAddress, pooledTransport, platform.WithEraObserver(h.observeEra))
	h.peerTransport = singleUseTransport
	h.pacedStore = pacer.New(h.storeClient)
	c := coordinator.New(h.self, h.startedUnixMillis,
		coordinator.WithStallTimeout(settings.StallTimeout), coordinator.WithDataCentre(settings.DataCentre),
		coordinator.WithRegions(settings.Regions),
		coordinator.WithRetryBudget(settings.RetryRatio, settings.RetrySlack, settings.RetryWindow), coordinator.WithColdLimits(settings.ColdOver, settings.ColdSlack),
		coordinator.WithStoredQuarantines(),
	)
	h.driver = driver.New(ctx, c, platform.NewServerClient(singleUseTransport, platform.WithLogger(logs.For("conductor")), platform.WithNoticeHandler(func(server fuchsiapitch.ServerID, notice fuchsiapitch.ServerNotice) {
		h.driver.RecordNotice(server, "", notice)
	})),
		newClaimer(h.pacedStore, h.self.ID, h.startedUnixMillis), heartbeatSocket,
		driver.WithLogger(logs.For("conductor")), driver.WithMeter(h.meter), driver.WithConfigurationReload(func() { h.configurationTracker.Resync() }))
	h.createTrackers()
	requestSender, closeSender := sender.New(sender.WithConnectTimeout(requestConnectTimeout), sender.WithSilenceTimeout(silenceTimeout))
	buffers := newBuffers(settings.MemoryLimitBytes)
	h.bodies = h.newCollector(settings.MemoryLimitBytes)
	h.relayer = relayer.New(h.driver, requestSender, platform.NewHeaders(platform.WithLogger(logs.For("relayer"))), relayer.WithLogger(logs.For("relayer")), relayer.WithMeter(h.meter),
		relayer.WithBuffers(buffers), relayer.WithBodies(h.bodies))
	h.meter.RegisterBodyGauge(func() float64 { return float64(h.bodies.UsedBytes()) })
	h.meter.RegisterBufferGauge(func() float64 { return float64(buffers.UsedBytes()) })
	h.meter.RegisterInFlightGauge(func() float64 { return float64(h.relayer.InFlightRequests()) })
	h.meter.RegisterConfigurationVersionGauge(h.configurationVersion)
	h.meter.RegisterConfigurationLagGauge(func() float64 { return h.configurationLag.duration(time.Now()).Seconds() })
	for _, t := range h.longPollTrackers {
		h.meter.RegisterStoreAnswerGauge(t.Topic(), func() float64 { return t.Status().SinceAnswer.Seconds() })
	}
	return h, func() {
		closeSender()
		pooledTransport.CloseIdleConnections()
		if err := heartbeatSocket.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			h.log.Warn().Err(err).Msg("failed to close the heartbeat socket")
		}
	}, nil
}

// newCollector returns what reads the bodies of requests, in as much memory as the responses have.
func (h *Host) newCollector(memoryLimitBytes int64) *collector.Collector {
	options := []collector.Option{collector.WithLogger(h.rootLogger.For("collector")), collector.WithMeter(h.meter)}
	if memoryLimitBytes > 0 {
		options = append(options, collector.WithPool(int(memoryLimitBytes/bufferMemoryDivisor)))
	}
	return collector.New(options...)
}

// bufferMemoryDivisor divides the platform's memory limit. The quotient is the memory for the
// responses that are being read.
const bufferMemoryDivisor = 8

// headerMemoryDivisor divides the platform's memory limit. The quotient is the memory for large
// headers of requests.
const headerMemoryDivisor = 16

// headerPool returns the memory for large headers of requests.
func headerPool(memoryLimitBytes int64) int64 {
	if memoryLimitBytes <= 0 {
		return math.MaxInt64
	}
	return memoryLimitBytes / headerMemoryDivisor
}

// newBuffers returns the memory for the responses that are being read.
func newBuffers(memoryLimitBytes int64) *allocator.Allocator {
	if memoryLimitBytes <= 0 {
		return allocator.New()
	}
	return allocator.New(allocator.WithPool(int(memoryLimitBytes / bufferMemoryDivisor)))
}

// megabitsPerCore is the bandwidth with which one core counts in the capacity of a host.
const megabitsPerCore = 250

// capacityOf returns the capacity by which hosts are ranked for control and relaying: the
// bandwidth that the link and the processor of the host suffice for, in Mbit/s.
func capacityOf(s platform.Settings) int {
	return int(min(s.LinkMegabits, megabitsPerCore*s.ProcessorCores))
}

// Serve serves requests until stop is closed, and then shuts down gracefully.
func (h *Host) Serve(ctx context.Context, stop <-chan struct{}) error {
	clientListener, readinessListener, err := h.listen(ctx)
	if err != nil {
		return err
	}
	backgroundCtx, cancelBackground := context.WithCancel(ctx)
	defer cancelBackground()
	supervisor := h.newSupervisor()
	supervisorResult := supervisor.ServeBackground(backgroundCtx)
	clientServer := acceptor.New(h.relayer, acceptor.WithIdleTimeout(h.idleTimeout), acceptor.WithDrainIdlePeriod(drainIdlePeriod), acceptor.WithBaseContext(ctx),
		acceptor.WithLogger(h.rootLogger.For("acceptor")), acceptor.WithMeter(h.meter),
		acceptor.WithMaxConnections(acceptor.MaxConnections(h.Settings().Sockets, h.Settings().MemoryLimitBytes)), acceptor.WithRoomHandler(h.bodies.MakeRoom),
		acceptor.WithHeaderLimit(h.headerLimit), acceptor.WithHeaderPool(headerPool(h.Settings().MemoryLimitBytes)))
	operatorMux := http.NewServeMux()
	operatorMux.HandleFunc("/", h.serveReadiness)
	operatorMux.HandleFunc("/status", h.serveStatus)
	operatorMux.HandleFunc("/metrics", h.serveMetrics)
	operatorServer := h.newInternalServer(operatorMux)
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- clientServer.Serve(clientListener) }()
	go func() { serveErrors <- operatorServer.Serve(readinessListener) }()
	h.log.Info().Str("callers", h.settings.Load().ClientListenAddress).Msg("host serves")
	select {
	case err = <-serveErrors:
	case <-stop:
		err = h.shutDown(ctx, clientServer)
	case <-ctx.Done():
		err = ctx.Err()
	}
	cancelBackground()
	closeErrors := []error{clientServer.Close(), operatorServer.Close(), <-supervisorResult}
	h.log.Info().Err(err).Errs("ends", closeErrors).Msg("host has stopped")
	return err
}

// newInternalServer returns a server for requests that are not those of clients. None of them uses a
// body.
func (h *Host) newInternalServer(handler http.Handler) *acceptor.Acceptor {
	return acceptor.New(collector.DismissBodies(handler), acceptor.WithLogger(h.rootLogger.For("acceptor")), acceptor.WithMeter(h.meter),
		acceptor.WithMaxConnections(acceptor.MaxInternalConnections(h.Settings().Sockets)), acceptor.WithStallTimeout(acceptor.InternalStallTimeout))
}

// idleTimeout returns the configured time-out for connections without a request, 0
// for none.
func (h *Host) idleTimeout() time.Duration {
	if t := h.relayer.Routes(); t != nil {
		return t.Limits().IdleTimeout
	}
	return 0
}

// headerLimit returns the configured limit for the header of a request in bytes, 0 for none.
func (h *Host) headerLimit() int64 {
	if t := h.relayer.Routes(); t != nil {
		return t.Limits().HeaderBytes
	}
	return 0
}

// listen opens the listeners for clients and for readiness checks and operators.
func (h *Host) listen(ctx context.Context) (clientListener, readinessListener net.Listener, err error) {
	var listenConfig net.ListenConfig
	if clientListener, err = listenConfig.Listen(ctx, "tcp4", h.settings.Load().ClientListenAddress); err != nil {
		return nil, nil, err
	}
	if readinessListener, err = listenConfig.Listen(ctx, "tcp4", h.settings.Load().ReadinessListenAddress); err != nil {
		clientListener.Close()
		return nil, nil, err
	}
	return clientListener, readinessListener, nil
}

// stopSchedule is the schedule of a stop, in times since its begin.
type stopSchedule struct {
	// linger is when the host begins to close idle connections.
	linger time.Duration
	// abort is when the requests in flight are aborted.
	abort time.Duration
	// end is when the host ends.
	end time.Duration
}

// newStopSchedule returns the schedule of a stop that ends before the grace period. The linger
// period is at most half of it.
func newStopSchedule(grace time.Duration) stopSchedule {
	end := grace - shutdownMargin
	return stopSchedule{linger: min(lingerPeriod, end/2), abort: end - abortMargin, end: end}
}

// shutDown reports the host as not ready at once. It serves what arrives until the clients
// have closed their connections, and for the linger period at least. Requests still in
// flight are aborted shortly before the end of the grace period.
func (h *Host) shutDown(ctx context.Context, clientServer *acceptor.Acceptor) error {
	h.log.Info().Int64("in-flight", h.relayer.InFlightRequests()).Msg("host stops")
	schedule := newStopSchedule(h.settings.Load().GracePeriod)
	deadline := time.Now().Add(schedule.end)
	h.relayer.StartDraining(schedule.linger, schedule.abort)
	clientServer.StartDraining()
	h.driver.Apply(coordinator.HostStopping{})
	select {
	case <-time.After(schedule.linger):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := clientServer.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	h.log.Warn().Int64("in-flight", h.relayer.InFlightRequests()).Msg("grace period ends with requests in flight")
	return nil
}

// serveReadiness responds to the readiness checks of the load balancer. The host is
// ready once it has a configuration and a server list, and until it stops.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.relayer.Routes() == nil || !h.serverListKnown.Load() && !h.driver.KnowsServers() || h.relayer.Draining() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// newSupervisor returns the supervisor of the background services.
func (h *Host) newSupervisor() *suture.Supervisor {
	s := suture.New("host", suture.Spec{EventHook: func(e suture.Event) {
		h.log.Error().Fields(e.Map()).Msg("background service failed")
	}})
	s.Add(h.driver)
	s.Add(serviceFunc(h.register))
	s.Add(serviceFunc(h.watchSettings))
	s.Add(serviceFunc(h.servePeers))
	s.Add(serviceFunc(h.fetchInitialState))
	s.Add(serviceFunc(h.catchUp))
	s.Add(serviceFunc(h.followServerList))
	s.Add(tracker.New(h.pacedStore, platform.ServersTopic, h.applyServerList, tracker.WithInterval(serverListInterval), tracker.WithNeed(h.driver.NeedsServerList), tracker.WithRetention(), tracker.WithErrorHandler(h.handleServerListFailure), tracker.WithReadHandler(h.readCounter(platform.ServersTopic))))
	for _, t := range h.longPollTrackers {
		s.Add(t)
	}
	s.Add(h.newKeeper())
	return s
}

// newKeeper returns what keeps the quarantined parts of prompts in the store.
func (h *Host) newKeeper() *keeper.Keeper {
	return keeper.New(h.pacedStore, appender.New(h.pacedStore, platform.QuarantinesTopic, string(h.self.ID), h.startedUnixMillis), h.driver,
		keeper.WithLogger(h.log), keeper.WithEra(func() int64 {
			era, _ := h.era.current()
			return era
		}))
}

// readCounter returns a handler that counts the reads of a topic and the bytes received,
// and logs the reads that were restarted.
func (h *Host) readCounter(topic string) func(tracker.ReadResult) {
	return func(r tracker.ReadResult) {
		result := "succeeded"
		switch {
		case r.Restarted:
			result = "restarted"
			h.log.Info().Str("topic", topic).Int64("after-ms", r.Elapsed.Milliseconds()).Msg("read of the store restarted")
		case r.Err != nil:
			result = "failed"
		}
		h.meter.CountStoreRead(topic, result, r.Bytes)
	}
}

// createTrackers creates the trackers of the topics that rarely change, which are
// read with long polls.
func (h *Host) createTrackers() {
	newLongPollTracker := func(topic string, handle func(tracker.Update), options ...tracker.Option) *tracker.Tracker {
		options = append(options, tracker.WithErrorHandler(h.readFailureHandler(topic)), tracker.WithReadHandler(h.readCounter(topic)),
			tracker.WithSecondCallHandler(h.storeTransport.CloseIdleConnections), tracker.WithSilentConnectionHandler(h.handleSilentConnection))
		return tracker.New(h.pacedStore, topic, handle, options...)
	}
	h.configurationTracker = newLongPollTracker(platform.OperatorTopic, h.applyOperatorTopic, tracker.WithVariableLongPoll(h.configurationPollWait))
	needed := tracker.WithNeed(h.driver.NeedsServerList)
	h.longPollTrackers = []*tracker.Tracker{
		h.configurationTracker, newLongPollTracker(platform.HostsTopic, h.applyHostList, tracker.WithLongPoll(longPollWait), tracker.WithInterval(hostListInterval), tracker.WithNeed(h.driver.NeedsHostList)),
		newLongPollTracker(platform.ClaimsTopic, h.applyClaims, tracker.WithLongPoll(longPollWait), needed),
	}
}

// configurationPollWait returns how long a read of the operator's topic waits for news. The hosts take
// turns in renewing these reads.
func (h *Host) configurationPollWait() time.Duration {
	rank, hosts := h.driver.Turn()
	return spreader.PollWait(time.Now(), hosts, rank)
}

// handleSilentConnection repeats the long polls on connections from before a time, because one of
// these was silent while a new connection was answered.
func (h *Host) handleSilentConnection(before time.Time) {
	for _, t := range h.longPollTrackers {
		t.Reconnect(before)
	}
}

// serviceFunc adapts a function to suture.Service.
type serviceFunc func(ctx context.Context) error

// Serve implements suture.Service.
func (f serviceFunc) Serve(ctx context.Context) error { return f(ctx) }

// readFailureHandler returns a handler that logs failed reads of a topic.
func (h *Host) readFailureHandler(topicName string) func(error) {
	return func(err error) {
		h.log.Info().Str("topic", topicName).Err(err).Msg("store cannot be read")
		// Other connections of the pool may be dead as well.
		h.storeTransport.CloseIdleConnections()
	}
}

// handleServerListFailure counts and logs a failed read of the server list, and
// notifies the coordinator that the store cannot be read.
func (h *Host) handleServerListFailure(err error) {
	h.readFailureHandler(platform.ServersTopic)(err)
	now := time.Now()
	h.serverListReadFailedAt.Store(&now)
	h.driver.Apply(coordinator.StoreReadFailed{})
}

// applyServerList updates the server list. Invalid records are treated as deleted. It
// also recalculates this host's share of the store's rate limits, which depends on the
// number of live hosts.
func (h *Host) applyServerList(u tracker.Update) {
	if failedAt := h.serverListReadFailedAt.Swap(nil); failedAt != nil {
		// The store can be read again. A long poll from before may hang on a
		// connection that the store has dropped.
		h.handleSilentConnection(*failedAt)
	}
	if u.IsSnapshot {
		clear(h.serversByKey)
	}
	// What is no server's record is not passed on to other hosts either.
	valid := u
	valid.Records = make([]platform.Record, 0, len(u.Records))
	for _, r := range u.Records {
		if r.IsTombstone() {
			delete(h.serversByKey, r.Key)
			valid.Records = append(valid.Records, r)
			continue
		}
		report, err := platform.DecodeServer(r.Key, r.Value)
		if err != nil {
			h.log.Warn().Err(err).Msg("ignoring invalid server record")
			delete(h.serversByKey, r.Key)
			valid.Records = append(valid.Records, platform.Record{Key: r.Key, Offset: r.Offset})
			continue
		}
		h.serversByKey[r.Key] = report
		valid.Records = append(valid.Records, r)
	}
	h.cacheServers(valid)
	reports := make([]fuchsiapitch.ServerReport, 0, len(h.serversByKey))
	for _, r := range h.serversByKey {
		reports = append(reports, r)
	}
	h.driver.Apply(coordinator.ServersListed{Servers: reports, Offset: u.Position()})
	settings := h.Settings()
	h.pacedStore.UpdateLimits(h.driver.LiveHostCount(), settings.StoreReadsPerSecond, settings.StoreWritesPerSecond)
	h.serverListKnown.Store(true)
}

func (h *Host) applyHostList(u tracker.Update) {
	var peers []coordinator.Peer
	for _, r := range u.Records {
		if p, ok := decodeHostRecord(r); ok {
			peers = append(peers, p)
		}
	}
	h.cacheHosts(u)
	h.driver.Apply(coordinator.PeersListed{Peers: peers})
}

func (h *Host) applyClaims(u tracker.Update) {
	for _, r := range u.Records {
		if claim, ok := decodeClaimRecord(r, u.Era); ok {
			h.driver.Apply(claim)
		}
	}
}
