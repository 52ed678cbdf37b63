package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// promiseAskTime is the age of the lease from which a controller asks the
	// electors for promises.
	promiseAskTime = 1700 * time.Millisecond
	// promiseAskPeriod is the time between two such questions.
	promiseAskPeriod = 2 * time.Second
	// sentLimit is the number of own heartbeats whose sending is remembered.
	sentLimit = 512
)

// Promise is an elector's promise not to claim, as it travels in heartbeats.
type Promise struct {
	// Term is the term of the controller that it is given to.
	Term fuchsiapitch.Term
	// Wanted states that the sender is the controller and asks for promises.
	Wanted bool
	// Remaining is the time for which the promise holds, counted by the
	// controller from the sending of the heartbeat that it answers.
	Remaining time.Duration
	// Incarnation is the incarnation of the elector at its start.
	Incarnation uint64
	// Echo is the sequence of the controller's heartbeat that it answers.
	Echo uint64
}

// promised is the promise that this host has given.
type promised struct {
	term  fuchsiapitch.Term
	until time.Duration
	echo  uint64
}

// kept is a promise as the controller counts it.
type kept struct {
	from fuchsiapitch.Instant
	span time.Duration
}

// Promise returns what this host states about promises in its heartbeat.
func (g *Grouper) Promise(now fuchsiapitch.Instant, sequence uint64) Promise {
	if g.tenure != nil {
		g.tenure.remember(sequence, now)
		return Promise{Term: g.tenure.term, Wanted: g.tenure.asks(now)}
	}
	p := g.promised
	if p.term != g.fold.Term() || now.Monotonic() >= p.until {
		return Promise{}
	}
	return Promise{Term: p.term, Remaining: p.until - now.Monotonic(), Incarnation: g.incarnation, Echo: p.echo}
}

// HearPromise takes in what a heartbeat states about promises: a question of the
// controller or the promise of an elector.
func (g *Grouper) HearPromise(now fuchsiapitch.Instant, from fuchsiapitch.HostID, sequence uint64, p Promise) {
	if p.Wanted {
		g.givePromise(now, from, sequence, p)
		return
	}
	if g.tenure != nil && p.Term == g.tenure.term && p.Remaining > 0 {
		g.tenure.keep(g.fold, from, p)
	}
}

// givePromise promises not to claim, unless a claim of this host may already be
// on its way: only the stream tells that such a claim came too late.
func (g *Grouper) givePromise(now fuchsiapitch.Instant, from fuchsiapitch.HostID, sequence uint64, p Promise) {
	holder, _ := g.fold.Holder()
	if !g.fold.Known() || p.Term != g.fold.Term() || from != holder || g.fold.Released() {
		return
	}
	if g.candidate.tried && g.candidate.claimed == p.Term {
		return
	}
	g.promised = promised{term: p.Term, until: now.Monotonic() + PromiseTime, echo: sequence}
}

// remember notes when a heartbeat is sent.
func (t *tenure) remember(sequence uint64, now fuchsiapitch.Instant) {
	t.sent[sequence] = now
	delete(t.sent, sequence-sentLimit)
}

// asks reports whether the lease is old enough to ask for promises.
func (t *tenure) asks(now fuchsiapitch.Instant) bool {
	return now.Sub(t.lease.from) >= promiseAskTime
}

// keep counts a promise from the sending of the heartbeat that it answers, which
// precedes the moment at which it was given.
func (t *tenure) keep(fold *Fold, from fuchsiapitch.HostID, p Promise) {
	e, ok := fold.Elector(from)
	sent, known := t.sent[p.Echo]
	if !ok || !known || e.Incarnation != p.Incarnation {
		return
	}
	next := kept{from: sent, span: p.Remaining - clockMargin}
	if old, ok := t.promises[from]; !ok || next.end() > old.end() {
		t.promises[from] = next
	}
}

func (k kept) end() time.Duration { return k.from.Monotonic() + k.span }

// permission returns the instant until which orders may be given, and whether
// they may be given now. Without a lease they may while every other elector has
// promised not to claim, for a limited time after the last renewal.
func (t *tenure) permission(now fuchsiapitch.Instant, fold *Fold, self fuchsiapitch.HostID) (fuchsiapitch.Instant, bool) {
	if t.lease.Holds(now) {
		return t.lease.Expiry(), true
	}
	limit := OutageLimit - clockMargin
	if Lapsed(now, t.lease.from, limit) {
		return fuchsiapitch.Instant{}, false
	}
	first := t.lease.from.Add(limit)
	for _, e := range fold.Electors() {
		if e.Host == self {
			continue
		}
		k, ok := t.promises[e.Host]
		if !ok || Lapsed(now, k.from, k.span) {
			return fuchsiapitch.Instant{}, false
		}
		if end := k.from.Add(k.span); end.Monotonic() < first.Monotonic() {
			first = end
		}
	}
	return first, true
}
