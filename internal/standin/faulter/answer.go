package faulter

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const requestIDHeader = "X-Request-Id"

// answerFaults are the faults that strike answers. Each counts down.
type answerFaults struct {
	active atomic.Bool

	mu       sync.Mutex
	lose     int
	cross    int
	truncate int
	keep     int
	delay    time.Duration
	lastID   string
	crossed  *recording
}

// fault is what strikes one answer.
type fault struct {
	lose     bool
	cross    bool
	truncate bool
	keep     int
	delay    time.Duration
}

// LoseAnswers makes the next n requests take effect and then closes their
// connections without an answer.
func (s *Server) LoseAnswers(n int) { s.answers.change(func(a *answerFaults) { a.lose = n }) }

// CrossAnswers makes the next n requests take effect and answers each with an
// earlier answer or, for a stream, in the name of an earlier request.
func (s *Server) CrossAnswers(n int) { s.answers.change(func(a *answerFaults) { a.cross = n }) }

// DelayAnswers holds every later answer back for d. Zero ends the delay.
func (s *Server) DelayAnswers(d time.Duration) {
	s.answers.change(func(a *answerFaults) { a.delay = d })
}

// TruncateAnswers cuts the next n answers after keep bytes of body. A stream
// ends like a whole one but for its missing terminator.
func (s *Server) TruncateAnswers(n, keep int) {
	s.answers.change(func(a *answerFaults) { a.truncate, a.keep = n, keep })
}

func (a *answerFaults) change(set func(*answerFaults)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	set(a)
	a.active.Store(a.lose > 0 || a.cross > 0 || a.truncate > 0 || a.delay > 0)
}

// draw takes the faults that strike the next answer.
func (a *answerFaults) draw() fault {
	var f fault
	a.change(func(a *answerFaults) {
		f.delay = a.delay
		switch {
		case a.lose > 0:
			a.lose--
			f.lose = true
		case a.cross > 0:
			a.cross--
			f.cross = true
		case a.truncate > 0:
			a.truncate--
			f.truncate, f.keep = true, a.keep
		}
	})
	return f
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == FaultsPath && r.Method == http.MethodPost {
		s.takeFault(w, r)
		return
	}
	if !s.AwaitRunning(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		s.handler.ServeHTTP(w, r)
		return
	}
	w.Header().Set(requestIDHeader, id)
	if !s.answers.active.Load() {
		s.answers.remember(id)
		s.handler.ServeHTTP(w, r)
		return
	}
	s.serveFaulty(w, r, id)
}

func (s *Server) serveFaulty(w http.ResponseWriter, r *http.Request, id string) {
	f := s.answers.draw()
	switch {
	case f.lose:
		s.handler.ServeHTTP(newRecording(), r)
		panic(http.ErrAbortHandler)
	case f.cross:
		s.serveCrossed(w, r)
	default:
		s.answers.remember(id)
		s.handler.ServeHTTP(&faultyWriter{ResponseWriter: w, fault: f, left: f.keep}, r)
	}
}

// serveCrossed runs the request and answers in the name of an earlier one: with
// the answer of the crossed request before, if there was one.
func (s *Server) serveCrossed(w http.ResponseWriter, r *http.Request) {
	earlier := s.answers.earlier()
	result := newRecording()
	crossed := r.Clone(r.Context())
	crossed.Header.Set(requestIDHeader, earlier)
	s.handler.ServeHTTP(result, crossed)
	result.header.Set(requestIDHeader, earlier)
	s.answers.swap(result).replay(w)
}

// swap keeps the answer of a crossed request and returns the one to give in its
// place.
func (a *answerFaults) swap(result *recording) *recording {
	a.mu.Lock()
	defer a.mu.Unlock()
	earlier := a.crossed
	a.crossed = result
	if earlier == nil {
		return result
	}
	return earlier
}

func (a *answerFaults) remember(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID = id
}

func (a *answerFaults) earlier() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastID == "" {
		return "another-request"
	}
	return a.lastID
}

// recording is a response writer that keeps the answer.
type recording struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func newRecording() *recording {
	return &recording{status: http.StatusOK, header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (r *recording) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recording) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recording) Write(data []byte) (int, error) { return r.body.Write(data) }

// Flush implements http.Flusher.
func (r *recording) Flush() {}

func (r *recording) replay(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(r.body.Len()))
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}

// faultyWriter delays and truncates an answer.
type faultyWriter struct {
	http.ResponseWriter
	fault   fault
	left    int
	delayed bool
}

// WriteHeader implements http.ResponseWriter.
func (w *faultyWriter) WriteHeader(status int) {
	w.hold()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *faultyWriter) Write(data []byte) (int, error) {
	w.hold()
	if !w.fault.truncate || len(data) <= w.left {
		w.left -= len(data)
		return w.ResponseWriter.Write(data)
	}
	n, _ := w.ResponseWriter.Write(data[:w.left])
	w.left = 0
	return n, io.ErrShortWrite
}

// Flush implements http.Flusher.
func (w *faultyWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

func (w *faultyWriter) hold() {
	if w.delayed || w.fault.delay == 0 {
		return
	}
	w.delayed = true
	time.Sleep(w.fault.delay)
}
