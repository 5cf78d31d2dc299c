package replica

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// votePatience ends a run in which the host does not vote.
const votePatience = 150 * time.Second

// BenchmarkReplacedDisk measures how long one of three hosts has no vote after its disk was replaced, the bytes that all
// connections carry meanwhile, and the growth of the heap of all three hosts. 0 s stands for no vote within votePatience.
func BenchmarkReplacedDisk(b *testing.B) {
	for _, stateBytes := range []int{150 << 10, 5 << 20, 50 << 20} {
		for name, newLink := range map[string]func() *link{
			"calm":         func() *link { return &link{} },
			"silent":       func() *link { return &link{silentAfter: 48 << 10} },
			"silent-again": func() *link { return &link{silentAfter: int64(max(48<<10, stateBytes/4)), repeats: true} },
			"slow":         func() *link { return &link{bytesPerSecond: 1 << 20} },
			"slow-silent":  func() *link { return &link{bytesPerSecond: 1 << 20, silentAfter: 48 << 10} },
		} {
			b.Run(fmt.Sprintf("state=%dKiB/%s", stateBytes>>10, name), func(b *testing.B) {
				gomega.RegisterTestingT(b)
				c := newBlobCluster(b, 3, stateBytes)
				runtime.GC()
				var before, now runtime.MemStats
				runtime.ReadMemStats(&before)
				bytesBefore := c.connectionBytes.Load()
				began := time.Now()
				host := c.replaceDisk(newLink())
				peak, seconds := uint64(0), 0.0
				for time.Since(began) < votePatience {
					if host.replica.Status().IsVoter {
						seconds = time.Since(began).Seconds()
						break
					}
					runtime.ReadMemStats(&now)
					peak = max(peak, now.HeapAlloc)
					time.Sleep(10 * time.Millisecond)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(seconds, "s/vote")
				b.ReportMetric(float64(c.connectionBytes.Load()-bytesBefore)/(1<<20), "MiB")
				b.ReportMetric(float64(int64(peak)-int64(before.HeapAlloc))/(1<<20), "heap-MiB")
			})
		}
	}
}
