// Package engine is a stand-in for a model engine: one accelerator host that serves as
// a member of a group. The leader of a group uses continuous batching; a single loop
// of the leader generates the tokens of all its streams.
package engine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

const (
	defaultBatchLimit        = 32
	defaultBaseStepTime      = 2 * time.Millisecond
	defaultExtraSequenceTime = 20 * time.Microsecond
	defaultPrefillTokenTime  = 5 * time.Microsecond
	defaultCacheBytes        = 64 << 20
	defaultReportLag         = 500 * time.Millisecond
)

// StepTiming sets the duration of the steps of an engine.
type StepTiming struct {
	// BaseStep is the duration of a step with one running sequence. A step generates
	// one token for each running sequence.
	BaseStep time.Duration
	// PerExtraSequence is added to a step for each running sequence but the first.
	PerExtraSequence time.Duration
	// PerPrefillToken is added to a step for each prompt token that was not cached.
	PerPrefillToken time.Duration
}

// Loader transfers model weights.
type Loader interface {
	// Load blocks until the weights of one engine are transferred. It returns false if
	// the context ends first.
	Load(ctx context.Context, model, version string) bool
}

// Registry gives the engines of one fleet access to the state of the other members of
// their groups, as collective operations do.
type Registry struct{ engines sync.Map }

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{} }

func (r *Registry) find(id fuchsiapitch.ServerID) (*Engine, bool) {
	value, ok := r.engines.Load(id)
	if !ok {
		return nil, false
	}
	return value.(*Engine), true
}

// Engine is one model engine. It embeds the faulter.Server that serves it.
type Engine struct {
	*faulter.Server
	id                fuchsiapitch.ServerID
	registry          *Registry
	loader            Loader
	handler           http.Handler
	checksFencing     bool
	batchLimit        int
	stepTiming        StepTiming
	reportLag         time.Duration
	eventDropInterval uint64
	slowdownFactor    atomic.Int64
	currentState      atomic.Pointer[engineState]
	cache             *prefixCache

	mu                  sync.Mutex
	incarnation         uint64
	highestFencingToken fuchsiapitch.FencingToken
	isLeaving           bool
	loadedShard         shard
	lastRequestAt       time.Time
	loadReport          laggingLoad
	counts              Counts
	waiting             []*sequence // In the order of priority, then of arrival.
	running             []*sequence // The current batch.
	wakeUp              chan struct{}
	cancelLoop          context.CancelFunc
	loopDone            chan struct{}
	pendingLoads        sync.WaitGroup
}

// Counts holds the totals since the start of an engine. Restarts do not reset them.
type Counts struct {
	// EnqueuedRequests is the number of requests that were enqueued for processing.
	EnqueuedRequests int
	// RefusedRequests is the number of requests refused with the outcome not-run.
	RefusedRequests int
	// CancelledRequests is the number of requests cancelled because the client has
	// disconnected.
	CancelledRequests int
	// AbortedRequests is the number of requests aborted because the group was
	// incomplete, the engine had changed groups or the engine had stopped.
	AbortedRequests int
	// GeneratedTokens is the number of generated tokens.
	GeneratedTokens int
	// PrefillTokens is the number of tokens that were prefilled: prompt tokens that were
	// not cached, and the tokens that a resumed stream already had.
	PrefillTokens int
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int
	// AcceptedOrders is the number of accepted orders.
	AcceptedOrders int
	// FencedOrders is the number of orders refused for a stale fencing token.
	FencedOrders int
}

// Option sets one optional property of an engine.
type Option func(*Engine)

// WithFencing makes the engine refuse orders with a stale fencing token.
func WithFencing() Option { return func(e *Engine) { e.checksFencing = true } }

// WithBatchLimit sets the maximum number of sequences in a batch.
func WithBatchLimit(n int) Option { return func(e *Engine) { e.batchLimit = n } }

// WithStepTiming sets the duration of the steps.
func WithStepTiming(s StepTiming) Option { return func(e *Engine) { e.stepTiming = s } }

// WithCacheBytes limits the size of the prefix cache.
func WithCacheBytes(n int64) Option { return func(e *Engine) { e.cache.limitBytes = n } }

// WithReportLag sets the lag of load reports and cache events.
func WithReportLag(d time.Duration) Option { return func(e *Engine) { e.reportLag = d } }

// WithCacheEventLoss drops every n-th cache event.
func WithCacheEventLoss(n uint64) Option { return func(e *Engine) { e.eventDropInterval = n } }

// WithLoader sets the source of model weights. Without a loader, loads take no time.
func WithLoader(l Loader) Option { return func(e *Engine) { e.loader = l } }

// WithHandler replaces the HTTP API of the engine. The handler applies orders with
// ExecuteOrder and generates tokens with Generate.
func WithHandler(h http.Handler) Option { return func(e *Engine) { e.handler = h } }

// Start starts an engine that belongs to no group. The returned function stops it.
func Start(id fuchsiapitch.ServerID, registry *Registry, options ...Option) (*Engine, func(), error) {
	e := &Engine{
		id: id, registry: registry, batchLimit: defaultBatchLimit, reportLag: defaultReportLag,
		stepTiming: StepTiming{BaseStep: defaultBaseStepTime, PerExtraSequence: defaultExtraSequenceTime, PerPrefillToken: defaultPrefillTokenTime},
		cache:      newPrefixCache(defaultCacheBytes), wakeUp: make(chan struct{}, 1),
	}
	e.handler = e.routes()
	for _, o := range options {
		o(e)
	}
	e.currentState.Store(&engineState{})
	server, stop, err := faulter.Start(e.handler)
	if err != nil {
		return nil, nil, err
	}
	e.Server = server
	server.RegisterFault("die", func(int, time.Duration) { go e.Kill() })
	server.RegisterFault("slow", func(factor int, _ time.Duration) { e.SetSlowdownFactor(int64(factor)) })
	e.startIncarnation()
	registry.engines.Store(id, e)
	return e, func() {
		e.Kill()
		stop()
	}, nil
}

// startIncarnation starts the loop of a new incarnation, which has no loaded weights, no
// fencing token and an empty cache. The caller has stored a state without a group.
func (e *Engine) startIncarnation() {
	ctx, cancel := context.WithCancel(context.Background())
	loopDone := make(chan struct{})
	e.mu.Lock()
	e.incarnation++
	e.highestFencingToken = fuchsiapitch.FencingToken{}
	e.isLeaving, e.loadedShard = false, shard{}
	e.cancelLoop, e.loopDone = cancel, loopDone
	e.mu.Unlock()
	e.cache.clear()
	go func() {
		defer close(loopDone)
		e.runLoop(ctx)
	}()
}

// ID returns the identifier under which the host list lists the engine.
func (e *Engine) ID() fuchsiapitch.ServerID { return e.id }

// Kill simulates a crash of the process: all connections are closed and all state is
// lost.
func (e *Engine) Kill() {
	e.mu.Lock()
	cancelLoop, loopDone := e.cancelLoop, e.loopDone
	e.mu.Unlock()
	cancelLoop()
	e.mu.Lock()
	e.replaceState(&engineState{isDead: true})
	e.mu.Unlock()
	e.Server.Kill()
	<-loopDone
	e.pendingLoads.Wait()
}

// Restart starts a new incarnation on the same port after Kill.
func (e *Engine) Restart() error {
	if !e.Dead() {
		return nil
	}
	e.currentState.Store(&engineState{})
	e.startIncarnation()
	return e.Server.Restart()
}

// SetSlowdownFactor multiplies the duration of every step, without its prefill. The
// slowest member determines the speed of its group.
func (e *Engine) SetSlowdownFactor(factor int64) { e.slowdownFactor.Store(factor) }

// SetLeaving sets whether the status reports that the engine is leaving. The engine
// continues to serve.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isLeaving = leaving
}

// LastRequestAt returns the arrival time of the last well-formed request.
func (e *Engine) LastRequestAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRequestAt
}

// Counts returns the totals since the start of the engine.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Status returns the status that the engine reports.
func (e *Engine) Status() fuchsiapitch.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sampleStatus(time.Now())
}

// laggingLoad holds the load that is reported now, and a newer sample that is reported
// once the report lag has passed.
type laggingLoad struct {
	sampledAt                             time.Time
	reportedRequests, sampledRequests     int
	reportedCacheBytes, sampledCacheBytes int64
}

// sampleStatus returns the status. It takes a new load sample if the last one is at
// least the report lag old. Callers hold the lock.
func (e *Engine) sampleStatus(now time.Time) fuchsiapitch.EngineStatus {
	if now.Sub(e.loadReport.sampledAt) >= e.reportLag {
		e.loadReport.reportedRequests, e.loadReport.reportedCacheBytes = e.loadReport.sampledRequests, e.loadReport.sampledCacheBytes
		e.loadReport.sampledRequests, e.loadReport.sampledCacheBytes = len(e.running)+len(e.waiting), e.cache.size()
		e.loadReport.sampledAt = now
	}
	state := e.currentState.Load()
	options := []fuchsiapitch.EngineStatusOption{fuchsiapitch.WithReportedLoad(e.loadReport.reportedRequests, e.loadReport.reportedCacheBytes)}
	if state.isReady.Load() {
		options = append(options, fuchsiapitch.WithReady())
	}
	if e.isLeaving {
		options = append(options, fuchsiapitch.WithEngineLeaving())
	}
	return fuchsiapitch.NewEngineStatus(e.id, e.incarnation, e.highestFencingToken, state.assignment, options...)
}
