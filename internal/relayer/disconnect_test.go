package relayer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against an empty success that a client gets although no server has answered: it has
// closed its sending side after the request and still reads.
func TestHalfClosedConnectionGetsNoSuccess(t *testing.T) {
	for _, path := range []string{"/once/x", "/look/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			proxyURL := newTestRelayer(t, func(_ http.ResponseWriter, r *http.Request) {
				// The HTTP server detects a closed connection only after the body is read.
				io.Copy(io.Discard, r.Body)
				arrived <- struct{}{}
				<-r.Context().Done()
			})
			var dialer net.Dialer
			c, err := dialer.DialContext(t.Context(), "tcp", strings.TrimPrefix(proxyURL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: 127.0.0.1\r\nKey: k\r\nId: 1\r\n\r\n")
			<-arrived
			c.(*net.TCPConn).CloseWrite()
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("got error %v, want a response", err)
			}
			defer response.Body.Close()
			if got, want := response.StatusCode, http.StatusBadGateway; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
		})
	}
}
