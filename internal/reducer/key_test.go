package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/deduplicator"
)

func newDeskState(name fuchsiapitch.HostID) *State {
	s := New(fuchsiapitch.NewHost(name, "127.0.0.1:1", "heredia", 1))
	desk := fuchsiapitch.NewService("mostrador", fuchsiapitch.ApplicationService, "counter")
	rank := fuchsiapitch.NewRank("counter", 0, time.Second, time.Second, 1, 0)
	server := fuchsiapitch.NewBackendServer("s1", fuchsiapitch.ApplicationServer, "127.0.0.1:2", "heredia")
	s.Apply(at(0), FleetDescribed{
		Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{desk}, nil, []fuchsiapitch.Rank{rank}),
		Replicas:      []fuchsiapitch.Replica{fuchsiapitch.NewReplica("a1", "mostrador", server, 8, "")},
	})
	return s
}

func newDeposit(id fuchsiapitch.RequestID, key string, body uint64) fuchsiapitch.Request {
	return fuchsiapitch.NewRequest(id, "mostrador", "family", "counter",
		fuchsiapitch.WithTimeLimit(20*time.Second), fuchsiapitch.WithIdempotencyKey(key, body))
}

// append is a record on its way to the log.
type pendingAppend struct {
	host   int
	stream fuchsiapitch.StreamName
	record fuchsiapitch.Record
}

// attempt is a call on its way to the application.
type openCall struct {
	host  int
	start StartAttempt
}

// keyMachine runs hosts that share a log and an application with a ledger.
type keyMachine struct {
	t        *rapid.T
	now      time.Duration
	hosts    []*State
	streams  map[fuchsiapitch.StreamName][]fuchsiapitch.Record
	read     []map[fuchsiapitch.StreamName]int
	appends  []pendingAppend
	calls    []openCall
	requests map[fuchsiapitch.RequestID]fuchsiapitch.Request
	// ran names the request that ran for each key, and told what was said.
	ran    map[string]fuchsiapitch.RequestID
	told   map[fuchsiapitch.RequestID]string
	answer map[string]string
	next   int
}

func newKeyMachine(t *rapid.T) *keyMachine {
	m := &keyMachine{
		t: t, streams: make(map[fuchsiapitch.StreamName][]fuchsiapitch.Record),
		requests: make(map[fuchsiapitch.RequestID]fuchsiapitch.Request),
		ran:      make(map[string]fuchsiapitch.RequestID), told: make(map[fuchsiapitch.RequestID]string), answer: make(map[string]string),
	}
	for h := range 3 {
		m.hosts = append(m.hosts, nil)
		m.read = append(m.read, nil)
		m.restart(h)
	}
	return m
}

// restart replaces a host by one that knows nothing. Its calls and appends on
// the way go on without it.
func (m *keyMachine) restart(h int) {
	m.hosts[h] = newDeskState(fuchsiapitch.HostID(fmt.Sprint("host-", h, "-", m.next)))
	m.read[h] = make(map[fuchsiapitch.StreamName]int)
	for i := range m.calls {
		if m.calls[i].host == h {
			m.calls[i].host = -1
		}
	}
	for i := range m.appends {
		if m.appends[i].host == h {
			m.appends[i].host = -1
		}
	}
}

func (m *keyMachine) apply(h int, event Event) {
	m.now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(m.t, "time"))
	for _, effect := range m.hosts[h].Apply(at(m.now), event) {
		m.observe(h, effect)
	}
}

func (m *keyMachine) observe(h int, effect Effect) {
	switch e := effect.(type) {
	case AppendRecord:
		m.appends = append(m.appends, pendingAppend{host: h, stream: e.Stream, record: e.Record})
	case StartAttempt:
		m.calls = append(m.calls, openCall{host: h, start: e})
	case RefuseRequest:
		m.told[e.Request] = "not-run"
		if m.ran[m.requests[e.Request].Key()] == e.Request {
			m.t.Fatalf("got a refusal of %s, which ran", e.Request)
		}
	case ReplayAnswer:
		if want := m.answer[m.requests[e.Request].Key()]; string(e.Body) != want {
			m.t.Fatalf("got answer %q, want %q", e.Body, want)
		}
	case ReportViolation:
		m.t.Fatalf("got violation %v", e.Violation)
	}
}

func (m *keyMachine) receive() {
	m.next++
	id := fuchsiapitch.RequestID(fmt.Sprint("r", m.next))
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(m.t, "key")
	m.requests[id] = newDeposit(id, key, rapid.Uint64Range(1, 2).Draw(m.t, "body"))
	m.apply(rapid.IntRange(0, 2).Draw(m.t, "host"), RequestReceived{Request: m.requests[id]})
}

// endAppend lands an append, loses it, or loses its answer. A record whose
// answer was lost may land later.
func (m *keyMachine) endAppend() {
	if len(m.appends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.appends)-1).Draw(m.t, "append")
	a := m.appends[i]
	m.appends = slices.Delete(m.appends, i, i+1)
	ended := AppendEnded{Stream: a.stream, Record: a.record.ID()}
	ended.Result = rapid.SampledFrom([]AppendResult{Appended, Appended, NotAppended, MaybeAppended}).Draw(m.t, "result")
	landed := ended.Result == Appended
	if ended.Result == MaybeAppended {
		switch rapid.IntRange(0, 2).Draw(m.t, "lost") {
		case 0:
			landed = true
		case 1:
			m.appends = append(m.appends, pendingAppend{host: -1, stream: a.stream, record: a.record})
		}
	}
	if landed {
		m.streams[a.stream] = append(m.streams[a.stream], a.record.At(fuchsiapitch.Offset(len(m.streams[a.stream])+1)))
	}
	if a.host >= 0 {
		m.apply(a.host, ended)
	}
}

// follow has a host read the next records of a stream.
func (m *keyMachine) follow() {
	h := rapid.IntRange(0, 2).Draw(m.t, "host")
	if len(m.streams) == 0 {
		return
	}
	stream := rapid.SampledFrom(sortedKeys(m.streams)).Draw(m.t, "stream")
	from := m.read[h][stream]
	count := rapid.IntRange(0, len(m.streams[stream])-from).Draw(m.t, "records")
	m.read[h][stream] = from + count
	batch := fuchsiapitch.NewBatch(m.streams[stream][from:from+count], 1, fuchsiapitch.Offset(from+count+1))
	m.apply(h, RecordsRead{Stream: stream, Batch: batch})
}

// call runs a call at the application, or loses it before it runs.
func (m *keyMachine) call() {
	if len(m.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(m.t, "call")
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	id := c.start.Request
	key := m.requests[id].Key()
	outcome := rapid.SampledFrom([]fuchsiapitch.Outcome{fuchsiapitch.NotRun, fuchsiapitch.Unknown, fuchsiapitch.Succeeded}).Draw(m.t, "outcome")
	if outcome != fuchsiapitch.NotRun {
		if first, doubled := m.ran[key]; doubled {
			m.t.Fatalf("got %s run by %s after %s", key, id, first)
		}
		if m.told[id] == "not-run" {
			m.t.Fatalf("got %s run after a refusal", id)
		}
		m.ran[key] = id
		m.answer[key] = "answer to " + string(id)
	}
	if c.host < 0 {
		return
	}
	if outcome == fuchsiapitch.Succeeded {
		m.apply(c.host, AnswerStored{Request: id, Status: 200, Body: []byte(m.answer[key])})
	}
	m.apply(c.host, AttemptEnded{Request: id, Attempt: c.start.Attempt, Outcome: outcome})
}

// abandon has the caller of a request go. Its holder sends nothing any more.
func (m *keyMachine) abandon() {
	if len(m.requests) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedKeys(m.requests)).Draw(m.t, "request")
	m.calls = slices.DeleteFunc(m.calls, func(c openCall) bool { return c.start.Request == id })
	for h := range m.hosts {
		m.apply(h, RequestAbandoned{Request: id})
	}
}

func (m *keyMachine) step() {
	switch rapid.IntRange(0, 13).Draw(m.t, "step") {
	case 0, 1:
		m.receive()
	case 2, 3, 4:
		m.endAppend()
	case 5, 6, 7, 8:
		m.follow()
	case 9, 10:
		m.call()
	case 11:
		m.apply(rapid.IntRange(0, 2).Draw(m.t, "host"), Ticked{})
	case 12:
		m.abandon()
	case 13:
		if rapid.IntRange(0, 4).Draw(m.t, "death") == 0 {
			m.restart(rapid.IntRange(0, 2).Draw(m.t, "host"))
		}
	}
}

func TestKeysUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newKeyMachine(r)
		for range rapid.IntRange(50, 300).Draw(r, "steps") {
			m.step()
		}
	})
}

func effectOf[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found
		}
	}
	var want E
	t.Fatalf("got %v, want %T", effects, want)
	return want
}

func assertRefusal(t *testing.T, effects []Effect, want fuchsiapitch.RefusalReason) {
	t.Helper()
	if got := effectOf[RefuseRequest](t, effects); got.Reason != want {
		t.Errorf("got refusal %s, want %s", got.Reason, want)
	}
}

// land returns the batch of an appended record.
func land(a AppendRecord, offset fuchsiapitch.Offset) RecordsRead {
	return RecordsRead{Stream: a.Stream, Batch: fuchsiapitch.NewBatch([]fuchsiapitch.Record{a.Record.At(offset)}, 1, offset+1)}
}

func TestKey(t *testing.T) {
	reserve := func(t *testing.T, s *State) (AppendRecord, StartAttempt) {
		t.Helper()
		a := effectOf[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newDeposit("r1", "k", 1)}))
		s.Apply(at(1), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: Appended})
		return a, effectOf[StartAttempt](t, s.Apply(at(2), land(a, 1)))
	}
	t.Run("the log away refuses keyed requests and lets others go on", func(t *testing.T) {
		s := newDeskState("host-a")
		a := effectOf[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newDeposit("r1", "k", 1)}))
		assertRefusal(t, s.Apply(at(1), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: NotAppended}), fuchsiapitch.RefusedLogAway)
		effectOf[StartAttempt](t, s.Apply(at(2), RequestReceived{Request: newDeposit("r2", "", 1)}))
	})
	t.Run("a claim that never comes back is refused in time", func(t *testing.T) {
		s := newDeskState("host-a")
		a := effectOf[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newDeposit("r1", "k", 1)}))
		s.Apply(at(1), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: MaybeAppended})
		assertRefusal(t, s.Apply(at(reserveLimit), Ticked{}), fuchsiapitch.RefusedLogAway)
		release := effectOf[AppendRecord](t, s.Apply(at(reserveLimit+1), land(a, 1)))
		s.Apply(at(reserveLimit+2), land(release, 2))
		if v := s.keys.fold.Look(time.Unix(0, 0), deduplicator.NewKey("family", "mostrador", "k"), 1); v.Standing != deduplicator.Free {
			t.Errorf("got standing %d after the late claim, want a released key", v.Standing)
		}
	})
	t.Run("a lost append answer is resolved by reading back", func(t *testing.T) {
		s := newDeskState("host-a")
		a := effectOf[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newDeposit("r1", "k", 1)}))
		s.Apply(at(1), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: MaybeAppended})
		again := effectOf[AppendRecord](t, s.Apply(at(2*time.Second), Ticked{}))
		if again.Record.ID() != a.Record.ID() {
			t.Errorf("got record %s, want %s again", again.Record.ID(), a.Record.ID())
		}
		effectOf[StartAttempt](t, s.Apply(at(3*time.Second), land(a, 1)))
	})
	t.Run("another host gets the stored answer", func(t *testing.T) {
		s, other := newDeskState("host-a"), newDeskState("host-b")
		claim, start := reserve(t, s)
		other.Apply(at(3), land(claim, 1))
		assertRefusal(t, other.Apply(at(3), RequestReceived{Request: newDeposit("r2", "k", 1)}), fuchsiapitch.RefusedKeyInProgress)
		assertRefusal(t, other.Apply(at(3), RequestReceived{Request: newDeposit("r3", "k", 2)}), fuchsiapitch.RefusedKeyReuse)
		s.Apply(at(4), AnswerStored{Request: "r1", Status: 201, Body: []byte("booked")})
		done := effectOf[AppendRecord](t, s.Apply(at(5), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.Succeeded}))
		other.Apply(at(6), land(done, 2))
		for _, h := range []*State{s, other} {
			got := effectOf[ReplayAnswer](t, h.Apply(at(7), RequestReceived{Request: newDeposit("r4", "k", 1)}))
			if got.Status != 201 || string(got.Body) != "booked" {
				t.Errorf("got answer %d %q", got.Status, got.Body)
			}
		}
	})
	t.Run("the key of a dead host is unknown after its deadline", func(t *testing.T) {
		other := newDeskState("host-b")
		claim, _ := reserve(t, newDeskState("host-a"))
		other.Apply(at(3), land(claim, 1))
		assertFinish(t, other.Apply(at(time.Minute), RequestReceived{Request: newDeposit("r2", "k", 1)}), fuchsiapitch.Unknown)
	})
	t.Run("many keys travel in one record", func(t *testing.T) {
		s := newDeskState("host-a")
		appends := 0
		count := func(effects []Effect) {
			for _, e := range effects {
				if a, ok := e.(AppendRecord); ok {
					appends++
					s.Apply(at(time.Duration(appends)), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: MaybeAppended})
				}
			}
		}
		for i := range 500 {
			id := fuchsiapitch.RequestID(fmt.Sprint("r", i))
			count(s.Apply(at(0), RequestReceived{Request: newDeposit(id, string(id), 1)}))
		}
		if appends > 2*deduplicator.ShardCount {
			t.Errorf("got %d appends for 500 keys, want few", appends)
		}
	})
}
