package publisher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"
	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
)

// TestMain fixes the seed of random input, unless a flag gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// fakeLog is a log in memory whose calls fail as the test says.
type fakeLog struct {
	records []fuchsiapitch.Record
	oldest  fuchsiapitch.Offset
	delayed []fuchsiapitch.Record
	// fault chooses what happens to a call; the zero fault is none.
	fault func(call string) fault
}

type fault int

const (
	none fault = iota
	unavailable
	lostAfter
	lostBefore
	delayed
)

func newFakeLog() *fakeLog {
	return &fakeLog{oldest: 1, fault: func(string) fault { return none }}
}

func (l *fakeLog) add(r fuchsiapitch.Record) fuchsiapitch.Offset {
	offset := fuchsiapitch.Offset(len(l.records) + 1)
	l.records = append(l.records, r.WithOffset(offset))
	return offset
}

func (l *fakeLog) Append(_ context.Context, stream fuchsiapitch.StreamName, r fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	uncertain := &fuchsiapitch.UncertainAppendError{Stream: stream, Record: r.ID()}
	switch l.fault("append") {
	case unavailable:
		return 0, &fuchsiapitch.UnavailableError{System: "log", Action: "append"}
	case lostAfter:
		l.add(r)
		return 0, uncertain
	case lostBefore:
		return 0, uncertain
	case delayed:
		l.delayed = append(l.delayed, r)
		return 0, uncertain
	default:
		return l.add(r), nil
	}
}

func (l *fakeLog) Read(_ context.Context, stream fuchsiapitch.StreamName, from fuchsiapitch.Offset, limit int) (fuchsiapitch.Batch, error) {
	if l.fault("read") != none {
		return fuchsiapitch.Batch{}, &fuchsiapitch.UnavailableError{System: "log", Action: "read"}
	}
	if from < l.oldest {
		return fuchsiapitch.Batch{}, &fuchsiapitch.LogTruncatedError{Stream: stream, From: from, Oldest: l.oldest}
	}
	last := min(int(from)-1+limit, len(l.records))
	return fuchsiapitch.NewBatch(l.records[min(int(from)-1, last):last], l.oldest, fuchsiapitch.Offset(last+1)), nil
}

// fold folds every record, also those that the log has dropped.
func (l *fakeLog) fold(t rapid.TB) *configurer.StateMachine {
	t.Helper()
	fold := configurer.NewStateMachine()
	for _, r := range l.records {
		body, err := encoder.DecodeConfiguration(r.Data())
		assertNoError(t, err, "decode")
		if p, ok := body.(configurer.Publication); ok {
			fold.ApplyPublication(r.ID(), r.Offset(), p)
		}
		fold.SkipRecord(r.Offset())
	}
	return fold
}

func assertNoError(t rapid.TB, err error, what string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", what, err)
	}
}

func parse(t rapid.TB, content string) []loader.Document {
	t.Helper()
	documents, err := loader.DecodeDocuments("x.yaml", []byte(content))
	assertNoError(t, err, "decode")
	return documents
}

func rankYAML(name string, order int, floor float64) string {
	return fmt.Sprintf("{kind: rank, name: %s, order: %d, first-token: 1s, inter-token: 1s, floor: %g}\n", name, order, floor)
}

// newPublisher returns a publisher without waits and with counted identifiers.
func newPublisher(log fuchsiapitch.Log, name string) *Publisher {
	count := 0
	return New(log, name, WithBackOff(func() backoff.BackOff { return &backoff.ZeroBackOff{} }),
		WithIdentifiers(func() fuchsiapitch.RecordID {
			count++
			return fuchsiapitch.RecordID(fmt.Sprint(name, "-", count))
		}))
}

// assertTrue checks a result against everything that ever reached the log.
func assertTrue(t rapid.TB, log *fakeLog, result Result) {
	t.Helper()
	outcome, appended := log.fold(t).Outcome(result.Publication)
	switch result.Status {
	case Accepted:
		if !appended || !outcome.Accepted || outcome.Offset != result.Offset {
			t.Fatalf("got %+v, want the truth %+v", result, outcome)
		}
	case Lost:
		if !appended || outcome.Accepted || outcome.Conflict != result.Loss {
			t.Fatalf("got %+v, want the truth %+v", result, outcome)
		}
	case NotPublished:
		if appended {
			t.Fatalf("got %+v, want the truth %+v", result, outcome)
		}
	default:
	}
}

func TestPublishRandomly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newFakeLog()
		rival, publisher := newPublisher(log, "rival"), newPublisher(log, "ana")
		calls := 0
		documents := func() []loader.Document {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			if rapid.IntRange(0, 4).Draw(t, "removal") == 0 {
				return parse(t, "{kind: rank, name: "+name+", removed: true}")
			}
			return parse(t, rankYAML(name, 1+int(name[0]), rapid.Float64Range(0, 0.5).Draw(t, "floor")))
		}
		quiet := func(string) fault { return none }
		log.fault = quiet
		seed, err := rival.Publish(context.Background(), documents())
		assertNoError(t, err, "first publication")
		results := []Result{seed}
		for range rapid.IntRange(1, 4).Draw(t, "publications") {
			wanted := documents()
			ctx, cancel := context.WithCancel(context.Background())
			limit := calls + rapid.IntRange(1, 12).Draw(t, "calls before the publisher dies")
			var noisy func(string) fault
			noisy = func(call string) fault {
				calls++
				if calls >= limit {
					cancel()
				}
				log.fault = quiet
				defer func() { log.fault = noisy }()
				disturb(t, log, rival, &results, documents)
				choices := []fault{none, none, unavailable}
				if call == "append" {
					choices = []fault{none, unavailable, lostAfter, lostBefore, delayed}
				}
				return rapid.SampledFrom(choices).Draw(t, call)
			}
			log.fault = noisy
			result, err := publisher.Publish(ctx, wanted)
			cancel()
			log.fault = quiet
			if err == nil {
				results = append(results, result)
			}
		}
		for _, r := range log.delayed {
			log.add(r)
		}
		for _, r := range results {
			assertTrue(t, log, r)
		}
	})
}

// disturb does what others do between two calls of a publisher.
func disturb(t *rapid.T, log *fakeLog, rival *Publisher, results *[]Result, documents func() []loader.Document) {
	switch rapid.IntRange(0, 6).Draw(t, "disturbance") {
	case 0:
		if result, err := rival.Publish(context.Background(), documents()); err == nil {
			*results = append(*results, result)
		}
	case 1:
		if len(log.delayed) > 0 {
			log.add(log.delayed[0])
			log.delayed = log.delayed[1:]
		}
	case 2:
		data, err := encoder.EncodeConfiguration(log.fold(t).Snapshot())
		assertNoError(t, err, "encode")
		log.add(fuchsiapitch.NewRecord("checkpoint", data))
		log.oldest = fuchsiapitch.Offset(rapid.IntRange(int(log.oldest), len(log.records)).Draw(t, "oldest"))
	}
}

// once returns faults for the first calls of a kind.
func once(kind string, faults ...fault) func(string) fault {
	return func(call string) fault {
		if call != kind || len(faults) == 0 {
			return none
		}
		first := faults[0]
		faults = faults[1:]
		return first
	}
}

func TestPublish(t *testing.T) {
	ctx := context.Background()
	t.Run("a lost answer neither publishes twice nor reports wrongly", func(t *testing.T) {
		log := newFakeLog()
		log.fault = once("append", lostAfter)
		result, err := newPublisher(log, "ana").Publish(ctx, parse(t, rankYAML("a", 1, 0.1)))
		assertNoError(t, err, "publish")
		if result.Status != Accepted || len(log.records) != 1 {
			t.Errorf("got status %s and %d records, want accepted and 1", result.Status, len(log.records))
		}
	})
	t.Run("an append that did not take effect is repeated", func(t *testing.T) {
		log := newFakeLog()
		log.fault = once("append", lostBefore, unavailable)
		result, err := newPublisher(log, "ana").Publish(ctx, parse(t, rankYAML("a", 1, 0.1)))
		assertNoError(t, err, "publish")
		if result.Status != Accepted || len(log.records) != 1 {
			t.Errorf("got status %s and %d records, want accepted and 1", result.Status, len(log.records))
		}
	})
	t.Run("the loser of a race is told who won", func(t *testing.T) {
		log := newFakeLog()
		rival := newPublisher(log, "rival")
		raced := false
		log.fault = func(call string) fault {
			if call == "append" && !raced {
				raced = true
				_, err := rival.Publish(ctx, parse(t, rankYAML("a", 1, 0.2)))
				assertNoError(t, err, "publish by the rival")
			}
			return none
		}
		result, err := newPublisher(log, "ana").Publish(ctx, parse(t, rankYAML("a", 1, 0.1)))
		assertNoError(t, err, "publish")
		if result.Status != Lost || result.Loss.Publisher != "rival" || result.Loss.Key.Name() != "a" {
			t.Errorf("got %+v, want a loss of a to the rival", result)
		}
	})
	t.Run("racing floors that only together exceed the whole do not both win", func(t *testing.T) {
		log := newFakeLog()
		rival := newPublisher(log, "rival")
		raced := false
		log.fault = func(call string) fault {
			if call == "append" && !raced {
				raced = true
				_, err := rival.Publish(ctx, parse(t, rankYAML("b", 2, 0.6)))
				assertNoError(t, err, "publish by the rival")
			}
			return none
		}
		result, err := newPublisher(log, "ana").Publish(ctx, parse(t, rankYAML("a", 1, 0.6)))
		assertNoError(t, err, "publish")
		if result.Status != Lost {
			t.Errorf("got status %s, want lost", result.Status)
		}
	})
	t.Run("a rank is not removed while a racing publication begins to name it", func(t *testing.T) {
		log := newFakeLog()
		rival := newPublisher(log, "rival")
		_, err := rival.Publish(ctx, parse(t, rankYAML("a", 1, 0.6)))
		assertNoError(t, err, "publish the rank")
		raced := false
		log.fault = func(call string) fault {
			if call == "append" && !raced {
				raced = true
				_, err := rival.Publish(ctx, parse(t, "{kind: application-service, name: s, rank: a}"))
				assertNoError(t, err, "publish by the rival")
			}
			return none
		}
		result, err := newPublisher(log, "ana").Publish(ctx, parse(t, "{kind: rank, name: a, removed: true}"))
		assertNoError(t, err, "publish")
		if result.Status != Lost || result.Loss.Key.Name() != "s" {
			t.Errorf("got %+v, want a loss because of s", result)
		}
	})
	t.Run("what is in force already is not published", func(t *testing.T) {
		log := newFakeLog()
		publisher := newPublisher(log, "ana")
		for range 2 {
			_, err := publisher.Publish(ctx, parse(t, rankYAML("a", 1, 0.1)))
			assertNoError(t, err, "publish")
		}
		if got, want := len(log.records), 1; got != want {
			t.Errorf("got %d records, want %d", got, want)
		}
	})
	t.Run("references to documents in force are checked", func(t *testing.T) {
		log := newFakeLog()
		publisher := newPublisher(log, "ana")
		service := "{kind: application-service, name: s, rank: a}"
		_, err := publisher.Publish(ctx, parse(t, service))
		var problems *loader.ProblemsError
		if !errors.As(err, &problems) {
			t.Errorf("got error %v, want problems", err)
		}
		_, err = publisher.Publish(ctx, parse(t, rankYAML("a", 1, 0)))
		assertNoError(t, err, "publish the rank")
		_, err = publisher.Publish(ctx, parse(t, service))
		assertNoError(t, err, "publish the service")
	})
	t.Run("a truncated log without checkpoint is not taken for an empty one", func(t *testing.T) {
		log := newFakeLog()
		log.add(fuchsiapitch.NewRecord("p", nil))
		log.oldest = 2
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := newPublisher(log, "ana").Publish(ctx, parse(t, rankYAML("a", 1, 0)))
		var state *StateError
		if !errors.As(err, &state) {
			t.Errorf("got error %v, want a StateError", err)
		}
	})
	t.Run("a plan shows the changed fields and appends nothing", func(t *testing.T) {
		log := newFakeLog()
		publisher := newPublisher(log, "ana")
		_, err := publisher.Publish(ctx, parse(t, rankYAML("a", 1, 0.1)))
		assertNoError(t, err, "publish")
		differences, err := publisher.Plan(ctx, parse(t, rankYAML("a", 1, 0.2)))
		assertNoError(t, err, "plan")
		if got, want := differences[0].String(), "rank/a\n  - floor: 0.1\n  + floor: 0.2"; got != want || len(log.records) != 1 {
			t.Errorf("got %q and %d records, want %q and 1", got, len(log.records), want)
		}
	})
}

func TestWaiter(t *testing.T) {
	serve := func(offset int, status int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.Header.Get("Authorization") != "Bearer token" {
				status = http.StatusUnauthorized
			}
			w.WriteHeader(status)
			fmt.Fprintf(w, `{"host": "h", "configuration-offset": %d, "configuration-hash": 18446744073709551615}`, offset)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	addresses := []string{serve(7, http.StatusOK), serve(6, http.StatusOK), serve(9, http.StatusInternalServerError)}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	var got []string
	for _, s := range NewWaiter(addresses, WithToken("token")).Wait(ctx, 7) {
		got = append(got, fmt.Sprint(s.InForce, s.Offset, s.Err != nil))
	}
	if want := "true 7 false, false 6 false, false 0 true"; strings.Join(got, ", ") != want {
		t.Errorf("got %s, want %s", strings.Join(got, ", "), want)
	}
}
