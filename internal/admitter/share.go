package admitter

import (
	"cmp"
	"slices"
)

const (
	// returnedPart is the part of the room of an overloaded pool that is kept for requests
	// which come back after a refusal.
	returnedPart = 0.15
	// floorPart is the part of the mean share that every rank gets.
	floorPart = 0.35
)

// Demand is the requests of one rank that reach all hosts, in requests per second.
type Demand struct {
	// Rank is the priority class; 0 is the most urgent.
	Rank int
	// New counts requests that come for the first time, Returned those that come back after
	// a refusal.
	New, Returned float64
}

// Share is the part of the requests of one rank that is admitted, from 0 to 1.
type Share struct{ New, Returned float64 }

// Divide divides the rate at which a pool can begin requests among the ranks. Requests that
// come back get the room that was kept for them. Every rank gets its floor, and what is left
// goes to the most urgent rank first. The result is nil if the pool can begin all requests.
func Divide(rate float64, demands []Demand) map[int]Share {
	var returned, fresh float64
	for _, d := range demands {
		returned += d.Returned
		fresh += d.New
	}
	if returned+fresh <= rate {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(demands), func(a, b Demand) int { return cmp.Compare(a.Rank, b.Rank) })
	kept := min(returned, max(returnedPart*rate, rate-fresh))
	returnedShares := fill(kept, sorted, func(d Demand) float64 { return d.Returned })
	newShares := fill(rate-kept, sorted, func(d Demand) float64 { return d.New })
	shares := make(map[int]Share, len(sorted))
	for n, d := range sorted {
		shares[d.Rank] = Share{New: newShares[n], Returned: returnedShares[n]}
	}
	return shares
}

// fill returns which part of each demand a rate covers: floors first, then by rank.
func fill(rate float64, sorted []Demand, of func(Demand) float64) []float64 {
	total := 0.0
	for _, d := range sorted {
		total += of(d)
	}
	shares := make([]float64, len(sorted))
	if total <= 0 {
		for n := range shares {
			shares[n] = 1
		}
		return shares
	}
	floor := floorPart * min(1, rate/total)
	rest := rate - floor*total
	for n, d := range sorted {
		extra := min(rest, (1-floor)*of(d))
		rest -= extra
		shares[n] = 1
		if of(d) > 0 {
			shares[n] = min(1, floor+extra/of(d))
		}
	}
	return shares
}
