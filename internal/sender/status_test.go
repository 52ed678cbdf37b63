package sender_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Guards against a response whose status is none and that counts as an answer or as a refusal: the
// outcome is unknown, and the call is sent once.
func TestOddStatus(t *testing.T) {
	for _, status := range []string{"000", "020", "099", "101", "199", "600", "999", "20", "2000", "2x0", "+20", "-12", "-00", " ", ""} {
		for _, streaming := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, streaming %v", status, streaming), func(t *testing.T) {
				server, requests := startServer(t, func(c net.Conn, _ *http.Request) bool {
					fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nX-Request-Id: r1\r\nX-Request-Outcome: not-run\r\nContent-Type: text/event-stream\r\nContent-Length: 3\r\n\r\nodd", status)
					return false
				})
				call := newBookingCall("r1")
				if streaming {
					call = newBookingCall("r1", fuchsiapitch.WithStream(0))
				}
				response, err := newTestSender(t).Call(context.Background(), server, call)
				if err == nil {
					response.Body().Close()
					t.Fatalf("got a response with status %d, want none", response.Status())
				}
				assertOutcome(t, err, fuchsiapitch.OutcomeUnknown)
				assertRequestCount(t, requests, 1)
			})
		}
	}
}

// Guards against a server that changes the protocol, and then sends without end.
func TestEndlessBytesAfterChangeOfProtocol(t *testing.T) {
	server, closed := startEndlessServer(t, endlessResponse{"HTTP/1.1 101 Switching Protocols\r\nX-Request-Id: r1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", "x"})
	_, err := newTestSender(t).Call(context.Background(), server, newBookingCall("r1"))
	assertOutcome(t, err, fuchsiapitch.OutcomeUnknown)
	<-closed
}
