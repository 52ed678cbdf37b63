package scheduler

import "time"

const (
	// costWindow is the time constant of the sums from which a costRatio is
	// computed.
	costWindow = time.Minute
	// minCostRatio and maxCostRatio bound a costRatio.
	minCostRatio = 0.01
	maxCostRatio = 4
)

// costRatio is the ratio of the tokens that requests consumed to their estimated
// costs.
type costRatio struct {
	estimated, actual decayingSum
}

func newCostRatio() costRatio {
	m := decayingSum{timeConstant: costWindow}
	return costRatio{estimated: m, actual: m}
}

func (r *costRatio) add(now time.Duration, estimated, actual float64) {
	r.estimated.add(now, estimated)
	r.actual.add(now, actual)
}

// valueAt returns the ratio at time now. It is 1 and not known without recent
// requests.
func (r *costRatio) valueAt(now time.Duration) (value float64, known bool) {
	estimated := r.estimated.valueAt(now)
	if estimated < 1 {
		return 1, false
	}
	return min(max(r.actual.valueAt(now)/estimated, minCostRatio), maxCostRatio), true
}

// costCorrection returns the factor by which a customer's cost estimate is
// multiplied: the ratio of its own earlier requests or, if there are none, of its
// class. The estimate of a request counts the prompt and the longest answer
// allowed; most requests consume only part of that.
func (c *class) costCorrection(now time.Duration, f *flow) float64 {
	if r, known := f.costHistory.valueAt(now); known {
		return r
	}
	r, _ := c.costHistory.valueAt(now)
	return r
}

// recordCost compares the estimate of a finished stream with the tokens that it
// consumed. A preempted stream is left out, since its full length is unknown.
func (c *class) recordCost(now time.Duration, j *job) {
	if j.preempting || j.servedTokens == 0 || !j.request.Streaming() {
		return
	}
	c.costHistory.add(now, j.remainingCost(), j.servedTokens)
	j.flow.costHistory.add(now, j.remainingCost(), j.servedTokens)
}
