package lease_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

func join(name, nonce string) *pb.JoinCommand {
	return &pb.JoinCommand{Endpoint: &pb.Endpoint{Name: name}, Nonce: nonce, MaxEndpoints: 3}
}

func leave(name string, incarnation uint64) *pb.LeaveCommand {
	return &pb.LeaveCommand{Incarnations: []*pb.Incarnation{{Name: name, Incarnation: incarnation}}}
}

// grantHistory is a table with the newest values that it has granted.
type grantHistory struct {
	table           *lease.Table
	index           uint64
	term            uint64
	lastFence       uint64
	lastIncarnation uint64
	holder          map[string]string // by name
	retired         map[string]bool   // by name and nonce
	lastVersion     uint64
}

// TestGrants guards against incarnations or fencing numbers that are reused or
// decrease, a resent join that gets a different grant, and a superseded process
// that regains its name. It draws random joins, leaves, orders, new terms and
// restarts.
func TestGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &grantHistory{table: lease.NewTable(), term: 1, holder: map[string]string{}, retired: map[string]bool{}}
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				h.join(t, name.Draw(t, "name"), fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "nonce")))
			},
			"leave": func(t *rapid.T) {
				h.leave(t, name.Draw(t, "name"), uint64(rapid.IntRange(0, int(h.lastIncarnation)).Draw(t, "incarnation")))
			},
			"order": func(t *rapid.T) { h.order(t, name.Draw(t, "name")) },
			"lead":  func(*rapid.T) { h.term++ },
			"restart": func(t *rapid.T) {
				restored := lease.Restore(h.table.Snapshot())
				if !proto.Equal(restored.Snapshot(), h.table.Snapshot()) {
					t.Fatal("a restored table differs")
				}
				h.table = restored
			},
			"": func(t *rapid.T) {
				if h.table.Version() < h.lastVersion {
					t.Fatal("the version decreased")
				}
				h.lastVersion = h.table.Version()
			},
		})
	})
}

func (h *grantHistory) join(t *rapid.T, name, nonce string) {
	h.index++
	before, present := h.table.Get(name)
	r := h.table.Join(h.index, h.term, join(name, nonce))
	resent := present && h.holder[name] == nonce
	switch {
	case r.GetRefusal() != pb.JoinRefusal_JOIN_REFUSAL_UNSPECIFIED:
		if resent {
			t.Fatal("a resent join was refused")
		}
	case resent:
		if r.GetIncarnation() != before.Endpoint.GetIncarnation() || r.GetFence() != before.Endpoint.GetFence() {
			t.Fatal("a resent join got a different grant")
		}
	default:
		h.checkFence(t, r.GetFence())
		if r.GetIncarnation() <= h.lastIncarnation {
			t.Fatalf("incarnation %d after %d", r.GetIncarnation(), h.lastIncarnation)
		}
		if present && h.retired[name+nonce] {
			t.Fatal("a superseded process got its name back")
		}
		h.lastIncarnation = r.GetIncarnation()
		h.retire(name, nonce, present)
	}
}

// retire records the new holder of a name. Joining after a leave clears the retired
// nonces of that name.
func (h *grantHistory) retire(name, nonce string, present bool) {
	if present {
		h.retired[name+h.holder[name]] = true
	} else {
		for n := range h.retired {
			if n[:1] == name {
				delete(h.retired, n)
			}
		}
	}
	h.holder[name] = nonce
}

func (h *grantHistory) leave(t *rapid.T, name string, incarnation uint64) {
	h.index++
	before, present := h.table.Get(name)
	removed := h.table.Leave(h.index, leave(name, incarnation))
	want := 0
	if present && before.Endpoint.GetIncarnation() == incarnation {
		want = 1
	}
	if removed != want {
		t.Fatalf("leave of %s/%d removed %d", name, incarnation, removed)
	}
}

func (h *grantHistory) order(t *rapid.T, name string) {
	m, present := h.table.Get(name)
	if !present {
		t.Skip("absent")
	}
	command := &pb.OrderCommand{Name: name, Incarnation: m.Endpoint.GetIncarnation(), Orders: []*pb.Order{{Model: "m"}}}
	h.table.ReplaceOrders(h.term, command)
	m, _ = h.table.Get(name)
	h.checkFence(t, m.PendingOrders[0].GetFence())
}

func (h *grantHistory) checkFence(t *rapid.T, fence uint64) {
	if fence <= h.lastFence || fence>>32 < h.term {
		t.Fatalf("fence %d after %d in term %d", fence, h.lastFence, h.term)
	}
	h.lastFence = fence
}

var _ = Describe("the table", func() {
	It("refuses a process that was superseded, also after a restart", func() {
		t := lease.NewTable()
		first := t.Join(1, 1, join("a", "n1"))
		second := t.Join(2, 1, join("a", "n2"))
		Expect(second.GetIncarnation()).To(BeNumerically(">", first.GetIncarnation()))
		t = lease.Restore(t.Snapshot())
		Expect(t.Join(3, 1, join("a", "n1")).GetRefusal()).To(Equal(pb.JoinRefusal_JOIN_REFUSAL_SUPERSEDED))
		Expect(t.Leave(4, leave("a", first.GetIncarnation()))).To(BeZero())
	})

	It("refuses new endpoints above MaxEndpoints", func() {
		t := lease.NewTable()
		for _, name := range []string{"a", "b", "c"} {
			t.Join(1, 1, join(name, "n"))
		}
		Expect(t.Join(2, 1, join("d", "n")).GetRefusal()).To(Equal(pb.JoinRefusal_JOIN_REFUSAL_FULL))
	})

	It("keeps a drain for the next incarnation and ends it on request", func() {
		t := lease.NewTable()
		t.Join(1, 1, join("a", "n1"))
		t.SetWantedState(2, &pb.WantCommand{Name: "a", Wanted: pb.EndpointState_ENDPOINT_STATE_DRAINING})
		t.Join(3, 1, join("a", "n2"))
		m, _ := t.Get("a")
		Expect(m.Endpoint.GetState()).To(Equal(pb.EndpointState_ENDPOINT_STATE_DRAINING))
		t.SetWantedState(4, &pb.WantCommand{Name: "a", Wanted: pb.EndpointState_ENDPOINT_STATE_ACTIVE})
		m, _ = t.Get("a")
		Expect(m.Endpoint.GetState()).To(Equal(pb.EndpointState_ENDPOINT_STATE_ACTIVE))
	})

	It("drops an order once the reported models fulfil it", func() {
		t := lease.NewTable()
		r := t.Join(1, 1, join("a", "n1"))
		t.ReplaceOrders(1, &pb.OrderCommand{Name: "a", Incarnation: r.GetIncarnation(), Orders: []*pb.Order{
			{Kind: pb.OrderKind_ORDER_KIND_LOAD, Model: "m"},
		}})
		update := &pb.EndpointUpdate{Name: "a", Incarnation: r.GetIncarnation(), Models: []string{"m"}}
		t.Update(2, &pb.UpdateCommand{Updates: []*pb.EndpointUpdate{update}})
		m, _ := t.Get("a")
		Expect(m.PendingOrders).To(BeEmpty())
	})

	It("lists the changes after a version, or reports that not all are stored", func() {
		t := lease.NewTable()
		r := t.Join(5, 1, join("a", "n1"))
		t.Leave(9, leave("a", r.GetIncarnation()))
		changes, ok := t.ChangesSince(5)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Version).To(BeEquivalentTo(9))
		Expect(changes[0].Endpoint.GetState()).To(Equal(pb.EndpointState_ENDPOINT_STATE_GONE))
		_, ok = t.ChangesSince(4)
		Expect(ok).To(BeFalse())
		_, ok = t.ChangesSince(10)
		Expect(ok).To(BeFalse())
	})
})

var _ = DescribeTable("the fencing gate", func(fences []uint64, accepted []bool) {
	var g lease.FenceGate
	for i, fence := range fences {
		Expect(g.Accept(fence)).To(Equal(accepted[i]), "number %d", fence)
	}
},
	Entry("increasing numbers", []uint64{1, 2, 9}, []bool{true, true, true}),
	Entry("an order sent twice", []uint64{4, 4}, []bool{true, false}),
	Entry("an old leader's order after the new one's", []uint64{2<<32 + 1, 1<<32 + 900}, []bool{true, false}),
	Entry("a late order of the same leader", []uint64{5, 7, 6}, []bool{true, true, false}),
	Entry("zero", []uint64{0}, []bool{false}),
)

var _ = Describe("the heartbeat tracker", func() {
	const second = time.Second
	var (
		tracker   *lease.Tracker
		endpoints []*pb.Endpoint
		start     = time.Unix(1000, 0)
	)

	BeforeEach(func() {
		tracker = lease.NewTracker(lease.TrackerSettings{LeaseDuration: 9 * second, DomainOutageGrace: 60 * second})
		endpoints = nil
		for _, domain := range []string{"x", "y"} {
			for i := range 4 {
				endpoints = append(endpoints, &pb.Endpoint{
					Name: fmt.Sprintf("%s%d", domain, i), Incarnation: 1, FailureDomain: domain,
				})
			}
		}
	})

	// heartbeats records one heartbeat per second of the named endpoints, between two
	// times in seconds after start, and returns the endpoints whose lease expired.
	heartbeats := func(from, to int, heard ...string) []string {
		var expired []string
		for s := from; s < to; s++ {
			now := start.Add(time.Duration(s) * second)
			for _, name := range heard {
				tracker.RecordHeartbeat(now, name, 1)
			}
			for _, i := range tracker.Expire(now, endpoints) {
				expired = append(expired, i.GetName())
			}
		}
		return expired
	}
	allNames := []string{"x0", "x1", "x2", "x3", "y0", "y1", "y2", "y3"}

	It("ends the lease of one silent endpoint", func() {
		Expect(heartbeats(0, 20, allNames...)).To(BeEmpty())
		Expect(heartbeats(20, 28, allNames[1:]...)).To(BeEmpty())
		Expect(heartbeats(28, 30, allNames[1:]...)).To(ContainElement("x0"))
	})

	It("expires no lease while every endpoint is silent, however long", func() {
		Expect(heartbeats(0, 20, allNames...)).To(BeEmpty())
		Expect(heartbeats(20, 500)).To(BeEmpty())
	})

	It("renews the leases of endpoints that are still silent when most are heard again", func() {
		Expect(heartbeats(0, 20, allNames...)).To(BeEmpty())
		Expect(heartbeats(20, 50)).To(BeEmpty())
		Expect(heartbeats(50, 52, "x0", "x1", "x2", "y0", "y1", "y2")).To(BeEmpty())
		Expect(heartbeats(52, 70, allNames...)).To(BeEmpty())
	})

	It("keeps the endpoints of a silent failure domain until the outage grace is over", func() {
		Expect(heartbeats(0, 20, allNames...)).To(BeEmpty())
		Expect(heartbeats(20, 79, allNames[4:]...)).To(BeEmpty())
		Expect(heartbeats(79, 82, allNames[4:]...)).To(ContainElements("x0", "x1", "x2", "x3"))
	})

	It("renews every lease after a pause between calls of Expire", func() {
		Expect(heartbeats(0, 20, allNames...)).To(BeEmpty())
		Expect(heartbeats(60, 66, allNames[1:]...)).To(BeEmpty())
	})

	It("renews every lease after Reset", func() {
		Expect(heartbeats(0, 20, allNames...)).To(BeEmpty())
		tracker.Reset()
		Expect(heartbeats(40, 48, allNames[1:]...)).To(BeEmpty())
	})

	It("gives a full lease to an endpoint last heard before the tracker started", func() {
		tracker.RecordHeartbeat(start.Add(-60*second), "x0", 1)
		Expect(heartbeats(0, 8, allNames[1:]...)).To(BeEmpty())
		Expect(heartbeats(8, 12, allNames[1:]...)).To(ContainElement("x0"))
	})

	It("ignores heartbeats of an older incarnation", func() {
		Expect(heartbeats(0, 5, allNames...)).To(BeEmpty())
		endpoints[0] = &pb.Endpoint{Name: "x0", Incarnation: 2, FailureDomain: "x"}
		Expect(heartbeats(5, 17, allNames...)).To(ContainElement("x0"))
	})
})
