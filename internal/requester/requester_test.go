package requester

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

func TestPostIsSentAtMostOnce(t *testing.T) {
	var runs atomic.Int64
	server, stop, err := faulter.Start(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	if err != nil {
		t.Fatalf("start: got %v, want none", err)
	}
	t.Cleanup(stop)
	q, cleanUp := New(1 << 10)
	t.Cleanup(cleanUp)
	request := Request{
		Method: http.MethodPost, URL: "http://" + server.Address(), Body: []byte("x"), Timeout: time.Minute,
		Header: map[string]string{"X-Request-Id": "r1"},
	}
	if _, err := q.Send(t.Context(), request); err != nil {
		t.Fatalf("first: got %v, want none", err)
	}
	server.LoseAnswers(1)
	_, err = q.Send(t.Context(), request)
	var failed *RequestError
	if !errors.As(err, &failed) || !failed.Sent {
		t.Fatalf("lost answer: got %v, want a RequestError that was sent", err)
	}
	if got := runs.Load(); got != 2 {
		t.Fatalf("runs: got %d, want 2", got)
	}
}
