package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
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

// Fleet is a set of backend servers and the store that lists them.
type Fleet struct {
	store    *Store
	registry *engine.Registry
	mutex    sync.Mutex
	servers  map[string]*Server
	stop     chan struct{}
	done     chan struct{}
	broken   []string
	late     int
}

// lateTime is the time after which an order without an answer is carried out.
const lateTime = 200 * time.Millisecond

// DelayOrders has the next orders carried out late and not answered.
func (f *Fleet) DelayOrders(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.late = n
}

func (f *Fleet) takeDelay() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.late == 0 {
		return false
	}
	f.late--
	return true
}

// NewFleet returns an empty fleet and a function that ends it.
func NewFleet(store *Store) (*Fleet, func()) {
	f := &Fleet{store: store, registry: engine.NewRegistry(), servers: make(map[string]*Server), stop: make(chan struct{}), done: make(chan struct{})}
	go f.announce()
	return f, func() {
		close(f.stop)
		<-f.done
		for _, s := range f.all() {
			s.end()
		}
	}
}

// Add starts a server of a service, a model engine if it has a fabric domain.
func (f *Fleet) Add(id, service, domain string) (*Server, error) {
	s := &Server{
		fleet: f, id: id, service: service, domain: domain, born: time.Now().UnixMilli(), runs: application.NewLedger(),
		cuts: make(map[int64]context.CancelFunc),
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.servers[id] = s
	return s, nil
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

// Broken returns what the servers saw that must never be.
func (f *Fleet) Broken() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.broken)
}

func (f *Fleet) all() []*Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := make([]*Server, 0, len(f.servers))
	for _, s := range f.servers {
		list = append(list, s)
	}
	return list
}

// Server returns a server by its identifier, nil for none.
func (f *Fleet) Server(id string) *Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers[id]
}

// Leaders returns the servers whose groups take requests.
func (f *Fleet) Leaders() []*Server {
	var leaders []*Server
	for _, s := range f.all() {
		if state, lost := s.status(); state == stateOpen && !lost {
			leaders = append(leaders, s)
		}
	}
	return leaders
}

// Whole returns the number of groups that take requests and whose members are all
// there.
func (f *Fleet) Whole() int {
	n := 0
	for _, leader := range f.Leaders() {
		group, epoch := leader.holds()
		whole := true
		for _, id := range leader.Members() {
			whole = whole && f.Server(id).isIn(group, epoch)
		}
		if whole {
			n++
		}
	}
	return n
}

// announce writes the entries of all servers that live.
func (f *Fleet) announce() {
	defer close(f.done)
	ticker := time.NewTicker(entryInterval)
	defer ticker.Stop()
	for {
		for _, s := range f.all() {
			if entry, ok := s.entry(); ok {
				f.store.put(serversTopic, s.id, entry)
			}
		}
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
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

type order struct {
	Op       string   `json:"op"`
	Expected *int64   `json:"expected"`
	Group    string   `json:"group"`
	Epoch    int64    `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
	Mode     string   `json:"close_mode"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.fleet.takeDelay() {
		time.AfterFunc(lateTime, func() { s.carryOut(o) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(s.carryOut(o))
}

// carryOut takes an order and returns the HTTP status.
func (s *Server) carryOut(o order) int {
	if o.Op == "join" {
		s.watchJoin(o)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.advance()
	if o.Expected != nil && *o.Expected != s.orders {
		return http.StatusConflict
	}
	return s.take(o)
}

// watchJoin notes a join of a server whose group takes requests.
func (s *Server) watchJoin(o order) {
	s.mutex.Lock()
	group, members, valid := s.group, slices.Clone(s.members), o.Expected == nil || *o.Expected == s.orders
	s.mutex.Unlock()
	if group == "" || group == o.Group || !valid {
		return
	}
	head := s.fleet.Server(members[0])
	if head == nil {
		return
	}
	head.mutex.Lock()
	open := head.group == group && (head.state == stateOpen || !head.opens.IsZero()) && !head.lost
	head.mutex.Unlock()
	if open {
		s.fleet.mutex.Lock()
		s.fleet.broken = append(s.fleet.broken, fmt.Sprintf("%s joins %s while %s is open", s.id, o.Group, group))
		s.fleet.mutex.Unlock()
	}
}

// take carries out an order and returns the HTTP status.
func (s *Server) take(o order) int {
	same := s.group == o.Group && s.epoch == o.Epoch
	switch {
	case o.Op == "join" && o.Epoch < s.seen:
		return http.StatusPreconditionFailed
	case o.Op == "join":
		s.join(o)
	case o.Op == "stage":
		s.staged = []string{o.Model}
	case o.Op == "open" && same && s.rank == 0 && s.state == stateReady:
		s.opens = time.Now().Add(formTime)
	case o.Op == "close" && same && s.state == stateOpen:
		s.state = stateReady
		if o.Mode == "evict" {
			s.cutStreams()
		}
	case o.Op == "leave" && same:
		s.group, s.state, s.members, s.opens = "", "", nil, time.Time{}
		s.assign(o.Epoch)
	default:
		return http.StatusConflict
	}
	s.orders++
	if o.Op == "leave" || o.Op == "close" {
		return http.StatusOK
	}
	return http.StatusAccepted
}

func (s *Server) join(o order) {
	s.group, s.epoch, s.seen, s.members = o.Group, o.Epoch, o.Epoch, o.Members
	s.rank, s.state, s.opens = slices.Index(o.Members, s.id), stateJoining, time.Time{}
	s.model = o.Model
	s.assign(o.Epoch)
}

// assign brings the engine in line with the group of the server.
func (s *Server) assign(epoch int64) {
	var a fuchsiapitch.Assignment
	if s.group != "" {
		members := make([]fuchsiapitch.ServerID, 0, len(s.members))
		for _, id := range s.members {
			members = append(members, fuchsiapitch.ServerID(id))
		}
		group := fuchsiapitch.GroupID(fmt.Sprintf("%s/%d", s.group, epoch))
		a = fuchsiapitch.NewAssignment(group, fuchsiapitch.ServiceName(s.service), members, s.model, "1")
	}
	s.engine.Order(fuchsiapitch.NewOrder(fuchsiapitch.NewFence(fuchsiapitch.Term(epoch), 0), a))
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

// Load implements engine.Loader: it takes the time of a join.
func (s *Server) Load(ctx context.Context, model, _ string) bool {
	s.mutex.Lock()
	took := loadTime
	switch {
	case s.last == model:
		took = sameTime
	case slices.Contains(s.staged, model):
		took = warmTime
	default:
		s.staged = []string{model}
	}
	s.last = model
	s.mutex.Unlock()
	select {
	case <-time.After(took):
		return true
	case <-ctx.Done():
		return false
	}
}

// run answers a request.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	if state, _ := s.status(); s.engine != nil && state != stateOpen {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.runs.Run(id)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", "seal-"+s.id)
	if s.engine != nil {
		s.stream(w, r, string(body))
		return
	}
	w.Write([]byte(s.id + " got " + string(body)))
}

// stream writes events with rising identifiers. It stands still while a member of
// the group is missing; after a time the leader gives the group up.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, prompt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	made, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	ctx, cancel := s.cuttable(r.Context())
	defer cancel()
	stall := time.AfterFunc(stallTime, func() {
		s.giveUp()
		cancel()
	})
	defer stall.Stop()
	err := s.engine.Generate(ctx, prompt, made, defaultPieces, func(n int64) error {
		stall.Reset(stallTime)
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		return http.NewResponseController(w).Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// cuttable returns a context for a stream that cutStreams ends.
func (s *Server) cuttable(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.streams++
	n := s.streams
	s.cuts[n] = cancel
	return ctx, func() {
		cancel()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.cuts, n)
	}
}

// cutStreams ends all streams. Callers hold the lock.
func (s *Server) cutStreams() {
	for _, cancel := range s.cuts {
		cancel()
	}
}

// giveUp marks a group broken that a member has been missing from for long.
func (s *Server) giveUp() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state == stateOpen {
		s.state = stateBroken
	}
}
