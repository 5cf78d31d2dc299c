package fleet

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/origin"
)

// Guards against a stream whose origin is known to the entry that began it only: an entry in any
// failure domain finds it, one that has just arrived too, also after the host that was told has gone.
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
