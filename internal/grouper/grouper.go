package grouper

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// IssuedOrder is an order to be sent to a backend server.
type IssuedOrder struct {
	Server fuchsiapitch.BackendServer
	Order  fuchsiapitch.Order
	// Expiry is the end of the lease or of the promises that permit the order. The
	// order must not be sent after it.
	Expiry fuchsiapitch.Instant
}

// Violation is a violation of an invariant.
type Violation struct {
	// Invariant is the name of the invariant in kebab case.
	Invariant string
	// Detail describes the state that violates it.
	Detail string
}

// Actions are the effects that a Grouper requests from its caller.
type Actions struct {
	// FollowFrom is the offset from which to read the group stream, 0 for no
	// change.
	FollowFrom fuchsiapitch.Offset
	// Appends are the records to append to the group stream.
	Appends []Record
	// Probes are the backend servers to ask for their status.
	Probes []fuchsiapitch.BackendServer
	// Orders are the orders to send to backend servers.
	Orders []IssuedOrder
	// Violations are the violations of invariants that were detected.
	Violations []Violation
	// SendHeartbeats requests heartbeats outside the regular schedule: from the
	// controller to all hosts of the data centre, from any other host to the
	// controller.
	SendHeartbeats bool
}

// extraHeartbeatPeriod is the minimum time between two rounds of heartbeats
// outside the regular schedule.
const extraHeartbeatPeriod = 200 * time.Millisecond

// knownServer is a backend server of the data centre, with its last entry in
// the platform's list. listed is true if the latest list contains it. leaving is
// true if its last entry announces that it is about to leave.
type knownServer struct {
	server  fuchsiapitch.BackendServer
	listed  bool
	leaving bool
}

// Grouper manages the groups of one data centre at one entry host. Every host
// applies the group stream and monitors the groups that it dispatches for. The
// holder of the lease also forms the groups.
type Grouper struct {
	self          fuchsiapitch.HostID
	incarnation   uint64
	dataCentre    fuchsiapitch.DataCentreName
	configuration fuchsiapitch.Configuration
	// committed is the state read from the stream. speculative also contains the
	// controller's records that are not in the stream yet.
	committed   *StateMachine
	speculative *StateMachine
	// receivedPending are the records that the controller has sent in heartbeats
	// and that are not in the stream yet.
	receivedPending []Record
	health          *Health
	// servers are the known backend servers. engines and applications hold their
	// sorted identifiers. serversListed is true once a list of the platform has
	// been received.
	servers       map[fuchsiapitch.ServerID]*knownServer
	engines       []fuchsiapitch.ServerID
	applications  []fuchsiapitch.ServerID
	serversListed bool
	liveHosts     []fuchsiapitch.Host
	// isDispatcher reports whether this host dispatches for a replica.
	// busyReplicas are the replicas of this host with running requests.
	isDispatcher func(fuchsiapitch.ReplicaID) bool
	busyReplicas map[fuchsiapitch.ReplicaID]bool
	// newAssignments holds the latest assignment of each group that was assigned while
	// this host dispatched for it, for as long as it does.
	newAssignments map[fuchsiapitch.GroupID]fuchsiapitch.FencingToken
	candidate      candidate
	// controller is nil unless this host is the controller.
	controller    *controllerState
	ownPromise    ownPromise
	stopping      bool
	faultyMembers []fuchsiapitch.ServerID
	backoffs      map[fuchsiapitch.ServerID]backoff
	// downtimeCountedAt holds when the downtime of each group was last updated.
	downtimeCountedAt map[fuchsiapitch.GroupID]time.Duration
	stranded          []Stranded
	strandedCountedAt time.Duration
	counters          Counters
	actions           Actions
	// extraHeartbeatsPending is true if extra heartbeats are due.
	// extraHeartbeatsSentAt is when the last ones were requested.
	extraHeartbeatsPending bool
	extraHeartbeatsSentAt  time.Duration
}

// New returns the grouper of an entry host that has just started. The
// incarnation of the host must be higher than at every earlier start.
func New(self fuchsiapitch.Host) *Grouper {
	sm := NewStateMachine()
	return &Grouper{
		self: self.ID(), incarnation: self.Incarnation(), dataCentre: self.DataCentre(),
		committed: sm, speculative: sm, health: NewHealth(),
		servers:           make(map[fuchsiapitch.ServerID]*knownServer),
		isDispatcher:      func(fuchsiapitch.ReplicaID) bool { return false },
		backoffs:          make(map[fuchsiapitch.ServerID]backoff),
		busyReplicas:      make(map[fuchsiapitch.ReplicaID]bool),
		newAssignments:    make(map[fuchsiapitch.GroupID]fuchsiapitch.FencingToken),
		downtimeCountedAt: make(map[fuchsiapitch.GroupID]time.Duration),
	}
}

// TakeActions returns the actions collected since the last call and clears
// them.
func (g *Grouper) TakeActions() Actions {
	a := g.actions
	g.actions = Actions{}
	return a
}

// Configure sets the configuration to apply.
func (g *Grouper) Configure(configuration fuchsiapitch.Configuration) {
	g.configuration = configuration
}

// SetHosts sets the live entry hosts of the data centre and the predicate for
// the replicas that this host dispatches for.
func (g *Grouper) SetHosts(hosts []fuchsiapitch.Host, isDispatcher func(fuchsiapitch.ReplicaID) bool) {
	g.liveHosts, g.isDispatcher = hosts, isDispatcher
	maps.DeleteFunc(g.newAssignments, func(id fuchsiapitch.GroupID, _ fuchsiapitch.FencingToken) bool {
		return !g.groupExists(id) || !isDispatcher(fuchsiapitch.ReplicaID(id))
	})
}

// SetBusyReplicas sets the replicas of this host that have running requests.
func (g *Grouper) SetBusyReplicas(busyReplicas map[fuchsiapitch.ReplicaID]bool) {
	g.busyReplicas = busyReplicas
}

// Stop makes this host release the lease if it holds it, and stops it from
// claiming.
func (g *Grouper) Stop() { g.stopping = true }

// ServersListed handles a new list of the platform. A server missing from it
// keeps its last entry while it is in a group or answers probes, because
// absence from the list does not prove that the server is dead.
func (g *Grouper) ServersListed(servers []fuchsiapitch.BackendServer) {
	g.serversListed = true
	for _, k := range g.servers {
		k.listed = false
	}
	for _, s := range servers {
		if s.DataCentre() == g.dataCentre {
			g.servers[s.ID()] = &knownServer{server: s, listed: true, leaving: s.Leaving()}
		}
	}
	for id, k := range g.servers {
		_, inGroup := g.speculative.GroupOf(id)
		if _, hasStatus := g.health.LastStatus(id); !k.listed && !inGroup && (!hasStatus || g.health.IsSilent(id)) {
			delete(g.servers, id)
			delete(g.backoffs, id)
		}
	}
	g.engines, g.applications = nil, nil
	for _, id := range slices.Sorted(maps.Keys(g.servers)) {
		if g.servers[id].server.Kind() == fuchsiapitch.EngineServer {
			g.engines = append(g.engines, id)
		} else {
			g.applications = append(g.applications, id)
		}
	}
}

// ServerReported records the status that a backend server reports. It returns
// false if the same status was reported recently, so that nothing has to be
// decided.
func (g *Grouper) ServerReported(now fuchsiapitch.Instant, status fuchsiapitch.EngineStatus) bool {
	return g.health.RecordStatus(now.Monotonic(), status)
}

// ServerUnresponsive records that a backend server did not answer a probe or
// could not be reached.
func (g *Grouper) ServerUnresponsive(now fuchsiapitch.Instant, server fuchsiapitch.ServerID) {
	g.health.RecordMissedProbe(now.Monotonic(), server)
}

// StreamProgressed records that a response stream of one of this host's
// replicas has advanced.
func (g *Grouper) StreamProgressed(now fuchsiapitch.Instant, replica fuchsiapitch.ReplicaID) {
	g.health.RecordProgress(now.Monotonic(), fuchsiapitch.GroupID(replica))
}

// ReplicaFailed records that a replica refused or lost a request. Its members
// are probed at once.
func (g *Grouper) ReplicaFailed(replica fuchsiapitch.ReplicaID) {
	if group, ok := g.speculative.Group(fuchsiapitch.GroupID(replica)); ok {
		g.health.ForgetProgress(group.ID)
		g.RequestProbes(group.Members)
	}
}

// RequestProbes schedules an immediate probe of each known server in the list.
func (g *Grouper) RequestProbes(servers []fuchsiapitch.ServerID) {
	for _, s := range servers {
		if _, ok := g.servers[s]; ok {
			g.health.RequestProbe(s)
		}
	}
}

// FaultyMembers returns a bounded number of faulty members of this host's
// groups, for the controller to probe.
func (g *Grouper) FaultyMembers() []fuchsiapitch.ServerID { return g.faultyMembers }

// Holder returns the entry host that is the controller, "" if there is none.
func (g *Grouper) Holder() fuchsiapitch.HostID {
	h, _ := g.committed.Holder()
	if g.committed.LeaseReleased() {
		return ""
	}
	return h
}

// Tick runs one step: the election, the controller's work, probes, fault
// detection and heartbeats.
func (g *Grouper) Tick(now fuchsiapitch.Instant) {
	g.runElection(now)
	g.runController(now)
	g.ScheduleProbes(now)
	g.updateFaultyMembers(now.Monotonic())
	g.limitExtraHeartbeats(now.Monotonic())
}

// limitExtraHeartbeats limits the rate of extra heartbeats. A request that
// comes too early is kept until the period has passed.
func (g *Grouper) limitExtraHeartbeats(now time.Duration) {
	g.extraHeartbeatsPending = g.extraHeartbeatsPending || g.actions.SendHeartbeats
	g.actions.SendHeartbeats = g.extraHeartbeatsPending && now-g.extraHeartbeatsSentAt >= extraHeartbeatPeriod
	if g.actions.SendHeartbeats {
		g.extraHeartbeatsPending, g.extraHeartbeatsSentAt = false, now
	}
}

func (g *Grouper) isLeaving(id fuchsiapitch.ServerID) bool {
	if k, ok := g.servers[id]; ok && k.leaving {
		return true
	}
	status, ok := g.health.LastStatus(id)
	return ok && status.Leaving()
}

func (g *Grouper) reportViolation(invariant, detail string) {
	g.actions.Violations = append(g.actions.Violations, Violation{Invariant: invariant, Detail: detail})
}

// RoutableReplicas returns the replicas of the data centre that can take
// requests, ordered by identifier. Draining groups are left out.
//
// A group that this host dispatches for is included only while every member
// reports the recorded assignment and is ready. If a member has not reported yet
// because this host has just become the dispatcher, and not because the group has
// just been assigned, the group is included without slots, so that requests wait for
// it. Any other group is included unless a member is leaving or silent, because its
// dispatcher knows its state better.
func (g *Grouper) RoutableReplicas(now fuchsiapitch.Instant) []fuchsiapitch.Replica {
	var list []fuchsiapitch.Replica
	for _, group := range g.speculative.Groups() {
		if slots, ok := g.routableSlots(now.Monotonic(), group); ok {
			list = append(list, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(group.ID), group.Service,
				g.servers[group.Members[0]].server, slots, group.Version))
		}
	}
	return append(list, g.applicationReplicas(now.Monotonic())...)
}

// routableSlots returns the number of slots of a group and whether it can take
// requests.
func (g *Grouper) routableSlots(now time.Duration, group Group) (slots int, ok bool) {
	service, ok := g.configuration.Service(group.Service)
	if !ok || service.Kind() != fuchsiapitch.ModelService || group.Draining || len(group.Members) == 0 {
		return 0, false
	}
	if slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool { return g.servers[m] == nil }) {
		return 0, false
	}
	if g.isDispatcher(fuchsiapitch.ReplicaID(group.ID)) {
		fault := g.health.CheckGroup(now, group, g.isLeaving)
		if fault == MemberUnproved {
			return 0, g.newAssignments[group.ID] != group.FencingToken
		}
		return service.Concurrency(), fault == 0
	}
	return service.Concurrency(), !slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool {
		return g.isLeaving(m) || g.health.IsSilent(m)
	})
}
