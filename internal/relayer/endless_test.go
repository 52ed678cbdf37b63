package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
)

const (
	// signedHead starts a response to request r1 that would be valid.
	signedHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\n"
	// chunkedHead is the complete header of a chunked response to request r1.
	chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// chunk is a chunk of 4 KiB.
var chunk = "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"

// endlessResponse is a response that starts with bytes and then repeats a block until
// the connection is closed.
type endlessResponse struct{ start, block string }

// endlessHeads are responses whose header never ends, or whose body is never valid.
var endlessHeads = map[string]endlessResponse{
	"bytes":           {"", "x"},
	"status line":     {"HTTP/1.1 200 ", "x"},
	"header line":     {signedHead + "Long: ", "x"},
	"header lines":    {signedHead, "A: b\r\n"},
	"early responses": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	"chunk size":      {chunkedHead, "0"},
	"chunk extension": {chunkedHead + "1;", "x"},
	"extensions":      {chunkedHead, "1;" + strings.Repeat("x", 1000) + "\r\ny\r\n"},
	"trailer line":    {chunkedHead + "0\r\nA: ", "x"},
	"trailers":        {chunkedHead + "0\r\n", "A: b\r\n"},
}

// endlessBodies are responses whose body never ends.
var endlessBodies = map[string]endlessResponse{
	"body with a length":    {signedHead + "Content-Length: 9000000000000\r\n\r\n", "x"},
	"body in chunks":        {chunkedHead, chunk},
	"body without a length": {signedHead + "\r\n", "x"},
}

// endlessServer sends endless responses and counts its connections.
type endlessServer struct {
	endlessResponse
	// pause is the time between two blocks, 0 for as fast as possible.
	pause    time.Duration
	requests atomic.Int32
	closed   sync.WaitGroup
}

// ServeHTTP sends the response until the connection is closed.
func (s *endlessServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.requests.Add(1)
	s.closed.Add(1)
	defer s.closed.Done()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	block := []byte(s.block)
	if s.pause == 0 {
		block = bytes.Repeat(block, 1+(32<<10)/len(block))
	}
	if _, err = io.WriteString(c, s.start); err != nil {
		return
	}
	for err == nil {
		_, err = c.Write(block)
		time.Sleep(s.pause)
	}
}

// lockedBuffer is a buffer for the log of a relayer.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

// text returns what was written so far.
func (b *lockedBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

func assertLogged(t *testing.T, logs *lockedBuffer, want string) {
	t.Helper()
	if got := logs.text(); !strings.Contains(got, want) {
		t.Errorf("got log %q, want a line with %q", got, want)
	}
}

// A request that may run at most once gets 502 when the response does not end, and the
// connection to the server is closed.
func TestEndlessResponse(t *testing.T) {
	test := func(name string, e endlessResponse) {
		t.Run(name, func(t *testing.T) {
			s := &endlessServer{endlessResponse: e}
			response, _, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP)+"/once/x", "b")
			if err != nil {
				t.Fatal(err)
			}
			assertStatus(t, response, http.StatusBadGateway)
			s.closed.Wait()
			if got := s.requests.Load(); got != 1 {
				t.Errorf("got %d requests at the server, want 1", got)
			}
		})
	}
	for name, e := range endlessHeads {
		test(name, e)
	}
	for name, e := range endlessBodies {
		test(name, e)
	}
}

// An idempotent request whose response does not end gets the response of another server.
func TestEndlessResponseIsReplaced(t *testing.T) {
	test := func(name string, e endlessResponse) {
		t.Run(name, func(t *testing.T) {
			s := &endlessServer{endlessResponse: e}
			endlessOnce := func(w http.ResponseWriter, r *http.Request) {
				if s.requests.Load() == 0 {
					s.ServeHTTP(w, r)
					return
				}
				succeed(w, r)
			}
			response, body, err := sendAndRead(t, newTestRelayer(t, endlessOnce, endlessOnce)+"/look/x", "b")
			if err != nil {
				t.Fatal(err)
			}
			assertStatus(t, response, http.StatusOK)
			if got, want := body, "whole b"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			s.closed.Wait()
		})
	}
	for name, e := range endlessHeads {
		test(name, e)
	}
	for name, e := range endlessBodies {
		test(name, e)
	}
}

// endlessEvents are streams whose first event never ends.
var endlessEvents = map[string]endlessResponse{
	"event without a line end":    {signedHead + "Content-Type: text/event-stream\r\n\r\n", "x"},
	"event without an empty line": {signedHead + "Content-Type: text/event-stream\r\n\r\n", "data: x\n"},
	"event in chunks":             {signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
	"event with a length":         {signedHead + "Content-Type: text/event-stream\r\nContent-Length: 9000000000000\r\n\r\n", "x"},
}

// eventStream responds with a stream of one event.
func eventStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	io.WriteString(w, "id: 1\ndata: a\n\n")
}

// A request for a stream gets 502 if the response of every server does not end, and the
// stream of another server if there is one. No part of an endless response is delivered.
func TestEndlessResponseToStreamRequest(t *testing.T) {
	test := func(name string, e endlessResponse) {
		t.Run(name, func(t *testing.T) {
			first, second := &endlessServer{endlessResponse: e}, &endlessServer{endlessResponse: e}
			response, body, err := sendAndRead(t, newTestRelayer(t, first.ServeHTTP, second.ServeHTTP)+"/stream/x", "p")
			if err != nil {
				t.Fatal(err)
			}
			if got, want := response.StatusCode, http.StatusBadGateway; got != want {
				t.Errorf("got status %d and %d bytes, want status %d", got, len(body), want)
			}
			first.closed.Wait()
			second.closed.Wait()
		})
		t.Run(name+", not resumable", func(t *testing.T) {
			s := &endlessServer{endlessResponse: e}
			response, body, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+"/one-stream/x", "p")
			if err != nil {
				t.Fatal(err)
			}
			if got, want := response.StatusCode, http.StatusBadGateway; got != want {
				t.Errorf("got status %d and %d bytes, want status %d", got, len(body), want)
			}
			s.closed.Wait()
			if got := s.requests.Load(); got != 1 {
				t.Errorf("got %d requests at the servers, want 1", got)
			}
		})
		t.Run(name+", resumed", func(t *testing.T) {
			s := &endlessServer{endlessResponse: e}
			endlessOnce := func(w http.ResponseWriter, r *http.Request) {
				if s.requests.Load() == 0 {
					s.ServeHTTP(w, r)
					return
				}
				eventStream(w, r)
			}
			response, body, err := sendAndRead(t, newTestRelayer(t, endlessOnce, endlessOnce)+"/stream/x", "p")
			if err != nil {
				t.Fatal(err)
			}
			if got, want := body, "id: 1\ndata: a\n\n"; got != want || response.StatusCode != http.StatusOK {
				t.Errorf("got status %d and %d bytes, want status 200 and %q", response.StatusCode, len(got), want)
			}
			s.closed.Wait()
		})
	}
	for _, cases := range []map[string]endlessResponse{endlessHeads, endlessBodies, endlessEvents} {
		for name, e := range cases {
			test(name, e)
		}
	}
}

// A stream in which an event does not end is resumed after the last complete event. If
// it does not end at any server, the connection to the client is aborted.
func TestEndlessEventInStream(t *testing.T) {
	for name, e := range endlessEvents {
		if strings.Contains(e.start, "chunked") {
			e.start += "f\r\nid: 1\ndata: a\n\n\r\n"
		} else {
			e.start += "id: 1\ndata: a\n\n"
		}
		t.Run(name, func(t *testing.T) {
			first, second := &endlessServer{endlessResponse: e}, &endlessServer{endlessResponse: e}
			_, body, err := sendAndRead(t, newTestRelayer(t, first.ServeHTTP, second.ServeHTTP)+"/stream/x", "p")
			if err == nil {
				t.Errorf("got a complete response of %d bytes, want an aborted one", len(body))
			}
			first.closed.Wait()
			second.closed.Wait()
		})
		t.Run(name+", resumed", func(t *testing.T) {
			s := &endlessServer{endlessResponse: e}
			endlessOnce := func(w http.ResponseWriter, r *http.Request) {
				if s.requests.Load() == 0 {
					s.ServeHTTP(w, r)
					return
				}
				if got, want := r.Header.Get("Last"), "1"; got != want {
					t.Errorf("got stream resumed after event %q, want %q", got, want)
				}
				w.Header().Set("Id", "r1")
				w.Header().Set("Signed", "1")
				w.Header().Set("Content-Type", "text/event-stream")
				io.WriteString(w, "id: 2\ndata: b\n\n")
			}
			_, body, err := sendAndRead(t, newTestRelayer(t, endlessOnce, endlessOnce)+"/stream/x", "p")
			if got, want := body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; got != want || err != nil {
				t.Errorf("got %d bytes and %v, want %q", len(got), err, want)
			}
			s.closed.Wait()
		})
	}
}

// A response whose bytes arrive slowly and without an end is given up at the deadline of
// the request, and the connection to the server is closed.
func TestEndlessSlowResponse(t *testing.T) {
	for name, c := range map[string]struct {
		endlessResponse
		path string
	}{
		"header line":     {endlessHeads["header line"], "/once/x"},
		"early responses": {endlessHeads["early responses"], "/once/x"},
		"chunk size":      {endlessHeads["chunk size"], "/look/x"},
		"body":            {endlessBodies["body in chunks"], "/look/x"},
		"event":           {endlessEvents["event without an empty line"], "/stream/x"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &endlessServer{endlessResponse: c.endlessResponse, pause: time.Millisecond}
			response, _, err := sendWithLimit(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+c.path, "b", 300*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			// On a slow machine the limit may pass before the request is sent.
			if s.requests.Load() > 0 {
				assertStatus(t, response, http.StatusGatewayTimeout)
			}
			s.closed.Wait()
		})
	}
}

// A response that is cut off is logged with its server and the size limit, also if
// another server responds then.
func TestCutResponseIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		endlessResponse
		path, want string
	}{
		"header":                   {endlessHeads["header lines"], "/look/x", "response header exceeds 65536 bytes"},
		"body":                     {endlessBodies["body in chunks"], "/look/x", "response body exceeds 16777216 bytes"},
		"event":                    {endlessEvents["event without an empty line"], "/stream/x", "response event exceeds 1048576 bytes"},
		"body to a stream request": {endlessBodies["body in chunks"], "/stream/x", "response body exceeds 16777216 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			logs := new(lockedBuffer)
			s := &endlessServer{endlessResponse: c.endlessResponse}
			endlessOnce := func(w http.ResponseWriter, r *http.Request) {
				if s.requests.Load() == 0 {
					s.ServeHTTP(w, r)
					return
				}
				eventStream(w, r)
			}
			response, _, err := sendAndRead(t, newLoggedTestRelayer(t, logs, endlessOnce, endlessOnce)+c.path, "b")
			if err != nil {
				t.Fatal(err)
			}
			assertStatus(t, response, http.StatusOK)
			assertLogged(t, logs, "answer cut off: "+c.want)
			assertLogged(t, logs, `"server":"`)
		})
	}
}

// The delimiter of an event is found wherever the reads split it.
func TestCompleteEventBytes(t *testing.T) {
	for text, want := range map[string]int{
		"": 0, "a": 0, "a\n": 0, "\n\n": 2, "a\n\n": 3, "a\n\nb\n": 3, "a\n\nb\n\n": 6, "a\n\n\n": 4,
	} {
		for newBytes := range len(text) + 1 {
			if strings.Contains(text[:len(text)-newBytes], "\n\n") {
				continue
			}
			if got := completeEventBytes([]byte(text), newBytes); got != want {
				t.Errorf("got %d bytes of %q with %d new ones, want %d", got, text, newBytes, want)
			}
		}
	}
}

// BenchmarkEndlessEvent measures one read of 8 bytes of an event that has grown to 512 KiB.
func BenchmarkEndlessEvent(b *testing.B) {
	data := bytes.Repeat([]byte("data: x\n"), 64<<10)
	for b.Loop() {
		completeEventBytes(data, 8)
	}
}

// countingBody is a response body that never ends. It counts the bytes that are read.
type countingBody struct{ read *atomic.Int64 }

// Read implements io.Reader.
func (b countingBody) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// Close implements io.Closer.
func (b countingBody) Close() error { return nil }

// readWhole reads a body of a size as a request of a service.
func readWhole(ctx context.Context, r *Relayer, service fuchsiapitch.ServiceName, size int) error {
	response := &http.Response{ContentLength: -1, Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}
	blocks, release, err := (&exchange{relayer: r, ctx: ctx, service: service}).readResponseBody(response)
	defer release()
	if got := (&bufferedResponse{body: blocks}).length(); err == nil && got != size {
		return &ResponseError{Reason: "incomplete"}
	}
	return err
}

// Guards against a host that runs out of memory because many servers answer without end: all
// bodies together hold a bounded number of bytes, whichever bodies are read. Those of another
// service and small ones are read beside them.
func TestManyEndlessBodiesAreBounded(t *testing.T) {
	const bodies, pool = 400, 32 << 20
	synctest.Test(t, func(t *testing.T) {
		r := New(nil, nil, fakeHeaderCodec{}, WithBuffers(allocator.New(allocator.WithPool(pool))))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		var read atomic.Int64
		results := make(chan error, bodies)
		for range bodies {
			x := &exchange{relayer: r, ctx: ctx, service: "faulty"}
			go func() {
				_, release, err := x.readResponseBody(&http.Response{ContentLength: -1, Body: countingBody{read: &read}})
				release()
				results <- err
			}()
		}
		time.Sleep(500 * time.Millisecond)
		if got, want := read.Load(), int64(pool/2+bodies*allocator.FreeBytes+10*maxBufferedBytes); got > want {
			t.Errorf("got %d bytes read, want %d at most", got, want)
		}
		if got, want := r.buffers.UsedBytes(), pool/2; got > want {
			t.Errorf("got %d bytes held beyond those in the reserve, want %d at most", got, want)
		}
		for name, size := range map[fuchsiapitch.ServiceName]int{"faulty": allocator.FreeBytes - 1, "sound": 1<<20 - 1, "large": maxBufferedBytes} {
			if err := readWhole(ctx, r, name, size); err != nil {
				t.Errorf("got error %v for a body of %d bytes of service %s, want none", err, size, name)
			}
		}
		for range bodies {
			err := <-results
			if _, ok := errors.AsType[*fuchsiapitch.ResponseTooLargeError](err); !ok && !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got error %v, want the deadline or a ResponseTooLargeError", err)
			}
		}
		if got := r.buffers.UsedBytes(); got != 0 {
			t.Errorf("got %d bytes in use, want none", got)
		}
	})
}

// Guards against large bodies that wait for each other: several of one service are read whole.
func TestLargeBodiesAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(nil, nil, fakeHeaderCodec{}, WithBuffers(allocator.New(allocator.WithPool(1<<20))))
		results := make(chan error)
		const bodies = 8
		for range bodies {
			go func() { results <- readWhole(t.Context(), r, "s", maxBufferedBytes) }()
		}
		for range bodies {
			if err := <-results; err != nil {
				t.Errorf("got error %v, want a complete body", err)
			}
		}
	})
}

// Guards against streams whose events never end and that hold memory without a bound.
func TestManyEndlessEventsAreBounded(t *testing.T) {
	const servers, streams, pool = 12, 48, 256 << 10
	s := &endlessServer{endlessResponse: endlessEvents["event in chunks"]}
	r := newRelayerWithServers(t, io.Discard, slices.Repeat([]http.HandlerFunc{s.ServeHTTP}, servers)...)
	r.buffers = allocator.New(allocator.WithPool(pool))
	proxy := httptest.NewServer(r)
	t.Cleanup(proxy.Close)
	var clients sync.WaitGroup
	for range streams {
		clients.Go(func() {
			response, _, err := sendWithLimit(t, proxy.URL+"/one-stream/x", "p", time.Second)
			if err != nil || response.StatusCode < http.StatusInternalServerError {
				t.Errorf("got response %v and error %v, want a failure", response, err)
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		clients.Wait()
		close(ended)
	}()
	most := 0
	for isEnded := false; !isEnded; {
		select {
		case <-ended:
			isEnded = true
		case <-time.After(time.Millisecond):
			most = max(most, r.buffers.UsedBytes())
		}
	}
	if most == 0 || most > pool/2 {
		t.Errorf("got at most %d bytes in use, want some and no more than %d", most, pool/2)
	}
	s.closed.Wait()
	if got := r.buffers.UsedBytes(); got != 0 {
		t.Errorf("got %d bytes in use after all streams, want none", got)
	}
}

// unreadBody is a response body that must not be read.
type unreadBody struct {
	t      *testing.T
	closed bool
}

// Read implements io.Reader.
func (b *unreadBody) Read([]byte) (int, error) {
	b.t.Error("got a read, want none")
	return 0, io.EOF
}

// Close implements io.Closer.
func (b *unreadBody) Close() error {
	b.closed = true
	return nil
}

// A body that says that it is too large is not read.
func TestDeclaredLengthTooLarge(t *testing.T) {
	body := &unreadBody{t: t}
	x := &exchange{relayer: New(nil, nil, fakeHeaderCodec{}), ctx: t.Context()}
	_, _, err := x.readResponseBody(&http.Response{ContentLength: maxBufferedBytes + 1, Body: body})
	if _, ok := errors.AsType[*fuchsiapitch.ResponseTooLargeError](err); !ok || !body.closed {
		t.Errorf("got error %v and closed %v, want a ResponseTooLargeError and a closed body", err, body.closed)
	}
}

// The response to a HEAD request has no body, whatever length it declares.
func TestDeclaredLengthOfHead(t *testing.T) {
	url := newTestRelayer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r1")
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Length", "9000000000000")
	})
	r := newRequest(t, url+"/look/x", "")
	r.Method = http.MethodHead
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	assertStatus(t, response, http.StatusOK)
}
