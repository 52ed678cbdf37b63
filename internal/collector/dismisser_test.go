package collector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against refusals that wait for a body that does not come.
func TestDismiss(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Dismiss(w, r)
		w.WriteHeader(http.StatusTeapot)
	}))
	t.Cleanup(server.Close)
	for _, test := range []struct {
		name, request string
		wantsOpen     bool
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		{"a whole body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", true},
		{"a whole body in chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		{"a part of a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo", false},
		{"a part of a body in chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", false},
		{"a large body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50000), false},
		{"a large body in chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("8\r\nxxxxxxxx\r\n", 5000), false},
		{"a body that waits for the host", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer connection.Close()
			connection.SetDeadline(time.Now().Add(20 * time.Second))
			reader := bufio.NewReader(connection)
			fmt.Fprint(connection, test.request)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("got error %v, want a response", err)
			}
			io.Copy(io.Discard, response.Body)
			if got := !response.Close; response.StatusCode != http.StatusTeapot || got != test.wantsOpen {
				t.Errorf("got status %d and an open connection %t, want %d and %t", response.StatusCode, got, http.StatusTeapot, test.wantsOpen)
			}
			if !test.wantsOpen {
				if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
					t.Errorf("got %q and error %v, want the end of the connection", rest, err)
				}
				return
			}
			fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Errorf("got error %v, want the next response", err)
			}
		})
	}
}
