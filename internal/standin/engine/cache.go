package engine

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	blockBytes      = 256
	bytesPerToken   = 4
	cacheTokenBytes = 1024
	maxEvents       = 4096
)

// cacheEvent is a report of a kept or dropped prefix.
type cacheEvent struct {
	at       time.Time
	sequence uint64
	prefix   uint64
	evicted  bool
}

// cache keeps the most recently used prompt prefixes. The identifier of a
// prefix is the hash of its bytes; prefixes end at block ends and prompt ends.
type cache struct {
	mu       sync.Mutex
	limit    int64
	used     int64
	recent   *list.List
	blocks   map[uint64]*list.Element
	events   []cacheEvent
	sequence uint64
}

type block struct {
	prefix uint64
	bytes  int64
}

func newCache(limit int64) *cache {
	return &cache{limit: limit, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.recent, c.blocks = 0, list.New(), make(map[uint64]*list.Element)
	c.events, c.sequence = nil, 0
}

func (c *cache) bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// prefixes returns the identifiers of the prefixes of a prompt, shortest first,
// and the length of each in bytes.
func prefixes(prompt string) (identifiers []uint64, ends []int) {
	h := xxhash.New()
	for start := 0; start < len(prompt); start += blockBytes {
		end := min(start+blockBytes, len(prompt))
		_, _ = h.WriteString(prompt[start:end])
		identifiers = append(identifiers, h.Sum64())
		ends = append(ends, end)
	}
	return identifiers, ends
}

// use looks a prompt up and keeps all of its prefixes. It returns the number
// of prompt tokens that were cached and that were not.
func (c *cache) use(prompt string, now time.Time) (cached, fresh int) {
	identifiers, ends := prefixes(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := 0
	for hit < len(identifiers) && c.blocks[identifiers[hit]] != nil {
		hit++
	}
	length := 0
	if hit > 0 {
		length = ends[hit-1]
	}
	start := 0
	for n, id := range identifiers {
		c.keep(id, int64(ends[n]-start)/bytesPerToken*cacheTokenBytes, now)
		start = ends[n]
	}
	return length / bytesPerToken, (len(prompt) - length + bytesPerToken - 1) / bytesPerToken
}

// keep marks a prefix as just used and drops the least recently used ones
// over the limit. Callers hold the lock.
func (c *cache) keep(prefix uint64, bytes int64, now time.Time) {
	if kept := c.blocks[prefix]; kept != nil {
		c.recent.MoveToFront(kept)
		return
	}
	c.blocks[prefix] = c.recent.PushFront(block{prefix: prefix, bytes: bytes})
	c.used += bytes
	c.report(prefix, false, now)
	for c.used > c.limit && c.recent.Len() > 1 {
		oldest := c.recent.Back()
		b := c.recent.Remove(oldest).(block)
		delete(c.blocks, b.prefix)
		c.used -= b.bytes
		c.report(b.prefix, true, now)
	}
}

func (c *cache) report(prefix uint64, evicted bool, now time.Time) {
	c.sequence++
	c.events = append(c.events, cacheEvent{at: now, sequence: c.sequence, prefix: prefix, evicted: evicted})
	if len(c.events) > maxEvents {
		c.events = append([]cacheEvent(nil), c.events[maxEvents/2:]...)
	}
}

// eventsAfter returns the events after a sequence number that are at least lag
// old. Every lossEvery-th event is missing.
func (c *cache) eventsAfter(after, lossEvery uint64, lag time.Duration, now time.Time) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var shown []cacheEvent
	for _, v := range c.events {
		isLost := lossEvery > 0 && v.sequence%lossEvery == 0
		if v.sequence > after && now.Sub(v.at) >= lag && !isLost {
			shown = append(shown, v)
		}
	}
	return shown
}

// find returns the size of a kept prefix in bytes.
func (c *cache) find(prefix uint64) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.blocks[prefix]
	if kept == nil {
		return 0, false
	}
	return kept.Value.(block).bytes, true
}

// put keeps a prefix that was imported.
func (c *cache) put(prefix uint64, bytes int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep(prefix, bytes, now)
}
