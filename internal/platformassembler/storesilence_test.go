package platformassembler

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// Guards against a read that fails again and again: after one on a connection that delivers
// nothing any more, the next one took another such connection from the pool.
func TestFailedReadClosesPooledConnections(t *testing.T) {
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	h := &Host{storeTransport: transport}
	call := func() {
		t.Helper()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
	call()
	call()
	if got := connections.Load(); got != 1 {
		t.Fatalf("got %d connections for two calls, want 1", got)
	}
	h.readFailureHandler("t")(context.DeadlineExceeded)
	call()
	if got := connections.Load(); got != 2 {
		t.Errorf("got %d connections after a failed read, want a new one", got)
	}
}
