// Package platform stands in for the users' platform in tests and the demo: its
// metadata store, backend servers that form groups, plain servers, and an operator
// who publishes a configuration.
package platform

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/log"
)

const (
	operatorTopic = "keyed.op"
	serversTopic  = "keyed.servers"
	recordHead    = 4
	// firstOffset is the log's offset of the record that the platform calls 0.
	firstOffset = 1
)

// topic is what the store knows of a stream beyond its records.
type topic struct {
	// newest are the newest records of each key, deleted ones left out.
	newest map[string]log.Record
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

// Store is the metadata store: the log under the platform's protocol, with keys,
// conditions and producers.
type Store struct {
	*log.Log
	mutex  sync.Mutex
	topics map[string]*topic
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{Log: log.New(), topics: make(map[string]*topic)} }

// Listen serves the store on a free loopback port. Each endpoint has faults of its
// own beside those of the log.
func (s *Store) Listen() (*faulter.Server, func(), error) { return s.ListenAs(s.routes()) }

func (s *Store) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("/log-append", s.handleAppend)
	m.HandleFunc("/log-read", s.handleRead)
	m.HandleFunc("/log-newest", s.handleNewest)
	return m
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(name string) { s.Truncate(name, 0) }

// Publish writes a configuration as the operator does.
func (s *Store) Publish(configuration []byte) { s.put(operatorTopic, "config", configuration) }

func (s *Store) put(name, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(name, key, value)
}

func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]log.Record), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

// append adds a record and returns its offset in the platform's count, which
// begins at 0.
func (s *Store) append(name, key string, value []byte) int64 {
	offset := s.Append(name, key, value)
	t := s.topic(name)
	t.newest[key] = log.Record{ID: key, Offset: offset, Data: value}
	if len(value) == 0 {
		delete(t.newest, key)
	}
	return int64(offset) - firstOffset
}

// end returns the offset of the next record of a topic in the platform's count.
func (s *Store) end(name string) int64 { return int64(s.Read(name, 0, 0).Next) - firstOffset }

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) <= recordHead || len(data) <= recordHead+1+int(data[recordHead]) {
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
		writeJSON(w, http.StatusOK, map[string]any{"offset": p.offsets[number], "end": s.end(name)})
		return
	}
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(s.end(name), 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": s.end(name)})
		return
	}
	n := recordHead + 1 + int(data[recordHead])
	offset := s.append(name, string(data[recordHead+1:n]), slices.Clone(data[n:]))
	if p != nil {
		p.offsets[number], p.next = offset, number+1
		delete(p.offsets, number-repeatable)
	}
	if s.LosesAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": s.end(name)})
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

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 63)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page := s.Read(query.Get("topic"), from+firstOffset, math.MaxUint64)
		switch {
		case from+firstOffset < page.Oldest:
			writeJSON(w, http.StatusGone, map[string]any{"first": page.Oldest - firstOffset})
			return
		case len(page.Records) > 0 || wait <= 0:
			w.Write(encode(page))
			return
		}
		select {
		case <-page.Changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns a page as the platform writes it.
func encode(page log.Page) []byte {
	body := binary.BigEndian.AppendUint64(nil, page.Next-firstOffset)
	body = binary.BigEndian.AppendUint64(body, page.Oldest-firstOffset)
	for _, r := range page.Records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.ID)+len(r.Data)))
		body = append(append(append(body, byte(len(r.ID))), r.ID...), r.Data...)
	}
	return body
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []map[string]any{}
	for key, n := range s.topic(name).newest {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(n.Data), "offset": n.Offset - firstOffset,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": s.end(name)})
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
