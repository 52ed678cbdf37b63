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

// serveOnce answers the first request of each connection and closes it on the
// second, as a server does whose idle timeout meets a new request.
func serveOnce(t *testing.T) (fuchsiapitch.BackendServer, *atomic.Int64) {
	t.Helper()
	var seen sync.Map
	return serve(t, func(c net.Conn, r *http.Request) bool {
		if _, again := seen.LoadOrStore(c, true); again {
			return false
		}
		return echo(c, r)
	})
}

// TestReplay shows what net/http does by itself and that the sender does not.
func TestReplay(t *testing.T) {
	for _, key := range []string{"", "order-17"} {
		t.Run("net/http with key "+key, func(t *testing.T) {
			server, requests := serveOnce(t)
			transport := &http.Transport{}
			t.Cleanup(transport.CloseIdleConnections)
			for range 2 {
				r, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/bookings", strings.NewReader("kiln 7"))
				assertNoError(t, err, "request")
				if key != "" {
					r.Header.Set("Idempotency-Key", key)
				}
				if response, err := transport.RoundTrip(r); err == nil {
					readBody(response)
				}
			}
			want := int64(2)
			if key != "" {
				want = 3
			}
			assertCount(t, requests, want)
		})
		t.Run("sender with key "+key, func(t *testing.T) {
			server, requests := serveOnce(t)
			s := newSender(t)
			for _, id := range []fuchsiapitch.RequestID{"r1", "r2"} {
				header := map[string][]string{}
				if key != "" {
					header["Idempotency-Key"] = []string{key}
				}
				answer, err := s.Call(context.Background(), server, booking(id, fuchsiapitch.WithHeader(header)))
				assertNoError(t, err, "call on a fresh connection")
				readAll(answer)
			}
			assertCount(t, requests, 2)
		})
	}
	t.Run("an idempotent call never meets a stale connection", func(t *testing.T) {
		server, requests := serveOnce(t)
		s := newSender(t)
		header := map[string][]string{"Idempotency-Key": {"order-17"}}
		lookup := func(id fuchsiapitch.RequestID) error {
			call := fuchsiapitch.NewCall(id, http.MethodGet, "/orders", nil, fuchsiapitch.WithIdempotent(), fuchsiapitch.WithHeader(header))
			answer, err := s.Call(context.Background(), server, call)
			if err == nil {
				_, _, err = readAll(answer)
			}
			return err
		}
		assertNoError(t, lookup("r1"), "first call")
		assertNoError(t, lookup("r2"), "second call")
		assertCount(t, requests, 2)
	})
}

func readBody(response *http.Response) {
	var buffer [64]byte
	for {
		if _, err := response.Body.Read(buffer[:]); err != nil {
			response.Body.Close()
			return
		}
	}
}

func assertLookup(t *testing.T, s *sender.Sender, server fuchsiapitch.BackendServer, id fuchsiapitch.RequestID) {
	t.Helper()
	call := fuchsiapitch.NewCall(id, http.MethodGet, "/orders", nil, fuchsiapitch.WithIdempotent())
	answer, err := s.Call(context.Background(), server, call)
	assertNoError(t, err, "call")
	_, _, err = readAll(answer)
	assertNoError(t, err, "read the answer")
}

func TestSilence(t *testing.T) {
	t.Run("a connection that goes silent once idle is not used again", func(t *testing.T) {
		var seen sync.Map
		server, _ := serve(t, func(c net.Conn, r *http.Request) bool {
			if _, again := seen.LoadOrStore(c, true); again {
				return true
			}
			return echo(c, r)
		})
		s := newSender(t, sender.WithSilence(50*time.Millisecond))
		for _, id := range []fuchsiapitch.RequestID{"r1", "r2"} {
			assertLookup(t, s, server, id)
		}
	})
	t.Run("a plain answer that takes longer than the silence limit is waited for", func(t *testing.T) {
		server, _ := serve(t, func(c net.Conn, r *http.Request) bool {
			time.Sleep(100 * time.Millisecond)
			return echo(c, r)
		})
		s := newSender(t, sender.WithSilence(10*time.Millisecond))
		for _, id := range []fuchsiapitch.RequestID{"r1", "r2"} {
			assertLookup(t, s, server, id)
		}
	})
	t.Run("a booking on a silent server is not sent again", func(t *testing.T) {
		server, requests := serve(t, func(net.Conn, *http.Request) bool { return true })
		s := newSender(t, sender.WithSilence(time.Millisecond))
		_, err := s.Call(context.Background(), server, booking("r1", fuchsiapitch.WithDeadline(time.Now().Add(100*time.Millisecond))))
		assertOutcome(t, err, fuchsiapitch.OutcomeUnknown)
		assertType[*fuchsiapitch.UnreachableError](t, err)
		assertCount(t, requests, 1)
	})
}
