package reducer

import (
	"fmt"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// compareConfiguration stores the configuration digest of a peer's heartbeat
// and compares it with the recent local digests. Two hosts at the same offset
// must have the same hash.
func (s *State) compareConfiguration(heartbeat gossiper.Heartbeat) {
	p := peerConfiguration{
		host:       heartbeat.Sender,
		receivedAt: s.now.Monotonic(),
		digest:     configurationDigest{offset: heartbeat.ConfigurationOffset, hash: heartbeat.ConfigurationHash},
	}
	if p.host.ID() == s.self || p.digest.offset == 0 {
		return
	}
	s.replication.peers[p.host.ID()] = p
	for _, local := range s.replication.digests {
		s.compareDigests(local, p)
	}
}

// recordDigest adds a local digest to the recent ones and compares it with the
// digests of the peers.
func (s *State) recordDigest(local configurationDigest) {
	r := &s.replication
	r.digests = append(r.digests, local)
	if excess := len(r.digests) - maxDigests; excess > 0 {
		r.digests = slices.Delete(r.digests, 0, excess)
	}
	for _, id := range sortedKeys(r.peers) {
		s.compareDigests(local, r.peers[id])
	}
}

// compareDigests reports a violation if two digests of the same offset have
// different hashes.
func (s *State) compareDigests(local configurationDigest, peer peerConfiguration) {
	if local.offset == peer.digest.offset && local.hash != peer.digest.hash {
		s.reportViolation("configuration-agreement", fmt.Sprintf("configurations differ at offset %d: this host has hash %x, host %s has hash %x",
			local.offset, local.hash, peer.host.ID(), peer.digest.hash))
	}
}

// checkConfiguration asserts that the offset of the configuration never
// decreases.
func (s *State) checkConfiguration() {
	r := &s.replication
	if s.configuration.Offset() < r.highestOffset {
		s.reportViolation("configuration-revert", fmt.Sprintf("the configuration in force is at offset %d, after offset %d was in force", s.configuration.Offset(), r.highestOffset))
	}
	r.highestOffset = max(r.highestOffset, s.configuration.Offset())
}
