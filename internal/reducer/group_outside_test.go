package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
)

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
		delay = w.between(0, grouper.MaxOrderDelay)
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
