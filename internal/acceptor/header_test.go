package acceptor

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against large headers that take the memory of the host, and against refusals without a
// response.
func TestHeadersBeyondTheirBounds(t *testing.T) {
	for _, test := range []struct {
		name       string
		options    []Option
		size, want int
	}{
		{"over the limit", []Option{WithHeaderLimit(func() int64 { return 1 << 10 })}, 16 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{"beyond the pool", []Option{WithHeaderPool(1)}, freeHeaderBytes, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startBoundedHost(t, test.options...)
			c, r := dialFullHost(t, address)
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nFilling: "+strings.Repeat("x", test.size))
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("got error %v, want a response", err)
			}
			if got := response.StatusCode; got != test.want || !response.Close {
				t.Errorf("got status %d and an open connection %t, want %d and its end", got, !response.Close, test.want)
			}
			if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
				t.Errorf("got %q and error %v, want the end of the connection", rest, err)
			}
			c, r = dialFullHost(t, address)
			assertServed(t, c, r)
		})
	}
}

// Guards against memory of headers that is not given back.
func TestHeaderMemoryIsFreed(t *testing.T) {
	address := startBoundedHost(t, WithHeaderPool(8<<10))
	c, r := dialFullHost(t, address)
	for range 3 {
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nFilling: "+strings.Repeat("x", freeHeaderBytes)+"\r\n\r\n")
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("got error %v, want a response", err)
		}
		io.Copy(io.Discard, response.Body)
		if got, want := response.StatusCode, http.StatusOK; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	}
}
