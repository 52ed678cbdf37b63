package configurer

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// OutcomeLimit is the number of latest publications whose outcomes are kept.
const OutcomeLimit = 256

// StateMachine is the state that results from applying a prefix of the
// configuration stream.
type StateMachine struct {
	offset   fuchsiapitch.Offset
	hash     uint64
	entries  map[Key]Entry
	outcomes []PublicationOutcome
}

// NewStateMachine returns the state before the first record.
func NewStateMachine() *StateMachine { return &StateMachine{entries: make(map[Key]Entry)} }

// Offset returns the offset of the last applied record.
func (sm *StateMachine) Offset() fuchsiapitch.Offset { return sm.offset }

// Hash returns the hash of all entries.
func (sm *StateMachine) Hash() uint64 { return sm.hash }

// Entry returns the entry of a document.
func (sm *StateMachine) Entry(key Key) (Entry, bool) {
	e, ok := sm.entries[key]
	return e, ok
}

// Entries returns the entries ordered by key. They include those of removed
// documents.
func (sm *StateMachine) Entries() []Entry {
	return slices.SortedFunc(maps.Values(sm.entries), func(a, b Entry) int { return compareKeys(a.Key, b.Key) })
}

// Outcome returns the outcome of a publication, if it is still kept.
func (sm *StateMachine) Outcome(id fuchsiapitch.RecordID) (PublicationOutcome, bool) {
	for _, o := range slices.Backward(sm.outcomes) {
		if o.PublicationID == id {
			return o, true
		}
	}
	return PublicationOutcome{}, false
}

// LatestEntry returns the entry of a kind with the highest revision, or the
// zero entry if the kind has none. Documents changed by one publication share a
// revision. Of these, the entry with the smallest key is returned.
func (sm *StateMachine) LatestEntry(kind Kind) Entry {
	var latest Entry
	for _, e := range sm.entries {
		if e.Key.kind != kind || e.Revision < latest.Revision {
			continue
		}
		if e.Revision > latest.Revision || compareKeys(e.Key, latest.Key) < 0 {
			latest = e
		}
	}
	return latest
}

// ApplyPublication applies the publication in the record at an offset. It is
// idempotent: a publication with an identifier whose outcome is kept only
// advances the offset. Records at or before the current offset are ignored.
func (sm *StateMachine) ApplyPublication(id fuchsiapitch.RecordID, offset fuchsiapitch.Offset, publication Publication) {
	if offset <= sm.offset {
		return
	}
	sm.offset = offset
	if _, applied := sm.Outcome(id); applied {
		return
	}
	conflict, found := sm.findConflict(publication)
	if !found {
		for _, c := range publication.Changes {
			sm.setEntry(Entry{
				Key: c.Key, Revision: offset, Removed: c.Removed, PublicationID: id,
				Publisher: publication.Publisher, Content: c.Content, Document: c.Document,
			})
		}
	}
	sm.recordOutcome(PublicationOutcome{PublicationID: id, Offset: offset, Accepted: !found, Conflict: conflict})
}

// SkipRecord advances the offset past a record that is not a publication.
func (sm *StateMachine) SkipRecord(offset fuchsiapitch.Offset) { sm.offset = max(sm.offset, offset) }

// findConflict returns the first document whose parent revision or precondition
// is not current, and whether there is one.
func (sm *StateMachine) findConflict(publication Publication) (Conflict, bool) {
	for _, c := range publication.Changes {
		if e := sm.entries[c.Key]; e.Revision != c.ParentRevision {
			return newConflict(c.Key, e), true
		}
	}
	for _, p := range publication.Preconditions {
		if e := sm.LatestEntry(p.Kind); e.Revision != p.LatestRevision {
			return newConflict(e.Key, e), true
		}
	}
	return Conflict{}, false
}

func newConflict(key Key, current Entry) Conflict {
	return Conflict{Key: key, CurrentRevision: current.Revision, PublicationID: current.PublicationID, Publisher: current.Publisher}
}

// setEntry replaces an entry and updates the hash. The hash is the sum of the
// hashes of the entries, so it does not depend on the order of changes.
func (sm *StateMachine) setEntry(entry Entry) {
	if old, ok := sm.entries[entry.Key]; ok {
		sm.hash -= hashEntry(old)
	}
	sm.entries[entry.Key] = entry
	sm.hash += hashEntry(entry)
}

func (sm *StateMachine) recordOutcome(outcome PublicationOutcome) {
	sm.outcomes = append(sm.outcomes, outcome)
	if excess := len(sm.outcomes) - OutcomeLimit; excess > 0 {
		sm.outcomes = slices.Delete(sm.outcomes, 0, excess)
	}
}

// hashEntry returns the hash of the parts of an entry that are equal on all
// hosts. The decoded document is left out, since it depends on the version.
func hashEntry(e Entry) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(e.Key.kind), e.Key.name, string(e.PublicationID), e.Publisher, string(e.Content)} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(part)
	}
	var tail [9]byte
	binary.LittleEndian.PutUint64(tail[:], uint64(e.Revision))
	if e.Removed {
		tail[8] = 1
	}
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

// Configuration returns the current configuration. Documents that this version
// cannot decode are left out.
func (sm *StateMachine) Configuration() fuchsiapitch.Configuration {
	var services []fuchsiapitch.Service
	var customers []fuchsiapitch.Customer
	var ranks []fuchsiapitch.Rank
	for _, e := range sm.Entries() {
		if e.Removed || e.Document.Key() != e.Key {
			continue
		}
		if v, ok := e.Document.Service(); ok {
			services = append(services, v)
		}
		if v, ok := e.Document.Customer(); ok {
			customers = append(customers, v)
		}
		if v, ok := e.Document.Rank(); ok {
			ranks = append(ranks, v)
		}
	}
	return fuchsiapitch.NewConfiguration(sm.offset, sm.hash, services, customers, ranks)
}
