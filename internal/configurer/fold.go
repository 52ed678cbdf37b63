package configurer

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// OutcomeLimit is the number of publications whose outcomes are remembered.
const OutcomeLimit = 256

// Fold is the state after some prefix of the configuration stream.
type Fold struct {
	offset   fuchsiapitch.Offset
	hash     uint64
	entries  map[Key]Entry
	outcomes []Outcome
}

// NewFold returns the state before the first record.
func NewFold() *Fold { return &Fold{entries: make(map[Key]Entry)} }

// Offset returns the offset of the last folded record.
func (f *Fold) Offset() fuchsiapitch.Offset { return f.offset }

// Hash returns the hash of the entries.
func (f *Fold) Hash() uint64 { return f.hash }

// Entry returns the state of a document.
func (f *Fold) Entry(key Key) (Entry, bool) {
	e, ok := f.entries[key]
	return e, ok
}

// Entries returns the documents, removed ones included, in the order of keys.
func (f *Fold) Entries() []Entry {
	return slices.SortedFunc(maps.Values(f.entries), func(a, b Entry) int { return compareKeys(a.Key, b.Key) })
}

// Outcome returns what became of a publication, if it is remembered.
func (f *Fold) Outcome(id fuchsiapitch.RecordID) (Outcome, bool) {
	for _, o := range slices.Backward(f.outcomes) {
		if o.Publication == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// Newest returns the entry of a kind with the highest revision, the zero entry
// if the kind has none. Documents of one publication share a revision; the
// first of them in the order of keys is returned.
func (f *Fold) Newest(kind Kind) Entry {
	var newest Entry
	for _, e := range f.entries {
		if e.Key.kind != kind || e.Revision < newest.Revision {
			continue
		}
		if e.Revision > newest.Revision || compareKeys(e.Key, newest.Key) < 0 {
			newest = e
		}
	}
	return newest
}

// Publish folds a publication at an offset. A publication that was folded
// before has no effect. Records at or before the current offset are ignored.
func (f *Fold) Publish(id fuchsiapitch.RecordID, offset fuchsiapitch.Offset, publication Publication) {
	if offset <= f.offset {
		return
	}
	f.offset = offset
	if _, known := f.Outcome(id); known {
		return
	}
	loss, lost := f.findLoss(publication)
	if !lost {
		for _, c := range publication.Changes {
			f.set(Entry{
				Key: c.Key, Revision: offset, Removed: c.Removed, Publication: id,
				Publisher: publication.Publisher, Content: c.Content, Document: c.Document,
			})
		}
	}
	f.remember(Outcome{Publication: id, Offset: offset, Accepted: !lost, Loss: loss})
}

// Skip passes over a record that changes nothing.
func (f *Fold) Skip(offset fuchsiapitch.Offset) { f.offset = max(f.offset, offset) }

// findLoss returns the first change or guard that is not current.
func (f *Fold) findLoss(publication Publication) (Loss, bool) {
	for _, c := range publication.Changes {
		if e := f.entries[c.Key]; e.Revision != c.Parent {
			return lossTo(c.Key, e), true
		}
	}
	for _, g := range publication.Guards {
		if e := f.Newest(g.Kind); e.Revision != g.Revision {
			return lossTo(e.Key, e), true
		}
	}
	return Loss{}, false
}

func lossTo(key Key, winner Entry) Loss {
	return Loss{Key: key, Revision: winner.Revision, Publication: winner.Publication, Publisher: winner.Publisher}
}

// set replaces an entry and brings the hash up to date. The hash is a sum over
// the entries, so that it does not depend on the order of changes.
func (f *Fold) set(entry Entry) {
	if old, ok := f.entries[entry.Key]; ok {
		f.hash -= hashEntry(old)
	}
	f.entries[entry.Key] = entry
	f.hash += hashEntry(entry)
}

func (f *Fold) remember(outcome Outcome) {
	f.outcomes = append(f.outcomes, outcome)
	if excess := len(f.outcomes) - OutcomeLimit; excess > 0 {
		f.outcomes = slices.Delete(f.outcomes, 0, excess)
	}
}

// hashEntry returns the hash of everything in an entry that hosts must agree on.
func hashEntry(e Entry) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(e.Key.kind), e.Key.name, string(e.Publication), e.Publisher, string(e.Content)} {
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

// Configuration returns the configuration in force. Documents that this version
// does not understand are left out of it.
func (f *Fold) Configuration() fuchsiapitch.Configuration {
	var services []fuchsiapitch.Service
	var customers []fuchsiapitch.Customer
	var ranks []fuchsiapitch.Rank
	for _, e := range f.Entries() {
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
	return fuchsiapitch.NewConfiguration(f.offset, f.hash, services, customers, ranks)
}
