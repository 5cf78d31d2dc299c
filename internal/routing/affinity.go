package routing

// maxHoldersPerBlock bounds the endpoints recorded for one block.
const maxHoldersPerBlock = 4

// blockEntry lists the endpoints that have cached one block of a prompt prefix.
type blockEntry struct {
	holders    [maxHoldersPerBlock]holder
	nextSlot   int  // index in holders that the next new endpoint overwrites
	referenced bool // since the hand last passed; gives the block a second chance
}

// holder is an endpoint that has a block in its cache, or recently had it.
type holder struct {
	endpoint *endpoint
	epoch    uint64 // the endpoint's cacheEpoch when this entry was recorded
	reported bool   // by a cache event; otherwise assumed after routing a request there
}

// affinityIndex is a bounded map from block hashes to the endpoints that cache
// them. It evicts with the CLOCK (second chance) algorithm.
type affinityIndex struct {
	maxBlocks int
	blocks    map[uint64]*blockEntry
	ring      []uint64
	hand      int
}

func newAffinityIndex(maxBlocks int) *affinityIndex {
	return &affinityIndex{maxBlocks: max(maxBlocks, 0), blocks: map[uint64]*blockEntry{}}
}

// record adds e to the holders of a block.
func (a *affinityIndex) record(hash uint64, e *endpoint, reported bool) {
	if a.maxBlocks == 0 {
		return
	}
	b := a.blocks[hash]
	if b == nil {
		b = a.insert(hash)
	}
	b.referenced = true
	for i := range b.holders {
		if h := &b.holders[i]; h.endpoint == e {
			h.reported = reported || h.reported && h.epoch == e.cacheEpoch
			h.epoch = e.cacheEpoch
			return
		}
	}
	b.holders[b.nextSlot] = holder{endpoint: e, epoch: e.cacheEpoch, reported: reported}
	b.nextSlot = (b.nextSlot + 1) % maxHoldersPerBlock
}

// insert adds a block. At the limit it evicts the first block that has not been
// referenced since the hand last passed it.
func (a *affinityIndex) insert(hash uint64) *blockEntry {
	if len(a.ring) < a.maxBlocks {
		a.ring = append(a.ring, hash)
		b := &blockEntry{}
		a.blocks[hash] = b
		return b
	}
	for a.blocks[a.ring[a.hand]].referenced {
		a.blocks[a.ring[a.hand]].referenced = false
		a.hand = (a.hand + 1) % a.maxBlocks
	}
	b := a.blocks[a.ring[a.hand]]
	delete(a.blocks, a.ring[a.hand])
	*b = blockEntry{}
	a.ring[a.hand] = hash
	a.blocks[hash] = b
	a.hand = (a.hand + 1) % a.maxBlocks
	return b
}

// remove deletes e from the holders of a block.
func (a *affinityIndex) remove(hash uint64, e *endpoint) {
	b := a.blocks[hash]
	if b == nil {
		return
	}
	for i := range b.holders {
		if b.holders[i].endpoint == e {
			b.holders[i] = holder{}
		}
	}
}

// longestMatch returns the entry of the last block of the prefix that is in the
// index, with the number of blocks up to it; nil and 0 if there is none.
func (a *affinityIndex) longestMatch(prefix []uint64) (*blockEntry, int) {
	for i := len(prefix) - 1; i >= 0; i-- {
		if b := a.blocks[prefix[i]]; b != nil {
			return b, i + 1
		}
	}
	return nil, 0
}

// expectedCachedBlocks estimates how many leading blocks of the prefix e has
// cached. Blocks that are only assumed, or were reported before a gap in the cache
// events, count half.
func (a *affinityIndex) expectedCachedBlocks(prefix []uint64, e *endpoint) int {
	for i := len(prefix) - 1; i >= 0; i-- {
		b := a.blocks[prefix[i]]
		if b == nil {
			continue
		}
		for _, h := range b.holders {
			if h.endpoint != e {
				continue
			}
			if h.reported && h.epoch == e.cacheEpoch {
				return i + 1
			}
			return (i + 2) / 2
		}
	}
	return 0
}

// CacheEvent is an engine's report of changes in its prefix cache.
type CacheEvent struct {
	Endpoint    string
	Incarnation uint64
	Sequence    uint64   // increases by one; a gap means that events were lost
	Stored      []uint64 // block hashes, as in Request.Prefix
	Removed     []uint64
}

// ApplyCacheEvent applies a cache event, which may arrive late. After a gap, the
// blocks recorded for the endpoint before it count half. Out-of-order events are
// ignored.
func (t *Table) ApplyCacheEvent(event CacheEvent) {
	e := t.endpoints[event.Endpoint]
	if e == nil || e.descriptor.GetIncarnation() != event.Incarnation || event.Sequence <= e.lastCacheSequence {
		return
	}
	if event.Sequence != e.lastCacheSequence+1 && e.lastCacheSequence > 0 {
		e.cacheEpoch++
	}
	e.lastCacheSequence = event.Sequence
	for _, hash := range event.Removed {
		t.affinity.remove(hash, e)
	}
	for _, hash := range event.Stored {
		t.affinity.record(hash, e, true)
	}
}

// assumeCached records that e caches the prefix of a request routed to it.
func (t *Table) assumeCached(e *endpoint, prefix []uint64) {
	for _, hash := range prefix {
		t.affinity.record(hash, e, false)
	}
}
