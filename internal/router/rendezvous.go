// Package router decides which dispatcher serves a replica and which dispatcher
// a request goes to. It is pure: it holds no goroutine and reads no clock.
package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Owner returns the host that dispatches for a replica, by rendezvous hashing:
// the host with the highest hash of host and replica. A host that comes or goes
// moves only the replicas that it owns. It returns false without hosts.
func Owner(hosts []fuchsiapitch.Host, replica fuchsiapitch.ReplicaID) (fuchsiapitch.Host, bool) {
	var best fuchsiapitch.Host
	var bestScore uint64
	for i, h := range hosts {
		score := weigh(h.ID(), string(replica))
		if i == 0 || score > bestScore || (score == bestScore && h.ID() < best.ID()) {
			best, bestScore = h, score
		}
	}
	return best, len(hosts) > 0
}

func weigh(host fuchsiapitch.HostID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(string(host))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
