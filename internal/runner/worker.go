package runner

import (
	"context"
)

// workerGroup tracks the goroutines of a runner. Each goroutine sends on
// endedTasks when its task has ended; reap and wait receive from that channel.
type workerGroup struct {
	runningCount int
	endedTasks   chan struct{}
}

// endedTasksCapacity is the number of ended tasks that endedTasks holds.
// Further goroutines block on their exit until the next reap.
const endedTasksCapacity = 1024

func newWorkerGroup() *workerGroup {
	return &workerGroup{endedTasks: make(chan struct{}, endedTasksCapacity)}
}

// start runs a task on a new goroutine. Only the goroutine that owns the
// reducer's state may call it, since no lock protects the count.
func (w *workerGroup) start(ctx context.Context, task func(context.Context)) {
	w.reap()
	w.runningCount++
	go func() {
		defer func() { w.endedTasks <- struct{}{} }()
		task(ctx)
	}()
}

// reap subtracts the goroutines that have ended from the running count, without
// blocking.
func (w *workerGroup) reap() {
	for {
		select {
		case <-w.endedTasks:
			w.runningCount--
		default:
			return
		}
	}
}

// wait blocks until every goroutine has ended.
func (w *workerGroup) wait() {
	for w.runningCount > 0 {
		<-w.endedTasks
		w.runningCount--
	}
}
