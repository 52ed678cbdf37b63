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
	m.HandleFunc("GET /account", e.handleStatus)
	m.HandleFunc("POST /orders", e.handleOrder)
	m.HandleFunc("GET /cache-events", e.handleCacheEvents)
	m.HandleFunc("GET /kv/{prefix}", e.handleExport)
	m.HandleFunc("PUT /kv/{prefix}", e.handleImport)
	return m
}

// refuseRequest sends an error response with the outcome not-run.
func (e *Engine) refuseRequest(w http.ResponseWriter, status int, message string) {
	e.mu.Lock()
	e.counts.RefusedRequests++
	e.mu.Unlock()
	w.Header().Set(requestOutcomeHeader, "not-run")
	writeJSON(w, status, []byte(`{"error":{"message":`+strconv.Quote(message)+`,"type":"invalid_request_error"}}`))
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		e.refuseRequest(w, http.StatusBadRequest, "the body is not whole")
		return
	}
	b, ok := parseRequestBody(data)
	if !ok {
		e.refuseRequest(w, http.StatusBadRequest, "the body is not well formed")
		return
	}
	e.mu.Lock()
	e.lastRequestAt = time.Now()
	e.mu.Unlock()
	state := e.currentState.Load()
	if !e.leadsReadyGroup(state) {
		e.refuseRequest(w, http.StatusServiceUnavailable, "the engine is not the leader of a ready group")
		return
	}
	if !servesModel(state, b.Model) {
		e.refuseRequest(w, http.StatusNotFound, "no such model")
		return
	}
	w.Header().Set(groupHeader, string(state.assignment.Group()))
	w.Header().Set(modelVersionHeader, state.assignment.Version())
	e.generate(w, r, state, b)
}

// servesModel reports whether the engine serves a requested model. The request names the
// model or the service, optionally with an adapter after a colon. An empty name matches
// any model.
func servesModel(state *engineState, modelName string) bool {
	a := state.assignment
	model, adapter, hasAdapter := strings.Cut(modelName, ":")
	if hasAdapter && !slices.Contains(a.Adapters(), adapter) {
		return false
	}
	return model == "" || model == a.Model() || model == string(a.Service())
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, state *engineState, b requestBody) {
	s := &sequence{stateAtArrival: state, prompt: b.prompt(), tokenLimit: int64(b.completionLength()), progressSignal: make(chan struct{}, 1)}
	s.priority, _ = strconv.Atoi(r.Header.Get(priorityHeader))
	isChat := r.URL.Path == chatPath
	requestID := r.Header.Get(requestIDHeader)
	switch {
	case r.URL.Path == embeddingPath:
		s.tokenLimit = 1
		e.enqueue(s)
		e.respondComplete(w, r, s, func() []byte { return embeddingResponse(b) })
	case b.Stream:
		s.generatedTokens.Store(resumeOffset(r, s.tokenLimit))
		if s.generatedTokens.Load() < s.tokenLimit {
			e.enqueue(s)
		}
		e.respondStream(w, r, s, newEventEncoder(requestID, b, s.tokenLimit, isChat))
	default:
		e.enqueue(s)
		e.respondComplete(w, r, s, func() []byte { return completionResponse(requestID, b, s.tokenLimit, isChat) })
	}
}

// resumeOffset returns the number of tokens that the client already has, from the
// identifier of the last event that it received.
func resumeOffset(r *http.Request, limit int64) int64 {
	lastEventID := r.Header.Get(lastEventIDHeader)
	n, err := strconv.ParseInt(lastEventID[strings.LastIndexByte(lastEventID, '/')+1:], 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return min(n, limit)
}

// respondComplete waits for the last token and sends a response that is not streamed.
func (e *Engine) respondComplete(w http.ResponseWriter, r *http.Request, s *sequence, render func() []byte) {
	for s.generatedTokens.Load() < s.tokenLimit {
		select {
		case <-s.progressSignal:
		case <-r.Context().Done():
			e.cancelSequence(s)
			return
		}
		if s.isAborted.Load() && s.generatedTokens.Load() < s.tokenLimit {
			panic(http.ErrAbortHandler)
		}
	}
	writeJSON(w, http.StatusOK, render())
}

// respondStream sends each token as soon as it is generated. If the group becomes
// incomplete, the stream ends without its terminator.
func (e *Engine) respondStream(w http.ResponseWriter, r *http.Request, s *sequence, encoder *eventEncoder) {
	w.Header().Set(contentTypeHeader, eventStreamContentType)
	flusher := http.NewResponseController(w)
	err := e.deliverTokens(r.Context(), s, func(delivered, generated int64) error {
		for n := delivered + 1; n <= generated; n++ {
			encoder.appendToken(n)
		}
		if generated >= s.tokenLimit {
			encoder.buffer = append(encoder.buffer, streamTerminator...)
		}
		_, err := w.Write(encoder.buffer)
		encoder.buffer = encoder.buffer[:0]
		if err != nil {
			return err
		}
		return flusher.Flush()
	})
	var incomplete *IncompleteGroupError
	if errors.As(err, &incomplete) {
		panic(http.ErrAbortHandler)
	}
}

// IncompleteGroupError reports that the group of a request has lost a member or does not
// serve requests.
type IncompleteGroupError struct {
	// Group is the group.
	Group fuchsiapitch.GroupID
}

// Error implements error.
func (e *IncompleteGroupError) Error() string { return "group " + string(e.Group) + " is incomplete" }

// deliverTokens calls deliver for new tokens until the sequence is complete: those after
// delivered, up to and including generated. For a sequence that is complete from the
// start, it calls deliver once without new tokens.
func (e *Engine) deliverTokens(ctx context.Context, s *sequence, deliver func(delivered, generated int64) error) error {
	delivered, isFirstPass := s.generatedTokens.Load(), true
	for {
		generated := s.generatedTokens.Load()
		if generated > delivered || isFirstPass && generated >= s.tokenLimit {
			if err := deliver(delivered, generated); err != nil {
				e.cancelSequence(s)
				return err
			}
		}
		delivered, isFirstPass = generated, false
		if generated >= s.tokenLimit {
			return nil
		}
		if s.isAborted.Load() && s.generatedTokens.Load() == delivered {
			return &IncompleteGroupError{Group: s.stateAtArrival.assignment.Group()}
		}
		select {
		case <-s.progressSignal:
		case <-ctx.Done():
			e.cancelSequence(s)
			return ctx.Err()
		}
	}
}

// Generate generates the tokens of a prompt after the first resumeAfter tokens, up to
// tokenLimit, and calls onToken for each. It returns the error of onToken or of the
// context, or an IncompleteGroupError.
func (e *Engine) Generate(ctx context.Context, prompt string, resumeAfter, tokenLimit int64, onToken func(n int64) error) error {
	state := e.currentState.Load()
	if !e.leadsReadyGroup(state) {
		return &IncompleteGroupError{Group: state.assignment.Group()}
	}
	s := &sequence{stateAtArrival: state, prompt: prompt, tokenLimit: tokenLimit, progressSignal: make(chan struct{}, 1)}
	s.generatedTokens.Store(min(resumeAfter, tokenLimit))
	if resumeAfter < tokenLimit {
		e.enqueue(s)
	}
	return e.deliverTokens(ctx, s, func(delivered, generated int64) error {
		for n := delivered + 1; n <= generated; n++ {
			if err := onToken(n); err != nil {
				return err
			}
		}
		return nil
	})
}

// cancelSequence cancels a sequence whose client has disconnected.
func (e *Engine) cancelSequence(s *sequence) {
	s.isCancelled.Store(true)
	e.wakeLoop()
}
