package collector

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// dismissedBytes is the largest body that is read only to keep the connection open, and
	// dismissTimeout the time for it.
	dismissedBytes = 16 << 10
	dismissTimeout = 50 * time.Millisecond
)

// Dismiss prepares the response to a request that is refused whatever its body holds. The HTTP server
// would not send the response before it has read the rest of the body, and wait for it without a
// limit. A small body that has arrived is discarded, so that the connection can be used again.
// Otherwise the connection ends with the response. It must not be called after Collect has failed.
func Dismiss(w http.ResponseWriter, request *http.Request) {
	if !discard(w, request) {
		endConnection(w)
	}
}

// discard reads a small body, and reports whether it has reached its end. A stream of HTTP/2 ends with
// its response, and leaves the connection open whether its body has been read or not.
func discard(w http.ResponseWriter, request *http.Request) bool {
	const firstMultiplexedMajor = 2
	if request.ContentLength == 0 || request.ProtoMajor >= firstMultiplexedMajor {
		return true
	}
	// A client that waits for the word to send its body need not send it.
	if request.ContentLength > dismissedBytes || strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		return false
	}
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(dismissTimeout)) != nil {
		return false
	}
	if _, err := io.CopyN(io.Discard, request.Body, dismissedBytes+1); !errors.Is(err, io.EOF) {
		return false
	}
	return controller.SetReadDeadline(time.Time{}) == nil
}

// DismissBodies returns a handler that dismisses the bodies of all requests before next serves them.
// Connections whose bodies do not come are closed without the wait for their clients that Dismiss
// makes, since listeners with few places could not afford it.
func DismissBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !discard(w, request) {
			closeConnection(w)
		}
		next.ServeHTTP(w, request)
	})
}
