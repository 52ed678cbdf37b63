package requester

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a server whose response header never ends: what is read of it is bounded.
func TestEndlessHeaderIsBounded(t *testing.T) {
	sentBytes := make(chan int, 1)
	client, closeConnections := New(1<<20, WithDialContext(func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go func() {
			sent := 0
			defer func() { sentBytes <- sent }()
			if _, err := http.ReadRequest(bufio.NewReader(serverConn)); err != nil {
				return
			}
			line := "HTTP/1.1 200 OK\r\n"
			for sent < 1<<20 {
				n, err := serverConn.Write([]byte(line))
				sent += n
				if err != nil {
					break
				}
				line = "X-Field: " + strings.Repeat("x", 1000) + "\r\n"
			}
			serverConn.Close()
		}()
		return clientConn, nil
	}))
	defer closeConnections()
	if _, err := client.Send(t.Context(), Request{Method: http.MethodGet, URL: "http://server/", Timeout: silenceTimeout}); err == nil {
		t.Error("got no error, want one of a header that is too large")
	}
	if got, limit := <-sentBytes, 2*maxHeaderBytes; got > limit {
		t.Errorf("got %d bytes of the header read, want at most %d", got, limit)
	}
}
