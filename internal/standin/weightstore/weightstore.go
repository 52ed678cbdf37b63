// Package weightstore is a stand-in of the platform's rate-limited store of
// model weights.
package weightstore

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

// DefaultModelBytes is the size of a model version that was not set.
const DefaultModelBytes = 8 << 20

// WeightStore knows the sizes of model versions and hands them out at a rate
// that all engines share.
type WeightStore struct {
	bytesPerSecond float64

	mu    sync.Mutex
	sizes map[string]int64
	free  time.Time
	loads int
}

// New returns a store that hands out a number of bytes a second in all.
func New(bytesPerSecond float64) *WeightStore {
	return &WeightStore{bytesPerSecond: bytesPerSecond, sizes: make(map[string]int64)}
}

// Listen serves the sizes. It returns a clean-up function.
func (s *WeightStore) Listen() (*faulter.Server, func(), error) {
	m := http.NewServeMux()
	m.HandleFunc("GET /weights/{model}/{version}", s.handleSize)
	return faulter.Start(m)
}

// SetSize sets the bytes that one engine loads for a model version.
func (s *WeightStore) SetSize(model, version string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[model+"/"+version] = bytes
}

// Loads returns the number of loads begun since the start.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Load waits for the weights of one engine. It returns false when the context
// ended first. Loads queue for the shared rate.
func (s *WeightStore) Load(ctx context.Context, model, version string) bool {
	timer := time.NewTimer(time.Until(s.reserve(model, version)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *WeightStore) reserve(model, version string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	seconds := float64(s.size(model, version)) / s.bytesPerSecond
	start := time.Now()
	if s.free.After(start) {
		start = s.free
	}
	s.free = start.Add(time.Duration(seconds * float64(time.Second)))
	s.loads++
	return s.free
}

// size returns the size of a model version. Callers hold the lock.
func (s *WeightStore) size(model, version string) int64 {
	if n, ok := s.sizes[model+"/"+version]; ok {
		return n
	}
	return DefaultModelBytes
}

func (s *WeightStore) handleSize(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := s.size(r.PathValue("model"), r.PathValue("version"))
	s.mu.Unlock()
	body := `{"bytes": ` + strconv.FormatInt(n, 10) + "}"
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
