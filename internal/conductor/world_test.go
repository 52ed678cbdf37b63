package conductor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	worldStep   = 10 * time.Millisecond
	worldStall  = 4 * time.Second
	worldLag    = 200 * time.Millisecond
	worldExpiry = 3600 * time.Millisecond
	worldLoad   = 3 * time.Second
	worldWarm   = 500 * time.Millisecond
	worldForm   = 300 * time.Millisecond
)

// engine is a stand-in of one model engine that follows the rules of orders.
type engine struct {
	id       fuchsiapitch.ServerID
	address  string
	domain   string
	started  int64
	orders   int64
	group    fuchsiapitch.GroupRef
	members  []fuchsiapitch.ServerID
	state    fuchsiapitch.MemberState
	changeAt time.Duration
	opening  bool
	model    string
	last     string
	staged   []string
	epoch    int64
	// lostMember is since when the leader misses a member, 0 if it misses none.
	lostMember time.Duration
	dead       bool
	darkUntil  time.Duration
	// hiddenUntil is until when nobody outside its group reaches the engine.
	hiddenUntil time.Duration
	lastBeat    time.Duration
	wasReady    map[fuchsiapitch.GroupRef]bool
	history     []fuchsiapitch.ServerReport
}

type pendingCall struct {
	at    time.Duration
	event func() Event
	run   func()
	owner int
}

// world plays engines, the platform's list and a network around conductors.
type world struct {
	random     *rand.Rand
	now        time.Duration
	engines    map[fuchsiapitch.ServerID]*engine
	order      []fuchsiapitch.ServerID
	conductors []*Conductor
	cutUntil   time.Duration
	cutDomain  string
	late       float64
	calls      []pendingCall
	broken     []string
	claims     int64
	// stages counts the orders to stage that were taken.
	stages int
	// table is the configuration, and refusedLeaves the number of orders to leave
	// that are refused next.
	table         *fuchsiapitch.RouteTable
	refusedLeaves int
	// unlistedDomain is a domain whose servers do not reach the list.
	unlistedDomain string
	// frozen is the list that is read until the servers can write to it again.
	frozen      []fuchsiapitch.ServerReport
	frozenUntil time.Duration
}

func newWorld(seed uint64) *world {
	return newWorldOf(seed, worldTable(), 11)
}

// newWorldOf returns a world of two domains with a number of servers each.
func newWorldOf(seed uint64, table *fuchsiapitch.RouteTable, servers int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), engines: make(map[fuchsiapitch.ServerID]*engine), table: table}
	for d := range 2 {
		for n := range servers {
			w.add(fmt.Sprintf("d%d", d), fmt.Sprintf("s%d-%02d", d, n))
		}
	}
	return w
}

func (w *world) add(domain, id string) {
	e := &engine{id: fuchsiapitch.ServerID(id), address: id, domain: domain, started: 1 + w.now.Milliseconds(), wasReady: make(map[fuchsiapitch.GroupRef]bool), lastBeat: w.now}
	w.engines[e.id] = e
	w.order = append(w.order, e.id)
}

func worldTable() *fuchsiapitch.RouteTable {
	return tableOf(
		fuchsiapitch.Model{Name: "large", Size: 6, Share: 0.67, Pace: 1, Load: worldLoad, Warm: worldWarm},
		fuchsiapitch.Model{Name: "small", Size: 3, Share: 0.33, Pace: 0.6, Load: worldLoad, Warm: worldWarm},
	)
}

// tableOf returns a configuration with one service of some models.
func tableOf(models ...fuchsiapitch.Model) *fuchsiapitch.RouteTable {
	profile := &fuchsiapitch.EngineProfile{
		Slots: 26, Step: 6450 * time.Microsecond, StepPerSequence: 97 * time.Microsecond, Stride: 6, ReadPerSecond: 56000, LoadsPerSecond: 5.5, LoadsAtOnce: 8, Form: worldForm, ReportLag: worldLag,
		Models: models,
	}
	return fuchsiapitch.NewRouteTable(1, nil, []fuchsiapitch.ServiceProfile{{Name: "llm", Engine: profile}}, nil, false, fuchsiapitch.CallerLimits{})
}

// lead starts a conductor that holds a new claim.
func (w *world) lead() {
	w.claims++
	id := fuchsiapitch.HostID(fmt.Sprintf("h%d", w.claims))
	c := New(Peer{ID: id}, w.claims, WithStall(worldStall))
	w.conductors = append(w.conductors, c)
	n := len(w.conductors) - 1
	w.feed(n, Configured{Table: w.table})
	w.feed(n, ClaimRead{Number: w.claims, Holder: id, Started: w.claims})
}

func (w *world) feed(n int, e Event) {
	for _, effect := range w.conductors[n].Apply(w.now, e) {
		switch f := effect.(type) {
		case AskReport:
			w.report(n, f)
		case GiveOrder:
			w.give(n, f.Order)
		}
	}
	if got := w.conductors[n].Violations(); got != 0 {
		w.broken = append(w.broken, "an invariant of the conductor")
	}
}

func (w *world) reachable(e *engine) bool {
	return !e.dead && w.now >= e.darkUntil && w.now >= e.hiddenUntil && (w.now >= w.cutUntil || e.domain != w.cutDomain)
}

// at returns the engine that answers at an address. The last that came there counts.
func (w *world) at(address string) (*engine, bool) {
	for n := len(w.order) - 1; n >= 0; n-- {
		if e := w.engines[w.order[n]]; e.address == address && !e.dead {
			return e, true
		}
	}
	return nil, false
}

// takeAddress starts a new engine at the address of a dead one.
func (w *world) takeAddress(e *engine) *engine {
	id := fmt.Sprintf("n%d", len(w.order))
	w.add(e.domain, id)
	next := w.engines[fuchsiapitch.ServerID(id)]
	next.address = e.address
	w.live(next)
	return next
}

// report answers what a server says of itself, which does not name it.
func (w *world) report(n int, ask AskReport) {
	id := ask.Server
	e, ok := w.at(ask.Address)
	if !ok || !w.reachable(e) {
		w.calls = append(w.calls, pendingCall{at: w.now + 200*time.Millisecond, owner: n, event: func() Event {
			return Reported{Server: id, Err: &fuchsiapitch.UnreachableError{Address: string(id)}}
		}})
		return
	}
	old := e.history[max(0, len(e.history)-1-int(worldLag/worldStep))]
	if old.Started != e.started {
		old = e.history[len(e.history)-1]
	}
	var named fuchsiapitch.ServerID
	if old.Started > ask.Started {
		named = e.id
	}
	w.calls = append(w.calls, pendingCall{at: w.now + worldStep, owner: n, event: func() Event { return Reported{Server: id, Named: named, Report: old} }})
}

func (w *world) give(n int, o fuchsiapitch.GroupOrder) {
	unknown := func() Event { return Ordered{Order: o, Answer: fuchsiapitch.OrderUnknown} }
	e, ok := w.at(o.Address)
	if !ok || !w.reachable(e) {
		w.calls = append(w.calls, pendingCall{at: w.now + 500*time.Millisecond, owner: n, event: unknown})
		return
	}
	if e.id != o.Server {
		w.calls = append(w.calls, pendingCall{at: w.now + worldStep, owner: n, event: func() Event {
			return Ordered{Order: o, Answer: fuchsiapitch.OrderMisdirected}
		}})
		return
	}
	if w.random.Float64() < w.late {
		started := e.started
		delay := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
		w.calls = append(w.calls, pendingCall{at: w.now + 500*time.Millisecond, owner: n, event: unknown},
			pendingCall{at: w.now + delay, owner: -1, run: func() {
				if e.started == started && !e.dead {
					w.carryOut(e, o)
				}
			}})
		return
	}
	answer := w.carryOut(e, o)
	if w.random.Float64() < w.late/4 {
		w.calls = append(w.calls, pendingCall{at: w.now + 500*time.Millisecond, owner: n, event: unknown})
		return
	}
	w.calls = append(w.calls, pendingCall{at: w.now + worldStep, owner: n, event: func() Event { return Ordered{Order: o, Answer: answer} }})
}

// carryOut has an engine take an order and checks what must never be.
func (w *world) carryOut(e *engine, o fuchsiapitch.GroupOrder) fuchsiapitch.OrderAnswer {
	if o.After != e.orders {
		return fuchsiapitch.OrderRefused
	}
	same := e.group == o.Group && o.Group.Name != ""
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if o.Group.Epoch < e.epoch || same {
			return fuchsiapitch.OrderRefused
		}
		w.checkTwo(e, o)
		took := worldLoad
		switch {
		case e.last == o.Model:
			took = 200 * time.Millisecond
		case len(e.staged) > 0 && e.staged[0] == o.Model:
			took = worldWarm
		}
		e.epoch, e.group, e.members, e.state = o.Group.Epoch, o.Group, o.Members, fuchsiapitch.MemberJoining
		e.changeAt, e.opening, e.lostMember = w.now+took, false, 0
		e.model, e.last, e.staged = o.Model, o.Model, []string{o.Model}
	case fuchsiapitch.OrderOpen:
		if !same || e.members[0] != e.id || e.state != fuchsiapitch.MemberReady || e.opening {
			return fuchsiapitch.OrderRefused
		}
		e.opening, e.changeAt = true, w.now+worldForm
	case fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict:
		if !same || e.state != fuchsiapitch.MemberOpen {
			return fuchsiapitch.OrderRefused
		}
		e.state = fuchsiapitch.MemberReady
		e.orders++
		return fuchsiapitch.OrderDone
	case fuchsiapitch.OrderLeave:
		if w.refusedLeaves > 0 {
			w.refusedLeaves--
			return fuchsiapitch.OrderRefused
		}
		if !same {
			return fuchsiapitch.OrderRefused
		}
		e.group, e.state, e.members = fuchsiapitch.GroupRef{}, 0, nil
		e.orders++
		return fuchsiapitch.OrderDone
	case fuchsiapitch.OrderStage:
		w.stages++
		if slices.Contains(e.staged, o.Model) {
			return fuchsiapitch.OrderDone
		}
		e.staged = []string{o.Model}
	}
	e.orders++
	return fuchsiapitch.OrderBegun
}

func (w *world) checkTwo(e *engine, o fuchsiapitch.GroupOrder) {
	if e.group.Name == "" {
		return
	}
	head, ok := w.engines[e.members[0]]
	if ok && !head.dead && head.group == e.group && (head.state == fuchsiapitch.MemberOpen || head.opening) {
		w.broken = append(w.broken, fmt.Sprintf("two: %s joins %s at %s while %s of %s is open", e.id, o.Group.Name, w.now, e.group.Name, head.id))
	}
}

// step advances the world by one step.
func (w *world) step() {
	w.now += worldStep
	for _, id := range w.order {
		if e := w.engines[id]; !e.dead {
			w.live(e)
		}
	}
	due := w.calls
	w.calls = nil
	for _, c := range due {
		switch {
		case c.at > w.now:
			w.calls = append(w.calls, c)
		case c.run != nil:
			c.run()
		case c.owner < len(w.conductors) && w.conductors[c.owner] != nil:
			w.feed(c.owner, c.event())
		}
	}
	for n, c := range w.conductors {
		if c == nil {
			continue
		}
		if w.now%(800*time.Millisecond) == 0 {
			w.feed(n, ServersListed{Servers: w.list()})
		}
		if w.now%(50*time.Millisecond) == 0 {
			w.feed(n, Ticked{})
		}
	}
}

// live advances one engine.
func (w *world) live(e *engine) {
	if w.reachable(e) {
		e.lastBeat = w.now
	}
	switch {
	case e.state == fuchsiapitch.MemberJoining && w.now >= e.changeAt:
		e.state = fuchsiapitch.MemberReady
		e.wasReady[e.group] = true
	case e.opening && w.now >= e.changeAt:
		e.opening, e.state = false, fuchsiapitch.MemberOpen
		for _, m := range e.members {
			if o, ok := w.engines[m]; ok && !o.wasReady[e.group] {
				w.broken = append(w.broken, fmt.Sprintf("partial: %s opens without %s", e.group.Name, m))
			}
		}
	}
	if e.state == fuchsiapitch.MemberOpen {
		w.missMembers(e)
	}
	r := fuchsiapitch.ServerReport{
		ID: e.id, Service: "llm", Address: e.address, Domain: fuchsiapitch.FabricDomainName(e.domain), Slots: 26,
		Started: e.started, Orders: e.orders, OrdersKnown: true, Busy: e.opening || e.state == fuchsiapitch.MemberJoining, Staged: e.staged,
	}
	if e.group.Name != "" {
		r.Loaded = []string{e.model}
		r.Membership = fuchsiapitch.Membership{Group: e.group, Rank: rankOf(e.members, e.id), State: e.state}
	}
	e.history = append(e.history, r)
}

// missMembers breaks a group whose leader has missed a member for too long.
func (w *world) missMembers(e *engine) {
	missing := w.now < e.darkUntil
	for _, m := range e.members {
		o, ok := w.engines[m]
		missing = missing || !ok || o.dead || w.now < o.darkUntil || o.group != e.group
	}
	switch {
	case !missing:
		e.lostMember = 0
	case e.lostMember == 0:
		e.lostMember = w.now
	case w.now-e.lostMember > worldStall:
		e.state = fuchsiapitch.MemberBroken
	}
}

// list returns the platform's list, which lags.
func (w *world) list() []fuchsiapitch.ServerReport {
	if w.now < w.frozenUntil {
		return w.frozen
	}
	var list []fuchsiapitch.ServerReport
	const lag = 60
	for _, id := range w.order {
		e := w.engines[id]
		if w.now-e.lastBeat > worldExpiry || e.domain == w.unlistedDomain || len(e.history) == 0 {
			continue
		}
		r := e.history[max(0, len(e.history)-1-lag)]
		r.Orders, r.OrdersKnown = 0, false
		list = append(list, r)
	}
	return list
}

// trouble does one random thing.
func (w *world) trouble() {
	e := w.engines[w.order[w.random.IntN(len(w.order))]]
	switch w.random.IntN(11) {
	case 0, 1:
		e.dead = true
	case 10:
		e.dead = true
		if _, taken := w.at(e.address); !taken {
			w.takeAddress(e)
		}
	case 2:
		e.darkUntil = w.now + time.Duration(w.random.Int64N(int64(8*time.Second)))
	case 3:
		w.restart(e)
	case 4:
		w.add(e.domain, fmt.Sprintf("n%d", len(w.order)))
	case 5:
		w.cutDomain, w.cutUntil = e.domain, w.now+time.Duration(w.random.Int64N(int64(9*time.Second)))
	case 6:
		w.late = w.random.Float64() / 2
	case 7:
		e.hiddenUntil = w.now + time.Duration(w.random.Int64N(int64(4*time.Second)))
	case 8:
		w.frozenUntil, w.frozen = w.now+time.Duration(w.random.Int64N(int64(9*time.Second))), w.list()
	case 9:
		// A new leader; the old one goes on for a while or ends at once.
		if last := len(w.conductors) - 1; last > 0 {
			w.conductors[last-1] = nil
		}
		if w.random.IntN(2) == 0 {
			w.conductors[len(w.conductors)-1] = nil
		}
		w.lead()
	}
}

// restart starts an engine again under its name.
func (w *world) restart(e *engine) {
	fresh := &engine{
		id: e.id, address: e.address, domain: e.domain, started: e.started + 1 + w.now.Milliseconds(), staged: e.staged,
		// A member that was ready and is lost is no fault of the order to open.
		wasReady: e.wasReady, lastBeat: w.now,
	}
	e.dead = true
	if _, taken := w.at(e.address); taken {
		return
	}
	w.engines[e.id] = fresh
	w.live(fresh)
}

func (w *world) openGroups() int {
	n := 0
	for _, e := range w.engines {
		if e.state == fuchsiapitch.MemberOpen && !e.dead {
			n++
		}
	}
	return n
}

func assertNothingBroken(t *testing.T, w *world) {
	t.Helper()
	if len(w.broken) > 0 {
		t.Fatalf("got %q broken, want nothing", w.broken[0])
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end && len(w.broken) == 0; {
		w.step()
	}
}
