package scheduler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// affinityLoadFactor is the largest load of a replica that is selected for its
	// prompt cache, as a multiple of the mean load.
	affinityLoadFactor = 1.25
	// affinityExemptFraction is the fraction of its slots up to which a replica is
	// selected whatever the mean load is, since a fuller batch costs less than a
	// prompt that is not cached.
	affinityExemptFraction = 0.75
)

// replicaState is one replica with its load, its concurrency limit and its speed.
type replicaState struct {
	replica         fuchsiapitch.Replica
	idHash          uint64
	runningRequests int
	// concurrencyLimit is the number of slots after adaptation, before the speed is
	// taken into account.
	concurrencyLimit int
	// removed is true if the replica is no longer in the pool.
	removed bool

	// latenessByOrder holds the lateness of each rank by its order.
	latenessByOrder map[int]*lateness
	// interTokenSeconds and interTokenCount give the mean time between tokens over
	// interTokenWindow.
	interTokenSeconds decayingSum
	interTokenCount   decayingSum
	slowSince         time.Duration
	speed             speedState
	// straggling is true if the replica has been slow for ejectionDelay and has not
	// recovered.
	straggling bool
	// nextProbeAt is the time of the next probe of an ejected replica.
	nextProbeAt time.Duration
}

func newReplicaState(replica fuchsiapitch.Replica) *replicaState {
	return &replicaState{
		idHash:            xxhash.Sum64String(string(replica.ID())),
		concurrencyLimit:  replica.Slots(),
		latenessByOrder:   make(map[int]*lateness),
		interTokenSeconds: decayingSum{timeConstant: interTokenWindow},
		interTokenCount:   decayingSum{timeConstant: interTokenWindow},
	}
}

// setReplica sets the configuration of the replica. A change of the configured
// slots resets the concurrency limit to them.
func (rs *replicaState) setReplica(replica fuchsiapitch.Replica) {
	if replica.Slots() != rs.replica.Slots() {
		rs.concurrencyLimit = replica.Slots()
	}
	rs.replica = replica
}

// slots returns the number of requests that may run on the replica now.
func (rs *replicaState) slots() int {
	if rs.replica.Slots() == 0 {
		return 0
	}
	switch rs.speed {
	case slow:
		return max(1, rs.concurrencyLimit/2)
	case ejected:
		return 0
	case probing:
		return 1
	case normalSpeed:
	}
	return rs.concurrencyLimit
}

// selectReplica returns the replica for a job, nil if every replica that it may use
// is full.
//
// For a request with a prompt prefix the replicas are ranked by rendezvous hashing,
// so that requests with equal prefixes share a cache. A replica whose load exceeds
// affinityLoadFactor times the mean is skipped, so that a popular prefix cannot
// overload its replica. Otherwise the least loaded replica is selected.
func (p *pool) selectReplica(j *job) *replicaState {
	if j.request.PrefixHash() != 0 && !p.scheduler.disabledMechanisms[PrefixAffinity] {
		if rs := p.selectByPrefix(j); rs != nil {
			return rs
		}
	}
	var best *replicaState
	for _, rs := range p.replicaStates {
		if !rs.canRun(j) {
			continue
		}
		if best == nil || rs.runningRequests*best.slots() < best.runningRequests*rs.slots() {
			best = rs
		}
	}
	return best
}

// selectByPrefix returns the replica with the highest rendezvous score for the
// prompt prefix of a job, nil if no replica is free and within the load bound.
func (p *pool) selectByPrefix(j *job) *replicaState {
	maxLoad := affinityLoadFactor * float64(p.runningRequests+1) / float64(max(1, p.totalSlots))
	var best *replicaState
	var bestScore uint64
	for _, rs := range p.replicaStates {
		maxRunning := int(math.Ceil(max(maxLoad, affinityExemptFraction) * float64(rs.slots())))
		if !rs.canRun(j) || (rs.runningRequests >= maxRunning && !p.scheduler.disabledMechanisms[AffinityBound]) {
			continue
		}
		if score := mixBits(rs.idHash ^ j.request.PrefixHash()); best == nil || score > bestScore {
			best, bestScore = rs, score
		}
	}
	return best
}

// canRun reports whether the replica has a free slot for a job and is not excluded.
func (rs *replicaState) canRun(j *job) bool {
	return rs.runningRequests < rs.slots() && !j.excluded[rs.replica.ID()]
}

// mixBits is the finaliser of SplitMix64. Each input bit affects all output bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
