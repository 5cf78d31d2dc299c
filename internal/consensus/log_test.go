package consensus

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a log that is bounded by its number of entries alone, whatever their size.
func TestCompactionKeepsAsMuchAsTheLimitsAllow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := entryLog{compactedIndex: rapid.Uint64Range(0, 20).Draw(t, "compacted")}
		for _, size := range rapid.SliceOfN(rapid.IntRange(0, 100), 0, 30).Draw(t, "sizes") {
			l.entries = append(l.entries, Entry{Index: l.lastIndex() + 1, Data: make([]byte, size)})
		}
		last := rapid.Uint64Range(l.compactedIndex, l.lastIndex()).Draw(t, "last")
		maxEntries, maxBytes := rapid.Uint64Range(0, 40).Draw(t, "max entries"), rapid.IntRange(0, 2000).Draw(t, "max bytes")
		allowed := func(index uint64) bool {
			size := 0
			for _, e := range l.slice(index+1, last, 1<<30, 1<<62) {
				size += len(e.Data)
			}
			return last-index <= maxEntries && size <= maxBytes
		}
		index := l.compactionIndex(last, maxEntries, maxBytes)
		if index < l.compactedIndex || index > last || !allowed(index) {
			t.Fatalf("compacted up to %d, which keeps too much or isn't in the log", index)
		}
		if index > l.compactedIndex && allowed(index-1) {
			t.Fatalf("compacted up to %d, but up to %d would do", index, index-1)
		}
	})
}
