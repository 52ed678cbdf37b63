package admitter

import "time"

const (
	// minWeight is the weight of a replica with many more requests than the others. It still
	// gets some, as its count is old.
	minWeight = 0.05
	// avoidedWeight multiplies the weight of a replica that is avoided.
	avoidedWeight = 0.01
)

// Candidate is a replica that may get a request.
type Candidate struct {
	// InFlight is the known number of requests at the replica.
	InFlight int
	// IsAvoided is true if other replicas are preferred, since this one has failed or is
	// silent.
	IsAvoided bool
}

// Choose returns the index of the candidate that gets a request. draw is a random number from
// 0 up to 1.
//
// The counts are old, and all hosts have the same: if each chose the replica with the least
// requests, or the better one of two, replicas would fill and empty in turns. So a replica
// gets requests in proportion to what brings it to the mean within correctionTime.
func (p *Pool) Choose(candidates []Candidate, draw float64) int {
	mean := 0.0
	for _, c := range candidates {
		mean += float64(c.InFlight) / float64(len(candidates))
	}
	scale := max(1, float64(p.engine.Slots)*correctionTime.Seconds()/max(p.serviceTime, time.Millisecond).Seconds())
	weights := make([]float64, len(candidates))
	total := 0.0
	for n, c := range candidates {
		weights[n] = max(minWeight, 1-(float64(c.InFlight)-mean)/scale)
		if c.IsAvoided {
			weights[n] *= avoidedWeight
		}
		total += weights[n]
	}
	left := draw * total
	for n, w := range weights {
		if left -= w; left < 0 {
			return n
		}
	}
	return len(candidates) - 1
}
