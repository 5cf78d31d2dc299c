package standin

import (
	"container/list"
	"hash/fnv"
	"sync"
	"time"
)

// BlockBytes is the length of one block of the prefix cache, in prompt bytes.
const BlockBytes = 64

// Block is one block of a cached prefix.
type Block struct {
	Hash   uint64 `json:"hash"`   // over the parent and the text
	Parent uint64 `json:"parent"` // 0 for the first block of a prompt
	Text   string `json:"text"`
}

// CacheEvent tells that a block was stored in the prefix cache or removed.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // stored or removed
	Block    Block  `json:"block"`
	at       time.Time
}

// CacheEvents is the answer of /cache/events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Newest uint64       `json:"newest"` // sequence of the newest event shown
}

// PrefixBlocks gives the whole blocks of a prompt.
func PrefixBlocks(prompt string) []Block {
	var blocks []Block
	var parent uint64
	for at := 0; at+BlockBytes <= len(prompt); at += BlockBytes {
		text := prompt[at : at+BlockBytes]
		b := Block{Hash: blockHash(parent, text), Parent: parent, Text: text}
		blocks = append(blocks, b)
		parent = b.Hash
	}
	return blocks
}

func blockHash(parent uint64, text string) uint64 {
	h := fnv.New64a()
	var p [8]byte
	for i := range p {
		p[i] = byte(parent >> (8 * i))
	}
	_, _ = h.Write(p[:])
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// prefixCache holds the most recently used blocks and the log of its events.
type prefixCache struct {
	mu       sync.Mutex
	cfg      *EngineConfig
	order    *list.List // of Block, most recent first
	held     map[uint64]*list.Element
	events   []CacheEvent
	sequence uint64
}

func newPrefixCache(cfg *EngineConfig) *prefixCache {
	return &prefixCache{cfg: cfg, order: list.New(), held: map[uint64]*list.Element{}}
}

// admit takes a prompt in and returns the bytes that were not cached.
func (c *prefixCache) admit(now time.Time, prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := len(prompt)
	hit := true
	for _, b := range PrefixBlocks(prompt) {
		if hit = hit && c.held[b.Hash] != nil; hit {
			missing -= BlockBytes
		}
		c.store(now, b)
	}
	return missing
}

func (c *prefixCache) store(now time.Time, b Block) {
	if e := c.held[b.Hash]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.held[b.Hash] = c.order.PushFront(b)
	c.log(now, "stored", b)
	for len(c.held) > c.cfg.CacheBlocks {
		last := c.order.Back()
		old, _ := c.order.Remove(last).(Block)
		delete(c.held, old.Hash)
		c.log(now, "removed", old)
	}
}

// log adds an event, or only its number where the log is to have a gap.
func (c *prefixCache) log(now time.Time, kind string, b Block) {
	c.sequence++
	if c.cfg.EventGap > 0 && c.sequence%uint64(c.cfg.EventGap) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Block: b, at: now})
	if over := len(c.events) - c.cfg.EventLog; over > 0 {
		c.events = append(c.events[:0:0], c.events[over:]...)
	}
}

// since gives the events after a sequence number that are old enough to show.
func (c *prefixCache) since(now time.Time, after uint64) CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := CacheEvents{Events: []CacheEvent{}, Newest: after}
	for _, e := range c.events {
		if e.Sequence > after && !e.at.After(now.Add(-c.cfg.EventDelay)) {
			out.Events = append(out.Events, e)
			out.Newest = e.Sequence
		}
	}
	return out
}

// export gives the blocks of a prompt that are cached, from its start on.
func (c *prefixCache) export(prompt string) []Block {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := []Block{}
	for _, b := range PrefixBlocks(prompt) {
		if c.held[b.Hash] == nil {
			break
		}
		blocks = append(blocks, b)
	}
	return blocks
}

// load takes exported blocks in and returns how many were valid.
func (c *prefixCache) load(now time.Time, blocks []Block) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, b := range blocks {
		if blockHash(b.Parent, b.Text) == b.Hash {
			c.store(now, b)
			n++
		}
	}
	return n
}

// size is the number of blocks held.
func (c *prefixCache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}
