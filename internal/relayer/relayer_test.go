package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
)

// plainDialect names its header fields in the simplest way.
type plainDialect struct{}

func (plainDialect) Request(h http.Header) fuchsiapitch.RequestFacts {
	return fuchsiapitch.RequestFacts{ID: fuchsiapitch.RequestID(h.Get("Id")), Key: h.Get("Key"), TimeLimit: 10 * time.Second, Model: h.Get("Model"), Resume: h.Get("Last")}
}

func (plainDialect) Forward(h http.Header, f fuchsiapitch.ForwardFacts) http.Header {
	out := h.Clone()
	out.Set("Server-Id", string(f.Server))
	out.Set("Last", f.Resume)
	return out
}

func (plainDialect) Answer(_ int, h http.Header) fuchsiapitch.AnswerFacts {
	return fuchsiapitch.AnswerFacts{Request: fuchsiapitch.RequestID(h.Get("Id")), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != ""}
}

func (plainDialect) Backward(h http.Header) http.Header { return h.Clone() }

func (plainDialect) Refusal(h http.Header, _ fuchsiapitch.RequestID, _ time.Duration) {
	h.Set("Own", "1")
}

// noControls never reaches a server.
type noControls struct{}

func (noControls) Report(context.Context, fuchsiapitch.ServerID, string) (fuchsiapitch.ServerReport, error) {
	return fuchsiapitch.ServerReport{}, &fuchsiapitch.UnreachableError{}
}

func (noControls) Identify(context.Context, string) (fuchsiapitch.ServerID, error) {
	return "", nil
}

func (noControls) Order(context.Context, fuchsiapitch.GroupOrder) (fuchsiapitch.OrderAnswer, error) {
	return fuchsiapitch.OrderUnknown, &fuchsiapitch.UnreachableError{}
}

func (noControls) Claim(context.Context, int64) (conductor.ClaimRead, error) {
	return conductor.ClaimRead{}, &fuchsiapitch.UnreachableError{}
}

// newBed returns the address of a relayer before servers that answer by a handler
// each.
func newBed(t *testing.T, handlers ...http.HandlerFunc) string {
	t.Helper()
	return newLoggedBed(t, io.Discard, handlers...)
}

func newLoggedBed(t *testing.T, lines io.Writer, handlers ...http.HandlerFunc) string {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	d := driver.New(t.Context(), conductor.New(conductor.Peer{ID: "a"}, 1), noControls{}, noControls{}, socket)
	calls, cleanUp := sender.New()
	t.Cleanup(cleanUp)
	r := New(d, calls, plainDialect{}, WithLogger(zerolog.New(lines)))
	services := []fuchsiapitch.WeightedService{{Service: "desk", Weight: 1}}
	route := func(prefix string, kind fuchsiapitch.RouteKind, attempts int) fuchsiapitch.HostRoute {
		return fuchsiapitch.HostRoute{
			Name: prefix, Host: "127.0.0.1", Prefix: prefix, Services: services, Kind: kind, Attempts: attempts,
			Timeout: 10 * time.Second, Target: 5 * time.Second, Resumable: kind == fuchsiapitch.StreamRoute,
		}
	}
	table := fuchsiapitch.NewRouteTable(1, []fuchsiapitch.HostRoute{
		route("/once/", fuchsiapitch.OnceRoute, 1), route("/look/", fuchsiapitch.RepeatableRoute, 2), route("/stream/", fuchsiapitch.StreamRoute, 2),
	}, []fuchsiapitch.ServiceProfile{{Name: "desk"}}, map[string]fuchsiapitch.Tenancy{"k": {Customer: "c"}}, true, fuchsiapitch.CallerLimits{BodyBytes: 100, HeaderBytes: 2000})
	r.Configure(table)
	d.Apply(conductor.Configured{Table: table})
	var list []fuchsiapitch.ServerReport
	for n, h := range handlers {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		list = append(list, fuchsiapitch.ServerReport{
			ID: fuchsiapitch.ServerID(rune('a' + n)), Service: "desk", Address: strings.TrimPrefix(s.URL, "http://"), Slots: 4, Started: 1,
		})
	}
	d.Apply(conductor.ServersListed{Servers: list})
	front := httptest.NewServer(r)
	t.Cleanup(front.Close)
	return front.URL
}

func send(t *testing.T, url, body string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	return http.DefaultTransport.RoundTrip(r)
}

func ask(t *testing.T, url, body string) (*http.Response, string, error) {
	t.Helper()
	response, err := send(t, url, body)
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

func good(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "1")
	w.Write(append([]byte("whole "), body...))
}

func answer(status int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		for _, h := range header {
			w.Header().Set(h, "1")
		}
		w.WriteHeader(status)
	}
}

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestOnce(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    int
	}{
		"whole answer":             {good, http.StatusOK},
		"failure of the server":    {answer(http.StatusInternalServerError, "Signed"), http.StatusInternalServerError},
		"not run":                  {answer(http.StatusServiceUnavailable, "Not-Run"), http.StatusServiceUnavailable},
		"no promise by the server": {answer(http.StatusServiceUnavailable, "Signed"), http.StatusBadGateway},
		"connection cut":           {cut, http.StatusBadGateway},
		"unsigned":                 {answer(http.StatusOK), http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			url := newBed(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				c.handler(w, r)
			})
			response, _, _ := ask(t, url+"/once/x", "b")
			assertStatus(t, response, c.want)
			if got := runs.Load(); got != 1 {
				t.Errorf("got %d sends, want 1", got)
			}
		})
	}
}

func TestRepeatable(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"cut": cut, "failure": answer(http.StatusInternalServerError, "Signed"), "not run": answer(http.StatusServiceUnavailable, "Not-Run"),
		"for another request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "other")
			w.Header().Set("Signed", "1")
			w.Write([]byte("other"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var failed atomic.Bool
			either := func(w http.ResponseWriter, r *http.Request) {
				if !failed.Swap(true) {
					bad(w, r)
					return
				}
				good(w, r)
			}
			response, body, _ := ask(t, newBed(t, either, either)+"/look/x", "b")
			assertStatus(t, response, http.StatusOK)
			if got, want := body, "whole b"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	url := newBed(t, good)
	t.Run("unknown route", func(t *testing.T) {
		response, _, _ := ask(t, url+"/none/x", "")
		assertStatus(t, response, http.StatusNotFound)
	})
	t.Run("large body", func(t *testing.T) {
		response, _, _ := ask(t, url+"/once/x", strings.Repeat("x", 101))
		assertStatus(t, response, http.StatusRequestEntityTooLarge)
	})
	t.Run("large header", func(t *testing.T) {
		response, _, _ := ask(t, url+"/once/"+strings.Repeat("x", 3000), "")
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
		response, _, _ := ask(t, newBed(t)+"/once/x", "")
		assertStatus(t, response, http.StatusServiceUnavailable)
	})
}

// A stream that stops in the middle of an event goes on after the last whole one.
func TestStreamGoesOn(t *testing.T) {
	var resumed atomic.Bool
	events := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		if !resumed.Swap(true) {
			io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b")
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if got, want := r.Header.Get("Last"), "1"; got != want {
			t.Errorf("got resumption after %q, want %q", got, want)
		}
		io.WriteString(w, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	}
	_, body, err := ask(t, newBed(t, events, events)+"/stream/x", "p")
	if got, want := body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; got != want || err != nil {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}

// A stream that cannot go on does not look complete.
func TestBrokenStreamIsCut(t *testing.T) {
	events := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 1\ndata: a\n\n")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if _, _, err := ask(t, newBed(t, events, events)+"/stream/x", "p"); err == nil {
		t.Error("got a complete answer, want one that is cut")
	}
}

// lineWriter passes log lines on.
type lineWriter chan string

// Write implements io.Writer.
func (l lineWriter) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// A caller that leaves in the middle of a stream is not taken for a failure.
func TestCallerLeaves(t *testing.T) {
	lines := make(lineWriter, 10)
	events := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 1\ndata: a\n\n")
		http.NewResponseController(w).Flush()
		// The end of the connection is seen once the body is read.
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	response, err := send(t, newLoggedBed(t, lines, events)+"/stream/x", "p")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if got, want := <-lines, "caller left"; !strings.Contains(got, want) {
		t.Errorf("got line %q, want %q", got, want)
	}
}

func TestLastID(t *testing.T) {
	for text, want := range map[string]string{
		"id: 7\ndata: x\n\n": "7", "data: id: 9\n\n": "", "id:1\n\nid: 2\ndata: id: 3\n\n": "2",
	} {
		if got := lastID([]byte(text)); got != want {
			t.Errorf("got %q of %q, want %q", got, text, want)
		}
	}
}

// A configuration that is in force never gives way to an earlier one.
func FuzzLastID(f *testing.F) {
	f.Add([]byte("id: 1\ndata: id:2\n\n"))
	f.Fuzz(func(t *testing.T, events []byte) {
		if id := lastID(events); strings.ContainsAny(id, "\n") {
			t.Errorf("got identifier %q over two lines", id)
		}
	})
}

func TestConfigurationNeverReverts(t *testing.T) {
	version := func(n int64) *fuchsiapitch.RouteTable {
		return fuchsiapitch.NewRouteTable(n, nil, nil, nil, false, fuchsiapitch.CallerLimits{})
	}
	r := New(nil, nil, plainDialect{})
	for _, n := range []int64{3, 7, 5, 7} {
		r.Configure(version(n))
	}
	if got, want := r.Table().Version(), int64(7); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}
