package sender

import (
	"io"
	"strings"
	"testing"
)

// Guards against a request that counts as written before its end, however its writer cuts it into pieces, and against
// one that never does.
func TestRequestWritingFollowsRequests(t *testing.T) {
	const head, length = "POST /x HTTP/1.1\r\nHost: s\r\n", "Content-Length: 6\r\n"
	tests := map[string]struct {
		text string
		// wantEnds are the numbers of bytes after which nothing of a request remains.
		wantEnds []int
	}{
		"no body":            {head + "\r\n", []int{len(head) + 2}},
		"a body":             {head + length + "\r\n\r\n\r\n\r\n", []int{len(head+length) + 8}},
		"one after another":  {head + length + "\r\nabcdef" + head + "\r\n", []int{len(head+length) + 8, 2*len(head) + len(length) + 10}},
		"a header in a body": {strings.Replace(head+length, "6", "27", 1) + "\r\n" + head, []int{2*len(head) + len(length) + 3}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(tt.text); size++ {
				w, wantEnds := &requestWriting{}, tt.wantEnds
				for start := 0; start < len(tt.text); start += size {
					end := min(start+size, len(tt.text))
					w.begin()
					if isComplete, _ := w.state(); isComplete {
						t.Fatalf("pieces of %d: got a complete request during a write", size)
					}
					w.end([]byte(tt.text[start:end]), nil)
					for len(wantEnds) > 0 && wantEnds[0] < end {
						wantEnds = wantEnds[1:]
					}
					if got, want := isWritten(w), len(wantEnds) > 0 && wantEnds[0] == end; got != want {
						t.Fatalf("pieces of %d, after %d bytes: got complete %v, want %v", size, end, got, want)
					}
				}
			}
		})
	}
}

// Guards against a connection whose reads wait for the end of a request that is not followed.
func TestRequestWritingOfUnknownLengthIsComplete(t *testing.T) {
	for name, text := range map[string]string{
		"chunks": "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", "TLS": "\x16\x03\x01\x02\x00\x01", "HTTP/2": "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x12\x04",
	} {
		t.Run(name, func(t *testing.T) {
			w := &requestWriting{}
			w.end([]byte(text), nil)
			if !isWritten(w) {
				t.Error("got an incomplete request, want one that is not followed")
			}
		})
	}
}

// Guards against a failed write that is forgotten: its error is reported to the writer alone.
func TestRequestWritingRemembersFailure(t *testing.T) {
	w := &requestWriting{}
	w.begin()
	w.end([]byte("POST"), io.ErrClosedPipe)
	w.begin()
	w.end(nil, nil)
	if _, hasFailed := w.state(); !hasFailed {
		t.Error("got no failure, want one")
	}
}

func isWritten(w *requestWriting) bool {
	isComplete, _ := w.state()
	return isComplete
}
