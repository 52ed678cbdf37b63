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
	recordIDHeader = "X-Record-Id"
	maxRecordBytes = 1 << 20
	maxWait        = 30 * time.Second
	defaultLimit   = 1000
)

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

type recordAnswer struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type readAnswer struct {
	Records []recordAnswer `json:"records"`
	Oldest  uint64         `json:"oldest"`
	Next    uint64         `json:"next"`
}

type truncatedAnswer struct {
	Oldest uint64 `json:"oldest"`
}

func (l *Log) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /streams/{name}/records", l.handleAppend)
	m.HandleFunc("GET /streams/{name}/records", l.handleRead)
	return m
}

// gate holds every call back by the delay, and refuses it during an outage. A call
// is read whole first: it is carried out also where its caller has given it up.
func (l *Log) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		l.hold(r.Context())
		if l.isOut() {
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
	if !l.limiter.Allow() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	offset := l.Append(r.PathValue("name"), id, data)
	if l.LosesAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, appendAnswer{Offset: offset})
}

func (l *Log) hold(ctx context.Context) {
	l.mu.Lock()
	delay := l.delay
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
	from := number(r, "from", 1)
	limit := number(r, "limit", defaultLimit)
	wait := min(time.Duration(number(r, "wait-ms", 0))*time.Millisecond, maxWait)
	deadline := time.After(wait)
	for {
		answer, status, changed := l.read(r.PathValue("name"), max(from, 1), limit)
		if status == http.StatusGone {
			l.countRead(r, writeJSON(w, status, truncatedAnswer{Oldest: answer.Oldest}))
			return
		}
		if status != http.StatusOK || len(answer.Records) > 0 || wait == 0 {
			l.countRead(r, writeJSON(w, status, answer))
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// read returns what is there now, and a channel that is closed at the next append.
func (l *Log) read(name string, from, limit uint64) (readAnswer, int, <-chan struct{}) {
	if l.isOut() {
		return readAnswer{}, http.StatusServiceUnavailable, nil
	}
	page := l.Read(name, from, limit)
	answer := readAnswer{Records: []recordAnswer{}, Oldest: page.Oldest, Next: from}
	if from < page.Oldest {
		return answer, http.StatusGone, nil
	}
	for _, r := range page.Records {
		answer.Records = append(answer.Records, recordAnswer(r))
	}
	answer.Next += uint64(len(page.Records))
	return answer, http.StatusOK, page.Changed
}

func number(r *http.Request, name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// writeJSON writes an answer and returns the size of its body.
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
