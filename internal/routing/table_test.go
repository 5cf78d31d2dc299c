package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

var startTime = time.Unix(1_800_000_000, 0)

const engineKind = pb.EndpointKind_ENDPOINT_KIND_ENGINE

// testConfiguration serves model m to every workspace from group g, and model p only to
// workspace w from group private.
func testConfiguration() *ticket.Configuration {
	c := ticket.NewConfiguration()
	c.EndpointGroups["g"] = ticket.EndpointGroup{Name: "g", Workspaces: []string{"*"}, Models: []string{"m"}}
	c.EndpointGroups["private"] = ticket.EndpointGroup{Name: "private", Workspaces: []string{"w"}, Models: []string{"p"}}
	return c
}

// engineEndpoints returns n endpoints of group g, spread over three failure domains.
func engineEndpoints(n int) []*pb.Endpoint {
	var list []*pb.Endpoint
	for i := range n {
		list = append(list, &pb.Endpoint{
			Name: fmt.Sprintf("e%03d", i), Incarnation: 1, Group: "g", Kind: engineKind,
			FailureDomain: fmt.Sprintf("d%d", i%3), State: pb.EndpointState_ENDPOINT_STATE_ACTIVE,
			Models: []string{"m"},
		})
	}
	return list
}

func newTable(endpoints []*pb.Endpoint) *Table {
	t := New(Config{FailureDomain: "d0"})
	t.Update(startTime, endpoints, testConfiguration())
	return t
}

func newSeededRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

var _ = Describe("Choose", func() {
	It("excludes endpoints that drain, were tried or do not serve the model", func() {
		list := engineEndpoints(4)
		list[1].State = pb.EndpointState_ENDPOINT_STATE_DRAINING
		list[2].Models = nil
		t := newTable(list)
		r := Request{Workspace: "w", Target: "m", Kind: engineKind, Tier: 1, TriedEndpoints: []string{"e000"}}
		d, err := t.Choose(startTime, r, newSeededRand())
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Endpoint.GetName()).To(Equal("e003"))
		r.TriedEndpoints = append(r.TriedEndpoints, "e003")
		_, err = t.Choose(startTime, r, newSeededRand())
		Expect(err).To(Equal(&NoEndpointError{Target: "m", Workspace: "w", Serving: 3, Tried: 2, Leaving: 1}))
		_, err = t.Choose(startTime, Request{Workspace: "w", Target: "p", Kind: engineKind}, newSeededRand())
		Expect(err).To(Equal(&NoEndpointError{Target: "p", Workspace: "w"}))
	})

	It("ejects after consecutive failures, probes after the backoff, and limits the ejected share", func() {
		t := newTable(engineEndpoints(2))
		r := Request{Workspace: "w", Target: "m", Kind: engineKind, Tier: 1}
		for _, name := range []string{"e000", "e001"} {
			for range defaultConsecutiveFailuresToEject {
				t.RequestStarted(startTime, name, 1)
				t.RequestFinished(startTime, name, 1, Failed)
			}
		}
		d, err := t.Choose(startTime, r, newSeededRand())
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Endpoint.GetName()).To(Equal("e001"))
		r.TriedEndpoints = []string{"e001"}
		d, err = t.Choose(startTime, r, newSeededRand())
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Reason).To(Equal(ReasonAllEjected))
		d, _ = t.Choose(startTime.Add(defaultBaseEjectionTime), r, newSeededRand())
		Expect(d.Endpoint.GetName()).To(Equal("e000"))
		t.RequestFinished(startTime, "e000", 1, Succeeded)
		Expect(t.endpoints["e000"].ejected).To(BeFalse())
	})
})

var _ = Describe("Affinity", func() {
	It("counts reported blocks fully, and assumed ones and those from before a gap half", func() {
		t := newTable(engineEndpoints(6))
		prefix := []uint64{1, 2, 3, 4}
		held := func() int { return t.affinity.expectedCachedBlocks(prefix, t.endpoints["e001"]) }
		t.assumeCached(t.endpoints["e001"], prefix)
		Expect(held()).To(Equal(2))
		t.ApplyCacheEvent(CacheEvent{Endpoint: "e001", Incarnation: 1, Sequence: 1, Stored: prefix})
		Expect(held()).To(Equal(4))
		t.ApplyCacheEvent(CacheEvent{Endpoint: "e001", Incarnation: 1, Sequence: 3, Stored: []uint64{9}})
		Expect(held()).To(Equal(2))
		t.ApplyCacheEvent(CacheEvent{Endpoint: "e001", Incarnation: 1, Sequence: 2, Removed: prefix})
		Expect(held()).To(Equal(2))
		t.ApplyCacheEvent(CacheEvent{Endpoint: "e001", Incarnation: 2, Sequence: 4, Removed: prefix})
		Expect(held()).To(Equal(2))
		t.ApplyCacheEvent(CacheEvent{Endpoint: "e001", Incarnation: 1, Sequence: 4, Removed: prefix})
		Expect(held()).To(Equal(0))
	})

	It("prefers an endpoint with the cached prefix in another failure domain only while it has a free slot", func() {
		list := engineEndpoints(6)
		t := newTable(list)
		r := Request{Workspace: "w", Target: "m", Kind: engineKind, Tier: 1, Prefix: []uint64{7, 8}}
		t.ApplyCacheEvent(CacheEvent{Endpoint: "e001", Incarnation: 1, Sequence: 1, Stored: r.Prefix})
		for _, e := range list {
			t.RecordLoad(startTime, e.GetName(), 1, &pb.Load{Running: 1, Slots: 8, ServiceTimeUs: 1e6, FirstTokenUs: 1e5, Sequence: 1})
		}
		d, _ := t.Choose(startTime, r, newSeededRand())
		Expect(d.Endpoint.GetName()).To(Equal("e001"))
		Expect(d.Reason).To(Equal(ReasonAffinity))
		t.RecordLoad(startTime, "e001", 1, &pb.Load{Running: 8, Slots: 8, ServiceTimeUs: 1e6, FirstTokenUs: 1e5, Sequence: 2})
		d, _ = t.Choose(startTime, r, newSeededRand())
		Expect(d.Endpoint.GetName()).NotTo(Equal("e001"))
	})

	It("stays within its limit and evicts unreferenced blocks first", func() {
		a := newAffinityIndex(3)
		e := &endpoint{}
		for hash := range uint64(100) {
			a.record(hash, e, true)
		}
		Expect(a.blocks).To(HaveLen(3))
		Expect(a.expectedCachedBlocks([]uint64{99}, e)).To(Equal(1))
		Expect(a.expectedCachedBlocks([]uint64{0}, e)).To(Equal(0))
	})
})
