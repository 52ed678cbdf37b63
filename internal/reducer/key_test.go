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

func newApplicationState(name fuchsiapitch.HostID) *State {
	s := New(fuchsiapitch.NewHost(name, "127.0.0.1:1", "heredia", 1))
	service := fuchsiapitch.NewService("mostrador", fuchsiapitch.ApplicationService, "counter")
	rank := fuchsiapitch.NewRank("counter", 0, time.Second, time.Second, 1, 0)
	server := fuchsiapitch.NewBackendServer("s1", fuchsiapitch.ApplicationServer, "127.0.0.1:2", "heredia")
	s.Apply(at(0), FleetOverridden{
		Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, nil, []fuchsiapitch.Rank{rank}),
		Replicas:      []fuchsiapitch.Replica{fuchsiapitch.NewReplica("a1", "mostrador", server, 8, "")},
	})
	return s
}

func newKeyedRequest(id fuchsiapitch.RequestID, key string, body uint64) fuchsiapitch.Request {
	return fuchsiapitch.NewRequest(id, "mostrador", "family", "counter",
		fuchsiapitch.WithTimeLimit(20*time.Second), fuchsiapitch.WithIdempotencyKey(key, body))
}

// pendingAppend is an append that has not ended. hostIndex is -1 after a restart
// of the host.
type pendingAppend struct {
	hostIndex int
	stream    fuchsiapitch.StreamName
	record    fuchsiapitch.Record
}

// openCall is a call to the application that has not ended. hostIndex is -1 after a
// restart of the host.
type openCall struct {
	hostIndex int
	start     StartAttempt
}

// keyMachine applies random events to hosts that share a log and an application.
// It checks that the application runs at most one request for each key and that no
// request runs after its refusal.
type keyMachine struct {
	t          *rapid.T
	now        time.Duration
	hosts      []*State
	streams    map[fuchsiapitch.StreamName][]fuchsiapitch.Record
	readCounts []map[fuchsiapitch.StreamName]int
	appends    []pendingAppend
	calls      []openCall
	requests   map[fuchsiapitch.RequestID]fuchsiapitch.Request
	// executedBy names the request that ran for each key, and reportedOutcomes
	// holds "not-run" for each refused request.
	executedBy       map[string]fuchsiapitch.RequestID
	reportedOutcomes map[fuchsiapitch.RequestID]string
	responses        map[string]string
	requestCount     int
}

func newKeyMachine(t *rapid.T) *keyMachine {
	m := &keyMachine{
		t: t, streams: make(map[fuchsiapitch.StreamName][]fuchsiapitch.Record),
		requests:   make(map[fuchsiapitch.RequestID]fuchsiapitch.Request),
		executedBy: make(map[string]fuchsiapitch.RequestID), reportedOutcomes: make(map[fuchsiapitch.RequestID]string), responses: make(map[string]string),
	}
	for h := range 3 {
		m.hosts = append(m.hosts, nil)
		m.readCounts = append(m.readCounts, nil)
		m.restart(h)
	}
	return m
}

// restart replaces a host with a new process that has an empty state. The open
// calls and appends of the old process can still take effect.
func (m *keyMachine) restart(h int) {
	m.hosts[h] = newApplicationState(fuchsiapitch.HostID(fmt.Sprint("host-", h, "-", m.requestCount)))
	m.readCounts[h] = make(map[fuchsiapitch.StreamName]int)
	for i := range m.calls {
		if m.calls[i].hostIndex == h {
			m.calls[i].hostIndex = -1
		}
	}
	for i := range m.appends {
		if m.appends[i].hostIndex == h {
			m.appends[i].hostIndex = -1
		}
	}
}

func (m *keyMachine) apply(h int, event Event) {
	m.now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(m.t, "time"))
	for _, effect := range m.hosts[h].Apply(at(m.now), event) {
		m.checkEffect(h, effect)
	}
}

func (m *keyMachine) checkEffect(h int, effect Effect) {
	switch e := effect.(type) {
	case AppendRecord:
		m.appends = append(m.appends, pendingAppend{hostIndex: h, stream: e.Stream, record: e.Record})
	case StartAttempt:
		m.calls = append(m.calls, openCall{hostIndex: h, start: e})
	case RefuseRequest:
		m.reportedOutcomes[e.Request] = "not-run"
		if m.executedBy[m.requests[e.Request].IdempotencyKey()] == e.Request {
			m.t.Fatalf("got a refusal of %s, which ran", e.Request)
		}
	case ReplayResponse:
		if want := m.responses[m.requests[e.Request].IdempotencyKey()]; string(e.Body) != want {
			m.t.Fatalf("got response %q, want %q", e.Body, want)
		}
	case ReportViolation:
		m.t.Fatalf("got violation %v", e.Violation)
	}
}

func (m *keyMachine) sendRequest() {
	m.requestCount++
	id := fuchsiapitch.RequestID(fmt.Sprint("r", m.requestCount))
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(m.t, "key")
	m.requests[id] = newKeyedRequest(id, key, rapid.Uint64Range(1, 2).Draw(m.t, "body"))
	m.apply(rapid.IntRange(0, 2).Draw(m.t, "host"), RequestReceived{Request: m.requests[id]})
}

// endAppend appends a record, drops it, or drops the response. A record whose
// response was dropped may be appended later.
func (m *keyMachine) endAppend() {
	if len(m.appends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.appends)-1).Draw(m.t, "append")
	a := m.appends[i]
	m.appends = slices.Delete(m.appends, i, i+1)
	appendEnded := AppendEnded{Stream: a.stream, Record: a.record.ID()}
	appendEnded.Result = rapid.SampledFrom([]AppendResult{Appended, Appended, NotAppended, MaybeAppended}).Draw(m.t, "result")
	appended := appendEnded.Result == Appended
	if appendEnded.Result == MaybeAppended {
		switch rapid.IntRange(0, 2).Draw(m.t, "lost") {
		case 0:
			appended = true
		case 1:
			m.appends = append(m.appends, pendingAppend{hostIndex: -1, stream: a.stream, record: a.record})
		}
	}
	if appended {
		m.streams[a.stream] = append(m.streams[a.stream], a.record.WithOffset(fuchsiapitch.Offset(len(m.streams[a.stream])+1)))
	}
	if a.hostIndex >= 0 {
		m.apply(a.hostIndex, appendEnded)
	}
}

// readStream delivers the next records of a random stream to a random host.
func (m *keyMachine) readStream() {
	h := rapid.IntRange(0, 2).Draw(m.t, "host")
	if len(m.streams) == 0 {
		return
	}
	stream := rapid.SampledFrom(sortedKeys(m.streams)).Draw(m.t, "stream")
	from := m.readCounts[h][stream]
	count := rapid.IntRange(0, len(m.streams[stream])-from).Draw(m.t, "records")
	m.readCounts[h][stream] = from + count
	batch := fuchsiapitch.NewBatch(m.streams[stream][from:from+count], 1, fuchsiapitch.Offset(from+count+1))
	m.apply(h, RecordsRead{Stream: stream, Batch: batch})
}

// endCall runs a call at the application, or drops it before it runs.
func (m *keyMachine) endCall() {
	if len(m.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(m.t, "call")
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	id := c.start.Request
	key := m.requests[id].IdempotencyKey()
	outcome := rapid.SampledFrom([]fuchsiapitch.Outcome{fuchsiapitch.OutcomeNotRun, fuchsiapitch.OutcomeUnknown, fuchsiapitch.OutcomeSucceeded}).Draw(m.t, "outcome")
	if outcome != fuchsiapitch.OutcomeNotRun {
		if first, doubled := m.executedBy[key]; doubled {
			m.t.Fatalf("got %s run by %s after %s", key, id, first)
		}
		if m.reportedOutcomes[id] == "not-run" {
			m.t.Fatalf("got %s run after a refusal", id)
		}
		m.executedBy[key] = id
		m.responses[key] = "answer to " + string(id)
	}
	if c.hostIndex < 0 {
		return
	}
	if outcome == fuchsiapitch.OutcomeSucceeded {
		m.apply(c.hostIndex, ResponseReceived{Request: id, Status: 200, Body: []byte(m.responses[key])})
	}
	m.apply(c.hostIndex, AttemptEnded{Request: id, Attempt: c.start.Attempt, Outcome: outcome})
}

// abandonRequest disconnects the client of a request. The request handler sends
// no calls from then on.
func (m *keyMachine) abandonRequest() {
	if len(m.requests) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedKeys(m.requests)).Draw(m.t, "request")
	m.calls = slices.DeleteFunc(m.calls, func(c openCall) bool { return c.start.Request == id })
	for h := range m.hosts {
		m.apply(h, RequestAbandoned{Request: id})
	}
}

func (m *keyMachine) runRandomStep() {
	switch rapid.IntRange(0, 13).Draw(m.t, "step") {
	case 0, 1:
		m.sendRequest()
	case 2, 3, 4:
		m.endAppend()
	case 5, 6, 7, 8:
		m.readStream()
	case 9, 10:
		m.endCall()
	case 11:
		m.apply(rapid.IntRange(0, 2).Draw(m.t, "host"), Ticked{})
	case 12:
		m.abandonRequest()
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
			m.runRandomStep()
		}
	})
}

func requireEffect[E Effect](t *testing.T, effects []Effect) E {
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
	if got := requireEffect[RefuseRequest](t, effects); got.Reason != want {
		t.Errorf("got refusal %s, want %s", got.Reason, want)
	}
}

// recordsReadOf returns the event with which an appended record is read back.
func recordsReadOf(a AppendRecord, offset fuchsiapitch.Offset) RecordsRead {
	return RecordsRead{Stream: a.Stream, Batch: fuchsiapitch.NewBatch([]fuchsiapitch.Record{a.Record.WithOffset(offset)}, 1, offset+1)}
}

func TestKey(t *testing.T) {
	reserve := func(t *testing.T, s *State) (AppendRecord, StartAttempt) {
		t.Helper()
		a := requireEffect[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newKeyedRequest("r1", "k", 1)}))
		s.Apply(at(1), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: Appended})
		return a, requireEffect[StartAttempt](t, s.Apply(at(2), recordsReadOf(a, 1)))
	}
	t.Run("without the log keyed requests are refused and others start", func(t *testing.T) {
		s := newApplicationState("host-a")
		a := requireEffect[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newKeyedRequest("r1", "k", 1)}))
		assertRefusal(t, s.Apply(at(1), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: NotAppended}), fuchsiapitch.RefusedLogUnavailable)
		requireEffect[StartAttempt](t, s.Apply(at(2), RequestReceived{Request: newKeyedRequest("r2", "", 1)}))
	})
	t.Run("a request whose claim is not read back in time is refused", func(t *testing.T) {
		s := newApplicationState("host-a")
		a := requireEffect[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newKeyedRequest("r1", "k", 1)}))
		s.Apply(at(1), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: MaybeAppended})
		assertRefusal(t, s.Apply(at(reservationTimeout), Ticked{}), fuchsiapitch.RefusedLogUnavailable)
		release := requireEffect[AppendRecord](t, s.Apply(at(reservationTimeout+1), recordsReadOf(a, 1)))
		s.Apply(at(reservationTimeout+2), recordsReadOf(release, 2))
		if v := s.keys.deduplicator.Lookup(time.Unix(0, 0), deduplicator.NewKey("family", "mostrador", "k"), 1); v.State != deduplicator.Free {
			t.Errorf("got key state %d after the late claim, want a free key", v.State)
		}
	})
	t.Run("a lost append response is resolved by reading back", func(t *testing.T) {
		s := newApplicationState("host-a")
		a := requireEffect[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newKeyedRequest("r1", "k", 1)}))
		s.Apply(at(1), AppendEnded{Stream: a.Stream, Record: a.Record.ID(), Result: MaybeAppended})
		again := requireEffect[AppendRecord](t, s.Apply(at(2*time.Second), Ticked{}))
		if again.Record.ID() != a.Record.ID() {
			t.Errorf("got record %s, want %s again", again.Record.ID(), a.Record.ID())
		}
		requireEffect[StartAttempt](t, s.Apply(at(3*time.Second), recordsReadOf(a, 1)))
	})
	t.Run("another host gets the stored answer", func(t *testing.T) {
		s, other := newApplicationState("host-a"), newApplicationState("host-b")
		claim, start := reserve(t, s)
		other.Apply(at(3), recordsReadOf(claim, 1))
		assertRefusal(t, other.Apply(at(3), RequestReceived{Request: newKeyedRequest("r2", "k", 1)}), fuchsiapitch.RefusedKeyInProgress)
		assertRefusal(t, other.Apply(at(3), RequestReceived{Request: newKeyedRequest("r3", "k", 2)}), fuchsiapitch.RefusedKeyReuse)
		s.Apply(at(4), ResponseReceived{Request: "r1", Status: 201, Body: []byte("booked")})
		completion := requireEffect[AppendRecord](t, s.Apply(at(5), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded}))
		other.Apply(at(6), recordsReadOf(completion, 2))
		for _, h := range []*State{s, other} {
			got := requireEffect[ReplayResponse](t, h.Apply(at(7), RequestReceived{Request: newKeyedRequest("r4", "k", 1)}))
			if got.Status != 201 || string(got.Body) != "booked" {
				t.Errorf("got response %d %q", got.Status, got.Body)
			}
		}
	})
	t.Run("the outcome of a dead host's key is unknown after the deadline", func(t *testing.T) {
		other := newApplicationState("host-b")
		claim, _ := reserve(t, newApplicationState("host-a"))
		other.Apply(at(3), recordsReadOf(claim, 1))
		requireFinish(t, other.Apply(at(time.Minute), RequestReceived{Request: newKeyedRequest("r2", "k", 1)}), fuchsiapitch.OutcomeUnknown)
	})
	t.Run("many keys are appended in one record", func(t *testing.T) {
		s := newApplicationState("host-a")
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
			count(s.Apply(at(0), RequestReceived{Request: newKeyedRequest(id, string(id), 1)}))
		}
		if appends > 2*deduplicator.ShardCount {
			t.Errorf("got %d appends for 500 keys, want few", appends)
		}
	})
}
