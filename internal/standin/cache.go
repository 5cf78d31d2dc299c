package standin

import (
	"container/list"
	"hash/fnv"
	"sync"
	"time"
)

// BlockBytes is the number of prompt bytes in one block of the prefix cache.
const BlockBytes = 64

// Block is one block of a cached prefix.
type Block struct {
	Hash   uint64 `json:"hash"`   // of Parent and Text
	Parent uint64 `json:"parent"` // hash of the preceding block, 0 for the first
	Text   string `json:"text"`
}

// CacheEvent reports that a block was stored in the prefix cache or removed.
type CacheEvent struct {
	Sequence  uint64 `json:"sequence"`
	Kind      string `json:"kind"` // stored or removed
	Block     Block  `json:"block"`
	createdAt time.Time
}

// CacheEventsResponse is the response body of GET /cache/events.
type CacheEventsResponse struct {
	Events         []CacheEvent `json:"events"`
	NewestSequence uint64       `json:"newest"` // of the last event returned; the requested one if there is none
}

// PrefixBlocks splits a prompt into blocks; a remainder shorter than BlockBytes
// is left out.
func PrefixBlocks(prompt string) []Block {
	var blocks []Block
	var parent uint64
	for offset := 0; offset+BlockBytes <= len(prompt); offset += BlockBytes {
		text := prompt[offset : offset+BlockBytes]
		b := Block{Hash: blockHash(parent, text), Parent: parent, Text: text}
		blocks = append(blocks, b)
		parent = b.Hash
	}
	return blocks
}

func blockHash(parent uint64, text string) uint64 {
	h := fnv.New64a()
	var parentBytes [8]byte
	for i := range parentBytes {
		parentBytes[i] = byte(parent >> (8 * i))
	}
	_, _ = h.Write(parentBytes[:])
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// prefixCache is an LRU cache of prompt blocks with a bounded log of its events.
type prefixCache struct {
	mu           sync.Mutex
	cfg          *EngineConfig
	recency      *list.List // of Block, most recently used first
	byHash       map[uint64]*list.Element
	events       []CacheEvent
	lastSequence uint64
}

func newPrefixCache(cfg *EngineConfig) *prefixCache {
	return &prefixCache{cfg: cfg, recency: list.New(), byHash: map[uint64]*list.Element{}}
}

// insertPrompt caches the blocks of a prompt and returns the number of its bytes
// after the prefix that was already cached.
func (c *prefixCache) insertPrompt(now time.Time, prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	uncachedBytes := len(prompt)
	hit := true
	for _, b := range PrefixBlocks(prompt) {
		if hit = hit && c.byHash[b.Hash] != nil; hit {
			uncachedBytes -= BlockBytes
		}
		c.insert(now, b)
	}
	return uncachedBytes
}

func (c *prefixCache) insert(now time.Time, b Block) {
	if e := c.byHash[b.Hash]; e != nil {
		c.recency.MoveToFront(e)
		return
	}
	c.byHash[b.Hash] = c.recency.PushFront(b)
	c.recordEvent(now, "stored", b)
	for len(c.byHash) > c.cfg.CacheBlocks {
		oldest := c.recency.Back()
		evicted, _ := c.recency.Remove(oldest).(Block)
		delete(c.byHash, evicted.Hash)
		c.recordEvent(now, "removed", evicted)
	}
}

// recordEvent appends an event to the log. Every EventGap-th event is dropped and
// only uses up its sequence number, to simulate lost events.
func (c *prefixCache) recordEvent(now time.Time, kind string, b Block) {
	c.lastSequence++
	if c.cfg.EventGap > 0 && c.lastSequence%uint64(c.cfg.EventGap) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.lastSequence, Kind: kind, Block: b, createdAt: now})
	if excess := len(c.events) - c.cfg.MaxEvents; excess > 0 {
		c.events = append(c.events[:0:0], c.events[excess:]...)
	}
}

// eventsAfter returns the events with a higher sequence number that are at least
// EventDelay old.
func (c *prefixCache) eventsAfter(now time.Time, after uint64) CacheEventsResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := CacheEventsResponse{Events: []CacheEvent{}, NewestSequence: after}
	for _, e := range c.events {
		if e.Sequence > after && !e.createdAt.After(now.Add(-c.cfg.EventDelay)) {
			response.Events = append(response.Events, e)
			response.NewestSequence = e.Sequence
		}
	}
	return response
}

// cachedPrefix returns the leading blocks of a prompt that are cached.
func (c *prefixCache) cachedPrefix(prompt string) []Block {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := []Block{}
	for _, b := range PrefixBlocks(prompt) {
		if c.byHash[b.Hash] == nil {
			break
		}
		blocks = append(blocks, b)
	}
	return blocks
}

// importBlocks stores the blocks whose hash is correct and returns their number.
func (c *prefixCache) importBlocks(now time.Time, blocks []Block) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	valid := 0
	for _, b := range blocks {
		if blockHash(b.Parent, b.Text) == b.Hash {
			c.insert(now, b)
			valid++
		}
	}
	return valid
}

func (c *prefixCache) blockCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byHash)
}
