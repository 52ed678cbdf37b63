package platformassembler

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

const (
	// soakSeedsVariable is the environment variable for the number of seeds of the soak.
	soakSeedsVariable    = "FUCHSIAPITCH_SOAK_SEEDS"
	defaultSoakSeedCount = 2
	// soakDuration is how long the clients and the disturbances of one seed go on.
	soakDuration = 16 * time.Second
	// soakSettlePeriod is the time after the last disturbance in which a server can still
	// run a request that was sent to it.
	soakSettlePeriod = 1500 * time.Millisecond
	soakHosts        = 3
	// soakManyClients is the number of clients of every third seed, soakClients that of
	// the others.
	soakManyClients, soakClients = 900, 240
	// soakReadinessInterval is the interval of the balancer's readiness checks.
	soakReadinessInterval = time.Second
	// soakLethalStart is when the first lethal request is sent, soakMassCrash when several
	// servers crash for another reason, in every second seed each.
	soakLethalStart, soakMassCrash = 3 * time.Second, 2 * time.Second
	// soakSlowdown makes a stream take 0.4 s beside planned work.
	soakSlowdown = 4
	// spareService is a second service of plain servers, to which routes move.
	spareService = "desk-2"
)

// soakPlainServers are the servers of the plain service and of spareService.
var soakPlainServers = []string{"p0", "p1", "p2", "p3"}

// soakEngines are the servers of the model service.
var soakEngines = []string{"e00", "e01", "e02", "e03", "e04", "e05", "e10", "e11", "e12", "e13", "e14", "e15"}

func soakSeedCount(t *testing.T) int {
	t.Helper()
	text := os.Getenv(soakSeedsVariable)
	if text == "" {
		return defaultSoakSeedCount
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: got %q, want a number", soakSeedsVariable, text)
	}
	return n
}

// Guards against a complete request on an open connection that ends without a response
// because a host stops, reloads its settings, gets a configuration or closes idle
// connections, alone and in combination, beside backend servers that fall silent. In half of
// the seeds one part of prompts ends the engines, in half of them engines crash for another
// reason; the stand-in checks that hosts learn the part.
func TestSoakOfOpenConnections(t *testing.T) {
	for seed := 1; seed <= soakSeedCount(t); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			s := newSoak(ctx, t, uint64(seed), false)
			t.Cleanup(func() {
				cancel()
				s.awaitHosts(t)
			})
			s.run(ctx, t)
		})
	}
}

// Guards against a complete request that ends without a complete response, or a stream that is
// cut off, because of planned work (stops, reload signals, configurations that remove or lower
// what requests need, departures of servers) while the only other trouble is that sound servers
// are silent for up to two seconds and go on.
func TestSoakOfSilenceBesidePlannedWork(t *testing.T) {
	seeds := soakSeedCount(t)
	if os.Getenv(soakSeedsVariable) == "" {
		seeds = 1
	}
	for seed := 1; seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			s := newSoak(ctx, t, uint64(seed), true)
			t.Cleanup(func() {
				cancel()
				s.awaitHosts(t)
			})
			s.run(ctx, t)
		})
	}
}

// soakProcess is one run of a host from its start to its end.
type soakProcess struct {
	stop   chan struct{}
	result chan error
	// stopped is the time of the stop, ended that at which Serve returned, in Unix
	// nanoseconds. They are 0 before.
	stopped, ended atomic.Int64
}

// soakHost is a host that is stopped and started again at the same addresses.
type soakHost struct {
	settingsPath, clientAddress, readinessAddress string
	reloadSignals                                 chan os.Signal
	inRotation                                    atomic.Bool
	process                                       atomic.Pointer[soakProcess]
}

// soakLimits are the limits of a configuration on which the clients rely.
type soakLimits struct {
	idleTimeout  time.Duration
	maxBodyBytes int
	published    time.Time
}

// soak is a run with one seed.
type soak struct {
	*standin.Installation
	seed uint64
	// isPlanned is true if there is only planned work beside servers that fall silent.
	isPlanned bool
	hosts     []*soakHost
	log       *soakLog
	// start and end are the times between which the clients send requests.
	start, end       time.Time
	stopInstallation func()

	mutex sync.Mutex
	// limits are those of the last two configurations, the newest last.
	limits   [2]soakLimits
	findings []string
	counts   map[string]int
	// bookingStatuses holds the status of each booking that was sent, 0 for none.
	bookingStatuses map[string]int
	crossings       []soakCrossing
}

// soakCrossing is a request that arrived at a host that had closed the connection.
type soakCrossing struct {
	process *soakProcess
	sent    time.Time
}

// soakLog collects the log lines of all hosts.
type soakLog struct {
	mutex sync.Mutex
	lines []string
}

// Write implements io.Writer.
func (l *soakLog) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lines = append(l.lines, strings.TrimSpace(string(data)))
	return len(data), nil
}

// find returns the lines that contain a text.
func (l *soakLog) find(text string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(l.lines), func(line string) bool { return !strings.Contains(line, text) })
}

// newSoak starts hosts that run until the context ends.
func newSoak(ctx context.Context, t *testing.T, seed uint64, isPlanned bool) *soak {
	t.Helper()
	installation, stopInstallation, err := standin.StartInstallation()
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{Installation: installation, seed: seed, isPlanned: isPlanned, log: &soakLog{}, counts: make(map[string]int), bookingStatuses: make(map[string]int)}
	for _, id := range soakPlainServers[2:] {
		if _, err := s.Fleet.StartServer(id, spareService, ""); err != nil {
			t.Fatal(err)
		}
	}
	s.publish(s.newRand(0), 2)
	s.stopInstallation = stopInstallation
	for n := range soakHosts {
		h := &soakHost{reloadSignals: make(chan os.Signal, 1)}
		if h.settingsPath, h.clientAddress, h.readinessAddress, err = s.WriteSettings(t.TempDir(), hostName(n)); err != nil {
			t.Fatal(err)
		}
		if err := s.startHost(ctx, h, n); err != nil {
			t.Fatal(err)
		}
		s.hosts = append(s.hosts, h)
	}
	for deadline := time.Now().Add(awaitTimeout); s.Fleet.CompleteGroups() < 4 || !s.checkReadiness(ctx); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got no ready hosts within %s", awaitTimeout)
		}
	}
	return s
}

// awaitHosts waits for the end of the hosts and stops the stand-ins.
func (s *soak) awaitHosts(t *testing.T) {
	t.Helper()
	for _, h := range s.hosts {
		<-h.process.Load().result
	}
	s.stopInstallation()
	if got := s.Fleet.Violations(); len(got) > 0 {
		t.Errorf("seed %d: got violation %q, want none", s.seed, got[0])
	}
}

// newRand returns the random numbers of one part of the run. Each part has its own, so that
// none depends on the times of the others.
func (s *soak) newRand(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, part)) }

// startHost starts a host, which runs until its process is stopped or the context ends.
func (s *soak) startHost(ctx context.Context, h *soakHost, n int) error {
	p := &soakProcess{stop: make(chan struct{}), result: make(chan error, 1)}
	host, cleanUp, err := New(ctx, h.settingsPath, h.reloadSignals, logger.New(s.log, logger.WithHost(hostName(n))))
	if err != nil {
		return err
	}
	go func() {
		err := host.Serve(ctx, p.stop)
		p.ended.Store(time.Now().UnixNano())
		cleanUp()
		if err != nil && ctx.Err() == nil {
			s.report("host %d ended: %v", n, err)
		}
		p.result <- err
	}()
	h.process.Store(p)
	return nil
}

// report records a finding, which fails the test.
func (s *soak) report(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.findings = append(s.findings, fmt.Sprintf("%.3f s: ", time.Since(s.start).Seconds())+fmt.Sprintf(format, arguments...))
}

func (s *soak) count(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[name]++
}

// run plays the disturbances beside the clients and checks what the clients got.
func (s *soak) run(hostCtx context.Context, t *testing.T) {
	t.Helper()
	s.start = time.Now()
	s.end = s.start.Add(soakDuration)
	ctx, cancel := context.WithDeadline(t.Context(), s.end)
	defer cancel()
	clients := soakClients
	if s.seed%3 == 0 {
		clients = soakManyClients
	}
	var group sync.WaitGroup
	group.Go(func() { s.changeConfigurations(ctx, s.newRand(1)) })
	group.Go(func() { s.reloadSettings(ctx, s.newRand(2)) })
	group.Go(func() { s.stopHosts(ctx, hostCtx, s.newRand(3)) })
	group.Go(func() { s.balance(ctx) })
	if s.isPlanned {
		for _, id := range soakEngines {
			s.Fleet.Server(id).SetSlowdown(soakSlowdown)
		}
		group.Go(func() { s.fallSilent(ctx, s.newRand(4), soakPlainServers) })
		group.Go(func() { s.fallSilent(ctx, s.newRand(5), soakEngines) })
		group.Go(func() { s.departServers(ctx, s.newRand(6)) })
	} else {
		group.Go(func() { s.silenceServers(ctx, s.newRand(4), soakPlainServers) })
		group.Go(func() { s.silenceServers(ctx, s.newRand(5), []string{"e00", "e01", "e02", "e10", "e11", "e12"}) })
		group.Go(func() { s.crashServers(ctx, s.newRand(6)) })
	}
	for n := range clients {
		c := &soakClient{soak: s, number: n, rng: s.newRand(uint64(100 + n))}
		if n%4 == 0 {
			c.closeShare = c.rng.IntN(4)
		}
		group.Go(func() { c.run(ctx) })
	}
	group.Wait()
	time.Sleep(soakSettlePeriod)
	s.checkBookings()
	if lines := s.log.find("part of prompts is quarantined"); !s.isLethal() && len(lines) > 0 {
		s.report("a sound part is quarantined: %s", lines[0])
	}
	s.logSummary(t)
}

// checkBookings checks that no booking ran twice, nor at all if it was refused.
func (s *soak) checkBookings() {
	for _, id := range slices.Sorted(maps.Keys(s.bookingStatuses)) {
		runs := 0
		for _, p := range soakPlainServers {
			runs += s.Fleet.Server(p).RunCount(id)
		}
		status := s.bookingStatuses[id]
		if runs > 1 || (runs > 0 && isRefusal(status)) {
			s.report("booking %s: got status %d and %d runs, want one run at most and none if it is refused", id, status, runs)
		}
	}
}

// isLethal reports whether the seed has lethal requests.
func (s *soak) isLethal() bool { return s.seed%2 == 0 && !s.isPlanned }

// crashServers lets the lethal part take effect, or crashes several engines at once.
func (s *soak) crashServers(ctx context.Context, rng *rand.Rand) {
	if s.seed%4 < 2 && s.pause(ctx, rng, soakMassCrash, soakMassCrash+time.Second) {
		for _, leader := range s.Fleet.OpenLeaders() {
			leader.Crash(time.Second + time.Duration(rng.Int64N(int64(time.Second))))
		}
		s.count("mass crashes")
	}
	if s.isLethal() {
		s.pause(ctx, rng, soakLethalStart, soakLethalStart+time.Second)
		s.Fleet.SetLethalPart(lethalPart)
	}
}

// isRefusal reports whether a status promises that the request has not run.
func isRefusal(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// logSummary logs what the clients got, and fails the test if there are findings.
func (s *soak) logSummary(t *testing.T) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var summary []string
	for _, name := range slices.Sorted(maps.Keys(s.counts)) {
		summary = append(summary, fmt.Sprintf("%s %d", name, s.counts[name]))
	}
	for _, name := range []string{"connection closed with a request", "request arrived on a connection that was to be closed", "grace period ends with requests in flight", "no answer: "} {
		summary = append(summary, fmt.Sprintf("log %q %d", name, len(s.log.find(name))))
	}
	t.Logf("seed %d: %s", s.seed, strings.Join(summary, ", "))
	for _, c := range s.crossings {
		stopped, ended := time.Unix(0, c.process.stopped.Load()), time.Unix(0, c.process.ended.Load())
		t.Logf("seed %d: a request was sent %s after the stop of its host, %s before its end, and arrived after the close of the connection",
			s.seed, c.sent.Sub(stopped).Round(time.Millisecond), ended.Sub(c.sent).Round(time.Microsecond))
	}
	for _, f := range s.findings {
		t.Errorf("seed %d: %s", s.seed, f)
	}
}

// pause waits for a random time and reports whether the run goes on.
func (s *soak) pause(ctx context.Context, rng *rand.Rand, shortest, longest time.Duration) bool {
	select {
	case <-time.After(shortest + time.Duration(rng.Int64N(int64(longest-shortest)))):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// changeConfigurations publishes configurations that move routes and change limits.
func (s *soak) changeConfigurations(ctx context.Context, rng *rand.Rand) {
	for version := 3; s.pause(ctx, rng, 100*time.Millisecond, 1500*time.Millisecond); version++ {
		s.publish(rng, version)
	}
}

// publish publishes a random configuration.
func (s *soak) publish(rng *rand.Rand, version int) {
	timeouts := []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second}
	bodies := []int{16 << 10, 64 << 10, 256 << 10}
	l := soakLimits{idleTimeout: timeouts[rng.IntN(len(timeouts))], maxBodyBytes: bodies[rng.IntN(len(bodies))], published: time.Now()}
	services := []string{standin.PlainService, spareService}
	var document map[string]any
	if err := json.Unmarshal(standin.Configuration(version), &document); err != nil {
		panic(err)
	}
	routes := document["routes"].([]any)
	for _, r := range routes[1:] {
		r.(map[string]any)["service"] = services[rng.IntN(len(services))]
		r.(map[string]any)["timeout_ms"] = 5000 * (1 + rng.IntN(4))
	}
	if split := maps.Clone(routes[2].(map[string]any)); rng.IntN(2) == 0 {
		split["name"], split["path_prefix"], split["service"] = "look-part", standin.LookPathPrefix+"part/", services[rng.IntN(len(services))]
		document["routes"] = append(routes, split)
	}
	document["services"] = append(document["services"].([]any), map[string]any{"name": spareService, "max_conns": 100})
	if s.isPlanned {
		removeSoakParts(rng, document)
	}
	limits := document["limits"].(map[string]any)
	limits["idle_timeout_ms"], limits["max_body_bytes"] = l.idleTimeout.Milliseconds(), l.maxBodyBytes
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	s.limits[0], s.limits[1] = s.limits[1], l
	s.mutex.Unlock()
	s.Store.PublishConfiguration(data)
}

// reloadSettings sends reload signals to hosts, half of them after a change of the settings.
func (s *soak) reloadSettings(ctx context.Context, rng *rand.Rand) {
	for s.pause(ctx, rng, 50*time.Millisecond, time.Second) {
		h := s.hosts[rng.IntN(len(s.hosts))]
		if rng.IntN(2) == 0 {
			s.changeSettings(h, 100+rng.IntN(100))
		}
		select {
		case h.reloadSignals <- os.Interrupt:
		default:
		}
		s.count("reload signals")
	}
}

// changeSettings sets the retry slack in the settings of a host.
func (s *soak) changeSettings(h *soakHost, retrySlack int) {
	data, err := os.ReadFile(h.settingsPath)
	if err != nil {
		s.report("settings: %v", err)
		return
	}
	var document map[string]any
	if err := json.Unmarshal(data, &document); err != nil {
		s.report("settings: %v", err)
		return
	}
	document["bounds"].(map[string]any)["retry_slack"] = retrySlack
	if data, err = json.Marshal(document); err != nil {
		panic(err)
	}
	if err := os.WriteFile(h.settingsPath+".new", data, 0o600); err != nil {
		s.report("settings: %v", err)
	}
	if err := os.Rename(h.settingsPath+".new", h.settingsPath); err != nil {
		s.report("settings: %v", err)
	}
}

// stopHosts stops and restarts hosts, one or two at once.
func (s *soak) stopHosts(ctx, hostCtx context.Context, rng *rand.Rand) {
	for s.pause(ctx, rng, 100*time.Millisecond, 1500*time.Millisecond) {
		first := rng.IntN(len(s.hosts))
		second := (first + 1 + rng.IntN(len(s.hosts)-1)) % len(s.hosts)
		both, between := rng.IntN(5) < 2, time.Duration(rng.Int64N(int64(2*time.Second)))
		var group sync.WaitGroup
		group.Go(func() { s.restartHost(hostCtx, first) })
		if both {
			group.Go(func() {
				time.Sleep(between)
				s.restartHost(hostCtx, second)
			})
		}
		group.Wait()
	}
}

// restartHost stops a host and starts it again.
func (s *soak) restartHost(hostCtx context.Context, n int) {
	h := s.hosts[n]
	p := h.process.Load()
	p.stopped.Store(time.Now().UnixNano())
	s.Fleet.ExcuseRestart(hostName(n))
	defer s.Fleet.ExcuseRestart(hostName(n))
	close(p.stop)
	<-p.result
	s.count("stops")
	if err := s.startHost(hostCtx, h, n); err != nil {
		s.report("host %d does not start: %v", n, err)
		p.result <- err
	}
}

// silenceServers pauses one of the servers at a time for about a second.
func (s *soak) silenceServers(ctx context.Context, rng *rand.Rand, servers []string) {
	for s.pause(ctx, rng, 200*time.Millisecond, 2*time.Second) {
		server := s.Fleet.Server(servers[rng.IntN(len(servers))]).Faults()
		server.Pause()
		s.pause(ctx, rng, 500*time.Millisecond, 1300*time.Millisecond)
		server.Resume()
		s.count("silences")
	}
}

// balance checks the readiness of the hosts, as the load balancer of the platform does.
func (s *soak) balance(ctx context.Context) {
	ticker := time.NewTicker(soakReadinessInterval)
	defer ticker.Stop()
	misses := make([]int, len(s.hosts))
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for n, h := range s.hosts {
			misses[n]++
			if s.isReady(ctx, h) {
				misses[n] = 0
			}
			h.inRotation.Store(misses[n] < 2)
		}
	}
}

// checkReadiness takes all ready hosts into rotation and reports whether all are ready.
func (s *soak) checkReadiness(ctx context.Context) bool {
	all := true
	for _, h := range s.hosts {
		h.inRotation.Store(s.isReady(ctx, h))
		all = all && h.inRotation.Load()
	}
	return all
}

func (s *soak) isReady(ctx context.Context, h *soakHost) bool {
	ctx, cancel := context.WithTimeout(ctx, soakReadinessInterval)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.readinessAddress+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// selectHost returns the host to which the balancer sends a new connection of a client: one
// in rotation, or any if fewer than half are in rotation.
func (s *soak) selectHost(rng *rand.Rand) *soakHost {
	inRotation := slices.DeleteFunc(slices.Clone(s.hosts), func(h *soakHost) bool { return !h.inRotation.Load() })
	if 2*len(inRotation) < len(s.hosts) {
		inRotation = s.hosts
	}
	return inRotation[rng.IntN(len(inRotation))]
}

// currentLimits returns limits that hold whichever of the last configurations a host has.
func (s *soak) currentLimits() soakLimits {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.limits[1]
	l.idleTimeout = min(l.idleTimeout, s.limits[0].idleTimeout)
	return l
}

// soakPadding is the content of the bodies behind the identifier of the request.
var soakPadding = bytes.Repeat([]byte("x"), 1<<20)
