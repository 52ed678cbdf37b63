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

// BatchLimit is the largest number of records in one read of a stream. A
// shorter batch ends where the stream ended at the time of the read.
const BatchLimit = 256

const (
	// fetchPeriod is the least time between two questions for a peer's state.
	fetchPeriod = 500 * time.Millisecond
	// fetchTimeout is the time after which an unanswered question is repeated.
	fetchTimeout = 3 * time.Second
	// lagTolerance is the time for which a peer may be ahead before its state
	// is asked for, although reads of the log have not failed.
	lagTolerance = time.Second
	// peerExpiry is the time after which the last word of a peer is forgotten.
	peerExpiry = 30 * time.Second
	// historyLimit is the number of recent offsets whose hashes are remembered.
	historyLimit = 128
)

// configurationState is the part of the state that follows the configuration.
type configurationState struct {
	follower   *configurer.Follower
	started    bool
	described  bool
	ready      bool
	logAway    bool
	highest    fuchsiapitch.Offset
	peers      map[fuchsiapitch.HostID]peerConfiguration
	caughtUp   time.Duration
	fetchDue   time.Duration
	fetches    uint64
	history    []configurationPoint
	checkpoint checkpointPlan
}

// configurationPoint is the hash of the configuration at an offset.
type configurationPoint struct {
	offset fuchsiapitch.Offset
	hash   uint64
}

// peerConfiguration is what a peer's last heartbeat says of its configuration.
type peerConfiguration struct {
	host  fuchsiapitch.Host
	point configurationPoint
	heard time.Duration
}

func newConfigurationState() configurationState {
	return configurationState{
		follower: configurer.NewFollower(encoder.DecodeConfiguration),
		peers:    make(map[fuchsiapitch.HostID]peerConfiguration),
	}
}

// ConfigurationReady reports whether this host has a configuration to serve
// by: all that the log held when it was read, or the state of a peer.
func (s *State) ConfigurationReady() bool { return s.following.ready }

// ConfigurationSince returns what has changed in the configuration after an
// offset, for another entry host. A host that is not ready gives nothing, since
// its state may be that of long ago.
func (s *State) ConfigurationSince(since fuchsiapitch.Offset) configurer.Snapshot {
	if !s.following.ready {
		return configurer.Snapshot{}
	}
	return s.following.follower.Fold().SnapshotSince(since)
}

// describeConfiguration sets the configuration directly. From then on the log
// is not followed.
func (s *State) describeConfiguration(configuration fuchsiapitch.Configuration) {
	s.following.described, s.following.ready = true, true
	s.following.highest = configuration.Offset()
	s.setConfiguration(configuration)
}

// applyConfigurationLog folds the configuration stream.
func (s *State) applyConfigurationLog(event Event) {
	c := &s.following
	if c.described {
		return
	}
	switch e := event.(type) {
	case RecordsRead:
		s.readConfiguration(e)
	case ReadTruncated:
		c.logAway = false
		c.follower.Truncate(e.Oldest)
		s.followConfiguration()
	case ReadFailed:
		c.logAway = true
	}
	s.adoptConfiguration()
}

func (s *State) readConfiguration(e RecordsRead) {
	c := &s.following
	c.logAway = false
	if c.follower.Read(e.From, e.Batch) {
		s.followConfiguration()
		return
	}
	caughtUp := !c.follower.Scanning() && len(e.Batch.Records()) < BatchLimit
	c.ready = c.ready || caughtUp
}

// followConfiguration has the stream read from where the follower stands.
func (s *State) followConfiguration() {
	s.emit(FollowStream{Stream: ConfigurationStream, From: s.following.follower.Next()})
}

// adoptConfiguration puts the folded configuration in force.
func (s *State) adoptConfiguration() {
	c := &s.following
	for _, f := range c.follower.TakeFaults() {
		s.violate("configuration-checkpoint", f.Error())
	}
	fold := c.follower.Fold()
	if fold.Offset() == s.configuration.Offset() {
		return
	}
	s.setConfiguration(fold.Configuration())
	s.remember(configurationPoint{offset: fold.Offset(), hash: fold.Hash()})
}

// tickConfiguration starts to follow the stream, asks a peer for its state
// where the log does not give it, and appends checkpoints.
func (s *State) tickConfiguration() {
	c := &s.following
	if c.described {
		return
	}
	if !c.started {
		c.started = true
		s.followConfiguration()
	}
	s.fetchState()
	s.planCheckpoint()
}

// fetchState asks the peer that is furthest ahead for its state: at once when the
// log is away or has dropped records that this host needs, and after some time
// when the log is slow or silent. While the log is away and no peer is known to
// be ahead, it asks one live host after another, since news would spread too
// slowly by heartbeats alone.
func (s *State) fetchState() {
	c := &s.following
	now := s.now.Monotonic()
	maps.DeleteFunc(c.peers, func(_ fuchsiapitch.HostID, p peerConfiguration) bool { return now-p.heard > peerExpiry })
	peer, ahead := s.furthestPeer()
	if !ahead {
		c.caughtUp = now
	}
	if now < c.fetchDue {
		return
	}
	cut := c.logAway || c.follower.Scanning()
	switch {
	case ahead && (cut || now-c.caughtUp >= lagTolerance):
		s.askForState(peer.host)
	case !ahead && cut:
		s.askAnyone()
	}
}

func (s *State) askForState(host fuchsiapitch.Host) {
	c := &s.following
	c.fetchDue = s.now.Monotonic() + fetchTimeout
	c.fetches++
	s.emit(FetchState{Host: host, Since: c.follower.Fold().Offset()})
}

// askAnyone asks a live host for its state, a different one each time.
func (s *State) askAnyone() {
	live := slices.DeleteFunc(s.members.Live(), func(h fuchsiapitch.Host) bool { return h.ID() == s.self })
	if len(live) == 0 {
		return
	}
	turn := xxhash.Sum64String(fmt.Sprint(s.self, "/", s.following.fetches))
	s.askForState(live[turn%uint64(len(live))])
}

// furthestPeer returns the peer with the highest offset above this host's own.
// Among equal ones each host prefers another, to spread the questions.
func (s *State) furthestPeer() (peerConfiguration, bool) {
	var best peerConfiguration
	for _, id := range sortedKeys(s.following.peers) {
		p := s.following.peers[id]
		if p.point.offset <= s.following.follower.Fold().Offset() || p.point.offset < best.point.offset {
			continue
		}
		if p.point.offset > best.point.offset || s.preference(id) > s.preference(best.host.ID()) {
			best = p
		}
	}
	return best, best.point.offset > 0
}

func (s *State) preference(id fuchsiapitch.HostID) uint64 {
	return xxhash.Sum64String(string(s.self) + "\x00" + string(id))
}

// takeState takes a peer's state, if it is ahead. The stream is followed anew,
// since the read of a silent log may hang.
func (s *State) takeState(e StateFetched) {
	c := &s.following
	if c.described {
		return
	}
	c.fetchDue = s.now.Monotonic() + fetchPeriod
	if e.Snapshot.Offset == 0 {
		delete(c.peers, e.Host)
		return
	}
	restored, err := c.follower.Restore(e.Snapshot)
	if err != nil {
		s.violate("configuration-transfer", fmt.Sprintf("state of host %s: %v", e.Host, err))
		delete(c.peers, e.Host)
		return
	}
	if !restored {
		return
	}
	c.ready = true
	s.followConfiguration()
	s.adoptConfiguration()
}
