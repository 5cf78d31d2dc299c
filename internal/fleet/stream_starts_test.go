package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
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
	found := inB.FindStream(ctx, "s", 7)
	g.Expect(found.Known).To(BeTrue())
	g.Expect(found.Origin).To(Equal(v2), "the newest start counts")
	g.Expect(inB.FindStream(ctx, "s", 9).Known).To(BeFalse())

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
	found = newcomer.FindStream(ctx, "s", 8)
	g.Expect(found.Known).To(BeTrue())
	g.Expect(found.Origin).To(Equal(v2))
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
		found := f.FindStream(ctx, "s", stream)
		g.Expect(found.Known).To(BeTrue(), "entry %d", i)
		g.Expect(found.Origin.Version).To(Equal(fmt.Sprint("v", stream%streamsPerEntry%3)))
	}
}

// newVoters starts three control hosts of one cluster, each of which has recorded a version.
func newVoters(t *testing.T, o origin.Origin) []*controlHost {
	var hosts []*controlHost
	for i, domain := range []string{"a", "b", "c"} {
		h := newControlHost(t, domain)
		h.log.id.Store(uint64(i + 1))
		h.log.members.Store(&[]replica.Member{{ID: 1, IsVoter: true}, {ID: 2, IsVoter: true}, {ID: 3, IsVoter: true}})
		_, _ = h.log.Propose(context.Background(), document.EncodeServedCommand(origin.Change{Origin: o, Presence: origin.Serving}))
		hosts = append(hosts, h)
	}
	return hosts
}

// Guards against an entry that takes the only version it hears of for the only one that serves, while it
// reaches one of three hosts, and against one that refuses streams of the only version for want of a
// leader or of one host.
func TestOnlyVersionIsKnownFromAMajorityWithoutALeader(t *testing.T) {
	g := NewWithT(t)
	v1 := origin.Origin{Service: "s", Version: "v1"}
	hosts := newVoters(t, v1)
	f, _ := startFollowerIn(t, "e", "a", hosts...)
	ctx := context.Background()
	find := func() origin.Finding { return f.FindStream(ctx, "s", 7) }
	g.Eventually(func() bool { return find().Complete }, "3s").Should(BeTrue())
	for _, h := range hosts {
		h.log.quorumLost.Store(true)
	}
	found := find()
	g.Expect(found.Complete).To(BeTrue(), "an election")
	g.Expect(found.Versions).To(Equal(map[string]bool{"v1": true}))
	for i, expected := range []bool{true, false} {
		hosts[i].http.CloseClientConnections()
		hosts[i].http.Close()
		found = find()
		g.Expect(found.Answered).To(BeTrue())
		g.Expect(found.Complete).To(Equal(expected), "%d hosts lost", i+1)
	}
}

// Guards against hosts that answer from their disk, after all of them have restarted, before they know
// what was acknowledged; and against one whose data folder was opened again at an older state.
func TestHostThatIsBehindDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	machine := document.New()
	log := &singleHostLog{MemoryLog: replica.NewMemoryLog(machine)}
	log.id.Store(1)
	log.members.Store(&[]replica.Member{{ID: 1, IsVoter: true}})
	log.quorumLost.Store(true)
	state := newReplaceableState(machine)
	state.replace(machine, false)
	h := startControlHostWith(t, log, ServerOptions{Log: log, State: state, FailureDomain: "a", MinVoters: 1, HTTPClient: http.DefaultClient, Logger: discardLogger})
	f, _ := startFollowerIn(t, "e", "a", h)
	find := func() origin.Finding { return f.FindStream(context.Background(), "s", 7) }
	g.Eventually(func() bool { return find().Answered }, "3s").Should(BeTrue())
	g.Consistently(func() bool { return find().Complete }, "300ms").Should(BeFalse())
	log.quorumLost.Store(false)
	state.replace(machine, true)
	g.Eventually(func() bool { return find().Complete }, "3s").Should(BeTrue())
	log.applied.Store(9)
	g.Expect(find().Complete).To(BeTrue())
	log.applied.Store(8)
	g.Expect(find().Complete).To(BeFalse())
}

// Guards against streams that begin at a version which a minority of the control hosts has recorded, and
// against entries that begin none once they have lost hosts.
func TestVersionCountsAsRecordedByAMajority(t *testing.T) {
	g := NewWithT(t)
	v1, v2 := origin.Origin{Service: "s", Version: "v1"}, origin.Origin{Service: "s", Version: "v2"}
	hosts := newVoters(t, v1)
	_, c := startFollowerIn(t, "e", "a", hosts...)
	served := func() map[origin.Origin]bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.served
	}
	record := func(h *controlHost, o origin.Origin) {
		_, err := h.log.Propose(context.Background(), document.EncodeServedCommand(origin.Change{Origin: o, Presence: origin.Serving}))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(served, "3s").Should(Equal(map[origin.Origin]bool{v1: true}))
	record(hosts[0], v2)
	g.Eventually(served, "3s").Should(Equal(map[origin.Origin]bool{v1: true, v2: false}))
	g.Consistently(served, "500ms").Should(Equal(map[origin.Origin]bool{v1: true, v2: false}))
	record(hosts[1], v2)
	g.Eventually(served, "3s").Should(Equal(map[origin.Origin]bool{v1: true, v2: true}))
	for _, h := range hosts[1:] {
		h.http.CloseClientConnections()
		h.http.Close()
	}
	g.Consistently(served, "2s").Should(Equal(map[origin.Origin]bool{v1: true, v2: true}))
}

// Guards against streams that begin, right after the first start of a system, at a version that is not recorded.
func TestEmptyRecordIsKnown(t *testing.T) {
	g := NewWithT(t)
	_, c := startFollowerIn(t, "e", "a", newControlHost(t, "a"))
	served := func() map[origin.Origin]bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.served
	}
	g.Eventually(served, "3s").Should(And(Not(BeNil()), BeEmpty()))
}
