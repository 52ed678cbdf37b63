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

// responseFaults holds the response faults that are pending. A counter is decremented
// for each response that its fault affects; the delay lasts until it is set to zero.
type responseFaults struct {
	isActive atomic.Bool

	mu                  sync.Mutex
	remainingLost       int
	remainingCrossed    int
	remainingTruncated  int
	keptBodyBytes       int
	delay               time.Duration
	lastServedRequestID string
	lastCrossedResponse *responseRecorder
}

// responseFault is the combination of faults that affects one response.
type responseFault struct {
	isLost        bool
	isCrossed     bool
	isTruncated   bool
	keptBodyBytes int
	delay         time.Duration
}

// LoseResponses makes the server process the next n requests and then close their
// connections without a response.
func (s *Server) LoseResponses(n int) {
	s.pendingFaults.update(func(rf *responseFaults) { rf.remainingLost = n })
}

// CrossResponses makes the server process the next n requests under the identifier of
// an earlier request and send each the response to the crossed request before it.
// The first crossed request gets its own response.
func (s *Server) CrossResponses(n int) {
	s.pendingFaults.update(func(rf *responseFaults) { rf.remainingCrossed = n })
}

// DelayResponses delays every further response by d. Zero ends the delay.
func (s *Server) DelayResponses(d time.Duration) {
	s.pendingFaults.update(func(rf *responseFaults) { rf.delay = d })
}

// TruncateResponses truncates the bodies of the next n responses to keptBodyBytes. A
// truncated stream ends like a complete one, but without its terminator.
func (s *Server) TruncateResponses(n, keptBodyBytes int) {
	s.pendingFaults.update(func(rf *responseFaults) { rf.remainingTruncated, rf.keptBodyBytes = n, keptBodyBytes })
}

func (rf *responseFaults) update(set func(*responseFaults)) {
	rf.mu.Lock()
	defer rf.mu.Unlock()
	set(rf)
	rf.isActive.Store(rf.remainingLost > 0 || rf.remainingCrossed > 0 || rf.remainingTruncated > 0 || rf.delay > 0)
}

// consumeNext returns the faults of the next response and decrements their counters. At
// most one of loss, crossing and truncation affects a response.
func (rf *responseFaults) consumeNext() responseFault {
	var f responseFault
	rf.update(func(rf *responseFaults) {
		f.delay = rf.delay
		switch {
		case rf.remainingLost > 0:
			rf.remainingLost--
			f.isLost = true
		case rf.remainingCrossed > 0:
			rf.remainingCrossed--
			f.isCrossed = true
		case rf.remainingTruncated > 0:
			rf.remainingTruncated--
			f.isTruncated, f.keptBodyBytes = true, rf.keptBodyBytes
		}
	})
	return f
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == FaultsPath && r.Method == http.MethodPost {
		s.handleFault(w, r)
		return
	}
	if !s.AwaitUnpaused(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		s.handler.ServeHTTP(w, r)
		return
	}
	w.Header().Set(requestIDHeader, id)
	if !s.pendingFaults.isActive.Load() {
		s.pendingFaults.recordRequestID(id)
		s.handler.ServeHTTP(w, r)
		return
	}
	s.serveWithFault(w, r, id)
}

func (s *Server) serveWithFault(w http.ResponseWriter, r *http.Request, id string) {
	f := s.pendingFaults.consumeNext()
	switch {
	case f.isLost:
		s.handler.ServeHTTP(newResponseRecorder(), r)
		panic(http.ErrAbortHandler)
	case f.isCrossed:
		s.serveCrossed(w, r)
	default:
		s.pendingFaults.recordRequestID(id)
		s.handler.ServeHTTP(&faultyWriter{ResponseWriter: w, fault: f, remainingBytes: f.keptBodyBytes}, r)
	}
}

// serveCrossed processes the request under the identifier of an earlier request. It
// sends the response to the previous crossed request if there was one, else its own.
func (s *Server) serveCrossed(w http.ResponseWriter, r *http.Request) {
	earlierID := s.pendingFaults.earlierRequestID()
	response := newResponseRecorder()
	crossedRequest := r.Clone(r.Context())
	crossedRequest.Header.Set(requestIDHeader, earlierID)
	s.handler.ServeHTTP(response, crossedRequest)
	response.header.Set(requestIDHeader, earlierID)
	s.pendingFaults.swapCrossedResponse(response).writeTo(w)
}

// swapCrossedResponse stores the response to a crossed request and returns the
// response to send in its place.
func (rf *responseFaults) swapCrossedResponse(response *responseRecorder) *responseRecorder {
	rf.mu.Lock()
	defer rf.mu.Unlock()
	previous := rf.lastCrossedResponse
	rf.lastCrossedResponse = response
	if previous == nil {
		return response
	}
	return previous
}

func (rf *responseFaults) recordRequestID(id string) {
	rf.mu.Lock()
	defer rf.mu.Unlock()
	rf.lastServedRequestID = id
}

// earlierRequestID returns the identifier of the last request whose response was neither
// crossed nor lost, or a fixed one if there was none.
func (rf *responseFaults) earlierRequestID() string {
	rf.mu.Lock()
	defer rf.mu.Unlock()
	if rf.lastServedRequestID == "" {
		return "another-request"
	}
	return rf.lastServedRequestID
}

// responseRecorder is a response writer that buffers the response.
type responseRecorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func newResponseRecorder() *responseRecorder {
	return &responseRecorder{status: http.StatusOK, header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(data []byte) (int, error) { return r.body.Write(data) }

// Flush implements http.Flusher.
func (r *responseRecorder) Flush() {}

func (r *responseRecorder) writeTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(r.body.Len()))
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}

// faultyWriter is a response writer that delays and truncates the response.
type faultyWriter struct {
	http.ResponseWriter
	fault          responseFault
	remainingBytes int
	hasDelayed     bool
}

// WriteHeader implements http.ResponseWriter.
func (w *faultyWriter) WriteHeader(status int) {
	w.delayOnce()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *faultyWriter) Write(data []byte) (int, error) {
	w.delayOnce()
	if !w.fault.isTruncated || len(data) <= w.remainingBytes {
		w.remainingBytes -= len(data)
		return w.ResponseWriter.Write(data)
	}
	n, _ := w.ResponseWriter.Write(data[:w.remainingBytes])
	w.remainingBytes = 0
	return n, io.ErrShortWrite
}

// Flush implements http.Flusher.
func (w *faultyWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// delayOnce waits for the delay before the first header or body bytes.
func (w *faultyWriter) delayOnce() {
	if w.hasDelayed || w.fault.delay == 0 {
		return
	}
	w.hasDelayed = true
	time.Sleep(w.fault.delay)
}
