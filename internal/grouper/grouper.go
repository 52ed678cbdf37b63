package grouper

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Give is the decision to give an order to a backend server.
type Give struct {
	// Server is the backend server.
	Server fuchsiapitch.BackendServer
	// Order is the order.
	Order fuchsiapitch.Order
	// Expiry is the end of the lease or promises that allow the order.
	Expiry fuchsiapitch.Instant
}

// Breach is the violation of an invariant.
type Breach struct {
	// Invariant names the invariant in kebab case.
	Invariant string
	// Detail describes the state.
	Detail string
}

// Actions are what a grouper wants done.
type Actions struct {
	// Follow is the offset from which to read the group stream, 0 for no change.
	Follow fuchsiapitch.Offset
	// Appends are the records to append to the group stream.
	Appends []Record
	// Probes are the backend servers to ask for their accounts.
	Probes []fuchsiapitch.BackendServer
	// Orders are the orders to give.
	Orders []Give
	// Breaches are violated invariants.
	Breaches []Breach
	// Tell states that the controller and, for a controller, the electors are to
	// hear from this host at once.
	Tell bool
}

// tellPeriod is the least time between two heartbeats out of turn.
const tellPeriod = 200 * time.Millisecond

// known is a backend server of the data centre.
type known struct {
	server  fuchsiapitch.BackendServer
	listed  bool
	leaving bool
}

// Grouper holds one entry host's part in the groups of its data centre. Every
// host folds the group stream and watches the groups that it dispatches for;
// the holder of the lease also forms the groups.
type Grouper struct {
	self          fuchsiapitch.HostID
	incarnation   uint64
	dataCentre    fuchsiapitch.DataCentreName
	configuration fuchsiapitch.Configuration
	// fold is the state of the stream, view the same with the controller's
	// records that are not in the stream yet.
	fold *Fold
	view *Fold
	// heard are such records as the controller told them.
	heard  []Record
	health *Health
	// servers are the known backend servers, engines and applications their
	// identifiers in order.
	servers      map[fuchsiapitch.ServerID]*known
	engines      []fuchsiapitch.ServerID
	applications []fuchsiapitch.ServerID
	listed       bool
	hosts        []fuchsiapitch.Host
	// owner reports whether this host dispatches for a replica, running holds
	// those of its replicas that have requests running.
	owner     func(fuchsiapitch.ReplicaID) bool
	running   map[fuchsiapitch.ReplicaID]bool
	candidate candidate
	// tenure is nil unless this host is the controller.
	tenure   *tenure
	promised promised
	stopping bool
	broken   []fuchsiapitch.ServerID
	avoided  map[fuchsiapitch.ServerID]avoidance
	// downtime holds when each group was last looked at.
	downtime map[fuchsiapitch.GroupID]time.Duration
	stranded []Stranded
	counted  time.Duration
	counters Counters
	actions  Actions
	// telling states that hosts are to hear from this one, told when they last did.
	telling bool
	told    time.Duration
}

// New returns the grouper of an entry host that has just started. The
// incarnation of the host must be higher than at every earlier start.
func New(self fuchsiapitch.Host) *Grouper {
	f := NewFold()
	return &Grouper{
		self: self.ID(), incarnation: self.Incarnation(), dataCentre: self.DataCentre(),
		fold: f, view: f, health: NewHealth(),
		servers:  make(map[fuchsiapitch.ServerID]*known),
		owner:    func(fuchsiapitch.ReplicaID) bool { return false },
		avoided:  make(map[fuchsiapitch.ServerID]avoidance),
		running:  make(map[fuchsiapitch.ReplicaID]bool),
		downtime: make(map[fuchsiapitch.GroupID]time.Duration),
	}
}

// Drain returns what is to be done and forgets it.
func (g *Grouper) Drain() Actions {
	a := g.actions
	g.actions = Actions{}
	return a
}

// Configure sets the services in force.
func (g *Grouper) Configure(configuration fuchsiapitch.Configuration) {
	g.configuration = configuration
}

// SetHosts sets the live entry hosts of the data centre and which replicas this
// host dispatches for.
func (g *Grouper) SetHosts(hosts []fuchsiapitch.Host, owner func(fuchsiapitch.ReplicaID) bool) {
	g.hosts, g.owner = hosts, owner
}

// SetRunning sets the replicas of this host that have requests running.
func (g *Grouper) SetRunning(running map[fuchsiapitch.ReplicaID]bool) { g.running = running }

// Stop gives up the lease, if this host holds it.
func (g *Grouper) Stop() { g.stopping = true }

// List takes in the platform's list. A server that is absent keeps its last
// entry while it is in a group or answers: absence is no proof of death.
func (g *Grouper) List(servers []fuchsiapitch.BackendServer) {
	g.listed = true
	for _, k := range g.servers {
		k.listed = false
	}
	for _, s := range servers {
		if s.DataCentre() == g.dataCentre {
			g.servers[s.ID()] = &known{server: s, listed: true, leaving: s.Leaving()}
		}
	}
	for id, k := range g.servers {
		_, placed := g.view.Place(id)
		if _, heard := g.health.Account(id); !k.listed && !placed && (!heard || g.health.Silent(id)) {
			delete(g.servers, id)
			delete(g.avoided, id)
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

// Report takes in a backend server's own account. It returns false when the
// account only confirms what was known and fresh.
func (g *Grouper) Report(now fuchsiapitch.Instant, account fuchsiapitch.Account) bool {
	return g.health.Report(now.Monotonic(), account)
}

// Silence takes in that a backend server did not answer a probe.
func (g *Grouper) Silence(now fuchsiapitch.Instant, server fuchsiapitch.ServerID) {
	g.health.Silence(now.Monotonic(), server)
}

// Progress takes in that a stream of a replica of this host advances.
func (g *Grouper) Progress(now fuchsiapitch.Instant, replica fuchsiapitch.ReplicaID) {
	g.health.Progress(now.Monotonic(), fuchsiapitch.GroupID(replica))
}

// Doubt takes in that a replica refused or lost a request. Its members are
// probed at once.
func (g *Grouper) Doubt(replica fuchsiapitch.ReplicaID) {
	if group, ok := g.view.Group(fuchsiapitch.GroupID(replica)); ok {
		g.health.Discredit(group.ID)
		g.Suspect(group.Members)
	}
}

// Suspect has backend servers probed at once.
func (g *Grouper) Suspect(servers []fuchsiapitch.ServerID) {
	for _, s := range servers {
		if _, ok := g.servers[s]; ok {
			g.health.Suspect(s)
		}
	}
}

// Broken returns a bounded number of members of this host's groups that are
// not as they should be, for the controller to look at.
func (g *Grouper) Broken() []fuchsiapitch.ServerID { return g.broken }

// Holder returns the entry host that controls the groups, "" when none does.
func (g *Grouper) Holder() fuchsiapitch.HostID {
	h, _ := g.fold.Holder()
	if g.fold.Released() {
		return ""
	}
	return h
}

// Tick lets time pass.
func (g *Grouper) Tick(now fuchsiapitch.Instant) {
	g.elect(now)
	g.control(now)
	g.Probe(now)
	g.observe(now.Monotonic())
	g.paceTelling(now.Monotonic())
}

// paceTelling bounds the rate of heartbeats out of turn. What one leaves out the
// next tells.
func (g *Grouper) paceTelling(now time.Duration) {
	g.telling = g.telling || g.actions.Tell
	g.actions.Tell = g.telling && now-g.told >= tellPeriod
	if g.actions.Tell {
		g.telling, g.told = false, now
	}
}

func (g *Grouper) isLeaving(id fuchsiapitch.ServerID) bool {
	if k, ok := g.servers[id]; ok && k.leaving {
		return true
	}
	a, ok := g.health.Account(id)
	return ok && a.Leaving()
}

func (g *Grouper) breach(invariant, detail string) {
	g.actions.Breaches = append(g.actions.Breaches, Breach{Invariant: invariant, Detail: detail})
}

// Replicas returns the replicas of the data centre that can take requests, in
// the order of their identifiers. A group that this host dispatches for is
// among them only while every member proves to be as recorded; of the other
// groups their dispatchers know more. A group whose members have not been heard
// of yet, since this host dispatches for it only now, has no slots, so that
// requests wait for it.
func (g *Grouper) Replicas(now fuchsiapitch.Instant) []fuchsiapitch.Replica {
	var list []fuchsiapitch.Replica
	for _, group := range g.view.Groups() {
		if slots, ok := g.route(now.Monotonic(), group); ok {
			list = append(list, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(group.ID), group.Service,
				g.servers[group.Members[0]].server, slots, group.Version))
		}
	}
	return append(list, g.applicationReplicas(now.Monotonic())...)
}

// route returns the slots of a group and whether it can take requests.
func (g *Grouper) route(now time.Duration, group Group) (slots int, ok bool) {
	service, ok := g.configuration.Service(group.Service)
	if !ok || service.Kind() != fuchsiapitch.ModelService || group.Draining || len(group.Members) == 0 {
		return 0, false
	}
	if slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool { return g.servers[m] == nil }) {
		return 0, false
	}
	if g.owner(fuchsiapitch.ReplicaID(group.ID)) {
		fault := g.health.Check(now, group, g.isLeaving)
		if fault == MemberUnproved {
			return 0, true
		}
		return service.Concurrency(), fault == 0
	}
	return service.Concurrency(), !slices.ContainsFunc(group.Members, func(m fuchsiapitch.ServerID) bool {
		return g.isLeaving(m) || g.health.Silent(m)
	})
}
