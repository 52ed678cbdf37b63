package runner

import (
	"context"
)

// workers counts the goroutines of a runner. Each reports its end on a channel
// that wait reads.
type workers struct {
	running int
	ended   chan struct{}
}

const workerBuffer = 1024

func newWorkers() *workers {
	return &workers{ended: make(chan struct{}, workerBuffer)}
}

// start runs work on a goroutine. Only the owner of the state calls it.
func (w *workers) start(ctx context.Context, work func(context.Context)) {
	w.reap()
	w.running++
	go func() {
		defer func() { w.ended <- struct{}{} }()
		work(ctx)
	}()
}

// reap takes in the reports that have arrived.
func (w *workers) reap() {
	for {
		select {
		case <-w.ended:
			w.running--
		default:
			return
		}
	}
}

// wait returns once every goroutine has ended.
func (w *workers) wait() {
	for w.running > 0 {
		<-w.ended
		w.running--
	}
}
