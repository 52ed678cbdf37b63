// Package weightstore is a stand-in for the platform's store of model weights, whose
// transfer rate is limited.
package weightstore

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

// DefaultModelBytes is the size of a model version for which SetModelBytes was not
// called.
const DefaultModelBytes = 8 << 20

// WeightStore holds the sizes of model versions and simulates their transfer at a
// rate that all engines share. Transfers run one after the other.
type WeightStore struct {
	bytesPerSecond float64

	mu                 sync.Mutex
	sizesByVersion     map[string]int64 // Bytes, by "model/version".
	lastTransferEndsAt time.Time        // End of the last queued transfer.
	startedLoads       int
}

// New returns a store with a total transfer rate.
func New(bytesPerSecond float64) *WeightStore {
	return &WeightStore{bytesPerSecond: bytesPerSecond, sizesByVersion: make(map[string]int64)}
}

// Listen serves the sizes over HTTP on a loopback port. The returned function closes
// the server.
func (s *WeightStore) Listen() (*faulter.Server, func(), error) {
	m := http.NewServeMux()
	m.HandleFunc("GET /weights/{model}/{version}", s.handleSize)
	return faulter.Start(m)
}

// SetModelBytes sets the number of bytes that one engine loads for a model version.
func (s *WeightStore) SetModelBytes(model, version string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizesByVersion[model+"/"+version] = bytes
}

// StartedLoads returns the number of loads started since the store was created.
func (s *WeightStore) StartedLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedLoads
}

// Load blocks until the weights of one engine are transferred, after the loads that
// started before it. It returns false if the context ends first; the load still
// occupies the store for its whole duration.
func (s *WeightStore) Load(ctx context.Context, model, version string) bool {
	timer := time.NewTimer(time.Until(s.reserveTransfer(model, version)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reserveTransfer queues a transfer behind the earlier ones and returns its end.
func (s *WeightStore) reserveTransfer(model, version string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	seconds := float64(s.sizeOf(model, version)) / s.bytesPerSecond
	start := time.Now()
	if s.lastTransferEndsAt.After(start) {
		start = s.lastTransferEndsAt
	}
	s.lastTransferEndsAt = start.Add(time.Duration(seconds * float64(time.Second)))
	s.startedLoads++
	return s.lastTransferEndsAt
}

// sizeOf returns the size of a model version in bytes. Callers hold the lock.
func (s *WeightStore) sizeOf(model, version string) int64 {
	if n, ok := s.sizesByVersion[model+"/"+version]; ok {
		return n
	}
	return DefaultModelBytes
}

func (s *WeightStore) handleSize(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := s.sizeOf(r.PathValue("model"), r.PathValue("version"))
	s.mu.Unlock()
	body := `{"bytes": ` + strconv.FormatInt(n, 10) + "}"
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
