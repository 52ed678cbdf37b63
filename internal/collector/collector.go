// Package collector reads the bodies of clients' requests within one bound for all that a host
// holds.
//
// Memory is taken as bytes arrive, whatever the client announces, from a pool that the callers
// share (see allocator). A body that gets none is not read on: its bytes stay with the client. While
// one waits, bodies that make no progress are given up, then the slowest ones, and after a time the
// one that waits. The slowest ones also give way while connections wait for their places.
package collector

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
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
	// others wait for memory. A body that has been read for as long gives way, if it is the slowest, to
	// one that has waited for memory for as long, and to connections that wait for a place.
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
	// maxBodies is the number of bodies that are read at the same time, 0 for no bound.
	maxBodies int
	log       zerolog.Logger
	meter     *meter.Meter

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

// WithMaxBodies bounds the number of bodies that are read at the same time. Beyond it the slowest one
// gives way to the next one, unless all have been read for a short time only: then the next one is
// refused.
func WithMaxBodies(bodies int) Option { return func(c *Collector) { c.maxBodies = bodies } }

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
	now := time.Now()
	x := &reading{collector: c, controller: http.NewResponseController(w), request: request, terms: terms, startedAt: now, progressAt: now}
	// This fails if the writer does not support deadlines.
	_ = x.controller.SetReadDeadline(terms.Deadline)
	if !c.add(x) {
		return nil, &NoRoomError{RetryAfter: c.stallTimeout}
	}
	var release func()
	x.memory, release = c.memory.Open(terms.Caller)
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
	// The HTTP server half-closes a connection, and waits, only if a limit of this reader was hit.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	closeConnection(w)
}

// closeConnection makes the HTTP server close the connection after the response, and read nothing
// more from it.
func closeConnection(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// MakeRoom gives up bodies, the slowest first, so that the connections of a number of them end. It
// leaves those that have been read for a short time only. It returns how many it has given up now.
func (c *Collector) MakeRoom(wanted int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for x := range c.readings {
		if x.isGivenUp {
			wanted--
		}
	}
	return giveUpSlowest(c.overdue(now), wanted, now)
}

// giveUpSlowest gives up a number of bodies. It returns how many it has given up. The caller holds
// the mutex of the collector.
func giveUpSlowest(candidates []*reading, wanted int, now time.Time) int {
	slices.SortFunc(candidates, func(a, b *reading) int { return cmp.Compare(a.rate(now), b.rate(now)) })
	candidates = candidates[:max(0, min(wanted, len(candidates)))]
	for _, x := range candidates {
		x.giveUp()
	}
	return len(candidates)
}

// add records a body that is about to be read, and reports whether it may be.
func (c *Collector) add(x *reading) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.maxBodies > 0 && len(c.readings) >= c.maxBodies && giveUpSlowest(c.overdue(x.startedAt), 1, x.startedAt) == 0 {
		return false
	}
	c.readings[x] = struct{}{}
	return true
}

// overdue returns the bodies that have been read for so long that they give way to others. The caller
// holds the mutex.
func (c *Collector) overdue(now time.Time) []*reading {
	var overdue []*reading
	for x := range c.readings {
		if !x.isGivenUp && (x.hasLasted(now, c.stallTimeout) || x.isWaiting && now.Sub(x.waitingSince) > impatientWaitTimeout) {
			overdue = append(overdue, x)
		}
	}
	return overdue
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

// relieve gives up bodies that take memory, as long as others wait for it: those that have stalled,
// and the slowest one if another has waited for long.
func (c *Collector) relieve() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting == 0 {
		return
	}
	now, isUrgent := time.Now(), false
	var candidates []*reading
	for x := range c.readings {
		switch {
		case x.isWaiting:
			isUrgent = isUrgent || now.Sub(x.waitingSince) > c.stallTimeout
		case x.isGivenUp || x.bytes <= allocator.FreeBytes:
		case now.Sub(x.progressAt) > c.stallTimeout:
			x.giveUp()
		case x.hasLasted(now, c.stallTimeout):
			candidates = append(candidates, x)
		}
	}
	if isUrgent {
		giveUpSlowest(candidates, 1, now)
	}
	c.relief.Reset(reliefInterval)
}

// reading is one body that is being read.
type reading struct {
	collector  *Collector
	controller *http.ResponseController
	request    *http.Request
	terms      Terms
	memory     *allocator.Response

	startedAt time.Time

	// The fields below are guarded by the mutex of the collector. bytes is the memory taken so
	// far, readBytes how much has been read, progressBytes how much of that since progressAt.
	bytes, readBytes, progressBytes int
	progressAt                      time.Time
	isWaiting, isGivenUp            bool
	waitingSince                    time.Time
	cancelWait                      context.CancelFunc
}

// hasLasted reports whether the body has been read for longer than a time, waits included.
func (x *reading) hasLasted(now time.Time, period time.Duration) bool {
	return now.Sub(x.startedAt) > period
}

// rate returns the mean rate at which the body has come, in bytes a second.
func (x *reading) rate(now time.Time) float64 {
	return float64(x.readBytes) / max(now.Sub(x.startedAt), time.Millisecond).Seconds()
}

// giveUp ends the reading. The caller holds the mutex of the collector.
func (x *reading) giveUp() {
	x.isGivenUp = true
	if x.isWaiting {
		x.cancelWait()
		return
	}
	// This fails if the writer does not support deadlines.
	_ = x.controller.SetReadDeadline(time.Unix(1, 0))
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
	x.readBytes += bytes
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
	// The memory may be granted at the moment at which the body is given up.
	if err := x.memory.Grow(ctx, bytes); err != nil || x.wasGivenUp() {
		return &NoRoomError{RetryAfter: x.collector.stallTimeout}
	}
	return nil
}
