package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/application"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

const (
	// coldLoadTime, stagedLoadTime and sameModelLoadTime are the load times of a join
	// with a model that is not staged, with a staged model and with the model that was
	// loaded last. openTime is the duration of an open order.
	coldLoadTime      = 300 * time.Millisecond
	stagedLoadTime    = 60 * time.Millisecond
	sameModelLoadTime = 20 * time.Millisecond
	openTime          = 30 * time.Millisecond
	// stallTimeout is the time without a token after which a leader marks its group as
	// broken.
	stallTimeout = 2 * time.Second
	// streamEventInterval is the time between two events of a stream.
	streamEventInterval = 5 * time.Millisecond
	// entryInterval is the interval at which servers write their entries to the store.
	entryInterval = 100 * time.Millisecond
	// eventsPerStream is the number of events of a stream.
	eventsPerStream = 20
)

// States of a member of a group in the format of the platform.
const (
	stateJoining = "joining"
	stateReady   = "ready"
	stateOpen    = "open"
	// stateClosing is that of a leader that accepts no requests and ends those that it has.
	stateClosing = "closing"
	stateBroken  = "broken"
)

// Server is a backend server: a model engine that joins groups, or a plain server.
type Server struct {
	fleet        *Fleet
	id           string
	service      string
	fabricDomain string
	faultServer  *faulter.Server
	// engine generates the tokens. It is nil for a plain server.
	engine *engine.Engine
	ledger *application.Ledger
	stop   func()
	// lifecycle is held while the server crashes, starts again or is stopped for good.
	lifecycle sync.Mutex
	isStopped bool

	mutex             sync.Mutex
	startedUnixMillis int64
	entrySequence     int64
	acceptedOrders    int64
	group             string
	epoch             int64
	highestEpoch      int64
	members           []string
	rank              int
	state             string
	model             string
	lastLoadedModel   string
	stagedModels      []string
	opensAt           time.Time
	startedStreams    int64
	// acceptedRequests is the number of requests that an engine has accepted and not ended.
	acceptedRequests int
	streamCancels    map[int64]context.CancelFunc
	isLost           bool
	// isLeaving says that the responses state that the server leaves, isDraining that its
	// entry does, and isUnlisted that it has no entry any more.
	isLeaving  bool
	isDraining bool
	isUnlisted bool
	// silentUntil is the end of the last silence.
	silentUntil time.Time
	// pauseEnds holds until when requests are refused, by host, and for all under "".
	pauseEnds map[string]time.Time
	// zone is where the server stands. It is cold until coldUntil.
	zone      string
	coldUntil time.Time
}

// start starts the engine or application server that serves the platform's protocol.
func (s *Server) start() error {
	if s.fabricDomain == "" {
		a, stop, err := application.Start(fuchsiapitch.ServerID(s.id), s.ledger, application.WithHandler(s))
		if err != nil {
			return err
		}
		s.faultServer, s.stop = a.Server, stop
		return nil
	}
	e, stop, err := engine.Start(fuchsiapitch.ServerID(s.id), s.fleet.registry,
		engine.WithHandler(s), engine.WithLoader(s), engine.WithStepTiming(engine.StepTiming{BaseStep: streamEventInterval}))
	if err != nil {
		return err
	}
	s.faultServer, s.engine, s.stop = e.Server, e, stop
	return nil
}

// SimulateLoss pauses the server without closing its connections, as if its machine were
// unreachable. Its entry in the store is deleted after five entry intervals.
func (s *Server) SimulateLoss() {
	s.mutex.Lock()
	s.isLost = true
	s.mutex.Unlock()
	s.faultServer.Pause()
	time.AfterFunc(5*entryInterval, func() { s.fleet.store.put(serversTopic, s.id, nil) })
}

// Faults returns the faulter.Server that injects faults into the connections and
// responses of the server.
func (s *Server) Faults() *faulter.Server { return s.faultServer }

// SetSlowdown multiplies the time between two events of the streams of an engine's group. A
// stream takes 0.1 s without it.
func (s *Server) SetSlowdown(factor int64) { s.engine.SetSlowdownFactor(factor) }

// ID returns the identifier of the server.
func (s *Server) ID() string { return s.id }

// Members returns the members of the server's group.
func (s *Server) Members() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.members)
}

// RunCount returns how often the server has run a request.
func (s *Server) RunCount(request string) int { return s.ledger.RunCount(request) }

// Runs returns the number of requests that the server has run.
func (s *Server) Runs() int { return s.ledger.BookingCount() }

// stateAndLoss returns the state in the group and whether the server is lost.
func (s *Server) stateAndLoss() (string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateState()
	return s.state, s.isLost
}

// updateState updates the state from the readiness of the engine and completes an open
// order whose time has passed. Callers hold the lock.
func (s *Server) updateState() {
	if s.engine == nil || s.group == "" {
		return
	}
	ready := s.engine.Status().Ready()
	switch {
	case s.state == stateJoining && ready:
		s.state = stateReady
	case (s.state == stateOpen || s.state == stateClosing) && !ready:
		s.state = stateBroken
	case s.state == stateClosing && s.acceptedRequests == 0:
		s.state = stateReady
	}
	if !s.opensAt.IsZero() && time.Now().After(s.opensAt) {
		s.state, s.opensAt = stateOpen, time.Time{}
	}
}

// statusFields returns the fields that the report and the entry in the store have in
// common. Callers hold the lock.
func (s *Server) statusFields() map[string]any {
	s.updateState()
	d := map[string]any{
		"state": stateReady, "born": s.startedUnixMillis, "stage": "colocated", "busy": s.state == stateJoining || !s.opensAt.IsZero(),
		"domain": s.fabricDomain, "staged": s.stagedModels, "models": []any{}, "queued": 0, "running": 0, "pace": 1.0,
		"cold_left_ms": s.coldMillis(),
	}
	if s.isDraining {
		d["state"] = "draining"
	}
	if s.group != "" {
		d["models"] = []any{map[string]any{"name": s.model, "version": 1}}
		d["group"] = map[string]any{"name": s.group, "epoch": s.epoch, "rank": s.rank, "state": s.state}
	}
	return d
}

// announce writes the next entry to the store, unless the server is lost, unlisted or silent.
func (s *Server) announce() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isLost || s.isUnlisted || time.Now().Before(s.silentUntil) {
		return
	}
	s.entrySequence++
	d := s.statusFields()
	d["service"], d["address"], d["zone"], d["slots"], d["seq"] = s.service, s.faultServer.Address(), s.zone, 4, s.entrySequence
	if data, err := json.Marshal(d); err == nil {
		s.fleet.store.put(serversTopic, s.id, data)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	s.stateLeaving(w, id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		s.mutex.Lock()
		d := s.statusFields()
		d["seq"] = s.acceptedOrders
		s.mutex.Unlock()
		writeJSON(w, http.StatusOK, d)
	case "/order":
		s.handleOrder(w, r)
	case "/health":
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Cold-Ms", s.coldHeader())
		w.WriteHeader(s.healthStatus())
	default:
		for _, v := range s.fleet.lethal.recordArrival(id, s.id, time.Now()) {
			s.fleet.recordViolation(v)
		}
		s.checkArrival(id, time.Now())
		if !s.refusePaused(w, id) {
			s.handleRequest(w, r)
		}
	}
}

// healthStatus returns the status of a health check, an error for a server that leaves.
func (s *Server) healthStatus() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isLeaving {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func (s *Server) groupAndEpoch() (group string, epoch int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.group, s.epoch
}

func (s *Server) isMemberOf(group string, epoch int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.isLost && s.group == group && s.epoch == epoch
}
