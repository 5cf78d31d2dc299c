package placement_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/placement"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var settings = placement.Settings{
	LoadInterval: 10 * time.Second, LoadBurst: 2, OutShare: 0.25, OrderTimeout: time.Minute,
}

var start = time.Unix(1000, 0)

func member(name, group string, models ...string) lease.Member {
	return lease.Member{Endpoint: &pb.Endpoint{
		Name: name, Group: group, Incarnation: 1, Models: models,
		Kind:  pb.EndpointKind_ENDPOINT_KIND_ENGINE,
		State: pb.EndpointState_ENDPOINT_STATE_ACTIVE,
	}}
}

func pending(m lease.Member, id string) lease.Member {
	m.Orders = []*pb.Order{{Id: id}}
	return m
}

func draining(m lease.Member) lease.Member {
	m.Endpoint = proto.CloneOf(m.Endpoint)
	m.Endpoint.State = pb.EndpointState_ENDPOINT_STATE_DRAINING
	return m
}

func config() *ticket.State {
	s := ticket.NewState()
	s.EndpointGroups["g"] = ticket.EndpointGroup{Name: "g", Models: []string{"m"}}
	return s
}

func outcomes(list []placement.Decision) []placement.Outcome {
	var out []placement.Outcome
	for _, d := range list {
		out = append(out, d.Outcome)
	}
	return out
}

var _ = DescribeTable("a difference", func(want []placement.Outcome, members ...lease.Member) {
	Expect(outcomes(placement.New(settings).Plan(start, config(), members))).To(Equal(want))
},
	Entry("none", []placement.Outcome(nil), member("a", "g", "m"), member("b", "other", "x")),
	Entry("a missing model is loaded", []placement.Outcome{placement.Ordered}, member("a", "g")),
	Entry("loads are paced", []placement.Outcome{placement.Ordered, placement.Paced},
		member("a", "g"), member("b", "g")),
	Entry("a pending order is not given again", []placement.Outcome{placement.Pending}, pending(member("a", "g"), "o")),
	Entry("a draining endpoint gets no order", []placement.Outcome{placement.Draining}, draining(member("a", "g"))),
	Entry("one of a model's endpoints at once",
		[]placement.Outcome{placement.Ordered, placement.Limited},
		member("a", "g", "m", "old"), member("b", "g", "m", "old")),
	Entry("an endpoint that is out for another reason counts",
		[]placement.Outcome{placement.Limited},
		member("a", "g", "m", "old"), draining(member("b", "g", "m"))),
)

var _ = Describe("an order that is not carried out", func() {
	It("is given again after its timeout", func() {
		p := placement.New(settings)
		list := []lease.Member{pending(member("a", "g"), "o1")}
		Expect(outcomes(p.Plan(start, config(), list))).To(Equal([]placement.Outcome{placement.Pending}))
		Expect(outcomes(p.Plan(start.Add(time.Minute), config(), list))).To(Equal([]placement.Outcome{placement.Ordered}))
	})
})

// TestBounds checks, over random fleets whose engines carry out orders at
// random, that loads keep the weight store's pace, that no more than the
// share of a model's endpoints is out, and that all is loaded in the end.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := placement.New(settings)
		var members []lease.Member
		for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
			models := rapid.SampledFrom([][]string{nil, {"m"}, {"old"}, {"m", "old"}}).Draw(t, "models")
			members = append(members, member(fmt.Sprintf("e%02d", i), "g", models...))
		}
		loads, now := 0, start
		for step := range 400 {
			now = now.Add(time.Second)
			for _, d := range p.Plan(now, config(), members) {
				if d.Outcome != placement.Ordered {
					continue
				}
				if d.Kind == pb.OrderKind_ORDER_KIND_LOAD {
					loads++
				}
				i := slices.IndexFunc(members, func(m lease.Member) bool { return m.Endpoint.GetName() == d.Endpoint })
				members[i].Orders = []*pb.Order{{Id: fmt.Sprint(step, d.Endpoint), Kind: d.Kind, Model: d.Model}}
			}
			if most := settings.LoadBurst + int(now.Sub(start)/settings.LoadInterval); loads > most {
				t.Fatalf("%d loads, the weight store allows %d", loads, most)
			}
			checkOut(t, members)
			carryOut(t, members)
		}
		if left := p.Plan(now, config(), members); len(left) > 0 {
			t.Fatalf("still different: %v", left)
		}
	})
}

func checkOut(t *rapid.T, members []lease.Member) {
	for _, model := range []string{"m", "old"} {
		total, out := 0, 0
		for _, m := range members {
			if slices.Contains(m.Endpoint.GetModels(), model) {
				total++
				out += min(len(m.Orders), 1)
			}
		}
		if out > max(1, int(settings.OutShare*float64(total))) {
			t.Fatalf("%d of %d endpoints of %s are out", out, total, model)
		}
	}
}

func carryOut(t *rapid.T, members []lease.Member) {
	for i, m := range members {
		if len(m.Orders) == 0 || rapid.IntRange(0, 2).Draw(t, "busy") > 0 {
			continue
		}
		e := proto.CloneOf(m.Endpoint)
		if o := m.Orders[0]; o.GetKind() == pb.OrderKind_ORDER_KIND_LOAD {
			e.Models = append(e.Models, o.GetModel())
		} else {
			e.Models = slices.DeleteFunc(e.Models, func(name string) bool { return name == o.GetModel() })
		}
		members[i] = lease.Member{Endpoint: e}
	}
}
