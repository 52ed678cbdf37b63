package requester

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

// A POST request whose response is lost on a reused connection must not be sent again.
func TestPostIsSentAtMostOnce(t *testing.T) {
	var handledRequests atomic.Int64
	server, stopServer, err := faulter.Start(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handledRequests.Add(1) }))
	if err != nil {
		t.Fatalf("start: got error %v, want none", err)
	}
	t.Cleanup(stopServer)
	q, closeConnections := New(1 << 10)
	t.Cleanup(closeConnections)
	request := Request{
		Method: http.MethodPost, URL: "http://" + server.Address(), Body: []byte("x"), Timeout: time.Minute,
		Header: map[string]string{"X-Request-Id": "r1"},
	}
	if _, err := q.Send(t.Context(), request); err != nil {
		t.Fatalf("first request: got error %v, want none", err)
	}
	server.LoseResponses(1)
	_, err = q.Send(t.Context(), request)
	var requestError *RequestError
	if !errors.As(err, &requestError) || !requestError.MayHaveBeenSent {
		t.Fatalf("lost response: got %v, want a RequestError with MayHaveBeenSent", err)
	}
	if got := handledRequests.Load(); got != 2 {
		t.Fatalf("handled requests: got %d, want 2", got)
	}
}

// Guards against bytes that are no answer, since their status is none, and that count as one.
func TestOddStatus(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "HTTP/1.1 %03d Odd\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status)
		}))
		t.Cleanup(server.Close)
		q, closeConnections := New(1 << 10)
		t.Cleanup(closeConnections)
		_, err := q.Send(t.Context(), Request{Method: http.MethodPost, URL: server.URL, Body: []byte("x"), Timeout: time.Minute})
		var requestError *RequestError
		if !errors.As(err, &requestError) || !requestError.MayHaveBeenSent {
			t.Errorf("status %03d: got %v, want a RequestError with MayHaveBeenSent", status, err)
		}
	}
}
