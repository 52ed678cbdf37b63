package acceptor

import "fmt"

const (
	// freeHeaderBytes is the size that a header may have in any case. What it needs beyond comes
	// from a pool that all connections share.
	freeHeaderBytes = 24 << 10
	// headerSlackBytes is how much more than its limit is read of a header: the rest of the last read,
	// and what the limit does not count.
	headerSlackBytes = 8 << 10
	// defaultHeaderPoolBytes is the size of the pool if none is set.
	defaultHeaderPoolBytes = 32 << 20
)

// Responses to a request whose header is refused. It was not run.
const (
	headerTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nDate: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noHeaderRoomResponse   = "HTTP/1.1 503 Service Unavailable\r\nDate: %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// HeaderTooLargeError reports a header over its limit.
type HeaderTooLargeError struct {
	// LimitBytes is the limit in bytes.
	LimitBytes int64
}

// Error implements error.
func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("the header exceeds %d bytes", e.LimitBytes)
}

// NoHeaderRoomError reports that the host had no memory for a header.
type NoHeaderRoomError struct{}

// Error implements error.
func (e *NoHeaderRoomError) Error() string { return "not run: the host holds too many large headers" }

// HeaderTooSlowError reports a header that came too slowly while others waited for its connection.
type HeaderTooSlowError struct{}

// Error implements error.
func (e *HeaderTooSlowError) Error() string {
	return "not run: the header came too slowly while others waited"
}

// WithHeaderLimit sets a function that returns the largest size of a header in bytes, 0 for
// defaultMaxHeaderBytes, which is the largest in any case.
func WithHeaderLimit(limit func() int64) Option {
	return func(a *Acceptor) { a.headerLimit = limit }
}

// WithHeaderPool sets the memory in bytes for all headers, beyond freeHeaderBytes for each.
func WithHeaderPool(bytes int64) Option { return func(a *Acceptor) { a.headerPoolBytes = bytes } }

// currentHeaderLimit returns the largest size of a header in bytes, 0 for defaultMaxHeaderBytes.
func (a *Acceptor) currentHeaderLimit() int64 {
	if a.headerLimit == nil {
		return 0
	}
	return a.headerLimit()
}

// growHeader records that more of a header was read. The caller holds the mutex.
func (c *connection) growHeader(bytes int64) error {
	c.headerBytes += bytes
	if limit := c.acceptor.currentHeaderLimit(); limit > 0 && c.headerBytes > limit+headerSlackBytes {
		return &HeaderTooLargeError{LimitBytes: limit}
	}
	needed := c.headerBytes - freeHeaderBytes - c.pooledHeaderBytes
	if needed <= 0 {
		return nil
	}
	if c.acceptor.pooledHeaderBytes.Add(needed) > c.acceptor.headerPoolBytes {
		c.acceptor.pooledHeaderBytes.Add(-needed)
		return &NoHeaderRoomError{}
	}
	c.pooledHeaderBytes += needed
	return nil
}

// freeHeader records that the header is no longer held. The caller holds the mutex.
func (c *connection) freeHeader() {
	c.acceptor.pooledHeaderBytes.Add(-c.pooledHeaderBytes)
	c.headerBytes, c.pooledHeaderBytes = 0, 0
}

// refuseHeader responds to a request whose header is refused, and closes the connection. An encrypted
// connection gets no response, since the encryption is not done here.
func (c *connection) refuseHeader(err error) {
	reason, response := "too-large", headerTooLargeResponse
	switch err.(type) { //nolint:errorlint // startReceiving wraps none of its errors.
	case *NoHeaderRoomError:
		reason, response = "no-room", noHeaderRoomResponse
	case *HeaderTooSlowError:
		reason, response = "too-slow", timeoutResponse
	}
	c.acceptor.meter.CountRefusedHeader(reason)
	c.acceptor.log.Info().Str("caller", c.RemoteAddr().String()).Str("reason", reason).Msg("header of a request refused")
	c.mutex.Lock()
	c.recordEnding()
	c.mutex.Unlock()
	if !c.acceptor.encrypted {
		c.endWith(response)
	} else if err := c.Close(); err != nil {
		c.acceptor.log.Debug().Err(err).Msg("failed to close a connection")
	}
}
