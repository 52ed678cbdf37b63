package sender

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Header fields of the protocol towards backend servers.
const (
	// RequestIDHeader carries the request identifier and is echoed.
	RequestIDHeader = "X-Request-Id"
	// OutcomeHeader carries the server's word on a call that it did not run.
	OutcomeHeader = "X-Request-Outcome"
	// PriorityHeader carries the engine's priority; 0 is the most urgent.
	PriorityHeader = "X-Priority"
	// TimeoutHeader carries the time in milliseconds for which the answer is of
	// use.
	TimeoutHeader = "X-Timeout-Ms"
	// LastEventHeader carries the last token that the caller has.
	LastEventHeader = "Last-Event-Id"
)

// hopByHop are the header fields that concern one connection only.
var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// PassOn returns the header fields that may travel to the next connection.
func PassOn(header map[string][]string) http.Header {
	passed := make(http.Header, len(header)+4)
	for k, v := range header {
		passed[http.CanonicalHeaderKey(k)] = v
	}
	for _, line := range passed.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		passed.Del(name)
	}
	return passed
}

// outgoing returns the header of a request to a backend server. The bearer key
// of a caller concerns this system alone.
func outgoing(call fuchsiapitch.Call, now time.Time) http.Header {
	h := PassOn(call.Header())
	for _, name := range [...]string{"Authorization", "Content-Length", "Host", "Expect", LastEventHeader, TimeoutHeader} {
		h.Del(name)
	}
	h.Set(RequestIDHeader, string(call.Request()))
	h.Set(PriorityHeader, strconv.Itoa(call.EnginePriority()))
	if !call.Deadline().IsZero() {
		h.Set(TimeoutHeader, strconv.FormatInt(max(0, call.Deadline().Sub(now).Milliseconds()), 10))
	}
	if call.Streaming() && call.TokenOffset() > 0 {
		h.Set(LastEventHeader, string(call.Request())+"/"+strconv.Itoa(call.TokenOffset()))
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	return h
}

// retryAfter returns the server's hint for a retry, 0 if none.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
