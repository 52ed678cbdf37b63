package engine

import (
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// prefillChunk limits the uncached prompt tokens that one step takes in, unless
// a single prompt is longer.
const prefillChunk = 2048

// sequence is one request in the batch.
type sequence struct {
	holding  *holding
	priority int
	prompt   string
	limit    int64
	made     atomic.Int64
	broken   atomic.Bool
	gone     atomic.Bool
	notify   chan struct{}
}

// signal tells the handler of the sequence that something has changed.
func (s *sequence) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// enqueue puts a sequence behind all waiting ones of its priority.
func (e *Engine) enqueue(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, _ := slices.BinarySearchFunc(e.waiting, s.priority, func(w *sequence, priority int) int {
		if w.priority <= priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, s)
	e.counts.Runs++
	e.poke()
}

// loop makes tokens while there are sequences, and breaks them at the end.
func (e *Engine) loop(ctx context.Context) {
	for e.awaitWork(ctx) && e.AwaitRunning(ctx) {
		h := e.holding.Load()
		if !e.awaitMembers(ctx, h) {
			break
		}
		e.step(ctx, h)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakWhere(func(*sequence) bool { return true })
}

// awaitWork returns false when the context has ended.
func (e *Engine) awaitWork(ctx context.Context) bool {
	for ctx.Err() == nil {
		e.mu.Lock()
		n := len(e.waiting) + len(e.running)
		e.mu.Unlock()
		if n > 0 {
			return true
		}
		select {
		case <-e.wake:
		case <-ctx.Done():
		}
	}
	return false
}

// step makes one token for each running sequence.
func (e *Engine) step(ctx context.Context, h *holding) {
	duration, ok := e.begin(h)
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
	e.advance()
}

// begin admits waiting sequences and returns the time of the step. It returns
// false when nothing can run.
func (e *Engine) begin(h *holding) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isWhole(h) {
		e.breakGroup(h)
		return 0, false
	}
	group := h.assignment.Group()
	e.breakWhere(func(s *sequence) bool { return s.holding.assignment.Group() != group })
	e.dropGone()
	fresh := e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	step := e.speed.Token + time.Duration(len(e.running)-1)*e.speed.Batch
	return time.Duration(e.pace(h))*step + time.Duration(fresh)*e.speed.Prefill, true
}

// admit moves waiting sequences into the batch, the most urgent first, and
// returns the number of prompt tokens to take in. Callers hold the lock.
func (e *Engine) admit() int {
	now := time.Now()
	total := 0
	for len(e.waiting) > 0 && len(e.running) < e.batchLimit && total < prefillChunk {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached, fresh := e.cache.use(s.prompt, now)
		fresh += int(s.made.Load())
		e.counts.CachedTokens += cached
		e.counts.PrefillTokens += fresh
		total += fresh
		e.running = append(e.running, s)
	}
	return total
}

// advance makes one token for each running sequence and lets whole ones go.
func (e *Engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Tokens += len(e.running)
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		made := s.made.Add(1)
		s.signal()
		return made >= s.limit
	})
}

// dropGone removes the sequences whose callers went away. Callers hold the lock.
func (e *Engine) dropGone() {
	isGone := func(s *sequence) bool { return s.gone.Load() }
	before := len(e.running) + len(e.waiting)
	e.running = slices.DeleteFunc(e.running, isGone)
	e.waiting = slices.DeleteFunc(e.waiting, isGone)
	e.counts.Cancelled += before - len(e.running) - len(e.waiting)
}

// breakWhere cuts the streams of the sequences that match. Callers hold the lock.
func (e *Engine) breakWhere(match func(*sequence) bool) {
	cut := func(s *sequence) bool {
		if !match(s) {
			return false
		}
		s.broken.Store(true)
		s.signal()
		return true
	}
	before := len(e.running) + len(e.waiting)
	e.running = slices.DeleteFunc(e.running, cut)
	e.waiting = slices.DeleteFunc(e.waiting, cut)
	e.counts.Broken += before - len(e.running) - len(e.waiting)
}

// breakGroup cuts every stream after the loss of a member. An engine whose
// group broke is not ready until the next order. Callers hold the lock.
func (e *Engine) breakGroup(h *holding) {
	isOfGroup := func(s *sequence) bool { return s.holding.assignment.Group() == h.assignment.Group() }
	hasBroken := slices.ContainsFunc(e.running, isOfGroup) || slices.ContainsFunc(e.waiting, isOfGroup)
	e.breakWhere(func(*sequence) bool { return true })
	if hasBroken && h.ready.Load() && !h.dead {
		e.holding.CompareAndSwap(h, &holding{assignment: h.assignment})
	}
}
