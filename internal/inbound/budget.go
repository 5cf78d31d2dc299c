package inbound

import "sync"

const (
	// lineMemoryBytes is the memory of a header line besides its bytes, once it is parsed and copied for an attempt:
	// an entry of a map with its key, list of values and strings, twice.
	lineMemoryBytes = 400
	// byteMemoryFactor is the number of copies of the bytes of a head: as they arrived, and parsed.
	byteMemoryFactor = 2
	// ordinaryHeadMemoryBytes is the memory of a head up to which it may use the whole budget.
	ordinaryHeadMemoryBytes = 16 << 10
	// longHeadShare is the divisor of the budget that gives the part for all longer heads together.
	longHeadShare = 2
)

// HeadBudget limits the memory that the heads of all open requests take together. Heads that take more than
// usual share a half of it, so that they leave room for ordinary ones. It is safe for concurrent use.
type HeadBudget struct {
	limit int64

	mu               sync.Mutex
	used, usedByLong int64
}

// NewHeadBudget returns a budget of this many bytes.
func NewHeadBudget(bytes int64) *HeadBudget { return &HeadBudget{limit: bytes} }

// headMemory returns the memory that a parsed head takes.
func headMemory(bytes, lines int) int64 {
	return int64(bytes)*byteMemoryFactor + int64(lines)*lineMemoryBytes
}

// change replaces the memory that a head has taken by another amount. It reports false, and changes nothing, if the
// budget has no room for more.
func (b *HeadBudget) change(from, to int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	used, usedByLong := b.used+to-from, b.usedByLong+longMemory(to)-longMemory(from)
	if to > from && (used > b.limit || longMemory(to) > 0 && usedByLong > b.limit/longHeadShare) {
		return false
	}
	b.used, b.usedByLong = used, usedByLong
	return true
}

// longMemory returns the memory that counts against the part of long heads.
func longMemory(bytes int64) int64 {
	if bytes <= ordinaryHeadMemoryBytes {
		return 0
	}
	return bytes
}
