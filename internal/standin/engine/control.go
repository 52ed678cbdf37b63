package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// accountAnswer is an account in its wire form.
type accountAnswer struct {
	Server      string   `json:"server"`
	Incarnation uint64   `json:"incarnation"`
	Term        uint64   `json:"term"`
	Sequence    uint64   `json:"sequence"`
	Group       string   `json:"group"`
	Service     string   `json:"service"`
	Members     []string `json:"members"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Ready       bool     `json:"ready"`
	Leaving     bool     `json:"leaving"`
	Running     int      `json:"running"`
	CachedBytes int64    `json:"cached-bytes"`
}

// orderBody is an order in its wire form.
type orderBody struct {
	Term     uint64   `json:"term"`
	Sequence uint64   `json:"sequence"`
	Group    string   `json:"group"`
	Service  string   `json:"service"`
	Members  []string `json:"members"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// eventAnswer is a cache event in its wire form.
type eventAnswer struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// kvBody stands for exported key-value cache.
type kvBody struct {
	Prefix uint64 `json:"prefix"`
	Bytes  int64  `json:"bytes"`
}

func newAccountAnswer(a fuchsiapitch.EngineStatus) accountAnswer {
	held := a.Assignment()
	members := make([]string, 0, len(held.Members()))
	for _, m := range held.Members() {
		members = append(members, string(m))
	}
	return accountAnswer{
		Server: string(a.Server()), Incarnation: a.Incarnation(),
		Term: uint64(a.FencingToken().Term()), Sequence: a.FencingToken().Sequence(),
		Group: string(held.Group()), Service: string(held.Service()), Members: members,
		Model: held.Model(), Version: held.Version(), Adapters: held.Adapters(),
		Ready: a.Ready(), Leaving: a.Leaving(), Running: a.RunningRequests(), CachedBytes: a.PrefixCacheBytes(),
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	writeJSON(w, status, data)
}

// handleAccount does not send an account again that the caller has already.
func (e *Engine) handleAccount(w http.ResponseWriter, r *http.Request) {
	data, err := json.Marshal(newAccountAnswer(e.Account()))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 36))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, data)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var b orderBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	members := make([]fuchsiapitch.ServerID, 0, len(b.Members))
	for _, m := range b.Members {
		members = append(members, fuchsiapitch.ServerID(m))
	}
	assignment := fuchsiapitch.NewAssignment(fuchsiapitch.GroupID(b.Group), fuchsiapitch.ServiceName(b.Service),
		members, b.Model, b.Version, b.Adapters...)
	fence := fuchsiapitch.NewFencingToken(fuchsiapitch.Term(b.Term), b.Sequence)
	account, accepted := e.Order(fuchsiapitch.NewOrder(fence, assignment))
	status := http.StatusOK
	if !accepted {
		status = http.StatusConflict
	}
	answer(w, status, newAccountAnswer(account))
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events := []eventAnswer{}
	for _, v := range e.cache.eventsAfter(after, e.lossEvery, e.lag, time.Now()) {
		events = append(events, eventAnswer{Sequence: v.sequence, Prefix: v.prefix, Evicted: v.evicted})
	}
	answer(w, http.StatusOK, events)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	prefix, err := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	bytes, ok := e.cache.find(prefix)
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, kvBody{Prefix: prefix, Bytes: bytes})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var b kvBody
	prefix, err := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	if err != nil || json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b) != nil || b.Prefix != prefix {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.cache.put(prefix, b.Bytes, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
