package relayer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/hasty"
)

const (
	// earlyRounds is the number of times that each form is played, since its parts race.
	earlyRounds = 20
	// longBodyBytes is more than the buffers of a connection take.
	longBodyBytes = 8 << 20
	earlyEvent    = "id: 1\ndata: a\n\n"
)

// earlyForm is a kind of response. cut is the part of the body that a server sends which breaks off.
type earlyForm struct{ path, header, body, cut string }

var earlyForms = map[string]earlyForm{
	"body":             {"/once/x", signedHead, "0123456789", "0123"},
	"idempotent":       {"/look/x", signedHead, "0123456789", "0123"},
	"stream":           {"/one-stream/x", signedHead + "Content-Type: text/event-stream\r\n", earlyEvent + "id: 2\ndata: b\n\n", earlyEvent},
	"resumable stream": {"/stream/x", signedHead + "Content-Type: text/event-stream\r\n", earlyEvent + "id: 2\ndata: b\n\n", earlyEvent},
}

// startLongRelayer starts servers that respond to each request before its end and still run whenever they are
// asked, and a relayer of them that takes long requests. It returns the URL of the relayer.
func startLongRelayer(t *testing.T, servers ...hasty.Server) string {
	t.Helper()
	var addresses []string
	for _, s := range servers {
		address, stop, err := hasty.Start(t.Context(), s)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := stop(); err != nil {
				t.Errorf("stop: got error %v", err)
			}
		})
		addresses = append(addresses, address)
	}
	r := newRelayerWithReports(t, io.Discard, &firstServer{}, addresses...)
	var routes []fuchsiapitch.HostRoute
	for _, f := range earlyForms {
		route, _ := r.Routes().Match("127.0.0.1", f.path)
		routes = append(routes, route)
	}
	r.Configure(fuchsiapitch.NewRouteTable(2, routes, []fuchsiapitch.ServiceProfile{{Name: "desk"}},
		map[string]fuchsiapitch.Principal{"k": {Customer: "c"}}, true, fuchsiapitch.ClientLimits{BodyBytes: longBodyBytes, HeaderBytes: 2000}))
	proxy := httptest.NewServer(r)
	t.Cleanup(proxy.Close)
	return proxy.URL
}

// Guards against a part of a response that reaches the client as complete, since its server answered a
// long request before its end and then broke the connection.
func TestCutResponseToLongRequestLooksBroken(t *testing.T) {
	body := strings.Repeat("x", longBodyBytes)
	for name, f := range earlyForms {
		for _, framing := range hasty.Framings() {
			for _, end := range []hasty.End{hasty.Reset, hasty.Close, hasty.HalfCloseAndReset} {
				for _, reading := range []hasty.Reading{hasty.ReadsNothing, hasty.ReadsFirst} {
					if reading == hasty.ReadsFirst && end != hasty.Reset {
						// The connection ends in an orderly way.
						continue
					}
					t.Run(name+", "+string(framing)+", "+string(end)+", "+string(reading), func(t *testing.T) {
						s := hasty.Server{Response: hasty.Frame(framing, f.header, f.body, len(f.cut)), End: end, Reads: reading}
						wrong := 0
						for range earlyRounds {
							url := startLongRelayer(t, s, s)
							if response, _, err := sendAndRead(t, url+f.path, body); err == nil && response.StatusCode < http.StatusMultipleChoices {
								wrong++
							}
						}
						if wrong > 0 {
							t.Errorf("got %d of %d cut responses as complete, want none", wrong, earlyRounds)
						}
					})
				}
			}
		}
	}
}

// Guards against an early response that does not reach the client though it was complete.
func TestWholeResponseToLongRequestIsDelivered(t *testing.T) {
	body := strings.Repeat("x", longBodyBytes)
	for name, f := range earlyForms {
		for framing, end := range map[hasty.Framing]hasty.End{hasty.Length: hasty.Keep, hasty.Chunked: hasty.Keep, hasty.Unframed: hasty.HalfClose} {
			t.Run(name+", "+string(framing), func(t *testing.T) {
				url := startLongRelayer(t, hasty.Server{Response: hasty.Frame(framing, f.header, f.body, len(f.body)), End: end})
				response, got, err := sendAndRead(t, url+f.path, body)
				if err != nil || got != f.body {
					t.Errorf("got %q and error %v, want %q", got, err, f.body)
				}
				assertStatus(t, response, http.StatusOK)
			})
		}
	}
}

// Guards against a cut response to a request that may be repeated, or resumed, that ends it: another attempt
// gives the rest.
func TestCutResponseToLongRequestIsRepeated(t *testing.T) {
	body := strings.Repeat("x", longBodyBytes)
	for _, name := range []string{"idempotent", "resumable stream"} {
		t.Run(name, func(t *testing.T) {
			f := earlyForms[name]
			rest := f.body
			if f.path == "/stream/x" {
				rest = f.body[len(f.cut):]
			}
			s := hasty.Server{Response: hasty.Frame(hasty.Unframed, f.header, f.body, len(f.cut)), End: hasty.Reset, Next: hasty.Frame(hasty.Length, f.header, rest, len(rest))}
			for round := range earlyRounds {
				t.Run(strconv.Itoa(round), func(t *testing.T) {
					t.Parallel()
					// The server runs on and responds to the second attempt as well.
					response, got, err := sendAndRead(t, startLongRelayer(t, s)+f.path, body)
					if err != nil || got != f.body {
						t.Errorf("got %q and error %v, want %q", got, err, f.body)
					}
					assertStatus(t, response, http.StatusOK)
				})
			}
		})
	}
}
