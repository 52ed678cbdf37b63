package sender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func newSplitBody(s *Sender, text []byte, chunkBytes int) *streamBody {
	call := fuchsiapitch.NewCall("r1", "POST", "/", nil, fuchsiapitch.WithStream(0))
	x := newExchange(context.Background(), s, fuchsiapitch.BackendServer{}, call)
	return newStreamBody(x, &chunkedReader{reader: bytes.NewReader(text), chunkBytes: chunkBytes})
}

// A stream is read alike wherever the reads split its delimiters.
func TestStreamInSmallReads(t *testing.T) {
	s, closeSender := New()
	t.Cleanup(closeSender)
	const first, second, end = "id: r1/1\ndata: a\n\n", "id: r1/2\ndata: b\n\n", "data: [DONE]\n\n"
	const text = first + ": alive\n\n" + second + ": alive\n\n\n\n" + end
	for chunkBytes := 1; chunkBytes <= len(text); chunkBytes++ {
		body := newSplitBody(s, []byte(text), chunkBytes)
		var got strings.Builder
		chunk, err := body.Next()
		for ; err == nil; chunk, err = body.Next() {
			got.Write(chunk.Data())
		}
		body.Close()
		if want := first + second + end; got.String() != want || !errors.Is(err, io.EOF) {
			t.Errorf("got %q and %v in reads of %d bytes, want %q", got.String(), err, chunkBytes, want)
		}
	}
}

// BenchmarkEndlessEvent reads an event that exceeds its limit, 64 bytes at a time.
func BenchmarkEndlessEvent(b *testing.B) {
	s, closeSender := New()
	defer closeSender()
	text := bytes.Repeat([]byte("data: x\n"), 256<<10)
	for b.Loop() {
		body := newSplitBody(s, text, 64)
		if _, err := body.Next(); err == nil {
			b.Fatal("got an event, want an error")
		}
		body.Close()
	}
}
