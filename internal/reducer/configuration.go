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

// ReadBatchLimit is the largest number of records in one read of a stream. A
// shorter batch ends where the stream ended at the time of the read.
const ReadBatchLimit = 256

const (
	// fetchInterval is the shortest time between an answer to a fetch and the
	// next fetch.
	fetchInterval = 500 * time.Millisecond
	// fetchTimeout is the time after which an unanswered fetch is repeated.
	fetchTimeout = 3 * time.Second
	// lagTolerance is the time for which a peer may be ahead before this host
	// fetches its configuration although reads of the log have not failed.
	lagTolerance = time.Second
	// peerExpiry is the time after which the last digest of a peer is dropped.
	peerExpiry = 30 * time.Second
	// digestLimit is the number of recent local digests that are kept.
	digestLimit = 128
)

// configurationReplication is the state of the replication of the configuration
// from the log and from peers.
type configurationReplication struct {
	follower       *configurer.Follower
	streamFollowed bool
	// overridden states that FleetOverridden has set the configuration.
	overridden bool
	// ready states that this host has a configuration to serve with.
	ready bool
	// logUnavailable states that the last read of the stream failed.
	logUnavailable bool
	// highestOffset is the highest offset that was in force.
	highestOffset fuchsiapitch.Offset
	peers         map[fuchsiapitch.HostID]peerConfiguration
	// caughtUpAt is the last monotonic time at which no peer was ahead.
	caughtUpAt  time.Duration
	nextFetchAt time.Duration
	fetchCount  uint64
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

// overrideConfiguration sets the configuration from outside. From then on the
// log and the peers are ignored.
func (s *State) overrideConfiguration(configuration fuchsiapitch.Configuration) {
	s.replication.overridden, s.replication.ready = true, true
	s.replication.highestOffset = configuration.Offset()
	s.setConfiguration(configuration)
}

// applyConfigurationLog applies a log event of the configuration stream.
func (s *State) applyConfigurationLog(event Event) {
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

// applyConfigurationRecords folds the records that were read. If the follower
// needs other records next, the stream is followed from another offset.
func (s *State) applyConfigurationRecords(e RecordsRead) {
	r := &s.replication
	r.logUnavailable = false
	if r.follower.ApplyBatch(e.From, e.Batch) {
		s.followConfigurationStream()
		return
	}
	atEnd := !r.follower.HasGap() && len(e.Batch.Records()) < ReadBatchLimit
	r.ready = r.ready || atEnd
}

// followConfigurationStream follows the stream from the next offset of the
// follower.
func (s *State) followConfigurationStream() {
	s.emit(FollowStream{Stream: ConfigurationStream, From: s.replication.follower.NextOffset()})
}

// activateConfiguration puts the folded configuration in force.
func (s *State) activateConfiguration() {
	r := &s.replication
	for _, f := range r.follower.TakeErrors() {
		s.reportViolation("configuration-checkpoint", f.Error())
	}
	fold := r.follower.StateMachine()
	if fold.Offset() == s.configuration.Offset() {
		return
	}
	s.setConfiguration(fold.Configuration())
	s.recordDigest(configurationDigest{offset: fold.Offset(), hash: fold.Hash()})
}

// tickConfiguration starts to follow the stream, fetches a peer's configuration
// when the log does not supply it, and appends checkpoints.
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
// ahead: at once when the log is unavailable or has dropped records that this
// host needs, and after lagTolerance when the log is slow or does not answer.
// While the log cannot be used and no peer is known to be ahead, it fetches from
// any live host, chosen anew each time, since heartbeats alone would spread a
// change too slowly.
func (s *State) fetchPeerConfiguration() {
	r := &s.replication
	now := s.now.Monotonic()
	maps.DeleteFunc(r.peers, func(_ fuchsiapitch.HostID, p peerConfiguration) bool { return now-p.receivedAt > peerExpiry })
	peer, ahead := s.mostAdvancedPeer()
	if !ahead {
		r.caughtUpAt = now
	}
	if now < r.nextFetchAt {
		return
	}
	logUnusable := r.logUnavailable || r.follower.HasGap()
	switch {
	case ahead && (logUnusable || now-r.caughtUpAt >= lagTolerance):
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

// requestConfigurationFromAny fetches from a live host that is chosen by a hash
// of this host's name and the number of fetches, so that the choice varies.
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

// peerPreference returns a pseudo-random rank of a peer that differs from host to
// host.
func (s *State) peerPreference(id fuchsiapitch.HostID) uint64 {
	return xxhash.Sum64String(string(s.self) + "\x00" + string(id))
}

// restoreConfiguration restores a fetched configuration if it is ahead of the
// local one. The stream is then followed anew, since a read of a log that does
// not answer may hang.
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
		s.reportViolation("configuration-transfer", fmt.Sprintf("state of host %s: %v", e.Host, err))
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
