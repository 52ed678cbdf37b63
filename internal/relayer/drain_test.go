package relayer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against requests that a stopping host accepts although it ends before they do:
// streams that were cut off, and bookings whose outcome nobody learned.
func TestDrainingRefusesRequestsThatMayNotEnd(t *testing.T) {
	const grace = 5 * time.Second
	for _, test := range []struct {
		name string
		// served is the duration of requests that were served before, 0 for none.
		served time.Duration
		limit  time.Duration
		path   string
		want   int
	}{
		{name: "limit after the end", path: "/stream/x", limit: 2 * grace, want: http.StatusServiceUnavailable},
		{name: "booking with a limit after the end", path: "/once/x", limit: 2 * grace, want: http.StatusServiceUnavailable},
		{name: "limit before the end", path: "/stream/x", limit: grace / 5, want: http.StatusOK},
		{name: "known to be short", path: "/stream/x", served: grace / 10, limit: 2 * grace, want: http.StatusOK},
		{name: "stream that may last too long", path: "/stream/x", served: grace / 5, limit: 2 * grace, want: http.StatusServiceUnavailable},
		{name: "known to be long", path: "/stream/x", served: grace, limit: 2 * grace, want: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRelayerWithServers(t, io.Discard, echoStream)
			proxy := httptest.NewServer(r)
			t.Cleanup(proxy.Close)
			if test.served > 0 {
				r.durations.record("/stream/", test.served)
			}
			r.StartDraining(0, grace)
			response, _, err := sendWithLimit(t, proxy.URL+test.path, "prompt", test.limit)
			if err != nil || response.StatusCode != test.want {
				t.Errorf("got %v and error %v, want status %d", response, err, test.want)
			}
		})
	}
}

// The estimate follows durations that change, and exceeds all those that vary little.
func TestDurationEstimate(t *testing.T) {
	var d durationEstimator
	if got, ok := d.estimate("a"); ok {
		t.Errorf("got %s for a route without requests, want none", got)
	}
	for _, base := range []time.Duration{time.Second, 100 * time.Millisecond} {
		for i := range 200 {
			d.record("a", base+time.Duration(i%5)*base/20)
		}
		longest := base + base/5
		if got, ok := d.estimate("a"); !ok || got < longest || got > 2*longest {
			t.Errorf("got %s for durations of up to %s, want up to twice as much", got, longest)
		}
	}
}

// echoStream is a server that responds with a stream of one event.
func echoStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	io.WriteString(w, "id: 1\ndata: x\n\n")
}

// hangingServer is a server that begins a stream on /stream/ and then sends nothing more.
type hangingServer struct{ reached, release chan struct{} }

func newHangingServer(t *testing.T) *hangingServer {
	t.Helper()
	return &hangingServer{reached: make(chan struct{}, 8), release: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *hangingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		echoStream(w, r)
		http.NewResponseController(w).Flush()
	}
	s.reached <- struct{}{}
	<-s.release
}

// Guards against requests in flight that get no response at the end of a stop: one that
// waits for a slot was not run, one at a server may have run, and a stream that has begun
// must not look complete.
func TestAbortRespondsToRequestsInFlight(t *testing.T) {
	const slots = 4
	for _, test := range []struct {
		name, path string
		ahead      int
		want       int
	}{
		{name: "waits for a slot", path: "/once/x", ahead: slots, want: http.StatusServiceUnavailable},
		{name: "at a server", path: "/once/x", want: http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newHangingServer(t)
			r := newRelayerWithServers(t, io.Discard, server.ServeHTTP)
			proxy := httptest.NewServer(r)
			t.Cleanup(proxy.Close)
			t.Cleanup(func() { close(server.release) })
			ended := make(chan struct{})
			for range test.ahead {
				go func() {
					sendAndRead(t, proxy.URL+"/once/x", "booking")
					ended <- struct{}{}
				}()
				<-server.reached
			}
			go func() {
				if test.ahead == 0 {
					<-server.reached
				}
				for r.InFlightRequests() <= int64(test.ahead) {
					time.Sleep(time.Millisecond)
				}
				r.StartDraining(0, 0)
			}()
			response, body, err := sendAndRead(t, proxy.URL+test.path, "booking")
			if err != nil || response.StatusCode != test.want {
				t.Errorf("got %v with body %q and error %v, want status %d", response, body, err, test.want)
			}
			for range test.ahead {
				<-ended
			}
		})
	}
	t.Run("stream that has begun", func(t *testing.T) {
		server := newHangingServer(t)
		r := newRelayerWithServers(t, io.Discard, server.ServeHTTP)
		proxy := httptest.NewServer(r)
		t.Cleanup(proxy.Close)
		t.Cleanup(func() { close(server.release) })
		response, err := send(t, proxy.URL+"/stream/x", "prompt")
		if err != nil {
			t.Fatalf("got error %v, want a stream", err)
		}
		r.StartDraining(0, 0)
		if _, body, err := readResponse(response, nil); err == nil {
			t.Errorf("got a complete stream %q, want one that is cut off", body)
		}
	})
}
