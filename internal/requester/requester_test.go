package requester

import (
	"errors"
	"net/http"
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
