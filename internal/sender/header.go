package sender

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Header fields of requests to backend servers and of their responses.
const (
	// RequestIDHeader carries the request identifier. The response repeats it.
	RequestIDHeader = "X-Request-Id"
	// OutcomeHeader carries the outcome in a response: with the value not-run and an
	// error status, the server did not run the call.
	OutcomeHeader = "X-Request-Outcome"
	// PriorityHeader carries the priority in the engine's queue. 0 is the most urgent.
	PriorityHeader = "X-Priority"
	// TimeoutHeader carries the time to the deadline of the call in milliseconds.
	TimeoutHeader = "X-Timeout-Ms"
	// LastEventIDHeader carries the identifier of the last token that the client has
	// received.
	LastEventIDHeader = "Last-Event-Id"
)

// hopByHopFields are the header fields that apply to one connection only.
var hopByHopFields = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop returns a copy of a header with canonical field names and without the
// hop-by-hop fields, which must not be forwarded.
func StripHopByHop(header map[string][]string) http.Header {
	stripped := make(http.Header, len(header)+4)
	for k, v := range header {
		stripped[http.CanonicalHeaderKey(k)] = v
	}
	for _, line := range stripped.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			stripped.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		stripped.Del(name)
	}
	return stripped
}

// requestHeader returns the header of a request to a backend server. It leaves out
// the Authorization field, since the client's key is meant for this system alone.
func requestHeader(call fuchsiapitch.Call, now time.Time) http.Header {
	h := StripHopByHop(call.Header())
	for _, name := range [...]string{"Authorization", "Content-Length", "Host", "Expect", LastEventIDHeader, TimeoutHeader} {
		h.Del(name)
	}
	h.Set(RequestIDHeader, string(call.Request()))
	h.Set(PriorityHeader, strconv.Itoa(call.EnginePriority()))
	if !call.Deadline().IsZero() {
		h.Set(TimeoutHeader, strconv.FormatInt(max(0, call.Deadline().Sub(now).Milliseconds()), 10))
	}
	if call.Streaming() && call.TokenOffset() > 0 {
		h.Set(LastEventIDHeader, string(call.Request())+"/"+strconv.Itoa(call.TokenOffset()))
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	return h
}

// parseRetryAfter returns the delay in the Retry-After field, 0 if the field is
// absent or does not hold a valid number of seconds.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
