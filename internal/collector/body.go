package collector

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
)

// Body is a complete body. It may be used until Release is called. A nil Body is empty.
type Body struct {
	blocks  [][]byte
	memory  *allocator.Response
	release func()
	// waitTimeout is the longest time for which Join waits for memory.
	waitTimeout time.Duration
}

// Length returns the size of the body in bytes.
func (b *Body) Length() int {
	if b == nil {
		return 0
	}
	n := 0
	for _, block := range b.blocks {
		n += len(block)
	}
	return n
}

// NewReader returns a reader of the body from its beginning. It cannot be rewound.
func (b *Body) NewReader() io.Reader { return &blockReader{blocks: b.blocks} }

// Join returns the body in one piece. It waits for memory if there are several blocks. Its error
// is a NoRoomError.
func (b *Body) Join(ctx context.Context) ([]byte, error) {
	if b.Length() == 0 {
		return nil, nil
	}
	if len(b.blocks) == 1 {
		return b.blocks[0], nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.waitTimeout)
	defer cancel()
	if err := b.memory.Grow(ctx, b.Length()); err != nil {
		return nil, &NoRoomError{RetryAfter: b.waitTimeout}
	}
	joined := bytes.Join(b.blocks, nil)
	b.blocks = [][]byte{joined}
	return joined, nil
}

// Release frees the memory of the body.
func (b *Body) Release() {
	if b != nil {
		b.release()
	}
}

// blockReader reads blocks once.
type blockReader struct {
	blocks [][]byte
	// read is how much of the first block has been read.
	read int
}

// Read implements io.Reader.
func (r *blockReader) Read(data []byte) (int, error) {
	if len(r.blocks) == 0 {
		return 0, io.EOF
	}
	n := copy(data, r.blocks[0][r.read:])
	if r.read += n; r.read == len(r.blocks[0]) {
		r.blocks, r.read = r.blocks[1:], 0
	}
	return n, nil
}
