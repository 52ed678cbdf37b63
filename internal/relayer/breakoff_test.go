package relayer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

// breakingStream is a stream that ends after the events up to one.
func breakingStream(lastEvent int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, events(1, lastEvent))
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// assertBreakOff checks that a relayer has counted one response that was broken off for a cause.
func assertBreakOff(t *testing.T, m *meter.Meter, cause breakOffCause) {
	t.Helper()
	var text strings.Builder
	m.Write(&text)
	if got, want := text.String(), `fuchsiapitch_broken_off_responses_total{cause="`+string(cause)+`"} 1`; !strings.Contains(got, want) {
		t.Errorf("got metrics\n%s\nwant %s", got, want)
	}
}

// inTurn returns a handler that passes each request to the next of the given handlers.
func inTurn(handlers ...http.HandlerFunc) http.HandlerFunc {
	var requests atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		handlers[int(requests.Add(1)-1)%len(handlers)](w, r)
	}
}

// A response that is broken off is counted by its cause, and its failed attempts are logged.
func TestBreakOffIsCounted(t *testing.T) {
	for name, tc := range map[string]struct {
		second http.HandlerFunc
		cause  breakOffCause
	}{
		"by servers that end": {second: abort, cause: causeServerEnded},
		"by an error":         {second: respondWith(http.StatusInternalServerError), cause: causeInvalidResponse},
	} {
		t.Run(name, func(t *testing.T) {
			var logs lockedBuffer
			m := meter.New()
			handler := inTurn(breakingStream(1), tc.second)
			relayer := newRelayerWithServers(t, &logs, handler, handler)
			relayer.meter = m
			proxy := httptest.NewServer(relayer)
			t.Cleanup(proxy.Close)
			if _, _, err := sendAndRead(t, proxy.URL+"/stream/x", "p"); err == nil {
				t.Error("got a complete response, want an aborted one")
			}
			assertBreakOff(t, m, tc.cause)
			if got, want := strings.Count(logs.text(), "attempt of a stream failed"), 2; got != want {
				t.Errorf("got %d lines of failed attempts, want %d", got, want)
			}
		})
	}
}

// Guards against responses that count as broken off by their servers, or for want of a slot, though
// their time limit has passed: a server ends what it runs at the same moment.
func TestBreakOffAtTimeLimitHasThatCause(t *testing.T) {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	x := &exchange{relayer: New(nil, nil, fakeHeaderCodec{}), request: httptest.NewRequest(http.MethodPost, "/a", http.NoBody), ctx: ctx}
	for _, err := range []error{io.ErrUnexpectedEOF, &driver.AdmissionError{Reason: coordinator.Overloaded}, &ResponseError{Reason: reasonNotRun}} {
		if got, want := x.breakOffCause(err), causeTimeLimit; got != want {
			t.Errorf("got cause %q for %v, want %q", got, err, want)
		}
	}
}

// An attempt that got no slot is logged without a server, not with that of the attempt before.
func TestAttemptWithoutSlotNamesNoServer(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want string
	}{
		"no slot":         {err: &driver.AdmissionError{Reason: coordinator.Overloaded}},
		"a failed server": {err: io.ErrUnexpectedEOF, want: "s1"},
	} {
		t.Run(name, func(t *testing.T) {
			var logs lockedBuffer
			r := New(nil, nil, fakeHeaderCodec{}, WithLogger(zerolog.New(&logs)))
			x := &exchange{relayer: r, request: httptest.NewRequest(http.MethodPost, "/a", http.NoBody), failedServers: []fuchsiapitch.ServerID{"s1"}}
			x.logFailedAttempt(&streamProgress{headerSent: true}, fuchsiapitch.OutcomeNotRun, tc.err)
			assertLogged(t, &logs, `"server":"`+tc.want+`"`)
		})
	}
}
