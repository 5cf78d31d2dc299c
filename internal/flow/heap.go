package flow

import "time"

// The heaps that a waiting request is in; the index of each is kept in it.
const (
	byOrder   = iota // inside its workspace
	byExpiry         // StartBy, inside its tier
	byTarget         // when it stops being on time, inside its tier
	byArrival        // inside its tier
	heapCount
)

// item is a request that waits or runs.
type item struct {
	Request
	key         [heapCount]int64 // Unix ns
	index       [heapCount]int   // -1: not in that heap
	late        bool
	ran         bool
	shielded    bool // started for a starving class
	preemptions int
	startedAt   time.Time
	tokenAt     time.Time // of the last token, zero before the first
}

// heap is a binary heap of items, least key first. Equal keys go by ID, so
// that the order never depends on the history of the heap.
type heap struct {
	kind  int
	items []*item
}

func (h *heap) len() int { return len(h.items) }

func (h *heap) head() *item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *heap) less(a, b *item) bool {
	if a.key[h.kind] != b.key[h.kind] {
		return a.key[h.kind] < b.key[h.kind]
	}
	return a.ID < b.ID
}

func (h *heap) push(it *item) {
	it.index[h.kind] = len(h.items)
	h.items = append(h.items, it)
	h.up(len(h.items) - 1)
}

func (h *heap) remove(it *item) {
	i := it.index[h.kind]
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	it.index[h.kind] = -1
	if i < last {
		h.up(i)
		h.down(i)
	}
}

// last returns the item with the greatest key.
func (h *heap) last() *item {
	var worst *item
	for _, it := range h.items[len(h.items)/2:] {
		if worst == nil || h.less(worst, it) {
			worst = it
		}
	}
	return worst
}

func (h *heap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index[h.kind] = i
	h.items[j].index[h.kind] = j
}

func (h *heap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
