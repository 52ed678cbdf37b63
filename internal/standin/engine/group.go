package engine

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// holding is what an engine holds between two orders.
type holding struct {
	assignment fuchsiapitch.Assignment
	dead       bool
	ready      atomic.Bool
	cancel     context.CancelFunc
}

// shard is the part of the weights that an engine has loaded.
type shard struct {
	model   string
	version string
	size    int
	place   int
}

// shardOf returns the part that the engine loads for an assignment.
func (e *Engine) shardOf(a fuchsiapitch.Assignment) shard {
	return shard{
		model: a.Model(), version: a.Version(), size: len(a.Members()),
		place: slices.Index(a.Members(), e.id),
	}
}

// Order takes up an assignment, or refuses an old fencing number when the
// engine checks it. It returns the account afterwards.
func (e *Engine) Order(o fuchsiapitch.Order) (fuchsiapitch.EngineStatus, bool) {
	account, accepted := e.takeOrder(o)
	e.poke()
	return account, accepted
}

// InstallGroup makes engines a ready group without loading, as if they had
// been ordered to long ago.
func InstallGroup(fence fuchsiapitch.FencingToken, a fuchsiapitch.Assignment, members ...*Engine) {
	for _, e := range members {
		e.mu.Lock()
		e.fence, e.loaded = fence, e.shardOf(a)
		h := &holding{assignment: a}
		h.ready.Store(true)
		e.replace(h)
		e.mu.Unlock()
		e.poke()
	}
}

// replace puts a new holding in force and ends the load of the old one.
// Callers hold the lock.
func (e *Engine) replace(h *holding) {
	old := e.holding.Swap(h)
	if old.cancel != nil {
		old.cancel()
	}
}

// isSameGroup reports whether two assignments differ at most in adapters.
func isSameGroup(a, b fuchsiapitch.Assignment) bool {
	return a.Group() == b.Group() && a.Service() == b.Service() &&
		a.Model() == b.Model() && a.Version() == b.Version() && slices.Equal(a.Members(), b.Members())
}

func (e *Engine) takeOrder(o fuchsiapitch.Order) (fuchsiapitch.EngineStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken().Less(e.fence) {
		if e.fenced {
			e.counts.FencedOrders++
			return e.account(e.load.sampled), false
		}
	} else {
		e.fence = o.FencingToken()
	}
	e.counts.Orders++
	old := e.holding.Load()
	if !old.dead {
		e.takeUp(old, o.Assignment())
	}
	return e.account(e.load.sampled), true
}

// takeUp puts an assignment in force. The same group goes on without a new
// load unless it had broken. Callers hold the lock.
func (e *Engine) takeUp(old *holding, a fuchsiapitch.Assignment) {
	h := &holding{assignment: a}
	isRunning := old.ready.Load() || old.cancel != nil
	if isSameGroup(old.assignment, a) && isRunning {
		h.ready.Store(old.ready.Load())
		h.cancel = old.cancel
		if old.ready.Load() {
			e.holding.Store(h)
		}
		return
	}
	if a.Group() == "" {
		e.replace(h)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	e.replace(h)
	e.loads.Add(1)
	go func() {
		defer e.loads.Done()
		e.loadWeights(ctx, h)
	}()
}

// loadWeights waits for the weights and then makes the holding ready. A shard
// that the engine has already is not loaded again.
func (e *Engine) loadWeights(ctx context.Context, h *holding) {
	wanted := e.shardOf(h.assignment)
	e.mu.Lock()
	isLoaded := e.loaded == wanted
	e.loaded = shard{}
	e.mu.Unlock()
	isSlow := e.loader != nil && !isLoaded
	if isSlow && !e.loader.Load(ctx, wanted.model, wanted.version) {
		return
	}
	if !e.AwaitRunning(ctx) {
		return
	}
	e.mu.Lock()
	e.loaded = wanted
	e.mu.Unlock()
	h.ready.Store(true)
	e.poke()
}

// isWhole reports whether the engine leads a group whose members are all
// alive, loaded and of the same group.
func (e *Engine) isWhole(h *holding) bool {
	members := h.assignment.Members()
	if len(members) == 0 || members[0] != e.id || !h.ready.Load() {
		return false
	}
	for _, id := range members {
		m, ok := e.registry.find(id)
		if !ok {
			return false
		}
		held := m.holding.Load()
		if held.dead || !held.ready.Load() || held.assignment.Group() != h.assignment.Group() {
			return false
		}
	}
	return true
}

// awaitMembers waits while a member is paused, as a collective operation does.
func (e *Engine) awaitMembers(ctx context.Context, h *holding) bool {
	for _, id := range h.assignment.Members() {
		if m, ok := e.registry.find(id); ok && !m.AwaitRunning(ctx) {
			return false
		}
	}
	return true
}

// pace returns the slowness of the slowest member, at least 1.
func (e *Engine) pace(h *holding) int64 {
	slowest := int64(1)
	for _, id := range h.assignment.Members() {
		if m, ok := e.registry.find(id); ok {
			slowest = max(slowest, m.slowness.Load())
		}
	}
	return slowest
}
