package engine

import (
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// maxPrefillTokensPerStep limits the prefill of one step: no further sequence is
// admitted once it is reached. A single longer prompt is prefilled in one step.
const maxPrefillTokensPerStep = 2048

// sequence is one request that is waiting or in the batch.
type sequence struct {
	stateAtArrival  *engineState
	priority        int
	prompt          string
	tokenLimit      int64
	generatedTokens atomic.Int64
	isAborted       atomic.Bool
	isCancelled     atomic.Bool
	progressSignal  chan struct{}
}

// notifyHandler wakes the handler of the sequence after a change of its state.
func (s *sequence) notifyHandler() {
	select {
	case s.progressSignal <- struct{}{}:
	default:
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.wakeUp <- struct{}{}:
	default:
	}
}

// enqueue inserts a sequence behind all waiting sequences of its priority.
func (e *Engine) enqueue(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	index, _ := slices.BinarySearchFunc(e.waiting, s.priority, func(w *sequence, priority int) int {
		if w.priority <= priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, index, s)
	e.counts.EnqueuedRequests++
	e.wakeLoop()
}

// runLoop runs steps while there are sequences. When the context ends, it aborts all
// sequences.
func (e *Engine) runLoop(ctx context.Context) {
	for e.awaitSequences(ctx) && e.AwaitUnpaused(ctx) {
		state := e.currentState.Load()
		if !e.awaitUnpausedMembers(ctx, state) {
			break
		}
		e.step(ctx, state)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortMatching(func(*sequence) bool { return true })
}

// awaitSequences blocks until there is a sequence to process. It returns false if the
// context ends first.
func (e *Engine) awaitSequences(ctx context.Context) bool {
	for ctx.Err() == nil {
		e.mu.Lock()
		n := len(e.waiting) + len(e.running)
		e.mu.Unlock()
		if n > 0 {
			return true
		}
		select {
		case <-e.wakeUp:
		case <-ctx.Done():
		}
	}
	return false
}

// step generates one token for each running sequence.
func (e *Engine) step(ctx context.Context, state *engineState) {
	duration, ok := e.beginStep(state)
	if !ok {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	e.finishStep()
}

// beginStep admits waiting sequences and returns the duration of the step. It returns
// false if there is nothing to run.
func (e *Engine) beginStep(state *engineState) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leadsReadyGroup(state) {
		e.abortGroup(state)
		return 0, false
	}
	group := state.assignment.Group()
	e.abortMatching(func(s *sequence) bool { return s.stateAtArrival.assignment.Group() != group })
	e.removeCancelled()
	prefillTokens := e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	step := e.stepTiming.BaseStep + time.Duration(len(e.running)-1)*e.stepTiming.PerExtraSequence
	return time.Duration(e.groupSlowdown(state))*step + time.Duration(prefillTokens)*e.stepTiming.PerPrefillToken, true
}

// admit moves waiting sequences into the batch in the order of priority, lowest number
// first, and returns the number of tokens to prefill. Callers hold the lock.
func (e *Engine) admit() int {
	now := time.Now()
	totalPrefillTokens := 0
	for len(e.waiting) > 0 && len(e.running) < e.batchLimit && totalPrefillTokens < maxPrefillTokensPerStep {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cachedTokens, uncachedTokens := e.cache.lookUpAndStore(s.prompt, now)
		uncachedTokens += int(s.generatedTokens.Load())
		e.counts.CachedTokens += cachedTokens
		e.counts.PrefillTokens += uncachedTokens
		totalPrefillTokens += uncachedTokens
		e.running = append(e.running, s)
	}
	return totalPrefillTokens
}

// finishStep adds one token to each running sequence and removes the complete ones.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.GeneratedTokens += len(e.running)
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		generated := s.generatedTokens.Add(1)
		s.notifyHandler()
		return generated >= s.tokenLimit
	})
}

// removeCancelled removes the cancelled sequences. Callers hold the lock.
func (e *Engine) removeCancelled() {
	wasCancelled := func(s *sequence) bool { return s.isCancelled.Load() }
	before := len(e.running) + len(e.waiting)
	e.running = slices.DeleteFunc(e.running, wasCancelled)
	e.waiting = slices.DeleteFunc(e.waiting, wasCancelled)
	e.counts.CancelledRequests += before - len(e.running) - len(e.waiting)
}

// abortMatching aborts the matching sequences: their connections are closed before the
// response is complete. Callers hold the lock.
func (e *Engine) abortMatching(match func(*sequence) bool) {
	abort := func(s *sequence) bool {
		if !match(s) {
			return false
		}
		s.isAborted.Store(true)
		s.notifyHandler()
		return true
	}
	before := len(e.running) + len(e.waiting)
	e.running = slices.DeleteFunc(e.running, abort)
	e.waiting = slices.DeleteFunc(e.waiting, abort)
	e.counts.AbortedRequests += before - len(e.running) - len(e.waiting)
}

// abortGroup aborts all sequences because the engine does not lead a ready group, for
// example after the loss of a member. If sequences of its current group were aborted, the
// engine is not ready until the next order. Callers hold the lock.
func (e *Engine) abortGroup(state *engineState) {
	isOfGroup := func(s *sequence) bool { return s.stateAtArrival.assignment.Group() == state.assignment.Group() }
	hasAborted := slices.ContainsFunc(e.running, isOfGroup) || slices.ContainsFunc(e.waiting, isOfGroup)
	e.abortMatching(func(*sequence) bool { return true })
	if hasAborted && state.isReady.Load() && !state.isDead {
		e.currentState.CompareAndSwap(state, &engineState{assignment: state.assignment})
	}
}
