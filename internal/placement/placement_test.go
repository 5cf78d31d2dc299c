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
	LoadInterval: 10 * time.Second, LoadBurst: 2, MaxUnavailableFraction: 0.25, OrderTimeout: time.Minute,
}

var start = time.Unix(1000, 0)

func member(name, group string, models ...string) lease.Member {
	return lease.Member{Endpoint: &pb.Endpoint{
		Name: name, Group: group, Incarnation: 1, Models: models,
		Kind:  pb.EndpointKind_ENDPOINT_KIND_ENGINE,
		State: pb.EndpointState_ENDPOINT_STATE_ACTIVE,
	}}
}

func withPendingOrder(m lease.Member, id string) lease.Member {
	m.PendingOrders = []*pb.Order{{Id: id}}
	return m
}

func draining(m lease.Member) lease.Member {
	m.Endpoint = proto.CloneOf(m.Endpoint)
	m.Endpoint.State = pb.EndpointState_ENDPOINT_STATE_DRAINING
	return m
}

func config() *ticket.Configuration {
	c := ticket.NewConfiguration()
	c.EndpointGroups["g"] = ticket.EndpointGroup{Name: "g", Models: []string{"m"}}
	return c
}

func outcomes(decisions []placement.Decision) []placement.Outcome {
	var out []placement.Outcome
	for _, d := range decisions {
		out = append(out, d.Outcome)
	}
	return out
}

var _ = DescribeTable("a decision", func(want []placement.Outcome, members ...lease.Member) {
	Expect(outcomes(placement.New(settings).Plan(start, config(), members))).To(Equal(want))
},
	Entry("is not made if the models match the group or the group is unknown", []placement.Outcome(nil), member("a", "g", "m"), member("b", "other", "x")),
	Entry("loads a missing model", []placement.Outcome{placement.Ordered}, member("a", "g")),
	Entry("keeps the load rate of the weight store", []placement.Outcome{placement.Ordered, placement.RateLimited},
		member("a", "g"), member("b", "g")),
	Entry("does not reissue a pending order", []placement.Outcome{placement.Pending}, withPendingOrder(member("a", "g"), "o")),
	Entry("gives a draining endpoint no order", []placement.Outcome{placement.Draining}, draining(member("a", "g"))),
	Entry("takes one of a model's endpoints out of service at a time",
		[]placement.Outcome{placement.Ordered, placement.TooManyUnavailable},
		member("a", "g", "m", "old"), member("b", "g", "m", "old")),
	Entry("counts an endpoint that is out of service for another reason",
		[]placement.Outcome{placement.TooManyUnavailable},
		member("a", "g", "m", "old"), draining(member("b", "g", "m"))),
)

var _ = Describe("an order that is not executed", func() {
	It("is reissued after its timeout", func() {
		p := placement.New(settings)
		members := []lease.Member{withPendingOrder(member("a", "g"), "o1")}
		Expect(outcomes(p.Plan(start, config(), members))).To(Equal([]placement.Outcome{placement.Pending}))
		Expect(outcomes(p.Plan(start.Add(time.Minute), config(), members))).To(Equal([]placement.Outcome{placement.Ordered}))
	})
})

// Engines of random fleets execute orders after random delays. Loads stay within
// the rate of the weight store, endpoints out of service within their limit, and
// every engine ends with the models of its group.
func TestLoadRateAndUnavailabilityAreBounded(t *testing.T) {
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
				members[i].PendingOrders = []*pb.Order{{Id: fmt.Sprint(step, d.Endpoint), Kind: d.Kind, Model: d.Model}}
			}
			if limit := settings.LoadBurst + int(now.Sub(start)/settings.LoadInterval); loads > limit {
				t.Fatalf("%d loads, the weight store allows %d", loads, limit)
			}
			checkUnavailable(t, members)
			executeOrders(t, members)
		}
		if left := p.Plan(now, config(), members); len(left) > 0 {
			t.Fatalf("decisions left after the last step: %v", left)
		}
	})
}

func checkUnavailable(t *rapid.T, members []lease.Member) {
	for _, model := range []string{"m", "old"} {
		total, unavailable := 0, 0
		for _, m := range members {
			if slices.Contains(m.Endpoint.GetModels(), model) {
				total++
				unavailable += min(len(m.PendingOrders), 1)
			}
		}
		if unavailable > max(1, int(settings.MaxUnavailableFraction*float64(total))) {
			t.Fatalf("%d of %d endpoints of %s are out of service", unavailable, total, model)
		}
	}
}

func executeOrders(t *rapid.T, members []lease.Member) {
	for i, m := range members {
		if len(m.PendingOrders) == 0 || rapid.IntRange(0, 2).Draw(t, "busy") > 0 {
			continue
		}
		e := proto.CloneOf(m.Endpoint)
		if o := m.PendingOrders[0]; o.GetKind() == pb.OrderKind_ORDER_KIND_LOAD {
			e.Models = append(e.Models, o.GetModel())
		} else {
			e.Models = slices.DeleteFunc(e.Models, func(name string) bool { return name == o.GetModel() })
		}
		members[i] = lease.Member{Endpoint: e}
	}
}
