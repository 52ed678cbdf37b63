// Package selector chooses the members of a new group among the free servers of a fabric domain.
// It keeps no state and reads no clock.
package selector

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// unlistedPenalty is what a server that is off the list counts as slower to join: its entry may lack
// because it is about to end.
const unlistedPenalty = 500 * time.Millisecond

// Candidate is one free server. It is a plain record.
type Candidate struct {
	Server fuchsiapitch.ServerID
	// JoinTime is how long the server takes to join, with what its join displaces.
	JoinTime time.Duration
	// Listed is true if the server is on the platform's list. Others may be members but get no
	// requests, and therefore cannot lead.
	Listed bool
	// Leads is true if the server leads its former group, whose other members can join only after it
	// has left that.
	Leads bool
}

// cost orders candidates.
func (c Candidate) cost() time.Duration {
	if c.Listed {
		return c.JoinTime
	}
	return c.JoinTime + unlistedPenalty
}

// Select returns the members of a group of a size, the leader first: the candidates that join
// soonest, led by a listed one. It returns nil if there are too few candidates or none is listed.
func Select(candidates []Candidate, size int) []fuchsiapitch.ServerID {
	if size <= 0 || len(candidates) < size {
		return nil
	}
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b Candidate) int { return cmp.Compare(a.cost(), b.cost()) })
	isListed := func(c Candidate) bool { return c.Listed }
	chosen := sorted[:size]
	if !slices.ContainsFunc(chosen, isListed) {
		n := slices.IndexFunc(sorted, isListed)
		if n < 0 {
			return nil
		}
		chosen[size-1] = sorted[n]
	}
	leader := slices.IndexFunc(chosen, func(c Candidate) bool { return c.Listed && c.Leads })
	if leader < 0 {
		leader = slices.IndexFunc(chosen, isListed)
	}
	members := []fuchsiapitch.ServerID{chosen[leader].Server}
	for n, c := range chosen {
		if n != leader {
			members = append(members, c.Server)
		}
	}
	return members
}
