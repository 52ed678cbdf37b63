package recorder

import (
	"errors"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/log"
)

const stream fuchsiapitch.StreamName = "config"

func assertNoError(t *testing.T, err error, what string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", what, err)
	}
}

func assertEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func assertUnavailable(t *testing.T, err error, what string) {
	t.Helper()
	var unavailable *fuchsiapitch.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("%s: got %v, want an UnavailableError", what, err)
	}
}

func assertUncertain(t *testing.T, err error, what string) {
	t.Helper()
	var uncertain *fuchsiapitch.UncertainAppendError
	if !errors.As(err, &uncertain) {
		t.Fatalf("%s: got %v, want an UncertainAppendError", what, err)
	}
}

// assertAppends waits until the log has appended a number of records, because a slow
// log still appends a record after the client has timed out.
func assertAppends(t *testing.T, l *log.Log, want int) {
	t.Helper()
	for range 2000 {
		if l.AppendedRecords() >= want {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	assertEqual(t, l.AppendedRecords(), want, "appended records")
}

func startRecorder(t *testing.T, options ...log.Option) (*Recorder, *log.Log, *faulter.Server) {
	t.Helper()
	l := log.New(options...)
	server, stop, err := l.Listen()
	assertNoError(t, err, "listen")
	t.Cleanup(stop)
	r, cleanUp := New(server.Address(), WithReadWait(50*time.Millisecond))
	t.Cleanup(cleanUp)
	return r, l, server
}

func appendRecord(t *testing.T, r *Recorder, id fuchsiapitch.RecordID) (fuchsiapitch.Offset, error) {
	t.Helper()
	return r.Append(t.Context(), stream, fuchsiapitch.NewRecord(id, []byte("data of "+id)))
}

func TestAppendsAreRead(t *testing.T) {
	r, _, _ := startRecorder(t)
	for _, id := range []fuchsiapitch.RecordID{"a", "b", "c"} {
		_, err := appendRecord(t, r, id)
		assertNoError(t, err, "append")
	}
	batch, err := r.Read(t.Context(), stream, 2, 10)
	assertNoError(t, err, "read")
	assertEqual(t, len(batch.Records()), 2, "records")
	assertEqual(t, string(batch.Records()[0].Data()), "data of b", "data")
	assertEqual(t, batch.NextOffset(), 4, "next")
	t.Run("the end of the stream gives an empty batch", func(t *testing.T) {
		batch, err := r.Read(t.Context(), stream, batch.NextOffset(), 10)
		assertNoError(t, err, "read")
		assertEqual(t, len(batch.Records()), 0, "records")
		assertEqual(t, batch.NextOffset(), 4, "next")
	})
}

func TestAppendFailures(t *testing.T) {
	cases := []struct {
		name        string
		injectFault func(*log.Log, *faulter.Server)
		assert      func(*testing.T, error, string)
		wantAppends int
	}{
		{"refused in an outage", func(l *log.Log, _ *faulter.Server) { l.SetOutage(true) }, assertUnavailable, 1},
		{"lost response", func(l *log.Log, _ *faulter.Server) { l.LoseAppendResponses(1) }, assertUncertain, 2},
		{"slow beyond the timeout", func(l *log.Log, _ *faulter.Server) { l.SetDelay(time.Minute) }, assertUncertain, 2},
		{"silent connection", func(_ *log.Log, s *faulter.Server) { s.SilenceConnections() }, assertUncertain, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, l, server := startRecorder(t)
			r.appendTimeout = 300 * time.Millisecond
			_, err := appendRecord(t, r, "before")
			assertNoError(t, err, "append before")
			c.injectFault(l, server)
			_, err = appendRecord(t, r, "struck")
			c.assert(t, err, "append")
			assertAppends(t, l, c.wantAppends)
		})
	}
	t.Run("no server to connect to", func(t *testing.T) {
		r, l, server := startRecorder(t)
		server.Kill()
		_, err := appendRecord(t, r, "struck")
		assertUnavailable(t, err, "append")
		assertEqual(t, l.AppendedRecords(), 0, "appended records")
	})
	t.Run("over the rate", func(t *testing.T) {
		r, l, _ := startRecorder(t, log.WithRate(0.001))
		_, err := appendRecord(t, r, "first")
		assertNoError(t, err, "first")
		_, err = appendRecord(t, r, "second")
		assertUnavailable(t, err, "second")
		assertEqual(t, l.AppendedRecords(), 1, "appended records")
	})
}

func TestAppendWorksAfterASilentConnection(t *testing.T) {
	r, _, server := startRecorder(t)
	_, err := appendRecord(t, r, "before")
	assertNoError(t, err, "before")
	server.SilenceConnections()
	r.appendTimeout = 100 * time.Millisecond
	_, err = appendRecord(t, r, "lost")
	assertUncertain(t, err, "lost")
	r.appendTimeout = time.Minute
	offset, err := appendRecord(t, r, "after")
	assertNoError(t, err, "after")
	assertEqual(t, offset, 2, "offset")
}

func TestReadFailures(t *testing.T) {
	t.Run("truncated", func(t *testing.T) {
		r, _, _ := startRecorder(t, log.WithRetention(2, time.Hour))
		for _, id := range []fuchsiapitch.RecordID{"a", "b", "c", "d"} {
			_, err := appendRecord(t, r, id)
			assertNoError(t, err, "append")
		}
		_, err := r.Read(t.Context(), stream, 1, 10)
		var truncated *fuchsiapitch.LogTruncatedError
		assertEqual(t, errors.As(err, &truncated), true, "LogTruncatedError")
		assertEqual(t, truncated.Oldest, 3, "oldest")
	})
	t.Run("outage", func(t *testing.T) {
		r, l, _ := startRecorder(t)
		l.SetOutage(true)
		_, err := r.Read(t.Context(), stream, 1, 10)
		assertUnavailable(t, err, "read")
	})
	t.Run("a slow log is read after the grace has grown", func(t *testing.T) {
		r, l, _ := startRecorder(t)
		l.SetDelay(2 * minReadGrace)
		_, err := r.Read(t.Context(), stream, 1, 10)
		assertUnavailable(t, err, "first read")
		assertEqual(t, r.currentReadGrace(), 2*minReadGrace, "grace")
		r.setReadGrace(maxReadGrace)
		_, err = r.Read(t.Context(), stream, 1, 10)
		assertNoError(t, err, "second read")
	})
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"records":[{"id":"a","offset":3,"data":"eA=="}],"oldest":1,"next":4}`,
		`{"records":[{"id":"a","offset":1}],"next":2}`, `{"offset":7}`, `{"oldest":3}`, `[]`, `null`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if offset, err := decodeAppendResponse(data); err == nil && offset == 0 {
			t.Fatalf("offset of an append: got 0, want more")
		}
		batch, err := decodeBatch(3, data)
		if err != nil {
			return
		}
		for _, r := range batch.Records() {
			if r.Offset() < 3 || r.Offset() >= batch.NextOffset() {
				t.Fatalf("offset: got %d, want at least 3 and below %d", r.Offset(), batch.NextOffset())
			}
		}
	})
}
