package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilkeel/trefoilkeel/internal/ledger"
)

// BenchmarkMemory measures the memory and the snapshot size of a settled entry with
// an answer of 500 bytes.
func BenchmarkMemory(b *testing.B) {
	const entries = 100_000
	bounds := ledger.Bounds{RetentionMs: 1 << 40, MaxEntries: entries, MaxBytes: 1 << 40, MaxAnswerBytes: 1 << 16}
	heapBefore := heapBytes()
	l := ledger.New()
	answer := string(make([]byte, 500))
	for i := range entries {
		c := claim(fmt.Sprintf("request-%016d", i), 0, "body")
		c.Key = fmt.Sprintf("key-%032d", i)
		l.Claim(int64(i), c, bounds)
		s := settle(c.GetRequestId(), 1, ran, answer)
		s.Key = c.GetKey()
		l.Settle(int64(i), s, bounds)
	}
	b.ReportMetric(float64(heapBytes()-heapBefore)/entries, "heap-B/entry")
	b.ReportMetric(float64(l.MemoryBytes())/entries, "estimate-B/entry")
	started := time.Now()
	snapshot := l.Snapshot()
	encoded, err := proto.Marshal(snapshot)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(encoded))/entries, "snapshot-B/entry")
	b.ReportMetric(float64(time.Since(started).Nanoseconds())/entries, "snapshot-ns/entry")
	runtime.KeepAlive(l)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
