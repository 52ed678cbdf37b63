// Package requester sends HTTP requests with small bodies to external systems over
// persistent connections, and buffers the responses.
package requester

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/watcher"
)

const (
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10

	// repeatInterval is the time without a response after which a read is sent a further
	// time. A configuration is to be in force 4 s after it was accepted, and a read that
	// waits for it may have been sent just before its connection fell silent.
	repeatInterval = 3 * time.Second

	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 60 * time.Second
	maxIdleConns        = 1024
	maxIdleConnsPerHost = 2
)

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected response status %d", e.Status) }

// RequestError reports that no complete response to a request was received.
type RequestError struct {
	// MayHaveBeenSent is true if any part of the request may have left this process.
	MayHaveBeenSent bool
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *RequestError) Error() string { return "no complete response: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *RequestError) Unwrap() error { return e.Err }

// Request is one HTTP request.
type Request struct {
	// Method is the HTTP method.
	Method string
	// URL is the absolute URL.
	URL string
	// Header holds the header fields by name.
	Header map[string]string
	// Body is the request body, nil for none.
	Body []byte
	// Timeout bounds the time in which the request body and the response make no
	// progress, as the package watcher defines it. It counts from the first attempt. It bounds the whole transfer only by
	// its size; the context does.
	Timeout time.Duration
}

// Response is a buffered HTTP response.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the header fields.
	Header http.Header
	// Body is the complete response body.
	Body []byte
	// HeaderDelay is the time from the call until the header was received.
	HeaderDelay time.Duration
}

// Requester sends HTTP requests. It does not follow redirects.
type Requester struct {
	transport        *http.Transport
	maxResponseBytes int64
}

// Option sets one optional property of a requester.
type Option func(*Requester)

// WithDialContext sets the function that opens connections.
func WithDialContext(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(r *Requester) { r.transport.DialContext = dial }
}

// New returns a requester that accepts response bodies of up to maxResponseBytes, and a
// function that closes its idle connections.
func New(maxResponseBytes int64, options ...Option) (*Requester, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleConnTimeout,
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	r := &Requester{transport: transport, maxResponseBytes: maxResponseBytes}
	for _, o := range options {
		o(r)
	}
	return r, transport.CloseIdleConnections
}

// Send sends a request and reads the complete response. It returns a RequestError if
// that fails. After a failure it closes the idle connections, because they may no
// longer work either.
//
// A POST request is sent at most once: the transport retries it only if the server had
// closed the connection and no byte of the request was written to it. A GET request is
// sent again every repeatInterval while there is no response, beside those sent before:
// its connection may deliver nothing any more, and its time-out is longer the slower the
// server has been.
func (r *Requester) Send(ctx context.Context, request Request) (Response, error) {
	send := r.sendOnce
	if request.Method == http.MethodGet && request.Timeout > repeatInterval {
		send = r.sendRepeatedly
	}
	response, err := send(ctx, request)
	if err != nil {
		r.transport.CloseIdleConnections()
	}
	return response, err
}

// sendOnce sends a request and reads the complete response.
func (r *Requester) sendOnce(ctx context.Context, request Request) (Response, error) {
	return r.sendAttempt(ctx, request, func() {})
}

// sendAttempt does the same as sendOnce, and calls a function once the header of the response has
// been received.
func (r *Requester) sendAttempt(ctx context.Context, request Request, handleHeader func()) (Response, error) {
	ctx, w, stop := watcher.New(ctx, request.URL, request.Timeout, request.Timeout)
	defer stop()
	var mayHaveBeenSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { mayHaveBeenSent.Store(true) },
	})
	response, err := r.roundTrip(ctx, request, w, handleHeader)
	if err != nil {
		if silence, timedOut := errors.AsType[*watcher.SilenceError](context.Cause(ctx)); timedOut {
			err = silence
		}
		return Response{}, &RequestError{MayHaveBeenSent: mayHaveBeenSent.Load(), Err: err}
	}
	return response, nil
}

func (r *Requester) roundTrip(ctx context.Context, request Request, w *watcher.Watcher, handleHeader func()) (Response, error) {
	start := time.Now()
	httpRequest, err := newHTTPRequest(ctx, request, w)
	if err != nil {
		return Response{}, err
	}
	httpResponse, err := r.transport.RoundTrip(httpRequest)
	if err != nil {
		return Response{}, err
	}
	defer httpResponse.Body.Close()
	handleHeader()
	if err := sender.CheckStatus(httpResponse.StatusCode); err != nil {
		return Response{}, err
	}
	w.BeginPart()
	headerDelay := time.Since(start)
	body, err := io.ReadAll(io.LimitReader(w.Watch(httpResponse.Body), r.maxResponseBytes+1))
	if err != nil {
		return Response{}, err
	}
	if int64(len(body)) > r.maxResponseBytes {
		return Response{}, &fuchsiapitch.ResponseTooLargeError{Part: "body", LimitBytes: r.maxResponseBytes}
	}
	return Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body, HeaderDelay: headerDelay}, nil
}

// newHTTPRequest returns the HTTP form of a request. The watcher records its body.
func newHTTPRequest(ctx context.Context, request Request, w *watcher.Watcher) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, request.URL, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	if len(request.Body) > 0 {
		httpRequest.GetBody = func() (io.ReadCloser, error) {
			return io.NopCloser(&bodyReader{reader: w.Watch(bytes.NewReader(request.Body)), watcher: w}), nil
		}
		if httpRequest.Body, err = httpRequest.GetBody(); err != nil {
			return nil, err
		}
	}
	for name, value := range request.Header {
		httpRequest.Header.Set(name, value)
	}
	httpRequest.Header.Set("User-Agent", "fuchsiapitch")
	return httpRequest, nil
}

// bodyReader reads a request body. After its end, the response has the whole time-out.
type bodyReader struct {
	reader  io.Reader
	watcher *watcher.Watcher
}

// Read implements io.Reader.
func (b *bodyReader) Read(buffer []byte) (int, error) {
	n, err := b.reader.Read(buffer)
	if err != nil {
		b.watcher.BeginPart()
	}
	return n, err
}
