package relayer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

// resumedStream responds with the events after the one that the client has received, up to one.
func resumedStream(t *testing.T, after, lastEvent int) http.HandlerFunc {
	t.Helper()
	return func(w http.ResponseWriter, r *http.Request) {
		if got, want := r.Header.Get("Last"), strconv.Itoa(after); got != want {
			t.Errorf("got stream resumed after event %q, want %q", got, want)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, events(after+1, lastEvent))
	}
}

// counted returns a handler that counts its requests.
func counted(requests *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		handler(w, r)
	}
}

// Guards against a stream that is broken off because the attempt to resume it was refused as not
// run: the refusal used up the attempts of the route, although the stream ran at one server only.
func TestRefusedResumptionDoesNotEndStream(t *testing.T) {
	for _, status := range refusalStatuses {
		t.Run(http.StatusText(status), func(t *testing.T) {
			handler := inTurn(breakingStream(1), respondWith(status, "Not-Run"), resumedStream(t, 1, 3))
			_, body, err := sendAndRead(t, newTestRelayer(t, handler, handler)+"/stream/x", "p")
			if got, want := body, events(1, 3); got != want || err != nil {
				t.Errorf("got %q and %v, want %q", got, err, want)
			}
		})
	}
}

// Guards against a 502 to an idempotent request whose second attempt was refused as not run: it
// has run at one server only, and the route allows two.
func TestRefusedRetryDoesNotEndRequest(t *testing.T) {
	for name, failure := range map[string]http.HandlerFunc{
		"connection aborted": abort, "failure": respondWith(http.StatusInternalServerError, "Signed"),
	} {
		t.Run(name, func(t *testing.T) {
			handler := inTurn(failure, respondWith(http.StatusTooManyRequests, "Not-Run"), succeed)
			response, body, _ := sendAndRead(t, newTestRelayer(t, handler, handler)+"/look/x", "b")
			assertStatus(t, response, http.StatusOK)
			if got, want := body, "whole b"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// Guards against a request that runs at more servers than the route allows, since refusals between
// its runs are not counted, and against one that is sent without end to servers that refuse it.
func TestAttemptsAreBounded(t *testing.T) {
	refuse := respondWith(http.StatusServiceUnavailable, "Not-Run")
	for _, tt := range []struct {
		name, path string
		// responses are the responses of the servers in turn, the last one also to all others.
		responses []http.HandlerFunc
		want      int64
	}{
		{"runs of a request", "/look/x", []http.HandlerFunc{abort, refuse, abort}, 3},
		{"runs of a stream", "/stream/x", []http.HandlerFunc{breakingStream(1), refuse, breakingStream(1)}, 3},
		{"refusals after a run", "/look/x", []http.HandlerFunc{abort, refuse}, 2 + maxNotRunAttempts},
		{"refusals of a stream that has begun", "/stream/x", []http.HandlerFunc{breakingStream(1), refuse}, 2 + maxNotRunAttempts},
		{"refusals of a request that has not run", "/look/x", []http.HandlerFunc{refuse}, 2},
		{"a refusal before the run of a request that may run once", "/once-of-two/x", []http.HandlerFunc{refuse, abort}, 2},
		{"a request that may be sent once", "/once/x", []http.HandlerFunc{refuse}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var requests atomic.Int64
			handler := counted(&requests, func(w http.ResponseWriter, r *http.Request) {
				tt.responses[min(int(requests.Load()), len(tt.responses))-1](w, r)
			})
			sendAndRead(t, newTestRelayer(t, handler, handler, handler, handler, handler)+tt.path, "b")
			if got := requests.Load(); got != tt.want {
				t.Errorf("got %d requests at the servers, want %d", got, tt.want)
			}
		})
	}
}

// A stream whose every further attempt is refused as not run is counted by that cause.
func TestRefusedStreamIsCounted(t *testing.T) {
	m := meter.New()
	handler := inTurn(breakingStream(1), respondWith(http.StatusServiceUnavailable, "Not-Run"), respondWith(http.StatusServiceUnavailable, "Not-Run"),
		respondWith(http.StatusServiceUnavailable, "Not-Run"), respondWith(http.StatusServiceUnavailable, "Not-Run"))
	relayer := newRelayerWithServers(t, io.Discard, handler, handler, handler, handler, handler)
	relayer.meter = m
	proxy := httptest.NewServer(relayer)
	t.Cleanup(proxy.Close)
	if _, _, err := sendAndRead(t, proxy.URL+"/stream/x", "p"); err == nil {
		t.Error("got a complete response, want an aborted one")
	}
	assertBreakOff(t, m, causeNotRun)
}

// Guards against a request that counts several times in the retry budget, since it asks for a slot
// again after a server has not run it.
func TestRepeatedArrivalIsMarked(t *testing.T) {
	admitter := &recordingAdmitter{}
	x := &exchange{relayer: New(admitter, nil, fakeHeaderCodec{}), routes: newTableOf(1, 100), ctx: t.Context(), deadline: time.Now().Add(time.Second)}
	const arrivals = 3
	for range arrivals {
		if _, err := x.acquireSlot(false); err == nil {
			t.Fatal("got a slot, want a refusal")
		}
	}
	for n, a := range admitter.arrivals {
		if got, want := a.HasAskedBefore, n > 0; got != want {
			t.Errorf("got arrival %d marked as repeated: %v, want %v", n, got, want)
		}
	}
	if got, want := len(admitter.arrivals), arrivals; got != want {
		t.Errorf("got %d arrivals, want %d", got, want)
	}
}

// Guards against a share of admitted requests that does not hold: one that asks again after each
// refusal by its host is admitted in the end.
func TestRefusedRequestDoesNotAskAgain(t *testing.T) {
	for _, kind := range []fuchsiapitch.RouteKind{fuchsiapitch.IdempotentRoute, fuchsiapitch.AtMostOnceRoute, fuchsiapitch.StreamRoute} {
		admitter := &recordingAdmitter{}
		r := New(admitter, nil, fakeHeaderCodec{})
		route := fuchsiapitch.HostRoute{Host: "host.example", Prefix: "/", Kind: kind, AttemptLimit: 3, Public: true, Services: []fuchsiapitch.WeightedService{{Service: "desk", Weight: 1}}}
		r.Configure(fuchsiapitch.NewRouteTable(1, []fuchsiapitch.HostRoute{route}, []fuchsiapitch.ServiceProfile{{Name: "desk"}}, nil, false, fuchsiapitch.ClientLimits{}))
		request := httptest.NewRequest(http.MethodGet, "/a", http.NoBody)
		request.Host = "host.example"
		r.ServeHTTP(httptest.NewRecorder(), request)
		if got, want := len(admitter.arrivals), 1; got != want {
			t.Errorf("kind %v: got %d arrivals, want %d", kind, got, want)
		}
	}
}

// Guards against clients with shorter time limits that count as returned, and as late from the start.
func TestShorterTimeLimitIsNoReturn(t *testing.T) {
	const timeout = 6 * time.Second
	for _, tt := range []struct {
		name  string
		limit time.Duration
		want  bool
	}{
		{name: "the timeout of the route", limit: timeout},
		{name: "the time limit of an impatient client", limit: 5200 * time.Millisecond},
		{name: "a return after a third of the time", limit: 4 * time.Second, want: true},
		{name: "no time limit"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := &exchange{route: fuchsiapitch.HostRoute{Timeout: timeout}, metadata: fuchsiapitch.RequestMetadata{TimeLimit: tt.limit}}
			if got := x.hasReturned(); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
			if got := x.priorElapsed() > 0; got != tt.want {
				t.Errorf("got time elapsed before: %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a request that is sent again at once to servers that have just failed it: a stream
// that has begun, and a request that was refused after a run.
func TestAttemptAvoidsServersThatFailed(t *testing.T) {
	for _, tt := range []struct {
		name                string
		sendCount, runCount int
		resumed             bool
		want                bool
	}{
		{name: "a new request"},
		{name: "a failed run", sendCount: 1, runCount: 1},
		{name: "a refusal", sendCount: 1},
		{name: "a refusal after a failed run", sendCount: 2, runCount: 1, want: true},
		{name: "a stream that has begun", sendCount: 1, runCount: 1, resumed: true, want: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			admitter := &recordingAdmitter{}
			x := &exchange{
				relayer: New(admitter, nil, fakeHeaderCodec{}), request: httptest.NewRequest(http.MethodPost, "/a", http.NoBody), ctx: t.Context(),
				routes: newTableOf(1, 0), sendCount: tt.sendCount, runCount: tt.runCount,
			}
			if _, err := x.acquireSlot(tt.resumed); err == nil {
				t.Fatal("got a slot, want the refusal of the admitter")
			}
			if got := admitter.arrivals[0].AvoidsFailedServers; got != tt.want {
				t.Errorf("got a request that avoids servers: %v, want %v", got, tt.want)
			}
		})
	}
}
