package assembler

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// inspectTimeout bounds the wait for a look at the state.
const inspectTimeout = 2 * time.Second

func (e *EntryHost) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", e.serveLive)
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	mux.HandleFunc("GET /status", e.authorised(e.serveStatus))
	mux.HandleFunc("POST /drain", e.authorised(e.serveDrain))
	return mux
}

// authorised lets only operators with the token through, where one is set.
func (e *EntryHost) authorised(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		want := "Bearer " + e.token
		if e.token != "" && subtle.ConstantTimeCompare([]byte(q.Header.Get("Authorization")), []byte(want)) != 1 {
			http.Error(w, "operator token required", http.StatusUnauthorized)
			return
		}
		next(w, q)
	}
}

// serveLive reports whether the owner of the state still answers.
func (e *EntryHost) serveLive(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithTimeout(q.Context(), inspectTimeout)
	defer cancel()
	if err := e.runner.Inspect(ctx, func(*reducer.State) {}); err != nil {
		http.Error(w, "the reducer does not answer", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("live\n"))
}

// serveReady reports whether the balancer may send requests.
func (e *EntryHost) serveReady(w http.ResponseWriter, q *http.Request) {
	body, err := e.status(q.Context())
	if err != nil || !body.Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (e *EntryHost) serveMetrics(w http.ResponseWriter, q *http.Request) {
	e.measureGroups(q.Context())
	e.meter.Write(w)
}

func (e *EntryHost) serveStatus(w http.ResponseWriter, q *http.Request) {
	body, err := e.status(q.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An operator that has gone cannot be told.
	_ = json.NewEncoder(w).Encode(body)
}

func (e *EntryHost) serveDrain(w http.ResponseWriter, _ *http.Request) {
	e.Stop()
	w.WriteHeader(http.StatusAccepted)
}

func (e *EntryHost) status(ctx context.Context) (statusBody, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	body := statusBody{Host: string(e.self.ID()), DataCentre: string(e.self.DataCentre()), Violations: e.runner.Violations()}
	err := e.runner.Inspect(ctx, func(s *reducer.State) { describe(&body, s) })
	return body, err
}
