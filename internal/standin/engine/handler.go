package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
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
	err := e.follow(r.Context(), s, func(written, made int64) error {
		for n := written + 1; n <= made; n++ {
			events.add(n)
		}
		if made >= s.limit {
			events.buffer = append(events.buffer, streamEnd...)
		}
		_, err := w.Write(events.buffer)
		events.buffer = events.buffer[:0]
		if err != nil {
			return err
		}
		return flusher.Flush()
	})
	var broken *BrokenError
	if errors.As(err, &broken) {
		panic(http.ErrAbortHandler)
	}
}

// BrokenError reports that the group of a request is not whole any more.
type BrokenError struct {
	// Group is the group.
	Group fuchsiapitch.GroupID
}

// Error implements error.
func (e *BrokenError) Error() string { return "group " + string(e.Group) + " is not whole" }

// follow passes the tokens of a sequence on until the last: those after written,
// up to made. A sequence that has all its tokens from the start is passed on once.
func (e *Engine) follow(ctx context.Context, s *sequence, pass func(written, made int64) error) error {
	written, first := s.made.Load(), true
	for {
		made := s.made.Load()
		if made > written || first && made >= s.limit {
			if err := pass(written, made); err != nil {
				e.leave(s)
				return err
			}
		}
		written, first = made, false
		if made >= s.limit {
			return nil
		}
		select {
		case <-s.notify:
		case <-ctx.Done():
			e.leave(s)
			return ctx.Err()
		}
		if s.broken.Load() && s.made.Load() == written {
			return &BrokenError{Group: s.holding.assignment.Group()}
		}
	}
}

// Generate makes the tokens of a prompt after the first made ones, up to limit, and
// calls each for every one. It returns the error of each or of the context, or a
// BrokenError.
func (e *Engine) Generate(ctx context.Context, prompt string, made, limit int64, each func(n int64) error) error {
	h := e.holding.Load()
	if !e.isWhole(h) {
		return &BrokenError{Group: h.assignment.Group()}
	}
	s := &sequence{holding: h, prompt: prompt, limit: limit, notify: make(chan struct{}, 1)}
	s.made.Store(min(made, limit))
	if made < limit {
		e.enqueue(s)
	}
	return e.follow(ctx, s, func(written, made int64) error {
		for n := written + 1; n <= made; n++ {
			if err := each(n); err != nil {
				return err
			}
		}
		return nil
	})
}

// leave cancels a sequence whose caller went away.
func (e *Engine) leave(s *sequence) {
	s.gone.Store(true)
	e.poke()
}
