// Package platform stands in for the users' platform in tests and the demo: its
// metadata store, backend servers that form groups, plain servers, and an operator
// who publishes a configuration.
package platform

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

const (
	operatorTopic = "keyed.op"
	serversTopic  = "keyed.servers"
	recordHead    = 4
	readHead      = 16
	// pollInterval is the time between two looks at a topic that is waited for.
	pollInterval = 10 * time.Millisecond
)

type record struct {
	offset int64
	key    string
	value  []byte
}

type topic struct {
	records []record
	first   int64
	end     int64
	newest  map[string]record
	// producers are those that have appended under a name.
	producers map[string]*producer
}

// repeatable is the number of a producer's last appends that may be repeated.
const repeatable = 5

// producer is what a topic knows of one writer.
type producer struct {
	epoch, next int64
	// offsets are those of the last appends by their numbers.
	offsets map[int64]int64
}

// Store is the metadata store.
type Store struct {
	mutex  sync.Mutex
	topics map[string]*topic
	down   bool
	// delay holds every call back.
	delay time.Duration
	// lost is the number of appends whose answers are lost next.
	lost int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: make(map[string]*topic)} }

// Listen serves the store on a free loopback port. Its faults can also be struck
// with POST /faults, under the names that the product's own log gives them.
func (s *Store) Listen() (*faulter.Server, func(), error) {
	server, stop, err := faulter.Start(s)
	if err != nil {
		return nil, nil, err
	}
	server.Extend("out", func(count int, _ time.Duration) { s.SetDown(count > 0) })
	server.Extend("slow", func(_ int, d time.Duration) { s.SetDelay(d) })
	server.Extend("lose-append-answers", func(count int, _ time.Duration) { s.LoseAppendAnswers(count) })
	return server, stop, nil
}

// SetDown has every call refused, or served again.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// SetDelay makes every call slow by d.
func (s *Store) SetDelay(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = d
}

// LoseAppendAnswers makes the next n appends take effect without an answer.
func (s *Store) LoseAppendAnswers(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lost = n
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	t.records, t.first = nil, t.end
}

// Publish writes a configuration as the operator does.
func (s *Store) Publish(configuration []byte) { s.put(operatorTopic, "config", configuration) }

func (s *Store) put(name, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(s.topic(name), key, value)
}

func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]record), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(t *topic, key string, value []byte) int64 {
	r := record{offset: t.end, key: key, value: value}
	t.records = append(t.records, r)
	t.end++
	t.newest[key] = r
	if len(value) == 0 {
		delete(t.newest, key)
	}
	return r.offset
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	down, delay := s.down, s.delay
	s.mutex.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.handleAppend(w, r, name)
	case "/log-read":
		s.handleRead(r.Context(), w, r, name)
	case "/log-newest":
		s.handleNewest(w, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request, name string) {
	data := make([]byte, r.ContentLength)
	if _, err := readFull(r, data); err != nil || len(data) <= recordHead || len(data) <= recordHead+1+int(data[recordHead]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == operatorTopic || name == serversTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	p, number, reason, repeated := t.producer(r)
	switch {
	case reason != "":
		writeJSON(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	case repeated:
		writeJSON(w, http.StatusOK, map[string]any{"offset": p.offsets[number], "end": t.end})
		return
	}
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(t.end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": t.end})
		return
	}
	n := recordHead + 1 + int(data[recordHead])
	offset := s.append(t, string(data[recordHead+1:n]), slices.Clone(data[n:]))
	if p != nil {
		p.offsets[number], p.next = offset, number+1
		delete(p.offsets, number-repeatable)
	}
	if s.lost > 0 {
		s.lost--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": t.end})
}

// producer returns the writer that an append names, nil for none, with the number
// of the append, why it is refused, and whether it is a repeat.
func (t *topic) producer(r *http.Request) (p *producer, number int64, reason string, repeated bool) {
	query := r.URL.Query()
	name := query.Get("producer")
	if name == "" {
		return nil, 0, "", false
	}
	epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
	number, _ = strconv.ParseInt(query.Get("seq"), 10, 64)
	p, ok := t.producers[name]
	if !ok || epoch > p.epoch {
		p = &producer{epoch: epoch, next: number, offsets: make(map[int64]int64)}
		t.producers[name] = p
	}
	if epoch < p.epoch {
		return p, number, "fenced", false
	}
	if _, repeated = p.offsets[number]; repeated {
		return p, number, "", true
	}
	if number != p.next {
		return p, number, "seq", false
	}
	return p, number, "", false
}

func readFull(r *http.Request, data []byte) (int, error) {
	read := 0
	for read < len(data) {
		n, err := r.Body.Read(data[read:])
		read += n
		if err != nil && read < len(data) {
			return read, err
		}
	}
	return read, nil
}

func (s *Store) handleRead(ctx context.Context, w http.ResponseWriter, r *http.Request, name string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		body, status := s.read(name, from)
		if status != http.StatusOK || len(body) > readHead || time.Now().After(deadline) || ctx.Err() != nil {
			w.WriteHeader(status)
			w.Write(body)
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Store) read(name string, from int64) ([]byte, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	if from < t.first {
		return []byte(`{"first":` + strconv.FormatInt(t.first, 10) + `}`), http.StatusGone
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(t.end))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for _, r := range t.records {
		if r.offset < from {
			continue
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(append(append(body, byte(len(r.key))), r.key...), r.value...)
	}
	return body, http.StatusOK
}

func (s *Store) handleNewest(w http.ResponseWriter, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	items := []map[string]any{}
	for key, r := range t.newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(r.value), "offset": r.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": t.end})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
