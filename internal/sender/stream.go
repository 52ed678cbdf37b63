package sender

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// streamBytes is the first size of the buffer of a stream.
	streamBytes = 4 << 10
	// eventLimitBytes is the largest server-sent event.
	eventLimitBytes = 1 << 20
)

var (
	eventEnd   = []byte("\n\n")
	idField    = []byte("id: ")
	terminator = []byte("data: [DONE]")
)

// streamBody reads a stream of tokens. Every event has the identifier
// "<request>/<n>", with n rising by one from the offset, and the stream ends
// with the terminator. The content of the events is not looked at.
type streamBody struct {
	exchange *exchange
	body     io.ReadCloser
	prefix   []byte
	buffer   []byte
	// start and end bound the bytes in the buffer that are not handed out yet.
	start, end int
	tokens     int
	done       bool
	// broken is the error of the last read, to be judged once the events that
	// arrived before it are handed out.
	broken error
	ended  error
}

func newStreamBody(x *exchange, body io.ReadCloser) *streamBody {
	return &streamBody{
		exchange: x, body: body,
		prefix: []byte("id: " + string(x.call.Request()) + "/"),
		buffer: make([]byte, streamBytes),
		tokens: x.call.TokenOffset(),
	}
}

// Next implements fuchsiapitch.AnswerBody. It returns all whole events that
// have arrived; the last piece ends with the terminator.
func (b *streamBody) Next() (fuchsiapitch.Chunk, error) {
	for {
		if c, ok := b.take(); ok {
			return c, nil
		}
		if b.done {
			return fuchsiapitch.Chunk{}, io.EOF
		}
		if b.ended == nil && b.broken != nil {
			b.ended = b.exchange.ending(b.broken, b.tokens)
		}
		if b.ended != nil {
			return fuchsiapitch.Chunk{}, b.ended
		}
		b.fill()
	}
}

// take hands out the whole valid events at the front of the buffer.
func (b *streamBody) take() (fuchsiapitch.Chunk, bool) {
	from, before := b.start, b.tokens
	for !b.done {
		n := bytes.Index(b.buffer[b.start:b.end], eventEnd)
		if n < 0 {
			break
		}
		event := b.buffer[b.start : b.start+n]
		if isComment(event) {
			if b.start > from {
				break
			}
			b.start += n + len(eventEnd)
			from = b.start
			continue
		}
		if err := b.check(event); err != nil {
			b.stop(err)
			break
		}
		b.start += n + len(eventEnd)
	}
	if b.start == from {
		return fuchsiapitch.Chunk{}, false
	}
	return fuchsiapitch.NewChunk(b.buffer[from:b.start], b.tokens-before), true
}

// isComment reports whether an event carries nothing but proof of life.
func isComment(event []byte) bool { return len(event) == 0 || event[0] == ':' }

// check takes in one event.
func (b *streamBody) check(event []byte) error {
	if bytes.Equal(event, terminator) {
		b.done = true
		return nil
	}
	request := b.exchange.call.Request()
	rest, ok := bytes.CutPrefix(event, b.prefix)
	if !ok {
		if got, named := bytes.CutPrefix(event, idField); named {
			line, _, _ := bytes.Cut(got, []byte("\n"))
			return &fuchsiapitch.MismatchedResponseError{Request: request, Got: string(line)}
		}
		return &fuchsiapitch.TruncatedResponseError{Request: request, Tokens: b.tokens}
	}
	number, data := parseNumber(rest)
	switch {
	case number == b.tokens+1 && len(data) > 1 && data[0] == '\n':
		b.tokens = number
		return nil
	case number > 0 && number <= b.tokens:
		return &fuchsiapitch.MismatchedResponseError{Request: request, Got: string(request) + "/" + strconv.Itoa(number)}
	}
	return &fuchsiapitch.TruncatedResponseError{Request: request, Tokens: b.tokens}
}

// parseNumber reads the digits at the front, at most nine, and returns the rest.
func parseNumber(text []byte) (int, []byte) {
	number, i := 0, 0
	for i < len(text) && i < 9 && text[i] >= '0' && text[i] <= '9' {
		number = number*10 + int(text[i]-'0')
		i++
	}
	return number, text[i:]
}

// stop ends the stream with an error and closes its connection.
func (b *streamBody) stop(err error) {
	b.ended = err
	b.exchange.end()
}

// limit returns the longest time without a byte. An engine that has not begun
// may be at work on a long prompt.
func (b *streamBody) limit() time.Duration {
	if b.tokens == b.exchange.call.TokenOffset() {
		return b.exchange.sender.prompt
	}
	return b.exchange.sender.silence
}

// fill reads more bytes behind those in the buffer.
func (b *streamBody) fill() {
	b.end = copy(b.buffer, b.buffer[b.start:b.end])
	b.start = 0
	if b.end == len(b.buffer) {
		if len(b.buffer) >= eventLimitBytes {
			b.stop(&fuchsiapitch.TruncatedResponseError{Request: b.exchange.call.Request(), Tokens: b.tokens})
			return
		}
		b.buffer = append(b.buffer, make([]byte, len(b.buffer))...)
	}
	n, err := b.exchange.read(b.body, b.buffer[b.end:], b.limit())
	b.end += n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.broken = err
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	err := b.body.Close()
	b.exchange.end()
	return err
}
