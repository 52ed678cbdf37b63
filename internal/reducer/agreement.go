package reducer

import (
	"fmt"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// compareConfiguration takes in what a peer says of its configuration. Two
// hosts at the same offset must have the same hash.
func (s *State) compareConfiguration(heartbeat gossiper.Heartbeat) {
	p := peerConfiguration{
		host:  heartbeat.From,
		heard: s.now.Monotonic(),
		point: configurationPoint{offset: heartbeat.Configuration, hash: heartbeat.ConfigurationHash},
	}
	if p.host.ID() == s.self || p.point.offset == 0 {
		return
	}
	s.following.peers[p.host.ID()] = p
	for _, own := range s.following.history {
		s.compare(own, p)
	}
}

// remember keeps the hash at an offset and compares it with the peers.
func (s *State) remember(own configurationPoint) {
	c := &s.following
	c.history = append(c.history, own)
	if excess := len(c.history) - historyLimit; excess > 0 {
		c.history = slices.Delete(c.history, 0, excess)
	}
	for _, id := range sortedKeys(c.peers) {
		s.compare(own, c.peers[id])
	}
}

func (s *State) compare(own configurationPoint, peer peerConfiguration) {
	if own.offset == peer.point.offset && own.hash != peer.point.hash {
		s.violate("configuration-agreement", fmt.Sprintf("at offset %d this host has hash %x and host %s has %x",
			own.offset, own.hash, peer.host.ID(), peer.point.hash))
	}
}

// checkConfiguration asserts that the configuration never reverts.
func (s *State) checkConfiguration() {
	c := &s.following
	if s.configuration.Offset() < c.highest {
		s.violate("configuration-revert", fmt.Sprintf("offset %d follows offset %d", s.configuration.Offset(), c.highest))
	}
	c.highest = max(c.highest, s.configuration.Offset())
}
