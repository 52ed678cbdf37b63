package sender_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
)

// ownHeads are headers of successful responses, complete with the empty line.
var ownHeads = map[string]string{
	"length":                validHead + "Content-Length: 128\r\n\r\n",
	"chunks":                validHead + "Transfer-Encoding: chunked\r\n\r\n",
	"end of the connection": validHead + "\r\n",
	"stream":                streamHeader,
	"stream in chunks":      validHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	"length first":          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: r1\r\n\r\n",
	"after early responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Request-Id: r1\r\n\r\n" + validHead + "\r\n",
	"lines that end in LF":  "HTTP/1.1 200 OK\nX-Request-Id: r1\nContent-Length: 0\n\n",
}

// Guards against a response that is accepted although its server stopped within its header:
// wherever the header is cut, there is no response and the outcome is unknown.
func TestHeaderCutOff(t *testing.T) {
	for name, head := range ownHeads {
		for _, reset := range []bool{false, true} {
			for _, streaming := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %v, streaming %v", name, reset, streaming), func(t *testing.T) {
					parts := make(chan string, 1)
					server, requests := startServer(t, func(c net.Conn, _ *http.Request) bool {
						io.WriteString(c, <-parts)
						if reset {
							c.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					s := newTestSender(t)
					call := newBookingCall("r1")
					if streaming {
						call = newBookingCall("r1", fuchsiapitch.WithStream(0))
					}
					for n := range head {
						parts <- head[:n]
						_, err := s.Call(context.Background(), server, call)
						if err == nil {
							t.Fatalf("got a response after %q, want none", head[:n])
						}
						assertOutcome(t, err, fuchsiapitch.OutcomeUnknown)
					}
					assertRequestCount(t, requests, int64(len(head)))
				})
			}
		}
	}
}

// Guards against a body or a stream that is complete although its server stopped within it.
func TestBodyCutOff(t *testing.T) {
	stream := tokenEvent("r1", 1) + tokenEvent("r1", 2) + doneEvent
	chunkedStream := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(stream), stream)
	for name, c := range map[string]struct {
		head, body string
		streaming  bool
	}{
		"length":           {validHead + "Content-Length: 10\r\n\r\n", "0123456789", false},
		"chunks":           {validHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n", false},
		"stream":           {streamHeader, stream, true},
		"stream in chunks": {validHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunkedStream[:strings.Index(chunkedStream, doneEvent)+len(doneEvent)], true},
	} {
		t.Run(name, func(t *testing.T) {
			parts := make(chan string, 1)
			server, _ := startServer(t, func(conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.head+<-parts)
				return false
			})
			s := newTestSender(t)
			call := newBookingCall("r1")
			if c.streaming {
				call = newBookingCall("r1", fuchsiapitch.WithStream(0))
			}
			for n := range c.body {
				parts <- c.body[:n]
				response, err := s.Call(context.Background(), server, call)
				assertNoError(t, err, "call")
				if text, _, err := readAll(response); err == nil {
					t.Fatalf("got %q as a complete response after %q, want an error", text, c.body[:n])
				}
			}
		})
	}
}

// Guards against a success, or a refusal, that consists of two responses: a server stops within
// its header and writes another response on the same connection.
func TestHeaderWithinHeader(t *testing.T) {
	const refusal = "HTTP/1.1 503 Leaving\r\nX-Request-Id: r1\r\nX-Request-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	const failure = "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: r1\r\nContent-Length: 7\r\n\r\nfailed\n"
	for name, text := range map[string]string{
		"success and failure":            validHead + "X-Note: a" + failure,
		"failure behind the status":      "HTTP/1.1 200 " + failure,
		"success and refusal":            validHead + "X-Note: a" + refusal,
		"failure and refusal":            "HTTP/1.1 500 Internal" + refusal,
		"refusal and success":            "HTTP/1.1 503 Leaving\r\nX-Request-Outcome: not-run\r\nX-Note: a" + validHead + "\r\n",
		"failure of another version":     validHead + "X-Note: a" + strings.Replace(failure, "HTTP/1.1", "HTTP/1.0", 1),
		"failure behind another version": validHead + "X-Note: HTTP/1.1 a" + failure,
	} {
		t.Run(name, func(t *testing.T) {
			server, _ := startServer(t, func(c net.Conn, _ *http.Request) bool {
				io.WriteString(c, text)
				return false
			})
			_, err := newTestSender(t).Call(context.Background(), server, newBookingCall("r1"))
			if err == nil {
				t.Fatal("got a response, want none")
			}
			assertOutcome(t, err, fuchsiapitch.OutcomeUnknown)
			assertType[*sender.MergedHeadersError](t, err)
		})
	}
	t.Run("a field that names a protocol", func(t *testing.T) {
		server, _ := startServer(t, func(c net.Conn, _ *http.Request) bool {
			io.WriteString(c, validHead+"Via: HTTP/1.1 proxy, HTTP/1.0 20, 1.1 other\r\nContent-Length: 0\r\n\r\n")
			return false
		})
		_, err := newTestSender(t).Call(context.Background(), server, newBookingCall("r1"))
		assertNoError(t, err, "call")
	})
}
