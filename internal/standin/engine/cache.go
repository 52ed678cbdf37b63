package engine

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	prefixBlockBytes    = 256
	promptBytesPerToken = 4
	cacheBytesPerToken  = 1024
	maxCacheEvents      = 4096
)

// cacheEvent reports that a prefix was stored or evicted.
type cacheEvent struct {
	occurredAt time.Time
	sequence   uint64
	prefixHash uint64
	isEviction bool
}

// prefixCache is an LRU cache of prompt prefixes. A prefix is identified by the hash of
// its bytes and ends at the end of a block or of the prompt.
type prefixCache struct {
	mu               sync.Mutex
	limitBytes       int64
	usedBytes        int64
	lruList          *list.List
	elementsByPrefix map[uint64]*list.Element
	events           []cacheEvent
	lastSequence     uint64
}

// cacheBlock is the last block of a cached prefix.
type cacheBlock struct {
	prefixHash uint64
	sizeBytes  int64
}

func newPrefixCache(limitBytes int64) *prefixCache {
	return &prefixCache{limitBytes: limitBytes, lruList: list.New(), elementsByPrefix: make(map[uint64]*list.Element)}
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedBytes, c.lruList, c.elementsByPrefix = 0, list.New(), make(map[uint64]*list.Element)
	c.events, c.lastSequence = nil, 0
}

func (c *prefixCache) size() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usedBytes
}

// hashPrefixes returns the hashes of the prefixes of a prompt, shortest first, and the
// length of each prefix in bytes.
func hashPrefixes(prompt string) (hashes []uint64, endOffsets []int) {
	h := xxhash.New()
	for start := 0; start < len(prompt); start += prefixBlockBytes {
		end := min(start+prefixBlockBytes, len(prompt))
		_, _ = h.WriteString(prompt[start:end])
		hashes = append(hashes, h.Sum64())
		endOffsets = append(endOffsets, end)
	}
	return hashes, endOffsets
}

// lookUpAndStore looks a prompt up and stores all of its prefixes. It returns the
// number of prompt tokens that were cached and the number of those that were not.
func (c *prefixCache) lookUpAndStore(prompt string, now time.Time) (cachedTokens, uncachedTokens int) {
	hashes, endOffsets := hashPrefixes(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedBlocks := 0
	for cachedBlocks < len(hashes) && c.elementsByPrefix[hashes[cachedBlocks]] != nil {
		cachedBlocks++
	}
	cachedBytes := 0
	if cachedBlocks > 0 {
		cachedBytes = endOffsets[cachedBlocks-1]
	}
	start := 0
	for n, hash := range hashes {
		c.insert(hash, int64(endOffsets[n]-start)/promptBytesPerToken*cacheBytesPerToken, now)
		start = endOffsets[n]
	}
	return cachedBytes / promptBytesPerToken, (len(prompt) - cachedBytes + promptBytesPerToken - 1) / promptBytesPerToken
}

// insert marks a prefix as the most recently used one and stores it if it is new. It
// evicts the least recently used prefixes while the cache exceeds its limit, but always
// keeps one. Callers hold the lock.
func (c *prefixCache) insert(prefixHash uint64, sizeBytes int64, now time.Time) {
	if element := c.elementsByPrefix[prefixHash]; element != nil {
		c.lruList.MoveToFront(element)
		return
	}
	c.elementsByPrefix[prefixHash] = c.lruList.PushFront(cacheBlock{prefixHash: prefixHash, sizeBytes: sizeBytes})
	c.usedBytes += sizeBytes
	c.recordEvent(prefixHash, false, now)
	for c.usedBytes > c.limitBytes && c.lruList.Len() > 1 {
		oldest := c.lruList.Back()
		b := c.lruList.Remove(oldest).(cacheBlock)
		delete(c.elementsByPrefix, b.prefixHash)
		c.usedBytes -= b.sizeBytes
		c.recordEvent(b.prefixHash, true, now)
	}
}

func (c *prefixCache) recordEvent(prefixHash uint64, isEviction bool, now time.Time) {
	c.lastSequence++
	c.events = append(c.events, cacheEvent{occurredAt: now, sequence: c.lastSequence, prefixHash: prefixHash, isEviction: isEviction})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the events after a sequence number that are at least lag old. If
// dropInterval is not zero, events whose sequence number is a multiple of it are left
// out.
func (c *prefixCache) eventsAfter(after, dropInterval uint64, lag time.Duration, now time.Time) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var visible []cacheEvent
	for _, v := range c.events {
		isDropped := dropInterval > 0 && v.sequence%dropInterval == 0
		if v.sequence > after && now.Sub(v.occurredAt) >= lag && !isDropped {
			visible = append(visible, v)
		}
	}
	return visible
}

// blockSize returns the size of the last block of a cached prefix in bytes.
func (c *prefixCache) blockSize(prefixHash uint64) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.elementsByPrefix[prefixHash]
	if element == nil {
		return 0, false
	}
	return element.Value.(cacheBlock).sizeBytes, true
}

// storeImported stores a prefix that was imported from another engine.
func (c *prefixCache) storeImported(prefixHash uint64, sizeBytes int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.insert(prefixHash, sizeBytes, now)
}
