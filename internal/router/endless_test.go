package router_test

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// The heap counts as settled if two collections with that pause between them leave about the same.
const (
	settledHeapBytes = 64 << 10
	settlePause      = 100 * time.Millisecond
)

// Guards against a faulty endpoint whose answers without end take the memory of a router or an agent, and with it the
// requests of other callers. The live memory is measured while all answers are under way.
var _ = Describe("answers without end", func() {
	const (
		callers = 60
		// memoryAllowance is for one router and one agent: their budgets, and what does not count in them: 64 KiB of an answer
		// and its copies in the buffers of connections.
		memoryAllowance = 2*testAnswerMemoryBytes + callers*(4*64<<10)
		blockBytes      = 64 << 10
		mebibyte        = 1 << 20
	)
	chat := func(stream bool) func(int) testRequest {
		return func(i int) testRequest { return chatRequest(strconv.Itoa(i), 100, stream) }
	}
	booking := func(i int) testRequest {
		key := "key-" + strconv.Itoa(i)
		return testRequest{path: "/services/entries/fees", body: "rider 7", header: map[string]string{"Idempotency-Key": key, standin.HeaderRunKey: key}}
	}
	event := []byte("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + strings.Repeat("x", 1<<10) + "\"}}]}\n\n")

	DescribeTable("leave the memory and other requests alone", func(prefix string, block []byte, sentBytes int, request func(int) testRequest) {
		configuration := testConfiguration()
		for name, class := range configuration.Classes { // so that no request is given up for its time
			class.Patience, class.Deadline = ticket.Duration(time.Hour), ticket.Duration(2*time.Hour)
			configuration.Classes[name] = class
		}
		cluster := newConfiguredTestCluster(0, flow.Config{Slots: 2 * callers, MaxSlots: 2 * callers}, configuration)
		DeferCleanup(cluster.shutdown)
		release := make(chan struct{})
		var sending, answered atomic.Int64 // answers sent as far as they go and not ended, and callers whose request has ended
		faulty := cluster.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			if prefix == "" {
				w.Header().Set("Content-Type", "application/json")
			}
			_, err := w.Write([]byte(prefix))
			for sent := 0; sent < sentBytes && err == nil; sent += len(block) {
				_, err = w.Write(block)
			}
			if err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			sending.Add(1)
			defer sending.Add(-1)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}))
		cluster.addAgent("faulty-engine", "advice", trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE, "advice", faulty)
		sound := cluster.endpoints[:2] // of the service
		if request(0).path == booking(0).path {
			cluster.endpoints = cluster.endpoints[2:]
			cluster.addAgent("faulty-entries", "entries", trefoilkeelv1.EndpointKind_ENDPOINT_KIND_SERVICE, "entries", faulty)
		}

		before := liveHeapBytes()
		var crowd sync.WaitGroup
		defer crowd.Wait()
		defer close(release)
		for i := range callers {
			crowd.Go(func() {
				defer answered.Add(1)
				discardAnswer(cluster.routerURL, request(i))
			})
		}
		Eventually(func() int64 { return sending.Load() + answered.Load() }, "20s").Should(BeNumerically(">=", callers))
		Expect(liveHeapBytes() - before).To(BeNumerically("<", memoryAllowance))

		cluster.mu.Lock()
		cluster.endpoints = sound
		cluster.mu.Unlock()
		Expect(cluster.send(booking(callers)).status).To(Equal(http.StatusOK))
	},
		Entry("a body", "", bytes.Repeat([]byte("x"), blockBytes), 12*mebibyte, chat(false)),
		Entry("an event", "data: ", bytes.Repeat([]byte("x"), blockBytes), 15*mebibyte/16, chat(true)),
		Entry("events", "", bytes.Repeat(event, 32), mebibyte/2, chat(true)),
		Entry("the body of a protected request", "", bytes.Repeat([]byte("x"), blockBytes), 3*mebibyte, booking),
	)
})

// liveHeapBytes returns the size of the heap once it stays as it is from one collection to the next. A single collection counts
// all that is given up or allocated while it runs.
func liveHeapBytes() int64 {
	var stats runtime.MemStats
	for last := int64(math.MinInt64); ; {
		runtime.GC()
		runtime.ReadMemStats(&stats)
		size := int64(stats.HeapAlloc)
		if max(size, last)-min(size, last) <= settledHeapBytes && last >= 0 {
			return size
		}
		last = size
		time.Sleep(settlePause)
	}
}

// discardAnswer sends a request and keeps nothing of its answer.
func discardAnswer(baseURL string, spec testRequest) {
	request, err := http.NewRequest(http.MethodPost, baseURL+spec.path, strings.NewReader(spec.body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+ridersKey)
	for name, value := range spec.header {
		request.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
