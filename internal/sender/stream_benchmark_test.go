package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// BenchmarkStream reads streams of 1,000 tokens that arrive one event or one full
// buffer at a time.
func BenchmarkStream(b *testing.B) {
	const tokens = 1000
	var text bytes.Buffer
	for n := range tokens {
		fmt.Fprintf(&text, "id: 0123456789abcdef/%d\ndata: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" kiln\"},\"finish_reason\":null}]}\n\n", n+1)
	}
	text.WriteString("data: [DONE]\n\n")
	for name, readBytes := range map[string]int{"event by event": text.Len() / tokens, "whole buffers": 64 << 10} {
		b.Run(name, func(b *testing.B) {
			s, closeSender := New()
			defer closeSender()
			call := fuchsiapitch.NewCall("0123456789abcdef", "POST", "/", nil, fuchsiapitch.WithStream(0))
			b.ReportAllocs()
			for b.Loop() {
				x := newExchange(context.Background(), s, fuchsiapitch.BackendServer{}, call)
				body := newStreamBody(x, &chunkedReader{reader: bytes.NewReader(text.Bytes()), chunkBytes: readBytes})
				readToEnd(b, body)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
		})
	}
}

func readToEnd(b *testing.B, body fuchsiapitch.ResponseBody) {
	b.Helper()
	for {
		if _, err := body.Next(); errors.Is(err, io.EOF) {
			body.Close()
			return
		} else if err != nil {
			b.Fatal(err)
		}
	}
}

// chunkedReader reads at most chunkBytes bytes per call.
type chunkedReader struct {
	reader     *bytes.Reader
	chunkBytes int
}

func (p *chunkedReader) Read(data []byte) (int, error) {
	return p.reader.Read(data[:min(len(data), p.chunkBytes)])
}

func (p *chunkedReader) Close() error { return nil }
