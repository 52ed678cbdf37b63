package log

import (
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

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	id := r.Header.Get(recordIDHeader)
	if err != nil || id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !l.limiter.Allow() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	l.hold(r.Context())
	offset, lost, out := l.take(r.PathValue("name"), entry{id: id, data: data, appended: time.Now()})
	if out {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, appendAnswer{Offset: offset})
}

// take appends unless the log is out, and reports whether the answer is lost.
func (l *Log) take(name string, e entry) (offset uint64, lost, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out {
		return 0, false, true
	}
	offset = l.append(name, e)
	if l.lose > 0 {
		l.lose--
		lost = true
	}
	return offset, lost, false
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
	l.hold(r.Context())
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out {
		return readAnswer{}, http.StatusServiceUnavailable, nil
	}
	s := l.stream(name)
	l.expire(s, time.Now())
	answer := readAnswer{Records: []recordAnswer{}, Oldest: s.oldest, Next: from}
	if from < s.oldest {
		return answer, http.StatusGone, nil
	}
	for from < s.next() && uint64(len(answer.Records)) < limit {
		e := s.entries[from-s.oldest]
		answer.Records = append(answer.Records, recordAnswer{ID: e.id, Offset: from, Data: e.data})
		from++
	}
	answer.Next = from
	return answer, http.StatusOK, s.changed
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
