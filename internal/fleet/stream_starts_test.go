package fleet

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/origin"
)

// Guards against a stream whose origin only the entry that began it knows. Entries of other failure
// domains find it, and so does a new entry that follows another control host than the first.
func TestStreamIsFoundInAllFailureDomains(t *testing.T) {
	g := NewWithT(t)
	a, b := newControlHost(t, "a"), newControlHost(t, "b")
	connectPeers(a, b)
	inA, _ := startFollowerIn(t, "ea", "a", a, b)
	inB, _ := startFollowerIn(t, "eb", "b", a, b)
	for _, f := range []*Follower{inA, inB} {
		g.Eventually(func() int { return f.Status().LiveHostCount }, "3s").Should(Equal(2))
	}
	v1, v2 := origin.Origin{Service: "s", Version: "v1"}, origin.Origin{Service: "s", Version: "v2"}
	ctx := context.Background()
	_, err := inB.ExchangeLoad(ctx, LoadReport{}) // control hosts poll while entries report to them
	g.Expect(err).NotTo(HaveOccurred())
	_, err = inA.ExchangeLoad(ctx, LoadReport{Urgent: true, StreamStarts: []origin.Start{{Stream: 7, Origin: v1}, {Stream: 8, Origin: v2}, {Stream: 7, Origin: v2}}})
	g.Expect(err).NotTo(HaveOccurred())
	o, known, _ := inB.FindStream(ctx, 7)
	g.Expect(known).To(BeTrue())
	g.Expect(o).To(Equal(v2), "the newest start counts")
	_, known, settled := inB.FindStream(ctx, 9)
	g.Expect(known).To(BeFalse())
	g.Expect(settled).To(BeFalse(), "the hosts have just started")

	stop := keepReporting([]*Follower{inB})
	defer stop()
	knownAtB := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		_, known := b.streams.memory.Find(8)
		return known
	}
	g.Eventually(knownAtB, "3s").Should(BeTrue())
	newcomer, _ := startFollowerIn(t, "new", "c", b)
	g.Eventually(func() int { return newcomer.Status().LiveHostCount }, "3s").Should(BeNumerically(">", 0))
	o, known, _ = newcomer.FindStream(ctx, 8)
	g.Expect(known).To(BeTrue())
	g.Expect(o).To(Equal(v2))
}

// Guards against streams that few of 70 entries can take up: each entry began some, in five failure
// domains, and one of them loses its control host.
func TestStreamsAreFoundAmong70Entries(t *testing.T) {
	const streamsPerEntry = 20
	g := NewWithT(t)
	var hosts []*controlHost
	domains := []string{"a", "b", "c", "d", "e"}
	for _, domain := range domains {
		hosts = append(hosts, newControlHost(t, domain))
	}
	connectPeers(hosts...)
	var entries []*Follower
	for i := range 70 {
		f, _ := startFollowerIn(t, fmt.Sprint("entry", i), domains[i%len(domains)], hosts...)
		entries = append(entries, f)
	}
	for _, f := range entries {
		g.Eventually(func() int { return f.Status().LiveHostCount }, "20s").Should(Equal(len(hosts)))
	}
	stop := keepReporting(entries[:len(domains)]) // one entry of each domain
	defer stop()
	ctx := context.Background()
	for i, f := range entries {
		var starts []origin.Start
		for n := range streamsPerEntry {
			starts = append(starts, origin.Start{Stream: uint64(i*streamsPerEntry + n), Origin: origin.Origin{Service: "s", Version: fmt.Sprint("v", n%3)}})
		}
		_, err := f.ExchangeLoad(ctx, LoadReport{Urgent: true, StreamStarts: starts})
		g.Expect(err).NotTo(HaveOccurred())
	}
	knowsAll := func(h *controlHost) func() bool {
		return func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			for stream := range uint64(len(entries) * streamsPerEntry) {
				if o, known := h.streams.memory.Find(stream); !known || o.Version != fmt.Sprint("v", stream%streamsPerEntry%3) {
					return false
				}
			}
			return true
		}
	}
	for _, h := range hosts[1:] {
		g.Eventually(knowsAll(h), "10s").Should(BeTrue())
	}
	hosts[0].http.CloseClientConnections()
	hosts[0].http.Close()
	for i, f := range entries {
		stream := uint64((i*streamsPerEntry + 7) * 3 % (len(entries) * streamsPerEntry))
		o, known, _ := f.FindStream(ctx, stream)
		g.Expect(known).To(BeTrue(), "entry %d", i)
		g.Expect(o.Version).To(Equal(fmt.Sprint("v", stream%streamsPerEntry%3)))
	}
}
