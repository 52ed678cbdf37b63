package scheduler

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// flow holds the requests of one customer in one class. The queued requests
// include the blocked ones, which are not in waitingJobs.
type flow struct {
	customer    fuchsiapitch.CustomerName
	weight      float64
	waitingJobs jobList
	// virtualStart is the virtual start time of the first waiting job.
	virtualStart float64
	// virtualFinish is the virtual time at which all charged jobs are finished.
	virtualFinish  float64
	heapIndex      int
	queuedRequests int
	queuedBytes    int64
	// queuedCost is the estimated cost of the queued requests in tokens.
	queuedCost      float64
	runningRequests int
	lastRequestAt   time.Duration
	// servedTokens sums the tokens served over floorWindow.
	servedTokens decayingSum
	costHistory  costRatio
}

// before reports whether f is served before o.
func (f *flow) before(o *flow) bool {
	if f.virtualStart != o.virtualStart {
		return f.virtualStart < o.virtualStart
	}
	return f.customer < o.customer
}

// notBacklogged is the heap index of a flow without waiting jobs.
const notBacklogged = -1

// fairQueue shares one class between its customers by start-time fair queueing.
//
// Each flow has a virtual start time. The flow with the least start time is served
// first, and the virtual time of the queue becomes that start time. Serving a job
// advances the start time of its flow by the cost of the job divided by the weight
// of the flow. A flow that was idle starts at the virtual time of the queue less a
// bounded credit, so that it accumulates little unused service and is not
// penalised for service it received long ago.
//
// The cost charged when a job starts is an estimate. Later corrections move the
// times of the flow by the difference, so that the shares converge to those of the
// tokens actually served.
type fairQueue struct {
	flows      map[fuchsiapitch.CustomerName]*flow
	backlogged flowHeap
	// activeWeight is the sum of the weights of all flows.
	activeWeight float64
	virtualTime  float64
	// backloggedWeight is the sum of the weights of the flows with waiting jobs.
	backloggedWeight float64
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[fuchsiapitch.CustomerName]*flow)}
}

// flowFor returns the flow of a customer, creating it if there is none, and sets
// its weight.
func (q *fairQueue) flowFor(now time.Duration, customer fuchsiapitch.CustomerName, weight float64) *flow {
	f, ok := q.flows[customer]
	if !ok {
		f = &flow{customer: customer, weight: weight, heapIndex: notBacklogged, costHistory: newCostRatio(), servedTokens: decayingSum{timeConstant: floorWindow}}
		q.flows[customer] = f
		q.activeWeight += weight
	}
	f.lastRequestAt = max(f.lastRequestAt, now)
	q.activeWeight += weight - f.weight
	if f.heapIndex != notBacklogged {
		q.backloggedWeight += weight - f.weight
	}
	f.weight = weight
	return f
}

// push queues a job, at the front of its flow if front is true. A flow that was
// idle starts earlier than the others by credit, so that a customer below its
// share can send a few requests at once.
func (q *fairQueue) push(f *flow, j *job, front bool, credit float64) {
	if front {
		f.waitingJobs.pushFront(j)
	} else {
		f.waitingJobs.pushBack(j)
	}
	if f.heapIndex == notBacklogged {
		f.virtualStart = max(q.idleStartTime()-credit, f.virtualFinish)
		heap.Push(&q.backlogged, f)
		q.backloggedWeight += f.weight
	}
}

// idleStartTime returns the virtual time at which an idle flow starts: the start
// time of the last job served, or that of the next one if a correction has moved
// it to an earlier time.
func (q *fairQueue) idleStartTime() float64 {
	if len(q.backlogged) == 0 {
		return q.virtualTime
	}
	return min(q.virtualTime, q.backlogged[0].virtualStart)
}

// head returns the job to serve next, nil if the queue is empty.
func (q *fairQueue) head() *job {
	if len(q.backlogged) == 0 {
		return nil
	}
	return q.backlogged[0].waitingJobs.first
}

// remove removes a waiting job from its flow without charging it.
func (q *fairQueue) remove(j *job) {
	f := j.flow
	j.unlink()
	if f.waitingJobs.length == 0 && f.heapIndex != notBacklogged {
		q.backloggedWeight -= f.weight
		heap.Remove(&q.backlogged, f.heapIndex)
	}
}

// chargeJob charges the estimated cost of a job that starts to its flow. A blocked
// job does not advance the virtual time of the queue, since it starts out of turn.
func (q *fairQueue) chargeJob(j *job) {
	if !j.blocked {
		q.virtualTime = max(q.virtualTime, j.flow.virtualStart)
	}
	j.chargedTokens = j.estimatedCost
	q.charge(j.flow, j.chargedTokens)
}

// charge moves the virtual times of a flow by a cost in tokens. A negative cost is
// a refund.
func (q *fairQueue) charge(f *flow, cost float64) {
	f.virtualFinish = max(f.virtualStart, f.virtualFinish) + cost/f.weight
	if f.heapIndex == notBacklogged {
		return
	}
	f.virtualStart = f.virtualFinish
	heap.Fix(&q.backlogged, f.heapIndex)
}

// removeIdleFlows removes the flows without queued or running requests whose last
// request is longer ago than idleTimeout.
func (q *fairQueue) removeIdleFlows(now time.Duration) {
	q.activeWeight = 0
	for _, n := range slices.Sorted(maps.Keys(q.flows)) {
		f := q.flows[n]
		if f.queuedRequests == 0 && f.runningRequests == 0 && now-f.lastRequestAt > idleTimeout {
			delete(q.flows, n)
			continue
		}
		q.activeWeight += f.weight
	}
}

// flowHeap is a min-heap of the flows with waiting jobs by virtual start time.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(a, b int) bool { return h[a].before(h[b]) }

// Swap implements heap.Interface.
func (h flowHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow) //nolint:errcheck // Only flows are pushed.
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = notBacklogged
	return f
}
