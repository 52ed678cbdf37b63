package sender

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Exchange sends one request, at most once, on a connection of its own and
// returns the answer once its header has arrived. On failure the outcome tells
// whether the request may have run. The context of the request ends the sending
// and the reading of the answer.
func (s *Sender) Exchange(request *http.Request, deadline time.Time) (*http.Response, fuchsiapitch.Outcome, error) {
	g := &gate{deadline: deadline}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*connection); ok {
			g.open(c)
		}
	}}
	response, err := s.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil {
		return response, fuchsiapitch.OutcomeUnknown, nil
	}
	err = &fuchsiapitch.UnreachableError{Address: request.URL.Host, Action: "sending", Err: err}
	if g.seal() {
		return nil, fuchsiapitch.OutcomeUnknown, err
	}
	return nil, fuchsiapitch.OutcomeNotRun, err
}

// NewDialer returns a function that connects to a host. The kernel ends a
// connection whose other end has not acknowledged anything for a time.
func NewDialer(connect, silence time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	interval := max(time.Second, silence/3)
	d := net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: 2},
		Control:         limitUnacknowledged(silence),
	}
	return d.DialContext
}
