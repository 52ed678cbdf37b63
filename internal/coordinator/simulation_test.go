package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// simulationStep is the time by which one step advances the simulation.
	simulationStep = 10 * time.Millisecond
	// simulatedStallTimeout is the time without a member after which a leader breaks
	// its group.
	simulatedStallTimeout = 4 * time.Second
	// simulatedReportLag is the age of the reports that engines send in response to
	// probes.
	simulatedReportLag = 200 * time.Millisecond
	// simulatedProbeTimeout is the time after which a probe without a response fails.
	simulatedProbeTimeout = 200 * time.Millisecond
	// simulatedListExpiry is the time after which an unreachable engine disappears from
	// the server list.
	simulatedListExpiry = 3600 * time.Millisecond
	// simulatedLoadTime is how long a join takes if the model has to be loaded from the
	// weight store, simulatedWarmLoadTime how long it takes if the model is staged.
	simulatedLoadTime     = 3 * time.Second
	simulatedWarmLoadTime = 500 * time.Millisecond
	// simulatedOpenTime is how long an engine takes to carry out an open order.
	simulatedOpenTime = 300 * time.Millisecond
)

// simulatedEngine simulates one model engine that accepts and refuses orders as a real
// one does.
type simulatedEngine struct {
	id             fuchsiapitch.ServerID
	address        string
	domain         string
	incarnation    int64
	acceptedOrders int64
	group          fuchsiapitch.GroupRef
	members        []fuchsiapitch.ServerID
	state          fuchsiapitch.MemberState
	// transitionAt is when the join or open order in progress completes.
	transitionAt   time.Duration
	openInProgress bool
	model          string
	lastModel      string
	stagedModels   []string
	highestEpoch   int64
	// memberMissingSince is the time since which the leader has been without a member,
	// 0 if all are present.
	memberMissingSince time.Duration
	dead               bool
	// isolatedUntil is the time until which neither hosts nor the members of its group
	// can reach the engine. unreachableUntil is the time until which only the members
	// can.
	isolatedUntil    time.Duration
	unreachableUntil time.Duration
	lastReachableAt  time.Duration
	// silentUntil is the time until which the engine accepts connections and sends no byte,
	// neither to hosts nor to the members of its group.
	silentUntil time.Duration
	// unlisted is true if the engine is off the list though it works, unhealthy if it says so
	// when it is asked for its health.
	unlisted, unhealthy bool
	// closeTime is how long a close takes, while requests end.
	closeTime time.Duration
	// readyFormations are the formations in which the engine has been ready.
	readyFormations map[fuchsiapitch.GroupRef]bool
	// reports holds the state after each step. Probes and the server list read earlier
	// entries, because reports lag behind.
	reports []fuchsiapitch.ServerReport
}

// pendingCall is a call in flight. At dueAt its event is applied to a coordinator, or else
// run is called.
type pendingCall struct {
	dueAt            time.Duration
	event            func() Event
	run              func()
	coordinatorIndex int
}

// simulation runs coordinators against simulated engines, server list and network. All
// of them share one simulated clock, which step advances.
type simulation struct {
	rng     *rand.Rand
	now     time.Duration
	engines map[fuchsiapitch.ServerID]*simulatedEngine
	// engineOrder holds the identifiers of the engines in the order in which they were
	// added.
	engineOrder []fuchsiapitch.ServerID
	// coordinators are the controllers in the order of their claims, nil for those that
	// have stopped.
	coordinators []*Coordinator
	// partitionedDomain is the domain whose engines hosts cannot reach until
	// partitionedUntil. The engines still reach each other.
	partitionedUntil  time.Duration
	partitionedDomain string
	// lateOrderProbability is the probability that an order is executed only after its
	// result has been reported as unknown.
	lateOrderProbability float64
	pendingCalls         []pendingCall
	// violations describes the invariant violations found so far: an engine in two
	// groups, a group that opens without one of its members, or a violation that a
	// coordinator reports.
	violations []string
	claimCount int64
	// stageOrders counts the stage orders that engines executed.
	stageOrders int
	// routes is the configuration. leavesToRefuse is the number of leave orders that
	// engines will still refuse.
	routes         *fuchsiapitch.RouteTable
	leavesToRefuse int
	// unlistedDomain is a domain whose servers cannot reach the list.
	unlistedDomain string
	// frozenList is the list that hosts read until listFrozenUntil, while servers
	// cannot update it.
	frozenList      []fuchsiapitch.ServerReport
	listFrozenUntil time.Duration
	// plainServers are listed besides the engines.
	plainServers []fuchsiapitch.ServerReport
	// leavingTold maps engines to the incarnation that has told a coordinator that it leaves.
	// That coordinator must not use it for a new group.
	leavingTold map[*Coordinator]map[fuchsiapitch.ServerID]int64
	// onEffect is called with the effects that apply does not carry out itself, and
	// lastByteTimes returns what ticks report. Both may be nil.
	onEffect      func(n int, e Effect)
	lastByteTimes func() map[fuchsiapitch.ServerID]time.Duration
}

// newSimulation returns a simulation in which each domain has servers for one large
// group, one small group and two spares.
func newSimulation(seed uint64) *simulation {
	return newSimulationOf(seed, newDefaultRoutes(), 11)
}

// newSimulationOf returns a simulation of two domains with the given number of servers
// each.
func newSimulationOf(seed uint64, routes *fuchsiapitch.RouteTable, servers int) *simulation {
	sm := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), engines: make(map[fuchsiapitch.ServerID]*simulatedEngine), routes: routes}
	for d := range 2 {
		for n := range servers {
			sm.addEngine(fmt.Sprintf("d%d", d), fmt.Sprintf("s%d-%02d", d, n))
		}
	}
	return sm
}

func (sm *simulation) addEngine(domain, id string) {
	e := &simulatedEngine{id: fuchsiapitch.ServerID(id), address: id, domain: domain, incarnation: 1 + sm.now.Milliseconds(), readyFormations: make(map[fuchsiapitch.GroupRef]bool), lastReachableAt: sm.now}
	sm.engines[e.id] = e
	sm.engineOrder = append(sm.engineOrder, e.id)
}

func newDefaultRoutes() *fuchsiapitch.RouteTable {
	return newRoutesOf(
		fuchsiapitch.Model{Name: "large", GroupSize: 6, InitialLoadShare: 0.67, TimeFactor: 1, ColdLoadTime: simulatedLoadTime, WarmLoadTime: simulatedWarmLoadTime},
		fuchsiapitch.Model{Name: "small", GroupSize: 3, InitialLoadShare: 0.33, TimeFactor: 0.6, ColdLoadTime: simulatedLoadTime, WarmLoadTime: simulatedWarmLoadTime},
	)
}

// newRoutesOf returns a configuration with one service that has the given models.
func newRoutesOf(models ...fuchsiapitch.Model) *fuchsiapitch.RouteTable {
	profile := &fuchsiapitch.EngineProfile{
		Slots: 26, StepTime: 6450 * time.Microsecond, StepTimePerRequest: 97 * time.Microsecond, StepsPerEvent: 6, PrefillTokensPerSecond: 56000, LoadStartsPerSecond: 5.5, FullSpeedLoads: 8, OpenOrderTime: simulatedOpenTime, ReportLag: simulatedReportLag,
		Models: models,
	}
	return fuchsiapitch.NewRouteTable(1, nil, []fuchsiapitch.ServiceProfile{{Name: "llm", Engine: profile}}, nil, false, fuchsiapitch.ClientLimits{})
}

// startController starts a coordinator that is the controller by a new claim.
func (sm *simulation) startController() {
	sm.claimCount++
	sm.startControllerWith(sm.claimCount)
}

// startControllerWith starts a coordinator that is the controller by a claim with a number.
func (sm *simulation) startControllerWith(claim int64) {
	id := fuchsiapitch.HostID(fmt.Sprintf("h%d", len(sm.coordinators)+1))
	c := New(Peer{ID: id}, claim, WithStallTimeout(simulatedStallTimeout))
	sm.coordinators = append(sm.coordinators, c)
	n := len(sm.coordinators) - 1
	sm.apply(n, ConfigurationChanged{Routes: sm.routes})
	sm.apply(n, ClaimRead{Number: claim, Holder: id, Incarnation: claim})
}

// apply applies an event to a coordinator and carries out the resulting probes and
// orders. It passes all other effects to onEffect.
func (sm *simulation) apply(n int, e Event) {
	for _, effect := range sm.coordinators[n].Apply(sm.now, e) {
		switch f := effect.(type) {
		case ProbeServer:
			sm.respondToProbe(n, f)
		case SendOrder:
			sm.checkNotLeaving(sm.coordinators[n], f.Order)
			sm.deliverOrder(n, f.Order)
		default:
			if sm.onEffect != nil {
				sm.onEffect(n, effect)
			}
		}
	}
	if got := sm.coordinators[n].Violations(); got != 0 {
		sm.violations = append(sm.violations, "coordinator reports an invariant violation")
	}
}

// isReachable reports whether hosts can reach an engine.
func (sm *simulation) isReachable(e *simulatedEngine) bool {
	return !e.dead && sm.now >= e.isolatedUntil && sm.now >= e.unreachableUntil && (sm.now >= sm.partitionedUntil || e.domain != sm.partitionedDomain)
}

// engineAt returns the engine that responds at an address: the latest one to use it.
func (sm *simulation) engineAt(address string) (*simulatedEngine, bool) {
	for n := len(sm.engineOrder) - 1; n >= 0; n-- {
		if e := sm.engines[sm.engineOrder[n]]; e.address == address && !e.dead {
			return e, true
		}
	}
	return nil, false
}

// reuseAddress starts a new engine at the address of a dead one.
func (sm *simulation) reuseAddress(e *simulatedEngine) *simulatedEngine {
	id := fmt.Sprintf("n%d", len(sm.engineOrder))
	sm.addEngine(e.domain, id)
	replacement := sm.engines[fuchsiapitch.ServerID(id)]
	replacement.address = e.address
	sm.advanceEngine(replacement)
	return replacement
}

// respondToProbe schedules the result of a probe, the report of the engine at the
// address. A report does not name its server.
func (sm *simulation) respondToProbe(n int, probe ProbeServer) {
	id := probe.Server
	e, ok := sm.engineAt(probe.Address)
	silent := ok && sm.isReachable(e) && sm.now < e.silentUntil
	switch {
	case silent && e.silentUntil <= sm.now+simulatedProbeTimeout:
		sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: e.silentUntil, coordinatorIndex: -1, run: func() { sm.respondToProbe(n, probe) }})
		return
	case silent || !ok || !sm.isReachable(e):
		sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + simulatedProbeTimeout, coordinatorIndex: n, event: func() Event {
			return ProbeCompleted{Server: id, Err: &fuchsiapitch.UnreachableError{Address: string(id)}, Silent: silent}
		}})
		return
	}
	report := e.reports[max(0, len(e.reports)-1-int(simulatedReportLag/simulationStep))]
	if report.StartedUnixMillis != e.incarnation {
		report = e.reports[len(e.reports)-1]
	}
	unhealthy := probe.ChecksHealth && e.unhealthy
	var identifiedAs fuchsiapitch.ServerID
	if report.StartedUnixMillis > probe.KnownIncarnation {
		identifiedAs = e.id
	}
	sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + simulationStep, coordinatorIndex: n, event: func() Event {
		return ProbeCompleted{Server: id, IdentifiedAs: identifiedAs, Report: report, Unhealthy: unhealthy}
	}})
}

// deliverOrder executes an order at the engine that responds at its address, and
// schedules the result. A silent engine executes the order once it goes on. With
// lateOrderProbability, the result is unknown and the engine executes the order 2 to 12 s
// later, unless it has restarted or died by then. With a quarter of that probability, the
// order is executed at once and the result is unknown.
func (sm *simulation) deliverOrder(n int, o fuchsiapitch.GroupOrder) {
	e, ok := sm.engineAt(o.Address)
	silent := ok && sm.isReachable(e) && sm.now < e.silentUntil
	unknownResult := func() Event {
		return OrderResultReceived{Order: o, Result: fuchsiapitch.OrderUnknown, Silent: silent}
	}
	if silent {
		sm.executeLater(e, o, e.silentUntil)
	}
	if silent || !ok || !sm.isReachable(e) {
		sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + 500*time.Millisecond, coordinatorIndex: n, event: unknownResult})
		return
	}
	if e.id != o.Server {
		sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + simulationStep, coordinatorIndex: n, event: func() Event {
			return OrderResultReceived{Order: o, Result: fuchsiapitch.OrderMisdirected}
		}})
		return
	}
	if sm.rng.Float64() < sm.lateOrderProbability {
		sm.executeLater(e, o, sm.now+2*time.Second+time.Duration(sm.rng.Int64N(int64(10*time.Second))))
		sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + 500*time.Millisecond, coordinatorIndex: n, event: unknownResult})
		return
	}
	result := sm.executeOrder(e, o)
	if sm.rng.Float64() < sm.lateOrderProbability/4 {
		sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + 500*time.Millisecond, coordinatorIndex: n, event: unknownResult})
		return
	}
	sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + simulationStep, coordinatorIndex: n, event: func() Event { return OrderResultReceived{Order: o, Result: result} }})
}

// executeLater executes an order at a time, unless the engine has restarted or died by then.
func (sm *simulation) executeLater(e *simulatedEngine, o fuchsiapitch.GroupOrder, at time.Duration) {
	incarnation := e.incarnation
	sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: at, coordinatorIndex: -1, run: func() {
		if e.incarnation == incarnation && !e.dead {
			sm.executeOrder(e, o)
		}
	}})
}

// executeOrder executes an order at an engine, or refuses it. For a join, it checks that
// the engine is not a member of an open group.
func (sm *simulation) executeOrder(e *simulatedEngine, o fuchsiapitch.GroupOrder) fuchsiapitch.OrderResult {
	if o.ExpectedAcceptedOrders != e.acceptedOrders {
		return fuchsiapitch.OrderRefused
	}
	isMember := e.group == o.Group && o.Group.Name != ""
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if o.Group.Epoch < e.highestEpoch || isMember {
			return fuchsiapitch.OrderRefused
		}
		sm.checkSingleMembership(e, o)
		duration := simulatedLoadTime
		switch {
		case e.lastModel == o.Model:
			duration = 200 * time.Millisecond
		case len(e.stagedModels) > 0 && e.stagedModels[0] == o.Model:
			duration = simulatedWarmLoadTime
		}
		e.highestEpoch, e.group, e.members, e.state = o.Group.Epoch, o.Group, o.Members, fuchsiapitch.MemberJoining
		e.transitionAt, e.openInProgress, e.memberMissingSince = sm.now+duration, false, 0
		e.model, e.lastModel, e.stagedModels = o.Model, o.Model, []string{o.Model}
	case fuchsiapitch.OrderOpen:
		if !isMember || e.members[0] != e.id || e.state != fuchsiapitch.MemberReady || e.openInProgress {
			return fuchsiapitch.OrderRefused
		}
		e.openInProgress, e.transitionAt = true, sm.now+simulatedOpenTime
	case fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict:
		if !isMember || e.state != fuchsiapitch.MemberOpen {
			return fuchsiapitch.OrderRefused
		}
		if o.Kind == fuchsiapitch.OrderClose && e.closeTime > 0 {
			e.state, e.transitionAt = fuchsiapitch.MemberClosing, sm.now+e.closeTime
			break
		}
		e.state = fuchsiapitch.MemberReady
		e.acceptedOrders++
		return fuchsiapitch.OrderDone
	case fuchsiapitch.OrderLeave:
		if sm.leavesToRefuse > 0 {
			sm.leavesToRefuse--
			return fuchsiapitch.OrderRefused
		}
		if !isMember {
			return fuchsiapitch.OrderRefused
		}
		e.group, e.state, e.members = fuchsiapitch.GroupRef{}, 0, nil
		e.acceptedOrders++
		return fuchsiapitch.OrderDone
	case fuchsiapitch.OrderStage:
		sm.stageOrders++
		if slices.Contains(e.stagedModels, o.Model) {
			return fuchsiapitch.OrderDone
		}
		e.stagedModels = []string{o.Model}
	}
	e.acceptedOrders++
	return fuchsiapitch.OrderStarted
}

// checkSingleMembership records a violation if an engine joins a formation while the
// leader of its current one is open, opening or closing.
func (sm *simulation) checkSingleMembership(e *simulatedEngine, o fuchsiapitch.GroupOrder) {
	if e.group.Name == "" {
		return
	}
	leader, ok := sm.engines[e.members[0]]
	if ok && !leader.dead && leader.group == e.group && (leader.state == fuchsiapitch.MemberOpen || leader.state == fuchsiapitch.MemberClosing || leader.openInProgress) {
		sm.violations = append(sm.violations, fmt.Sprintf("member of two groups: %s joins %s at %s while %s of %s is open", e.id, o.Group.Name, sm.now, e.group.Name, leader.id))
	}
}

// step advances the simulation by one step: the engines first, then the calls that are
// due, then the coordinators, which receive the server list every 800 ms and a tick
// every 50 ms.
func (sm *simulation) step() {
	sm.now += simulationStep
	for _, id := range sm.engineOrder {
		if e := sm.engines[id]; !e.dead {
			sm.advanceEngine(e)
		}
	}
	calls := sm.pendingCalls
	sm.pendingCalls = nil
	for _, c := range calls {
		switch {
		case c.dueAt > sm.now:
			sm.pendingCalls = append(sm.pendingCalls, c)
		case c.run != nil:
			c.run()
		case c.coordinatorIndex < len(sm.coordinators) && sm.coordinators[c.coordinatorIndex] != nil:
			sm.apply(c.coordinatorIndex, c.event())
		}
	}
	for n, c := range sm.coordinators {
		if c == nil {
			continue
		}
		if sm.now%(800*time.Millisecond) == 0 {
			sm.apply(n, ServersListed{Servers: sm.serverList()})
		}
		if sm.now%(50*time.Millisecond) == 0 {
			ticked := Ticked{}
			if sm.lastByteTimes != nil {
				ticked.LastByteTimes = sm.lastByteTimes()
			}
			sm.apply(n, ticked)
		}
	}
}

// advanceEngine advances one engine by one step and adds its report. It records a
// violation if a group opens and one of its members has never been ready in it.
func (sm *simulation) advanceEngine(e *simulatedEngine) {
	if sm.isReachable(e) {
		e.lastReachableAt = sm.now
	}
	switch {
	case e.state == fuchsiapitch.MemberJoining && sm.now >= e.transitionAt:
		e.state = fuchsiapitch.MemberReady
		e.readyFormations[e.group] = true
	case e.state == fuchsiapitch.MemberClosing && sm.now >= e.transitionAt:
		e.state = fuchsiapitch.MemberReady
	case e.openInProgress && sm.now >= e.transitionAt:
		e.openInProgress, e.state = false, fuchsiapitch.MemberOpen
		for _, m := range e.members {
			if o, ok := sm.engines[m]; ok && !o.readyFormations[e.group] {
				sm.violations = append(sm.violations, fmt.Sprintf("incomplete group: %s opens without %s", e.group.Name, m))
			}
		}
	}
	if e.state == fuchsiapitch.MemberOpen {
		sm.breakIfMemberMissing(e)
	}
	r := fuchsiapitch.ServerReport{
		ID: e.id, Service: "llm", Address: e.address, FabricDomain: fuchsiapitch.FabricDomainName(e.domain), Slots: 26,
		StartedUnixMillis: e.incarnation, AcceptedOrders: e.acceptedOrders, AcceptedOrdersKnown: true, OrderInProgress: e.openInProgress || e.state == fuchsiapitch.MemberJoining, StagedModels: e.stagedModels,
	}
	if e.group.Name != "" {
		r.LoadedModels = []string{e.model}
		r.Membership = fuchsiapitch.Membership{Group: e.group, Rank: rankOf(e.members, e.id), State: e.state}
	}
	e.reports = append(e.reports, r)
}

// isMemberMissing reports whether a leader cannot work, because a member of its group is
// not there.
func (sm *simulation) isMemberMissing(e *simulatedEngine) bool {
	for _, m := range e.members {
		o, ok := sm.engines[m]
		if !ok || o.dead || sm.now < o.isolatedUntil || sm.now < o.silentUntil || o.group != e.group {
			return true
		}
	}
	return sm.now < e.isolatedUntil
}

// breakIfMemberMissing breaks a group whose leader has been without a member for longer
// than the stall timeout.
func (sm *simulation) breakIfMemberMissing(e *simulatedEngine) {
	switch {
	case !sm.isMemberMissing(e):
		e.memberMissingSince = 0
	case e.memberMissingSince == 0:
		e.memberMissingSince = sm.now
	case sm.now-e.memberMissingSince > simulatedStallTimeout:
		e.state = fuchsiapitch.MemberBroken
	}
}

// serverList returns the platform's server list, which lags behind by lagSteps.
func (sm *simulation) serverList() []fuchsiapitch.ServerReport {
	if sm.now < sm.listFrozenUntil {
		return sm.frozenList
	}
	list := slices.Clone(sm.plainServers)
	const lagSteps = 60
	for _, id := range sm.engineOrder {
		e := sm.engines[id]
		if sm.now-e.lastReachableAt > simulatedListExpiry || e.domain == sm.unlistedDomain || e.unlisted || len(e.reports) == 0 {
			continue
		}
		r := e.reports[max(0, len(e.reports)-1-lagSteps)]
		r.AcceptedOrders, r.AcceptedOrdersKnown = 0, false
		list = append(list, r)
	}
	return list
}

// injectFault injects one random fault.
func (sm *simulation) injectFault() {
	e := sm.engines[sm.engineOrder[sm.rng.IntN(len(sm.engineOrder))]]
	switch sm.rng.IntN(14) {
	case 12, 13:
		sm.tellLeaving(e)
	case 0, 1:
		e.dead = true
	case 10:
		e.dead = true
		if _, taken := sm.engineAt(e.address); !taken {
			sm.reuseAddress(e)
		}
	case 2:
		e.isolatedUntil = sm.now + time.Duration(sm.rng.Int64N(int64(8*time.Second)))
	case 3:
		sm.restart(e)
	case 11:
		e.silentUntil = sm.now + time.Duration(sm.rng.Int64N(int64(5*time.Second)))
	case 4:
		sm.addEngine(e.domain, fmt.Sprintf("n%d", len(sm.engineOrder)))
	case 5:
		sm.partitionedDomain, sm.partitionedUntil = e.domain, sm.now+time.Duration(sm.rng.Int64N(int64(9*time.Second)))
	case 6:
		sm.lateOrderProbability = sm.rng.Float64() / 2
	case 7:
		e.unreachableUntil = sm.now + time.Duration(sm.rng.Int64N(int64(4*time.Second)))
	case 8:
		sm.listFrozenUntil, sm.frozenList = sm.now+time.Duration(sm.rng.Int64N(int64(9*time.Second))), sm.serverList()
	case 9:
		// A new controller starts. The old one stops at once, or continues until the
		// next one starts.
		if lastIndex := len(sm.coordinators) - 1; lastIndex > 0 {
			sm.coordinators[lastIndex-1] = nil
		}
		if sm.rng.IntN(2) == 0 {
			sm.coordinators[len(sm.coordinators)-1] = nil
		}
		sm.startController()
	}
}

// tellLeaving lets an engine tell the newest coordinator that it leaves, if that knows its
// incarnation.
func (sm *simulation) tellLeaving(e *simulatedEngine) {
	n := len(sm.coordinators) - 1
	c := sm.coordinators[n]
	if c == nil || !sm.isReachable(e) || c.servers[e.id] == nil || c.servers[e.id].report.StartedUnixMillis != e.incarnation {
		return
	}
	if sm.leavingTold == nil {
		sm.leavingTold = make(map[*Coordinator]map[fuchsiapitch.ServerID]int64)
	}
	if sm.leavingTold[c] == nil {
		sm.leavingTold[c] = make(map[fuchsiapitch.ServerID]int64)
	}
	sm.leavingTold[c][e.id] = e.incarnation
	sm.apply(n, NoticeReceived{Server: e.id, Notice: fuchsiapitch.ServerNotice{Leaving: true}})
}

// checkNotLeaving records a violation if an order prepares an engine for a group though it
// has told the coordinator that it leaves.
func (sm *simulation) checkNotLeaving(c *Coordinator, o fuchsiapitch.GroupOrder) {
	switch o.Kind {
	case fuchsiapitch.OrderJoin, fuchsiapitch.OrderStage, fuchsiapitch.OrderOpen:
		if started, ok := sm.leavingTold[c][o.Server]; ok && sm.engines[o.Server].incarnation == started {
			sm.violations = append(sm.violations, fmt.Sprintf("order to %s to %s at %s, which has said that it leaves", o.Kind, o.Server, sm.now))
		}
	case fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict, fuchsiapitch.OrderLeave:
	}
}

// restart starts a new incarnation of an engine, or only kills the engine if another one
// uses its address.
func (sm *simulation) restart(e *simulatedEngine) {
	restarted := &simulatedEngine{
		id: e.id, address: e.address, domain: e.domain, incarnation: e.incarnation + 1 + sm.now.Milliseconds(), stagedModels: e.stagedModels,
		// An open order was correct if all members have been ready, even if one has
		// restarted since.
		readyFormations: e.readyFormations, lastReachableAt: sm.now,
	}
	e.dead = true
	if _, taken := sm.engineAt(e.address); taken {
		return
	}
	sm.engines[e.id] = restarted
	sm.advanceEngine(restarted)
}

func (sm *simulation) countOpenGroups() int {
	n := 0
	for _, e := range sm.engines {
		if e.state == fuchsiapitch.MemberOpen && !e.dead {
			n++
		}
	}
	return n
}

func assertNoViolations(t *testing.T, sm *simulation) {
	t.Helper()
	if len(sm.violations) > 0 {
		t.Fatalf("got violation %q, want none", sm.violations[0])
	}
}

// run advances the simulation by a duration, or until the first violation.
func (sm *simulation) run(d time.Duration) {
	for end := sm.now + d; sm.now < end && len(sm.violations) == 0; {
		sm.step()
	}
}
