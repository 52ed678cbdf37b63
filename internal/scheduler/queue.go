package scheduler

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// job is one request in the scheduler, queued or running.
type job struct {
	request fuchsiapitch.Request
	class   *class
	flow    *flow
	// excluded are the replicas that the request must not run on.
	excluded map[fuchsiapitch.ReplicaID]bool
	// deadline is the monotonic time at which a queued request is refused, 0 for
	// none. deadlineIndex is the index of the job in the deadline heap.
	deadline      time.Duration
	deadlineIndex int
	// tokensDelivered is the number of tokens that the caller received before the
	// request was queued again.
	tokensDelivered int
	preemptionCount int
	// estimatedCost is remainingCost times the cost correction, in tokens.
	estimatedCost float64
	// blocked is true if the job is in the list of blocked jobs of its class.
	blocked bool
	pool    *pool
	// sequence is the order in which jobs were queued.
	sequence uint64

	// runningOn is the replica that the job runs on, nil while it is queued.
	runningOn *replicaState
	// preempting is true once a plan has contained the preemption of the job.
	preempting bool
	// countedPreemptible is true if the job is counted in the pool's
	// preemptibleRequests.
	countedPreemptible bool
	// chargedTokens is the cost charged to the flow, servedTokens the number of
	// tokens served since the start.
	chargedTokens float64
	servedTokens  float64

	previous, next *job
	list           *jobList
}

// remainingCost returns the estimated cost of the request less the tokens already
// delivered, without the correction by earlier requests.
func (j *job) remainingCost() float64 {
	return max(1, j.request.EstimatedTokens()-float64(j.tokensDelivered))
}

// jobList is a doubly linked list of jobs. A job is in at most one list.
type jobList struct {
	first, last *job
	length      int
}

func (l *jobList) pushBack(j *job) {
	j.list, j.previous, j.next = l, l.last, nil
	if l.last == nil {
		l.first = j
	} else {
		l.last.next = j
	}
	l.last = j
	l.length++
}

func (l *jobList) pushFront(j *job) {
	j.list, j.previous, j.next = l, nil, l.first
	if l.first == nil {
		l.last = j
	} else {
		l.first.previous = j
	}
	l.first = j
	l.length++
}

// unlink removes the job from its list.
func (j *job) unlink() {
	l := j.list
	if l == nil {
		return
	}
	if j.previous == nil {
		l.first = j.next
	} else {
		j.previous.next = j.next
	}
	if j.next == nil {
		l.last = j.previous
	} else {
		j.next.previous = j.previous
	}
	l.length--
	j.list, j.previous, j.next = nil, nil, nil
}

// deadlineHeap is a min-heap of the queued jobs with a deadline.
type deadlineHeap []*job

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(a, b int) bool {
	if h[a].deadline != h[b].deadline {
		return h[a].deadline < h[b].deadline
	}
	return h[a].request.ID() < h[b].request.ID()
}

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].deadlineIndex, h[b].deadlineIndex = a, b
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	j := x.(*job) //nolint:errcheck // Only jobs are pushed.
	j.deadlineIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.deadlineIndex = notInDeadlineHeap
	return j
}

// notInDeadlineHeap is the deadline index of a job that is not in the heap.
const notInDeadlineHeap = -1
