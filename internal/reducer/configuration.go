package reducer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
)

// MaxReadBatch is the largest number of records in one read of a stream. A
// batch with fewer records reaches the end of the stream at the time of the
// read.
const MaxReadBatch = 256

const (
	// fetchInterval is the shortest time from the response to a fetch to the next
	// fetch.
	fetchInterval = 500 * time.Millisecond
	// fetchTimeout is the time after which a fetch without a response is repeated.
	fetchTimeout = 3 * time.Second
	// lagTolerance is the time for which a peer may be ahead before this host
	// fetches the peer's configuration, if reads of the log have not failed.
	lagTolerance = time.Second
	// peerExpiry is the time after which the last digest of a peer is dropped.
	peerExpiry = 30 * time.Second
	// maxDigests is the number of recent local digests that are kept.
	maxDigests = 128
)

// configurationReplication holds the progress of replicating the configuration
// from the log and from peers.
type configurationReplication struct {
	follower *configurer.Follower
	// streamFollowed is true once this host has started to follow the stream.
	streamFollowed bool
	// overridden is true once FleetOverridden has set the configuration.
	overridden bool
	// ready is true once this host has a configuration to serve with.
	ready bool
	// logUnavailable is true if the last read of the stream failed.
	logUnavailable bool
	// highestOffset is the highest offset of a configuration that was in force.
	highestOffset fuchsiapitch.Offset
	peers         map[fuchsiapitch.HostID]peerConfiguration
	// lastCaughtUpAt is the monotonic time of the last tick at which no peer was
	// known to be ahead.
	lastCaughtUpAt time.Duration
	nextFetchAt    time.Duration
	fetchCount     uint64
	// digests are the digests of the latest offsets, oldest first.
	digests    []configurationDigest
	checkpoint checkpointPlan
}

// configurationDigest is the hash of the configuration at an offset.
type configurationDigest struct {
	offset fuchsiapitch.Offset
	hash   uint64
}

// peerConfiguration is the configuration digest in a peer's last heartbeat.
type peerConfiguration struct {
	host       fuchsiapitch.Host
	digest     configurationDigest
	receivedAt time.Duration
}

func newConfigurationReplication() configurationReplication {
	return configurationReplication{
		follower: configurer.NewFollower(encoder.DecodeConfigurationRecord),
		peers:    make(map[fuchsiapitch.HostID]peerConfiguration),
	}
}

// ConfigurationReady reports whether this host has a configuration to serve
// with: it has read the log up to its end or restored a peer's configuration.
func (s *State) ConfigurationReady() bool { return s.replication.ready }

// ConfigurationSince returns the changes to the configuration after an offset,
// for another entry host. A host that is not ready returns an empty snapshot,
// since its configuration may be outdated.
func (s *State) ConfigurationSince(since fuchsiapitch.Offset) configurer.Snapshot {
	if !s.replication.ready {
		return configurer.Snapshot{}
	}
	return s.replication.follower.StateMachine().SnapshotSince(since)
}

// overrideConfiguration sets a configuration that comes neither from the log
// nor from a peer. From then on, both are ignored.
func (s *State) overrideConfiguration(configuration fuchsiapitch.Configuration) {
	s.replication.overridden, s.replication.ready = true, true
	s.replication.highestOffset = configuration.Offset()
	s.setConfiguration(configuration)
}

// applyConfigurationLogEvent applies a log event of the configuration stream.
func (s *State) applyConfigurationLogEvent(event Event) {
	r := &s.replication
	if r.overridden {
		return
	}
	switch e := event.(type) {
	case RecordsRead:
		s.applyConfigurationRecords(e)
	case StreamTruncated:
		r.logUnavailable = false
		r.follower.ApplyTruncation(e.Oldest)
		s.followConfigurationStream()
	case ReadFailed:
		r.logUnavailable = true
	}
	s.activateConfiguration()
}

// applyConfigurationRecords applies the records that were read. If the follower
// needs other records next, it follows the stream from the offset of those.
func (s *State) applyConfigurationRecords(e RecordsRead) {
	r := &s.replication
	r.logUnavailable = false
	if r.follower.ApplyBatch(e.From, e.Batch) {
		s.followConfigurationStream()
		return
	}
	atEnd := !r.follower.HasGap() && len(e.Batch.Records()) < MaxReadBatch
	r.ready = r.ready || atEnd
}

// followConfigurationStream follows the stream from the next offset of the
// follower.
func (s *State) followConfigurationStream() {
	s.emit(FollowStream{Stream: ConfigurationStream, From: s.replication.follower.NextOffset()})
}

// activateConfiguration puts the follower's configuration in force.
func (s *State) activateConfiguration() {
	r := &s.replication
	for _, f := range r.follower.TakeErrors() {
		s.reportViolation("configuration-checkpoint", f.Error())
	}
	stateMachine := r.follower.StateMachine()
	if stateMachine.Offset() == s.configuration.Offset() {
		return
	}
	s.setConfiguration(stateMachine.Configuration())
	s.recordDigest(configurationDigest{offset: stateMachine.Offset(), hash: stateMachine.Hash()})
}

// tickConfiguration starts to follow the stream, fetches a peer's configuration
// when the log does not deliver it, and appends checkpoints.
func (s *State) tickConfiguration() {
	r := &s.replication
	if r.overridden {
		return
	}
	if !r.streamFollowed {
		r.streamFollowed = true
		s.followConfigurationStream()
	}
	s.fetchPeerConfiguration()
	s.tickCheckpoint()
}

// fetchPeerConfiguration fetches the configuration of the peer that is furthest
// ahead: at once if the log is unavailable or has truncated records that this
// host needs, and after lagTolerance if the log is slow or does not respond.
// While the log is unusable and no peer is known to be ahead, it fetches from a
// live host that it chooses anew for each fetch, since heartbeats alone would
// spread a change too slowly.
func (s *State) fetchPeerConfiguration() {
	r := &s.replication
	now := s.now.Monotonic()
	maps.DeleteFunc(r.peers, func(_ fuchsiapitch.HostID, p peerConfiguration) bool { return now-p.receivedAt > peerExpiry })
	peer, ahead := s.mostAdvancedPeer()
	if !ahead {
		r.lastCaughtUpAt = now
	}
	if now < r.nextFetchAt {
		return
	}
	logUnusable := r.logUnavailable || r.follower.HasGap()
	switch {
	case ahead && (logUnusable || now-r.lastCaughtUpAt >= lagTolerance):
		s.requestConfiguration(peer.host)
	case !ahead && logUnusable:
		s.requestConfigurationFromAny()
	}
}

func (s *State) requestConfiguration(host fuchsiapitch.Host) {
	r := &s.replication
	r.nextFetchAt = s.now.Monotonic() + fetchTimeout
	r.fetchCount++
	s.emit(FetchConfiguration{Host: host, Since: r.follower.StateMachine().Offset()})
}

// requestConfigurationFromAny fetches from a live host. The choice is a hash of
// this host's name and the number of fetches, so that it varies.
func (s *State) requestConfigurationFromAny() {
	live := slices.DeleteFunc(s.members.LiveHosts(), func(h fuchsiapitch.Host) bool { return h.ID() == s.self })
	if len(live) == 0 {
		return
	}
	choice := xxhash.Sum64String(fmt.Sprint(s.self, "/", s.replication.fetchCount))
	s.requestConfiguration(live[choice%uint64(len(live))])
}

// mostAdvancedPeer returns the peer with the highest offset above this host's
// own. Among equal peers each host prefers a different one, to spread the load of
// the fetches.
func (s *State) mostAdvancedPeer() (peerConfiguration, bool) {
	var best peerConfiguration
	for _, id := range sortedKeys(s.replication.peers) {
		p := s.replication.peers[id]
		if p.digest.offset <= s.replication.follower.StateMachine().Offset() || p.digest.offset < best.digest.offset {
			continue
		}
		if p.digest.offset > best.digest.offset || s.peerPreference(id) > s.peerPreference(best.host.ID()) {
			best = p
		}
	}
	return best, best.digest.offset > 0
}

// peerPreference returns a pseudo-random number by which this host ranks a
// peer. It differs between hosts.
func (s *State) peerPreference(id fuchsiapitch.HostID) uint64 {
	return xxhash.Sum64String(string(s.self) + "\x00" + string(id))
}

// restoreConfiguration restores a fetched configuration if it is ahead of the
// local one. It then starts to follow the stream again, since the pending read
// of a log that does not respond may hang.
func (s *State) restoreConfiguration(e ConfigurationFetched) {
	r := &s.replication
	if r.overridden {
		return
	}
	r.nextFetchAt = s.now.Monotonic() + fetchInterval
	if e.Snapshot.Offset == 0 {
		delete(r.peers, e.Host)
		return
	}
	restored, err := r.follower.Restore(e.Snapshot)
	if err != nil {
		s.reportViolation("configuration-transfer", fmt.Sprintf("restoring the configuration fetched from host %s: %v", e.Host, err))
		delete(r.peers, e.Host)
		return
	}
	if !restored {
		return
	}
	r.ready = true
	s.followConfigurationStream()
	s.activateConfiguration()
}
