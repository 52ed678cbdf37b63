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

// stream is a log stream in memory that forgets its oldest records.
type stream struct {
	records []fuchsiapitch.Record
	oldest  fuchsiapitch.Offset
}

func (s *stream) append(id fuchsiapitch.RecordID, data []byte) {
	offset := fuchsiapitch.Offset(len(s.records) + 1)
	s.records = append(s.records, fuchsiapitch.NewRecord(id, data).WithOffset(offset))
}

func (s *stream) read(from fuchsiapitch.Offset, limit int) (fuchsiapitch.Batch, bool) {
	if from < s.oldest {
		return fuchsiapitch.Batch{}, false
	}
	last := min(int(from)-1+limit, len(s.records))
	records := s.records[min(int(from)-1, last):last]
	return fuchsiapitch.NewBatch(records, s.oldest, fuchsiapitch.Offset(last+1)), true
}

// model states, by simple means, what must hold after each offset.
type model struct {
	revisions map[configurer.Key]fuchsiapitch.Offset
	accepted  map[fuchsiapitch.RecordID]bool
	hashes    map[fuchsiapitch.Offset]uint64
	fold      *configurer.Fold
}

func newModel() *model {
	return &model{
		revisions: make(map[configurer.Key]fuchsiapitch.Offset), accepted: make(map[fuchsiapitch.RecordID]bool),
		hashes: map[fuchsiapitch.Offset]uint64{0: 0}, fold: configurer.NewFold(),
	}
}

func (m *model) append(r fuchsiapitch.Record) {
	body, err := encoder.DecodeConfiguration(r.Data())
	publication, ok := body.(configurer.Publication)
	if err == nil && ok {
		m.fold.Publish(r.ID(), r.Offset(), publication)
		m.publish(r, publication)
	}
	m.fold.Skip(r.Offset())
	m.hashes[r.Offset()] = m.fold.Hash()
}

func (m *model) publish(r fuchsiapitch.Record, publication configurer.Publication) {
	if _, seen := m.accepted[r.ID()]; seen {
		return
	}
	m.accepted[r.ID()] = true
	for _, c := range publication.Changes {
		m.accepted[r.ID()] = m.accepted[r.ID()] && m.revisions[c.Key] == c.Parent
	}
	for _, g := range publication.Guards {
		for k, v := range m.revisions {
			m.accepted[r.ID()] = m.accepted[r.ID()] && (k.Kind() != g.Kind || v <= g.Revision)
		}
	}
	if m.accepted[r.ID()] {
		for _, c := range publication.Changes {
			m.revisions[c.Key] = r.Offset()
		}
	}
}

// host is one reader of the stream, with one batch that is still on its way.
type host struct {
	follower *configurer.Follower
	seen     map[configurer.Key]fuchsiapitch.Offset
	from     fuchsiapitch.Offset
	delayed  fuchsiapitch.Batch
}

func newHost() *host {
	return &host{follower: configurer.NewFollower(encoder.DecodeConfiguration), seen: make(map[configurer.Key]fuchsiapitch.Offset)}
}

// world is the state machine that rapid drives.
type world struct {
	stream stream
	model  *model
	hosts  []*host
	count  int
}

func (w *world) append(t *rapid.T, id fuchsiapitch.RecordID, body configurer.Body) {
	data, err := encoder.EncodeConfiguration(body)
	if err != nil {
		t.Fatalf("encode: got error %v, want none", err)
	}
	w.appendData(id, data)
}

func (w *world) appendData(id fuchsiapitch.RecordID, data []byte) {
	w.stream.append(id, data)
	w.model.append(w.stream.records[len(w.stream.records)-1])
}

func (w *world) newID() fuchsiapitch.RecordID {
	w.count++
	return fuchsiapitch.RecordID(fmt.Sprint("record-", w.count))
}

func (w *world) drawHost(t *rapid.T) *host {
	return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
}

// Publish appends what a publisher with the view of some host, perhaps an old
// one, makes of it.
func (w *world) Publish(t *rapid.T) {
	fold := w.drawHost(t).follower.Fold()
	publication := configurer.Publication{Publisher: "ana"}
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 1, 3, rapid.ID[int]).Draw(t, "names")
	for _, n := range names {
		kind := rapid.SampledFrom([]configurer.Kind{configurer.RankKind, "other"}).Draw(t, "kind")
		key := configurer.NewKey(kind, fmt.Sprint("name-", n))
		current, _ := fold.Entry(key)
		publication.Changes = append(publication.Changes, configurer.Change{
			Key: key, Parent: current.Revision, Removed: rapid.Bool().Draw(t, "removed"), Content: []byte(fmt.Sprint(w.count)),
		})
	}
	if rapid.Bool().Draw(t, "guarded") {
		guard := configurer.Guard{Kind: configurer.RankKind, Revision: fold.Newest(configurer.RankKind).Revision}
		publication.Guards = append(publication.Guards, guard)
	}
	w.append(t, w.newID(), publication)
}

// Repeat appends a record again, as a late answer's retry does.
func (w *world) Repeat(t *rapid.T) {
	if len(w.stream.records) > 0 {
		r := rapid.SampledFrom(w.stream.records).Draw(t, "record")
		w.appendData(r.ID(), r.Data())
	}
}

// Garble appends a record that no version understands.
func (w *world) Garble(*rapid.T) { w.appendData(w.newID(), []byte{0xff}) }

// Checkpoint has a host append its state, which may be behind.
func (w *world) Checkpoint(t *rapid.T) {
	if h := w.drawHost(t); !h.follower.Scanning() {
		w.append(t, w.newID(), h.follower.Fold().Snapshot())
	}
}

// Truncate drops the oldest records.
func (w *world) Truncate(t *rapid.T) {
	w.stream.oldest = max(w.stream.oldest, fuchsiapitch.Offset(rapid.IntRange(1, len(w.stream.records)+1).Draw(t, "oldest")))
}

// Read has a host take in a batch.
func (w *world) Read(t *rapid.T) {
	h := w.drawHost(t)
	from := h.follower.Next()
	batch, ok := w.stream.read(from, rapid.IntRange(0, 4).Draw(t, "limit"))
	if !ok {
		h.follower.Truncate(w.stream.oldest)
		return
	}
	if rapid.Bool().Draw(t, "delayed") {
		h.from, h.delayed = from, batch
		return
	}
	h.follower.Read(from, batch)
}

// ReadDelayed has a host take in a batch that was on its way.
func (w *world) ReadDelayed(t *rapid.T) {
	h := w.drawHost(t)
	if h.from > 0 {
		h.follower.Read(h.from, h.delayed)
	}
}

// Restart has a host lose everything.
func (w *world) Restart(t *rapid.T) { *w.drawHost(t) = *newHost() }

// Transfer has a host take the state of another.
func (w *world) Transfer(t *rapid.T) {
	from, to := w.drawHost(t), w.drawHost(t)
	since := to.follower.Fold().Offset() * fuchsiapitch.Offset(rapid.IntRange(0, 1).Draw(t, "partial"))
	if _, err := to.follower.Restore(from.follower.Fold().SnapshotSince(since)); err != nil {
		t.Fatalf("restore: got error %v, want none", err)
	}
}

// Check compares every host with the model.
func (w *world) Check(t *rapid.T) {
	for i, h := range w.hosts {
		fold := h.follower.Fold()
		if got, want := fold.Hash(), w.model.hashes[fold.Offset()]; got != want {
			t.Fatalf("host %d at offset %d: got hash %x, want %x", i, fold.Offset(), got, want)
		}
		for _, e := range fold.Entries() {
			if e.Revision < h.seen[e.Key] {
				t.Fatalf("host %d: got revision %d of %s after %d", i, e.Revision, e.Key, h.seen[e.Key])
			}
			h.seen[e.Key] = e.Revision
		}
		if got, want := w.missing(fold), 0; got != want {
			t.Fatalf("host %d at offset %d: got %d outcomes missing, want %d", i, fold.Offset(), got, want)
		}
		for _, o := range fold.Snapshot().Outcomes {
			if got, want := o.Accepted, w.model.accepted[o.Publication]; got != want {
				t.Fatalf("host %d: got accepted %v for %s, want %v", i, got, o.Publication, want)
			}
		}
		if faults := h.follower.TakeFaults(); len(faults) > 0 {
			t.Fatalf("host %d: got faults %v, want none", i, faults)
		}
	}
	for k, want := range w.model.revisions {
		if e, _ := w.model.fold.Entry(k); e.Revision != want {
			t.Fatalf("got revision %d of %s, want %d", e.Revision, k, want)
		}
	}
}

// missing counts the publications that a host has passed and does not remember.
// The runs are too short for the limit to forget any.
func (w *world) missing(fold *configurer.Fold) int {
	count := 0
	for _, r := range w.stream.records[:fold.Offset()] {
		_, published := w.model.accepted[r.ID()]
		if _, known := fold.Outcome(r.ID()); published && !known {
			count++
		}
	}
	return count
}

// catchUp lets a host read until it has everything.
func (w *world) catchUp(t *rapid.T, h *host) {
	for range 4 * (len(w.stream.records) + 1) {
		batch, ok := w.stream.read(h.follower.Next(), 3)
		if !ok {
			h.follower.Truncate(w.stream.oldest)
			continue
		}
		h.follower.Read(h.follower.Next(), batch)
	}
	if got, want := h.follower.Fold().Offset(), w.model.fold.Offset(); got != want {
		t.Fatalf("got offset %d after reading everything, want %d", got, want)
	}
}

func TestFollower(t *testing.T) {
	t.Run("every host holds what the model holds", rapid.MakeCheck(func(t *rapid.T) {
		w := &world{stream: stream{oldest: 1}, model: newModel()}
		for range 3 {
			w.hosts = append(w.hosts, newHost())
		}
		t.Repeat(rapid.StateMachineActions(w))
		w.append(t, "final", w.model.fold.Snapshot())
		for _, h := range append(w.hosts, newHost()) {
			w.catchUp(t, h)
		}
		w.Check(t)
	}))
}

// readRecords returns the batch of garbled records from one offset to another.
func readRecords(from, to fuchsiapitch.Offset) fuchsiapitch.Batch {
	var records []fuchsiapitch.Record
	for o := from; o <= to; o++ {
		records = append(records, fuchsiapitch.NewRecord("garbled", []byte{0xff}).WithOffset(o))
	}
	return fuchsiapitch.NewBatch(records, 1, to+1)
}

func TestFollowerReads(t *testing.T) {
	follow := func() *configurer.Follower { return configurer.NewFollower(encoder.DecodeConfiguration) }
	t.Run("a batch that does not follow on is ignored", func(t *testing.T) {
		f := follow()
		if restart := f.Read(3, readRecords(3, 5)); !restart || f.Next() != 1 {
			t.Errorf("got restart %v and next %d, want true and 1", restart, f.Next())
		}
	})
	t.Run("a batch that was read before does not lead back", func(t *testing.T) {
		f := follow()
		f.Read(1, readRecords(1, 5))
		if restart := f.Read(1, readRecords(1, 2)); restart || f.Next() != 6 {
			t.Errorf("got restart %v and next %d, want false and 6", restart, f.Next())
		}
	})
	t.Run("a checkpoint that differs from the fold is a fault", func(t *testing.T) {
		f := follow()
		f.Read(1, readRecords(1, 1))
		data, err := encoder.EncodeConfiguration(configurer.Snapshot{Offset: 1, Hash: 7})
		if err != nil {
			t.Fatal(err)
		}
		f.Read(2, fuchsiapitch.NewBatch([]fuchsiapitch.Record{fuchsiapitch.NewRecord("c", data).WithOffset(2)}, 1, 3))
		if got := f.TakeFaults(); len(got) != 1 {
			t.Errorf("got faults %v, want one", got)
		}
	})
}

func publishOne(id fuchsiapitch.RecordID, f *configurer.Fold, offset, parent fuchsiapitch.Offset, content string) {
	change := configurer.Change{Key: configurer.NewKey(configurer.RankKind, "chat"), Parent: parent, Content: []byte(content)}
	f.Publish(id, offset, configurer.Publication{Publisher: string(id) + "-publisher", Changes: []configurer.Change{change}})
}

func TestFold(t *testing.T) {
	t.Run("the loser of a race is told who won", func(t *testing.T) {
		f := configurer.NewFold()
		publishOne("first", f, 1, 0, "a")
		publishOne("second", f, 2, 0, "b")
		got, _ := f.Outcome("second")
		want := configurer.Outcome{Publication: "second", Offset: 2, Loss: configurer.Loss{
			Key: configurer.NewKey(configurer.RankKind, "chat"), Revision: 1, Publication: "first", Publisher: "first-publisher",
		}}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	t.Run("a removed document keeps its revision", func(t *testing.T) {
		f := configurer.NewFold()
		key := configurer.NewKey(configurer.RankKind, "chat")
		f.Publish("p", 1, configurer.Publication{Changes: []configurer.Change{{Key: key, Removed: true}}})
		publishOne("q", f, 2, 0, "b")
		if e, _ := f.Entry(key); e.Revision != 1 || !e.Removed {
			t.Errorf("got %+v, want the removal at revision 1", e)
		}
	})
	t.Run("a record before the offset has no effect", func(t *testing.T) {
		f := configurer.NewFold()
		f.Skip(5)
		publishOne("p", f, 5, 0, "a")
		if got := len(f.Entries()); got != 0 || f.Offset() != 5 {
			t.Errorf("got %d entries at offset %d, want 0 at 5", got, f.Offset())
		}
	})
	t.Run("outcomes are bounded", func(t *testing.T) {
		f := configurer.NewFold()
		for i := range 2 * configurer.OutcomeLimit {
			publishOne(fuchsiapitch.RecordID(fmt.Sprint(i)), f, fuchsiapitch.Offset(i+1), fuchsiapitch.Offset(i), "a")
		}
		if got := len(f.Snapshot().Outcomes); got != configurer.OutcomeLimit {
			t.Errorf("got %d outcomes, want %d", got, configurer.OutcomeLimit)
		}
	})
	t.Run("a damaged snapshot and one that takes a document back are refused", func(t *testing.T) {
		f := configurer.NewFold()
		publishOne("p", f, 5, 0, "a")
		damaged := f.Snapshot()
		damaged.Entries = slices.Clone(damaged.Entries)
		damaged.Offset, damaged.Entries[0].Content = 6, []byte("other")
		if restored, err := f.Restore(damaged); restored || err == nil {
			t.Errorf("got restored %v with error %v, want a hash error", restored, err)
		}
		behind := configurer.NewFold()
		publishOne("p", behind, 4, 0, "a")
		behind.Skip(9)
		if restored, err := f.Restore(behind.Snapshot()); restored || err == nil {
			t.Errorf("got restored %v with error %v, want a revision error", restored, err)
		}
	})
}
