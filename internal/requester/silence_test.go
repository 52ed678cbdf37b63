package requester

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/pipe"
)

const (
	silenceTimeout = 3 * time.Second
	pieceInterval  = 2 * time.Second
	pieceCount     = 10
	pieceBytes     = 64 << 10
)

// send sends one request to a handler. It returns the response, the error and the time
// that the request took.
func send(t *testing.T, handler http.HandlerFunc, request Request) (Response, time.Duration, error) {
	t.Helper()
	return sendWithin(t, handler, request, silenceTimeout)
}

// sendWithin is send with another time-out.
func sendWithin(t *testing.T, handler http.HandlerFunc, request Request, timeout time.Duration) (Response, time.Duration, error) {
	t.Helper()
	transport, stopServer := pipe.Serve(handler)
	q, closeConnections := New(64<<20, WithDialContext(transport.DialContext))
	request.URL, request.Timeout = "http://server/", timeout
	start := time.Now()
	response, err := q.Send(t.Context(), request)
	elapsed := time.Since(start)
	closeConnections()
	if err := stopServer(); err != nil {
		t.Errorf("stop: got error %v, want none", err)
	}
	return response, elapsed, err
}

// sendPieces sends a body in pieces, with an interval before each.
func sendPieces(w http.ResponseWriter, count int) {
	piece := bytes.Repeat([]byte("x"), pieceBytes)
	for range count {
		time.Sleep(pieceInterval)
		_, _ = w.Write(piece)
		_ = http.NewResponseController(w).Flush()
	}
}

// A transfer that takes several times the time-out is not cancelled while its bytes
// move: the next attempt would be cancelled in the same way.
func TestSlowTransferEnds(t *testing.T) {
	t.Run("a slow response is read to its end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			response, _, err := send(t, func(w http.ResponseWriter, _ *http.Request) { sendPieces(w, pieceCount) }, Request{Method: http.MethodGet})
			if err != nil {
				t.Fatalf("send: got error %v, want none", err)
			}
			if got, want := len(response.Body), pieceCount*pieceBytes; got != want {
				t.Errorf("body: got %d bytes, want %d", got, want)
			}
		})
	})
	t.Run("a slow request is sent to its end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var receivedBytes int64
			_, _, err := send(t, func(_ http.ResponseWriter, r *http.Request) {
				for range pieceCount {
					time.Sleep(pieceInterval)
					n, _ := io.CopyN(io.Discard, r.Body, pieceBytes)
					receivedBytes += n
				}
			}, Request{Method: http.MethodPost, Body: make([]byte, pieceCount*pieceBytes)})
			if err != nil {
				t.Fatalf("send: got error %v, want none", err)
			}
			if got, want := receivedBytes, int64(pieceCount*pieceBytes); got != want {
				t.Errorf("request body: got %d bytes, want %d", got, want)
			}
		})
	})
}

// A server that sends nothing for the time-out is given up, whether it has sent a part
// of its response or not.
func TestSilenceTimesOut(t *testing.T) {
	cases := map[string]struct {
		pieces int
		want   time.Duration
	}{
		"before the response": {0, silenceTimeout},
		"within the response": {pieceCount, pieceCount*pieceInterval + silenceTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, elapsed, err := send(t, func(w http.ResponseWriter, r *http.Request) {
					sendPieces(w, c.pieces)
					<-r.Context().Done()
				}, Request{Method: http.MethodGet})
				if !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("send: got %v, want %v", err, context.DeadlineExceeded)
				}
				if elapsed != c.want {
					t.Errorf("time until the time-out: got %v, want %v", elapsed, c.want)
				}
			})
		})
	}
}

// Bytes that drip do not keep a request open: its size alone would bound it to months.
func TestDripTimesOut(t *testing.T) {
	cases := map[string]struct {
		request Request
		handler http.HandlerFunc
		want    time.Duration
	}{
		"a response": {Request{Method: http.MethodGet}, func(w http.ResponseWriter, _ *http.Request) {
			pipe.WriteSlowly(w, make([]byte, 1000), 1000, time.Second)
		}, time.Second + silenceTimeout},
		"a request": {Request{Method: http.MethodPost, Body: make([]byte, pieceBytes)}, func(_ http.ResponseWriter, r *http.Request) {
			for range 1000 {
				time.Sleep(time.Second)
				if _, err := io.CopyN(io.Discard, r.Body, 1); err != nil {
					return
				}
			}
		}, silenceTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, elapsed, err := send(t, c.handler, c.request)
				if !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("send: got %v, want %v", err, context.DeadlineExceeded)
				}
				if elapsed > c.want {
					t.Errorf("time until the time-out: got %v, want at most %v", elapsed, c.want)
				}
			})
		})
	}
}

// repeatedTimeout is a time-out within which a read is repeated.
const repeatedTimeout = 10 * time.Second

// Guards against a response that is not received for longer the longer the time-out is, because the
// connection of its request delivers nothing any more.
func TestSilentReadIsRepeatedBesideFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int32
		response, elapsed, err := sendWithin(t, func(w http.ResponseWriter, r *http.Request) {
			// Two connections are silent.
			if requests.Add(1) <= 2 {
				<-r.Context().Done()
				return
			}
			_, _ = io.WriteString(w, "news")
		}, Request{Method: http.MethodGet}, repeatedTimeout)
		if err != nil || string(response.Body) != "news" {
			t.Errorf("send: got %q and error %v, want a response", response.Body, err)
		}
		if want := 2 * repeatInterval; elapsed != want {
			t.Errorf("time until the response: got %v, want %v", elapsed, want)
		}
	})
}

// Guards against transfers that add to the load that made them slow, as a slow one is repeated, or
// several attempts at one are served.
func TestSlowTransferIsNotRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		wait         time.Duration
		wantRequests int32
	}{
		"soon":               {0, 1},
		"after a repetition": {repeatInterval + time.Second, 2},
		"at last":            {repeatedTimeout - time.Second/2, 4},
	} {
		t.Run("response begins "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var requests, transfers atomic.Int32
				response, elapsed, err := sendWithin(t, func(w http.ResponseWriter, r *http.Request) {
					requests.Add(1)
					select {
					case <-time.After(c.wait):
					case <-r.Context().Done():
						return
					}
					transfers.Add(1)
					w.WriteHeader(http.StatusOK)
					_ = http.NewResponseController(w).Flush()
					sendPieces(w, pieceCount)
				}, Request{Method: http.MethodGet}, repeatedTimeout)
				if got, want := len(response.Body), pieceCount*pieceBytes; err != nil || got != want {
					t.Errorf("send: got %d bytes and error %v, want %d", got, err, want)
				}
				if want := c.wait + pieceCount*pieceInterval; elapsed != want {
					t.Errorf("time of the transfer: got %v, want %v", elapsed, want)
				}
				if got := requests.Load(); got != c.wantRequests {
					t.Errorf("requests: got %d, want %d", got, c.wantRequests)
				}
				if got := transfers.Load(); got != 1 {
					t.Errorf("transfers: got %d, want 1", got)
				}
			})
		})
	}
}

// Guards against silence of a server that is not reported while further attempts are in flight.
func TestSilenceOfAllAttemptsTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, elapsed, err := sendWithin(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
			Request{Method: http.MethodGet}, repeatedTimeout)
		if !errors.Is(err, context.DeadlineExceeded) || elapsed != repeatedTimeout {
			t.Errorf("send: got %v after %v, want %v after %v", err, elapsed, context.DeadlineExceeded, repeatedTimeout)
		}
	})
}

// silenceableConn is a connection that delivers nothing any more once it is silent.
type silenceableConn struct {
	net.Conn
	isSilent *atomic.Bool
}

// Read implements net.Conn.
func (c silenceableConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.isSilent.Load() {
			return n, err
		}
	}
}

// Guards against further attempts over idle connections that fell silent together with that of the
// first one.
func TestFurtherAttemptOpensConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, stopServer := pipe.Serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }))
		var isSilent atomic.Pointer[atomic.Bool]
		isSilent.Store(&atomic.Bool{})
		q, closeConnections := New(64<<20, WithDialContext(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := transport.DialContext(ctx, network, address)
			return silenceableConn{Conn: conn, isSilent: isSilent.Load()}, err
		}))
		request := Request{Method: http.MethodGet, URL: "http://server/", Timeout: repeatedTimeout}
		var sending sync.WaitGroup
		for range maxIdleConnsPerHost {
			sending.Go(func() {
				if _, err := q.Send(t.Context(), request); err != nil {
					t.Errorf("send: got error %v, want none", err)
				}
			})
		}
		sending.Wait()
		isSilent.Swap(&atomic.Bool{}).Store(true)
		start := time.Now()
		_, err := q.Send(t.Context(), request)
		if got, want := time.Since(start), repeatInterval+time.Second; err != nil || got != want {
			t.Errorf("send: got error %v after %v, want a response after %v", err, got, want)
		}
		closeConnections()
		if err := stopServer(); err != nil {
			t.Errorf("stop: got error %v, want none", err)
		}
	})
}
