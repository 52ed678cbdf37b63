package relayer

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

const (
	// slowReaderTimeout is the time without progress of a write to a client after which the host
	// reads the rest of its stream on, so that the server's slot does not wait for the client.
	slowReaderTimeout = 500 * time.Millisecond
	// slowReaderCheckInterval is the time between two looks for such clients.
	slowReaderCheckInterval = 250 * time.Millisecond
	// backlogBlockBytes is the size of the blocks of a backlog.
	backlogBlockBytes = 4 << 10
	// maxBacklogBlocks bounds the backlog of one stream.
	maxBacklogBlocks = (1 << 20) / backlogBlockBytes
	// backlogRetryInterval is the time between two attempts to get memory for a block.
	backlogRetryInterval = 50 * time.Millisecond
)

// slowReaders looks for streams whose clients do not read, as long as there are streams.
type slowReaders struct {
	meter *meter.Meter

	mutex    sync.Mutex
	backlogs map[*backlog]struct{}
	timer    *time.Timer
}

func (s *slowReaders) add(b *backlog) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.backlogs == nil {
		s.backlogs = make(map[*backlog]struct{})
	}
	s.backlogs[b] = struct{}{}
	if len(s.backlogs) == 1 {
		s.timer = time.AfterFunc(slowReaderCheckInterval, s.check)
	}
}

func (s *slowReaders) remove(b *backlog) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.backlogs, b)
	if len(s.backlogs) == 0 {
		s.timer.Stop()
	}
}

func (s *slowReaders) check() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.backlogs) == 0 {
		return
	}
	before := time.Now().Add(-slowReaderTimeout).UnixNano()
	for b := range s.backlogs {
		if since := b.writingSince.Load(); since != 0 && since < before {
			if b.start() {
				s.meter.CountSlowReader()
			}
		}
	}
	s.timer.Reset(slowReaderCheckInterval)
}

// backlog is the source of a stream. Its Read reads the body of the response until a write to the
// client does not end in time. From then on a goroutine reads the body to its end, into memory of
// the caller, and waits when that is used up.
type backlog struct {
	ctx    context.Context //nolint:containedctx // It lives as long as the stream.
	cancel context.CancelFunc
	body   io.Reader
	memory *allocator.Response
	// onData is called when bytes arrive, and onMore instead once the goroutine reads. It calls onEnd
	// when it has read the body to its end.
	onData, onMore, onEnd func()
	// writingSince is the time in Unix nanoseconds since which the client is written to, 0 while
	// it is not.
	writingSince atomic.Int64

	mutex     sync.Mutex
	isStarted bool
	// blocks have been read and not been passed on, read is how much of the first one has. spare
	// are blocks that may be used again, taken is the number of all of them.
	blocks [][]byte
	read   int
	spare  [][]byte
	taken  int
	// err is that of the body, after all blocks.
	err error
	// filled has a value when blocks or err have changed, spared when a block may be used again.
	// ended is closed when the goroutine ends.
	filled, spared, ended chan struct{}
}

func newBacklog(ctx context.Context, body io.Reader, memory *allocator.Response, onData, onMore, onEnd func()) *backlog {
	b := &backlog{body: body, memory: memory, onData: onData, onMore: onMore, onEnd: onEnd}
	b.ctx, b.cancel = context.WithCancel(ctx)
	return b
}

// Read implements io.Reader.
func (b *backlog) Read(data []byte) (int, error) {
	b.mutex.Lock()
	if !b.isStarted {
		b.mutex.Unlock()
		n, err := b.body.Read(data)
		if n > 0 {
			b.onData()
		}
		return n, err
	}
	defer b.mutex.Unlock()
	for len(b.blocks) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.mutex.Unlock()
		<-b.filled
		b.mutex.Lock()
	}
	first := b.blocks[0]
	n := copy(data, first[b.read:])
	if b.read += n; b.read == len(first) {
		b.blocks, b.read, b.spare = b.blocks[1:], 0, append(b.spare, first[:0])
		signal(b.spared)
	}
	return n, nil
}

// write calls a function that writes to the client.
func (b *backlog) write(write func() error) error {
	b.writingSince.Store(time.Now().UnixNano())
	err := write()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.writingSince.Store(0)
	return err
}

// start lets a goroutine read the body, unless the write has ended. It reports whether it has.
func (b *backlog) start() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.isStarted || b.writingSince.Load() == 0 {
		return false
	}
	b.isStarted = true
	b.filled, b.spared, b.ended = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	go func() {
		defer close(b.ended)
		b.readOn()
	}()
	return true
}

// close ends the goroutine. The body must have been closed.
func (b *backlog) close() {
	b.cancel()
	b.mutex.Lock()
	ended := b.ended
	b.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}

// readOn reads the body to its end, or until the context ends.
func (b *backlog) readOn() {
	data := make([]byte, backlogBlockBytes)
	for {
		n, err := b.body.Read(data)
		if n > 0 {
			b.onMore()
		}
		for rest := data[:n]; len(rest) > 0; {
			added, appendErr := b.append(rest)
			if rest = rest[added:]; appendErr != nil {
				err = appendErr
				break
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			b.onEnd()
		}
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.err = err
		signal(b.filled)
		return
	}
}

// append adds as much data as fits into a block, and waits for one.
func (b *backlog) append(data []byte) (int, error) {
	for {
		b.mutex.Lock()
		if len(b.blocks) == 0 || len(b.blocks[len(b.blocks)-1]) == backlogBlockBytes {
			if block := b.takeBlock(); block != nil {
				b.blocks = append(b.blocks, block)
			} else {
				b.mutex.Unlock()
				if err := b.awaitBlock(); err != nil {
					return 0, err
				}
				continue
			}
		}
		defer b.mutex.Unlock()
		last := &b.blocks[len(b.blocks)-1]
		n := min(len(data), backlogBlockBytes-len(*last))
		*last = append(*last, data[:n]...)
		signal(b.filled)
		return n, nil
	}
}

// takeBlock returns an empty block, nil if there is no memory for one. The caller holds the mutex.
func (b *backlog) takeBlock() []byte {
	if n := len(b.spare); n > 0 {
		block := b.spare[n-1]
		b.spare = b.spare[:n-1]
		return block
	}
	if b.taken >= maxBacklogBlocks || !b.memory.TryGrow(backlogBlockBytes) {
		return nil
	}
	b.taken++
	return make([]byte, 0, backlogBlockBytes)
}

// awaitBlock waits until there may be a block. Its error is that of the context.
func (b *backlog) awaitBlock() error {
	timer := time.NewTimer(backlogRetryInterval)
	defer timer.Stop()
	select {
	case <-b.spared:
	case <-timer.C:
	case <-b.ctx.Done():
		return b.ctx.Err()
	}
	return nil
}

// signal puts a value into a channel unless there is one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
