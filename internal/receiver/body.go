package receiver

import (
	"errors"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/collector"
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
	collector        *collector.Collector
}

// heldBody is the body of one request. It is empty until read is called.
type heldBody struct {
	limiter *bodyLimiter
	release func()
	// isRead is true once read has been called.
	isRead bool
}

// hold returns the body of a request. Its release must be called when the request has ended. The
// error is a RequestError if the body announces more than all bodies together may take.
func (b *bodyLimiter) hold(q *http.Request) (*heldBody, error) {
	if min(q.ContentLength, b.maxBodyBytes) > b.maxReservedBytes {
		return nil, noRoomError(defaultBodyTimeout)
	}
	return &heldBody{limiter: b, release: func() {}}, nil
}

func noRoomError(retryAfter time.Duration) error {
	return &RequestError{
		Status: http.StatusServiceUnavailable, Code: fuchsiapitch.RefusedOverload.String(),
		Detail: "the host holds too many requests", RetryAfter: retryAfter,
	}
}

// read returns the complete body of a request of a customer.
func (h *heldBody) read(w http.ResponseWriter, q *http.Request, customer fuchsiapitch.CustomerName) ([]byte, error) {
	h.isRead = true
	body, err := h.limiter.collector.Collect(w, q, collector.Terms{
		Caller: string(customer), LimitBytes: h.limiter.maxBodyBytes, Deadline: time.Now().Add(h.limiter.readTimeout),
	})
	if err == nil {
		h.release = body.Release
		var joined []byte
		if joined, err = body.Join(q.Context()); err == nil {
			return joined, nil
		}
	}
	var tooLarge *collector.TooLargeError
	var tooSlow *collector.TooSlowError
	var noRoom *collector.NoRoomError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &RequestError{Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Detail: "the body is over the limit"}
	case errors.As(err, &tooSlow):
		return nil, &RequestError{Status: http.StatusRequestTimeout, Code: "body-too-slow", Detail: "the body took too long"}
	case errors.As(err, &noRoom):
		return nil, noRoomError(noRoom.RetryAfter)
	}
	return nil, &RequestError{Status: http.StatusBadRequest, Code: "unreadable-body", Detail: "the body ended early"}
}
