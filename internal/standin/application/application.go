// Package application is a stand-in of an application server that takes
// bookings and answers lookups.
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
	outcomeHeader      = "X-Request-Outcome"
	maxBodyBytes       = 1 << 20
	defaultConcurrency = 64
)

// Application is one application server.
type Application struct {
	*faulter.Server
	id          fuchsiapitch.ServerID
	ledger      *Ledger
	protocol    http.Handler
	slots       chan struct{}
	concurrency int
	serviceTime atomic.Int64

	mu       sync.Mutex
	leaving  bool
	lastWork time.Time
	served   int
}

// Option sets one optional property of an application server.
type Option func(*Application)

// WithConcurrency sets the number of requests that run at once. Others wait.
func WithConcurrency(n int) Option { return func(a *Application) { a.concurrency = n } }

// WithServiceTime sets the time that one request takes.
func WithServiceTime(d time.Duration) Option { return func(a *Application) { a.SetServiceTime(d) } }

// WithProtocol serves another protocol than the server's own, behind the same
// limits.
func WithProtocol(h http.Handler) Option { return func(a *Application) { a.protocol = h } }

// Start starts a server that enters its bookings in a ledger. The clean-up
// function closes it.
func Start(id fuchsiapitch.ServerID, ledger *Ledger, options ...Option) (*Application, func(), error) {
	a := &Application{id: id, ledger: ledger, concurrency: defaultConcurrency}
	m := http.NewServeMux()
	m.HandleFunc("POST /bookings", a.handleBooking)
	m.HandleFunc("GET /lookups/{name...}", a.handleLookup)
	a.protocol = m
	for _, o := range options {
		o(a)
	}
	a.slots = make(chan struct{}, a.concurrency)
	server, cleanUp, err := faulter.Start(a.limit(a.protocol))
	if err != nil {
		return nil, nil, err
	}
	a.Server = server
	server.Extend("slow", func(_ int, d time.Duration) { a.SetServiceTime(d) })
	return a, cleanUp, nil
}

// ID returns the identifier in the host list.
func (a *Application) ID() fuchsiapitch.ServerID { return a.id }

// SetServiceTime sets the time that one request takes.
func (a *Application) SetServiceTime(d time.Duration) { a.serviceTime.Store(int64(d)) }

// SetLeaving makes the server refuse or take requests. A refusal says not-run.
func (a *Application) SetLeaving(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = leaving
}

// LastWork returns when the last request arrived.
func (a *Application) LastWork() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastWork
}

// Served returns the number of requests that were run.
func (a *Application) Served() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.served
}

// limit waits for a slot and for the service time around a handler.
func (a *Application) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.isRefusing() {
			w.Header().Set(outcomeHeader, fuchsiapitch.OutcomeNotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		case <-r.Context().Done():
			return
		}
		if d := time.Duration(a.serviceTime.Load()); d > 0 {
			time.Sleep(d)
		}
		next.ServeHTTP(w, r)
	})
}

func (a *Application) isRefusing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastWork = time.Now()
	if !a.leaving {
		a.served++
	}
	return a.leaving
}

type booking struct {
	Reference string `json:"reference"`
}

type bookingAnswer struct {
	Reference string `json:"reference"`
	Run       int    `json:"run"`
	Server    string `json:"server"`
}

type lookupAnswer struct {
	Name   string `json:"name"`
	Server string `json:"server"`
}

func (a *Application) handleBooking(w http.ResponseWriter, r *http.Request) {
	var b booking
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || json.Unmarshal(data, &b) != nil || b.Reference == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run := a.ledger.Run(b.Reference)
	writeJSON(w, http.StatusCreated, bookingAnswer{Reference: b.Reference, Run: run, Server: string(a.id)})
}

func (a *Application) handleLookup(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, lookupAnswer{Name: r.PathValue("name"), Server: string(a.id)})
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
