package orderer

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// startEndlessEngine starts a server that sends bytes and then repeats a block until the
// connection is closed, and a client. The channel gets a value for each closed connection.
func startEndlessEngine(t *testing.T, start, block string) (*Orderer, fuchsiapitch.BackendServer, <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{}, 1)
	blocks := []byte(strings.Repeat(block, 1+(32<<10)/len(block)))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { closed <- struct{}{} }()
		defer c.Close()
		_, err = io.WriteString(c, start)
		for err == nil {
			_, err = c.Write(blocks)
		}
	}))
	t.Cleanup(server.Close)
	o, closeConnections := New(WithCallTimeout(time.Minute))
	t.Cleanup(closeConnections)
	return o, fuchsiapitch.NewBackendServer("e1", fuchsiapitch.EngineServer, strings.TrimPrefix(server.URL, "http://"), "dc-a"), closed
}

// A response that does not end is no response, and the connection is closed.
func TestEndlessResponse(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		start, block string
		tooLarge     bool
	}{
		"status line":      {"HTTP/1.1 200 ", "x", false},
		"header line":      {head + "A: ", "x", false},
		"chunk size":       {chunked, "0", false},
		"trailers":         {chunked + "0\r\n", "A: b\r\n", false},
		"with a length":    {head + "Content-Length: 9000000000000\r\n\r\n{}", " ", true},
		"without a length": {head + "\r\n{}", " ", true},
		"in chunks":        {chunked, "4\r\n    \r\n", true},
		"a refused order":  {"HTTP/1.1 409 Conflict\r\n\r\n{}", " ", true},
		"a failure":        {"HTTP/1.1 500 Failed\r\n\r\n", " ", true},
	} {
		t.Run(name, func(t *testing.T) {
			o, server, closed := startEndlessEngine(t, c.start, c.block)
			_, statusErr := o.EngineStatus(t.Context(), server)
			<-closed
			_, orderErr := o.Order(t.Context(), server, newOrder(3))
			<-closed
			_, eventsErr := o.CacheEvents(t.Context(), server, 0)
			<-closed
			for action, err := range map[string]error{"account": statusErr, "order": orderErr, "cache events": eventsErr} {
				assertUnreachable(t, err, action)
				var tooLarge *fuchsiapitch.ResponseTooLargeError
				if got := errors.As(err, &tooLarge); got != c.tooLarge {
					t.Errorf("%s: got error %v, want a ResponseTooLargeError: %v", action, err, c.tooLarge)
				}
			}
		})
	}
}
