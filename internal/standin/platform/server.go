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
	// loadTime, warmTime, sameTime and formTime are the times of a join with a
	// load, with a staged model and with the last model, and of an order to open.
	loadTime = 300 * time.Millisecond
	warmTime = 60 * time.Millisecond
	sameTime = 20 * time.Millisecond
	formTime = 30 * time.Millisecond
	// stallTime is the time after which a leader gives up on a lost member.
	stallTime = 2 * time.Second
	// pieceTime is the time between two events of a stream.
	pieceTime = 5 * time.Millisecond
	// entryInterval is the time between two entries in the store.
	entryInterval = 100 * time.Millisecond
	// defaultPieces is the number of events of a stream.
	defaultPieces = 20
)

// States of a member of a group, as the platform writes them.
const (
	stateJoining = "joining"
	stateReady   = "ready"
	stateOpen    = "open"
	stateBroken  = "broken"
)

// Server is a backend server: a member of groups, or a plain server.
type Server struct {
	fleet   *Fleet
	id      string
	service string
	domain  string
	faults  *faulter.Server
	// engine makes the tokens; a plain server has none.
	engine *engine.Engine
	runs   *application.Ledger
	end    func()

	mutex   sync.Mutex
	born    int64
	entries int64
	orders  int64
	group   string
	epoch   int64
	seen    int64
	members []string
	rank    int
	state   string
	model   string
	last    string
	staged  []string
	opens   time.Time
	streams int64
	cuts    map[int64]context.CancelFunc
	lost    bool
	leaving bool
}

// start starts the engine or the application server behind the protocol.
func (s *Server) start() error {
	if s.domain == "" {
		a, end, err := application.Start(fuchsiapitch.ServerID(s.id), s.runs, application.WithProtocol(s))
		if err != nil {
			return err
		}
		s.faults, s.end = a.Server, end
		return nil
	}
	e, end, err := engine.Start(fuchsiapitch.ServerID(s.id), s.fleet.registry,
		engine.WithProtocol(s), engine.WithLoader(s), engine.WithSpeed(engine.Speed{Token: pieceTime}))
	if err != nil {
		return err
	}
	s.faults, s.engine, s.end = e.Server, e, end
	return nil
}

// Lose takes a server away without a word; its entry goes a little later.
func (s *Server) Lose() {
	s.mutex.Lock()
	s.lost = true
	s.mutex.Unlock()
	s.faults.Pause()
	time.AfterFunc(5*entryInterval, func() { s.fleet.store.put(serversTopic, s.id, nil) })
}

// Faults strikes the connections and answers of the server.
func (s *Server) Faults() *faulter.Server { return s.faults }

// ID returns the identifier of the server.
func (s *Server) ID() string { return s.id }

// Members returns the members of the server's group.
func (s *Server) Members() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.members)
}

// Runs returns how often a request was run.
func (s *Server) Runs(request string) int { return s.runs.Runs(request) }

func (s *Server) status() (string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.advance()
	return s.state, s.lost
}

// advance follows the engine, and carries on what takes time.
func (s *Server) advance() {
	if s.engine == nil || s.group == "" {
		return
	}
	ready := s.engine.Account().Ready()
	switch {
	case s.state == stateJoining && ready:
		s.state = stateReady
	case s.state == stateOpen && !ready:
		s.state = stateBroken
	}
	if !s.opens.IsZero() && time.Now().After(s.opens) {
		s.state, s.opens = stateOpen, time.Time{}
	}
}

func (s *Server) describe() map[string]any {
	s.advance()
	d := map[string]any{
		"state": stateReady, "born": s.born, "stage": "colocated", "busy": s.state == stateJoining || !s.opens.IsZero(),
		"domain": s.domain, "staged": s.staged, "models": []any{}, "queued": 0, "running": 0, "pace": 1.0,
	}
	if s.leaving {
		d["state"] = "draining"
	}
	if s.group != "" {
		d["models"] = []any{map[string]any{"name": s.model, "version": 1}}
		d["group"] = map[string]any{"name": s.group, "epoch": s.epoch, "rank": s.rank, "state": s.state}
	}
	return d
}

func (s *Server) entry() ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lost {
		return nil, false
	}
	s.entries++
	d := s.describe()
	d["service"], d["address"], d["zone"], d["slots"], d["seq"] = s.service, s.faults.Address(), "z1", 4, s.entries
	data, err := json.Marshal(d)
	return data, err == nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		s.mutex.Lock()
		d := s.describe()
		d["seq"] = s.orders
		s.mutex.Unlock()
		writeJSON(w, http.StatusOK, d)
	case "/order":
		s.handleOrder(w, r)
	case "/health":
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
	default:
		s.run(w, r)
	}
}

func (s *Server) holds() (group string, epoch int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.group, s.epoch
}

func (s *Server) isIn(group string, epoch int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.lost && s.group == group && s.epoch == epoch
}
