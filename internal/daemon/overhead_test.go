package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// The paired loads of the overhead benchmarks.
const (
	pairStreams = 100
	pairTokens  = 300
	pairCalls   = 2000
)

// overheadSystem is a system whose engine answers as fast as it is asked.
func overheadSystem(b *testing.B, step time.Duration) (s *system, direct string) {
	RegisterTestingT(b)
	standins, _, err := daemon.StartStandins()
	Expect(err).NotTo(HaveOccurred())
	url, err := standins.Add("fast", standin.NewEngine(standin.EngineConfig{Name: "fast", Slots: 1000, StepBase: step, StepPerSequence: time.Nanosecond, PrefillPerByte: time.Nanosecond}))
	Expect(err).NotTo(HaveOccurred())
	endpoints := []daemon.EmbeddedEndpoint{
		{Name: "fast", Group: "rally-text", Kind: "engine", FailureDomain: "a", URL: url, Models: []string{"rally-text"}},
	}
	e, err := daemon.StartEmbedded(daemon.EmbeddedOptions{Endpoints: endpoints, Slots: 1000, Logger: slog.New(slog.DiscardHandler)})
	Expect(err).NotTo(HaveOccurred())
	s = &system{Embedded: e, standins: standins}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	Expect(s.WaitReady(ctx, s.submit(ctx))).To(Succeed())
	return s, url
}

// ask sends one chat request and returns the time to its first byte.
func askOnce(client *http.Client, base string, tokens int, stream bool) time.Duration {
	body, _ := json.Marshal(map[string]any{"model": "rally-text", "stream": stream, "max_tokens": tokens,
		"messages": []standin.Message{{Role: "user", Content: "hello"}}})
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+riderKey)
	started := time.Now()
	response, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	first := time.Since(started)
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	return first
}

// percentile returns the share-th value of sorted durations.
func percentile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(float64(len(sorted)-1)*share)]
}

// BenchmarkFirstByte compares the time to the first byte of a one-token answer
// through router and agent with a direct call, call by call.
func BenchmarkFirstByte(b *testing.B) {
	s, direct := overheadSystem(b, 100*time.Microsecond)
	defer s.stop()
	client := &http.Client{}
	for b.Loop() {
		var plain, routed []time.Duration
		for range pairCalls {
			plain = append(plain, askOnce(client, direct, 1, true))
			routed = append(routed, askOnce(client, s.Routers[0].RouterURL(), 1, true))
		}
		slices.Sort(plain)
		slices.Sort(routed)
		for name, share := range map[string]float64{"p50": 0.5, "p99": 0.99} {
			b.ReportMetric(float64(percentile(plain, share).Microseconds()), "direct-us-"+name)
			b.ReportMetric(float64(percentile(routed, share).Microseconds()), "routed-us-"+name)
			b.ReportMetric(float64((percentile(routed, share) - percentile(plain, share)).Microseconds()), "added-us-"+name)
		}
	}
}

// usage is what the process has spent.
type usage struct {
	cpu     time.Duration
	mallocs uint64
}

func spent() usage {
	var r syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &r)).To(Succeed())
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), mallocs: m.Mallocs}
}

// runStreams runs the streams side by side and returns what they cost.
func runStreams(client *http.Client, base string) usage {
	before := spent()
	var group sync.WaitGroup
	for range pairStreams {
		group.Go(func() { askOnce(client, base, pairTokens, true) })
	}
	group.Wait()
	after := spent()
	return usage{cpu: after.cpu - before.cpu, mallocs: after.mallocs - before.mallocs}
}

// BenchmarkRelayedToken gives the processor time and allocations that router
// and agent together add for each token, with one token every 20 ms a stream.
func BenchmarkRelayedToken(b *testing.B) {
	s, direct := overheadSystem(b, 20*time.Millisecond)
	defer s.stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pairStreams}}
	runStreams(client, s.Routers[0].RouterURL())
	for b.Loop() {
		plain := runStreams(client, direct)
		routed := runStreams(client, s.Routers[0].RouterURL())
		tokens := float64(pairStreams * pairTokens)
		b.ReportMetric(float64(plain.cpu.Microseconds())/tokens, "direct-us/token")
		b.ReportMetric(float64(routed.cpu.Microseconds())/tokens, "routed-us/token")
		b.ReportMetric(float64((routed.cpu-plain.cpu).Microseconds())/tokens, "added-us/token")
		b.ReportMetric((float64(routed.mallocs)-float64(plain.mallocs))/tokens, "added-allocs/token")
	}
}

// BenchmarkStreamMemory gives the live heap and stack that router and agent
// hold for each open stream.
func BenchmarkStreamMemory(b *testing.B) {
	s, direct := overheadSystem(b, 20*time.Millisecond)
	defer s.stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pairStreams}}
	held := func(base string) float64 {
		before := liveBytes()
		var group sync.WaitGroup
		for range pairStreams {
			group.Go(func() { askOnce(client, base, pairTokens, true) })
		}
		time.Sleep(2 * time.Second)
		during := liveBytes()
		group.Wait()
		return float64(during-before) / pairStreams
	}
	for b.Loop() {
		plain := held(direct)
		routed := held(s.Routers[0].RouterURL())
		b.ReportMetric((routed-plain)/1024, "added-KiB/stream")
	}
}

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
