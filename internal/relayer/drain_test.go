package relayer

import (
	"context"
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
		name  string
		limit time.Duration
		path  string
		want  int
	}{
		{name: "limit after the end", path: "/stream/x", limit: 2 * grace, want: http.StatusServiceUnavailable},
		{name: "booking with a limit after the end", path: "/once/x", limit: 2 * grace, want: http.StatusServiceUnavailable},
		{name: "limit before the end", path: "/stream/x", limit: grace / 5, want: http.StatusOK},
		{name: "booking with a limit before the end", path: "/once/x", limit: grace / 5, want: http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRelayerWithServers(t, io.Discard, echoStream)
			proxy := httptest.NewServer(r)
			t.Cleanup(proxy.Close)
			r.StartDraining(0, grace)
			response, _, err := sendWithLimit(t, proxy.URL+test.path, "prompt", test.limit)
			if err != nil || response.StatusCode != test.want {
				t.Errorf("got %v and error %v, want status %d", response, err, test.want)
			}
		})
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

// Guards against a request that a stopping host passes on late although it may not end before
// the host does: one whose body comes late, and one that has waited for a slot.
func TestDrainingPassesNothingOnLate(t *testing.T) {
	const (
		refuseAfter = 200 * time.Millisecond
		grace       = 5 * time.Second
		slots       = 4
	)
	paths := map[string]string{"stream": "/stream/x", "booking": "/once/x", "lookup": "/look/x"}
	for name, path := range paths {
		t.Run("late body of a "+name, func(t *testing.T) {
			server := newHangingServer(t)
			r := newRelayerWithServers(t, io.Discard, server.ServeHTTP)
			proxy := httptest.NewServer(r)
			t.Cleanup(proxy.Close)
			t.Cleanup(func() { close(server.release) })
			r.StartDraining(refuseAfter, grace)
			body := &lateBody{delay: 2 * refuseAfter}
			assertRefusedUnsent(t, server, func() (*http.Response, error) { return sendBody(t, proxy.URL+path, body, 2*grace) })
		})
		t.Run("wait of a "+name, func(t *testing.T) {
			server := newHangingServer(t)
			r := newRelayerWithServers(t, io.Discard, server.ServeHTTP)
			proxy := httptest.NewServer(r)
			t.Cleanup(proxy.Close)
			ended := make(chan struct{})
			for range slots {
				go func() {
					sendAndRead(t, proxy.URL+"/once/x", "booking")
					ended <- struct{}{}
				}()
				<-server.reached
			}
			r.StartDraining(refuseAfter, grace)
			time.AfterFunc(2*refuseAfter, func() { close(server.release) })
			assertRefusedUnsent(t, server, func() (*http.Response, error) {
				return sendBody(t, proxy.URL+path, strings.NewReader("prompt"), 2*grace)
			})
			for range slots {
				<-ended
			}
		})
	}
}

// lateBody is a request body that comes after a delay.
type lateBody struct {
	delay time.Duration
	isEnd bool
}

// Read implements io.Reader.
func (b *lateBody) Read(data []byte) (int, error) {
	if b.isEnd {
		return 0, io.EOF
	}
	time.Sleep(b.delay)
	b.isEnd = true
	return copy(data, "prompt"), nil
}

// sendBody sends a request with a body and a time limit, and waits for its header.
func sendBody(t *testing.T, url string, body io.Reader, limit time.Duration) (*http.Response, error) {
	t.Helper()
	r := newRequest(t, url, "")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	r = r.WithContext(ctx)
	r.Body, r.ContentLength = io.NopCloser(body), -1
	r.Header.Set("Limit", limit.String())
	return http.DefaultTransport.RoundTrip(r)
}

// assertRefusedUnsent checks that a request is refused and reaches no server.
func assertRefusedUnsent(t *testing.T, server *hangingServer, send func() (*http.Response, error)) {
	t.Helper()
	response, err := send()
	if err != nil {
		t.Fatalf("got error %v, want a refusal", err)
	}
	response.Body.Close()
	if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	select {
	case <-server.reached:
		t.Error("got a request at the server, want none")
	default:
	}
}
