package sender

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// nonStreamBufferBytes is the size of the read buffer of a nonStreamBody.
const nonStreamBufferBytes = 16 << 10

// singleUseBody is a request body that cannot be read again, so that net/http cannot
// replay the request.
type singleUseBody struct{ data []byte }

// Read implements io.Reader.
func (b *singleUseBody) Read(data []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(data, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *singleUseBody) Close() error { return nil }

func isEventStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && response.StatusCode == http.StatusOK
}

// IsCloseDelimited reports whether only the end of the connection ends the response.
func IsCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// readWithTimeout reads from a response body and cancels the exchange when no byte
// arrives within the timeout. With a timeout of 0, only the deadline of the call
// limits the read.
func (x *exchange) readWithTimeout(body io.Reader, data []byte, timeout time.Duration) (int, error) {
	if timeout > 0 {
		x.readTimeoutNanos.Store(int64(timeout))
		x.readTimer.Reset(timeout)
		defer x.readTimer.Stop()
	}
	return body.Read(data)
}

// nonStreamBody reads a response that is not a token stream.
type nonStreamBody struct {
	exchange *exchange
	body     io.ReadCloser
	buffer   []byte
	finalErr error
}

func newNonStreamBody(x *exchange, body io.ReadCloser) *nonStreamBody {
	return &nonStreamBody{exchange: x, body: body, buffer: make([]byte, nonStreamBufferBytes)}
}

// Next returns the next chunk. The chunk is valid until the next call.
func (b *nonStreamBody) Next() (fuchsiapitch.Chunk, error) {
	if b.finalErr != nil {
		return fuchsiapitch.Chunk{}, b.finalErr
	}
	n, err := b.exchange.readWithTimeout(b.body, b.buffer, 0)
	if err != nil {
		b.finalErr = b.exchange.classifyReadError(err, 0)
	}
	if n > 0 {
		return fuchsiapitch.NewChunk(b.buffer[:n], 0), nil
	}
	return fuchsiapitch.Chunk{}, b.finalErr
}

// Close implements io.Closer.
func (b *nonStreamBody) Close() error {
	err := b.body.Close()
	b.exchange.cleanUp()
	return err
}

// classifyReadError returns io.EOF at the end of a complete body, and a truncation or
// connection error otherwise.
func (x *exchange) classifyReadError(err error, tokens int) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = &fuchsiapitch.TruncatedResponseError{Request: x.call.Request(), Tokens: tokens}
	default:
		err = x.unreachableError("reading the response", x.cancellationCause(err))
	}
	return err
}
