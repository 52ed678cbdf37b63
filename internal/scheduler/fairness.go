package scheduler

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// flow is the queue of one customer in one class.
type flow struct {
	customer fuchsiapitch.CustomerName
	weight   float64
	queue    jobList
	start    float64
	finish   float64
	index    int
	requests int
	bytes    int64
	cost     float64
	running  int
	seen     time.Duration
	served   meter
	estimate ratio
}

// before reports whether f is served before o.
func (f *flow) before(o *flow) bool {
	if f.start != o.start {
		return f.start < o.start
	}
	return f.customer < o.customer
}

// notQueued is the heap index of a flow without a waiting job.
const notQueued = -1

// fairQueue shares one class between its customers by start-time fair queueing.
//
// Each flow carries a virtual start time. The flow with the least start time is
// served first, and the queue's virtual time becomes that start time. Serving a
// job moves the flow's start time on by the job's cost divided by the flow's
// weight. A flow that was idle starts at the queue's virtual time less a bounded
// credit, so that it saves up little service and is not punished for what it did
// long ago.
//
// The cost at the start of a job is an estimate. A later correction moves the
// flow's times by the difference, so that the shares converge to the tokens
// really served.
type fairQueue struct {
	flows   map[fuchsiapitch.CustomerName]*flow
	ready   flowHeap
	active  float64
	virtual float64
	weights float64
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[fuchsiapitch.CustomerName]*flow)}
}

// flow returns the flow of a customer with its weight in force.
func (q *fairQueue) flow(now time.Duration, customer fuchsiapitch.CustomerName, weight float64) *flow {
	f, ok := q.flows[customer]
	if !ok {
		f = &flow{customer: customer, weight: weight, index: notQueued, estimate: newRatio(), served: meter{window: floorWindow}}
		q.flows[customer] = f
		q.active += weight
	}
	f.seen = max(f.seen, now)
	q.active += weight - f.weight
	if f.index != notQueued {
		q.weights += weight - f.weight
	}
	f.weight = weight
	return f
}

// push queues a job, at the front when it had been started before. A flow that
// was idle may start by a credit earlier than the others, so that a customer
// below its share may ask for a few requests at once.
func (q *fairQueue) push(f *flow, j *job, front bool, credit float64) {
	if front {
		f.queue.pushFront(j)
	} else {
		f.queue.pushBack(j)
	}
	if f.index == notQueued {
		f.start = max(q.now()-credit, f.finish)
		heap.Push(&q.ready, f)
		q.weights += f.weight
	}
}

// now returns the virtual time at which a flow that was idle starts: that of
// the last job served, or the start time of the next one where a correction has
// moved it back.
func (q *fairQueue) now() float64 {
	if len(q.ready) == 0 {
		return q.virtual
	}
	return min(q.virtual, q.ready[0].start)
}

// head returns the job to serve next, nil if none waits.
func (q *fairQueue) head() *job {
	if len(q.ready) == 0 {
		return nil
	}
	return q.ready[0].queue.first
}

// remove takes a job out of its flow without serving it.
func (q *fairQueue) remove(j *job) {
	f := j.flow
	j.remove()
	if f.queue.length == 0 && f.index != notQueued {
		q.weights -= f.weight
		heap.Remove(&q.ready, f.index)
	}
}

// serve charges a job that starts to its flow.
func (q *fairQueue) serve(j *job) {
	if !j.parked {
		q.virtual = max(q.virtual, j.flow.start)
	}
	j.charged = j.cost
	q.charge(j.flow, j.charged)
}

// charge moves the times of a flow by a cost, which may be negative.
func (q *fairQueue) charge(f *flow, cost float64) {
	f.finish = max(f.start, f.finish) + cost/f.weight
	if f.index == notQueued {
		return
	}
	f.start = f.finish
	heap.Fix(&q.ready, f.index)
}

// sweep forgets flows that hold no job and have asked for nothing for a while.
func (q *fairQueue) sweep(now time.Duration) {
	q.active = 0
	for _, n := range slices.Sorted(maps.Keys(q.flows)) {
		f := q.flows[n]
		if f.requests == 0 && f.running == 0 && now-f.seen > headroomMemory {
			delete(q.flows, n)
			continue
		}
		q.active += f.weight
	}
}

// flowHeap holds the flows with waiting jobs, the least start time first.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(a, b int) bool { return h[a].before(h[b]) }

// Swap implements heap.Interface.
func (h flowHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow) //nolint:errcheck // Only flows are pushed.
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = notQueued
	return f
}
