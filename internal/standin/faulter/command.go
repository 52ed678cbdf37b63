package faulter

import (
	"encoding/json"
	"net/http"
	"time"
)

// FaultFunc applies a fault that only one kind of stand-in has.
type FaultFunc func(count int, duration time.Duration)

// RegisterFault adds a fault to those that POST /faults accepts, or replaces a
// built-in one. Call it before the first request.
func (s *Server) RegisterFault(name string, apply FaultFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.customFaults == nil {
		s.customFaults = make(map[string]FaultFunc)
	}
	s.customFaults[name] = apply
}

func (s *Server) customFault(name string) (FaultFunc, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply, ok := s.customFaults[name]
	return apply, ok
}

// faultCommand is the body of POST /faults.
type faultCommand struct {
	Fault                string `json:"fault"`
	Count                int    `json:"count"`
	KeepBytes            int    `json:"keep-bytes"`
	DurationMilliseconds int    `json:"duration-ms"`
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var c faultCommand
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || !s.applyFault(c) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyFault applies a fault command. It returns false for an unknown fault.
func (s *Server) applyFault(c faultCommand) bool {
	duration := time.Duration(c.DurationMilliseconds) * time.Millisecond
	if custom, ok := s.customFault(c.Fault); ok {
		custom(c.Count, duration)
		return true
	}
	switch c.Fault {
	case "die":
		go s.Kill()
	case "pause":
		s.Pause()
		time.AfterFunc(duration, s.Resume)
	case "silence":
		s.SilenceConnections()
	case "lose-answers":
		s.LoseResponses(c.Count)
	case "cross-answers":
		s.CrossResponses(c.Count)
	case "delay-answers":
		s.DelayResponses(duration)
	case "truncate-answers":
		s.TruncateResponses(c.Count, c.KeepBytes)
	default:
		return false
	}
	return true
}
