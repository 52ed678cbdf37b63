package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Standing is the state that a host gives another host.
type Standing int

// The standings, in the order in which they override each other within one
// incarnation.
const (
	// Alive means that the host answers.
	Alive Standing = iota + 1
	// Suspected means that the host has missed an answer.
	Suspected
	// Leaving means that the host has announced its stop.
	Leaving
	// Dead means that the suspicion was not refuted in time.
	Dead
)

const (
	// fanOut is the number of hosts of the data centre that get a heartbeat in
	// each period.
	fanOut = 1
	// joinFanOut is the number of hosts that a host which has just started writes
	// to in each period, so that it does not take replicas for its own whose
	// dispatchers it has not heard of yet.
	joinFanOut = 12
	// joinRounds is the number of periods for which a host counts as just started.
	joinRounds = 5
	// suspicionTime is the time in which a suspected host can refute.
	suspicionTime = 3 * time.Second
	// viewTime is the time for which a changed view is passed on.
	viewTime = 30 * time.Second
	// viewLimit is the largest number of views in a heartbeat.
	viewLimit = 3
	// forgetTime is the time for which a dead host is remembered.
	forgetTime = 10 * time.Minute
)

type member struct {
	host      fuchsiapitch.Host
	standing  Standing
	since     time.Duration
	heard     time.Duration
	loads     map[fuchsiapitch.ServiceName]ServiceLoad
	demands   map[fuchsiapitch.CustomerName]CustomerDemand
	offset    fuchsiapitch.Offset
	hash      uint64
	promise   Promise
	promised  time.Duration
	changed   uint64
	announced bool
}

// Membership is one host's belief of the entry hosts of its data centre.
//
// A host that does not answer a heartbeat is suspected, and the suspicion is
// passed on. The suspected host refutes it with a higher incarnation. A
// suspicion that is not refuted within suspicionTime makes the host dead. A
// higher incarnation overrides every standing of a lower one; within one
// incarnation the order of the standings decides.
type Membership struct {
	self     fuchsiapitch.Host
	leaving  bool
	members  map[fuchsiapitch.HostID]*member
	sequence uint64
	cursor   int
	rounds   int
	changes  uint64
	remotes  *remotes
}

// New returns a membership that knows the candidates from the settings. They
// count as dead until they are heard of.
func New(self fuchsiapitch.Host, candidates ...fuchsiapitch.Host) *Membership {
	m := &Membership{self: self, members: make(map[fuchsiapitch.HostID]*member), remotes: newRemotes()}
	for _, c := range candidates {
		if c.ID() != self.ID() {
			m.members[c.ID()] = newMember(c, Dead)
		}
	}
	return m
}

func newMember(host fuchsiapitch.Host, standing Standing) *member {
	return &member{
		host: host, standing: standing,
		loads:   make(map[fuchsiapitch.ServiceName]ServiceLoad),
		demands: make(map[fuchsiapitch.CustomerName]CustomerDemand),
	}
}

// Self returns this host with its current incarnation.
func (m *Membership) Self() fuchsiapitch.Host { return m.self }

// Leave announces the stop of this host.
func (m *Membership) Leave() { m.leaving = true }

// Live returns the hosts of the data centre that can dispatch, in the order of
// their identifiers. This host is among them unless it leaves and another host
// can take over.
func (m *Membership) Live() []fuchsiapitch.Host {
	var live []fuchsiapitch.Host
	for _, p := range m.members {
		if p.host.DataCentre() == m.self.DataCentre() && (p.standing == Alive || p.standing == Suspected) {
			live = append(live, p.host)
		}
	}
	if !m.leaving || len(live) == 0 {
		live = append(live, m.self)
	}
	slices.SortFunc(live, func(a, b fuchsiapitch.Host) int { return cmp.Compare(a.ID(), b.ID()) })
	return live
}

// Standing returns the standing of a host.
func (m *Membership) Standing(id fuchsiapitch.HostID) Standing {
	if p, ok := m.members[id]; ok {
		return p.standing
	}
	return Dead
}

// Load returns the last reported load of a service at a host.
func (m *Membership) Load(id fuchsiapitch.HostID, service fuchsiapitch.ServiceName) ServiceLoad {
	if p, ok := m.members[id]; ok {
		return p.loads[service]
	}
	return ServiceLoad{Service: service}
}

// Tick ages the suspicions and returns the hosts that get a heartbeat now. It
// is called once a period. The hosts of the data centre take turns; a dead host
// takes its turn too, so that a healed partition is found. A bridge writes to
// the other data centres as well.
func (m *Membership) Tick(now fuchsiapitch.Instant) []fuchsiapitch.Host {
	m.age(now.Monotonic())
	m.remotes.forget(now.Monotonic())
	m.rounds++
	targets := m.bridgeTarget()
	ids := m.neighbours()
	for range min(m.fanOut(), len(ids)) {
		m.cursor = (m.cursor + 1) % len(ids)
		targets = append(targets, m.members[ids[m.cursor]].host)
	}
	return targets
}

func (m *Membership) fanOut() int {
	if m.rounds <= joinRounds {
		return joinFanOut
	}
	return fanOut
}

// neighbours returns the other hosts of the data centre in a fixed order that
// differs from host to host, so that the hosts do not all write to the same one.
func (m *Membership) neighbours() []fuchsiapitch.HostID {
	ids := m.order()
	ids = slices.DeleteFunc(ids, func(id fuchsiapitch.HostID) bool {
		return m.members[id].host.DataCentre() != m.self.DataCentre()
	})
	if len(ids) == 0 {
		return ids
	}
	after, _ := slices.BinarySearch(ids, m.self.ID())
	return append(ids[after:len(ids):len(ids)], ids[:after]...)
}

func (m *Membership) age(now time.Duration) {
	for id, p := range m.members {
		if p.standing == Suspected && now-p.since >= suspicionTime {
			m.set(p, Dead, now)
		}
		if p.standing == Dead && p.announced && now-p.since >= forgetTime {
			delete(m.members, id)
		}
	}
}

func (m *Membership) order() []fuchsiapitch.HostID {
	ids := make([]fuchsiapitch.HostID, 0, len(m.members))
	for id := range m.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Membership) set(p *member, standing Standing, now time.Duration) {
	if p.standing == standing {
		return
	}
	p.standing, p.since = standing, now
	m.changes++
	p.changed = m.changes
}

// Compose returns the heartbeat of this host, with the loads of its services,
// the views that changed last and the remote loads whose turn it is.
func (m *Membership) Compose(now fuchsiapitch.Instant, loads []ServiceLoad) Heartbeat {
	m.sequence++
	if m.IsBridge() {
		m.report(now.Monotonic(), loads)
	}
	return Heartbeat{
		From: m.self, Sequence: m.sequence, Leaving: m.leaving, Loads: loads,
		Views: m.newestViews(now.Monotonic()), Remotes: m.remotes.next(now.Monotonic()),
	}
}

func (m *Membership) newestViews(now time.Duration) []PeerView {
	changed := make([]*member, 0, len(m.members))
	for _, p := range m.members {
		if p.changed > 0 && now-p.since < viewTime {
			changed = append(changed, p)
		}
	}
	slices.SortFunc(changed, func(a, b *member) int { return cmp.Compare(b.changed, a.changed) })
	views := make([]PeerView, 0, viewLimit)
	for _, p := range changed[:min(viewLimit, len(changed))] {
		views = append(views, PeerView{Host: p.host, Standing: p.standing})
	}
	return views
}

// Receive takes in a heartbeat. The sender is alive or leaving; its views are
// merged.
func (m *Membership) Receive(now fuchsiapitch.Instant, h Heartbeat) {
	standing := Alive
	if h.Leaving {
		standing = Leaving
	}
	p := m.merge(now.Monotonic(), h.From, standing, true)
	if p != nil {
		m.adopt(now.Monotonic(), p, h)
	}
	for _, l := range h.Remotes {
		if l.Bridge.DataCentre() != m.self.DataCentre() {
			m.remotes.add(now.Monotonic(), l)
		}
	}
	for _, v := range h.Views {
		m.merge(now.Monotonic(), v.Host, v.Standing, false)
	}
}

func (m *Membership) adopt(now time.Duration, p *member, h Heartbeat) {
	p.heard, p.announced = now, true
	p.offset, p.hash = h.Configuration, h.ConfigurationHash
	p.promise, p.promised = h.Promise, now
	for _, l := range h.Loads {
		p.loads[l.Service] = l
	}
	for _, d := range h.Demands {
		p.demands[d.Customer] = d
	}
}

// merge applies a claim about a host and returns its member. Direct claims come
// from the host itself and lift a suspicion of the same incarnation.
func (m *Membership) merge(now time.Duration, host fuchsiapitch.Host, standing Standing, direct bool) *member {
	if host.ID() == m.self.ID() {
		m.refute(host, standing)
		return nil
	}
	p, known := m.members[host.ID()]
	if !known {
		p = newMember(host, Dead)
		m.members[host.ID()] = p
		m.set(p, standing, now)
		return p
	}
	newer := host.Incarnation() > p.host.Incarnation()
	same := host.Incarnation() == p.host.Incarnation()
	if newer {
		p.host = host
	}
	if newer || (same && (standing > p.standing || direct)) {
		m.set(p, standing, now)
	}
	return p
}

// refute raises the incarnation of this host above a claim that it is not alive.
func (m *Membership) refute(host fuchsiapitch.Host, standing Standing) {
	if standing == Alive || m.leaving || host.Incarnation() < m.self.Incarnation() {
		return
	}
	m.self = fuchsiapitch.NewHost(m.self.ID(), m.self.Address(), m.self.DataCentre(), host.Incarnation()+1)
}

// Fail reports that a host did not answer a heartbeat or a request.
func (m *Membership) Fail(now fuchsiapitch.Instant, id fuchsiapitch.HostID) {
	if p, ok := m.members[id]; ok && p.standing == Alive {
		m.set(p, Suspected, now.Monotonic())
	}
}

// Changes returns a number that rises with every change of a standing.
func (m *Membership) Changes() uint64 { return m.changes }
