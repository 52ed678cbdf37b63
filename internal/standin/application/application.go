// Package application is a stand-in for an application server that accepts bookings
// and answers lookups.
package application

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

const (
	requestOutcomeHeader    = "X-Request-Outcome"
	maxBodyBytes            = 1 << 20
	defaultConcurrencyLimit = 64
)

// Application is one application server. It embeds the faulter.Server that serves it.
type Application struct {
	*faulter.Server
	id                     fuchsiapitch.ServerID
	ledger                 *Ledger
	handler                http.Handler
	slots                  chan struct{}
	concurrencyLimit       int
	serviceTimeNanoseconds atomic.Int64

	mu               sync.Mutex
	isLeaving        bool
	lastRequestAt    time.Time
	acceptedRequests int
}

// Option sets one optional property of an application server.
type Option func(*Application)

// WithConcurrencyLimit sets the number of requests that run at once. Further requests
// wait.
func WithConcurrencyLimit(n int) Option { return func(a *Application) { a.concurrencyLimit = n } }

// WithServiceTime sets the processing time of each request.
func WithServiceTime(d time.Duration) Option { return func(a *Application) { a.SetServiceTime(d) } }

// WithHandler replaces the handler for bookings and lookups. The concurrency limit
// and the service time apply to it too.
func WithHandler(h http.Handler) Option { return func(a *Application) { a.handler = h } }

// Start starts a server that records its bookings in the ledger. The returned function
// stops the server.
func Start(id fuchsiapitch.ServerID, ledger *Ledger, options ...Option) (*Application, func(), error) {
	a := &Application{id: id, ledger: ledger, concurrencyLimit: defaultConcurrencyLimit}
	m := http.NewServeMux()
	m.HandleFunc("POST /bookings", a.handleBooking)
	m.HandleFunc("GET /lookups/{name...}", a.handleLookup)
	a.handler = m
	for _, o := range options {
		o(a)
	}
	a.slots = make(chan struct{}, a.concurrencyLimit)
	server, cleanUp, err := faulter.Start(a.limitConcurrency(a.handler))
	if err != nil {
		return nil, nil, err
	}
	a.Server = server
	server.RegisterFault("slow", func(_ int, d time.Duration) { a.SetServiceTime(d) })
	return a, cleanUp, nil
}

// ID returns the identifier under which the host list lists the server.
func (a *Application) ID() fuchsiapitch.ServerID { return a.id }

// SetServiceTime sets the processing time of each request.
func (a *Application) SetServiceTime(d time.Duration) { a.serviceTimeNanoseconds.Store(int64(d)) }

// SetLeaving sets whether the server refuses requests. A refusal has the outcome
// not-run.
func (a *Application) SetLeaving(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isLeaving = leaving
}

// LastRequestAt returns the arrival time of the last request, refused ones included.
func (a *Application) LastRequestAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastRequestAt
}

// AcceptedRequests returns the number of requests that were not refused.
func (a *Application) AcceptedRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acceptedRequests
}

// limitConcurrency wraps a handler: a request waits for a free slot, then for the
// service time. A server that is leaving refuses the request.
func (a *Application) limitConcurrency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.refusesRequest() {
			w.Header().Set(requestOutcomeHeader, fuchsiapitch.OutcomeNotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		case <-r.Context().Done():
			return
		}
		if d := time.Duration(a.serviceTimeNanoseconds.Load()); d > 0 {
			time.Sleep(d)
		}
		next.ServeHTTP(w, r)
	})
}

// refusesRequest records the arrival of a request and reports whether the server
// refuses it.
func (a *Application) refusesRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastRequestAt = time.Now()
	if !a.isLeaving {
		a.acceptedRequests++
	}
	return a.isLeaving
}

type bookingRequest struct {
	Reference string `json:"reference"`
}

type bookingResponse struct {
	Reference string `json:"reference"`
	RunCount  int    `json:"run"`
	Server    string `json:"server"`
}

type lookupResponse struct {
	Name   string `json:"name"`
	Server string `json:"server"`
}

func (a *Application) handleBooking(w http.ResponseWriter, r *http.Request) {
	var b bookingRequest
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || json.Unmarshal(data, &b) != nil || b.Reference == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	runCount := a.ledger.RecordRun(b.Reference)
	writeJSON(w, http.StatusCreated, bookingResponse{Reference: b.Reference, RunCount: runCount, Server: string(a.id)})
}

func (a *Application) handleLookup(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, lookupResponse{Name: r.PathValue("name"), Server: string(a.id)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
