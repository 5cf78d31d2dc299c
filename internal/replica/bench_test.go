package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/journal"
)

// commandBytes is about the size of a ledger claim.
const commandBytes = 200

// countingMachine keeps no state, so that only the log is measured.
type countingMachine struct{ applied int }

func (m *countingMachine) Apply(uint64, []byte) []byte { m.applied++; return nil }
func (m *countingMachine) Snapshot() ([]byte, error)   { return make([]byte, 1<<10), nil }
func (m *countingMachine) Restore([]byte) error        { return nil }

// keyValueMachine keeps the newest value of each key. Its commands overwrite
// whole values, as tickets do.
type keyValueMachine struct{ rows map[string]string }

func (m *keyValueMachine) Apply(_ uint64, command []byte) []byte {
	key, value, _ := strings.Cut(string(command), " ")
	m.rows[key] = value
	return nil
}
func (m *keyValueMachine) Snapshot() ([]byte, error) { return json.Marshal(m.rows) }
func (m *keyValueMachine) Restore(b []byte) error    { return json.Unmarshal(b, &m.rows) }

// tempDataDir creates a data folder in BENCH_DIR, or in the system's temporary
// directory if that is not set.
func tempDataDir(b *testing.B) string {
	dir, err := os.MkdirTemp(os.Getenv("BENCH_DIR"), "replica")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// benchCluster starts three voters, each with a data folder on disk.
func benchCluster(b *testing.B) (*testCluster, *testHost) {
	gomega.RegisterTestingT(b)
	dir := tempDataDir(b)
	c := newCluster(b, 3, func(o *Options) {
		o.NewStateMachine = func() StateMachine { return &countingMachine{} }
		o.DataDir = filepath.Join(dir, fmt.Sprint(o.ID))
	})
	c.waitForVoters(3)
	return c, c.waitForLeader()
}

// BenchmarkPropose measures proposals on the leader of three hosts that sync to
// disk. batch is the number of concurrent proposals.
func BenchmarkPropose(b *testing.B) {
	for _, concurrency := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("batch=%d", concurrency), func(b *testing.B) {
			_, leader := benchCluster(b)
			syncsBefore := leader.replica.Stats().JournalSyncs.Load()
			var mu sync.Mutex
			var latencies []time.Duration
			var workers sync.WaitGroup
			b.ResetTimer()
			for worker := range concurrency {
				workers.Go(func() {
					command := make([]byte, commandBytes)
					for i := worker; i < b.N; i += concurrency {
						begin := time.Now()
						if _, err := leader.replica.Propose(context.Background(), command); err != nil {
							b.Error(err)
							return
						}
						mu.Lock()
						latencies = append(latencies, time.Since(begin))
						mu.Unlock()
					}
				})
			}
			workers.Wait()
			b.StopTimer()
			slices.Sort(latencies)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "ms-p50")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "ms-p99")
			b.ReportMetric(float64(b.N)/float64(leader.replica.Stats().JournalSyncs.Load()-syncsBefore), "proposals/sync")
		})
	}
}

// BenchmarkRestart measures the time from opening the data folder until the host
// leads again, after 1,000 commands on 100 keys.
func BenchmarkRestart(b *testing.B) {
	for _, snapshotInterval := range []uint64{1 << 30, 1000} {
		b.Run(fmt.Sprintf("snapshot=%t", snapshotInterval == 1000), func(b *testing.B) {
			gomega.RegisterTestingT(b)
			dir := tempDataDir(b)
			c := newCluster(b, 1, func(o *Options) {
				o.NewStateMachine = func() StateMachine { return &keyValueMachine{rows: map[string]string{}} }
				o.SnapshotIntervalEntries = snapshotInterval
				o.DataDir = dir
			})
			for i := range 1000 {
				command := fmt.Appendf(make([]byte, 0, commandBytes), "%d %0180d", i%100, rand.Uint64())
				if _, err := c.hosts[1].replica.Propose(context.Background(), command); err != nil {
					b.Fatal(err)
				}
			}
			c.proposeUntilApplied(1, "last")
			time.Sleep(time.Second)
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				c.kill(1)
				b.StartTimer()
				c.start(1, true)
				for _, _, ok := c.hosts[1].replica.LeaderLease(); !ok; _, _, ok = c.hosts[1].replica.LeaderLease() {
					time.Sleep(time.Millisecond)
				}
			}
			b.StopTimer()
			info, err := os.Stat(filepath.Join(dir, journal.FileName))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/restart")
			b.ReportMetric(float64(c.hosts[1].replica.BytesRead()), "bytes-read")
			b.ReportMetric(float64(info.Size()), "file-bytes")
		})
	}
}

// BenchmarkIdle measures the cost of three idle hosts in one process over ten
// seconds.
func BenchmarkIdle(b *testing.B) {
	c, leader := benchCluster(b)
	const duration = 10 * time.Second
	cpuBefore := processCPUTime(b)
	requestsBefore := map[uint64]uint64{}
	for id, h := range c.hosts {
		requestsBefore[id] = h.replica.Stats().StepRequestsSent.Load()
	}
	bytesBefore := c.connectionBytes.Load()
	b.ResetTimer()
	time.Sleep(duration)
	b.StopTimer()
	b.ReportMetric(float64((processCPUTime(b)-cpuBefore).Microseconds())/duration.Seconds()/3/1e4, "%core/host")
	b.ReportMetric(float64(c.connectionBytes.Load()-bytesBefore)/duration.Seconds()/3, "bytes/s/host")
	for id, h := range c.hosts {
		if rate := float64(h.replica.Stats().StepRequestsSent.Load()-requestsBefore[id]) / duration.Seconds(); id == leader.id {
			b.ReportMetric(rate, "requests/s-leader")
		}
	}
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
