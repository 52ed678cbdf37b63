package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// smallBufferBytes is the size of the kernel's buffers of the connections of these tests.
const smallBufferBytes = 16 << 10

// startSmallServer serves on connections whose kernel buffers are small.
func startSmallServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(handler)
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		c.(*net.TCPConn).SetWriteBuffer(smallBufferBytes)
		return ctx
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// sendUnread sends a request on a connection whose kernel buffer is small, and reads nothing.
func sendUnread(t *testing.T, address, path string, limit time.Duration) net.Conn {
	t.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.(*net.TCPConn).SetReadBuffer(smallBufferBytes)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nLimit: %s\r\nContent-Length: 1\r\n\r\nb", path, limit)
	return c
}

// serveLongStream returns a handler that sends a stream of some events, and then calls onEnd.
func serveLongStream(events int, onEnd func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r1")
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range events {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 1<<10)); err != nil {
				return
			}
			http.NewResponseController(w).Flush()
		}
		onEnd()
	}
}

// Guards against a client that reads slowly and thereby holds the place of a server.
func TestSlowReaderFreesTheServer(t *testing.T) {
	const events = 700
	ended := make(chan struct{})
	server := startSmallServer(t, serveLongStream(events, func() { close(ended) }))
	proxy := startSmallServer(t, newRelayerOf(t, io.Discard, server))
	c := sendUnread(t, proxy, "/stream/x", 9*time.Second)
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		t.Fatal("got a server that waits for a client, want it free")
	}
	c.(*net.TCPConn).SetReadBuffer(1 << 20)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("got error %v after %d bytes, want a complete stream", err, len(body))
	}
	if got := strings.Count(string(body), "id: "); got != events {
		t.Errorf("got %d events, want %d", got, events)
	}
}

// Guards against a client that reads nothing at all and holds a place of a server and memory of the
// host beyond the time limit of its request.
func TestClientThatNeverReadsIsGivenUp(t *testing.T) {
	for _, path := range []string{"/stream/x", "/look/x"} {
		t.Run(path, func(t *testing.T) {
			handler := serveLongStream(100_000, func() {})
			if path == "/look/x" {
				handler = func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Id", "r1")
					w.Header().Set("Signed", "1")
					io.WriteString(w, strings.Repeat("x", 8<<20))
				}
			}
			r := newRelayerOf(t, io.Discard, startSmallServer(t, handler))
			proxy := startSmallServer(t, r)
			sendUnread(t, proxy, path, time.Second)
			for r.InFlightRequests() == 0 {
				time.Sleep(time.Millisecond)
			}
			most := 0
			for end := time.Now().Add(10 * time.Second); r.InFlightRequests() > 0; time.Sleep(time.Millisecond) {
				if most = max(most, r.buffers.UsedBytes()); time.Now().After(end) {
					t.Fatal("got a request in flight, want its end")
				}
			}
			if got, want := most, maxBufferedBytes+maxBacklogBlocks*backlogBlockBytes; got > want {
				t.Errorf("got %d bytes held for the client, want at most %d", got, want)
			}
			if got := r.buffers.UsedBytes(); got != 0 {
				t.Errorf("got %d bytes held after the end, want none", got)
			}
		})
	}
}

// Guards against a caller that goes on to ask though it does not read, and takes places of servers.
func TestCallerThatDoesNotReadIsRefused(t *testing.T) {
	var requests atomic.Int32
	r := newRelayerWithServers(t, io.Discard, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set("Id", "r1")
		w.Header().Set("Signed", "1")
	})
	proxy := httptest.NewServer(r)
	t.Cleanup(proxy.Close)
	var releases []func()
	for range 20 {
		memory, release := r.buffers.Open("some service")
		if err := memory.Grow(t.Context(), 1<<20); err != nil {
			t.Fatal(err)
		}
		memory.Transfer("caller c")
		releases = append(releases, release)
	}
	response, _, err := sendAndRead(t, proxy.URL+"/once/x", "b")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Own-Retry") == "0s" {
		t.Errorf("got %v and error %v, want status 503 with a time", response, err)
	}
	if got := requests.Load(); got != 0 {
		t.Errorf("got %d requests at the server, want none", got)
	}
	for _, release := range releases {
		release()
	}
	if response, _, err = sendAndRead(t, proxy.URL+"/once/x", "b"); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("got %v and error %v after the responses were read, want status 200", response, err)
	}
}
