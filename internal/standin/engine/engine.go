// Package engine is a stand-in of a model engine: one accelerator host that
// serves as a member of a group. The leader of a group batches continuously;
// one loop per leader feeds all of its streams.
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
	defaultBatchLimit = 32
	defaultTokenTime  = 2 * time.Millisecond
	defaultBatchTime  = 20 * time.Microsecond
	defaultPrefill    = 5 * time.Microsecond
	defaultCacheBytes = 64 << 20
	defaultLag        = 500 * time.Millisecond
)

// Speed is the time that an engine takes.
type Speed struct {
	// Token is the time of one step that makes one token for each running
	// sequence.
	Token time.Duration
	// Batch is added to a step for each running sequence but the first.
	Batch time.Duration
	// Prefill is added to a step for each prompt token that was not cached.
	Prefill time.Duration
}

// Loader hands out model weights.
type Loader interface {
	// Load waits for the weights of one engine and returns false when the
	// context ended first.
	Load(ctx context.Context, model, version string) bool
}

// Registry lets the engines of one fleet see each other, as collective
// operations do.
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

// Engine is one engine.
type Engine struct {
	*faulter.Server
	id         fuchsiapitch.ServerID
	registry   *Registry
	loader     Loader
	protocol   http.Handler
	fenced     bool
	batchLimit int
	speed      Speed
	lag        time.Duration
	lossEvery  uint64
	slowness   atomic.Int64
	holding    atomic.Pointer[holding]
	cache      *cache

	mu          sync.Mutex
	incarnation uint64
	fence       fuchsiapitch.FencingToken
	leaving     bool
	loaded      shard
	lastWork    time.Time
	load        loadReport
	counts      Counts
	waiting     []*sequence
	running     []*sequence
	wake        chan struct{}
	cancel      context.CancelFunc
	done        chan struct{}
	loads       sync.WaitGroup
}

// Counts are the totals since the start of an engine.
type Counts struct {
	// Runs is the number of requests that were run.
	Runs int
	// Refused is the number of requests that were refused as not-run.
	Refused int
	// Cancelled is the number of requests whose caller went away.
	Cancelled int
	// Broken is the number of requests cut because the group was not whole.
	Broken int
	// Tokens is the number of tokens made.
	Tokens int
	// PrefillTokens is the number of prompt tokens that were not cached.
	PrefillTokens int
	// CachedTokens is the number of prompt tokens that were cached.
	CachedTokens int
	// Orders is the number of orders taken up.
	Orders int
	// FencedOrders is the number of orders refused for an old fencing number.
	FencedOrders int
}

// Option sets one optional property of an engine.
type Option func(*Engine)

// WithFencing makes the engine refuse orders with an old fencing number.
func WithFencing() Option { return func(e *Engine) { e.fenced = true } }

// WithBatchLimit sets the number of sequences that run at once.
func WithBatchLimit(n int) Option { return func(e *Engine) { e.batchLimit = n } }

// WithSpeed sets the times of an engine.
func WithSpeed(s Speed) Option { return func(e *Engine) { e.speed = s } }

// WithCacheBytes limits the prompt-prefix cache.
func WithCacheBytes(n int64) Option { return func(e *Engine) { e.cache.limit = n } }

// WithLag sets the lag of load reports and cache events.
func WithLag(d time.Duration) Option { return func(e *Engine) { e.lag = d } }

// WithEventLoss drops every n-th cache event.
func WithEventLoss(n uint64) Option { return func(e *Engine) { e.lossEvery = n } }

// WithLoader sets the source of model weights. Without it loads take no time.
func WithLoader(l Loader) Option { return func(e *Engine) { e.loader = l } }

// WithProtocol serves another protocol than the engine's own. Its handler gives
// orders with Order and has tokens made with Generate.
func WithProtocol(h http.Handler) Option { return func(e *Engine) { e.protocol = h } }

// Start starts an engine that is in no group. The clean-up function ends it.
func Start(id fuchsiapitch.ServerID, registry *Registry, options ...Option) (*Engine, func(), error) {
	e := &Engine{
		id: id, registry: registry, batchLimit: defaultBatchLimit, lag: defaultLag,
		speed: Speed{Token: defaultTokenTime, Batch: defaultBatchTime, Prefill: defaultPrefill},
		cache: newCache(defaultCacheBytes), wake: make(chan struct{}, 1),
	}
	e.protocol = e.routes()
	for _, o := range options {
		o(e)
	}
	e.holding.Store(&holding{})
	server, stop, err := faulter.Start(e.protocol)
	if err != nil {
		return nil, nil, err
	}
	e.Server = server
	server.Extend("die", func(int, time.Duration) { go e.Die() })
	server.Extend("slow", func(factor int, _ time.Duration) { e.SetSlowness(int64(factor)) })
	e.boot()
	registry.engines.Store(id, e)
	return e, func() {
		e.Die()
		stop()
	}, nil
}

// boot starts the loop of a new incarnation, which holds nothing.
func (e *Engine) boot() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	e.mu.Lock()
	e.incarnation++
	e.fence = fuchsiapitch.FencingToken{}
	e.leaving, e.loaded = false, shard{}
	e.cancel, e.done = cancel, done
	e.mu.Unlock()
	e.cache.clear()
	go func() {
		defer close(done)
		e.loop(ctx)
	}()
}

// ID returns the identifier in the host list.
func (e *Engine) ID() fuchsiapitch.ServerID { return e.id }

// Die ends the process: every connection is closed and every state is lost.
func (e *Engine) Die() {
	e.mu.Lock()
	cancel, done := e.cancel, e.done
	e.mu.Unlock()
	cancel()
	e.mu.Lock()
	e.replace(&holding{dead: true})
	e.mu.Unlock()
	e.Server.Die()
	<-done
	e.loads.Wait()
}

// Revive starts a new incarnation on the same port after Die.
func (e *Engine) Revive() error {
	if !e.Dead() {
		return nil
	}
	e.holding.Store(&holding{})
	e.boot()
	return e.Server.Revive()
}

// SetSlowness makes every step take a number of times as long. The slowest
// member sets the pace of its group.
func (e *Engine) SetSlowness(factor int64) { e.slowness.Store(factor) }

// SetLeaving states in the account that the engine is about to leave. It goes
// on serving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// LastWork returns when the last request arrived.
func (e *Engine) LastWork() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastWork
}

// Counts returns the totals since the start.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Account returns the state as the engine reports it.
func (e *Engine) Account() fuchsiapitch.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.account(time.Now())
}

// loadReport is a lagging sample of the load.
type loadReport struct {
	sampled              time.Time
	shown, next          int
	shownBytes, nextByte int64
}

// account builds the account. Callers hold the lock.
func (e *Engine) account(now time.Time) fuchsiapitch.EngineStatus {
	if now.Sub(e.load.sampled) >= e.lag {
		e.load.shown, e.load.shownBytes = e.load.next, e.load.nextByte
		e.load.next, e.load.nextByte = len(e.running)+len(e.waiting), e.cache.bytes()
		e.load.sampled = now
	}
	h := e.holding.Load()
	options := []fuchsiapitch.EngineStatusOption{fuchsiapitch.WithReportedLoad(e.load.shown, e.load.shownBytes)}
	if h.ready.Load() {
		options = append(options, fuchsiapitch.WithReady())
	}
	if e.leaving {
		options = append(options, fuchsiapitch.WithEngineLeaving())
	}
	return fuchsiapitch.NewEngineStatus(e.id, e.incarnation, e.fence, h.assignment, options...)
}
