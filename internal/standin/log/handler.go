package log

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	recordIDHeader   = "X-Record-Id"
	maxRecordBytes   = 1 << 20
	maxReadWait      = 30 * time.Second
	defaultReadLimit = 1000
)

type appendResponse struct {
	Offset uint64 `json:"offset"`
}

type recordResponse struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type readResponse struct {
	Records      []recordResponse `json:"records"`
	OldestOffset uint64           `json:"oldest"`
	NextOffset   uint64           `json:"next"`
}

type truncatedResponse struct {
	OldestOffset uint64 `json:"oldest"`
}

func (l *Log) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /streams/{name}/records", l.handleAppend)
	m.HandleFunc("GET /streams/{name}/records", l.handleRead)
	return m
}

// withFaults wraps a handler: it delays every request and refuses it during an outage.
// The request body is read completely before the delay, so that the request still
// takes effect if its client disconnects during the delay.
func (l *Log) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		l.awaitDelay(r.Context())
		if l.isInOutage() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	id := r.Header.Get(recordIDHeader)
	if err != nil || id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !l.appendLimiter.Allow() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	offset := l.Append(r.PathValue("name"), id, data)
	if l.ConsumeAppendResponseLoss() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, appendResponse{Offset: offset})
}

// awaitDelay waits for the delay of SetDelay, or until the client has disconnected.
func (l *Log) awaitDelay(ctx context.Context) {
	l.mu.Lock()
	delay := l.requestDelay
	l.mu.Unlock()
	if delay == 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from := queryNumber(r, "from", 1)
	limit := queryNumber(r, "limit", defaultReadLimit)
	waitTime := min(time.Duration(queryNumber(r, "wait-ms", 0))*time.Millisecond, maxReadWait)
	deadline := time.After(waitTime)
	for {
		response, status, appended := l.readPage(r.PathValue("name"), max(from, 1), limit)
		if status == http.StatusGone {
			l.countReadBytes(r, writeJSON(w, status, truncatedResponse{OldestOffset: response.OldestOffset}))
			return
		}
		if status != http.StatusOK || len(response.Records) > 0 || waitTime == 0 {
			l.countReadBytes(r, writeJSON(w, status, response))
			return
		}
		select {
		case <-appended:
		case <-deadline:
			waitTime = 0
		case <-r.Context().Done():
			return
		}
	}
}

// readPage returns the records available now, the HTTP status and a channel that is
// closed at the next append.
func (l *Log) readPage(name string, from, limit uint64) (readResponse, int, <-chan struct{}) {
	if l.isInOutage() {
		return readResponse{}, http.StatusServiceUnavailable, nil
	}
	page := l.Read(name, from, limit)
	response := readResponse{Records: []recordResponse{}, OldestOffset: page.OldestOffset, NextOffset: from}
	if from < page.OldestOffset {
		return response, http.StatusGone, nil
	}
	for _, r := range page.Records {
		response.Records = append(response.Records, recordResponse(r))
	}
	response.NextOffset += uint64(len(page.Records))
	return response, http.StatusOK, page.Appended
}

// queryNumber returns a query parameter as a number, or the default for a missing or
// malformed one.
func queryNumber(r *http.Request, name string, defaultValue uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return defaultValue
	}
	return n
}

// writeJSON writes a JSON response and returns the size of its body in bytes.
func writeJSON(w http.ResponseWriter, status int, value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
	return len(data)
}
