package sender

import (
	"bytes"
	"strconv"
	"sync"
)

const (
	// maxFollowedHeaderBytes is the size of the largest request header whose end is looked for.
	maxFollowedHeaderBytes = 1 << 20
	// unknownBodyBytes stands for a request body whose length its header does not state.
	unknownBodyBytes = -1
)

var (
	headerEnd          = []byte("\r\n\r\n")
	contentLengthField = []byte("\r\nContent-Length: ")
	chunkedField       = []byte("\r\nTransfer-Encoding: chunked\r\n")
)

// requestWriting follows the HTTP/1.1 requests that are written to a connection, as net/http writes them, one after
// the other. Other protocols are not followed.
type requestWriting struct {
	mutex sync.Mutex
	// isWriting is true during a write, which the server may answer before it returns.
	isWriting bool
	// header is the start of a header whose end has not been written.
	header []byte
	// bodyBytesLeft is the number of bytes of the body that have not been written.
	bodyBytesLeft int64
	// isOpaque is true if something else than a request of known length was written.
	isOpaque bool
	// hasFailed is true if a write has failed.
	hasFailed bool
}

// state reports whether nothing of a request remains to be written, and whether a write has failed. The rest of a
// request that is not followed is unknown, and counts as written.
func (w *requestWriting) state() (isComplete, hasFailed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.isWriting && (w.isOpaque || w.bodyBytesLeft == 0 && len(w.header) == 0), w.hasFailed
}

// begin records that a write begins.
func (w *requestWriting) begin() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isWriting = true
}

// end records the bytes that a write has written, and whether it failed.
func (w *requestWriting) end(data []byte, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isWriting = false
	w.hasFailed = w.hasFailed || err != nil
	for len(data) > 0 && !w.isOpaque {
		if w.bodyBytesLeft > 0 {
			n := min(w.bodyBytesLeft, int64(len(data)))
			w.bodyBytesLeft -= n
			data = data[n:]
			continue
		}
		data = w.recordHeader(data)
	}
}

// recordHeader records bytes of a header and returns those behind its end.
func (w *requestWriting) recordHeader(data []byte) []byte {
	header := data
	if len(w.header) > 0 {
		w.header = append(w.header, data...)
		header = w.header
	}
	end := bytes.Index(header, headerEnd)
	if end < 0 {
		w.header = bytes.Clone(header)
		w.isOpaque = header[0] < 'A' || header[0] > 'Z' || len(header) > maxFollowedHeaderBytes
		return nil
	}
	w.header = nil
	w.bodyBytesLeft = parseBodyBytes(header[:end+2])
	w.isOpaque = w.bodyBytesLeft == unknownBodyBytes
	return header[end+len(headerEnd):]
}

// parseBodyBytes returns the length of the body of a request by the lines of its header, unknownBodyBytes if
// it is not stated.
func parseBodyBytes(header []byte) int64 {
	if bytes.Contains(header, chunkedField) {
		return unknownBodyBytes
	}
	_, rest, ok := bytes.Cut(header, contentLengthField)
	if !ok {
		return 0
	}
	value, _, _ := bytes.Cut(rest, []byte("\r\n"))
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return unknownBodyBytes
	}
	return n
}
