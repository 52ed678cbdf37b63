package sender_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
)

// startOneRequestServer starts a server that responds to the first request on each
// connection and closes the connection on the second, like a server whose idle
// timeout expires just as a new request arrives.
func startOneRequestServer(t *testing.T) (fuchsiapitch.BackendServer, *atomic.Int64) {
	t.Helper()
	var knownConns sync.Map
	return startServer(t, func(c net.Conn, r *http.Request) bool {
		if _, known := knownConns.LoadOrStore(c, true); known {
			return false
		}
		return respondOK(c, r)
	})
}

// TestReplay guards against replayed requests: net/http sends a POST with an
// Idempotency-Key again when the server closes the pooled connection, and the sender
// must not.
func TestReplay(t *testing.T) {
	for _, key := range []string{"", "order-17"} {
		t.Run("net/http with key "+key, func(t *testing.T) {
			server, requests := startOneRequestServer(t)
			transport := &http.Transport{}
			t.Cleanup(transport.CloseIdleConnections)
			for range 2 {
				r, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/bookings", strings.NewReader("kiln 7"))
				assertNoError(t, err, "request")
				if key != "" {
					r.Header.Set("Idempotency-Key", key)
				}
				if response, err := transport.RoundTrip(r); err == nil {
					readToEnd(response)
				}
			}
			want := int64(2)
			if key != "" {
				want = 3
			}
			assertRequestCount(t, requests, want)
		})
		t.Run("sender with key "+key, func(t *testing.T) {
			server, requests := startOneRequestServer(t)
			s := newTestSender(t)
			for _, id := range []fuchsiapitch.RequestID{"r1", "r2"} {
				header := map[string][]string{}
				if key != "" {
					header["Idempotency-Key"] = []string{key}
				}
				callResponse, err := s.Call(context.Background(), server, newBookingCall(id, fuchsiapitch.WithHeader(header)))
				assertNoError(t, err, "call on a fresh connection")
				readAll(callResponse)
			}
			assertRequestCount(t, requests, 2)
		})
	}
	t.Run("an idempotent call does not reuse a stale connection", func(t *testing.T) {
		server, requests := startOneRequestServer(t)
		s := newTestSender(t)
		header := map[string][]string{"Idempotency-Key": {"order-17"}}
		getOrders := func(id fuchsiapitch.RequestID) error {
			call := fuchsiapitch.NewCall(id, http.MethodGet, "/orders", nil, fuchsiapitch.WithIdempotent(), fuchsiapitch.WithHeader(header))
			callResponse, err := s.Call(context.Background(), server, call)
			if err == nil {
				_, _, err = readAll(callResponse)
			}
			return err
		}
		assertNoError(t, getOrders("r1"), "first call")
		assertNoError(t, getOrders("r2"), "second call")
		assertRequestCount(t, requests, 2)
	})
}

func readToEnd(response *http.Response) {
	var buffer [64]byte
	for {
		if _, err := response.Body.Read(buffer[:]); err != nil {
			response.Body.Close()
			return
		}
	}
}

func assertIdempotentCall(t *testing.T, s *sender.Sender, server fuchsiapitch.BackendServer, id fuchsiapitch.RequestID) {
	t.Helper()
	call := fuchsiapitch.NewCall(id, http.MethodGet, "/orders", nil, fuchsiapitch.WithIdempotent())
	callResponse, err := s.Call(context.Background(), server, call)
	assertNoError(t, err, "call")
	_, _, err = readAll(callResponse)
	assertNoError(t, err, "read the response")
}

func TestSilence(t *testing.T) {
	t.Run("a connection that goes silent once idle is not used again", func(t *testing.T) {
		var knownConns sync.Map
		server, _ := startServer(t, func(c net.Conn, r *http.Request) bool {
			if _, known := knownConns.LoadOrStore(c, true); known {
				return true
			}
			return respondOK(c, r)
		})
		s := newTestSender(t, sender.WithSilenceTimeout(50*time.Millisecond))
		for _, id := range []fuchsiapitch.RequestID{"r1", "r2"} {
			assertIdempotentCall(t, s, server, id)
		}
	})
	t.Run("a plain response that takes longer than the silence timeout is awaited", func(t *testing.T) {
		server, _ := startServer(t, func(c net.Conn, r *http.Request) bool {
			time.Sleep(100 * time.Millisecond)
			return respondOK(c, r)
		})
		s := newTestSender(t, sender.WithSilenceTimeout(10*time.Millisecond))
		for _, id := range []fuchsiapitch.RequestID{"r1", "r2"} {
			assertIdempotentCall(t, s, server, id)
		}
	})
	t.Run("a booking on a silent server is not sent again", func(t *testing.T) {
		server, requests := startServer(t, func(net.Conn, *http.Request) bool { return true })
		s := newTestSender(t, sender.WithSilenceTimeout(time.Millisecond))
		_, err := s.Call(context.Background(), server, newBookingCall("r1", fuchsiapitch.WithDeadline(time.Now().Add(100*time.Millisecond))))
		assertOutcome(t, err, fuchsiapitch.OutcomeUnknown)
		assertType[*fuchsiapitch.UnreachableError](t, err)
		assertRequestCount(t, requests, 1)
	})
}
