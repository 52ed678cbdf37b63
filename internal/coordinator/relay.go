package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/admitter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/apportioner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/ramper"
)

// In a small cluster every host sends its heartbeat to every other host. In a large one
// it sends it to the relays of its data centre. A relay sums what its members report, and
// sends the sum of its data centre to the relays of the other data centres, and the sum
// of all hosts to its members. The messages of a host do not grow with the number of
// hosts, and those of a relay grow with the hosts of its data centre.
//
// Relays are not elected: each host chooses the strongest hosts of its data centre that
// answer, and a host that gets heartbeats of members is their relay. Two relays serve each
// host, so that the loss of one is not noticed.

const (
	// maxDirectPeers is the largest number of peers to which a host sends its heartbeats
	// directly.
	maxDirectPeers = 16
	// relaysPerDataCentre is the number of relays to which a host sends its heartbeats.
	relaysPerDataCentre = 2
	// maxRelayTargets bounds the hosts of a data centre that are addressed as relays
	// while they do not answer.
	maxRelayTargets = 4
	// memberIntervalPerHost is what each host of a data centre adds to the interval at
	// which its hosts send heartbeats and its relays send digests. It bounds the
	// messages that a relay receives and sends.
	memberIntervalPerHost = 2 * time.Millisecond
	// maxMemberInterval bounds that interval.
	maxMemberInterval = 200 * time.Millisecond
	// earlyMemberInterval is the minimum interval between heartbeats to relays that
	// announce a changed load.
	earlyMemberInterval = 50 * time.Millisecond
	// relayTimeout is the time without an answer after which another host is used as a
	// relay, and without a message after which a relay no longer counts a member or
	// another data centre.
	relayTimeout = time.Second
	// relayBackOff is how long a host that did not answer is not used as a relay.
	relayBackOff = 3 * time.Second
	// fewHostsDelay is how long a host must have counted no more than maxDirectPeers others
	// before it sends heartbeats to them directly, although more are known: most of those are
	// gone, or it finds no relay.
	fewHostsDelay = 3 * time.Second
	// digestLifetime is how long the sums of the last digest are used.
	digestLifetime = 2 * time.Second
	// relayedHolderTimeout is the time without news of the controller after which it
	// counts as dead, if the news passes two relays.
	relayedHolderTimeout = 1600 * time.Millisecond
	// relayedSilenceMargin is added to groupSilenceTimeout, because a silence that
	// relays report is older than one in a direct heartbeat.
	relayedSilenceMargin = 350 * time.Millisecond
	// groupsLifetime is the time without news of a controller for which its group table
	// is used in a cluster with relays.
	groupsLifetime = 8 * time.Second
	// contentsRepeatInterval is the time after which a group table or directory is sent to
	// the same host again. It covers the next heartbeat of that host.
	contentsRepeatInterval = 400 * time.Millisecond
	// hopLatency is added to the age of news at each relay, so that it grows on the way.
	hopLatency = 5 * time.Millisecond
	// keptSnapshots is the number of own heartbeats whose loads are kept, to subtract
	// them from a digest that contains them.
	keptSnapshots = 32
)

// relayState is what a host knows as a member or a relay.
type relayState struct {
	// sequence is the number of the last heartbeat.
	sequence uint64
	// snapshots holds the loads and queues of the last heartbeats by their sequence,
	// modulo keptSnapshots.
	snapshots    [keptSnapshots]Heartbeat
	nextDigestAt time.Duration
	// rankedPeers are the peers by data centre, the strongest first. They are ranked
	// again after the peers have changed.
	rankedPeers map[fuchsiapitch.DataCentreName][]*peer
	// announcedGroups is the newest known group table.
	announcedGroups  []GroupStatus
	announcedVersion GroupsVersion
	// remoteQueues is the number of requests that are queued at other hosts, and
	// remoteArrivals those that have arrived there recently.
	remoteQueues   map[queueKey]int
	remoteArrivals map[queueKey]admitter.Arrivals
	// fewHosts is true if no more than maxDirectPeers of the known hosts live, which the host
	// counts since fewHostsSince, 0 for not.
	fewHosts      bool
	fewHostsSince time.Duration
}

func newRelayState() relayState {
	return relayState{remoteQueues: make(map[queueKey]int), remoteArrivals: make(map[queueKey]admitter.Arrivals)}
}

// usesRelays reports whether the cluster is so large that heartbeats go through relays.
func (c *Coordinator) usesRelays() bool { return len(c.peers) > maxDirectPeers && !c.fewHosts }

// countLiveHosts decides whether so few of the known hosts live that no relays are needed. Hosts
// that are gone stay in the store.
func (c *Coordinator) countLiveHosts(now time.Duration) {
	switch {
	case c.LiveHostCount(now)-1 > maxDirectPeers:
		c.fewHosts, c.fewHostsSince = false, 0
	case c.fewHostsSince == 0:
		c.fewHostsSince = now
	case now-c.fewHostsSince >= fewHostsDelay:
		c.fewHosts = true
	}
}

// memberInterval returns the interval of heartbeats to relays and of digests.
func (c *Coordinator) memberInterval() time.Duration {
	n := time.Duration(len(c.ranked(c.dataCentre)) + 1)
	return min(max(minHeartbeatInterval, n*memberIntervalPerHost), maxMemberInterval)
}

// outranks reports whether a host is preferred to another one as controller and relay.
func outranks(a, b Peer) bool { return comparePeers(a, b) < 0 }

func comparePeers(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

// ranked returns the peers in a data centre, the strongest first.
func (c *Coordinator) ranked(name fuchsiapitch.DataCentreName) []*peer {
	if c.rankedPeers == nil {
		c.rankedPeers = make(map[fuchsiapitch.DataCentreName][]*peer)
		for _, p := range c.peers {
			c.rankedPeers[p.DataCentre] = append(c.rankedPeers[p.DataCentre], p)
		}
		for _, list := range c.rankedPeers {
			slices.SortFunc(list, func(a, b *peer) int { return comparePeers(a.Peer, b.Peer) })
		}
	}
	return c.rankedPeers[name]
}

// relayTargets returns the hosts that this host uses as relays of a data centre, and
// whether it counts as one of them itself: the strongest that answer, and a few that may answer
// and would be preferred.
func (c *Coordinator) relayTargets(now time.Duration, name fuchsiapitch.DataCentreName) (targets []*peer, includesSelf bool) {
	var probes []*peer
	answering := 0
	for _, p := range c.ranked(name) {
		if answering < relaysPerDataCentre && name == c.dataCentre && !includesSelf && answering+len(probes) < maxRelayTargets && outranks(c.self, p.Peer) {
			includesSelf = true
			answering++
		}
		if answering >= relaysPerDataCentre {
			break
		}
		if p.awaitingDigestSince > 0 && now-p.awaitingDigestSince > relayTimeout {
			p.silentUntil, p.awaitingDigestSince = now+relayBackOff, 0
		}
		switch {
		case now < p.silentUntil || p.hasAnnouncedStop(now):
		case p.hasDigest && now-p.lastDigestReceivedAt < relayTimeout:
			targets = append(targets, p)
			answering++
		default:
			probes = append(probes, p)
		}
	}
	targets = append(targets, chooseProbes(probes)...)
	if len(targets) >= maxRelayTargets {
		return targets, includesSelf
	}
	return targets, includesSelf || name == c.dataCentre && answering < relaysPerDataCentre
}

// chooseProbes chooses the hosts to try as relays among those that do not answer, the strongest first: those
// that are being tried, and in turns the strongest and the one whose last trial is longest ago.
// So relays are found again soon after a cut, and also behind many stronger hosts that are gone.
func chooseProbes(ranked []*peer) []*peer {
	if len(ranked) <= maxRelayTargets {
		return ranked
	}
	var chosen, others []*peer
	for _, p := range ranked {
		if p.awaitingDigestSince > 0 {
			chosen = append(chosen, p)
		} else {
			others = append(others, p)
		}
	}
	for len(chosen) < maxRelayTargets {
		next := 0
		if len(chosen)%2 == 1 {
			for n, p := range others {
				if p.relayTriedAt < others[next].relayTriedAt {
					next = n
				}
			}
		}
		chosen = append(chosen, others[next])
		others = slices.Delete(others, next, next+1)
	}
	return chosen
}

// expectDigest notes that a message was sent to a peer as a relay, which has to answer with
// a digest.
func (p *peer) expectDigest(now time.Duration) {
	if p.awaitingDigestSince == 0 && (!p.hasDigest || now-p.lastDigestReceivedAt >= relayTimeout/2) {
		p.awaitingDigestSince, p.relayTriedAt = now, now
	}
}

// hasAnnouncedStop reports whether a peer has announced in a recent digest that it stops.
func (p *peer) hasAnnouncedStop(now time.Duration) bool {
	return p.hasDigest && p.lastDigest.Sender.Stopping && now-p.lastDigestReceivedAt < relayBackOff
}

// members returns the hosts of this data centre that use this host as their relay.
func (c *Coordinator) members(now time.Duration) []*peer {
	var members []*peer
	for _, p := range c.ranked(c.dataCentre) {
		if p.hasHeartbeat && now-p.lastHeartbeatReceivedAt < relayTimeout {
			members = append(members, p)
		}
	}
	return members
}

// dataCentreDigests returns, for each other data centre, the recent digest that covers
// the most of its hosts.
func (c *Coordinator) dataCentreDigests(now time.Duration) map[fuchsiapitch.DataCentreName]*peer {
	best := make(map[fuchsiapitch.DataCentreName]*peer)
	for _, p := range c.peers {
		if p.DataCentre == c.dataCentre || !p.hasDigest || !p.lastDigest.IsDataCentreOnly || now-p.lastDigestReceivedAt >= relayTimeout {
			continue
		}
		b, ok := best[p.DataCentre]
		if !ok || cmp.Or(cmp.Compare(p.lastDigest.HostCount, b.lastDigest.HostCount), comparePeers(b.Peer, p.Peer)) > 0 {
			best[p.DataCentre] = p
		}
	}
	return best
}

// clusterDigest returns the relay of this data centre whose recent digest covers the
// most hosts, nil for none.
func (c *Coordinator) clusterDigest(now time.Duration) *peer {
	var best *peer
	for _, p := range c.ranked(c.dataCentre) {
		if !p.hasDigest || p.lastDigest.IsDataCentreOnly || now-p.lastDigestReceivedAt >= digestLifetime {
			continue
		}
		if best == nil || p.lastDigest.HostCount > best.lastDigest.HostCount {
			best = p
		}
	}
	return best
}

// applyDigest processes a digest from a relay.
func (c *Coordinator) applyDigest(now time.Duration, d Digest) {
	if d.Sender.From.ID == c.self.ID {
		return
	}
	p := c.learnPeer(d.Sender.From)
	if p.hasDigest && d.Sender.Incarnation < p.lastDigest.Sender.Incarnation {
		return
	}
	p.hasDigest, p.lastDigestReceivedAt, p.lastDigest = true, now, d
	p.awaitingDigestSince, p.silentUntil = 0, 0
	c.adoptGroups(d.Sender)
	c.adoptDirectory(now, d)
	c.noteSuspects(now, d.Sender.Suspects)
	c.noteLeavingServers(now, d.Sender.LeavingServers)
	c.adoptPartEvidence(now, d.Sender.Parts)
	c.hasReceivedRequests = c.hasReceivedRequests || d.Sender.HasReceivedRequests
	c.observeClaim(now, d.Sender)
	if d.HolderClaim != 0 && d.HolderClaim == c.knownClaim && d.Holder != c.self.ID {
		c.claimHolder = d.Holder
		c.lastHolderContactAt = max(c.lastHolderContactAt, now-d.HolderSilentFor-hopLatency)
	}
	c.hearColdServers(now, d.Sender.ColdServers)
	c.hearEvacuations(now, d.Sender.Evacuations)
	c.countLiveHosts(now)
	c.sumRemoteLoads()
	if !d.IsDataCentreOnly {
		c.updateAdmissionShares(now)
	}
	c.dispatchQueue(now)
	c.rereadIfBehind(now, d.Sender.ConfigurationVersion)
}

// sendMemberHeartbeat sends this host's heartbeat to its relays.
func (c *Coordinator) sendMemberHeartbeat(now time.Duration) {
	targets, _ := c.relayTargets(now, c.dataCentre)
	b := c.newHeartbeat(now)
	if p, ok := c.peers[b.Successor]; ok && !slices.Contains(targets, p) {
		targets = append(targets, p)
	}
	c.snapshots[b.Sequence%keptSnapshots] = b
	for _, p := range targets {
		p.expectDigest(now)
	}
	c.emitHeartbeat(b, targets)
}

// sendDigests sends digests to this host's members and to the relays of the other data
// centres, if this host is a relay and digests are due.
func (c *Coordinator) sendDigests(now time.Duration) {
	if !c.usesRelays() || now < c.nextDigestAt {
		return
	}
	members := c.members(now)
	_, isRelay := c.relayTargets(now, c.dataCentre)
	if len(members) == 0 && !isRelay {
		return
	}
	c.nextDigestAt = now + c.memberInterval()
	c.makeDirectory(now)
	c.updateAdmissionShares(now)
	local := c.newDigest(now, members)
	local.IsDataCentreOnly = true
	if p, ok := c.peers[c.claimHolder]; c.claimHolder != c.self.ID && (!ok || p.DataCentre != c.dataCentre) {
		local.Holder, local.HolderClaim = "", 0
	}
	for name := range c.rankedPeers {
		if name != c.dataCentre {
			c.sendDataCentreDigest(now, name, local)
		}
	}
	whole := c.newDigest(now, members)
	for _, p := range c.dataCentreDigests(now) {
		whole.add(p.lastDigest, now-p.lastDigestReceivedAt)
	}
	whole.merge()
	whole.ListOffset, whole.ListAge = c.directoryOffset, now-c.directoryConfirmedAt
	if recipients := c.digestRecipients(now); len(recipients) > 0 {
		c.emit(SendDigest{Digest: whole, Groups: c.announcedGroups, Directory: c.directory, Recipients: recipients})
	}
}

// digestRecipients returns the members of this host, and now and then the other hosts of
// its data centre: one that has just started may not be able to read the store, and then
// knows no relay.
func (c *Coordinator) digestRecipients(now time.Duration) []DigestRecipient {
	var recipients []DigestRecipient
	for _, p := range c.ranked(c.dataCentre) {
		isMember := p.hasHeartbeat && now-p.lastHeartbeatReceivedAt < relayTimeout
		if !isMember && now-p.lastHeartbeatSentAt < deadPeerHeartbeatInterval {
			continue
		}
		r := DigestRecipient{Address: p.Address}
		if isMember {
			b := p.lastHeartbeat
			r.EchoedSequence, r.NeedsGroups = b.Sequence, c.lacksGroups(b.GroupsVersion)
			r.NeedsDirectory = len(c.directory) > 0 && b.DirectoryVersion != c.directoryVersion
			c.limitContents(now, p, &r)
		}
		p.lastHeartbeatSentAt = now
		recipients = append(recipients, r)
	}
	return recipients
}

// digestContents are the versions of a group table and a directory. It is a plain record.
type digestContents struct {
	groups    GroupsVersion
	directory uint64
}

// limitContents does not send the same group table and directory to a peer again until it
// can have answered. Two relays may have read lists that differ for a moment, and would
// send their directories in turns.
func (c *Coordinator) limitContents(now time.Duration, p *peer, r *DigestRecipient) {
	if !r.NeedsGroups && !r.NeedsDirectory {
		return
	}
	contents := digestContents{groups: c.announcedVersion, directory: c.directoryVersion}
	if contents == p.sentContents && now-p.contentsSentAt < contentsRepeatInterval {
		r.NeedsGroups, r.NeedsDirectory = false, false
		return
	}
	p.sentContents, p.contentsSentAt = contents, now
}

// sendDataCentreDigest sends the digest of this data centre to the relays of another one.
func (c *Coordinator) sendDataCentreDigest(now time.Duration, name fuchsiapitch.DataCentreName, d Digest) {
	targets, _ := c.relayTargets(now, name)
	var recipients []DigestRecipient
	for _, p := range targets {
		p.expectDigest(now)
		r := DigestRecipient{Address: p.Address, NeedsGroups: c.lacksGroups(p.lastDigest.Sender.GroupsVersion)}
		c.limitContents(now, p, &r)
		recipients = append(recipients, r)
	}
	if len(recipients) > 0 {
		c.emit(SendDigest{Digest: d, Groups: c.announcedGroups, Recipients: recipients})
	}
}

// newDigest returns a digest of this host and its members.
func (c *Coordinator) newDigest(now time.Duration, members []*peer) Digest {
	d := Digest{Sender: c.newHeartbeat(now), HostCount: 1}
	if c.isEligible(now) {
		d.BestCandidate = c.self
	}
	if c.isController(now) {
		d.Holder, d.HolderClaim = c.self.ID, c.ownClaim
	} else if c.claimHolder != "" && c.claimHolder != c.self.ID {
		d.Holder, d.HolderClaim, d.HolderSilentFor = c.claimHolder, c.knownClaim, now-c.lastHolderContactAt
	}
	for _, p := range members {
		b := p.lastHeartbeat
		single := Digest{Sender: b, HostCount: 1}
		if b.Eligible && !b.Stopping && b.KnownClaim >= c.knownClaim {
			single.BestCandidate = p.Peer
		}
		d.add(single, now-p.lastHeartbeatReceivedAt)
	}
	d.merge()
	return d
}

// add appends what another digest of the given age covers. merge must be called after the
// last one.
func (d *Digest) add(o Digest, age time.Duration) {
	d.HostCount += o.HostCount
	if o.BestCandidate.ID != "" && (d.BestCandidate.ID == "" || outranks(o.BestCandidate, d.BestCandidate)) {
		d.BestCandidate = o.BestCandidate
	}
	s := &d.Sender
	s.HasReceivedRequests = s.HasReceivedRequests || o.Sender.HasReceivedRequests
	s.ConfigurationVersion = max(s.ConfigurationVersion, o.Sender.ConfigurationVersion)
	for _, l := range o.Sender.ServerLoads {
		l.SilentFor += age
		s.ServerLoads = append(s.ServerLoads, l)
	}
	s.Queues = append(s.Queues, o.Sender.Queues...)
	s.Customers = append(s.Customers, o.Sender.Customers...)
	s.Suspects = append(s.Suspects, o.Sender.Suspects...)
	s.LeavingServers = append(s.LeavingServers, o.Sender.LeavingServers...)
	s.ColdServers = ramper.Age(append(s.ColdServers, o.Sender.ColdServers...), len(s.ColdServers), age)
}

// merge sums the loads of each server and the queues of each model. The silence of a
// server is the shortest one.
func (d *Digest) merge() {
	s := &d.Sender
	slices.SortFunc(s.ServerLoads, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	loads := s.ServerLoads[:0]
	for _, l := range s.ServerLoads {
		if n := len(loads); n > 0 && loads[n-1].Server == l.Server {
			m := &loads[n-1]
			m.InFlight, m.UnreadTokens, m.SilentFor = m.InFlight+l.InFlight, m.UnreadTokens+l.UnreadTokens, min(m.SilentFor, l.SilentFor)
			m.Pinned += l.Pinned
			continue
		}
		loads = append(loads, l)
	}
	s.ServerLoads = loads
	slices.SortFunc(s.Queues, compareQueues)
	queues := s.Queues[:0]
	for _, q := range s.Queues {
		if n := len(queues); n > 0 && compareQueues(queues[n-1], q) == 0 {
			queues[n-1].Length += q.Length
			queues[n-1].Arrivals += q.Arrivals
			queues[n-1].Returned += q.Returned
			queues[n-1].Completed += q.Completed
			continue
		}
		queues = append(queues, q)
	}
	s.Queues = queues
	s.Customers = apportioner.Merge(s.Customers)
	slices.Sort(s.Suspects)
	s.Suspects = slices.Compact(s.Suspects)
	s.LeavingServers = limitLeavingServers(s.LeavingServers, s.Sequence)
	s.ColdServers = ramper.Merge(s.ColdServers)
}

// addRelayedLoads adds the loads of the other hosts to the replicas and queues: from the
// digest of a relay, or from the own members if this host is a relay that covers more.
func (c *Coordinator) addRelayedLoads(now time.Duration) {
	members := c.members(now)
	centres := c.dataCentreDigests(now)
	covered := 1 + len(members)
	for _, p := range centres {
		covered += p.lastDigest.HostCount
	}
	if relay := c.clusterDigest(now); relay != nil && relay.lastDigest.HostCount > covered {
		c.addLoads(relay.lastDigest.Sender, relay.lastDigestReceivedAt, 1)
		if own := c.snapshots[relay.lastDigest.EchoedSequence%keptSnapshots]; relay.lastDigest.EchoedSequence > 0 && own.Sequence == relay.lastDigest.EchoedSequence {
			c.addLoads(own, relay.lastDigestReceivedAt, -1)
		}
		return
	}
	for _, p := range members {
		c.addLoads(p.lastHeartbeat, p.lastHeartbeatReceivedAt, 1)
	}
	for _, p := range centres {
		c.addLoads(p.lastDigest.Sender, p.lastDigestReceivedAt, 1)
	}
}

// addLoads adds loads and queues, or subtracts them if the sign is -1.
func (c *Coordinator) addLoads(b Heartbeat, receivedAt time.Duration, sign int) {
	for _, l := range b.ServerLoads {
		r, ok := c.replicas[l.Server]
		if !ok {
			continue
		}
		r.remoteInFlight = max(0, r.remoteInFlight+sign*l.InFlight)
		r.remoteUnreadTokens = max(0, r.remoteUnreadTokens+sign*l.UnreadTokens)
		r.remotePinned = max(0, r.remotePinned+sign*l.Pinned)
		if sign > 0 && l.InFlight > 0 {
			r.remoteLastByteAt = max(r.remoteLastByteAt, receivedAt-l.SilentFor)
		}
	}
	for _, q := range b.Queues {
		k := queueKey{poolKey{q.Service, q.Model}, q.Rank}
		c.addConfinedQueue(q, sign)
		c.remoteQueues[k] = max(0, c.remoteQueues[k]+sign*q.Length)
		a := c.remoteArrivals[k]
		c.remoteArrivals[k] = admitter.Arrivals{Rank: q.Rank, All: max(0, a.All+sign*q.Arrivals), Returned: max(0, a.Returned+sign*q.Returned), Completed: max(0, a.Completed+sign*q.Completed)}
	}
	for _, a := range b.Customers {
		c.remoteCustomers[a.Customer] = max(0, c.remoteCustomers[a.Customer]+sign*a.Count)
	}
}

// relayedHostCount returns the number of live hosts that relays report or that this host
// covers as a relay.
func (c *Coordinator) relayedHostCount(now time.Duration) int {
	n := 1 + len(c.members(now))
	for _, p := range c.dataCentreDigests(now) {
		n += p.lastDigest.HostCount
	}
	if relay := c.clusterDigest(now); relay != nil {
		n = max(n, relay.lastDigest.HostCount)
	}
	return n
}

// knowsStrongerCandidate reports whether a digest names a live host that is preferred to this
// one as controller.
func (c *Coordinator) knowsStrongerCandidate(now time.Duration) bool {
	if relay := c.clusterDigest(now); relay != nil {
		if b := relay.lastDigest.BestCandidate; b.ID != "" && outranks(b, c.self) {
			return true
		}
	}
	for _, p := range c.dataCentreDigests(now) {
		if b := p.lastDigest.BestCandidate; b.ID != "" && outranks(b, c.self) {
			return true
		}
	}
	return false
}
