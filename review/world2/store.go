//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: a log with keyed topics of one partition.
type store struct {
	mutex  sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

type record struct {
	key   string
	value []byte
}

type producer struct {
	epoch, next int64
	offsets     map[int64]int
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

// topic returns a topic. The caller holds the mutex.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends a record and returns its offset. The caller holds the mutex.
func (t *topic) add(key string, value []byte) int {
	t.records = append(t.records, record{key, value})
	t.newest[key] = len(t.records) - 1
	if len(value) == 0 {
		delete(t.newest, key)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return len(t.records) - 1
}

// put writes a record as the operator and the servers do.
func (s *store) put(topicName, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.topic(topicName).add(key, value)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case names["newest"]:
		s.serveNewest(w, r)
	case names["read"]:
		s.serveRead(w, r)
	case names["append"]:
		s.serveAppend(w, r)
	case "/put":
		// Servers write their entries here.
		body, _ := io.ReadAll(r.Body)
		s.put(names["servers"], r.URL.Query().Get("key"), body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for key, offset := range t.newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[offset].value), "offset": offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		t := s.topic(query.Get("topic"))
		end, changed := len(t.records), t.changed
		var body []byte
		if from <= end {
			body = binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, x := range t.records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(x.key)+len(x.value)))
				body = append(append(append(body, byte(len(x.key))), x.key...), x.value...)
			}
		}
		s.mutex.Unlock()
		if from > end {
			writeJSON(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < end || wait <= 0 {
			w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := query.Get("topic")
	if name == names["servers"] || name == names["operator"] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(query.Get("seq"), 10, 64)
	p, ok := t.producers[query.Get("producer")]
	if !ok || epoch > p.epoch {
		p = &producer{epoch: epoch, next: sequence, offsets: make(map[int64]int)}
		t.producers[query.Get("producer")] = p
	}
	if epoch < p.epoch {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	}
	if offset, repeated := p.offsets[sequence]; repeated {
		writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
		return
	}
	if sequence != p.next {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next})
		return
	}
	if at := query.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	n := 5 + int(body[4])
	offset := t.add(string(body[5:n]), append([]byte(nil), body[n:]...))
	p.offsets[sequence], p.next = offset, sequence+1
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
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
