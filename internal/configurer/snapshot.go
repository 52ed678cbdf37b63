package configurer

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// HashMismatchError reports a snapshot whose hash differs from the hash of the
// state that restoring it would give, or, for a checkpoint, from the hash of the
// local state at the same offset.
type HashMismatchError struct {
	// Offset is the offset of the snapshot.
	Offset fuchsiapitch.Offset
	// StatedHash is the hash in the snapshot.
	StatedHash uint64
	// ComputedHash is the hash of that state, computed by this process.
	ComputedHash uint64
}

// Error implements error.
func (e *HashMismatchError) Error() string {
	return fmt.Sprintf("snapshot at offset %d has hash %x, but this process computed hash %x", e.Offset, e.StatedHash, e.ComputedHash)
}

// StaleSnapshotError reports a snapshot that would return a document to an
// earlier revision.
type StaleSnapshotError struct {
	// Key identifies the document.
	Key Key
	// CurrentRevision is the revision of the document in the local state.
	CurrentRevision fuchsiapitch.Offset
	// SnapshotRevision is its revision in the snapshot, 0 if it is missing there.
	SnapshotRevision fuchsiapitch.Offset
}

// Error implements error.
func (e *StaleSnapshotError) Error() string {
	return fmt.Sprintf("snapshot has revision %d of %s, older than the current revision %d", e.SnapshotRevision, e.Key, e.CurrentRevision)
}

// Snapshot returns a full snapshot. Its slices must not be modified.
func (sm *StateMachine) Snapshot() Snapshot { return sm.SnapshotSince(0) }

// SnapshotSince returns a snapshot with only the entries and outcomes after an
// offset. Its slices must not be modified.
func (sm *StateMachine) SnapshotSince(since fuchsiapitch.Offset) Snapshot {
	s := Snapshot{Offset: sm.offset, Since: since, Hash: sm.hash, Outcomes: outcomesAfter(sm.outcomes, since)}
	for _, e := range sm.Entries() {
		if e.Revision > since {
			s.Entries = append(s.Entries, e)
		}
	}
	return s
}

func outcomesAfter(outcomes []PublicationOutcome, since fuchsiapitch.Offset) []PublicationOutcome {
	for i, o := range outcomes {
		if o.Offset > since {
			return slices.Clone(outcomes[i:])
		}
	}
	return nil
}

// Restore replaces the state by a snapshot with a higher offset and reports
// whether it did. It returns an error and keeps the state if the snapshot is
// damaged or lacks changes between the local offset and its start
// (HashMismatchError), or would return a document to an earlier revision
// (StaleSnapshotError).
func (sm *StateMachine) Restore(snapshot Snapshot) (bool, error) {
	if snapshot.Offset <= sm.offset {
		return false, nil
	}
	next := NewStateMachine()
	if snapshot.Since > 0 {
		next.entries, next.hash = maps.Clone(sm.entries), sm.hash
	}
	for _, e := range snapshot.Entries {
		next.setEntry(e)
	}
	if next.hash != snapshot.Hash {
		return false, &HashMismatchError{Offset: snapshot.Offset, StatedHash: snapshot.Hash, ComputedHash: next.hash}
	}
	for _, e := range sm.Entries() {
		if revision := next.entries[e.Key].Revision; revision < e.Revision {
			return false, &StaleSnapshotError{Key: e.Key, CurrentRevision: e.Revision, SnapshotRevision: revision}
		}
	}
	next.offset = snapshot.Offset
	next.outcomes = slices.Clone(sm.outcomes)
	for _, o := range outcomesAfter(snapshot.Outcomes, sm.offset) {
		next.recordOutcome(o)
	}
	*sm = *next
	return true, nil
}
