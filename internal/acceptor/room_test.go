package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startFullHost serves with a bound of two connections, and returns the address.
func startFullHost(t *testing.T) string {
	t.Helper()
	return startBoundedHost(t, WithMaxConnections(2))
}

// startBoundedHost serves with some bounds, and returns the address.
func startBoundedHost(t *testing.T, options ...Option) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) }), options...)
	served := make(chan error, 1)
	go func() { served <- a.Serve(listener) }()
	t.Cleanup(func() {
		a.Close()
		<-served
	})
	return listener.Addr().String()
}

func dialFullHost(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// assertServed sends a request and checks its response.
func assertServed(t *testing.T, c net.Conn, r *bufio.Reader) {
	t.Helper()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("got error %v, want a response", err)
	}
	io.Copy(io.Discard, response.Body)
	if got, want := response.StatusCode, http.StatusOK; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// Guards against clients that keep all connections of a host and send nothing on them.
func TestFullHostMakesRoom(t *testing.T) {
	t.Run("idle connections", func(t *testing.T) {
		address := startFullHost(t)
		oldest, oldestReader := dialFullHost(t, address)
		assertServed(t, oldest, oldestReader)
		newer, newerReader := dialFullHost(t, address)
		assertServed(t, newer, newerReader)
		next, nextReader := dialFullHost(t, address)
		assertServed(t, next, nextReader)
		if rest, _ := io.ReadAll(oldestReader); !strings.HasPrefix(string(rest), "HTTP/1.1 408") {
			t.Errorf("got %q on the connection idle for longest, want status 408", rest)
		}
		assertServed(t, newer, newerReader)
	})
	for name, test := range map[string]struct{ start, answer string }{
		"connections without a request":         {"", ""},
		"connections with a part of a header":   {"GET / HT", "HTTP/1.1 408"},
		"connections with headers without ends": {"GET / HTTP/1.1\r\n", "HTTP/1.1 408"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startFullHost(t)
			var ended []*bufio.Reader
			for range 2 {
				c, r := dialFullHost(t, address)
				io.WriteString(c, test.start)
				ended = append(ended, r)
			}
			c, r := dialFullHost(t, address)
			assertServed(t, c, r)
			another, anotherReader := dialFullHost(t, address)
			assertServed(t, another, anotherReader)
			if rest, _ := io.ReadAll(ended[0]); !strings.HasPrefix(string(rest), test.answer) || (len(rest) > 0) != (test.answer != "") {
				t.Errorf("got %q on a connection that ended, want %q", rest, test.answer)
			}
		})
	}
}

// Guards against headers that come slowly enough to keep their connections for good.
func TestFullHostGivesUpSlowHeaders(t *testing.T) {
	address := startFullHost(t)
	for range 2 {
		c, _ := dialFullHost(t, address)
		go func() {
			io.WriteString(c, "GET / HTTP/1.1\r\n")
			for {
				if _, err := io.WriteString(c, "A: b\r\n"); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	time.Sleep(10 * time.Millisecond)
	c, r := dialFullHost(t, address)
	assertServed(t, c, r)
}

func TestMaxConnections(t *testing.T) {
	for _, test := range []struct {
		descriptors int
		memoryBytes int64
		want        int
	}{
		{0, 0, 0},
		{4000, 284 << 20, 1750},
		{200, 0, 84},
		{10, 0, 1},
		{0, 128 << 20, 1024},
		{1 << 20, 128 << 20, 1024},
	} {
		if got := MaxConnections(test.descriptors, test.memoryBytes); got != test.want {
			t.Errorf("got %d connections for %d descriptors and %d bytes, want %d", got, test.descriptors, test.memoryBytes, test.want)
		}
	}
}

// Guards against clients that send requests, read no response, and keep all connections.
func TestFullHostEndsClientsThatDoNotRead(t *testing.T) {
	address := startFullHost(t)
	for range 2 {
		c, _ := dialFullHost(t, address)
		go func() {
			requests := strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1000)
			for {
				if _, err := io.WriteString(c, requests); err != nil {
					return
				}
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	c, r := dialFullHost(t, address)
	assertServed(t, c, r)
}

func TestQueuedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for want := range 4 {
		if got := queuedConnections(listener); got != want {
			t.Errorf("got %d connections in the queue, want %d", got, want)
		}
		dialFullHost(t, listener.Addr().String())
	}
}

func TestMaxInternalConnections(t *testing.T) {
	for descriptors, want := range map[int]int{0: 128, 160: 8, 4000: 125, 1 << 20: 128} {
		if got := MaxInternalConnections(descriptors); got != want {
			t.Errorf("got %d connections for %d descriptors, want %d", got, descriptors, want)
		}
	}
}
