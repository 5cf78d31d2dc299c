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

// Load of one run of the overhead benchmarks, the same with and without routing.
const (
	streamsPerRun   = 100
	tokensPerStream = 300
	callsPerRun     = 2000
)

// startOverheadSystem starts a system with one engine whose token interval is step
// and whose other costs are negligible. It also returns the engine's own URL.
func startOverheadSystem(b *testing.B, step time.Duration) (s *system, engineURL string) {
	RegisterTestingT(b)
	standins, _, err := daemon.StartStandins()
	Expect(err).NotTo(HaveOccurred())
	url, err := standins.AddEngine("fast", standin.NewEngine(standin.EngineConfig{Name: "fast", Slots: 1000, StepBase: step, StepPerSequence: time.Nanosecond, PrefillPerByte: time.Nanosecond}))
	Expect(err).NotTo(HaveOccurred())
	endpoints := []daemon.EmbeddedEndpoint{
		{Name: "fast", Group: "rally-text", Kind: "engine", FailureDomain: "a", URL: url, Models: []string{"rally-text"}},
	}
	e, err := daemon.StartEmbedded(daemon.EmbeddedOptions{Endpoints: endpoints, InitialSlots: 1000, Logger: slog.New(slog.DiscardHandler)})
	Expect(err).NotTo(HaveOccurred())
	s = &system{Embedded: e, standins: standins}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	Expect(s.WaitReady(ctx, s.submit(ctx))).To(Succeed())
	return s, url
}

// askOnce sends one chat request and returns the time until the response headers.
func askOnce(client *http.Client, base string, tokens int, stream bool) time.Duration {
	body, _ := json.Marshal(map[string]any{"model": "rally-text", "stream": stream, "max_tokens": tokens,
		"messages": []standin.Message{{Role: "user", Content: "hello"}}})
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+riderKey)
	started := time.Now()
	response, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	firstByte := time.Since(started)
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	return firstByte
}

// percentile returns the percentile of the sorted durations; fraction 0.5 is the median.
func percentile(sorted []time.Duration, fraction float64) time.Duration {
	return sorted[int(float64(len(sorted)-1)*fraction)]
}

// BenchmarkFirstByte compares the time to the first byte of a one-token answer
// through router and agent with a direct call. The two kinds of call alternate.
func BenchmarkFirstByte(b *testing.B) {
	s, engineURL := startOverheadSystem(b, 100*time.Microsecond)
	defer s.stop()
	client := &http.Client{}
	for b.Loop() {
		var direct, routed []time.Duration
		for range callsPerRun {
			direct = append(direct, askOnce(client, engineURL, 1, true))
			routed = append(routed, askOnce(client, s.Routers[0].RouterURL(), 1, true))
		}
		slices.Sort(direct)
		slices.Sort(routed)
		for name, fraction := range map[string]float64{"p50": 0.5, "p99": 0.99} {
			b.ReportMetric(float64(percentile(direct, fraction).Microseconds()), "direct-us-"+name)
			b.ReportMetric(float64(percentile(routed, fraction).Microseconds()), "routed-us-"+name)
			b.ReportMetric(float64((percentile(routed, fraction) - percentile(direct, fraction)).Microseconds()), "added-us-"+name)
		}
	}
}

// resourceUsage is the CPU time and heap allocations of this process.
type resourceUsage struct {
	cpu     time.Duration
	mallocs uint64
}

func processUsage() resourceUsage {
	var r syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &r)).To(Succeed())
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUsage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), mallocs: m.Mallocs}
}

// runStreams runs concurrent streams and returns the resources they used.
func runStreams(client *http.Client, base string) resourceUsage {
	before := processUsage()
	var group sync.WaitGroup
	for range streamsPerRun {
		group.Go(func() { askOnce(client, base, tokensPerStream, true) })
	}
	group.Wait()
	after := processUsage()
	return resourceUsage{cpu: after.cpu - before.cpu, mallocs: after.mallocs - before.mallocs}
}

// BenchmarkRelayedToken reports the CPU time and allocations that router and
// agent together add per token, with one token every 20 ms per stream.
func BenchmarkRelayedToken(b *testing.B) {
	s, engineURL := startOverheadSystem(b, 20*time.Millisecond)
	defer s.stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamsPerRun}}
	runStreams(client, s.Routers[0].RouterURL())
	for b.Loop() {
		direct := runStreams(client, engineURL)
		routed := runStreams(client, s.Routers[0].RouterURL())
		tokens := float64(streamsPerRun * tokensPerStream)
		b.ReportMetric(float64(direct.cpu.Microseconds())/tokens, "direct-us/token")
		b.ReportMetric(float64(routed.cpu.Microseconds())/tokens, "routed-us/token")
		b.ReportMetric(float64((routed.cpu-direct.cpu).Microseconds())/tokens, "added-us/token")
		b.ReportMetric((float64(routed.mallocs)-float64(direct.mallocs))/tokens, "added-allocs/token")
	}
}

// BenchmarkStreamMemory reports the live heap and stack that router and agent
// together add per open stream.
func BenchmarkStreamMemory(b *testing.B) {
	s, engineURL := startOverheadSystem(b, 20*time.Millisecond)
	defer s.stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamsPerRun}}
	bytesPerStream := func(base string) float64 {
		before := liveBytes()
		var group sync.WaitGroup
		for range streamsPerRun {
			group.Go(func() { askOnce(client, base, tokensPerStream, true) })
		}
		time.Sleep(2 * time.Second)
		during := liveBytes()
		group.Wait()
		return float64(during-before) / streamsPerRun
	}
	for b.Loop() {
		direct := bytesPerStream(engineURL)
		routed := bytesPerStream(s.Routers[0].RouterURL())
		b.ReportMetric((routed-direct)/1024, "added-KiB/stream")
	}
}

// liveBytes returns the heap and stack in use after a garbage collection.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
