package receiver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// defaultBodyLimit is the largest body of a request in bytes.
	defaultBodyLimit = 8 << 20
	// defaultBodyTime is the longest time that a caller may take for a body.
	defaultBodyTime = 30 * time.Second
	// defaultHeldLimit bounds the bodies that one host holds at once, in bytes.
	defaultHeldLimit = 256 << 20
)

// bodies bounds what callers can make a host hold.
type bodies struct {
	limit     int64
	time      time.Duration
	heldLimit int64
	held      atomic.Int64
}

// take reserves room for the body of a request until release is called. The
// room is the announced length, or the largest one where none is announced.
func (b *bodies) take(q *http.Request) (release func(), err error) {
	room := q.ContentLength
	if room < 0 || room > b.limit {
		room = b.limit
	}
	if b.held.Add(room) > b.heldLimit {
		b.held.Add(-room)
		return nil, &RequestError{
			Status: http.StatusServiceUnavailable, Code: fuchsiapitch.RefusedOverload.String(),
			Detail: "the host holds too many requests",
		}
	}
	return func() { b.held.Add(-room) }, nil
}

// read returns the whole body of a request.
func (b *bodies) read(w http.ResponseWriter, q *http.Request) ([]byte, error) {
	// Connections that know no deadline are bounded by the server's own.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(b.time))
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, b.limit))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &RequestError{Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Detail: "the body is over the limit"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &RequestError{Status: http.StatusRequestTimeout, Code: "body-too-slow", Detail: "the body took too long"}
	}
	return nil, &RequestError{Status: http.StatusBadRequest, Code: "unreadable-body", Detail: "the body ended early"}
}
