package configurer_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
)

// fakeStream is an in-memory log stream whose oldest records can be truncated.
type fakeStream struct {
	records      []fuchsiapitch.Record
	oldestOffset fuchsiapitch.Offset
}

func (s *fakeStream) append(id fuchsiapitch.RecordID, data []byte) {
	offset := fuchsiapitch.Offset(len(s.records) + 1)
	s.records = append(s.records, fuchsiapitch.NewRecord(id, data).WithOffset(offset))
}

func (s *fakeStream) read(from fuchsiapitch.Offset, limit int) (fuchsiapitch.Batch, bool) {
	if from < s.oldestOffset {
		return fuchsiapitch.Batch{}, false
	}
	last := min(int(from)-1+limit, len(s.records))
	records := s.records[min(int(from)-1, last):last]
	return fuchsiapitch.NewBatch(records, s.oldestOffset, fuchsiapitch.Offset(last+1)), true
}

// referenceModel is a simpler implementation of the state machine. It gives the
// expected state after each offset.
type referenceModel struct {
	revisions    map[configurer.Key]fuchsiapitch.Offset
	accepted     map[fuchsiapitch.RecordID]bool
	hashes       map[fuchsiapitch.Offset]uint64
	stateMachine *configurer.StateMachine
}

func newReferenceModel() *referenceModel {
	return &referenceModel{
		revisions: make(map[configurer.Key]fuchsiapitch.Offset), accepted: make(map[fuchsiapitch.RecordID]bool),
		hashes: map[fuchsiapitch.Offset]uint64{0: 0}, stateMachine: configurer.NewStateMachine(),
	}
}

func (m *referenceModel) applyRecord(r fuchsiapitch.Record) {
	body, err := encoder.DecodeConfigurationRecord(r.Data())
	publication, ok := body.(configurer.Publication)
	if err == nil && ok {
		m.stateMachine.ApplyPublication(r.ID(), r.Offset(), publication)
		m.applyPublication(r, publication)
	}
	m.stateMachine.SkipRecord(r.Offset())
	m.hashes[r.Offset()] = m.stateMachine.Hash()
}

func (m *referenceModel) applyPublication(r fuchsiapitch.Record, publication configurer.Publication) {
	if _, applied := m.accepted[r.ID()]; applied {
		return
	}
	m.accepted[r.ID()] = true
	for _, c := range publication.Changes {
		m.accepted[r.ID()] = m.accepted[r.ID()] && m.revisions[c.Key] == c.ParentRevision
	}
	for _, p := range publication.Preconditions {
		for k, v := range m.revisions {
			m.accepted[r.ID()] = m.accepted[r.ID()] && (k.Kind() != p.Kind || v <= p.LatestRevision)
		}
	}
	if m.accepted[r.ID()] {
		for _, c := range publication.Changes {
			m.revisions[c.Key] = r.Offset()
		}
	}
}

// simulatedHost is a reader of the stream. delayedBatch is a batch that was read
// at delayedFrom and is delivered later.
type simulatedHost struct {
	follower      *configurer.Follower
	lastRevisions map[configurer.Key]fuchsiapitch.Offset
	delayedFrom   fuchsiapitch.Offset
	delayedBatch  fuchsiapitch.Batch
}

func newSimulatedHost() *simulatedHost {
	return &simulatedHost{follower: configurer.NewFollower(encoder.DecodeConfigurationRecord), lastRevisions: make(map[configurer.Key]fuchsiapitch.Offset)}
}

// simulation holds the actions that rapid runs in random order.
type simulation struct {
	stream  fakeStream
	model   *referenceModel
	hosts   []*simulatedHost
	idCount int
}

func (si *simulation) appendRecord(t *rapid.T, id fuchsiapitch.RecordID, body configurer.RecordBody) {
	data, err := encoder.EncodeConfigurationRecord(body)
	if err != nil {
		t.Fatalf("encode: got error %v, want none", err)
	}
	si.appendData(id, data)
}

func (si *simulation) appendData(id fuchsiapitch.RecordID, data []byte) {
	si.stream.append(id, data)
	si.model.applyRecord(si.stream.records[len(si.stream.records)-1])
}

func (si *simulation) newID() fuchsiapitch.RecordID {
	si.idCount++
	return fuchsiapitch.RecordID(fmt.Sprint("record-", si.idCount))
}

func (si *simulation) drawHost(t *rapid.T) *simulatedHost {
	return si.hosts[rapid.IntRange(0, len(si.hosts)-1).Draw(t, "host")]
}

// Publish appends a publication that is based on the state of a random host,
// which may be out of date.
func (si *simulation) Publish(t *rapid.T) {
	stateMachine := si.drawHost(t).follower.StateMachine()
	publication := configurer.Publication{Publisher: "ana"}
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 1, 3, rapid.ID[int]).Draw(t, "names")
	for _, n := range names {
		kind := rapid.SampledFrom([]configurer.Kind{configurer.RankKind, "other"}).Draw(t, "kind")
		key := configurer.NewKey(kind, fmt.Sprint("name-", n))
		current, _ := stateMachine.Entry(key)
		publication.Changes = append(publication.Changes, configurer.Change{
			Key: key, ParentRevision: current.Revision, Removed: rapid.Bool().Draw(t, "removed"), Content: []byte(fmt.Sprint(si.idCount)),
		})
	}
	if rapid.Bool().Draw(t, "guarded") {
		precondition := configurer.Precondition{Kind: configurer.RankKind, LatestRevision: stateMachine.LatestEntry(configurer.RankKind).Revision}
		publication.Preconditions = append(publication.Preconditions, precondition)
	}
	si.appendRecord(t, si.newID(), publication)
}

// Repeat appends a record again, like a publisher that retries an append whose
// response was late.
func (si *simulation) Repeat(t *rapid.T) {
	if len(si.stream.records) > 0 {
		r := rapid.SampledFrom(si.stream.records).Draw(t, "record")
		si.appendData(r.ID(), r.Data())
	}
}

// Garble appends a record that no version can decode.
func (si *simulation) Garble(*rapid.T) { si.appendData(si.newID(), []byte{0xff}) }

// Checkpoint appends the state of a host, which may be out of date.
func (si *simulation) Checkpoint(t *rapid.T) {
	if h := si.drawHost(t); !h.follower.HasGap() {
		si.appendRecord(t, si.newID(), h.follower.StateMachine().Snapshot())
	}
}

// Truncate truncates the oldest records of the stream.
func (si *simulation) Truncate(t *rapid.T) {
	si.stream.oldestOffset = max(si.stream.oldestOffset, fuchsiapitch.Offset(rapid.IntRange(1, len(si.stream.records)+1).Draw(t, "oldest")))
}

// Read lets a host read a batch, which is applied now or later.
func (si *simulation) Read(t *rapid.T) {
	h := si.drawHost(t)
	from := h.follower.NextOffset()
	batch, ok := si.stream.read(from, rapid.IntRange(0, 4).Draw(t, "limit"))
	if !ok {
		h.follower.ApplyTruncation(si.stream.oldestOffset)
		return
	}
	if rapid.Bool().Draw(t, "delayed") {
		h.delayedFrom, h.delayedBatch = from, batch
		return
	}
	h.follower.ApplyBatch(from, batch)
}

// ReadDelayed delivers the delayed batch of a host, possibly again.
func (si *simulation) ReadDelayed(t *rapid.T) {
	h := si.drawHost(t)
	if h.delayedFrom > 0 {
		h.follower.ApplyBatch(h.delayedFrom, h.delayedBatch)
	}
}

// Restart restarts a host without its state.
func (si *simulation) Restart(t *rapid.T) { *si.drawHost(t) = *newSimulatedHost() }

// Transfer restores a host from the full or partial snapshot of another.
func (si *simulation) Transfer(t *rapid.T) {
	from, to := si.drawHost(t), si.drawHost(t)
	since := to.follower.StateMachine().Offset() * fuchsiapitch.Offset(rapid.IntRange(0, 1).Draw(t, "partial"))
	if _, err := to.follower.Restore(from.follower.StateMachine().SnapshotSince(since)); err != nil {
		t.Fatalf("restore: got error %v, want none", err)
	}
}

// Check compares every host with the reference model.
func (si *simulation) Check(t *rapid.T) {
	for i, h := range si.hosts {
		stateMachine := h.follower.StateMachine()
		if got, want := stateMachine.Hash(), si.model.hashes[stateMachine.Offset()]; got != want {
			t.Fatalf("host %d at offset %d: got hash %x, want %x", i, stateMachine.Offset(), got, want)
		}
		for _, e := range stateMachine.Entries() {
			if e.Revision < h.lastRevisions[e.Key] {
				t.Fatalf("host %d: got revision %d of %s after %d", i, e.Revision, e.Key, h.lastRevisions[e.Key])
			}
			h.lastRevisions[e.Key] = e.Revision
		}
		if got, want := si.countMissingOutcomes(stateMachine), 0; got != want {
			t.Fatalf("host %d at offset %d: got %d outcomes missing, want %d", i, stateMachine.Offset(), got, want)
		}
		for _, o := range stateMachine.Snapshot().Outcomes {
			if got, want := o.Accepted, si.model.accepted[o.PublicationID]; got != want {
				t.Fatalf("host %d: got accepted %v for %s, want %v", i, got, o.PublicationID, want)
			}
		}
		if errors := h.follower.TakeErrors(); len(errors) > 0 {
			t.Fatalf("host %d: got errors %v, want none", i, errors)
		}
	}
	for k, want := range si.model.revisions {
		if e, _ := si.model.stateMachine.Entry(k); e.Revision != want {
			t.Fatalf("got revision %d of %s, want %d", e.Revision, k, want)
		}
	}
}

// countMissingOutcomes counts the publications up to the offset of a host whose
// outcomes it does not hold. A run has fewer publications than OutcomeLimit, so
// none may be missing.
func (si *simulation) countMissingOutcomes(stateMachine *configurer.StateMachine) int {
	count := 0
	for _, r := range si.stream.records[:stateMachine.Offset()] {
		_, published := si.model.accepted[r.ID()]
		if _, found := stateMachine.Outcome(r.ID()); published && !found {
			count++
		}
	}
	return count
}

// catchUp lets a host read to the end of the stream.
func (si *simulation) catchUp(t *rapid.T, h *simulatedHost) {
	for range 4 * (len(si.stream.records) + 1) {
		batch, ok := si.stream.read(h.follower.NextOffset(), 3)
		if !ok {
			h.follower.ApplyTruncation(si.stream.oldestOffset)
			continue
		}
		h.follower.ApplyBatch(h.follower.NextOffset(), batch)
	}
	if got, want := h.follower.StateMachine().Offset(), si.model.stateMachine.Offset(); got != want {
		t.Fatalf("got offset %d after reading everything, want %d", got, want)
	}
}

func TestFollower(t *testing.T) {
	t.Run("every host holds what the model holds", rapid.MakeCheck(func(t *rapid.T) {
		si := &simulation{stream: fakeStream{oldestOffset: 1}, model: newReferenceModel()}
		for range 3 {
			si.hosts = append(si.hosts, newSimulatedHost())
		}
		t.Repeat(rapid.StateMachineActions(si))
		si.appendRecord(t, "final", si.model.stateMachine.Snapshot())
		for _, h := range append(si.hosts, newSimulatedHost()) {
			si.catchUp(t, h)
		}
		si.Check(t)
	}))
}

// undecodableBatch returns a batch of undecodable records for a range of offsets.
func undecodableBatch(from, to fuchsiapitch.Offset) fuchsiapitch.Batch {
	var records []fuchsiapitch.Record
	for o := from; o <= to; o++ {
		records = append(records, fuchsiapitch.NewRecord("garbled", []byte{0xff}).WithOffset(o))
	}
	return fuchsiapitch.NewBatch(records, 1, to+1)
}

func TestFollowerReads(t *testing.T) {
	newFollower := func() *configurer.Follower { return configurer.NewFollower(encoder.DecodeConfigurationRecord) }
	t.Run("a batch that does not follow on is ignored", func(t *testing.T) {
		f := newFollower()
		if restart := f.ApplyBatch(3, undecodableBatch(3, 5)); !restart || f.NextOffset() != 1 {
			t.Errorf("got restart %v and next %d, want true and 1", restart, f.NextOffset())
		}
	})
	t.Run("a batch that was read before does not lead back", func(t *testing.T) {
		f := newFollower()
		f.ApplyBatch(1, undecodableBatch(1, 5))
		if restart := f.ApplyBatch(1, undecodableBatch(1, 2)); restart || f.NextOffset() != 6 {
			t.Errorf("got restart %v and next %d, want false and 6", restart, f.NextOffset())
		}
	})
	t.Run("a checkpoint that differs from the fold is a fault", func(t *testing.T) {
		f := newFollower()
		f.ApplyBatch(1, undecodableBatch(1, 1))
		data, err := encoder.EncodeConfigurationRecord(configurer.Snapshot{Offset: 1, Hash: 7})
		if err != nil {
			t.Fatal(err)
		}
		f.ApplyBatch(2, fuchsiapitch.NewBatch([]fuchsiapitch.Record{fuchsiapitch.NewRecord("c", data).WithOffset(2)}, 1, 3))
		if got := f.TakeErrors(); len(got) != 1 {
			t.Errorf("got errors %v, want one", got)
		}
	})
}

func applyChange(id fuchsiapitch.RecordID, sm *configurer.StateMachine, offset, parent fuchsiapitch.Offset, content string) {
	change := configurer.Change{Key: configurer.NewKey(configurer.RankKind, "chat"), ParentRevision: parent, Content: []byte(content)}
	sm.ApplyPublication(id, offset, configurer.Publication{Publisher: string(id) + "-publisher", Changes: []configurer.Change{change}})
}

func TestFold(t *testing.T) {
	t.Run("the loser of a race is told who won", func(t *testing.T) {
		sm := configurer.NewStateMachine()
		applyChange("first", sm, 1, 0, "a")
		applyChange("second", sm, 2, 0, "b")
		got, _ := sm.Outcome("second")
		want := configurer.PublicationOutcome{PublicationID: "second", Offset: 2, Conflict: configurer.Conflict{
			Key: configurer.NewKey(configurer.RankKind, "chat"), CurrentRevision: 1, PublicationID: "first", Publisher: "first-publisher",
		}}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	t.Run("a removed document keeps its revision", func(t *testing.T) {
		sm := configurer.NewStateMachine()
		key := configurer.NewKey(configurer.RankKind, "chat")
		sm.ApplyPublication("p", 1, configurer.Publication{Changes: []configurer.Change{{Key: key, Removed: true}}})
		applyChange("q", sm, 2, 0, "b")
		if e, _ := sm.Entry(key); e.Revision != 1 || !e.Removed {
			t.Errorf("got %+v, want the removal at revision 1", e)
		}
	})
	t.Run("a record before the offset has no effect", func(t *testing.T) {
		sm := configurer.NewStateMachine()
		sm.SkipRecord(5)
		applyChange("p", sm, 5, 0, "a")
		if got := len(sm.Entries()); got != 0 || sm.Offset() != 5 {
			t.Errorf("got %d entries at offset %d, want 0 at 5", got, sm.Offset())
		}
	})
	t.Run("outcomes are bounded", func(t *testing.T) {
		sm := configurer.NewStateMachine()
		for i := range 2 * configurer.OutcomeLimit {
			applyChange(fuchsiapitch.RecordID(fmt.Sprint(i)), sm, fuchsiapitch.Offset(i+1), fuchsiapitch.Offset(i), "a")
		}
		if got := len(sm.Snapshot().Outcomes); got != configurer.OutcomeLimit {
			t.Errorf("got %d outcomes, want %d", got, configurer.OutcomeLimit)
		}
	})
	t.Run("a damaged snapshot and one that takes a document back are refused", func(t *testing.T) {
		sm := configurer.NewStateMachine()
		applyChange("p", sm, 5, 0, "a")
		damaged := sm.Snapshot()
		damaged.Entries = slices.Clone(damaged.Entries)
		damaged.Offset, damaged.Entries[0].Content = 6, []byte("other")
		if restored, err := sm.Restore(damaged); restored || err == nil {
			t.Errorf("got restored %v with error %v, want a hash error", restored, err)
		}
		behind := configurer.NewStateMachine()
		applyChange("p", behind, 4, 0, "a")
		behind.SkipRecord(9)
		if restored, err := sm.Restore(behind.Snapshot()); restored || err == nil {
			t.Errorf("got restored %v with error %v, want a revision error", restored, err)
		}
	})
}
