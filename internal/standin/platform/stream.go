package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// run answers a request.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	if state, _ := s.status(); s.engine != nil && state != stateOpen {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.runs.Run(id)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", "seal-"+s.id)
	if s.engine != nil {
		s.stream(w, r, string(body))
		return
	}
	w.Write([]byte(s.id + " got " + string(body)))
}

// stream writes events with rising identifiers. It stands still while a member of
// the group is missing; after a time the leader gives the group up.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, prompt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	made, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	ctx, cancel := s.cuttable(r.Context())
	defer cancel()
	stall := time.AfterFunc(stallTime, func() {
		s.giveUp()
		cancel()
	})
	defer stall.Stop()
	err := s.engine.Generate(ctx, prompt, made, defaultPieces, func(n int64) error {
		stall.Reset(stallTime)
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		return http.NewResponseController(w).Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// cuttable returns a context for a stream that cutStreams ends.
func (s *Server) cuttable(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.streams++
	n := s.streams
	s.cuts[n] = cancel
	return ctx, func() {
		cancel()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.cuts, n)
	}
}

// cutStreams ends all streams. Callers hold the lock.
func (s *Server) cutStreams() {
	for _, cancel := range s.cuts {
		cancel()
	}
}

// giveUp marks a group broken that a member has been missing from for long.
func (s *Server) giveUp() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state == stateOpen {
		s.state = stateBroken
	}
}
