// Package collector reads the bodies of clients' requests within one bound for all that a host
// holds.
//
// Memory is taken as bytes arrive, whatever the client announces, from a pool that the callers
// share (see allocator). A body that gets none is not read on: its bytes stay with the client. While
// one waits, bodies that make no progress are given up, and after a time the one that waits.
package collector

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

const (
	// firstBlockBytes and maxBlockBytes bound the blocks in which a body is read.
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 64 << 10
	// defaultStallTimeout is the time after which a body that makes no progress is given up if
	// others wait for memory.
	defaultStallTimeout = time.Second
	// minProgressBytes is what counts as progress.
	minProgressBytes = 1 << 10
	// defaultWaitTimeout is the longest time for which a body waits for memory.
	defaultWaitTimeout = 3 * time.Second
	// impatientWaitTimeout is the same if the host has no connections left.
	impatientWaitTimeout = 200 * time.Millisecond
	// reliefInterval is the time between two looks for stalled bodies while others wait.
	reliefInterval = 50 * time.Millisecond
)

// Collector reads bodies. It is safe for concurrent use.
type Collector struct {
	memory                    *allocator.Allocator
	stallTimeout, waitTimeout time.Duration
	log                       zerolog.Logger
	meter                     *meter.Meter

	mutex    sync.Mutex
	readings map[*reading]struct{}
	// waiting is the number of bodies that wait for memory, relief the timer that gives up stalled
	// ones meanwhile.
	waiting int
	relief  *time.Timer
}

// Option sets one optional property of a collector.
type Option func(*Collector)

// WithPool sets the memory for all bodies in bytes, beyond allocator.FreeBytes for each.
func WithPool(bytes int) Option {
	return func(c *Collector) { c.memory = allocator.New(allocator.WithPool(bytes)) }
}

// WithStallTimeout sets the time after which a body without progress is given up if others wait.
func WithStallTimeout(timeout time.Duration) Option {
	return func(c *Collector) { c.stallTimeout = timeout }
}

// WithWaitTimeout sets the longest time for which a body waits for memory.
func WithWaitTimeout(timeout time.Duration) Option {
	return func(c *Collector) { c.waitTimeout = timeout }
}

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(c *Collector) { c.log = log } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(c *Collector) { c.meter = m } }

// New returns a collector.
func New(options ...Option) *Collector {
	c := &Collector{
		memory: allocator.New(), stallTimeout: defaultStallTimeout, waitTimeout: defaultWaitTimeout,
		log: zerolog.Nop(), meter: meter.New(), readings: make(map[*reading]struct{}),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// UsedBytes returns the number of bytes that bodies take from the pool.
func (c *Collector) UsedBytes() int { return c.memory.UsedBytes() }

// Terms are what holds for one body. It is a plain record.
type Terms struct {
	// Caller is who shares the pool with the others.
	Caller string
	// LimitBytes is the largest size of the body.
	LimitBytes int64
	// Deadline is the time by which it must be complete.
	Deadline time.Time
}

// Collect reads the body of a request to its end. After an error the connection of the request
// ends with its response, and nothing more is read from it. The error is a TooLargeError, a
// NoRoomError, a TooSlowError or an UnreadableError; the request was not run.
func (c *Collector) Collect(w http.ResponseWriter, request *http.Request, terms Terms) (*Body, error) {
	body, err := c.collect(w, request, terms)
	if err == nil {
		return body, nil
	}
	endConnection(w)
	c.meter.CountRefusedBody(reasonOf(err))
	c.log.Debug().Str("caller", request.RemoteAddr).Err(err).Msg("body of a request refused")
	return nil, err
}

func (c *Collector) collect(w http.ResponseWriter, request *http.Request, terms Terms) (*Body, error) {
	if request.ContentLength > terms.LimitBytes {
		return nil, &TooLargeError{LimitBytes: terms.LimitBytes}
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	x := &reading{collector: c, controller: http.NewResponseController(w), request: request, terms: terms, progressAt: time.Now()}
	// This fails if the writer does not support deadlines.
	_ = x.controller.SetReadDeadline(terms.Deadline)
	var release func()
	x.memory, release = c.memory.Open(terms.Caller)
	c.add(x)
	blocks, err := x.readBlocks()
	c.remove(x)
	if err != nil {
		release()
		return nil, err
	}
	_ = x.controller.SetReadDeadline(time.Time{})
	return &Body{blocks: blocks, memory: x.memory, release: release, waitTimeout: c.waitTimeout}, nil
}

// endConnection makes the HTTP server close the connection after the response, in a way in which
// the client receives it, and read nothing more from it.
func endConnection(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// The HTTP server half-closes a connection, and waits, only if a limit of this reader was hit.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// MakeRoom gives up the bodies that make no progress and those that have waited for memory, so that
// their connections end. It returns their number.
func (c *Collector) MakeRoom() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n, before := 0, time.Now().Add(-impatientWaitTimeout)
	for x := range c.readings {
		if x.isWaiting && x.waitingSince.Before(before) {
			x.cancelWait()
			n++
		}
	}
	return n + c.giveUpStalled(func(*reading) bool { return true })
}

// giveUpStalled gives up the stalled bodies for which a condition holds. The caller holds the
// mutex.
func (c *Collector) giveUpStalled(condition func(*reading) bool) int {
	n, before := 0, time.Now().Add(-c.stallTimeout)
	for x := range c.readings {
		if !x.isWaiting && !x.isGivenUp && x.progressAt.Before(before) && condition(x) {
			x.isGivenUp = true
			_ = x.controller.SetReadDeadline(time.Unix(1, 0))
			n++
		}
	}
	return n
}

func (c *Collector) add(x *reading) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readings[x] = struct{}{}
}

func (c *Collector) remove(x *reading) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.readings, x)
}

// startWaiting records that a body waits for memory.
func (c *Collector) startWaiting(x *reading, cancel context.CancelFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x.isWaiting, x.waitingSince, x.cancelWait = true, time.Now(), cancel
	if c.waiting++; c.waiting == 1 {
		c.relief = time.AfterFunc(reliefInterval, c.relieve)
	}
}

// stopWaiting records that a body no longer waits.
func (c *Collector) stopWaiting(x *reading) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x.isWaiting, x.progressAt = false, time.Now()
	if c.waiting--; c.waiting == 0 {
		c.relief.Stop()
	}
}

// relieve gives up stalled bodies that take memory, as long as others wait for it.
func (c *Collector) relieve() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting == 0 {
		return
	}
	c.giveUpStalled(func(x *reading) bool { return x.bytes > allocator.FreeBytes })
	c.relief.Reset(reliefInterval)
}

// reading is one body that is being read.
type reading struct {
	collector  *Collector
	controller *http.ResponseController
	request    *http.Request
	terms      Terms
	memory     *allocator.Response

	// The fields below are guarded by the mutex of the collector. bytes is the memory taken so
	// far, progressBytes how much has been read since progressAt.
	bytes, progressBytes int
	progressAt           time.Time
	isWaiting, isGivenUp bool
	waitingSince         time.Time
	cancelWait           context.CancelFunc
}

// readBlocks reads the body to its end.
func (x *reading) readBlocks() ([][]byte, error) {
	var blocks [][]byte
	total := 0
	for {
		size := min(max(firstBlockBytes, total), maxBlockBytes)
		if n := x.request.ContentLength; n >= 0 {
			// One byte more shows the end of the body.
			size = min(size, int(n)-total+1)
		}
		if err := x.grow(size); err != nil {
			return nil, err
		}
		block, err := x.readBlock(size)
		total += len(block)
		if len(block) > 0 {
			blocks = append(blocks, block)
		}
		switch {
		case int64(total) > x.terms.LimitBytes:
			return nil, &TooLargeError{LimitBytes: x.terms.LimitBytes}
		case errors.Is(err, io.EOF):
			return blocks, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, &TooSlowError{WhileOthersWaited: x.wasGivenUp()}
		case err != nil:
			return nil, &UnreadableError{Err: err}
		}
	}
}

// readBlock reads a number of bytes, fewer if the error is not nil.
func (x *reading) readBlock(size int) ([]byte, error) {
	block, read := make([]byte, size), 0
	for read < size {
		n, err := x.request.Body.Read(block[read:])
		read += n
		x.recordProgress(n)
		if err != nil {
			return block[:read], err
		}
	}
	return block, nil
}

func (x *reading) recordProgress(bytes int) {
	x.collector.mutex.Lock()
	defer x.collector.mutex.Unlock()
	if x.progressBytes += bytes; x.progressBytes >= minProgressBytes {
		x.progressBytes, x.progressAt = 0, time.Now()
	}
}

func (x *reading) wasGivenUp() bool {
	x.collector.mutex.Lock()
	defer x.collector.mutex.Unlock()
	return x.isGivenUp
}

// grow takes memory for further bytes, and waits for it if it must. Its error is a NoRoomError.
func (x *reading) grow(bytes int) error {
	if !x.memory.TryGrow(bytes) {
		if err := x.awaitMemory(bytes); err != nil {
			return err
		}
	}
	x.collector.mutex.Lock()
	defer x.collector.mutex.Unlock()
	x.bytes += bytes
	return nil
}

func (x *reading) awaitMemory(bytes int) error {
	ctx, cancel := context.WithTimeout(x.request.Context(), min(x.collector.waitTimeout, time.Until(x.terms.Deadline)))
	defer cancel()
	x.collector.startWaiting(x, cancel)
	defer x.collector.stopWaiting(x)
	if err := x.memory.Grow(ctx, bytes); err != nil {
		return &NoRoomError{RetryAfter: x.collector.stallTimeout}
	}
	return nil
}
