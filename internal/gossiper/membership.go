package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// MemberState is the state of a host in the view of another.
type MemberState int

// The states of a host. Within one incarnation, a later state overrides an
// earlier one.
const (
	// Alive means that the host answers heartbeats.
	Alive MemberState = iota + 1
	// Suspected means that the host has failed to answer a heartbeat or a request.
	Suspected
	// Leaving means that the host has announced its shutdown.
	Leaving
	// Dead means that the host has not refuted a suspicion in time.
	Dead
)

const (
	// heartbeatFanOut is the number of hosts of the data centre to which a host
	// sends a heartbeat in each period.
	heartbeatFanOut = 1
	// joinFanOut is the fan-out of a host that has just started. It is higher, so
	// that the host discovers the other dispatchers before it takes over replicas
	// that they own.
	joinFanOut = 12
	// joinPeriods is the number of periods after the start with the higher fan-out.
	joinPeriods = 5
	// suspicionTimeout is the time within which a suspected host must refute the
	// suspicion.
	suspicionTimeout = 3 * time.Second
	// viewGossipTime is the time for which a changed view is gossiped.
	viewGossipTime = 30 * time.Second
	// maxViews is the maximum number of views in a heartbeat.
	maxViews = 3
	// deadMemberRetention is the time after which a dead host that has sent a
	// heartbeat before is removed.
	deadMemberRetention = 10 * time.Minute
)

// member is the view of one other host.
//
// stateSince is the monotonic time of the last change of state, and changeNumber
// the value of Membership.changeCount after that change, 0 if there was none.
// heartbeatReceived is true once the host itself has sent a heartbeat.
type member struct {
	host                fuchsiapitch.Host
	state               MemberState
	stateSince          time.Duration
	lastHeartbeatAt     time.Duration
	loads               map[fuchsiapitch.ServiceName]ServiceLoad
	demands             map[fuchsiapitch.CustomerName]CustomerDemand
	configurationOffset fuchsiapitch.Offset
	configurationHash   uint64
	promise             NoClaimPromise
	promiseReceivedAt   time.Duration
	changeNumber        uint64
	heartbeatReceived   bool
}

// Membership is one host's view of the other entry hosts. It follows the SWIM
// protocol.
//
// A host that does not answer a heartbeat is suspected, and the suspicion is
// gossiped. The suspected host refutes it with a higher incarnation. If it does
// not within suspicionTimeout, it is declared dead. A higher incarnation
// overrides every state of a lower one. Within one incarnation, a later state
// overrides an earlier one.
type Membership struct {
	self        fuchsiapitch.Host
	leaving     bool
	members     map[fuchsiapitch.HostID]*member
	sequence    uint64
	peerCursor  int
	periodCount int
	changeCount uint64
	remoteLoads *remoteLoadTable
}

// New returns a membership with the candidates from the settings. A candidate
// counts as dead until it or another host reports that it is alive.
func New(self fuchsiapitch.Host, candidates ...fuchsiapitch.Host) *Membership {
	m := &Membership{self: self, members: make(map[fuchsiapitch.HostID]*member), remoteLoads: newRemoteLoadTable()}
	for _, c := range candidates {
		if c.ID() != self.ID() {
			m.members[c.ID()] = newMember(c, Dead)
		}
	}
	return m
}

func newMember(host fuchsiapitch.Host, state MemberState) *member {
	return &member{
		host: host, state: state,
		loads:   make(map[fuchsiapitch.ServiceName]ServiceLoad),
		demands: make(map[fuchsiapitch.CustomerName]CustomerDemand),
	}
}

// Self returns this host with its current incarnation.
func (m *Membership) Self() fuchsiapitch.Host { return m.self }

// Leave marks this host as leaving, which its heartbeats announce.
func (m *Membership) Leave() { m.leaving = true }

// LiveHosts returns the hosts of the data centre that can dispatch, ordered by
// identifier: those alive or suspected. This host is included, unless it is
// leaving and another host is live.
func (m *Membership) LiveHosts() []fuchsiapitch.Host {
	var live []fuchsiapitch.Host
	for _, p := range m.members {
		if p.host.DataCentre() == m.self.DataCentre() && (p.state == Alive || p.state == Suspected) {
			live = append(live, p.host)
		}
	}
	if !m.leaving || len(live) == 0 {
		live = append(live, m.self)
	}
	slices.SortFunc(live, func(a, b fuchsiapitch.Host) int { return cmp.Compare(a.ID(), b.ID()) })
	return live
}

// State returns the state of another host. An unknown host counts as dead.
func (m *Membership) State(id fuchsiapitch.HostID) MemberState {
	if p, ok := m.members[id]; ok {
		return p.state
	}
	return Dead
}

// Load returns the load of a service that another host last reported.
func (m *Membership) Load(id fuchsiapitch.HostID, service fuchsiapitch.ServiceName) ServiceLoad {
	if p, ok := m.members[id]; ok {
		return p.loads[service]
	}
	return ServiceLoad{Service: service}
}

// Tick expires suspicions and returns the hosts to send a heartbeat to. It is
// called once per period. The hosts of the data centre are selected in
// round-robin order, including dead hosts, so that the end of a partition is
// detected. A bridge also sends to the other data centres.
func (m *Membership) Tick(now fuchsiapitch.Instant) []fuchsiapitch.Host {
	m.expireMembers(now.Monotonic())
	m.remoteLoads.expire(now.Monotonic())
	m.periodCount++
	targets := m.remoteTarget()
	ids := m.rotatedPeers()
	for range min(m.fanOut(), len(ids)) {
		m.peerCursor = (m.peerCursor + 1) % len(ids)
		targets = append(targets, m.members[ids[m.peerCursor]].host)
	}
	return targets
}

func (m *Membership) fanOut() int {
	if m.periodCount <= joinPeriods {
		return joinFanOut
	}
	return heartbeatFanOut
}

// rotatedPeers returns the other hosts of the data centre, ordered by identifier
// and rotated to start after this host. The order differs between hosts, so that
// they do not all send to the same host.
func (m *Membership) rotatedPeers() []fuchsiapitch.HostID {
	ids := m.sortedIDs()
	ids = slices.DeleteFunc(ids, func(id fuchsiapitch.HostID) bool {
		return m.members[id].host.DataCentre() != m.self.DataCentre()
	})
	if len(ids) == 0 {
		return ids
	}
	start, _ := slices.BinarySearch(ids, m.self.ID())
	return append(ids[start:len(ids):len(ids)], ids[:start]...)
}

// expireMembers declares suspected hosts dead after suspicionTimeout and removes
// dead hosts after deadMemberRetention. A host that has never sent a heartbeat is
// kept.
func (m *Membership) expireMembers(now time.Duration) {
	for id, p := range m.members {
		if p.state == Suspected && now-p.stateSince >= suspicionTimeout {
			m.setState(p, Dead, now)
		}
		if p.state == Dead && p.heartbeatReceived && now-p.stateSince >= deadMemberRetention {
			delete(m.members, id)
		}
	}
}

func (m *Membership) sortedIDs() []fuchsiapitch.HostID {
	ids := make([]fuchsiapitch.HostID, 0, len(m.members))
	for id := range m.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Membership) setState(p *member, state MemberState, now time.Duration) {
	if p.state == state {
		return
	}
	p.state, p.stateSince = state, now
	m.changeCount++
	p.changeNumber = m.changeCount
}

// ComposeHeartbeat returns the next heartbeat of this host, with the loads of its
// services, the most recently changed views and the next remote loads.
func (m *Membership) ComposeHeartbeat(now fuchsiapitch.Instant, loads []ServiceLoad) Heartbeat {
	m.sequence++
	if m.IsBridge() {
		m.addOwnLoads(now.Monotonic(), loads)
	}
	return Heartbeat{
		Sender: m.self, Sequence: m.sequence, Leaving: m.leaving, Loads: loads,
		Views: m.recentViews(now.Monotonic()), RemoteLoads: m.remoteLoads.nextForHeartbeat(now.Monotonic()),
	}
}

func (m *Membership) recentViews(now time.Duration) []PeerView {
	changed := make([]*member, 0, len(m.members))
	for _, p := range m.members {
		if p.changeNumber > 0 && now-p.stateSince < viewGossipTime {
			changed = append(changed, p)
		}
	}
	slices.SortFunc(changed, func(a, b *member) int { return cmp.Compare(b.changeNumber, a.changeNumber) })
	views := make([]PeerView, 0, maxViews)
	for _, p := range changed[:min(maxViews, len(changed))] {
		views = append(views, PeerView{Host: p.host, State: p.state})
	}
	return views
}

// ReceiveHeartbeat applies a heartbeat. The sender is alive or leaving, and its
// views are merged.
func (m *Membership) ReceiveHeartbeat(now fuchsiapitch.Instant, h Heartbeat) {
	state := Alive
	if h.Leaving {
		state = Leaving
	}
	p := m.mergeState(now.Monotonic(), h.Sender, state, true)
	if p != nil {
		m.recordHeartbeat(now.Monotonic(), p, h)
	}
	for _, l := range h.RemoteLoads {
		if l.Bridge.DataCentre() != m.self.DataCentre() {
			m.remoteLoads.add(now.Monotonic(), l)
		}
	}
	for _, v := range h.Views {
		m.mergeState(now.Monotonic(), v.Host, v.State, false)
	}
}

func (m *Membership) recordHeartbeat(now time.Duration, p *member, h Heartbeat) {
	p.lastHeartbeatAt, p.heartbeatReceived = now, true
	p.configurationOffset, p.configurationHash = h.ConfigurationOffset, h.ConfigurationHash
	p.promise, p.promiseReceivedAt = h.Promise, now
	for _, l := range h.Loads {
		p.loads[l.Service] = l
	}
	for _, d := range h.Demands {
		p.demands[d.Customer] = d
	}
}

// mergeState merges a reported state of a host and returns its member, nil for
// this host. A direct report comes from the host itself and overrides any state
// of the same incarnation, such as a suspicion.
func (m *Membership) mergeState(now time.Duration, host fuchsiapitch.Host, state MemberState, direct bool) *member {
	if host.ID() == m.self.ID() {
		m.refute(host, state)
		return nil
	}
	p, found := m.members[host.ID()]
	if !found {
		p = newMember(host, Dead)
		m.members[host.ID()] = p
		m.setState(p, state, now)
		return p
	}
	higherIncarnation := host.Incarnation() > p.host.Incarnation()
	sameIncarnation := host.Incarnation() == p.host.Incarnation()
	if higherIncarnation {
		p.host = host
	}
	if higherIncarnation || (sameIncarnation && (state > p.state || direct)) {
		m.setState(p, state, now)
	}
	return p
}

// refute raises the incarnation of this host above that of a report that it is
// not alive.
func (m *Membership) refute(host fuchsiapitch.Host, state MemberState) {
	if state == Alive || m.leaving || host.Incarnation() < m.self.Incarnation() {
		return
	}
	m.self = fuchsiapitch.NewHost(m.self.ID(), m.self.Address(), m.self.DataCentre(), host.Incarnation()+1)
}

// Suspect marks a live host as suspected, because it did not answer a heartbeat
// or a request.
func (m *Membership) Suspect(now fuchsiapitch.Instant, id fuchsiapitch.HostID) {
	if p, ok := m.members[id]; ok && p.state == Alive {
		m.setState(p, Suspected, now.Monotonic())
	}
}

// ChangeCount returns the number of changes of member states so far.
func (m *Membership) ChangeCount() uint64 { return m.changeCount }
