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

// countMachine keeps nothing, so that the log alone is measured.
type countMachine struct{ applied int }

func (m *countMachine) Apply(uint64, []byte) []byte { m.applied++; return nil }
func (m *countMachine) Snapshot() ([]byte, error)   { return make([]byte, 1<<10), nil }
func (m *countMachine) Restore([]byte) error        { return nil }

// tableMachine keeps the newest value of each of a few keys, like tickets that
// carry the whole new state of what they touch.
type tableMachine struct{ rows map[string]string }

func (m *tableMachine) Apply(_ uint64, command []byte) []byte {
	key, value, _ := strings.Cut(string(command), " ")
	m.rows[key] = value
	return nil
}
func (m *tableMachine) Snapshot() ([]byte, error) { return json.Marshal(m.rows) }
func (m *tableMachine) Restore(b []byte) error    { return json.Unmarshal(b, &m.rows) }

// folder makes a data folder below BENCH_DIR, or a temporary one.
func folder(b *testing.B) string {
	dir, err := os.MkdirTemp(os.Getenv("BENCH_DIR"), "replica")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// benchCluster starts three voters with files in data folders of their own.
func benchCluster(b *testing.B) (*cluster, *host) {
	gomega.RegisterTestingT(b)
	dir := folder(b)
	c := newCluster(b, 3, func(o *Options) {
		o.Machine = &countMachine{}
		o.Dir = filepath.Join(dir, fmt.Sprint(o.ID))
	})
	c.voters(3)
	return c, c.leader()
}

// BenchmarkPropose measures proposals of which so many are under way at once,
// at the leader of three hosts with synced files.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			_, leader := benchCluster(b)
			syncs := leader.replica.Stats().Syncs.Load()
			var mu sync.Mutex
			var latencies []time.Duration
			var group sync.WaitGroup
			b.ResetTimer()
			for worker := range size {
				group.Go(func() {
					command := make([]byte, commandBytes)
					for i := worker; i < b.N; i += size {
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
			group.Wait()
			b.StopTimer()
			slices.Sort(latencies)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "ms-p50")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "ms-p99")
			b.ReportMetric(float64(b.N)/float64(leader.replica.Stats().Syncs.Load()-syncs), "proposals/sync")
		})
	}
}

// BenchmarkRestart measures from the opening of the folder until the host
// leads again, after 1,000 commands on 100 keys.
func BenchmarkRestart(b *testing.B) {
	for _, snapshot := range []uint64{1 << 30, 1000} {
		b.Run(fmt.Sprintf("snapshot=%t", snapshot == 1000), func(b *testing.B) {
			gomega.RegisterTestingT(b)
			dir := folder(b)
			c := newCluster(b, 1, func(o *Options) {
				o.Machine = &tableMachine{rows: map[string]string{}}
				o.SnapshotEntries = snapshot
				o.Dir = dir
			})
			for i := range 1000 {
				command := fmt.Appendf(make([]byte, 0, commandBytes), "%d %0180d", i%100, rand.Uint64())
				if _, err := c.hosts[1].replica.Propose(context.Background(), command); err != nil {
					b.Fatal(err)
				}
			}
			c.propose(1, "last")
			time.Sleep(time.Second)
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				c.kill(1)
				b.StartTimer()
				c.start(1, true)
				for _, _, ok := c.hosts[1].replica.Leading(); !ok; _, _, ok = c.hosts[1].replica.Leading() {
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

// BenchmarkIdle measures three hosts in one process that have nothing to do,
// for ten seconds.
func BenchmarkIdle(b *testing.B) {
	c, leader := benchCluster(b)
	const span = 10 * time.Second
	before := usage(b)
	sent := map[uint64]uint64{}
	for id, h := range c.hosts {
		sent[id] = h.replica.Stats().StepsSent.Load()
	}
	bytes := c.bytes.Load()
	b.ResetTimer()
	time.Sleep(span)
	b.StopTimer()
	b.ReportMetric(float64((usage(b)-before).Microseconds())/span.Seconds()/3/1e4, "%core/host")
	b.ReportMetric(float64(c.bytes.Load()-bytes)/span.Seconds()/3, "bytes/s/host")
	for id, h := range c.hosts {
		if rate := float64(h.replica.Stats().StepsSent.Load()-sent[id]) / span.Seconds(); id == leader.id {
			b.ReportMetric(rate, "requests/s-leader")
		}
	}
}

// usage is the processor time of this process so far.
func usage(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
