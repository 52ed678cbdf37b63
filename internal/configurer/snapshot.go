package configurer

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// HashError reports a snapshot whose entries do not have the stated hash.
type HashError struct {
	// Offset is the offset of the snapshot.
	Offset fuchsiapitch.Offset
	// Stated is the hash that the snapshot states.
	Stated uint64
	// Computed is the hash of its entries.
	Computed uint64
}

// Error implements error.
func (e *HashError) Error() string {
	return fmt.Sprintf("snapshot at offset %d states hash %x but has %x", e.Offset, e.Stated, e.Computed)
}

// RevisionError reports a snapshot that would take a document back.
type RevisionError struct {
	// Key names the document.
	Key Key
	// Current is the revision of the document.
	Current fuchsiapitch.Offset
	// Offered is its revision in the snapshot, 0 if it is missing.
	Offered fuchsiapitch.Offset
}

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("snapshot has revision %d of %s, which is behind revision %d", e.Offered, e.Key, e.Current)
}

// Snapshot returns the whole state. Its slices must not be changed.
func (f *Fold) Snapshot() Snapshot { return f.SnapshotSince(0) }

// SnapshotSince returns the state with only the entries and outcomes after an
// offset. Its slices must not be changed.
func (f *Fold) SnapshotSince(since fuchsiapitch.Offset) Snapshot {
	s := Snapshot{Offset: f.offset, Since: since, Hash: f.hash, Outcomes: outcomesAfter(f.outcomes, since)}
	for _, e := range f.Entries() {
		if e.Revision > since {
			s.Entries = append(s.Entries, e)
		}
	}
	return s
}

func outcomesAfter(outcomes []Outcome, since fuchsiapitch.Offset) []Outcome {
	for i, o := range outcomes {
		if o.Offset > since {
			return slices.Clone(outcomes[i:])
		}
	}
	return nil
}

// Restore brings the state up to a snapshot with a higher offset and reports
// whether it did. It returns a HashError or a RevisionError, and keeps its
// state, when the snapshot is damaged, starts after the state, or would take a
// document back.
func (f *Fold) Restore(snapshot Snapshot) (bool, error) {
	if snapshot.Offset <= f.offset {
		return false, nil
	}
	next := NewFold()
	if snapshot.Since > 0 {
		next.entries, next.hash = maps.Clone(f.entries), f.hash
	}
	for _, e := range snapshot.Entries {
		next.set(e)
	}
	if next.hash != snapshot.Hash {
		return false, &HashError{Offset: snapshot.Offset, Stated: snapshot.Hash, Computed: next.hash}
	}
	for _, e := range f.Entries() {
		if offered := next.entries[e.Key].Revision; offered < e.Revision {
			return false, &RevisionError{Key: e.Key, Current: e.Revision, Offered: offered}
		}
	}
	next.offset = snapshot.Offset
	next.outcomes = slices.Clone(f.outcomes)
	for _, o := range outcomesAfter(snapshot.Outcomes, f.offset) {
		next.remember(o)
	}
	*f = *next
	return true, nil
}
