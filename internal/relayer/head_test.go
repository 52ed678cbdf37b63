package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
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

// sendToCutServers sends a request to one of two servers, which respond with a part of a
// response and then close or reset the connection.
func sendToCutServers(t *testing.T, path, part string, reset bool) cutResponse {
	t.Helper()
	var requests atomic.Int32
	s := func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		io.WriteString(c, part)
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	var got cutResponse
	// The servers of each request are stopped after it.
	t.Run(fmt.Sprint(len(part), " bytes"), func(t *testing.T) {
		var response *http.Response
		if response, got.body, got.err = sendAndRead(t, newTestRelayer(t, s, s)+path, "b"); response != nil {
			got.status = response.StatusCode
		}
	})
	got.requests = requests.Load()
	return got
}

// Guards against a response that is delivered as complete although its server stopped within
// its header: wherever the header is cut, the client gets 502, and a request that may run once
// is sent once.
func TestHeaderCutOff(t *testing.T) {
	for name, head := range heads {
		for _, c := range []struct {
			path  string
			reset bool
		}{{"/once-of-two/x", false}, {"/one-stream/x", true}, {"/one-stream/x", false}, {"/once-of-two/x", true}} {
			if isStream := strings.HasPrefix(name, "stream"); isStream != (c.path == "/one-stream/x") && c.reset != isStream {
				continue
			}
			t.Run(fmt.Sprint(name, c.path, ", reset ", c.reset), func(t *testing.T) {
				t.Parallel()
				for n := range head {
					got := sendToCutServers(t, c.path, head[:n], c.reset)
					if got.status != http.StatusBadGateway || got.err != nil || got.requests != 1 {
						t.Fatalf("got %+v after %q, want status 502 and one request", got, head[:n])
					}
				}
			})
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
				for n := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n"); n < len(whole); n++ {
					got := sendToCutServers(t, "/once-of-two/x", whole[:n], reset)
					if got.status != http.StatusBadGateway || got.err != nil || got.requests != 1 {
						t.Fatalf("got %+v after %q, want status 502 and one request", got, whole[:n])
					}
				}
			})
		}
	}
	t.Run("end of the connection, reset", func(t *testing.T) {
		for n := range len(text) + 1 {
			got := sendToCutServers(t, "/once-of-two/x", signedHead+"\r\n"+text[:n], true)
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
				for n := range len(whole) {
					if framing == "end of the connection" && !reset && strings.HasSuffix(whole[:n], "\n\n") {
						// Such a stream may be complete.
						continue
					}
					got := sendToCutServers(t, "/one-stream/x", frame(streamHead, whole[:n], false), reset)
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
			for n := range head {
				got := sendToCutServers(t, "/once-of-two/x", head[:n]+failure, false)
				if got.status < http.StatusInternalServerError || got.err != nil || got.requests != 1 {
					t.Fatalf("got %+v after %q, want a failure and one request", got, head[:n])
				}
			}
		})
	}
}
