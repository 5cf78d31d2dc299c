package routing

// holdersEach bounds the endpoints remembered for one block.
const holdersEach = 4

// block is one block of a prompt's prefix and who holds it.
type block struct {
	holders [holdersEach]holder
	next    int  // slot that the next new holder takes
	touched bool // since the clock hand passed
}

// holder is an endpoint that has a block in its cache, or had it lately.
type holder struct {
	endpoint *endpoint
	epoch    uint64 // of the endpoint's events when this was learnt
	told     bool   // by the endpoint; else assumed from a request sent there
}

// affinity is a bounded index from blocks to endpoints. Old blocks that were
// not touched are forgotten first.
type affinity struct {
	limit  int
	blocks map[uint64]*block
	clock  []uint64
	hand   int
}

func newAffinity(limit int) *affinity {
	return &affinity{limit: max(limit, 0), blocks: map[uint64]*block{}}
}

// put notes that e holds a block.
func (a *affinity) put(hash uint64, e *endpoint, told bool) {
	if a.limit == 0 {
		return
	}
	b := a.blocks[hash]
	if b == nil {
		b = a.insert(hash)
	}
	b.touched = true
	for i := range b.holders {
		if h := &b.holders[i]; h.endpoint == e {
			h.told = told || h.told && h.epoch == e.cacheEpoch
			h.epoch = e.cacheEpoch
			return
		}
	}
	b.holders[b.next] = holder{endpoint: e, epoch: e.cacheEpoch, told: told}
	b.next = (b.next + 1) % holdersEach
}

// insert adds a block, in place of the first one that was not touched since
// the hand passed it.
func (a *affinity) insert(hash uint64) *block {
	if len(a.clock) < a.limit {
		a.clock = append(a.clock, hash)
		b := &block{}
		a.blocks[hash] = b
		return b
	}
	for a.blocks[a.clock[a.hand]].touched {
		a.blocks[a.clock[a.hand]].touched = false
		a.hand = (a.hand + 1) % a.limit
	}
	b := a.blocks[a.clock[a.hand]]
	delete(a.blocks, a.clock[a.hand])
	*b = block{}
	a.clock[a.hand] = hash
	a.blocks[hash] = b
	a.hand = (a.hand + 1) % a.limit
	return b
}

// remove notes that e dropped a block.
func (a *affinity) remove(hash uint64, e *endpoint) {
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

// longest returns the last block of the prefix that any endpoint holds, with
// its number counted from one; nil if there is none.
func (a *affinity) longest(prefix []uint64) (*block, int) {
	for i := len(prefix) - 1; i >= 0; i-- {
		if b := a.blocks[prefix[i]]; b != nil {
			return b, i + 1
		}
	}
	return nil, 0
}

// held is how many leading blocks of the prefix e holds. What was assumed, or
// learnt before a gap in the events, counts half.
func (a *affinity) held(prefix []uint64, e *endpoint) int {
	for i := len(prefix) - 1; i >= 0; i-- {
		b := a.blocks[prefix[i]]
		if b == nil {
			continue
		}
		for _, h := range b.holders {
			if h.endpoint != e {
				continue
			}
			if h.told && h.epoch == e.cacheEpoch {
				return i + 1
			}
			return (i + 2) / 2
		}
	}
	return 0
}

// CacheEvent is what an engine tells of its prefix cache.
type CacheEvent struct {
	Endpoint    string
	Incarnation uint64
	Sequence    uint64 // grows by one; a gap means that events were lost
	Stored      []uint64
	Removed     []uint64
}

// Cached takes a cache event, which may be late. After a gap, what was learnt
// of the endpoint before counts less; an event that comes out of order is
// ignored.
func (t *Table) Cached(event CacheEvent) {
	e := t.endpoints[event.Endpoint]
	if e == nil || e.described.GetIncarnation() != event.Incarnation || event.Sequence <= e.cacheSequence {
		return
	}
	if event.Sequence != e.cacheSequence+1 && e.cacheSequence > 0 {
		e.cacheEpoch++
	}
	e.cacheSequence = event.Sequence
	for _, hash := range event.Removed {
		t.affinity.remove(hash, e)
	}
	for _, hash := range event.Stored {
		t.affinity.put(hash, e, true)
	}
}

// sent assumes that an endpoint keeps the prefix of a request sent there.
func (t *Table) sent(e *endpoint, prefix []uint64) {
	for _, hash := range prefix {
		t.affinity.put(hash, e, false)
	}
}
