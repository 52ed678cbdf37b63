package reducer

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// maxEventsPerSecond bounds the events of a simulated second. A normal run
// stays below 5 % of it; an endless loop of effects and events exceeds it.
const maxEventsPerSecond = 20_000

// scheduledEvent is an action at a simulated time. Actions at the same time run in
// the order of their sequence numbers.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of scheduled events.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].sequence-q[j].sequence) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	lastIndex := len(*q) - 1
	x := (*q)[lastIndex]
	*q = (*q)[:lastIndex]
	return x
}

// simulatedNode is one entry host of the simulation. Events for a paused node are
// deferred until the pause ends.
type simulatedNode struct {
	host           fuchsiapitch.Host
	state          *State
	generation     int
	dead           bool
	paused         bool
	clockFrozenFor time.Duration
	pausedAt       time.Duration
	freezesClock   bool
	logUnreachable bool
	partitioned    bool
	deferred       []func()
	nextOffset     fuchsiapitch.Offset
	readInFlight   bool
	// checkedOffset is the next offset of the state machine at its last check.
	checkedOffset fuchsiapitch.Offset
}

// fakeEngine is one backend server of the simulation.
type fakeEngine struct {
	server      fuchsiapitch.BackendServer
	status      fuchsiapitch.EngineStatus
	dead        bool
	readyAt     time.Duration
	leaving     bool
	incarnation uint64
}

// groupSimulation runs reducers against a log and engines in memory, in virtual
// time. It checks the hosts against the true state of the log and the engines.
type groupSimulation struct {
	t                      *testing.T
	rng                    *rand.Rand
	now                    time.Duration
	queue                  eventQueue
	scheduledCount         int
	nodes                  []*simulatedNode
	engines                []*fakeEngine
	records                []fuchsiapitch.Record
	logUnavailable         bool
	appendResponseLossRate float64
	slowLog                bool
	delayOrders            bool
	fencing                bool
	config                 fuchsiapitch.Configuration
	highestTermSent        fuchsiapitch.Term
	snapshots              map[fuchsiapitch.Offset]string
	failure                string
	// eventsInSecond is the number of events in currentSecond.
	eventsInSecond int
	currentSecond  time.Duration
	orderCount     int
	requestCount   int
	finishedCount  int
}

const (
	hostCount        = 4
	domainCount      = 3
	serversPerDomain = 5
	groupSize        = 2
	simulationTick   = 200 * time.Millisecond
	maxModelLoadTime = 700 * time.Millisecond
)

func newGroupSimulation(t *testing.T, seed uint64) *groupSimulation {
	t.Helper()
	sm := &groupSimulation{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), fencing: seed%2 == 1,
		snapshots: make(map[fuchsiapitch.Offset]string),
	}
	sm.configure(1, "1")
	for d := range domainCount {
		for i := range serversPerDomain {
			id := fuchsiapitch.ServerID(fmt.Sprintf("s%d%d", d, i))
			server := fuchsiapitch.NewBackendServer(id, fuchsiapitch.EngineServer, "127.0.0.1:9", "gt-xela",
				fuchsiapitch.WithFabricDomain(fuchsiapitch.FabricDomainName(fmt.Sprintf("rack-%d", d))))
			sm.engines = append(sm.engines, &fakeEngine{server: server})
		}
	}
	for i := range hostCount {
		h := fuchsiapitch.NewHost(fuchsiapitch.HostID(fmt.Sprintf("host-%d", i)), "127.0.0.1:1", "gt-xela", 1)
		sm.nodes = append(sm.nodes, &simulatedNode{host: h})
	}
	for _, n := range sm.nodes {
		sm.start(n)
	}
	sm.scheduleEvery(simulationTick, sm.serveLog)
	sm.scheduleEvery(time.Second, sm.listServers)
	return sm
}

func (sm *groupSimulation) configure(offset fuchsiapitch.Offset, version string) {
	options := []fuchsiapitch.ServiceOption{
		fuchsiapitch.WithModel("m", version),
		fuchsiapitch.WithReplicas(domainCount*serversPerDomain/groupSize, groupSize),
	}
	if sm.fencing {
		options = append(options, fuchsiapitch.WithFencing())
	}
	rank := fuchsiapitch.NewRank("counter", 0, time.Second, time.Second, 1, 0)
	service := fuchsiapitch.NewService("redactor", fuchsiapitch.ModelService, "counter", options...)
	sm.config = fuchsiapitch.NewConfiguration(offset, uint64(offset), []fuchsiapitch.Service{service}, nil, []fuchsiapitch.Rank{rank})
	for _, n := range sm.nodes {
		sm.deliver(n, FleetOverridden{Configuration: sm.config})
	}
}

// schedule runs an action after a delay.
func (sm *groupSimulation) schedule(d time.Duration, run func()) {
	sm.scheduledCount++
	heap.Push(&sm.queue, scheduledEvent{at: sm.now + d, sequence: sm.scheduledCount, run: run})
}

func (sm *groupSimulation) scheduleEvery(period time.Duration, run func()) {
	sm.schedule(period, func() {
		run()
		sm.scheduleEvery(period, run)
	})
}

// advance advances the virtual time and runs the events that are due.
func (sm *groupSimulation) advance(d time.Duration) {
	end := sm.now + d
	for sm.failure == "" && len(sm.queue) > 0 && sm.queue[0].at <= end {
		nextEvent := heap.Pop(&sm.queue).(scheduledEvent)
		if second := nextEvent.at.Truncate(time.Second); second != sm.currentSecond {
			sm.currentSecond, sm.eventsInSecond = second, 0
		}
		sm.now = nextEvent.at
		if sm.eventsInSecond++; sm.eventsInSecond > maxEventsPerSecond {
			sm.fail("event storm: more than %d events in a second", maxEventsPerSecond)
		}
		nextEvent.run()
	}
	sm.now = end
}

func (sm *groupSimulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sm.rng.Int64N(int64(high-low)))
}

func (sm *groupSimulation) fail(format string, arguments ...any) {
	if sm.failure == "" {
		sm.failure = fmt.Sprintf("at %s: %s", sm.now, fmt.Sprintf(format, arguments...))
	}
}

// start starts a new process of a host with an empty state.
func (sm *groupSimulation) start(n *simulatedNode) {
	n.generation++
	n.host = fuchsiapitch.NewHost(n.host.ID(), n.host.Address(), "gt-xela", uint64(n.generation)*1000)
	candidates := make([]fuchsiapitch.Host, 0, len(sm.nodes))
	for _, o := range sm.nodes {
		candidates = append(candidates, o.host)
	}
	n.state = New(n.host, WithCandidates(candidates...))
	n.dead, n.paused, n.readInFlight, n.deferred, n.nextOffset, n.clockFrozenFor = false, false, false, nil, 0, 0
	sm.deliver(n, FleetOverridden{Configuration: sm.config})
	sm.tickNode(n, n.generation)
}

func (sm *groupSimulation) tickNode(n *simulatedNode, generation int) {
	sm.schedule(simulationTick, func() {
		if n.generation == generation && !n.dead {
			if !n.paused {
				sm.deliver(n, Ticked{})
			}
			sm.tickNode(n, generation)
		}
	})
}

// runOnNode runs an action in one process generation of a host, after the pause
// if the host is paused. The action is dropped if the host dies first.
func (sm *groupSimulation) runOnNode(n *simulatedNode, generation int, run func()) {
	switch {
	case n.dead || n.generation != generation:
	case n.paused:
		n.deferred = append(n.deferred, func() { sm.runOnNode(n, generation, run) })
	default:
		run()
	}
}

func (n *simulatedNode) instant(now time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(now-n.clockFrozenFor, time.Unix(1000, 0).Add(now))
}

func (sm *groupSimulation) pause(n *simulatedNode, d time.Duration, freeze bool) {
	if n.dead || n.paused {
		return
	}
	n.paused, n.pausedAt, n.freezesClock = true, sm.now, freeze
	generation := n.generation
	sm.schedule(d, func() { sm.resume(n, generation) })
}

func (sm *groupSimulation) resume(n *simulatedNode, generation int) {
	if n.dead || n.generation != generation || !n.paused {
		return
	}
	n.paused = false
	if n.freezesClock {
		n.clockFrozenFor += sm.now - n.pausedAt
	}
	deferredActions := n.deferred
	n.deferred = nil
	for _, run := range deferredActions {
		run()
	}
}

func (sm *groupSimulation) kill(n *simulatedNode) { n.dead, n.deferred = true, nil }

// deliver applies an event to a host and schedules the resulting effects.
func (sm *groupSimulation) deliver(n *simulatedNode, event Event) {
	if n.dead || sm.failure != "" {
		return
	}
	generation := n.generation
	sm.runOnNode(n, generation, func() {
		for _, e := range n.state.Apply(n.instant(sm.now), event) {
			sm.scheduleEffect(n, generation, e)
		}
		sm.checkStateAgreement(n)
	})
}

func (sm *groupSimulation) scheduleEffect(n *simulatedNode, generation int, effect Effect) {
	// With the delay, a pause can begin between a decision and its execution.
	sm.schedule(sm.randomDuration(0, 3*time.Millisecond), func() {
		sm.runOnNode(n, generation, func() { sm.execute(n, generation, effect) })
	})
}

func (sm *groupSimulation) execute(n *simulatedNode, generation int, effect Effect) {
	switch e := effect.(type) {
	case ReportViolation:
		sm.fail("%s: %v", n.host.ID(), e.Violation)
	case FollowStream:
		n.nextOffset, n.readInFlight = e.From, false
	case AppendRecord:
		sm.appendRecord(n, generation, e)
	case SendHeartbeat:
		sm.sendHeartbeat(n, generation, e)
	case ProbeServer:
		sm.probeServer(n, generation, e)
	case SendOrder:
		sm.sendOrder(n, generation, e)
	case StartAttempt:
		sm.runAttempt(n, generation, e)
	case ForwardRequest:
		sm.forward(n, generation, e)
	case FinishRequest:
		sm.finishedCount++
	}
}

func (sm *groupSimulation) deliverAfter(n *simulatedNode, generation int, delay time.Duration, event Event) {
	sm.schedule(delay, func() { sm.runOnNode(n, generation, func() { sm.deliver(n, event) }) })
}

// checkStateAgreement checks that hosts that have applied the group stream up
// to the same offset have equal state machines.
func (sm *groupSimulation) checkStateAgreement(n *simulatedNode) {
	stateMachine := n.state.groups.Committed()
	if n.checkedOffset == stateMachine.NextOffset() {
		return
	}
	n.checkedOffset = stateMachine.NextOffset()
	got := fmt.Sprintf("%+v", stateMachine.Snapshot())
	if want, ok := sm.snapshots[stateMachine.NextOffset()]; ok && stateMachine.IsComplete() && want != got {
		sm.fail("two state machines at offset %d differ: %s and %s", stateMachine.NextOffset(), want, got)
	}
	sm.snapshots[stateMachine.NextOffset()] = got
}
