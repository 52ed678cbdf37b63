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
	// defaultMaxBodyBytes is the largest request body, in bytes.
	defaultMaxBodyBytes = 8 << 20
	// defaultBodyTimeout limits the time in which a client must send a body.
	defaultBodyTimeout = 30 * time.Second
	// defaultMaxReservedBytes limits the total size of the request bodies that one
	// host holds at the same time, in bytes.
	defaultMaxReservedBytes = 256 << 20
)

// bodyLimiter limits the size of request bodies, the time to read one and the
// memory that all of them can use.
type bodyLimiter struct {
	maxBodyBytes     int64
	readTimeout      time.Duration
	maxReservedBytes int64
	reservedBytes    atomic.Int64
}

// reserve counts the body of a request against maxReservedBytes until release is
// called. It counts the content length, or maxBodyBytes if the length is unknown
// or larger.
func (b *bodyLimiter) reserve(q *http.Request) (release func(), err error) {
	size := q.ContentLength
	if size < 0 || size > b.maxBodyBytes {
		size = b.maxBodyBytes
	}
	if b.reservedBytes.Add(size) > b.maxReservedBytes {
		b.reservedBytes.Add(-size)
		return nil, &RequestError{
			Status: http.StatusServiceUnavailable, Code: fuchsiapitch.RefusedOverload.String(),
			Detail: "the host holds too many requests",
		}
	}
	return func() { b.reservedBytes.Add(-size) }, nil
}

// read returns the complete body of a request.
func (b *bodyLimiter) read(w http.ResponseWriter, q *http.Request) ([]byte, error) {
	// SetReadDeadline fails if the writer does not support deadlines. Only the timeouts
	// of the HTTP server, if any, apply then.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(b.readTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, b.maxBodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &RequestError{Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Detail: "the body is over the limit"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &RequestError{Status: http.StatusRequestTimeout, Code: "body-too-slow", Detail: "the body took too long"}
	}
	return nil, &RequestError{Status: http.StatusBadRequest, Code: "unreadable-body", Detail: "the body ended early"}
}
