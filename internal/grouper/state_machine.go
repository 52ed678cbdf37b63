// Package grouper decides which backend servers form a group, which entry host
// controls the groups of its data centre, and which groups can serve. It is
// pure: it starts no goroutines, reads no clock and does no input or output.
//
// Decisions that must be unique, such as who is the controller, are made by a
// replicated state machine. Every host applies the records of one log stream
// per data centre in order, and the first valid record wins.
package grouper

import (
	"maps"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// StateMachine is the state that results from applying the records of a group
// stream in order.
//
// A claim is valid if its writer is an elector and it names the current term.
// The offset of the claim becomes the new term. Every other record of a
// controller is valid if it comes from the holder of the current term and its
// sequence is higher than that of the records before it. A record that is
// appended twice therefore takes effect once: the second claim names a term
// that has ended, and the second renewal repeats a sequence. A change that
// would put a backend server in two groups is ignored.
//
// After a truncation the state is incomplete until a checkpoint is read.
// Applying records is deterministic, so a checkpoint is correct whichever host
// wrote it. The records after the offset of the checkpoint are applied on top
// of it.
type StateMachine struct {
	nextOffset fuchsiapitch.Offset
	complete   bool
	// bufferedEntries are the entries read since the last truncation while the
	// state is incomplete. oldestOffset is the offset at which they start.
	oldestOffset     fuchsiapitch.Offset
	bufferedEntries  []Entry
	state            Snapshot
	groups           map[fuchsiapitch.GroupID]Group
	groupByServer    map[fuchsiapitch.ServerID]fuchsiapitch.GroupID
	electors         map[fuchsiapitch.HostID]Elector
	rejectedVersions map[fuchsiapitch.ServiceName]string
	// reinitialised is true if the state was restored from a checkpoint without a
	// term, so that there may have been terms before it.
	reinitialised bool
	// sortedGroups caches the groups ordered by identifier. It is nil after a
	// change.
	sortedGroups []Group
}

// NewStateMachine returns the state before the first record of a stream.
func NewStateMachine() *StateMachine {
	sm := &StateMachine{nextOffset: 1, complete: true}
	sm.clear()
	return sm
}

func (sm *StateMachine) clear() {
	sm.state, sm.sortedGroups = Snapshot{}, nil
	sm.groups = make(map[fuchsiapitch.GroupID]Group)
	sm.groupByServer = make(map[fuchsiapitch.ServerID]fuchsiapitch.GroupID)
	sm.electors = make(map[fuchsiapitch.HostID]Elector)
	sm.rejectedVersions = make(map[fuchsiapitch.ServiceName]string)
}

// NextOffset returns the offset of the next record to read.
func (sm *StateMachine) NextOffset() fuchsiapitch.Offset { return sm.nextOffset }

// IsComplete reports whether the state is complete. It is not between a
// truncation and the next checkpoint.
func (sm *StateMachine) IsComplete() bool { return sm.complete }

// Term returns the current term, 0 before the first claim.
func (sm *StateMachine) Term() fuchsiapitch.Term { return sm.state.Term }

// Holder returns the host that holds the current term and its incarnation.
func (sm *StateMachine) Holder() (fuchsiapitch.HostID, uint64) {
	return sm.state.Holder, sm.state.HolderIncarnation
}

// MayHaveEarlierTerms reports whether the current term is 0 although
// controllers may have been elected before the stream was reinitialised.
func (sm *StateMachine) MayHaveEarlierTerms() bool { return sm.state.Term == 0 && sm.reinitialised }

// LeaseReleased reports whether the holder has released its lease.
func (sm *StateMachine) LeaseReleased() bool { return sm.state.LeaseReleased }

// Sequence returns the highest sequence that was applied in the current term.
func (sm *StateMachine) Sequence() uint64 { return sm.state.Sequence }

// AcknowledgedOffset returns the offset up to which the holder has reported that
// it has read the stream.
func (sm *StateMachine) AcknowledgedOffset() fuchsiapitch.Offset { return sm.state.AcknowledgedOffset }

// Elector returns the elector of a host, if it is one.
func (sm *StateMachine) Elector(host fuchsiapitch.HostID) (Elector, bool) {
	e, ok := sm.electors[host]
	return e, ok
}

// Electors returns the electors ordered by host identifier.
func (sm *StateMachine) Electors() []Elector {
	list := make([]Elector, 0, len(sm.electors))
	for _, h := range slices.Sorted(maps.Keys(sm.electors)) {
		list = append(list, sm.electors[h])
	}
	return list
}

// Groups returns the groups ordered by identifier. Callers must not modify
// them.
func (sm *StateMachine) Groups() []Group {
	if sm.sortedGroups == nil {
		sm.sortedGroups = make([]Group, 0, len(sm.groups))
		for _, id := range slices.Sorted(maps.Keys(sm.groups)) {
			sm.sortedGroups = append(sm.sortedGroups, sm.groups[id])
		}
	}
	return sm.sortedGroups
}

// Group returns the group with an identifier, if it exists.
func (sm *StateMachine) Group(id fuchsiapitch.GroupID) (Group, bool) {
	g, ok := sm.groups[id]
	return g, ok
}

// GroupOf returns the group that a backend server is assigned to.
func (sm *StateMachine) GroupOf(server fuchsiapitch.ServerID) (fuchsiapitch.GroupID, bool) {
	g, ok := sm.groupByServer[server]
	return g, ok
}

// RejectedVersion returns the version of a service that failed its rollout, ""
// if there is none.
func (sm *StateMachine) RejectedVersion(service fuchsiapitch.ServiceName) string {
	return sm.rejectedVersions[service]
}

// Truncate prepares the state machine for reading from the oldest offset that
// the log still keeps. It returns false, and changes nothing, if no unread
// record was lost.
func (sm *StateMachine) Truncate(oldest fuchsiapitch.Offset) bool {
	if sm.complete && sm.nextOffset >= oldest {
		return false
	}
	sm.clear()
	sm.complete, sm.oldestOffset, sm.nextOffset, sm.bufferedEntries = false, oldest, oldest, nil
	return true
}

// Apply applies the record at the next offset and reports whether it was valid.
// It ignores offsets before the next one.
func (sm *StateMachine) Apply(e Entry) bool {
	if e.Offset < sm.nextOffset {
		return false
	}
	sm.nextOffset = e.Offset + 1
	if !sm.complete {
		return sm.bufferUntilCheckpoint(e)
	}
	return sm.applyRecord(e)
}

// Skip advances past a record that cannot be decoded.
func (sm *StateMachine) Skip(offset fuchsiapitch.Offset) {
	sm.nextOffset = max(sm.nextOffset, offset+1)
}

// bufferUntilCheckpoint buffers an entry while the state is incomplete. On the
// first checkpoint that covers all missing records, it restores the state and
// applies the buffered entries after the checkpoint's offset.
func (sm *StateMachine) bufferUntilCheckpoint(e Entry) bool {
	sm.bufferedEntries = append(sm.bufferedEntries, e)
	s := e.Record.CheckpointState
	if e.Record.Kind != Checkpoint || s == nil || s.Offset+1 < sm.oldestOffset {
		return false
	}
	sm.restore(*s)
	entries := sm.bufferedEntries
	sm.complete, sm.bufferedEntries = true, nil
	for _, t := range entries {
		if t.Offset > s.Offset {
			sm.applyRecord(t)
		}
	}
	return true
}

func (sm *StateMachine) restore(s Snapshot) {
	sm.clear()
	sm.state, sm.reinitialised = s, s.Term == 0
	sm.state.Groups, sm.state.Electors, sm.state.Rejections = nil, nil, nil
	for _, g := range s.Groups {
		sm.putGroup(g)
	}
	for _, e := range s.Electors {
		sm.electors[e.Host] = e
	}
	for _, r := range s.Rejections {
		sm.rejectedVersions[r.Service] = r.Version
	}
}

func (sm *StateMachine) applyRecord(e Entry) bool {
	sm.state.Offset = e.Offset
	switch r := e.Record; r.Kind {
	case Join:
		return sm.applyJoin(e)
	case Claim:
		return sm.applyClaim(e)
	case Renewal:
		return sm.applyRenewal(r)
	case Release:
		return sm.applyRelease(r)
	case Checkpoint:
		return sm.applyReinitialisation(e)
	default:
		return false
	}
}

// applyReinitialisation adopts the empty state that a host wrote because it
// found no checkpoint in the stream. Readers that still have the old state
// adopt it too, so that all readers agree.
func (sm *StateMachine) applyReinitialisation(e Entry) bool {
	if s := e.Record.CheckpointState; s == nil || s.Term != 0 || sm.state.Term == 0 {
		return false
	}
	sm.restore(*e.Record.CheckpointState)
	sm.state.Offset = e.Offset
	return true
}

func (sm *StateMachine) applyJoin(e Entry) bool {
	r := e.Record
	firstJoinOffset := e.Offset
	if old, ok := sm.electors[r.Host]; ok {
		if old.Incarnation >= r.Incarnation {
			return false
		}
		firstJoinOffset = old.FirstJoinOffset
	}
	sm.electors[r.Host] = Elector{Host: r.Host, Incarnation: r.Incarnation, JoinOffset: e.Offset, FirstJoinOffset: firstJoinOffset}
	return true
}

func (sm *StateMachine) applyClaim(e Entry) bool {
	r := e.Record
	elector, ok := sm.electors[r.Host]
	if !ok || elector.Incarnation != r.Incarnation || r.Term != sm.state.Term {
		return false
	}
	sm.state.Term, sm.state.Holder, sm.state.HolderIncarnation = fuchsiapitch.Term(e.Offset), r.Host, r.Incarnation
	sm.state.Sequence, sm.state.LeaseReleased = 0, false
	// The new controller acts only after it has read its own claim.
	sm.state.AcknowledgedOffset = e.Offset
	return true
}

// isFromHolder reports whether a record comes from the holder of the current
// term and has not been applied before.
func (sm *StateMachine) isFromHolder(r Record) bool {
	return r.Term == sm.state.Term && r.Term != 0 && !sm.state.LeaseReleased &&
		r.Host == sm.state.Holder && r.Incarnation == sm.state.HolderIncarnation && r.Sequence > sm.state.Sequence
}

func (sm *StateMachine) applyRenewal(r Record) bool {
	if !sm.isFromHolder(r) {
		return false
	}
	sm.state.Sequence, sm.state.AcknowledgedOffset = r.Sequence, r.ReadOffset
	sm.applyChanges(r)
	return true
}

func (sm *StateMachine) applyRelease(r Record) bool {
	if !sm.isFromHolder(r) {
		return false
	}
	sm.state.Sequence, sm.state.LeaseReleased = r.Sequence, true
	return true
}

// applyChanges applies the changes of a renewal and ignores the invalid ones.
func (sm *StateMachine) applyChanges(r Record) {
	for _, c := range r.Changes {
		switch c.Kind {
		case Assign:
			sm.assignGroup(c.Group, fuchsiapitch.NewFencingToken(r.Term, r.Sequence))
		case Drain:
			if g, ok := sm.groups[c.Group.ID]; ok {
				g.Draining = true
				sm.putGroup(g)
			}
		case Disband:
			sm.removeGroup(c.Group.ID)
		case Evict:
			delete(sm.electors, c.Host)
		case Reject:
			sm.rejectedVersions[c.Service] = c.Version
		}
	}
}

// assignGroup sets the assignment of a group. It ignores an assignment that
// names a server twice or a server of another group.
func (sm *StateMachine) assignGroup(g Group, fencingToken fuchsiapitch.FencingToken) {
	seen := make(map[fuchsiapitch.ServerID]bool, len(g.Members))
	for _, m := range g.Members {
		if groupID, assigned := sm.groupByServer[m]; (assigned && groupID != g.ID) || seen[m] {
			return
		}
		seen[m] = true
	}
	sm.removeGroup(g.ID)
	g.FencingToken, g.Draining = fencingToken, false
	sm.putGroup(g)
}

func (sm *StateMachine) putGroup(g Group) {
	sm.sortedGroups = nil
	sm.groups[g.ID] = g
	for _, m := range g.Members {
		sm.groupByServer[m] = g.ID
	}
}

func (sm *StateMachine) removeGroup(id fuchsiapitch.GroupID) {
	sm.sortedGroups = nil
	for _, m := range sm.groups[id].Members {
		delete(sm.groupByServer, m)
	}
	delete(sm.groups, id)
}

// Snapshot returns the complete state for a checkpoint.
func (sm *StateMachine) Snapshot() Snapshot {
	s := sm.state
	s.Offset = sm.nextOffset - 1
	s.Groups, s.Electors = sm.Groups(), sm.Electors()
	for _, v := range slices.Sorted(maps.Keys(sm.rejectedVersions)) {
		s.Rejections = append(s.Rejections, Rejection{Service: v, Version: sm.rejectedVersions[v]})
	}
	return s
}

// WithPending returns a copy of the state with records applied that are not in
// the stream yet. Changes to the copy do not affect the receiver.
func (sm *StateMachine) WithPending(records []Record) *StateMachine {
	c := NewStateMachine()
	c.restore(sm.Snapshot())
	c.nextOffset = sm.nextOffset
	for _, r := range records {
		c.applyRecord(Entry{Offset: c.nextOffset, Record: r})
	}
	return c
}
