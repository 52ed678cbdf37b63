package relayer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
)

// fakeHeaderCodec is a HeaderCodec with a header field for each of the properties that
// the tests need.
type fakeHeaderCodec struct{}

func (fakeHeaderCodec) ParseRequest(h http.Header) fuchsiapitch.RequestMetadata {
	limit, err := time.ParseDuration(h.Get("Limit"))
	if err != nil {
		limit = 10 * time.Second
	}
	return fuchsiapitch.RequestMetadata{ID: fuchsiapitch.RequestID(h.Get("Id")), APIKey: h.Get("Key"), TimeLimit: limit, Model: h.Get("Model"), LastEventID: h.Get("Last")}
}

func (fakeHeaderCodec) ForwardHeader(h http.Header, f fuchsiapitch.ForwardMetadata) http.Header {
	out := h.Clone()
	out.Set("Server-Id", string(f.Server))
	out.Set("Last", f.LastEventID)
	return out
}

func (fakeHeaderCodec) ParseResponse(status int, h http.Header) fuchsiapitch.ResponseMetadata {
	notice := fuchsiapitch.ServerNotice{Leaving: h.Get("Leaving") != ""}
	if pause, err := time.ParseDuration(h.Get("Pause")); err == nil && status == http.StatusServiceUnavailable {
		notice.Pause = pause
	}
	return fuchsiapitch.ResponseMetadata{Request: fuchsiapitch.RequestID(h.Get("Id")), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Notice: notice}
}

func (fakeHeaderCodec) ResponseHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	return out
}

func (fakeHeaderCodec) IsEventMetadata(line []byte) bool {
	version, ok := bytes.CutPrefix(line, []byte("version:"))
	_, err := strconv.Atoi(string(bytes.TrimSpace(version)))
	return ok && err == nil
}

func (fakeHeaderCodec) SetErrorHeader(h http.Header, _ fuchsiapitch.RequestID, retryAfter time.Duration) {
	h.Set("Own", "1")
	h.Set("Own-Retry", retryAfter.String())
}

// unreachableServers is a driver.ServerClient and driver.Claimer whose calls never
// reach a server or the store.
type unreachableServers struct{}

func (unreachableServers) Report(context.Context, fuchsiapitch.ServerID, string) (fuchsiapitch.ServerReport, error) {
	return fuchsiapitch.ServerReport{}, &fuchsiapitch.UnreachableError{}
}

func (unreachableServers) CheckHealth(context.Context, string) (fuchsiapitch.ServerID, bool, error) {
	return "", false, nil
}

func (unreachableServers) Identify(context.Context, string) (fuchsiapitch.ServerID, error) {
	return "", nil
}

func (unreachableServers) Order(context.Context, fuchsiapitch.GroupOrder) (fuchsiapitch.OrderResult, error) {
	return fuchsiapitch.OrderUnknown, &fuchsiapitch.UnreachableError{}
}

func (unreachableServers) Claim(context.Context, int64) (coordinator.ClaimRead, error) {
	return coordinator.ClaimRead{}, &fuchsiapitch.UnreachableError{}
}

// newTestRelayer starts a relayer and one server for each handler, and returns the URL
// of the relayer.
func newTestRelayer(t *testing.T, handlers ...http.HandlerFunc) string {
	t.Helper()
	return newLoggedTestRelayer(t, io.Discard, handlers...)
}

// newLoggedTestRelayer is newTestRelayer with the log of the relayer written to logs.
func newLoggedTestRelayer(t *testing.T, logs io.Writer, handlers ...http.HandlerFunc) string {
	t.Helper()
	proxy := httptest.NewServer(newRelayerWithServers(t, logs, handlers...))
	t.Cleanup(proxy.Close)
	return proxy.URL
}

// newTestRelayerOf starts a relayer of the servers at the addresses, and returns its URL.
func newTestRelayerOf(t *testing.T, logs io.Writer, addresses ...string) string {
	t.Helper()
	proxy := httptest.NewServer(newRelayerOf(t, logs, addresses...))
	t.Cleanup(proxy.Close)
	return proxy.URL
}

// newRelayerWithServers returns a relayer with one server for each handler.
func newRelayerWithServers(t *testing.T, logs io.Writer, handlers ...http.HandlerFunc) *Relayer {
	t.Helper()
	var addresses []string
	for _, h := range handlers {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	return newRelayerOf(t, logs, addresses...)
}

// newRelayerOf returns a relayer of the servers at the addresses. They do not report.
func newRelayerOf(t *testing.T, logs io.Writer, addresses ...string) *Relayer {
	t.Helper()
	return newRelayerWithReports(t, logs, unreachableServers{}, addresses...)
}

// newRelayerWithReports returns a relayer of the servers at the addresses, whose reports come from a
// client.
func newRelayerWithReports(t *testing.T, logs io.Writer, reports driver.ServerClient, addresses ...string) *Relayer {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := driver.New(ctx, coordinator.New(coordinator.Peer{ID: "a"}, 1), reports, unreachableServers{}, socket)
	served := make(chan error, 1)
	go func() { served <- d.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	client, cleanUp := sender.New()
	t.Cleanup(cleanUp)
	r := New(d, client, fakeHeaderCodec{}, WithLogger(zerolog.New(logs)))
	services := []fuchsiapitch.WeightedService{{Service: "desk", Weight: 1}}
	route := func(prefix string, kind fuchsiapitch.RouteKind, attempts int) fuchsiapitch.HostRoute {
		return fuchsiapitch.HostRoute{
			Name: prefix, Host: "127.0.0.1", Prefix: prefix, Services: services, Kind: kind, AttemptLimit: attempts,
			Timeout: 10 * time.Second, LatencyTarget: 5 * time.Second, Resumable: kind == fuchsiapitch.StreamRoute,
		}
	}
	oneStream := route("/one-stream/", fuchsiapitch.StreamRoute, 2)
	oneStream.Resumable = false
	routes := fuchsiapitch.NewRouteTable(1, []fuchsiapitch.HostRoute{
		route("/once/", fuchsiapitch.AtMostOnceRoute, 1), route("/once-of-two/", fuchsiapitch.AtMostOnceRoute, 2), route("/look/", fuchsiapitch.IdempotentRoute, 2), route("/stream/", fuchsiapitch.StreamRoute, 2),
		route("/long-stream/", fuchsiapitch.StreamRoute, 3),
		oneStream,
	}, []fuchsiapitch.ServiceProfile{{Name: "desk"}}, map[string]fuchsiapitch.Principal{"k": {Customer: "c"}}, true, fuchsiapitch.ClientLimits{BodyBytes: 100, HeaderBytes: 2000})
	r.Configure(routes)
	d.Apply(coordinator.ConfigurationChanged{Routes: routes})
	var list []fuchsiapitch.ServerReport
	for n, address := range addresses {
		list = append(list, fuchsiapitch.ServerReport{
			ID: fuchsiapitch.ServerID(rune('a' + n)), Service: "desk", Address: address, Slots: 4, StartedUnixMillis: 1,
		})
	}
	d.Apply(coordinator.ServersListed{Servers: list})
	return r
}

// send posts a body as request r1 with a valid key.
func send(t *testing.T, url, body string) (*http.Response, error) {
	t.Helper()
	return http.DefaultTransport.RoundTrip(newRequest(t, url, body))
}

func newRequest(t *testing.T, url, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	return r
}

// sendAndRead is send, and reads the body of the response.
func sendAndRead(t *testing.T, url, body string) (*http.Response, string, error) {
	t.Helper()
	response, err := send(t, url, body)
	return readResponse(response, err)
}

// sendWithLimit is sendAndRead with a time limit of the client.
func sendWithLimit(t *testing.T, url, body string, limit time.Duration) (*http.Response, string, error) {
	t.Helper()
	r := newRequest(t, url, body)
	r.Header.Set("Limit", limit.String())
	response, err := http.DefaultTransport.RoundTrip(r)
	return readResponse(response, err)
}

func readResponse(response *http.Response, err error) (*http.Response, string, error) {
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

func assertStatus(t *testing.T, response *http.Response, want int) {
	t.Helper()
	if response == nil || response.StatusCode != want {
		t.Fatalf("got %v, want status %d", response, want)
	}
}

// succeed responds with a signature and the request body.
func succeed(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "1")
	w.Write(append([]byte("whole "), body...))
}

// respondWith returns a handler that responds with a status and sets each of the given
// header fields to 1.
func respondWith(status int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		for _, h := range header {
			w.Header().Set(h, "1")
		}
		w.WriteHeader(status)
	}
}

// abort closes the connection without a response.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// A request that may run at most once is sent only once, whatever the server responds.
// The client is told that the request was not run only if the server says so.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    int
	}{
		"complete response":     {succeed, http.StatusOK},
		"failure of the server": {respondWith(http.StatusInternalServerError, "Signed"), http.StatusInternalServerError},
		"not run":               {respondWith(http.StatusServiceUnavailable, "Not-Run"), http.StatusServiceUnavailable},
		"unavailable but not reported as not run": {respondWith(http.StatusServiceUnavailable, "Signed"), http.StatusBadGateway},
		"connection aborted":                      {abort, http.StatusBadGateway},
		"unsigned":                                {respondWith(http.StatusOK), http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			url := newTestRelayer(t, func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				c.handler(w, r)
			})
			response, _, _ := sendAndRead(t, url+"/once/x", "b")
			assertStatus(t, response, c.want)
			if got := requests.Load(); got != 1 {
				t.Errorf("got %d requests at the server, want 1", got)
			}
		})
	}
}

// An idempotent request that fails at one server is retried at the other one, whose
// response the client receives.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, failure := range map[string]http.HandlerFunc{
		"connection aborted": abort, "failure": respondWith(http.StatusInternalServerError, "Signed"), "not run": respondWith(http.StatusServiceUnavailable, "Not-Run"),
		"for another request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "other")
			w.Header().Set("Signed", "1")
			w.Write([]byte("other"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var failed atomic.Bool
			failOnce := func(w http.ResponseWriter, r *http.Request) {
				if !failed.Swap(true) {
					failure(w, r)
					return
				}
				succeed(w, r)
			}
			response, body, _ := sendAndRead(t, newTestRelayer(t, failOnce, failOnce)+"/look/x", "b")
			assertStatus(t, response, http.StatusOK)
			if got, want := body, "whole b"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// A request that the relayer must refuse gets the HTTP status for the reason.
func TestRefusals(t *testing.T) {
	url := newTestRelayer(t, succeed)
	t.Run("unknown route", func(t *testing.T) {
		response, _, _ := sendAndRead(t, url+"/none/x", "")
		assertStatus(t, response, http.StatusNotFound)
	})
	t.Run("large body", func(t *testing.T) {
		response, _, _ := sendAndRead(t, url+"/once/x", strings.Repeat("x", 101))
		assertStatus(t, response, http.StatusRequestEntityTooLarge)
	})
	t.Run("large header", func(t *testing.T) {
		response, _, _ := sendAndRead(t, url+"/once/"+strings.Repeat("x", 3000), "")
		assertStatus(t, response, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("no key", func(t *testing.T) {
		response, err := http.Get(url + "/once/x")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		assertStatus(t, response, http.StatusUnauthorized)
	})
	t.Run("no server", func(t *testing.T) {
		response, _, _ := sendAndRead(t, newTestRelayer(t)+"/once/x", "")
		assertStatus(t, response, http.StatusServiceUnavailable)
	})
}

// A stream that breaks off within an event resumes at another server after the last
// complete event. The client receives each event once.
func TestStreamIsResumed(t *testing.T) {
	var resumed atomic.Bool
	streamHandler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		if !resumed.Swap(true) {
			io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b")
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if got, want := r.Header.Get("Last"), "1"; got != want {
			t.Errorf("got stream resumed after event %q, want %q", got, want)
		}
		io.WriteString(w, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	}
	_, body, err := sendAndRead(t, newTestRelayer(t, streamHandler, streamHandler)+"/stream/x", "p")
	if got, want := body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; got != want || err != nil {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}

// If a stream breaks off at every attempt, the connection to the client is aborted, so
// that the client does not take the response for complete.
func TestBrokenStreamAbortsConnection(t *testing.T) {
	streamHandler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 1\ndata: a\n\n")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if _, _, err := sendAndRead(t, newTestRelayer(t, streamHandler, streamHandler)+"/stream/x", "p"); err == nil {
		t.Error("got a complete response, want an aborted one")
	}
}

// logWriter sends each log line to a channel.
type logWriter chan string

// Write implements io.Writer.
func (l logWriter) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// A client that disconnects during a stream is logged as such, not as a stream that
// broke off.
func TestClientDisconnects(t *testing.T) {
	lines := make(logWriter, 10)
	streamHandler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 1\ndata: a\n\n")
		http.NewResponseController(w).Flush()
		// The HTTP server detects a closed connection only after the body is read.
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	response, err := send(t, newLoggedTestRelayer(t, lines, streamHandler)+"/stream/x", "p")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if got, want := <-lines, "caller left"; !strings.Contains(got, want) {
		t.Errorf("got log line %q, want %q", got, want)
	}
}

// A configuration that is in force is never replaced by an earlier version.
func TestConfigurationNeverReverts(t *testing.T) {
	withVersion := func(n int64) *fuchsiapitch.RouteTable {
		return fuchsiapitch.NewRouteTable(n, nil, nil, nil, false, fuchsiapitch.ClientLimits{})
	}
	r := New(nil, nil, fakeHeaderCodec{})
	for _, n := range []int64{3, 7, 5, 7} {
		r.Configure(withVersion(n))
	}
	if got, want := r.Routes().Version(), int64(7); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}
