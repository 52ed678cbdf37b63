package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// handleRequest processes a client's request. A model engine refuses it unless it leads
// an open group.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if state, _ := s.stateAndLoss(); s.engine != nil && state != stateOpen {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.ledger.RecordRun(id)
	w.Header().Set("X-Response-Seal", sealPrefix+s.id)
	if s.engine != nil {
		s.serveStream(w, r, string(body))
		return
	}
	w.Write([]byte(s.id + " got " + string(body)))
}

// serveStream writes events with ascending identifiers. The stream stalls while a member
// of the group is lost. After stallTimeout the leader marks the group as broken and aborts
// the stream. While a member is silent the stream stalls as well, and goes on afterwards.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, prompt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	resumeAfter, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	ctx, cancel := s.cancellableStream(r.Context())
	defer cancel()
	members := s.Members()
	stallTimer := time.NewTimer(stallTimeout)
	defer stallTimer.Stop()
	go func() {
		for {
			select {
			case <-stallTimer.C:
			case <-ctx.Done():
				return
			}
			if s.fleet.lastSilence(members).Add(stallTimeout).Before(time.Now()) {
				s.markBroken()
				cancel()
				return
			}
			stallTimer.Reset(stallTimeout)
		}
	}()
	err := s.engine.Generate(ctx, prompt, resumeAfter, eventsPerStream, func(n int64) error {
		s.fleet.awaitSilence(ctx, members)
		stallTimer.Reset(stallTimeout)
		if n == resumeAfter+1 && s.endIfLethal(w, r) {
			return &crashError{}
		}
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		return http.NewResponseController(w).Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// crashError reports that the server ends.
type crashError struct{}

// Error implements error.
func (e *crashError) Error() string { return "server ends" }

// cancellableStream returns a context for a stream that cancelStreams cancels, and a
// function that releases it.
func (s *Server) cancellableStream(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startedStreams++
	n := s.startedStreams
	s.streamCancels[n] = cancel
	return ctx, func() {
		cancel()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.streamCancels, n)
	}
}

// cancelStreams cancels all streams. Callers hold the lock.
func (s *Server) cancelStreams() {
	for _, cancel := range s.streamCancels {
		cancel()
	}
}

// markBroken marks a group with streams as broken.
func (s *Server) markBroken() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state == stateOpen || s.state == stateClosing {
		s.state = stateBroken
	}
}
