package requester

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/hasty"
)

const (
	earlyHeader = "HTTP/1.1 200 OK\r\n"
	earlyBody   = "0123456789"
	// earlyRounds is the number of times that each form is played, since its parts race.
	earlyRounds = 20
	// longBodyBytes is more than the buffers of a connection take.
	longBodyBytes = 8 << 20
)

// sendLong sends a long request to a server that responds before its end.
func sendLong(t *testing.T, q *Requester, s hasty.Server) (Response, error) {
	t.Helper()
	address, stop, err := hasty.Start(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	response, sendErr := q.Send(t.Context(), Request{Method: http.MethodPost, URL: "http://" + address, Body: make([]byte, longBodyBytes), Timeout: time.Minute})
	if err := stop(); err != nil {
		t.Errorf("stop: got error %v", err)
	}
	return response, sendErr
}

// Guards against a part of a response that counts as complete, since the reset of its connection was
// reported to the writer of a long request and not to the reader of the response.
func TestCutResponseToLongRequest(t *testing.T) {
	for _, framing := range hasty.Framings() {
		for _, end := range []hasty.End{hasty.Reset, hasty.Close, hasty.HalfCloseAndReset} {
			t.Run(string(framing)+", "+string(end), func(t *testing.T) {
				q, closeConnections := New(1 << 10)
				t.Cleanup(closeConnections)
				for range earlyRounds {
					response, err := sendLong(t, q, hasty.Server{Response: hasty.Frame(framing, earlyHeader, earlyBody, 4), End: end})
					var requestError *RequestError
					if !errors.As(err, &requestError) || !requestError.MayHaveBeenSent {
						t.Errorf("got %q and %v, want a RequestError with MayHaveBeenSent", response.Body, err)
					}
				}
			})
		}
	}
}

// Guards against an early response that is lost though it was complete.
func TestWholeResponseToLongRequest(t *testing.T) {
	for framing, end := range map[hasty.Framing]hasty.End{hasty.Length: hasty.Keep, hasty.Chunked: hasty.Keep, hasty.Unframed: hasty.HalfClose} {
		t.Run(string(framing), func(t *testing.T) {
			q, closeConnections := New(1 << 10)
			t.Cleanup(closeConnections)
			response, err := sendLong(t, q, hasty.Server{Response: hasty.Frame(framing, earlyHeader, earlyBody, len(earlyBody)), End: end})
			if err != nil || string(response.Body) != earlyBody {
				t.Errorf("got %q and error %v, want %q", response.Body, err, earlyBody)
			}
		})
	}
}
