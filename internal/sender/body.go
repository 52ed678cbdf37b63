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

// plainBytes is the size of the pieces of a plain answer.
const plainBytes = 16 << 10

// onceBody is the body of a request. It offers no way to read it again, so
// that package net/http cannot replay the request.
type onceBody struct{ data []byte }

// Read implements io.Reader.
func (b *onceBody) Read(data []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(data, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }

func isEventStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && response.StatusCode == http.StatusOK
}

// isUnbounded reports whether only the end of the connection ends the answer.
func isUnbounded(response *http.Response) bool {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return true
	}
	return response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// read reads from the body of an answer and gives the exchange up when no byte
// comes within a limit. Without a limit it may take until the deadline.
func (x *exchange) read(body io.Reader, data []byte, limit time.Duration) (int, error) {
	if limit > 0 {
		x.limit.Store(int64(limit))
		x.timer.Reset(limit)
		defer x.timer.Stop()
	}
	return body.Read(data)
}

// plainBody reads an answer that is not a stream of tokens.
type plainBody struct {
	exchange *exchange
	body     io.ReadCloser
	buffer   []byte
	ended    error
}

func newPlainBody(x *exchange, body io.ReadCloser) *plainBody {
	return &plainBody{exchange: x, body: body, buffer: make([]byte, plainBytes)}
}

// Next implements fuchsiapitch.AnswerBody.
func (b *plainBody) Next() (fuchsiapitch.Chunk, error) {
	if b.ended != nil {
		return fuchsiapitch.Chunk{}, b.ended
	}
	n, err := b.exchange.read(b.body, b.buffer, 0)
	if err != nil {
		b.ended = b.exchange.ending(err, 0)
	}
	if n > 0 {
		return fuchsiapitch.NewChunk(b.buffer[:n], 0), nil
	}
	return fuchsiapitch.Chunk{}, b.ended
}

// Close implements io.Closer.
func (b *plainBody) Close() error {
	err := b.body.Close()
	b.exchange.end()
	return err
}

// ending maps the error at the end of a body and reports all but a whole end.
func (x *exchange) ending(err error, tokens int) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = &fuchsiapitch.TruncatedResponseError{Request: x.call.Request(), Tokens: tokens}
	default:
		err = x.lost("reading the answer", err)
	}
	return err
}
