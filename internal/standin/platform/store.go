// Package platform is a stand-in for the users' platform in tests and the demo: its
// metadata store, model engines that form groups, plain servers and a published
// configuration.
package platform

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
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
	operatorTopic     = "keyed.op"
	serversTopic      = "keyed.servers"
	recordHeaderBytes = 4
	// logOffsetBase is the offset in the log of the record whose offset on the platform
	// is 0.
	logOffsetBase = 1
)

// topic is the state that the store keeps for a stream besides its records.
type topic struct {
	// newestByKey holds the newest record of each key. Deleted keys are missing.
	newestByKey map[string]log.Record
	// producersByName holds the writers that have appended under a name.
	producersByName map[string]*producer
}

// repeatableAppends is the number of a producer's last appends that may be repeated: the
// response to a repeat has the original offset.
const repeatableAppends = 5

// producer is the state that a topic keeps for one writer.
type producer struct {
	epoch, nextSequence int64
	// offsetsBySequence holds the offsets of the last appends by their sequence
	// numbers.
	offsetsBySequence map[int64]int64
}

// Store is the metadata store. It serves the log over the platform's protocol and adds
// keys, conditional appends and producers.
type Store struct {
	*log.Log
	mutex        sync.Mutex
	topicsByName map[string]*topic
	// era counts how often the store has gone back, from firstEra on. It is stated in all answers
	// unless it is 0.
	era int64
}

// firstEra is the era of a store that has never gone back.
const firstEra = 1

// NewStore returns an empty store.
func NewStore() *Store { return &Store{Log: log.New(), topicsByName: make(map[string]*topic)} }

// StateEra makes the store state its era in all answers from now on.
func (s *Store) StateEra() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era = max(s.era, firstEra)
}

// Copy is the content of a store at one moment.
type Copy struct {
	topics map[string]*topic
	ends   map[string]uint64
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{topics: cloneTopics(s.topicsByName), ends: s.Ends()}
}

// GoBack restores a copy, as in a drill. What was written since is gone.
func (s *Store) GoBack(c Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era = max(s.era, firstEra) + 1
	s.topicsByName = cloneTopics(c.topics)
	s.Log.GoBack(c.ends)
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	clones := make(map[string]*topic, len(topics))
	for name, t := range topics {
		clone := &topic{newestByKey: maps.Clone(t.newestByKey), producersByName: make(map[string]*producer)}
		for writer, p := range t.producersByName {
			clone.producersByName[writer] = &producer{epoch: p.epoch, nextSequence: p.nextSequence, offsetsBySequence: maps.Clone(p.offsetsBySequence)}
		}
		clones[name] = clone
	}
	return clones
}

// stateEra adds the era to the header of an answer. Callers hold the lock.
func (s *Store) stateEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
}

// Listen serves the store on a free loopback port. Each endpoint has its own faults
// besides those of the log.
func (s *Store) Listen() (*faulter.Server, func(), error) { return s.ListenWithHandler(s.routes()) }

func (s *Store) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("/log-append", s.handleAppend)
	m.HandleFunc("/log-read", s.handleRead)
	m.HandleFunc("/log-newest", s.handleNewest)
	return m
}

// DropHistory truncates the stream of a topic. The newest record of each key stays
// available through /log-newest.
func (s *Store) DropHistory(topicName string) { s.Truncate(topicName, 0) }

// PublishConfiguration publishes a configuration as the operator does.
func (s *Store) PublishConfiguration(configuration []byte) {
	s.put(operatorTopic, "config", configuration)
}

// WriteServerRecord writes a record among those of the servers, as another writer may.
func (s *Store) WriteServerRecord(key string, value []byte) { s.put(serversTopic, key, value) }

// WriteRecord writes a record of a topic of the system itself.
func (s *Store) WriteRecord(topicName, key string, value []byte) { s.put(topicName, key, value) }

func (s *Store) put(topicName, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appendRecord(topicName, key, value)
}

func (s *Store) topic(topicName string) *topic {
	t, ok := s.topicsByName[topicName]
	if !ok {
		t = &topic{newestByKey: make(map[string]log.Record), producersByName: make(map[string]*producer)}
		s.topicsByName[topicName] = t
	}
	return t
}

// appendRecord appends a record and returns its platform offset, which starts at 0. A
// record without a value deletes the key. Callers hold the lock.
func (s *Store) appendRecord(topicName, key string, value []byte) int64 {
	offset := s.Append(topicName, key, value)
	t := s.topic(topicName)
	t.newestByKey[key] = log.Record{ID: key, Offset: offset, Data: value}
	if len(value) == 0 {
		delete(t.newestByKey, key)
	}
	return int64(offset) - logOffsetBase
}

// endOffset returns the platform offset of the next record of a topic.
func (s *Store) endOffset(topicName string) int64 {
	return int64(s.Read(topicName, 0, 0).NextOffset) - logOffsetBase
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	topicName := r.URL.Query().Get("topic")
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) <= recordHeaderBytes || len(data) < recordHeaderBytes+1+int(data[recordHeaderBytes]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if topicName == operatorTopic || topicName == serversTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateEra(w)
	t := s.topic(topicName)
	p, sequenceNumber, conflictReason, isRepeat := t.resolveProducer(r)
	switch {
	case conflictReason != "":
		writeJSON(w, http.StatusConflict, map[string]any{"reason": conflictReason})
		return
	case isRepeat:
		writeJSON(w, http.StatusOK, map[string]any{"offset": p.offsetsBySequence[sequenceNumber], "end": s.endOffset(topicName)})
		return
	}
	if expectedEnd := r.URL.Query().Get("at"); expectedEnd != "" && expectedEnd != strconv.FormatInt(s.endOffset(topicName), 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": s.endOffset(topicName)})
		return
	}
	keyEnd := recordHeaderBytes + 1 + int(data[recordHeaderBytes])
	offset := s.appendRecord(topicName, string(data[recordHeaderBytes+1:keyEnd]), slices.Clone(data[keyEnd:]))
	if p != nil {
		p.offsetsBySequence[sequenceNumber], p.nextSequence = offset, sequenceNumber+1
		delete(p.offsetsBySequence, sequenceNumber-repeatableAppends)
	}
	if s.ConsumeAppendResponseLoss() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": s.endOffset(topicName)})
}

// resolveProducer returns the producer that an append names, or nil for none, with the
// sequence number of the append, the reason why it is refused, if any, and whether it
// repeats an earlier append.
func (t *topic) resolveProducer(r *http.Request) (p *producer, sequenceNumber int64, conflictReason string, isRepeat bool) {
	query := r.URL.Query()
	producerName := query.Get("producer")
	if producerName == "" {
		return nil, 0, "", false
	}
	epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
	sequenceNumber, _ = strconv.ParseInt(query.Get("seq"), 10, 64)
	p, ok := t.producersByName[producerName]
	if !ok || epoch > p.epoch {
		p = &producer{epoch: epoch, nextSequence: sequenceNumber, offsetsBySequence: make(map[int64]int64)}
		t.producersByName[producerName] = p
	}
	if epoch < p.epoch {
		return p, sequenceNumber, "fenced", false
	}
	if _, isRepeat = p.offsetsBySequence[sequenceNumber]; isRepeat {
		return p, sequenceNumber, "", true
	}
	if sequenceNumber != p.nextSequence {
		return p, sequenceNumber, "seq", false
	}
	return p, sequenceNumber, "", false
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 63)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMillis, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mutex.Lock()
		s.stateEra(w)
		page := s.Read(query.Get("topic"), from+logOffsetBase, math.MaxUint64)
		s.mutex.Unlock()
		switch {
		case from+logOffsetBase < page.OldestOffset, from+logOffsetBase > page.NextOffset:
			writeJSON(w, http.StatusGone, map[string]any{"first": page.OldestOffset - logOffsetBase})
			return
		case len(page.Records) > 0 || waitMillis <= 0:
			w.Write(encodePage(page))
			return
		}
		select {
		case <-page.Appended:
		case <-deadline:
			waitMillis = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encodePage encodes a page in the platform's binary format.
func encodePage(page log.Page) []byte {
	body := binary.BigEndian.AppendUint64(nil, page.NextOffset-logOffsetBase)
	body = binary.BigEndian.AppendUint64(body, page.OldestOffset-logOffsetBase)
	for _, r := range page.Records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.ID)+len(r.Data)))
		body = append(append(append(body, byte(len(r.ID))), r.ID...), r.Data...)
	}
	return body
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	topicName := r.URL.Query().Get("topic")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateEra(w)
	items := []map[string]any{}
	for key, n := range s.topic(topicName).newestByKey {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(n.Data), "offset": n.Offset - logOffsetBase,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": s.endOffset(topicName)})
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
