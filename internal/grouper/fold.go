// Package grouper decides which backend servers form a group, which entry host
// controls the groups of its data centre, and which groups can serve. It is
// pure: it holds no goroutine, reads no clock and does no input or output.
//
// What must not be decided twice is decided by a deterministic fold over one
// stream of the platform's log per data centre: the first valid record wins.
package grouper

import (
	"maps"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Fold is the state that the records of a group stream add up to.
//
// A claim is valid when its writer is an elector and it names the current term;
// its own offset is the new term. Every other record of a controller is valid
// when it comes from the holder of the current term and its sequence is higher
// than those before. A record that is appended twice is thus folded once: the
// second claim names a term that is over, and the second renewal repeats a
// sequence. A change that would put a backend server in two groups is left out.
//
// After a truncation the state is unknown until a checkpoint arrives. Folding
// is deterministic, so a checkpoint is true whoever wrote it; the records after
// the offset that it states are folded on top.
type Fold struct {
	next     fuchsiapitch.Offset
	known    bool
	start    fuchsiapitch.Offset
	tail     []Entry
	state    Snapshot
	groups   map[fuchsiapitch.GroupID]Group
	places   map[fuchsiapitch.ServerID]fuchsiapitch.GroupID
	electors map[fuchsiapitch.HostID]Elector
	rejected map[fuchsiapitch.ServiceName]string
	// restarted states that earlier terms, if any, are unknown.
	restarted bool
	// sorted are the groups in order, nil after a change.
	sorted []Group
}

// NewFold returns the state before the first record of a stream.
func NewFold() *Fold {
	f := &Fold{next: 1, known: true}
	f.clear()
	return f
}

func (f *Fold) clear() {
	f.state, f.sorted = Snapshot{}, nil
	f.groups = make(map[fuchsiapitch.GroupID]Group)
	f.places = make(map[fuchsiapitch.ServerID]fuchsiapitch.GroupID)
	f.electors = make(map[fuchsiapitch.HostID]Elector)
	f.rejected = make(map[fuchsiapitch.ServiceName]string)
}

// Next returns the offset to read from next.
func (f *Fold) Next() fuchsiapitch.Offset { return f.next }

// Known reports whether the state is complete.
func (f *Fold) Known() bool { return f.known }

// Term returns the current term, 0 before the first claim.
func (f *Fold) Term() fuchsiapitch.Term { return f.state.Term }

// Holder returns the controller of the current term and its incarnation.
func (f *Fold) Holder() (fuchsiapitch.HostID, uint64) { return f.state.Holder, f.state.Incarnation }

// Restarted reports whether there may have been terms that are not known.
func (f *Fold) Restarted() bool { return f.state.Term == 0 && f.restarted }

// Released reports whether the controller gave up its lease.
func (f *Fold) Released() bool { return f.state.Released }

// Sequence returns the highest sequence of the current term.
func (f *Fold) Sequence() uint64 { return f.state.Sequence }

// Acknowledged returns the last offset that the controller stated to have read.
func (f *Fold) Acknowledged() fuchsiapitch.Offset { return f.state.Acknowledged }

// Elector returns an elector by host.
func (f *Fold) Elector(host fuchsiapitch.HostID) (Elector, bool) {
	e, ok := f.electors[host]
	return e, ok
}

// Electors returns the electors in the order of their identifiers.
func (f *Fold) Electors() []Elector {
	list := make([]Elector, 0, len(f.electors))
	for _, h := range slices.Sorted(maps.Keys(f.electors)) {
		list = append(list, f.electors[h])
	}
	return list
}

// Groups returns the groups in the order of their identifiers. Callers must not
// change them.
func (f *Fold) Groups() []Group {
	if f.sorted == nil {
		f.sorted = make([]Group, 0, len(f.groups))
		for _, id := range slices.Sorted(maps.Keys(f.groups)) {
			f.sorted = append(f.sorted, f.groups[id])
		}
	}
	return f.sorted
}

// Group returns a group by its identifier.
func (f *Fold) Group(id fuchsiapitch.GroupID) (Group, bool) {
	g, ok := f.groups[id]
	return g, ok
}

// Place returns the group of a backend server.
func (f *Fold) Place(server fuchsiapitch.ServerID) (fuchsiapitch.GroupID, bool) {
	g, ok := f.places[server]
	return g, ok
}

// Rejected returns the version of a service that failed its first check.
func (f *Fold) Rejected(service fuchsiapitch.ServiceName) string { return f.rejected[service] }

// Truncate prepares for reading from the oldest offset that the log still
// keeps. It returns false when no record that is missing was kept back.
func (f *Fold) Truncate(oldest fuchsiapitch.Offset) bool {
	if f.known && f.next >= oldest {
		return false
	}
	f.clear()
	f.known, f.start, f.next, f.tail = false, oldest, oldest, nil
	return true
}

// Apply folds the record at the next offset and reports whether it was valid.
// Offsets before the next one are ignored.
func (f *Fold) Apply(e Entry) bool {
	if e.Offset < f.next {
		return false
	}
	f.next = e.Offset + 1
	if !f.known {
		return f.recover(e)
	}
	return f.fold(e)
}

// Skip passes over a record that cannot be decoded.
func (f *Fold) Skip(offset fuchsiapitch.Offset) { f.next = max(f.next, offset+1) }

func (f *Fold) recover(e Entry) bool {
	f.tail = append(f.tail, e)
	s := e.Record.State
	if e.Record.Kind != Checkpoint || s == nil || s.Offset+1 < f.start {
		return false
	}
	f.restore(*s)
	tail := f.tail
	f.known, f.tail = true, nil
	for _, t := range tail {
		if t.Offset > s.Offset {
			f.fold(t)
		}
	}
	return true
}

func (f *Fold) restore(s Snapshot) {
	f.clear()
	f.state, f.restarted = s, s.Term == 0
	f.state.Groups, f.state.Electors, f.state.Rejections = nil, nil, nil
	for _, g := range s.Groups {
		f.put(g)
	}
	for _, e := range s.Electors {
		f.electors[e.Host] = e
	}
	for _, r := range s.Rejections {
		f.rejected[r.Service] = r.Version
	}
}

func (f *Fold) fold(e Entry) bool {
	f.state.Offset = e.Offset
	switch r := e.Record; r.Kind {
	case Join:
		return f.join(e)
	case Claim:
		return f.claim(e)
	case Renewal:
		return f.renew(r)
	case Release:
		return f.release(r)
	case Checkpoint:
		return f.restart(e)
	default:
		return false
	}
}

// restart takes up the empty state of a host that found no checkpoint in the
// stream, so that readers that still know the old state agree with it.
func (f *Fold) restart(e Entry) bool {
	if s := e.Record.State; s == nil || s.Term != 0 || f.state.Term == 0 {
		return false
	}
	f.restore(*e.Record.State)
	f.state.Offset = e.Offset
	return true
}

func (f *Fold) join(e Entry) bool {
	r := e.Record
	since := e.Offset
	if old, ok := f.electors[r.Host]; ok {
		if old.Incarnation >= r.Incarnation {
			return false
		}
		since = old.Since
	}
	f.electors[r.Host] = Elector{Host: r.Host, Incarnation: r.Incarnation, Joined: e.Offset, Since: since}
	return true
}

func (f *Fold) claim(e Entry) bool {
	r := e.Record
	elector, ok := f.electors[r.Host]
	if !ok || elector.Incarnation != r.Incarnation || r.Term != f.state.Term {
		return false
	}
	f.state.Term, f.state.Holder, f.state.Incarnation = fuchsiapitch.Term(e.Offset), r.Host, r.Incarnation
	f.state.Sequence, f.state.Released = 0, false
	// The new controller acts only after it has read its own claim.
	f.state.Acknowledged = e.Offset
	return true
}

// mayWrite reports whether a record comes from the holder and is not a repeat.
func (f *Fold) mayWrite(r Record) bool {
	return r.Term == f.state.Term && r.Term != 0 && !f.state.Released &&
		r.Host == f.state.Holder && r.Incarnation == f.state.Incarnation && r.Sequence > f.state.Sequence
}

func (f *Fold) renew(r Record) bool {
	if !f.mayWrite(r) {
		return false
	}
	f.state.Sequence, f.state.Acknowledged = r.Sequence, r.Read
	f.change(r)
	return true
}

func (f *Fold) release(r Record) bool {
	if !f.mayWrite(r) {
		return false
	}
	f.state.Sequence, f.state.Released = r.Sequence, true
	return true
}

// change applies the valid changes of a record.
func (f *Fold) change(r Record) {
	for _, c := range r.Changes {
		switch c.Kind {
		case Assign:
			f.assign(c.Group, fuchsiapitch.NewFence(r.Term, r.Sequence))
		case Drain:
			if g, ok := f.groups[c.Group.ID]; ok {
				g.Draining = true
				f.put(g)
			}
		case Disband:
			f.remove(c.Group.ID)
		case Evict:
			delete(f.electors, c.Host)
		case Reject:
			f.rejected[c.Service] = c.Version
		}
	}
}

func (f *Fold) assign(g Group, fence fuchsiapitch.Fence) {
	named := make(map[fuchsiapitch.ServerID]bool, len(g.Members))
	for _, m := range g.Members {
		if place, taken := f.places[m]; (taken && place != g.ID) || named[m] {
			return
		}
		named[m] = true
	}
	f.remove(g.ID)
	g.Fence, g.Draining = fence, false
	f.put(g)
}

func (f *Fold) put(g Group) {
	f.sorted = nil
	f.groups[g.ID] = g
	for _, m := range g.Members {
		f.places[m] = g.ID
	}
}

func (f *Fold) remove(id fuchsiapitch.GroupID) {
	f.sorted = nil
	for _, m := range f.groups[id].Members {
		delete(f.places, m)
	}
	delete(f.groups, id)
}

// Snapshot returns the whole state for a checkpoint.
func (f *Fold) Snapshot() Snapshot {
	s := f.state
	s.Offset = f.next - 1
	s.Groups, s.Electors = f.Groups(), f.Electors()
	for _, v := range slices.Sorted(maps.Keys(f.rejected)) {
		s.Rejections = append(s.Rejections, Rejection{Service: v, Version: f.rejected[v]})
	}
	return s
}

// With returns the state after further records that are not in the stream yet.
// It shares nothing with f.
func (f *Fold) With(records []Record) *Fold {
	c := NewFold()
	c.restore(f.Snapshot())
	c.next = f.next
	for _, r := range records {
		c.fold(Entry{Offset: c.next, Record: r})
	}
	return c
}
