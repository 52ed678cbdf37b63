// Package coordinator implements admission and group management for one host: it decides
// which backend server handles a request and when, and which servers form groups. It is
// a pure reducer: Apply consumes one event at a time and returns its effects as data.
// It reads no clock and starts no goroutine.
package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// minHeartbeatInterval is the shortest time between regular heartbeats.
	minHeartbeatInterval = 100 * time.Millisecond
	// maxEarlyHeartbeatsPerSecond is the bound for early heartbeats, which announce a
	// changed load. This rate costs about 0.5 % of a core.
	maxEarlyHeartbeatsPerSecond = 500
	// earlyHeartbeatTokens is the change in unread prompt tokens that triggers an early
	// heartbeat: one prompt of usual length. An engine pass that reads prompts takes as
	// long as the usual heartbeat interval, so a regular heartbeat may arrive after the
	// pass.
	earlyHeartbeatTokens = 1000
	// peerTimeout is the time without a message after which a peer counts as dead. It
	// covers several heartbeat intervals and a short stall of a slow host.
	peerTimeout = 800 * time.Millisecond
	// deadPeerHeartbeatInterval is the time between heartbeats to a dead peer.
	deadPeerHeartbeatInterval = time.Second
	// configurationRereadInterval is the minimum time between two RereadConfiguration
	// effects.
	configurationRereadInterval = 300 * time.Millisecond
	// suspicionDuration is how long a server stays suspected after a failed request has
	// named it as the cause.
	suspicionDuration = time.Second
)

// Coordinator holds the state and makes the decisions of one host. It is not safe for
// concurrent use.
type Coordinator struct {
	self         Peer
	dataCentre   fuchsiapitch.DataCentreName
	incarnation  int64
	stallTimeout time.Duration

	routes              *fuchsiapitch.RouteTable
	now                 time.Duration
	effects             []Effect
	hasReceivedRequests bool
	stopping            bool
	// violations counts the invariant violations found so far.
	violations int

	peers           map[fuchsiapitch.HostID]*peer
	nextHeartbeatAt time.Duration
	lastHeartbeatAt time.Duration
	// unannouncedTokens is the change in unread prompt tokens since the last heartbeat.
	unannouncedTokens         int
	lastConfigurationRereadAt time.Duration
	suspectedUntil            map[fuchsiapitch.ServerID]time.Duration

	controllerState
	cluster
	admissionState
	retryBudget
	revocationState
	relayState
	directoryState
	sheddingState
	noticeState
	crashState
	storedState
	homeState
	evacuationState
	coldState
}

// peer is the last known state of another host. hasHeartbeat is true once a heartbeat
// from it has been received; lastHeartbeatSentAt is when this host last sent it one.
type peer struct {
	Peer
	hasHeartbeat            bool
	lastHeartbeatReceivedAt time.Duration
	lastHeartbeatSentAt     time.Duration
	lastHeartbeat           Heartbeat
	// hasDigest is true once a digest from the peer has been received.
	hasDigest            bool
	lastDigestReceivedAt time.Duration
	lastDigest           Digest
	// awaitingDigestSince is when this host first sent the peer a message as a relay that
	// it has not answered, 0 for none. It is not used as a relay until silentUntil.
	awaitingDigestSince, silentUntil time.Duration
	// relayTriedAt is when this host last began to try the peer as a relay, 0 for never.
	relayTriedAt time.Duration
	// sentContents is the group table and directory that this host last sent the peer, and
	// contentsSentAt when.
	sentContents   digestContents
	contentsSentAt time.Duration
}

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithStallTimeout sets the time without a group member after which the engine breaks
// the group.
func WithStallTimeout(timeout time.Duration) Option {
	return func(c *Coordinator) { c.stallTimeout = timeout }
}

// WithDataCentre sets the data centre of the host.
func WithDataCentre(name fuchsiapitch.DataCentreName) Option {
	return func(c *Coordinator) { c.dataCentre = name }
}

// defaultStallTimeout applies if the settings contain no stall timeout.
const defaultStallTimeout = 4 * time.Second

// New returns a Coordinator for the host self. The incarnation distinguishes this process
// from earlier ones of the same host.
func New(self Peer, incarnation int64, options ...Option) *Coordinator {
	c := &Coordinator{
		self: self, incarnation: incarnation, stallTimeout: defaultStallTimeout,
		peers:           make(map[fuchsiapitch.HostID]*peer),
		suspectedUntil:  make(map[fuchsiapitch.ServerID]time.Duration),
		controllerState: controllerState{lastClaimAt: -claimRetryInterval},
		cluster:         newCluster(), admissionState: newAdmissionState(), retryBudget: newRetryBudget(), revocationState: newRevocationState(), relayState: newRelayState(), sheddingState: newSheddingState(self, incarnation), noticeState: newNoticeState(), crashState: newCrashState(self),
		homeState: newHomeState(), evacuationState: newEvacuationState(), coldState: newColdState(self),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Violations returns the number of invariant violations found so far.
func (c *Coordinator) Violations() int { return c.violations }

// Apply processes one event and returns the resulting effects. Time is counted from the
// start of the process.
func (c *Coordinator) Apply(now time.Duration, event Event) []Effect {
	c.now, c.effects = now, nil
	if c.replicasStale && usesReplicas(event) {
		c.refreshReplicas(now)
	}
	switch e := event.(type) {
	case RequestArrived:
		c.hasReceivedRequests = true
		c.admit(now, e)
	case ResponseStarted:
		c.markResponseStarted(now, e.Ticket)
	case NoticeReceived:
		c.applyNotice(now, e)
	case ServerVerified:
		c.applyVerification(now, e)
	case QuarantinesRead:
		c.restoreQuarantines(now, e)
	case TicketReleased:
		c.releaseTicket(now, e)
	case ConfigurationChanged:
		c.configure(now, e.Routes)
	case ServersListed:
		c.listOffset = e.Offset
		c.ramps.Confirm(now, c.LiveHostCount(now))
		if e.Offset < c.directoryOffset && !c.servesList(now) {
			// This list is older than the directory, which has to be sent again.
			c.directoryVersion = 0
		}
		c.applyServerList(now, e.Servers)
		c.refreshReplicas(now)
	case ServersHeard:
		c.hearServerList(now, e)
	case StoreReadFailed:
		c.listStale = true
	case ProbeCompleted:
		c.applyProbe(now, e)
	case OrderResultReceived:
		c.applyOrderResult(now, e)
	case HeartbeatReceived:
		c.applyHeartbeat(now, e.Heartbeat)
	case DigestReceived:
		c.applyDigest(now, e.Digest)
	case PeersListed:
		c.peersListed = true
		c.addPeers(e.Peers)
		c.setRampHosts(now)
	case EvacuationsRead:
		c.readEvacuations(now, e)
	case EvacuationsHeard:
		c.hearEvacuations(now, e.News)
	case ClaimRead:
		c.applyClaim(now, e)
	case LimitsChanged:
		c.stallTimeout, c.regions = e.StallTimeout, e.Regions
		c.retryRatio, c.retrySlack, c.retryWindow = e.RetryRatio, e.RetrySlack, e.RetryWindow
		c.coldOver, c.coldSlack = e.ColdOver, e.ColdSlack
	case HostStopping:
		c.stopping = true
	case Ticked:
		c.tick(now, e)
	}
	if c.unannouncedTokens >= earlyHeartbeatTokens {
		c.nextHeartbeatAt = min(c.nextHeartbeatAt, c.lastHeartbeatAt+c.earlyHeartbeatInterval())
		c.sendHeartbeats(now)
	}
	return c.effects
}

// usesReplicas reports whether an event needs the replicas to be current.
func usesReplicas(event Event) bool {
	switch event.(type) {
	case ProbeCompleted, OrderResultReceived, Ticked:
		return false
	}
	return true
}

func (c *Coordinator) emit(e Effect) { c.effects = append(c.effects, e) }

// logFieldServer is the log field that holds a server's identifier.
const logFieldServer = "server"

func (c *Coordinator) log(message string, fields map[string]any) {
	c.emit(WriteLog{Message: message, Fields: fields})
}

func (c *Coordinator) tick(now time.Duration, e Ticked) {
	if e.WasSuspended {
		c.handleSuspension(now)
		c.ramps.Expire()
	}
	c.countLiveHosts(now)
	c.advancePauses(now, e.SuspendedFor)
	c.recordLastByteTimes(e.LastByteTimes)
	if c.usesRelays() {
		c.sumRemoteLoads()
	}
	c.campaign(now)
	if c.isController(now) {
		c.reconcile(now)
	}
	c.refreshReplicas(now)
	c.forgetReservedRetries(now)
	c.advanceRamps(now)
	c.reviewParts(now)
	c.reviewHeldBack(now)
	c.admitPermitted(now)
	c.revokeFromSilent(now)
	c.dispatchQueue(now)
	c.sendHeartbeats(now)
	c.sendDigests(now)
}

// addPeers records the hosts found in the store. The address from a heartbeat takes
// precedence over the one in the store.
func (c *Coordinator) addPeers(list []Peer) {
	for _, p := range list {
		if p.ID == c.self.ID {
			continue
		}
		if known, ok := c.peers[p.ID]; ok {
			if !known.hasHeartbeat && !known.hasDigest && known.Peer != p {
				known.Peer, c.rankedPeers = p, nil
			}
			continue
		}
		c.peers[p.ID], c.rankedPeers = &peer{Peer: p}, nil
	}
}

// learnPeer returns the peer that has sent a message, with what the message says of it.
func (c *Coordinator) learnPeer(sender Peer) *peer {
	p, ok := c.peers[sender.ID]
	if !ok {
		p = &peer{}
		c.peers[sender.ID] = p
	}
	if p.Peer != sender {
		p.Peer, c.rankedPeers = sender, nil
	}
	return p
}

// applyHeartbeat processes a heartbeat from another host.
func (c *Coordinator) applyHeartbeat(now time.Duration, b Heartbeat) {
	if b.From.ID == c.self.ID {
		return
	}
	p := c.learnPeer(b.From)
	if p.hasHeartbeat && b.Incarnation < p.lastHeartbeat.Incarnation {
		return
	}
	p.hasHeartbeat, p.lastHeartbeatReceivedAt, p.lastHeartbeat = true, now, b
	c.noteSuspects(now, b.Suspects)
	c.noteLeavingServers(now, b.LeavingServers)
	c.adoptPartEvidence(now, b.Parts)
	c.adoptGroups(b)
	c.observeClaim(now, b)
	c.hearColdServers(now, b.ColdServers)
	c.hearEvacuations(now, b.Evacuations)
	if !c.usesRelays() {
		c.sumRemoteLoads()
		c.dispatchQueue(now)
	}
	c.rereadIfBehind(now, b.ConfigurationVersion)
}

// noteSuspects records the servers that another host suspects.
func (c *Coordinator) noteSuspects(now time.Duration, suspects []fuchsiapitch.ServerID) {
	for _, s := range suspects {
		c.suspectedUntil[s] = now + suspicionDuration
	}
}

// rereadIfBehind reads the configuration again if another host has a later version.
func (c *Coordinator) rereadIfBehind(now time.Duration, version int64) {
	if version > c.configurationVersion() && now-c.lastConfigurationRereadAt > configurationRereadInterval {
		c.lastConfigurationRereadAt = now
		c.emit(RereadConfiguration{})
	}
}

// configurationVersion returns the version of the configuration, 0 for none.
func (c *Coordinator) configurationVersion() int64 {
	if c.routes == nil {
		return 0
	}
	return c.routes.Version()
}

// earlyHeartbeatInterval returns the minimum interval between two heartbeats if the load
// has changed.
func (c *Coordinator) earlyHeartbeatInterval() time.Duration {
	if c.usesRelays() {
		return earlyMemberInterval
	}
	return time.Duration(len(c.peers)) * time.Second / maxEarlyHeartbeatsPerSecond
}

// isLive reports whether a heartbeat or a digest from the peer has arrived within the peer
// timeout.
func (c *Coordinator) isLive(p *peer, now time.Duration) bool {
	return p.hasHeartbeat && now-p.lastHeartbeatReceivedAt < peerTimeout ||
		p.hasDigest && now-p.lastDigestReceivedAt < peerTimeout
}

// LiveHostCount returns the number of live hosts, including this one.
func (c *Coordinator) LiveHostCount(now time.Duration) int {
	if c.usesRelays() {
		return c.relayedHostCount(now)
	}
	n := 1
	for _, p := range c.peers {
		if c.isLive(p, now) {
			n++
		}
	}
	return n
}

// Turn returns the position of this host in the order of the hosts' identifiers, and their number.
// Only live hosts count, but in a large cluster all known ones, since a host does not hear them all:
// those that are gone keep their turns there.
func (c *Coordinator) Turn(now time.Duration) (rank, hosts int) {
	hosts = 1
	for id, p := range c.peers {
		if !c.usesRelays() && !c.isLive(p, now) {
			continue
		}
		hosts++
		if id < c.self.ID {
			rank++
		}
	}
	return rank, hosts
}

// sendHeartbeats sends a heartbeat to the other hosts if one is due.
func (c *Coordinator) sendHeartbeats(now time.Duration) {
	if now < c.nextHeartbeatAt {
		return
	}
	c.lastHeartbeatAt, c.unannouncedTokens = now, 0
	if c.usesRelays() {
		c.nextHeartbeatAt = now + c.memberInterval()
		c.sendMemberHeartbeat(now)
		return
	}
	c.nextHeartbeatAt = now + minHeartbeatInterval
	var recipients []*peer
	for _, p := range c.peers {
		if !c.isLive(p, now) && now-p.lastHeartbeatSentAt < deadPeerHeartbeatInterval && p.lastHeartbeatSentAt > 0 {
			continue
		}
		p.lastHeartbeatSentAt = now
		recipients = append(recipients, p)
	}
	if len(recipients) > 0 {
		c.emitHeartbeat(c.newHeartbeat(now), recipients)
	}
}

// newHeartbeat returns the next heartbeat of this host, without the group table.
func (c *Coordinator) newHeartbeat(now time.Duration) Heartbeat {
	c.sequence++
	b := Heartbeat{
		From: c.self, Incarnation: c.incarnation, Sequence: c.sequence, Claim: c.activeClaim(now), KnownClaim: c.knownClaim,
		ConfigurationVersion: c.configurationVersion(), Eligible: c.isEligible(now), HasReceivedRequests: c.anyHostHasReceivedRequests(now), Stopping: c.stopping, ServerLoads: c.serverLoads(now), Queues: c.queueLengths(now), Customers: c.reportedCustomers(now),
	}
	if c.stopping && c.ownClaim != 0 && c.ownClaim == c.knownClaim && c.claimHolder == c.self.ID {
		if c.chosenSuccessor == "" {
			c.chosenSuccessor = c.successor(now)
		}
		b.Successor, b.HandedOverClaim, b.FormationCount = c.chosenSuccessor, c.ownClaim, c.formationCount
	}
	for s, until := range c.suspectedUntil {
		if now < until && c.suspectedLocally[s] {
			b.Suspects = append(b.Suspects, s)
		}
		if now >= until {
			delete(c.suspectedUntil, s)
			delete(c.suspectedLocally, s)
		}
	}
	b.LeavingServers = c.announcedLeavings(now)
	b.Evacuations, b.ColdServers = c.evacuations.News(), c.announcedColdServers(now)
	b.Parts = c.parts.Message(now, c.usesRelays(), c.sequence)
	if b.Claim > 0 && c.isSurveyed() {
		c.publishGroups()
	}
	b.GroupsVersion, b.DirectoryVersion = c.announcedVersion, c.directoryVersion
	return b
}

// anyHostHasReceivedRequests reports whether this host or a live peer has ever received
// a request.
func (c *Coordinator) anyHostHasReceivedRequests(now time.Duration) bool {
	if c.hasReceivedRequests {
		return true
	}
	for _, p := range c.peers {
		if c.isLive(p, now) && p.lastHeartbeat.HasReceivedRequests {
			c.hasReceivedRequests = true
		}
	}
	return c.hasReceivedRequests
}
