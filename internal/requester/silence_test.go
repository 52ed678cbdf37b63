package requester

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

const (
	silenceTimeout = 3 * time.Second
	pieceInterval  = 2 * time.Second
	pieceCount     = 10
	pieceBytes     = 64 << 10
)

// pipeListener is an in-memory listener, so that a server and its client run on the
// clock of a synctest bubble.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.connections <- serverConn:
		return clientConn, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// send sends one request to a handler. It returns the response, the error and the time
// that the request took.
func send(t *testing.T, handler http.HandlerFunc, request Request) (Response, time.Duration, error) {
	t.Helper()
	listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	served := make(chan error)
	go func() { served <- server.Serve(listener) }()
	q, closeConnections := New(64<<20, WithDialContext(listener.dial))
	request.URL, request.Timeout = "http://server/", silenceTimeout
	start := time.Now()
	response, err := q.Send(t.Context(), request)
	elapsed := time.Since(start)
	closeConnections()
	if err := server.Shutdown(t.Context()); err != nil {
		t.Errorf("shutdown: got error %v, want none", err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("serve: got %v, want %v", err, http.ErrServerClosed)
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
