package engine

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const maxBodyBytes = 16 << 20

func (e *Engine) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+chatPath, e.handleGenerate)
	m.HandleFunc("POST "+completionPath, e.handleGenerate)
	m.HandleFunc("POST "+embeddingPath, e.handleGenerate)
	m.HandleFunc("GET /account", e.handleAccount)
	m.HandleFunc("POST /orders", e.handleOrder)
	m.HandleFunc("GET /cache-events", e.handleCacheEvents)
	m.HandleFunc("GET /kv/{prefix}", e.handleExport)
	m.HandleFunc("PUT /kv/{prefix}", e.handleImport)
	return m
}

// refuse answers that a request was not run.
func (e *Engine) refuse(w http.ResponseWriter, status int, message string) {
	e.mu.Lock()
	e.counts.Refused++
	e.mu.Unlock()
	w.Header().Set(outcomeHeader, "not-run")
	writeJSON(w, status, []byte(`{"error":{"message":`+strconv.Quote(message)+`,"type":"invalid_request_error"}}`))
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		e.refuse(w, http.StatusBadRequest, "the body is not whole")
		return
	}
	b, ok := parseBody(data)
	if !ok {
		e.refuse(w, http.StatusBadRequest, "the body is not well formed")
		return
	}
	e.mu.Lock()
	e.lastWork = time.Now()
	e.mu.Unlock()
	h := e.holding.Load()
	if !e.isWhole(h) {
		e.refuse(w, http.StatusServiceUnavailable, "the engine is not the leader of a ready group")
		return
	}
	if !serves(h, b.Model) {
		e.refuse(w, http.StatusNotFound, "no such model")
		return
	}
	w.Header().Set(groupHeader, string(h.assignment.Group()))
	w.Header().Set(versionHeader, h.assignment.Version())
	e.generate(w, r, h, b)
}

// serves reports whether a request that names a model is served here. A name
// may be of the model or of the service, with an adapter after a colon.
func serves(h *holding, name string) bool {
	a := h.assignment
	model, adapter, hasAdapter := strings.Cut(name, ":")
	if hasAdapter && !slices.Contains(a.Adapters(), adapter) {
		return false
	}
	return model == "" || model == a.Model() || model == string(a.Service())
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, h *holding, b body) {
	s := &sequence{holding: h, prompt: b.prompt(), limit: int64(b.tokenLimit()), notify: make(chan struct{}, 1)}
	s.priority, _ = strconv.Atoi(r.Header.Get(priorityHeader))
	isChat := r.URL.Path == chatPath
	request := r.Header.Get(requestIDHeader)
	switch {
	case r.URL.Path == embeddingPath:
		s.limit = 1
		e.enqueue(s)
		e.answerWhole(w, r, s, func() []byte { return embeddingAnswer(b) })
	case b.Stream:
		s.made.Store(resumeOffset(r, s.limit))
		if s.made.Load() < s.limit {
			e.enqueue(s)
		}
		e.answerStream(w, r, s, newEventWriter(request, b, s.limit, isChat))
	default:
		e.enqueue(s)
		e.answerWhole(w, r, s, func() []byte { return wholeAnswer(request, b, s.limit, isChat) })
	}
}

// resumeOffset returns the number of tokens that the caller has already.
func resumeOffset(r *http.Request, limit int64) int64 {
	last := r.Header.Get(resumeHeader)
	n, err := strconv.ParseInt(last[strings.LastIndexByte(last, '/')+1:], 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return min(n, limit)
}

// answerWhole waits for the last token and writes a plain answer.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, s *sequence, render func() []byte) {
	for s.made.Load() < s.limit {
		select {
		case <-s.notify:
		case <-r.Context().Done():
			e.leave(s)
			return
		}
		if s.broken.Load() && s.made.Load() < s.limit {
			panic(http.ErrAbortHandler)
		}
	}
	writeJSON(w, http.StatusOK, render())
}

// answerStream writes each token as soon as it is made. The stream of a broken
// group ends without its terminator.
func (e *Engine) answerStream(w http.ResponseWriter, r *http.Request, s *sequence, events *eventWriter) {
	w.Header().Set(contentType, streamType)
	flusher := http.NewResponseController(w)
	written := s.made.Load()
	for {
		made := s.made.Load()
		for n := written + 1; n <= made; n++ {
			events.add(n)
		}
		written = made
		if made >= s.limit {
			events.buffer = append(events.buffer, streamEnd...)
		}
		if len(events.buffer) > 0 {
			if _, err := w.Write(events.buffer); err != nil || flusher.Flush() != nil {
				e.leave(s)
				return
			}
			events.buffer = events.buffer[:0]
		}
		if made >= s.limit {
			return
		}
		select {
		case <-s.notify:
		case <-r.Context().Done():
			e.leave(s)
			return
		}
		if s.broken.Load() && s.made.Load() == written {
			panic(http.ErrAbortHandler)
		}
	}
}

// leave cancels a sequence whose caller went away.
func (e *Engine) leave(s *sequence) {
	s.gone.Store(true)
	e.poke()
}
