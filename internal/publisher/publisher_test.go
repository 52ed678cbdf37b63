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

// TestMain sets the seed of rapid to 1 unless the flag -rapid.seed sets another,
// so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// fakeLog is an in-memory log with injected faults.
type fakeLog struct {
	records        []fuchsiapitch.Record
	oldestOffset   fuchsiapitch.Offset
	delayedRecords []fuchsiapitch.Record
	// chooseFault returns the fault to inject into a call.
	chooseFault func(call string) fault
}

// fault is the fault injected into one call to the log.
type fault int

const (
	noFault fault = iota
	// unavailableFault fails the call without effect.
	unavailableFault
	// responseLostFault appends the record and loses the response.
	responseLostFault
	// requestLostFault loses the request. The client cannot distinguish it from
	// responseLostFault.
	requestLostFault
	// delayedAppendFault loses the response and appends the record later.
	delayedAppendFault
)

func newFakeLog() *fakeLog {
	return &fakeLog{oldestOffset: 1, chooseFault: func(string) fault { return noFault }}
}

func (l *fakeLog) commit(r fuchsiapitch.Record) fuchsiapitch.Offset {
	offset := fuchsiapitch.Offset(len(l.records) + 1)
	l.records = append(l.records, r.WithOffset(offset))
	return offset
}

func (l *fakeLog) Append(_ context.Context, stream fuchsiapitch.StreamName, r fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	uncertain := &fuchsiapitch.UncertainAppendError{Stream: stream, Record: r.ID()}
	switch l.chooseFault("append") {
	case unavailableFault:
		return 0, &fuchsiapitch.UnavailableError{System: "log", Action: "append"}
	case responseLostFault:
		l.commit(r)
		return 0, uncertain
	case requestLostFault:
		return 0, uncertain
	case delayedAppendFault:
		l.delayedRecords = append(l.delayedRecords, r)
		return 0, uncertain
	default:
		return l.commit(r), nil
	}
}

func (l *fakeLog) Read(_ context.Context, stream fuchsiapitch.StreamName, from fuchsiapitch.Offset, limit int) (fuchsiapitch.Batch, error) {
	if l.chooseFault("read") != noFault {
		return fuchsiapitch.Batch{}, &fuchsiapitch.UnavailableError{System: "log", Action: "read"}
	}
	if from < l.oldestOffset {
		return fuchsiapitch.Batch{}, &fuchsiapitch.LogTruncatedError{Stream: stream, From: from, Oldest: l.oldestOffset}
	}
	last := min(int(from)-1+limit, len(l.records))
	return fuchsiapitch.NewBatch(l.records[min(int(from)-1, last):last], l.oldestOffset, fuchsiapitch.Offset(last+1)), nil
}

// replay applies every record, including those that the log has truncated.
func (l *fakeLog) replay(t rapid.TB) *configurer.StateMachine {
	t.Helper()
	stateMachine := configurer.NewStateMachine()
	for _, r := range l.records {
		body, err := encoder.DecodeConfigurationRecord(r.Data())
		assertNoError(t, err, "decode")
		if p, ok := body.(configurer.Publication); ok {
			stateMachine.ApplyPublication(r.ID(), r.Offset(), p)
		}
		stateMachine.SkipRecord(r.Offset())
	}
	return stateMachine
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

// newPublisher returns a publisher without back-off and with sequential record
// identifiers.
func newPublisher(log fuchsiapitch.Log, name string) *Publisher {
	count := 0
	return New(log, name, WithBackOff(func() backoff.BackOff { return &backoff.ZeroBackOff{} }),
		WithRecordIDSource(func() fuchsiapitch.RecordID {
			count++
			return fuchsiapitch.RecordID(fmt.Sprint(name, "-", count))
		}))
}

// assertMatchesLog checks a result against the state after all records that were
// ever appended.
func assertMatchesLog(t rapid.TB, log *fakeLog, result Result) {
	t.Helper()
	outcome, appended := log.replay(t).Outcome(result.PublicationID)
	switch result.Status {
	case Accepted:
		if !appended || !outcome.Accepted || outcome.Offset != result.Offset {
			t.Fatalf("got %+v, want outcome %+v of the log", result, outcome)
		}
	case Lost:
		if !appended || outcome.Accepted || outcome.Conflict != result.Conflict {
			t.Fatalf("got %+v, want outcome %+v of the log", result, outcome)
		}
	case NotPublished:
		if appended {
			t.Fatalf("got %+v, want outcome %+v of the log", result, outcome)
		}
	default:
	}
}

// TestPublishRandomly checks that reported outcomes agree with the log under random
// faults, rival publications, truncations and cancellations.
func TestPublishRandomly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newFakeLog()
		rival, publisher := newPublisher(log, "rival"), newPublisher(log, "ana")
		callCount := 0
		randomDocuments := func() []loader.Document {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			if rapid.IntRange(0, 4).Draw(t, "removal") == 0 {
				return parse(t, "{kind: rank, name: "+name+", removed: true}")
			}
			return parse(t, rankYAML(name, 1+int(name[0]), rapid.Float64Range(0, 0.5).Draw(t, "floor")))
		}
		noFaults := func(string) fault { return noFault }
		log.chooseFault = noFaults
		firstResult, err := rival.Publish(context.Background(), randomDocuments())
		assertNoError(t, err, "publish first documents")
		results := []Result{firstResult}
		for range rapid.IntRange(1, 4).Draw(t, "publications") {
			wantedDocuments := randomDocuments()
			ctx, cancel := context.WithCancel(context.Background())
			cancelAtCall := callCount + rapid.IntRange(1, 12).Draw(t, "calls before the publisher dies")
			var randomFaults func(string) fault
			randomFaults = func(call string) fault {
				callCount++
				if callCount >= cancelAtCall {
					cancel()
				}
				log.chooseFault = noFaults
				defer func() { log.chooseFault = randomFaults }()
				actBetweenCalls(t, log, rival, &results, randomDocuments)
				choices := []fault{noFault, noFault, unavailableFault}
				if call == "append" {
					choices = []fault{noFault, unavailableFault, responseLostFault, requestLostFault, delayedAppendFault}
				}
				return rapid.SampledFrom(choices).Draw(t, call)
			}
			log.chooseFault = randomFaults
			result, err := publisher.Publish(ctx, wantedDocuments)
			cancel()
			log.chooseFault = noFaults
			if err == nil {
				results = append(results, result)
			}
		}
		for _, r := range log.delayedRecords {
			log.commit(r)
		}
		for _, r := range results {
			assertMatchesLog(t, log, r)
		}
	})
}

// actBetweenCalls simulates, between two calls of a publisher, actions of other
// processes: a rival publishes, a delayed append takes effect, or a checkpoint is
// appended and older records are truncated.
func actBetweenCalls(t *rapid.T, log *fakeLog, rival *Publisher, results *[]Result, randomDocuments func() []loader.Document) {
	switch rapid.IntRange(0, 6).Draw(t, "disturbance") {
	case 0:
		if result, err := rival.Publish(context.Background(), randomDocuments()); err == nil {
			*results = append(*results, result)
		}
	case 1:
		if len(log.delayedRecords) > 0 {
			log.commit(log.delayedRecords[0])
			log.delayedRecords = log.delayedRecords[1:]
		}
	case 2:
		data, err := encoder.EncodeConfigurationRecord(log.replay(t).Snapshot())
		assertNoError(t, err, "encode")
		log.commit(fuchsiapitch.NewRecord("checkpoint", data))
		log.oldestOffset = fuchsiapitch.Offset(rapid.IntRange(int(log.oldestOffset), len(log.records)).Draw(t, "oldest"))
	}
}

// faultFirst returns a fault chooser that injects the faults, one each, into the
// first calls with a name.
func faultFirst(callName string, faults ...fault) func(string) fault {
	return func(call string) fault {
		if call != callName || len(faults) == 0 {
			return noFault
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
		log.chooseFault = faultFirst("append", responseLostFault)
		result, err := newPublisher(log, "ana").Publish(ctx, parse(t, rankYAML("a", 1, 0.1)))
		assertNoError(t, err, "publish")
		if result.Status != Accepted || len(log.records) != 1 {
			t.Errorf("got status %s and %d records, want accepted and 1", result.Status, len(log.records))
		}
	})
	t.Run("an append that did not take effect is repeated", func(t *testing.T) {
		log := newFakeLog()
		log.chooseFault = faultFirst("append", requestLostFault, unavailableFault)
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
		log.chooseFault = func(call string) fault {
			if call == "append" && !raced {
				raced = true
				_, err := rival.Publish(ctx, parse(t, rankYAML("a", 1, 0.2)))
				assertNoError(t, err, "publish as the rival")
			}
			return noFault
		}
		result, err := newPublisher(log, "ana").Publish(ctx, parse(t, rankYAML("a", 1, 0.1)))
		assertNoError(t, err, "publish")
		if result.Status != Lost || result.Conflict.Publisher != "rival" || result.Conflict.Key.Name() != "a" {
			t.Errorf("got %+v, want a loss of a to the rival", result)
		}
	})
	t.Run("racing floors that only together exceed the whole do not both win", func(t *testing.T) {
		log := newFakeLog()
		rival := newPublisher(log, "rival")
		raced := false
		log.chooseFault = func(call string) fault {
			if call == "append" && !raced {
				raced = true
				_, err := rival.Publish(ctx, parse(t, rankYAML("b", 2, 0.6)))
				assertNoError(t, err, "publish as the rival")
			}
			return noFault
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
		log.chooseFault = func(call string) fault {
			if call == "append" && !raced {
				raced = true
				_, err := rival.Publish(ctx, parse(t, "{kind: application-service, name: s, rank: a}"))
				assertNoError(t, err, "publish as the rival")
			}
			return noFault
		}
		result, err := newPublisher(log, "ana").Publish(ctx, parse(t, "{kind: rank, name: a, removed: true}"))
		assertNoError(t, err, "publish")
		if result.Status != Lost || result.Conflict.Key.Name() != "s" {
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
		log.commit(fuchsiapitch.NewRecord("p", nil))
		log.oldestOffset = 2
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := newPublisher(log, "ana").Publish(ctx, parse(t, rankYAML("a", 1, 0)))
		var missing *MissingCheckpointError
		if !errors.As(err, &missing) {
			t.Errorf("got error %v, want a MissingCheckpointError", err)
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
	baseURLs := []string{serve(7, http.StatusOK), serve(6, http.StatusOK), serve(9, http.StatusInternalServerError)}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	var got []string
	for _, s := range NewWaiter(baseURLs, WithOperatorToken("token")).Wait(ctx, 7) {
		got = append(got, fmt.Sprint(s.InForce, s.ConfigurationOffset, s.Err != nil))
	}
	if want := "true 7 false, false 6 false, false 0 true"; strings.Join(got, ", ") != want {
		t.Errorf("got %s, want %s", strings.Join(got, ", "), want)
	}
}
