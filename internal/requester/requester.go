// Package requester sends small HTTP requests to the outside systems over kept
// connections and reads whole answers.
package requester

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 60 * time.Second
	maxIdle        = 1024
	maxIdlePerHost = 2
)

// TooLargeError reports an answer that exceeds the limit.
type TooLargeError struct {
	// Limit is the limit in bytes.
	Limit int64
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("the answer exceeds %d bytes", e.Limit) }

// StatusError reports an answer with an HTTP status that was not expected.
type StatusError struct {
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("the answer has status %d", e.Status) }

// RequestError reports a request without a whole answer.
type RequestError struct {
	// Sent states whether any part of the request may have left this process.
	Sent bool
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *RequestError) Error() string { return "no whole answer: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *RequestError) Unwrap() error { return e.Err }

// Request is one small request.
type Request struct {
	// Method is the HTTP method.
	Method string
	// URL is the whole URL.
	URL string
	// Header holds header fields, by name.
	Header map[string]string
	// Body is the body, nil for none.
	Body []byte
	// Timeout limits the time to the end of the answer.
	Timeout time.Duration
}

// Answer is one whole answer.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the header fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Requester sends requests. It follows no redirect.
type Requester struct {
	transport *http.Transport
	maxBytes  int64
}

// New returns a requester that reads answers of up to a number of bytes, and
// a clean-up function that closes its kept connections.
func New(maxBytes int64) (*Requester, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout,
		MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true,
	}
	r := &Requester{transport: transport, maxBytes: maxBytes}
	return r, transport.CloseIdleConnections
}

// Send sends a request and reads its whole answer. It returns a RequestError
// when there is no whole answer. After a failure the kept connections are
// closed, because others may have gone silent as well.
//
// A POST request is sent at most once: the transport replays one only when no
// byte of it left on a connection that the server had closed.
func (q *Requester) Send(ctx context.Context, request Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	answer, err := q.send(ctx, request)
	if err != nil {
		q.transport.CloseIdleConnections()
		return Answer{}, &RequestError{Sent: sent.Load(), Err: err}
	}
	return answer, nil
}

func (q *Requester) send(ctx context.Context, request Request) (Answer, error) {
	r, err := http.NewRequestWithContext(ctx, request.Method, request.URL, bytes.NewReader(request.Body))
	if err != nil {
		return Answer{}, err
	}
	for name, value := range request.Header {
		r.Header.Set(name, value)
	}
	r.Header.Set("User-Agent", "fuchsiapitch")
	response, err := q.transport.RoundTrip(r)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, q.maxBytes+1))
	if err != nil {
		return Answer{}, err
	}
	if int64(len(data)) > q.maxBytes {
		return Answer{}, &TooLargeError{Limit: q.maxBytes}
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}
