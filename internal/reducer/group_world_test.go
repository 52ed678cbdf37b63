package reducer

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
)

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
		w.now = next.at
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

// ask has a caller send a request to a host.
func (w *world) ask(n *node) {
	w.asked++
	w.tell(n, RequestReceived{Request: w.newRequest(fuchsiapitch.RequestID(fmt.Sprintf("r%d", w.asked)))})
}

func (w *world) newRequest(id fuchsiapitch.RequestID) fuchsiapitch.Request {
	return fuchsiapitch.NewRequest(id, "redactor", "customer", "counter",
		fuchsiapitch.WithTimeLimit(time.Minute), fuchsiapitch.WithRepeatable(), fuchsiapitch.WithTokenStream())
}

// attempt runs a request, which is lost when the leader of its group dies.
func (w *world) attempt(n *node, life int, e StartAttempt) {
	b := w.engine(e.Replica.Server().ID())
	progressed := AttemptProgressed{Request: e.Request, Attempt: e.Attempt, Tokens: 1, Elapsed: time.Millisecond}
	w.reply(n, life, w.between(0, 100*time.Millisecond), progressed)
	w.after(w.between(100*time.Millisecond, time.Second), func() {
		ended := AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: fuchsiapitch.Succeeded, Tokens: e.Offset + 2}
		if b.dead {
			ended.Outcome, ended.Unreachable = fuchsiapitch.Unknown, w.random.IntN(2) == 0
		}
		w.reply(n, life, 0, ended)
	})
}

// forward hands a request to its dispatcher under another name, since its end
// there does not matter here.
func (w *world) forward(n *node, life int, e ForwardRequest) {
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.host.ID() == e.Host.ID() })
	peer := w.nodes[i]
	ended := ForwardEnded{Request: e.Request, Attempt: e.Attempt, Host: e.Host.ID(), Outcome: fuchsiapitch.Succeeded, Tokens: e.Offset}
	if peer.dead || n.cut != peer.cut {
		ended.Outcome, ended.Unreachable = fuchsiapitch.NotRun, true
	} else {
		w.tell(peer, RequestOffered{Request: w.newRequest(e.Request + "'"), From: n.host})
	}
	w.reply(n, life, w.between(0, time.Second), ended)
}

func (w *world) reply(n *node, life int, delay time.Duration, event Event) {
	w.after(delay, func() { w.on(n, life, func() { w.tell(n, event) }) })
}

func (w *world) sendHeartbeat(n *node, life int, e SendHeartbeat) {
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.host.ID() == e.To.ID() })
	peer := w.nodes[i]
	if peer.dead || n.cut != peer.cut {
		w.reply(n, life, 800*time.Millisecond, HeartbeatFailed{Host: e.To.ID()})
		return
	}
	peerLife := peer.life
	w.after(w.between(0, 20*time.Millisecond), func() {
		w.on(peer, peerLife, func() {
			w.tell(peer, HeartbeatReceived{Heartbeat: e.Heartbeat})
			w.reply(n, life, w.between(0, 20*time.Millisecond), HeartbeatReceived{Heartbeat: peer.state.ComposeHeartbeat()})
		})
	})
}

func (w *world) engine(id fuchsiapitch.ServerID) *fakeEngine {
	return w.engines[slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.server.ID() == id })]
}

func (e *fakeEngine) report(now time.Duration) fuchsiapitch.Account {
	var options []fuchsiapitch.AccountOption
	if e.account.Assignment().Group() != "" && now >= e.ready {
		options = append(options, fuchsiapitch.WithReady())
	}
	if e.leaving {
		options = append(options, fuchsiapitch.WithAccountLeaving())
	}
	return fuchsiapitch.NewAccount(e.server.ID(), e.lives, e.account.Fence(), e.account.Assignment(), options...)
}

func (w *world) probe(n *node, life int, e ProbeServer) {
	b := w.engine(e.Server.ID())
	w.after(w.between(0, 10*time.Millisecond), func() {
		if b.dead {
			w.reply(n, life, w.between(0, 800*time.Millisecond), ServerSilent{Server: b.server.ID()})
			return
		}
		w.reply(n, life, w.between(0, 10*time.Millisecond), ServerReported{Account: b.report(w.now)})
	})
}

// giveOrder sends an order as the runner does: both clocks are read right
// before. The order may arrive late, and its answer may be lost.
func (w *world) giveOrder(n *node, life int, e GiveOrder) {
	ended := OrderEnded{Server: e.Server.ID(), Fence: e.Order.Fence(), Outcome: fuchsiapitch.NotRun}
	now := n.instant(w.now)
	if now.Monotonic() >= e.Expiry.Monotonic() || !now.Wall().Before(e.Expiry.Wall()) {
		w.reply(n, life, 0, ended)
		return
	}
	term := e.Order.Fence().Term()
	if term < w.highest {
		w.fail("%s sent an order of term %d after one of term %d", n.host.ID(), term, w.highest)
	}
	w.highest = max(w.highest, term)
	w.orders++
	delay := w.between(0, 10*time.Millisecond)
	if w.late && w.random.IntN(3) == 0 {
		delay = w.between(0, grouper.OrderTime)
	}
	w.after(delay, func() { w.takeOrder(n, life, e, ended) })
}

func (w *world) takeOrder(n *node, life int, e GiveOrder, ended OrderEnded) {
	b := w.engine(e.Server.ID())
	fence := e.Order.Fence()
	if !w.fenced && fence.Term() < w.highest {
		w.fail("an order of term %d took effect after one of term %d was sent", fence.Term(), w.highest)
	}
	ended.Outcome = fuchsiapitch.Unknown
	if b.dead {
		w.reply(n, life, time.Second, ended)
		return
	}
	if w.fenced && fence.Less(b.account.Fence()) {
		ended.Outcome = fuchsiapitch.Failed
		w.reply(n, life, 0, ended)
		return
	}
	old, next := b.account.Assignment(), e.Order.Assignment()
	if old.Model() != next.Model() || old.Version() != next.Version() {
		b.ready = w.now + w.between(0, worldLoadTime)
	}
	b.account = fuchsiapitch.NewAccount(b.server.ID(), b.lives, fence, next)
	if w.random.IntN(10) == 0 {
		w.reply(n, life, 2*time.Second, ended)
		return
	}
	ended.Outcome, ended.Account = fuchsiapitch.Succeeded, b.report(w.now)
	w.reply(n, life, w.between(0, 10*time.Millisecond), ended)
}

func (w *world) appendRecord(n *node, life int, e AppendRecord) {
	ended := AppendEnded{Stream: e.Stream, Record: e.Record.ID(), Result: NotAppended}
	if w.logDown || n.offline {
		w.reply(n, life, w.between(0, time.Second), ended)
		return
	}
	delay := w.between(0, 20*time.Millisecond)
	if w.slowLog {
		delay = w.between(0, 3*time.Second)
	}
	w.after(delay, func() {
		w.records = append(w.records, e.Record.At(fuchsiapitch.Offset(len(w.records)+1)))
		ended.Result, ended.Offset = Appended, fuchsiapitch.Offset(len(w.records))
		if w.random.Float64() < w.loseLog {
			ended.Result = MaybeAppended
		}
		w.reply(n, life, w.between(0, 20*time.Millisecond), ended)
	})
}

// serveLog lets every host read on. An answer may be on its way when its reader
// is paused, and is late when the log is slow.
func (w *world) serveLog() {
	for _, n := range w.nodes {
		if n.dead || n.paused || n.follows == 0 || n.reading {
			continue
		}
		stream, life := n.state.groupStream(), n.life
		if w.logDown || n.offline {
			w.tell(n, ReadFailed{Stream: stream})
			continue
		}
		from := min(int(n.follows)-1, len(w.records))
		batch := fuchsiapitch.NewBatch(slices.Clone(w.records[from:]), 1, fuchsiapitch.Offset(len(w.records)+1))
		delay := w.between(0, 50*time.Millisecond)
		if w.slowLog {
			delay = w.between(0, 5*time.Second)
		}
		n.reading = true
		w.after(delay, func() {
			w.on(n, life, func() {
				n.reading, n.follows = false, batch.Next()
				w.tell(n, RecordsRead{Stream: stream, Batch: batch})
			})
		})
	}
}

func (w *world) list() {
	var servers []fuchsiapitch.BackendServer
	for _, e := range w.engines {
		s := e.server
		if e.leaving {
			s = fuchsiapitch.NewBackendServer(s.ID(), s.Kind(), s.Address(), s.DataCentre(),
				fuchsiapitch.WithFabricDomain(s.FabricDomain()), fuchsiapitch.WithLeaving())
		}
		servers = append(servers, s)
	}
	for _, n := range w.nodes {
		w.tell(n, ServersListed{Servers: servers})
	}
}

// inspect checks that two hosts that have read as far agree.
func (w *world) inspect(n *node) {
	fold := n.state.groups.Fold()
	if n.inspected == fold.Next() {
		return
	}
	n.inspected = fold.Next()
	got := fmt.Sprintf("%+v", fold.Snapshot())
	if want, ok := w.snapshot[fold.Next()]; ok && fold.Known() && want != got {
		w.fail("two folds up to %d differ: %s and %s", fold.Next(), want, got)
	}
	w.snapshot[fold.Next()] = got
}
