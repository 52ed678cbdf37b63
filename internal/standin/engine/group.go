package engine

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// engineState is the state of an engine from one order to the next.
type engineState struct {
	assignment fuchsiapitch.Assignment
	isDead     bool
	isReady    atomic.Bool
	cancelLoad context.CancelFunc
}

// shard identifies the part of the weights that an engine loads.
type shard struct {
	model     string
	version   string
	groupSize int
	rank      int
}

// shardOf returns the shard that the engine loads for an assignment.
func (e *Engine) shardOf(a fuchsiapitch.Assignment) shard {
	return shard{
		model: a.Model(), version: a.Version(), groupSize: len(a.Members()),
		rank: slices.Index(a.Members(), e.id),
	}
}

// ExecuteOrder applies an order. It returns the status afterwards and whether the order
// was accepted: an engine that checks fencing tokens refuses a stale one.
func (e *Engine) ExecuteOrder(o fuchsiapitch.Order) (fuchsiapitch.EngineStatus, bool) {
	engineStatus, accepted := e.applyOrder(o)
	e.wakeLoop()
	return engineStatus, accepted
}

// InstallGroup turns engines into a ready group without orders and without loading
// weights.
func InstallGroup(token fuchsiapitch.FencingToken, a fuchsiapitch.Assignment, members ...*Engine) {
	for _, e := range members {
		e.mu.Lock()
		e.highestFencingToken, e.loadedShard = token, e.shardOf(a)
		state := &engineState{assignment: a}
		state.isReady.Store(true)
		e.replaceState(state)
		e.mu.Unlock()
		e.wakeLoop()
	}
}

// replaceState sets a new state and cancels the load of the old one. Callers hold the
// lock.
func (e *Engine) replaceState(state *engineState) {
	oldState := e.currentState.Swap(state)
	if oldState.cancelLoad != nil {
		oldState.cancelLoad()
	}
}

// isSameGroup reports whether two assignments differ in nothing but the adapters.
func isSameGroup(a, b fuchsiapitch.Assignment) bool {
	return a.Group() == b.Group() && a.Service() == b.Service() &&
		a.Model() == b.Model() && a.Version() == b.Version() && slices.Equal(a.Members(), b.Members())
}

func (e *Engine) applyOrder(o fuchsiapitch.Order) (fuchsiapitch.EngineStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken().Less(e.highestFencingToken) {
		if e.checksFencing {
			e.counts.FencedOrders++
			return e.sampleStatus(e.loadReport.sampledAt), false
		}
	} else {
		e.highestFencingToken = o.FencingToken()
	}
	e.counts.AcceptedOrders++
	oldState := e.currentState.Load()
	if !oldState.isDead {
		e.applyAssignment(oldState, o.Assignment())
	}
	return e.sampleStatus(e.loadReport.sampledAt), true
}

// applyAssignment applies an assignment. An engine that stays in the same group
// continues without a new load, unless the group was aborted. Callers hold the lock.
func (e *Engine) applyAssignment(oldState *engineState, a fuchsiapitch.Assignment) {
	newState := &engineState{assignment: a}
	isReadyOrLoading := oldState.isReady.Load() || oldState.cancelLoad != nil
	if isSameGroup(oldState.assignment, a) && isReadyOrLoading {
		newState.isReady.Store(oldState.isReady.Load())
		newState.cancelLoad = oldState.cancelLoad
		if oldState.isReady.Load() {
			e.currentState.Store(newState)
		}
		return
	}
	if a.Group() == "" {
		e.replaceState(newState)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	newState.cancelLoad = cancel
	e.replaceState(newState)
	e.pendingLoads.Add(1)
	go func() {
		defer e.pendingLoads.Done()
		e.loadWeights(ctx, newState)
	}()
}

// loadWeights loads the weights and then marks the state as ready. A shard that the
// engine already has is not loaded again.
func (e *Engine) loadWeights(ctx context.Context, state *engineState) {
	wantedShard := e.shardOf(state.assignment)
	e.mu.Lock()
	isLoaded := e.loadedShard == wantedShard
	e.loadedShard = shard{}
	e.mu.Unlock()
	mustLoad := e.loader != nil && !isLoaded
	if mustLoad && !e.loader.Load(ctx, wantedShard.model, wantedShard.version) {
		return
	}
	if !e.AwaitUnpaused(ctx) {
		return
	}
	e.mu.Lock()
	e.loadedShard = wantedShard
	e.mu.Unlock()
	state.isReady.Store(true)
	e.wakeLoop()
}

// leadsReadyGroup reports whether the engine leads a group whose members are all alive,
// have loaded their weights and belong to the same group.
func (e *Engine) leadsReadyGroup(state *engineState) bool {
	members := state.assignment.Members()
	if len(members) == 0 || members[0] != e.id || !state.isReady.Load() {
		return false
	}
	for _, id := range members {
		m, ok := e.registry.find(id)
		if !ok {
			return false
		}
		memberState := m.currentState.Load()
		if memberState.isDead || !memberState.isReady.Load() || memberState.assignment.Group() != state.assignment.Group() {
			return false
		}
	}
	return true
}

// awaitUnpausedMembers blocks while a member is paused, as a collective operation does.
// It returns false if the context ends first.
func (e *Engine) awaitUnpausedMembers(ctx context.Context, state *engineState) bool {
	for _, id := range state.assignment.Members() {
		if m, ok := e.registry.find(id); ok && !m.AwaitUnpaused(ctx) {
			return false
		}
	}
	return true
}

// groupSlowdown returns the slowdown factor of the slowest member, at least 1.
func (e *Engine) groupSlowdown(state *engineState) int64 {
	slowest := int64(1)
	for _, id := range state.assignment.Members() {
		if m, ok := e.registry.find(id); ok {
			slowest = max(slowest, m.slowdownFactor.Load())
		}
	}
	return slowest
}
