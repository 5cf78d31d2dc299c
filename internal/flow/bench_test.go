package flow

import (
	"fmt"
	"testing"
	"time"
)

// newFullQueue returns a queue with all slots taken and n requests waiting, of
// fifty workspaces and six tiers.
func newFullQueue(n int) (*Queue, time.Time) {
	q := New(Config{Slots: 32, MaxWaiting: n})
	for i := range n + 32 {
		r := newRequest(fmt.Sprint("r", i), 1+i%6, fmt.Sprint("w", i%50), time.Duration(i)*time.Microsecond)
		r.StartBy = r.StartBy.Add(time.Hour)
		r.Deadline = r.Deadline.Add(time.Hour)
		q.Enqueue(r.Arrived, r)
	}
	return q, epoch.Add(time.Second)
}

var benchSizes = []int{100, 10_000}

// BenchmarkFinishAndArrive ends one request, which starts the next, and adds another.
func BenchmarkFinishAndArrive(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q, now := newFullQueue(n)
			b.ReportAllocs()
			for b.Loop() {
				for id, it := range q.running {
					q.Finish(now, id, Completed)
					r := it.Request
					r.Tier = it.Tier
					q.Enqueue(now, r)
					break
				}
			}
		})
	}
}

// BenchmarkShed adds a request to a queue at its bound, so that one is shed.
func BenchmarkShed(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q, now := newFullQueue(n)
			ids := make([]string, 4096)
			for i := range ids {
				ids[i] = fmt.Sprint("s", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := newRequest(ids[i%len(ids)], 6, "w1", time.Hour)
				q.Enqueue(now, r)
				i++
			}
		})
	}
}

func BenchmarkToken(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q, now := newFullQueue(n)
			for id := range q.running {
				q.RecordFirstToken(now, id)
			}
			b.ReportAllocs()
			for b.Loop() {
				for id := range q.running {
					q.RecordTokens(now, id, 1)
					break
				}
			}
		})
	}
}

func BenchmarkLoad(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q, now := newFullQueue(n)
			b.ReportAllocs()
			for b.Loop() {
				q.Load(now)
			}
		})
	}
}
