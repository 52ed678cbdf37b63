package platform

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Silence is a time in which a sound server sends nothing and then goes on.
type Silence struct {
	Server     string
	Start, End time.Time
	// Connectable is true if the server accepts connections meanwhile.
	Connectable bool
}

// FallSilent makes a sound server silent for a time. It then goes on with its streams, and with
// the requests, reports and orders that have arrived meanwhile. If it is not connectable,
// connections to it are neither accepted nor refused until then. The streams of its group
// stall. Its entry stays in the store. A server that is silent already is left as it is.
func (s *Server) FallSilent(d time.Duration, connectable bool) {
	now := time.Now()
	s.mutex.Lock()
	isSilent := now.Before(s.silentUntil)
	if !isSilent {
		s.silentUntil = now.Add(d)
	}
	s.mutex.Unlock()
	if isSilent {
		return
	}
	s.fleet.recordSilence(Silence{Server: s.id, Start: now, End: now.Add(d), Connectable: connectable})
	if err := s.faultServer.FallSilent(d, connectable); err != nil {
		s.fleet.recordViolation(fmt.Sprintf("stand-in: %s does not fall silent: %v", s.id, err))
	}
}

// silenceEnd returns the end of the last silence, the zero time for none.
func (s *Server) silenceEnd() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silentUntil
}

// Silences returns the silences so far, in the order of their start.
func (f *Fleet) Silences() []Silence {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.silences)
}

func (f *Fleet) recordSilence(s Silence) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.silences = append(f.silences, s)
}

// lastSilence returns the latest end of the silences of servers, the zero time for none.
func (f *Fleet) lastSilence(servers []string) time.Time {
	var last time.Time
	for _, id := range servers {
		if end := f.Server(id).silenceEnd(); end.After(last) {
			last = end
		}
	}
	return last
}

// awaitSilence blocks while one of the servers is silent and the context has not ended.
func (f *Fleet) awaitSilence(ctx context.Context, servers []string) {
	for left := time.Until(f.lastSilence(servers)); left > 0; left = time.Until(f.lastSilence(servers)) {
		select {
		case <-time.After(left):
		case <-ctx.Done():
			return
		}
	}
}
