package scheduler

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// job is one request at the scheduler, waiting or running.
type job struct {
	request     fuchsiapitch.Request
	class       *class
	flow        *flow
	excluded    map[fuchsiapitch.ReplicaID]bool
	expires     time.Duration
	expiryIndex int
	tokensDone  int
	preemptions int
	cost        float64
	parked      bool
	pool        *pool
	sequence    uint64

	station  *station
	stopping bool
	yields   bool
	charged  float64
	served   float64

	previous, next *job
	list           *jobList
}

// asked returns the tokens that the request is estimated to need still, as the
// request itself states them.
func (j *job) asked() float64 {
	return max(1, j.request.EstimatedTokens()-float64(j.tokensDone))
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

// remove takes the job out of its list.
func (j *job) remove() {
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

// expiryHeap holds the waiting jobs, the one with the nearest deadline first.
type expiryHeap []*job

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(a, b int) bool {
	if h[a].expires != h[b].expires {
		return h[a].expires < h[b].expires
	}
	return h[a].request.ID() < h[b].request.ID()
}

// Swap implements heap.Interface.
func (h expiryHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].expiryIndex, h[b].expiryIndex = a, b
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	j := x.(*job) //nolint:errcheck // Only jobs are pushed.
	j.expiryIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.expiryIndex = notExpiring
	return j
}

// notExpiring is the expiry index of a job that is in no expiry heap.
const notExpiring = -1
