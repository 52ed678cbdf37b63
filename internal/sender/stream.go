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
	// initialBufferBytes is the initial size of the buffer of a stream.
	initialBufferBytes = 4 << 10
	// maxEventBytes is the largest size of a server-sent event.
	maxEventBytes = 1 << 20
)

var (
	lineFeed       = []byte("\n")
	eventDelimiter = []byte("\n\n")
	idFieldPrefix  = []byte("id: ")
	doneEvent      = []byte("data: [DONE]")
)

// streamBody reads a token stream. Every event has the identifier "<request>/<n>",
// where n is the number of the token: it starts at the token offset of the call
// plus 1 and increases by 1. Its other lines are fields of server-sent events. doneEvent
// ends the stream. The data of the events is not parsed.
type streamBody struct {
	exchange *exchange
	body     io.ReadCloser
	idPrefix []byte
	buffer   []byte
	// buffer[unreadStart:unreadEnd] holds the bytes that Next has not returned yet.
	unreadStart, unreadEnd int
	// searchedBytes is the number of unread bytes that contain no delimiter. The last of
	// them may be its first byte.
	searchedBytes int
	// lastTokenNumber is the number of the last valid event, at first the token
	// offset of the call.
	lastTokenNumber int
	// doneReceived is true once doneEvent has arrived.
	doneReceived bool
	// readErr is the error of the last read. Next returns it only after the events
	// that arrived before it.
	readErr  error
	finalErr error
}

func newStreamBody(x *exchange, body io.ReadCloser) *streamBody {
	return &streamBody{
		exchange: x, body: body,
		idPrefix:        []byte("id: " + string(x.call.Request()) + "/"),
		buffer:          make([]byte, initialBufferBytes),
		lastTokenNumber: x.call.TokenOffset(),
	}
}

// Next returns all complete events that have arrived; the last chunk ends with
// doneEvent. The chunk is valid until the next call.
func (b *streamBody) Next() (fuchsiapitch.Chunk, error) {
	for {
		if chunk, ok := b.takeEvents(); ok {
			return chunk, nil
		}
		if b.doneReceived {
			return fuchsiapitch.Chunk{}, io.EOF
		}
		if b.finalErr == nil && b.readErr != nil {
			b.finalErr = b.exchange.classifyReadError(b.readErr, b.lastTokenNumber)
		}
		if b.finalErr != nil {
			return fuchsiapitch.Chunk{}, b.finalErr
		}
		b.fill()
	}
}

// takeEvents returns the complete and valid events at the start of the unread
// bytes. It drops comments.
func (b *streamBody) takeEvents() (fuchsiapitch.Chunk, bool) {
	chunkStart, priorTokenNumber := b.unreadStart, b.lastTokenNumber
	for !b.doneReceived {
		n := b.findDelimiter()
		if n < 0 {
			break
		}
		event := b.buffer[b.unreadStart : b.unreadStart+n]
		if isComment(event) {
			if b.unreadStart > chunkStart {
				break
			}
			b.unreadStart += n + len(eventDelimiter)
			chunkStart = b.unreadStart
			continue
		}
		if err := b.checkEvent(event); err != nil {
			b.fail(err)
			break
		}
		b.unreadStart += n + len(eventDelimiter)
	}
	if b.unreadStart == chunkStart {
		return fuchsiapitch.Chunk{}, false
	}
	return fuchsiapitch.NewChunk(b.buffer[chunkStart:b.unreadStart], b.lastTokenNumber-priorTokenNumber), true
}

// findDelimiter returns the index of the first delimiter in the unread bytes, -1 for none.
func (b *streamBody) findDelimiter() int {
	unread := b.buffer[b.unreadStart:b.unreadEnd]
	start := max(0, b.searchedBytes-len(eventDelimiter)+1)
	n := bytes.Index(unread[start:], eventDelimiter)
	if n < 0 {
		b.searchedBytes = len(unread)
		return -1
	}
	b.searchedBytes = 0
	return start + n
}

// isComment reports whether an event is empty or a comment, which servers send as a
// keepalive.
func isComment(event []byte) bool { return len(event) == 0 || event[0] == ':' }

// isTokenData reports whether the lines behind the identifier of an event are its data and
// other fields, and not part of something else, such as the text of an error.
func isTokenData(lines []byte) bool {
	hasData := false
	for len(lines) > 0 {
		line, rest, _ := bytes.Cut(lines, lineFeed)
		field, _, ok := ParseEventField(line)
		if !ok || field == IDField {
			return false
		}
		hasData = hasData || field == DataField
		lines = rest
	}
	return hasData
}

// checkEvent validates the lines of an event and advances lastTokenNumber.
func (b *streamBody) checkEvent(event []byte) error {
	if bytes.Equal(event, doneEvent) {
		b.doneReceived = true
		return nil
	}
	request := b.exchange.call.Request()
	rest, ok := bytes.CutPrefix(event, b.idPrefix)
	if !ok {
		if got, hasID := bytes.CutPrefix(event, idFieldPrefix); hasID {
			line, _, _ := bytes.Cut(got, []byte("\n"))
			return &fuchsiapitch.MismatchedResponseError{Request: request, Got: string(line)}
		}
		return &fuchsiapitch.TruncatedResponseError{Request: request, Tokens: b.lastTokenNumber}
	}
	number, data := parseNumber(rest)
	switch {
	case number == b.lastTokenNumber+1 && len(data) > 1 && data[0] == '\n' && isTokenData(data[1:]):
		b.lastTokenNumber = number
		return nil
	case number > 0 && number <= b.lastTokenNumber:
		return &fuchsiapitch.MismatchedResponseError{Request: request, Got: string(request) + "/" + strconv.Itoa(number)}
	}
	return &fuchsiapitch.TruncatedResponseError{Request: request, Tokens: b.lastTokenNumber}
}

// parseNumber parses at most nine leading digits and returns the number and the rest.
func parseNumber(text []byte) (int, []byte) {
	number, i := 0, 0
	for i < len(text) && i < 9 && text[i] >= '0' && text[i] <= '9' {
		number = number*10 + int(text[i]-'0')
		i++
	}
	return number, text[i:]
}

// fail ends the stream with an error and closes its connection.
func (b *streamBody) fail(err error) {
	b.finalErr = err
	b.exchange.cleanUp()
}

// readTimeout returns the longest time without a byte. A separate timeout applies
// before the first token, since the engine may still be processing a long prompt.
func (b *streamBody) readTimeout() time.Duration {
	if b.lastTokenNumber == b.exchange.call.TokenOffset() {
		return b.exchange.sender.firstTokenTimeout
	}
	return b.exchange.sender.silenceTimeout
}

// fill moves the unread bytes to the start of the buffer and reads more behind them,
// into a buffer of twice the size if it is full.
func (b *streamBody) fill() {
	b.unreadEnd = copy(b.buffer, b.buffer[b.unreadStart:b.unreadEnd])
	b.unreadStart = 0
	if b.unreadEnd == len(b.buffer) {
		if len(b.buffer) >= maxEventBytes {
			truncated := &fuchsiapitch.TruncatedResponseError{Request: b.exchange.call.Request(), Tokens: b.lastTokenNumber}
			b.fail(&fuchsiapitch.ResponseTooLargeError{Part: "event", LimitBytes: maxEventBytes, Err: truncated})
			return
		}
		if b.exchange.memory.Grow(b.exchange.ctx, len(b.buffer)) != nil {
			b.fail(&fuchsiapitch.TruncatedResponseError{Request: b.exchange.call.Request(), Tokens: b.lastTokenNumber})
			return
		}
		b.buffer = append(b.buffer, make([]byte, len(b.buffer))...)
	}
	n, err := b.exchange.readWithTimeout(b.body, b.buffer[b.unreadEnd:], b.readTimeout())
	b.unreadEnd += n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.readErr = err
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	err := b.body.Close()
	b.exchange.cleanUp()
	return err
}
