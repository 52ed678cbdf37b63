package collector

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
)

// collectResult is what Collect returned for one request.
type collectResult struct {
	path   string
	length int
	err    error
}

// testHost serves requests with a collector. It holds the bodies of the path /hold until the test
// ends.
type testHost struct {
	*Collector
	address string
	results chan collectResult
}

func startTestHost(t *testing.T, limitBytes int64, options ...Option) *testHost {
	t.Helper()
	h := &testHost{Collector: New(options...), results: make(chan collectResult, 100)}
	held := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := h.Collect(w, r, Terms{Caller: r.Header.Get("Caller"), LimitBytes: limitBytes, Deadline: time.Now().Add(20 * time.Second)})
		if err != nil {
			w.WriteHeader(http.StatusTeapot)
			h.results <- collectResult{path: r.URL.Path, err: err}
			return
		}
		defer body.Release()
		h.results <- collectResult{path: r.URL.Path, length: body.Length()}
		if r.URL.Path == "/hold" {
			<-held
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(held) })
	h.address = server.Listener.Addr().String()
	return h
}

// open sends a part of a request and leaves the connection open.
func (h *testHost) open(t *testing.T, path, caller string, announced, sent int) net.Conn {
	t.Helper()
	var dialer net.Dialer
	connection, err := dialer.DialContext(t.Context(), "tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: a\r\nCaller: %s\r\nContent-Length: %d\r\n\r\n%s", path, caller, announced, strings.Repeat("x", sent))
	return connection
}

func (h *testHost) awaitUse(t *testing.T, bytes int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); h.UsedBytes() < bytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d bytes taken, want %d", h.UsedBytes(), bytes)
		}
	}
}

const largeBytes = 300 << 10

// Guards against memory that is taken for what a client only announces.
func TestAnnouncedBytesTakeNoMemory(t *testing.T) {
	h := startTestHost(t, 1<<30, WithPool(1<<20))
	for range 10 {
		h.open(t, "/", "a", 1<<29, 1<<10)
	}
	h.open(t, "/", "a", 10, 10)
	if got := <-h.results; got.err != nil || got.length != 10 {
		t.Errorf("got %d bytes and error %v, want a body of 10 bytes", got.length, got.err)
	}
	if got := h.UsedBytes(); got != 0 {
		t.Errorf("got %d bytes taken from the pool, want none", got)
	}
}

// Guards against bodies that make no progress and keep the memory from others.
func TestStalledBodiesAreGivenUpWhileOthersWait(t *testing.T) {
	h := startTestHost(t, 1<<20, WithPool(200<<10), WithStallTimeout(20*time.Millisecond), WithWaitTimeout(10*time.Second))
	stalled := h.open(t, "/stalled", "a", largeBytes, largeBytes-1)
	h.open(t, "/stalled", "a", largeBytes, largeBytes-1)
	h.open(t, "/stalled", "a", largeBytes, largeBytes-1)
	h.awaitUse(t, 64<<10)
	h.open(t, "/whole", "a", largeBytes, largeBytes)
	for {
		got := <-h.results
		if got.path == "/whole" {
			if got.err != nil || got.length != largeBytes {
				t.Errorf("got %d bytes and error %v, want a whole body", got.length, got.err)
			}
			return
		}
		var slow *TooSlowError
		if !errors.As(got.err, &slow) || !slow.WhileOthersWaited {
			t.Errorf("got error %v, want a TooSlowError", got.err)
		}
		if data, err := io.ReadAll(stalled); err != nil && got.path == "/stalled" {
			t.Errorf("got %q and error %v, want a response", data, err)
		}
	}
}

// Guards against a caller whose bodies take the memory of all others.
func TestCallersShareTheMemory(t *testing.T) {
	const pool = 1 << 20
	h := startTestHost(t, 8<<20, WithPool(pool), WithWaitTimeout(50*time.Millisecond))
	refused := 0
	for range 8 {
		h.open(t, "/hold", "a", largeBytes, largeBytes)
		if got := <-h.results; got.err != nil {
			refused++
			var noRoom *NoRoomError
			if !errors.As(got.err, &noRoom) || noRoom.RetryAfter <= 0 {
				t.Errorf("got error %v, want a NoRoomError with a time", got.err)
			}
		}
	}
	if refused == 0 {
		t.Errorf("got all bodies of one caller in %d bytes, want some refused", h.UsedBytes())
	}
	h.open(t, "/", "b", largeBytes, largeBytes)
	if got := <-h.results; got.err != nil {
		t.Errorf("got error %v for another caller, want its body", got.err)
	}
	if got, want := h.UsedBytes(), pool+2*largeBytes; got > want {
		t.Errorf("got %d bytes taken, want at most %d", got, want)
	}
}

// Guards against ordinary requests that wait for the memory of large ones.
func TestSmallBodiesNeedNoPool(t *testing.T) {
	h := startTestHost(t, 8<<20, WithPool(1), WithWaitTimeout(50*time.Millisecond))
	for range 20 {
		h.open(t, "/hold", "a", allocator.FreeBytes/2, allocator.FreeBytes/2)
		if got := <-h.results; got.err != nil {
			t.Errorf("got error %v, want a body", got.err)
		}
	}
}

// Guards against bodies that are read far beyond their limit.
func TestBodiesBeyondTheirLimit(t *testing.T) {
	h := startTestHost(t, 1000)
	t.Run("announced", func(t *testing.T) {
		h.open(t, "/", "a", 1001, 0)
		var tooLarge *TooLargeError
		if got := <-h.results; !errors.As(got.err, &tooLarge) {
			t.Errorf("got error %v, want a TooLargeError", got.err)
		}
	})
	t.Run("just sent", func(t *testing.T) {
		var dialer net.Dialer
		connection, err := dialer.DialContext(t.Context(), "tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%s", strings.Repeat("1\r\nx\r\n", 10<<10))
		var tooLarge *TooLargeError
		if got := <-h.results; !errors.As(got.err, &tooLarge) {
			t.Errorf("got error %v, want a TooLargeError", got.err)
		}
		if data, err := io.ReadAll(connection); err != nil || !strings.Contains(string(data), "418") || !strings.Contains(string(data), "Connection: close") {
			t.Errorf("got %q and error %v, want a complete response that ends the connection", data, err)
		}
	})
	t.Run("at the limit", func(t *testing.T) {
		h.open(t, "/", "a", 1000, 1000)
		if got := <-h.results; got.err != nil || got.length != 1000 {
			t.Errorf("got %d bytes and error %v, want a body of 1000 bytes", got.length, got.err)
		}
	})
}

// Guards against connections that cannot be used since bodies on them wait or stall.
func TestMakeRoom(t *testing.T) {
	h := startTestHost(t, 1<<20, WithStallTimeout(time.Millisecond))
	h.open(t, "/", "a", 100, 10)
	for h.MakeRoom(1) == 0 {
		time.Sleep(time.Millisecond)
	}
	var slow *TooSlowError
	if got := <-h.results; !errors.As(got.err, &slow) {
		t.Errorf("got error %v, want a TooSlowError", got.err)
	}
}

// Guards against a body that another attempt does not get from its beginning.
func TestBodyIsReadAgain(t *testing.T) {
	body := &Body{blocks: [][]byte{[]byte("ab"), []byte("c"), []byte("def")}, release: func() {}}
	for range 2 {
		reader, got, piece := body.NewReader(), "", make([]byte, 2)
		for {
			n, err := reader.Read(piece)
			got += string(piece[:n])
			if err != nil {
				break
			}
		}
		if want := "abcdef"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// awaitReadings waits until a number of bodies are being read, of which some bytes have arrived.
func (h *testHost) awaitReadings(t *testing.T, bodies, bytes int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		h.mutex.Lock()
		n, read := len(h.readings), 0
		for x := range h.readings {
			read += x.readBytes
		}
		h.mutex.Unlock()
		if n == bodies && read == bytes {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d bodies and %d bytes, want %d and %d", n, read, bodies, bytes)
		}
	}
}

// assertGivenUp checks that the next body that ends was given up, by its path.
func (h *testHost) assertGivenUp(t *testing.T, want string) {
	t.Helper()
	var slow *TooSlowError
	if got := <-h.results; got.path != want || !errors.As(got.err, &slow) || !slow.WhileOthersWaited {
		t.Errorf("got the end of %s with error %v, want that of %s, which came too slowly", got.path, got.err, want)
	}
}

// Guards against places that are held by bodies that come at any pace.
func TestSlowestBodiesMakeRoom(t *testing.T) {
	h := startTestHost(t, 1<<20, WithStallTimeout(time.Millisecond))
	h.open(t, "/fast", "a", 10<<10, 5<<10)
	h.open(t, "/slow", "a", 10<<10, 1<<10)
	h.awaitReadings(t, 2, 6<<10)
	time.Sleep(2 * time.Millisecond)
	if got := h.MakeRoom(1); got != 1 {
		t.Errorf("got %d bodies given up, want 1", got)
	}
	h.assertGivenUp(t, "/slow")
	h.awaitReadings(t, 1, 5<<10)
	if got := h.MakeRoom(5); got != 1 {
		t.Errorf("got %d bodies given up, want the one that is left", got)
	}
	h.assertGivenUp(t, "/fast")
}

// Guards against bodies that are given up before they had time to come.
func TestNewBodiesMakeNoRoom(t *testing.T) {
	h := startTestHost(t, 1<<20, WithStallTimeout(time.Minute))
	h.open(t, "/", "a", 100, 10)
	h.awaitReadings(t, 1, 10)
	if got := h.MakeRoom(1); got != 0 {
		t.Errorf("got %d bodies given up, want none", got)
	}
}

// Guards against memory that is held by bodies that make progress but do not end.
func TestSlowestBodyFreesMemory(t *testing.T) {
	h := startTestHost(t, 1<<20, WithPool(1), WithStallTimeout(200*time.Millisecond), WithWaitTimeout(10*time.Second))
	for _, path := range []string{"/slow", "/slower"} {
		// Each takes one of the two places beyond the pool.
		connection := h.open(t, path, path, largeBytes, largeBytes/2)
		go func() {
			for _, err := io.WriteString(connection, strings.Repeat("x", minProgressBytes)); err == nil; {
				time.Sleep(100 * time.Millisecond)
				_, err = io.WriteString(connection, strings.Repeat("x", minProgressBytes))
			}
		}()
	}
	for {
		h.mutex.Lock()
		n, growing := len(h.readings), 0
		for x := range h.readings {
			if x.readBytes >= largeBytes/2 {
				growing++
			}
		}
		h.mutex.Unlock()
		if n == 2 && growing == 2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	h.open(t, "/whole", "b", largeBytes, largeBytes)
	for {
		if got := <-h.results; got.path == "/whole" {
			if got.err != nil || got.length != largeBytes {
				t.Errorf("got %d bytes and error %v, want a whole body", got.length, got.err)
			}
			return
		}
	}
}

// Guards against requests of a few connections that hold the memory of all others.
func TestMaxBodies(t *testing.T) {
	t.Run("new ones", func(t *testing.T) {
		h := startTestHost(t, 1<<20, WithMaxBodies(1), WithStallTimeout(time.Minute))
		h.open(t, "/held", "a", 100, 10)
		h.awaitReadings(t, 1, 10)
		h.open(t, "/refused", "a", 10, 10)
		var noRoom *NoRoomError
		if got := <-h.results; got.path != "/refused" || !errors.As(got.err, &noRoom) {
			t.Errorf("got the end of %s with error %v, want a refusal of the other", got.path, got.err)
		}
	})
	t.Run("old ones", func(t *testing.T) {
		h := startTestHost(t, 1<<20, WithMaxBodies(1), WithStallTimeout(time.Millisecond))
		h.open(t, "/held", "a", 100, 10)
		h.awaitReadings(t, 1, 10)
		time.Sleep(2 * time.Millisecond)
		h.open(t, "/next", "a", 10, 10)
		paths := map[string]bool{}
		for range 2 {
			got := <-h.results
			paths[got.path] = got.err == nil
		}
		if !paths["/next"] || paths["/held"] {
			t.Errorf("got success by path %v, want that of the next body alone", paths)
		}
	})
}
