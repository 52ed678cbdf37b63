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

// maxDeedsPerSecond bounds the events of a simulated second. A run stays below a
// twentieth of it; effects that cause each other without end exceed it.
const maxDeedsPerSecond = 20_000

// deed is something that happens at a time of the world.
type deed struct {
	at    time.Duration
	order int
	do    func()
}

type deeds []deed

func (d deeds) Len() int { return len(d) }
func (d deeds) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), d[i].order-d[j].order) < 0
}
func (d deeds) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deeds) Push(x any)   { *d = append(*d, x.(deed)) }
func (d *deeds) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// node is one entry host of the world. Whatever reaches a paused node waits
// until the pause ends.
type node struct {
	host    fuchsiapitch.Host
	state   *State
	life    int
	dead    bool
	paused  bool
	still   time.Duration
	since   time.Duration
	freeze  bool
	offline bool
	cut     bool
	waiting []func()
	follows fuchsiapitch.Offset
	reading bool
	// inspected is the offset up to which the fold was last inspected.
	inspected fuchsiapitch.Offset
}

// fakeEngine is one backend server of the world.
type fakeEngine struct {
	server  fuchsiapitch.BackendServer
	account fuchsiapitch.Account
	dead    bool
	ready   time.Duration
	leaving bool
	lives   uint64
}

// world steps reducers against a log and engines in memory. It knows what
// really happens, which no host does.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	queue    deeds
	count    int
	nodes    []*node
	engines  []*fakeEngine
	records  []fuchsiapitch.Record
	logDown  bool
	loseLog  float64
	slowLog  bool
	late     bool
	fenced   bool
	config   fuchsiapitch.Configuration
	highest  fuchsiapitch.Term
	snapshot map[fuchsiapitch.Offset]string
	failure  string
	// deeds counts the events of the simulated second.
	deeds    int
	second   time.Duration
	orders   int
	asked    int
	finished int
}

const (
	worldHosts    = 4
	worldDomains  = 3
	worldPerRack  = 5
	worldGroup    = 2
	worldTick     = 200 * time.Millisecond
	worldLoadTime = 700 * time.Millisecond
)

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), fenced: seed%2 == 1,
		snapshot: make(map[fuchsiapitch.Offset]string),
	}
	w.configure(1, "1")
	for d := range worldDomains {
		for i := range worldPerRack {
			id := fuchsiapitch.ServerID(fmt.Sprintf("s%d%d", d, i))
			server := fuchsiapitch.NewBackendServer(id, fuchsiapitch.EngineServer, "127.0.0.1:9", "gt-xela",
				fuchsiapitch.WithFabricDomain(fuchsiapitch.FabricDomainName(fmt.Sprintf("rack-%d", d))))
			w.engines = append(w.engines, &fakeEngine{server: server})
		}
	}
	for i := range worldHosts {
		h := fuchsiapitch.NewHost(fuchsiapitch.HostID(fmt.Sprintf("host-%d", i)), "127.0.0.1:1", "gt-xela", 1)
		w.nodes = append(w.nodes, &node{host: h})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.every(worldTick, w.serveLog)
	w.every(time.Second, w.list)
	return w
}

func (w *world) configure(offset fuchsiapitch.Offset, version string) {
	options := []fuchsiapitch.ServiceOption{
		fuchsiapitch.WithModel("m", version),
		fuchsiapitch.WithReplicas(worldDomains*worldPerRack/worldGroup, worldGroup),
	}
	if w.fenced {
		options = append(options, fuchsiapitch.WithFencing())
	}
	rank := fuchsiapitch.NewRank("counter", 0, time.Second, time.Second, 1, 0)
	service := fuchsiapitch.NewService("redactor", fuchsiapitch.ModelService, "counter", options...)
	w.config = fuchsiapitch.NewConfiguration(offset, uint64(offset), []fuchsiapitch.Service{service}, nil, []fuchsiapitch.Rank{rank})
	for _, n := range w.nodes {
		w.tell(n, FleetDescribed{Configuration: w.config})
	}
}

// after has something done later.
func (w *world) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, deed{at: w.now + d, order: w.count, do: do})
}

func (w *world) every(period time.Duration, do func()) {
	w.after(period, func() {
		do()
		w.every(period, do)
	})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for w.failure == "" && len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(deed)
		if second := next.at.Truncate(time.Second); second != w.second {
			w.second, w.deeds = second, 0
		}
		w.now = next.at
		if w.deeds++; w.deeds > maxDeedsPerSecond {
			w.fail("storm: more than %d events in a second", maxDeedsPerSecond)
		}
		next.do()
	}
	w.now = end
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *world) fail(format string, arguments ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %s: %s", w.now, fmt.Sprintf(format, arguments...))
	}
}

// start begins a new life of a host, which knows nothing of its earlier ones.
func (w *world) start(n *node) {
	n.life++
	n.host = fuchsiapitch.NewHost(n.host.ID(), n.host.Address(), "gt-xela", uint64(n.life)*1000)
	candidates := make([]fuchsiapitch.Host, 0, len(w.nodes))
	for _, o := range w.nodes {
		candidates = append(candidates, o.host)
	}
	n.state = New(n.host, WithCandidates(candidates...))
	n.dead, n.paused, n.reading, n.waiting, n.follows, n.still = false, false, false, nil, 0, 0
	w.tell(n, FleetDescribed{Configuration: w.config})
	w.tickNode(n, n.life)
}

func (w *world) tickNode(n *node, life int) {
	w.after(worldTick, func() {
		if n.life == life && !n.dead {
			if !n.paused {
				w.tell(n, Ticked{})
			}
			w.tickNode(n, life)
		}
	})
}

// on has something done by a host, after its pause if it is paused. It is lost
// when the host dies first.
func (w *world) on(n *node, life int, do func()) {
	switch {
	case n.dead || n.life != life:
	case n.paused:
		n.waiting = append(n.waiting, func() { w.on(n, life, do) })
	default:
		do()
	}
}

func (n *node) instant(now time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(now-n.still, time.Unix(1000, 0).Add(now))
}

func (w *world) pause(n *node, d time.Duration, freeze bool) {
	if n.dead || n.paused {
		return
	}
	n.paused, n.since, n.freeze = true, w.now, freeze
	life := n.life
	w.after(d, func() { w.resume(n, life) })
}

func (w *world) resume(n *node, life int) {
	if n.dead || n.life != life || !n.paused {
		return
	}
	n.paused = false
	if n.freeze {
		n.still += w.now - n.since
	}
	waiting := n.waiting
	n.waiting = nil
	for _, do := range waiting {
		do()
	}
}

func (w *world) kill(n *node) { n.dead, n.waiting = true, nil }

// tell gives an event to a host and has the effects carried out.
func (w *world) tell(n *node, event Event) {
	if n.dead || w.failure != "" {
		return
	}
	life := n.life
	w.on(n, life, func() {
		for _, e := range n.state.Apply(n.instant(w.now), event) {
			w.carryOut(n, life, e)
		}
		w.inspect(n)
	})
}

func (w *world) carryOut(n *node, life int, effect Effect) {
	// A pause between the decision and its execution is as likely as any other.
	w.after(w.between(0, 3*time.Millisecond), func() {
		w.on(n, life, func() { w.execute(n, life, effect) })
	})
}

func (w *world) execute(n *node, life int, effect Effect) {
	switch e := effect.(type) {
	case ReportViolation:
		w.fail("%s: %v", n.host.ID(), e.Violation)
	case FollowStream:
		n.follows, n.reading = e.From, false
	case AppendRecord:
		w.appendRecord(n, life, e)
	case SendHeartbeat:
		w.sendHeartbeat(n, life, e)
	case ProbeServer:
		w.probe(n, life, e)
	case GiveOrder:
		w.giveOrder(n, life, e)
	case StartAttempt:
		w.attempt(n, life, e)
	case ForwardRequest:
		w.forward(n, life, e)
	case FinishRequest:
		w.finished++
	}
}

func (w *world) reply(n *node, life int, delay time.Duration, event Event) {
	w.after(delay, func() { w.on(n, life, func() { w.tell(n, event) }) })
}

// inspect checks that two hosts that have read as far agree.
func (w *world) inspect(n *node) {
	fold := n.state.groups.Committed()
	if n.inspected == fold.NextOffset() {
		return
	}
	n.inspected = fold.NextOffset()
	got := fmt.Sprintf("%+v", fold.Snapshot())
	if want, ok := w.snapshot[fold.NextOffset()]; ok && fold.IsComplete() && want != got {
		w.fail("two folds up to %d differ: %s and %s", fold.NextOffset(), want, got)
	}
	w.snapshot[fold.NextOffset()] = got
}
