package sender

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Exchange sends a request at most once, on its own connection, and returns the
// response once its header has arrived. After an error, the outcome is
// OutcomeUnknown if the request may have run and OutcomeNotRun otherwise.
// Cancelling the context of the request stops the sending and the reading of the
// response.
func (s *Sender) Exchange(request *http.Request, deadline time.Time) (*http.Response, fuchsiapitch.Outcome, error) {
	guard := &writeGuard{deadline: deadline}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*guardedConn); ok {
			guard.bind(c)
		}
	}}
	response, err := s.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil && isMerged(response) {
		response.Body.Close()
		err = &MergedHeadersError{Status: response.StatusCode}
	}
	if err == nil {
		guard.allowLateReading()
		return response, fuchsiapitch.OutcomeUnknown, nil
	}
	err = &fuchsiapitch.UnreachableError{Address: request.URL.Host, Action: "sending", Err: guard.headerError(err)}
	if guard.closeWrites() {
		return nil, fuchsiapitch.OutcomeUnknown, err
	}
	return nil, fuchsiapitch.OutcomeNotRun, err
}

// NewDialer returns a dial function with a connect timeout, whose connections verify their
// ends. The kernel closes a connection whose peer has acknowledged neither data nor
// keepalive probes for the silence timeout.
func NewDialer(connectTimeout, silenceTimeout time.Duration) DialFunc {
	interval := max(time.Second, silenceTimeout/3)
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: 2},
		Control:         withUserTimeout(silenceTimeout),
	}
	return VerifyEnds(d.DialContext)
}
