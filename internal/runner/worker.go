package runner

import (
	"context"
)

// workerGroup tracks the goroutines of a runner. Each goroutine reports its end
// on a channel that reap and wait read.
type workerGroup struct {
	running int
	ended   chan struct{}
}

// endedBufferSize is the number of ended goroutines that can be reported before
// further ones block until the next reap.
const endedBufferSize = 1024

func newWorkerGroup() *workerGroup {
	return &workerGroup{ended: make(chan struct{}, endedBufferSize)}
}

// start runs a task on a new goroutine. Only the goroutine that owns the
// reducer's state may call it, since the count is not locked.
func (w *workerGroup) start(ctx context.Context, task func(context.Context)) {
	w.reap()
	w.running++
	go func() {
		defer func() { w.ended <- struct{}{} }()
		task(ctx)
	}()
}

// reap counts the goroutines that have ended, without blocking.
func (w *workerGroup) reap() {
	for {
		select {
		case <-w.ended:
			w.running--
		default:
			return
		}
	}
}

// wait blocks until every goroutine has ended.
func (w *workerGroup) wait() {
	for w.running > 0 {
		<-w.ended
		w.running--
	}
}
