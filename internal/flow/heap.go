package flow

import "time"

// Kinds of heap. A waiting request keeps its key and position for each.
const (
	// latest start that meets the target, or StartBy if late or without target; within its workspace
	byEffectiveDeadline = iota
	byExpiry            // StartBy, within its tier
	// latest start that meets the target, or the earlier time of a busy refusal; within its tier
	byTargetStart
	byArrival // Arrived, within its tier
	heapCount
)

// item is a request that waits or runs.
type item struct {
	Request
	keyUnixNano      [heapCount]int64
	heapIndex        [heapCount]int // -1 if not in that heap
	late             bool           // past its byTargetStart key
	ran              bool           // has been started at least once
	preemptionExempt bool           // started for a starved class
	preemptions      int
	startedAt        time.Time
	lastTokenAt      time.Time // zero before the first token
}

// heap is a binary heap of items, least key first. Equal keys are ordered by ID,
// so that the order is independent of the order of insertion.
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
	if a.keyUnixNano[h.kind] != b.keyUnixNano[h.kind] {
		return a.keyUnixNano[h.kind] < b.keyUnixNano[h.kind]
	}
	return a.ID < b.ID
}

func (h *heap) push(it *item) {
	it.heapIndex[h.kind] = len(h.items)
	h.items = append(h.items, it)
	h.siftUp(len(h.items) - 1)
}

func (h *heap) remove(it *item) {
	i := it.heapIndex[h.kind]
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	it.heapIndex[h.kind] = -1
	if i < last {
		h.siftUp(i)
		h.siftDown(i)
	}
}

// greatest returns the item with the greatest key.
func (h *heap) greatest() *item {
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
	h.items[i].heapIndex[h.kind] = i
	h.items[j].heapIndex[h.kind] = j
}

func (h *heap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap) siftDown(i int) {
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
