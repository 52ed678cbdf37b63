package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// statusResponse is the JSON form of an engine status.
type statusResponse struct {
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

// orderRequest is the JSON form of an order.
type orderRequest struct {
	Term     uint64   `json:"term"`
	Sequence uint64   `json:"sequence"`
	Group    string   `json:"group"`
	Service  string   `json:"service"`
	Members  []string `json:"members"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// cacheEventResponse is the JSON form of a cache event.
type cacheEventResponse struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// cacheTransfer stands for an exported block of the key-value cache.
type cacheTransfer struct {
	Prefix uint64 `json:"prefix"`
	Bytes  int64  `json:"bytes"`
}

func newStatusResponse(status fuchsiapitch.EngineStatus) statusResponse {
	reportedAssignment := status.Assignment()
	members := make([]string, 0, len(reportedAssignment.Members()))
	for _, m := range reportedAssignment.Members() {
		members = append(members, string(m))
	}
	return statusResponse{
		Server: string(status.Server()), Incarnation: status.Incarnation(),
		Term: uint64(status.FencingToken().Term()), Sequence: status.FencingToken().Sequence(),
		Group: string(reportedAssignment.Group()), Service: string(reportedAssignment.Service()), Members: members,
		Model: reportedAssignment.Model(), Version: reportedAssignment.Version(), Adapters: reportedAssignment.Adapters(),
		Ready: status.Ready(), Leaving: status.Leaving(), Running: status.RunningRequests(), CachedBytes: status.PrefixCacheBytes(),
	}
}

func respondJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	writeJSON(w, status, data)
}

// handleStatus responds with 304 if the client already has the current status.
func (e *Engine) handleStatus(w http.ResponseWriter, r *http.Request) {
	data, err := json.Marshal(newStatusResponse(e.Status()))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 36))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, data)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var b orderRequest
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
	fencingToken := fuchsiapitch.NewFencingToken(fuchsiapitch.Term(b.Term), b.Sequence)
	engineStatus, accepted := e.ExecuteOrder(fuchsiapitch.NewOrder(fencingToken, assignment))
	status := http.StatusOK
	if !accepted {
		status = http.StatusConflict
	}
	respondJSON(w, status, newStatusResponse(engineStatus))
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events := []cacheEventResponse{}
	for _, v := range e.cache.eventsAfter(after, e.eventDropInterval, e.reportLag, time.Now()) {
		events = append(events, cacheEventResponse{Sequence: v.sequence, Prefix: v.prefixHash, Evicted: v.isEviction})
	}
	respondJSON(w, http.StatusOK, events)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	prefix, err := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	sizeBytes, ok := e.cache.blockSize(prefix)
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respondJSON(w, http.StatusOK, cacheTransfer{Prefix: prefix, Bytes: sizeBytes})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var b cacheTransfer
	prefix, err := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	if err != nil || json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b) != nil || b.Prefix != prefix {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.cache.storeImported(prefix, b.Bytes, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
