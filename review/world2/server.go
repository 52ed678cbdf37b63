//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// server is a stand-in of a backend server in a process of its own: a model engine that joins
// groups if it has a domain, else an application server.
type server struct {
	id, service, domain, store, address string
	// body is the size of the answer of an application server, work how long it takes.
	body int
	work time.Duration
	// pieces is the number of events of a stream, gap the time between two.
	pieces int
	gap    time.Duration
	// unframed answers have neither a length nor chunks and end with their connection.
	unframed bool
	// lethal is the part of prompts that ends the engine.
	lethal string
	// dark is how long an engine is silent before it ends, 0 for not at all.
	dark time.Duration
	dead atomic.Bool
	born int64
	log  *os.File

	mutex    sync.Mutex
	entry    int
	draining bool
	orders   int64
	group    string
	epoch    int64
	highest  int64
	members  []string
	state    string
	model    string
	last     string
	staged   []string
	busy     bool
	running  int
	// generation changes with each membership: what was begun before is void.
	generation int
}

const (
	joinTime    = 200 * time.Millisecond
	warmTime    = 400 * time.Millisecond
	loadTime    = 1500 * time.Millisecond
	openTime    = 300 * time.Millisecond
	beatTime    = 400 * time.Millisecond
	engineSlots = 8
)

func runServer(arguments []string) {
	s := &server{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("server", flag.ExitOnError)
	f.StringVar(&s.id, "id", "", "identifier")
	f.StringVar(&s.service, "service", "", "service")
	f.StringVar(&s.domain, "domain", "", "domain of an engine")
	f.StringVar(&s.store, "store", "", "address of the store")
	f.StringVar(&s.address, "address", "127.0.0.1:0", "address")
	f.IntVar(&s.body, "body", 800, "bytes of an answer")
	f.DurationVar(&s.work, "work", 15*time.Millisecond, "time of an answer")
	f.IntVar(&s.pieces, "pieces", 30, "events of a stream")
	f.DurationVar(&s.gap, "gap", 60*time.Millisecond, "time between two events")
	f.BoolVar(&s.unframed, "unframed", false, "answers end with their connection")
	f.StringVar(&s.lethal, "lethal", "", "part that ends the engine")
	f.DurationVar(&s.dark, "dark", 0, "time for which the engine is silent before it ends")
	logPath := f.String("log", "", "record")
	if err := f.Parse(arguments); err != nil {
		os.Exit(exitNotRun)
	}
	var err error
	if s.log, err = os.OpenFile(*logPath, os.O_APPEND|os.O_WRONLY|os.O_CREATE, 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	s.address = listener.Addr().String()
	s.note("starts at %s, born %d", s.address, s.born)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		// The notice of a planned stop.
		<-signals
		s.mutex.Lock()
		s.draining = true
		s.mutex.Unlock()
		s.announce()
		s.note("says that it is draining")
	}()
	go func() {
		for {
			s.announce()
			time.Sleep(beatTime)
		}
	}()
	if err := http.Serve(&standingListener{listener, s}, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// standingListener accepts nothing while the server stands still.
type standingListener struct {
	net.Listener
	server *server
}

// Accept implements net.Listener.
func (l *standingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.server.standStill()
	return c, err
}

// standStill does not return once the server is about to end.
func (s *server) standStill() {
	if s.dead.Load() {
		select {}
	}
}

// note writes a line to the record.
func (s *server) note(format string, arguments ...any) {
	writeLine(s.log, "server "+s.id, fmt.Sprintf(format, arguments...))
}

// describe returns what the report and the entry have in common. The caller holds the mutex.
func (s *server) describe() map[string]any {
	d := map[string]any{"state": "ready", names["started"]: s.born, names["cold"]: 0, "version": "1"}
	if s.draining {
		d["state"] = "draining"
	}
	if s.domain == "" {
		return d
	}
	d["stage"], d["models"], d["busy"], d["domain"], d["staged"] = "colocated", []any{}, s.busy, s.domain, s.staged
	d["pace"], d["running"], d["queued"], d["kv_used"], d["kv_total"], d["handles"] = 1.0, s.running, 0, 0, 1000000, 0
	if s.group != "" {
		d["models"] = []any{map[string]any{"name": s.model, "version": 1, "adapters": []string{}}}
		d["group"] = map[string]any{"name": s.group, "epoch": s.epoch, "rank": slices.Index(s.members, s.id), "state": s.state}
	}
	return d
}

// announce writes the entry of the server to the store.
func (s *server) announce() {
	s.standStill()
	s.mutex.Lock()
	s.entry++
	d := s.describe()
	d["service"], d["address"], d["zone"], d["slots"], d["seq"] = s.service, s.address, "z1", engineSlots, s.entry
	s.mutex.Unlock()
	data, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	response, err := http.Post("http://"+s.store+"/put?key="+s.id, "application/json", bytes.NewReader(data))
	if err == nil {
		response.Body.Close()
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.standStill()
	id := r.Header.Get(names["request"])
	if id != "" {
		w.Header().Set(names["request"], id)
	}
	s.mutex.Lock()
	isLeaving := s.draining
	s.mutex.Unlock()
	if isLeaving {
		w.Header().Set(names["leaving"], "1")
	}
	if target := r.Header.Get(names["target"]); target != "" && target != s.id {
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
		s.serveOrder(w, r)
	case "/health":
		w.Header().Set(names["instance"], s.id)
		if isLeaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		s.serveRequest(w, r, id, isLeaving)
	}
}

// serveRequest runs a request of a client.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request, id string, isLeaving bool) {
	s.mutex.Lock()
	isRefused := s.domain != "" && (s.state != "open" || s.running >= 2*engineSlots)
	generation := s.generation
	if !isRefused {
		s.running++
	}
	s.mutex.Unlock()
	if isRefused {
		w.Header().Set(names["not-run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.note("refuses %s as not run", id)
		return
	}
	defer s.endRequest()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.note("cannot read %s: %v", id, err)
		return
	}
	parts := partIDs(r.Header.Get(names["prefix"]))
	isLethal := s.lethal != "" && len(parts) > 0 && slices.Contains(parts[:len(parts)-1], s.lethal)
	s.note("runs %s lethal=%v tenant=%s after=%q", id, isLethal, r.Header.Get(names["tenant"]), r.Header.Get("Last-Event-Id"))
	if isLethal {
		s.note("ends under %s", id)
		if s.dark <= 0 {
			os.Exit(1)
		}
		// Nothing is read, written or accepted any more.
		s.dead.Store(true)
		time.Sleep(s.dark)
		os.Exit(1)
	}
	header := http.Header{}
	header.Set(names["request"], id)
	header.Set(names["seal"], fmt.Sprintf("%s.%s", s.id, id))
	if isLeaving {
		header.Set(names["leaving"], "1")
	}
	if s.domain == "" {
		header.Set("Content-Type", "application/octet-stream")
		s.answerWhole(w, r, id, header)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	header.Set(names["versions"], "1")
	s.answerStream(w, r, id, header, generation)
}

func (s *server) endRequest() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	if s.state == "closing" && s.running == 0 {
		s.state = "ready"
	}
}

// answer returns a function that writes a part of an answer, and one that ends it.
func (s *server) answer(w http.ResponseWriter, header http.Header) (write func(data []byte) error, end func()) {
	if !s.unframed {
		for n, v := range header {
			w.Header()[n] = v
		}
		controller := http.NewResponseController(w)
		return func(data []byte) error {
			if _, err := w.Write(data); err != nil {
				return err
			}
			return controller.Flush()
		}, func() {}
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return func([]byte) error { return err }, func() {}
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	header.Write(&head)
	head.WriteString("\r\n")
	connection.Write(head.Bytes())
	return func(data []byte) error {
		_, err := connection.Write(data)
		return err
	}, func() { connection.Close() }
}

// answerWhole writes an answer in two halves.
func (s *server) answerWhole(w http.ResponseWriter, r *http.Request, id string, header http.Header) {
	body := answerBody(id, s.body)
	write, end := s.answer(w, header)
	defer end()
	time.Sleep(s.work / 2)
	s.note("writes the first half of %s", id)
	if write(body[:len(body)/2]) != nil {
		return
	}
	time.Sleep(s.work / 2)
	if write(body[len(body)/2:]) != nil {
		return
	}
	s.note("completes %s, %d bytes", id, len(body))
}

// answerBody returns the whole answer of an application server to a request.
func answerBody(id string, size int) []byte {
	return []byte(strings.Repeat(id+" ", size/(len(id)+1)+1)[:size])
}

// answerStream writes the events of a stream.
func (s *server) answerStream(w http.ResponseWriter, r *http.Request, id string, header http.Header, generation int) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	write, end := s.answer(w, header)
	isUnframed := s.unframed
	for n := after + 1; n <= s.pieces; n++ {
		time.Sleep(s.gap)
		s.standStill()
		s.mutex.Lock()
		isVoid := s.generation != generation
		s.mutex.Unlock()
		if isVoid || !isUnframed && r.Context().Err() != nil {
			s.note("breaks off %s before event %d", id, n)
			panic(http.ErrAbortHandler)
		}
		if write(fmt.Appendf(nil, "id: %d\ndata: %s piece %d of %d\n\n", n, id, n, s.pieces)) != nil {
			s.note("cannot write event %d of %s", n, id)
			panic(http.ErrAbortHandler)
		}
	}
	s.note("completes %s, %d events", id, s.pieces)
	end()
}

func partIDs(header string) []string {
	if header == "" {
		return nil
	}
	parts := strings.Split(header, ",")
	for n, p := range parts {
		parts[n], _, _ = strings.Cut(p, ":")
	}
	return parts
}

// serveOrder carries out an order of the controller.
func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op       string   `json:"op"`
		Expected *int64   `json:"expected"`
		Group    string   `json:"group"`
		Epoch    int64    `json:"epoch"`
		Model    string   `json:"model"`
		Members  []string `json:"members"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status := s.carryOut(o.Op, o.Expected, o.Group, o.Epoch, o.Model, o.Members)
	s.note("order %s %s epoch %d model %s: %d", o.Op, o.Group, o.Epoch, o.Model, status)
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status of the answer. The caller holds the mutex.
func (s *server) carryOut(op string, expected *int64, group string, epoch int64, model string, members []string) int {
	isSame := s.group == group && s.epoch == epoch && s.group != ""
	switch {
	case op == "stage" && slices.Contains(s.staged, model):
		return http.StatusOK
	case op == "join" && isSame && slices.Equal(members, s.members):
		return http.StatusOK
	case op == "open" && isSame && s.state == "open", op == "close" && isSame && s.state == "ready", op == "leave" && !isSame:
		return http.StatusOK
	case expected != nil && *expected != s.orders:
		return http.StatusConflict
	case op == "join" && (epoch < s.highest || isSame):
		return http.StatusPreconditionFailed
	case op == "open" && (!isSame || s.state != "ready" || s.members[0] != s.id), op == "close" && (!isSame || s.state != "open"):
		return http.StatusConflict
	}
	s.orders++
	switch op {
	case "stage":
		time.AfterFunc(loadTime, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.staged = []string{model}
		})
	case "join":
		duration := loadTime
		switch {
		case s.last == model:
			duration = joinTime
		case slices.Contains(s.staged, model):
			duration = warmTime
		}
		s.generation++
		s.group, s.epoch, s.highest, s.members, s.state, s.model, s.last, s.busy = group, epoch, epoch, members, "joining", model, model, true
		s.advanceLater(duration, "joining", "ready")
	case "open":
		s.busy = true
		s.advanceLater(openTime, "ready", "open")
	case "close":
		s.state = "closing"
		if s.running == 0 {
			s.state = "ready"
		}
	case "leave":
		s.generation++
		s.group, s.epoch, s.members, s.state, s.model, s.busy = "", 0, nil, "", "", false
		return http.StatusOK
	}
	return http.StatusAccepted
}

// advanceLater changes the state of the membership later, unless it is another one then.
func (s *server) advanceLater(d time.Duration, from, to string) {
	generation := s.generation
	time.AfterFunc(d, func() {
		s.mutex.Lock()
		if s.generation == generation && s.state == from {
			s.state, s.busy = to, false
		}
		s.mutex.Unlock()
		s.announce()
	})
}
