package scheduler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// affinityBound is the largest load of a replica that is chosen for its
	// prompt cache, as a multiple of the mean load.
	affinityBound = 1.25
	// affinityRoom is the fraction of its slots up to which a replica is chosen
	// whatever the mean: a fuller batch costs less than a cold prompt.
	affinityRoom = 0.75
)

// station is one replica with the requests that run on it.
type station struct {
	replica fuchsiapitch.Replica
	hash    uint64
	running int
	limit   int
	gone    bool

	lateness  map[int]*lateness
	gap       meter
	gapTokens meter
	slowSince time.Duration
	standing  pace
	straggles bool
	probing   time.Duration
}

func newStation(replica fuchsiapitch.Replica) *station {
	return &station{
		hash:      xxhash.Sum64String(string(replica.ID())),
		limit:     replica.Slots(),
		lateness:  make(map[int]*lateness),
		gap:       meter{window: paceWindow},
		gapTokens: meter{window: paceWindow},
	}
}

// setReplica takes over the slots in force. The adapted limit keeps its
// distance from the configured one.
func (t *station) setReplica(replica fuchsiapitch.Replica) {
	if replica.Slots() != t.replica.Slots() {
		t.limit = replica.Slots()
	}
	t.replica = replica
}

// slots returns the number of requests that the replica may run now.
func (t *station) slots() int {
	if t.replica.Slots() == 0 {
		return 0
	}
	switch t.standing {
	case slow:
		return max(1, t.limit/2)
	case stopped:
		return 0
	case probed:
		return 1
	case steady:
	}
	return t.limit
}

// place returns the replica for a job, nil if every replica that it may use is
// full.
//
// With a prompt prefix, replicas are tried in the order of rendezvous hashing,
// so that equal prefixes meet in one cache. A replica whose load is above the
// mean by affinityBound is passed over, so that a popular prefix cannot
// overload its replica. Otherwise the least loaded replica is taken.
func (p *pool) place(j *job) *station {
	if j.request.PrefixHash() != 0 && !p.scheduler.off[PrefixAffinity] {
		if t := p.affine(j); t != nil {
			return t
		}
	}
	var best *station
	for _, t := range p.stations {
		if !t.free(j) {
			continue
		}
		if best == nil || t.running*best.slots() < best.running*t.slots() {
			best = t
		}
	}
	return best
}

func (p *pool) affine(j *job) *station {
	mean := affinityBound * float64(p.running+1) / float64(max(1, p.limit))
	var best *station
	var bestScore uint64
	for _, t := range p.stations {
		bound := int(math.Ceil(max(mean, affinityRoom) * float64(t.slots())))
		if !t.free(j) || (t.running >= bound && !p.scheduler.off[AffinityBound]) {
			continue
		}
		if score := mix(t.hash ^ j.request.PrefixHash()); best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

func (t *station) free(j *job) bool {
	return t.running < t.slots() && !j.excluded[t.replica.ID()]
}

// mix is the finaliser of SplitMix64, which spreads every bit of its input.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
