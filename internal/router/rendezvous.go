// Package router assigns replicas to dispatchers and chooses the dispatcher for each
// request. It is pure: it starts no goroutine and reads no clock.
package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Owner returns the host whose dispatcher owns a replica, by rendezvous hashing: the
// host with the highest hash of host and replica. When a host joins or leaves, only the
// replicas that it owns move. Owner returns false if there are no hosts.
func Owner(hosts []fuchsiapitch.Host, replica fuchsiapitch.ReplicaID) (fuchsiapitch.Host, bool) {
	var best fuchsiapitch.Host
	var bestScore uint64
	for i, h := range hosts {
		score := rendezvousHash(h.ID(), string(replica))
		if i == 0 || score > bestScore || (score == bestScore && h.ID() < best.ID()) {
			best, bestScore = h, score
		}
	}
	return best, len(hosts) > 0
}

func rendezvousHash(host fuchsiapitch.HostID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(string(host))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
