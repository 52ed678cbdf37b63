package scheduler

import "time"

const (
	// estimateWindow is the time constant over which estimates are compared
	// with what was served.
	estimateWindow = time.Minute
	// smallestRatio and largestRatio bound the correction of an estimate.
	smallestRatio = 0.01
	largestRatio  = 4
)

// ratio compares the estimated costs of requests with the tokens that they took.
type ratio struct {
	asked, served meter
}

func newRatio() ratio {
	m := meter{window: estimateWindow}
	return ratio{asked: m, served: m}
}

func (r *ratio) add(now time.Duration, asked, served float64) {
	r.asked.add(now, asked)
	r.served.add(now, served)
}

func (r *ratio) read(now time.Duration) (value float64, known bool) {
	asked := r.asked.read(now)
	if asked < 1 {
		return 1, false
	}
	return min(max(r.served.read(now)/asked, smallestRatio), largestRatio), true
}

// ratio returns the factor that corrects an estimate of a customer: what its
// earlier requests took, or else those of its class. An estimate counts the
// prompt and the longest answer allowed, of which most requests take a part.
func (c *class) ratio(now time.Duration, f *flow) float64 {
	if r, known := f.estimate.read(now); known {
		return r
	}
	r, _ := c.estimate.read(now)
	return r
}

// learn compares the estimate of a stream that has ended with what it took. A
// stream that was preempted has not shown its length.
func (c *class) learn(now time.Duration, j *job) {
	if j.stopping || j.served == 0 || !j.request.Streaming() {
		return
	}
	c.estimate.add(now, j.asked(), j.served)
	j.flow.estimate.add(now, j.asked(), j.served)
}
