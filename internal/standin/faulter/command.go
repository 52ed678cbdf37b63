package faulter

import (
	"encoding/json"
	"net/http"
	"time"
)

// Strike applies a fault that only one kind of stand-in has.
type Strike func(count int, duration time.Duration)

// Extend adds a fault to those that POST /faults takes, or replaces one.
// Call it before the first request.
func (s *Server) Extend(name string, strike Strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.strikes == nil {
		s.strikes = make(map[string]Strike)
	}
	s.strikes[name] = strike
}

func (s *Server) extension(name string) (Strike, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	strike, ok := s.strikes[name]
	return strike, ok
}

// command is the body of POST /faults.
type command struct {
	Fault      string `json:"fault"`
	Count      int    `json:"count"`
	KeepBytes  int    `json:"keep-bytes"`
	DurationMs int    `json:"duration-ms"`
}

func (s *Server) takeFault(w http.ResponseWriter, r *http.Request) {
	var c command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || !s.strike(c) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// strike applies a command. It returns false for an unknown fault.
func (s *Server) strike(c command) bool {
	duration := time.Duration(c.DurationMs) * time.Millisecond
	if extended, ok := s.extension(c.Fault); ok {
		extended(c.Count, duration)
		return true
	}
	switch c.Fault {
	case "die":
		go s.Die()
	case "pause":
		s.Pause()
		time.AfterFunc(duration, s.Resume)
	case "silence":
		s.Silence()
	case "lose-answers":
		s.LoseAnswers(c.Count)
	case "cross-answers":
		s.CrossAnswers(c.Count)
	case "delay-answers":
		s.DelayAnswers(duration)
	case "truncate-answers":
		s.TruncateAnswers(c.Count, c.KeepBytes)
	default:
		return false
	}
	return true
}
