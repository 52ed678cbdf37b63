package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// heads are headers of successful responses, complete with the empty line.
var heads = map[string]string{
	"length":                              signedHead + "Content-Length: 128\r\n\r\n",
	"chunks":                              signedHead + "Transfer-Encoding: chunked\r\n\r\n",
	"end of the connection":               signedHead + "Content-Type: text/plain\r\n\r\n",
	"stream with a length":                streamHead + "Content-Length: 128\r\n\r\n",
	"stream in chunks":                    streamHead + "Transfer-Encoding: chunked\r\n\r\n",
	"stream to the end of the connection": streamHead + "\r\n",
	"length first":                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: r1\r\nSigned: 1\r\n\r\n",
	"no content":                          "HTTP/1.1 204 No Content\r\nId: r1\r\nSigned: 1\r\n\r\n",
	"after early responses":               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: r1\r\nSigned: 1\r\n\r\n" + signedHead + "\r\n",
	"lines that end with LF":              strings.ReplaceAll(signedHead, "\r\n", "\n") + "Content-Length: 0\n\n",
}

// cutResponse is what a client received when the servers sent a part of a response.
type cutResponse struct {
	// status is 0 for no response, and err is not nil if the body was aborted.
	status   int
	body     string
	err      error
	requests int32
}

// cutServers are two servers that respond with a part of a response and then close or reset
// the connection, and a relayer.
type cutServers struct {
	addresses []string
	url       string
	relayer   atomic.Pointer[Relayer]
	part      atomic.Pointer[string]
	reset     bool
	requests  atomic.Int32
}

func startCutServers(t *testing.T, reset bool) *cutServers {
	t.Helper()
	c := &cutServers{reset: reset}
	for range 2 {
		s := httptest.NewServer(http.HandlerFunc(c.serveCut))
		t.Cleanup(s.Close)
		c.addresses = append(c.addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.relayer.Load().ServeHTTP(w, r) }))
	t.Cleanup(proxy.Close)
	c.url = proxy.URL
	return c
}

// serveCut sends the part of the response.
func (c *cutServers) serveCut(w http.ResponseWriter, r *http.Request) {
	c.requests.Add(1)
	io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	io.WriteString(conn, *c.part.Load())
	if tcp, ok := conn.(*net.TCPConn); ok && c.reset {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// send sends a request through a relayer of its own, which knows of no earlier failures.
func (c *cutServers) send(t *testing.T, path, part string) cutResponse {
	t.Helper()
	c.part.Store(&part)
	c.requests.Store(0)
	var got cutResponse
	t.Run(fmt.Sprint(len(part), " bytes"), func(t *testing.T) {
		c.relayer.Store(newRelayerOf(t, io.Discard, c.addresses...))
		var response *http.Response
		if response, got.body, got.err = sendAndRead(t, c.url+path, "b"); response != nil {
			got.status = response.StatusCode
		}
	})
	got.requests = c.requests.Load()
	return got
}

// Guards against a response that is delivered as complete although its server stopped within
// its header: wherever the header is cut, the client gets 502, and a request that may run once
// is sent once.
func TestHeaderCutOff(t *testing.T) {
	for name, head := range heads {
		for _, path := range []string{"/once-of-two/x", "/one-stream/x", "/look/x"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(name, path, ", reset ", reset), func(t *testing.T) {
					t.Parallel()
					servers := startCutServers(t, reset)
					for n := range head {
						got := servers.send(t, path, head[:n])
						if got.status != http.StatusBadGateway || got.err != nil || path != "/look/x" && got.requests != 1 {
							t.Fatalf("got %+v after %q, want status 502, and one request if it may run once", got, head[:n])
						}
					}
				})
			}
		}
	}
}

// Guards against a response that is delivered as complete although its server stopped within
// its body, or before it began.
func TestBodyCutOff(t *testing.T) {
	const text = "0123456789"
	for name, whole := range map[string]string{
		"length":          signedHead + "Content-Length: 10\r\n\r\n" + text,
		"chunks":          signedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
		"chunks, trailer": signedHead + "Transfer-Encoding: chunked\r\n\r\na\r\n" + text + "\r\n0\r\nSum: 1\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				servers := startCutServers(t, reset)
				for n := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n"); n < len(whole); n++ {
					got := servers.send(t, "/once-of-two/x", whole[:n])
					if got.status != http.StatusBadGateway || got.err != nil || got.requests != 1 {
						t.Fatalf("got %+v after %q, want status 502 and one request", got, whole[:n])
					}
				}
			})
		}
	}
	t.Run("end of the connection, reset", func(t *testing.T) {
		servers := startCutServers(t, true)
		for n := range len(text) + 1 {
			got := servers.send(t, "/once-of-two/x", signedHead+"\r\n"+text[:n])
			if got.status != http.StatusBadGateway || got.err != nil {
				t.Fatalf("got %+v after %d bytes, want status 502", got, n)
			}
		}
	})
}

// Guards against a stream that looks complete although its server stopped within it, wherever
// it is cut: the client has the complete events and no end of the response.
func TestStreamCutOff(t *testing.T) {
	whole := events(1, 3)
	for framing, frame := range framings {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(framing, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				servers := startCutServers(t, reset)
				for n := range len(whole) {
					if framing == "end of the connection" && !reset && strings.HasSuffix(whole[:n], "\n\n") {
						// Such a stream may be complete.
						continue
					}
					got := servers.send(t, "/one-stream/x", frame(streamHead, whole[:n], false))
					delivered := whole[:completeEventBytes([]byte(whole[:n]), n)]
					switch {
					case got.status == http.StatusBadGateway && (reset || delivered == ""):
					case got.status != http.StatusOK || got.err == nil:
						t.Fatalf("got %+v after %q, want an aborted stream", got, whole[:n])
					case got.body != delivered && !reset || !strings.HasPrefix(delivered, got.body):
						t.Fatalf("got %+v after %q, want body %q", got, whole[:n], delivered)
					}
				}
			})
		}
	}
}

// Guards against a success that consists of two responses: a server stops within a field of
// its header and writes the response of a failure on the same connection, whose status line
// becomes the end of that field.
func TestHeaderWithinHeader(t *testing.T) {
	const failure = "HTTP/1.1 500 Internal Server Error\r\nId: r1\r\nSigned: 1\r\nContent-Length: 7\r\n\r\nfailed\n"
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := startCutServers(t, false)
			for n := range head {
				got := servers.send(t, "/once-of-two/x", head[:n]+failure)
				if got.status < http.StatusInternalServerError || got.err != nil || got.requests != 1 {
					t.Fatalf("got %+v after %q, want a failure and one request", got, head[:n])
				}
			}
		})
	}
}

// Guards against bytes behind a complete response that are delivered as part of it, or as the
// response to the next request.
func TestBytesBehindResponse(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nother"
	for name, whole := range map[string]string{
		"length":     signedHead + "Content-Length: 2\r\n\r\nok",
		"chunks":     signedHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"no content": "HTTP/1.1 204 No Content\r\nId: r1\r\nSigned: 1\r\n\r\n",
		"failure":    "HTTP/1.1 500 Internal Server Error\r\nId: r1\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok",
	} {
		for behind, text := range map[string]string{"bytes": "xyz", "response": next, "refusal": refusal(http.StatusServiceUnavailable, "Id: r1\r\nNot-Run: 1\r\n")} {
			t.Run(name+"/"+behind, func(t *testing.T) {
				s := &rawServer{respond: always(whole + text)}
				url := newTestRelayer(t, s.ServeHTTP)
				for range 3 {
					response, body, err := sendAndRead(t, url+"/once/x", "b")
					if err != nil || response.StatusCode == http.StatusServiceUnavailable || body != "ok" && response.StatusCode != http.StatusNoContent {
						t.Fatalf("got %v, body %q and error %v, want the complete response alone", response, body, err)
					}
				}
				assertRequests(t, 3, s)
			})
		}
	}
	t.Run("stream", func(t *testing.T) {
		for framing, frame := range framings {
			if framing == "end of the connection" {
				continue
			}
			s := &rawServer{respond: always(frame(streamHead, events(1, 3), true) + events(4, 5) + next)}
			_, body, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP)+"/one-stream/x", "p")
			if want := events(1, 3); body != want || err != nil {
				t.Errorf("got %q and error %v, want %q", body, err, want)
			}
		}
	})
}
