package relayer

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
)

// oddStatuses are statuses that end no request: all that are not three digits from 200 to 599.
var oddStatuses = []string{"000", "020", "099", "101", "199", "600", "999", "20", "2000", "2x0", "+20", "-12", "-00", " ", ""}

// serveStatus returns a handler whose responses have a status, and would be valid otherwise.
func serveStatus(status string, requests *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nId: r1\r\nSigned: 1\r\nNot-Run: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 3\r\nConnection: close\r\n\r\nodd", status)
	}
}

// Guards against a response whose status is none and that the client gets as the answer, or that
// counts as a refusal or as a statement of the server.
func TestOddStatus(t *testing.T) {
	for _, status := range oddStatuses {
		for _, path := range []string{"/once-of-two/x", "/look/x", "/stream/x", "/one-stream/x"} {
			t.Run(fmt.Sprintf("%q%s", status, path), func(t *testing.T) {
				var requests atomic.Int32
				odd := serveStatus(status, &requests)
				response, body, err := sendAndRead(t, newTestRelayer(t, odd, odd)+path, "b")
				if err != nil {
					t.Fatalf("got error %v, want a response", err)
				}
				if got, want := response.StatusCode, http.StatusBadGateway; got != want {
					t.Errorf("got status %d and body %q, want %d", got, body, want)
				}
				if path == "/once-of-two/x" || path == "/one-stream/x" {
					if got := requests.Load(); got != 1 {
						t.Errorf("got %d requests at the servers, want one", got)
					}
				}
			})
		}
	}
}

// Guards against an odd status that ends a request which another server can answer.
func TestOddStatusIsRetried(t *testing.T) {
	for _, status := range oddStatuses {
		t.Run(fmt.Sprintf("%q", status), func(t *testing.T) {
			var requests atomic.Int32
			odd := serveStatus(status, &requests)
			handler := func(w http.ResponseWriter, r *http.Request) {
				if requests.Load() == 0 {
					odd(w, r)
					return
				}
				w.Header().Set("Id", "r1")
				w.Header().Set("Signed", "1")
				io.WriteString(w, "sound")
			}
			response, body, err := sendAndRead(t, newTestRelayer(t, handler, handler)+"/look/x", "b")
			if err != nil || response.StatusCode != http.StatusOK || body != "sound" {
				t.Errorf("got %v with body %q and error %v, want the answer of the other server", response, body, err)
			}
		})
	}
}
