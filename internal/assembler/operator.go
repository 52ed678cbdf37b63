package assembler

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// inspectTimeout limits the wait for a read of the reducer's state.
const inspectTimeout = 2 * time.Second

func (e *EntryHost) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", e.serveLiveness)
	mux.HandleFunc("GET /readyz", e.serveReadiness)
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	mux.HandleFunc("GET /status", e.requireToken(e.serveStatus))
	mux.HandleFunc("POST /drain", e.requireToken(e.serveDrain))
	return mux
}

// requireToken rejects requests without the operator token, if one is set.
func (e *EntryHost) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		want := "Bearer " + e.operatorToken
		if e.operatorToken != "" && subtle.ConstantTimeCompare([]byte(q.Header.Get("Authorization")), []byte(want)) != 1 {
			http.Error(w, "operator token required", http.StatusUnauthorized)
			return
		}
		next(w, q)
	}
}

// serveLiveness reports whether the runner's event loop still responds.
func (e *EntryHost) serveLiveness(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithTimeout(q.Context(), inspectTimeout)
	defer cancel()
	if err := e.runner.Inspect(ctx, func(*reducer.State) {}); err != nil {
		http.Error(w, "the reducer does not answer", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("live\n"))
}

// serveReadiness reports whether the load balancer may send requests.
func (e *EntryHost) serveReadiness(w http.ResponseWriter, q *http.Request) {
	response, err := e.readStatus(q.Context())
	if err != nil || !response.Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (e *EntryHost) serveMetrics(w http.ResponseWriter, q *http.Request) {
	e.updateGroupMetrics(q.Context())
	e.meter.Write(w)
}

func (e *EntryHost) serveStatus(w http.ResponseWriter, q *http.Request) {
	response, err := e.readStatus(q.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(response)
}

// serveDrain starts a graceful shutdown and does not wait for its end.
func (e *EntryHost) serveDrain(w http.ResponseWriter, _ *http.Request) {
	e.Stop()
	w.WriteHeader(http.StatusAccepted)
}

func (e *EntryHost) readStatus(ctx context.Context) (statusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	response := statusResponse{Host: string(e.self.ID()), DataCentre: string(e.self.DataCentre()), Violations: e.runner.ViolationCount()}
	err := e.runner.Inspect(ctx, func(s *reducer.State) { fillStatus(&response, s) })
	return response, err
}
