//go:build review

package world3

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a log with keyed topics of one partition. It loses
// nothing, answers at once and refuses nothing.
type store struct {
	mutex    sync.Mutex
	topics   map[string]*topic
	listener net.Listener
	appended chan struct{}
}

type topic struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
}

type record struct {
	key   string
	value []byte
}

type producer struct {
	epoch, next int64
	offsets     map[int64]int64
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: make(map[string]*topic), listener: l, appended: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.append)
	m.HandleFunc("GET /log-read", s.read)
	m.HandleFunc("GET /log-newest", s.newest)
	// The way of the stand-ins of replicas into the store, which the pages do not describe.
	m.HandleFunc("POST /stand-in/put", s.putFromReplica)
	go http.Serve(l, m)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator or a replica does. A record without a value drops the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appendRecord(topicName, key, value)
}

func (s *store) appendRecord(topicName, key string, value []byte) int64 {
	t := s.topic(topicName)
	t.records = append(t.records, record{key, value})
	n := len(t.records) - 1
	t.newest[key] = n
	if len(value) == 0 {
		delete(t.newest, key)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return int64(n)
}

func (s *store) putFromReplica(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.put("keyed.servers", r.URL.Query().Get("key"), value)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var added []record
	for rest := body; len(rest) > 0; {
		if len(rest) < 5 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if rest = rest[4:]; n < 1 || len(rest) < n || n < 1+int(rest[0]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k := 1 + int(rest[0])
		added = append(added, record{string(rest[1:k]), append([]byte(nil), rest[k:n]...)})
		rest = rest[n:]
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	var p *producer
	if q.Get("producer") != "" {
		if p = t.producers[q.Get("producer")]; p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, next: sequence, offsets: make(map[int64]int64)}
			t.producers[q.Get("producer")] = p
		}
		if epoch < p.epoch {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if offset, ok := p.offsets[sequence]; ok {
			writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
			return
		}
		if sequence != p.next {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": p.next})
			return
		}
	}
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	offset := int64(len(t.records))
	for _, a := range added {
		s.appendRecord(name, a.key, a.value)
	}
	if p != nil {
		p.offsets[sequence], p.next = offset, sequence+1
		delete(p.offsets, sequence-5)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		records, appended := s.topic(q.Get("topic")).records, s.appended
		s.mutex.Unlock()
		if from > len(records) {
			writeJSON(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < len(records) || wait <= 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, a := range records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(a.key)+len(a.value)))
				body = append(append(append(body, byte(len(a.key))), a.key...), a.value...)
			}
			w.Write(body)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for key, n := range t.newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[n].value), "offset": n})
	}
	sort.Slice(items, func(a, b int) bool { return items[a]["key"].(string) < items[b]["key"].(string) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
