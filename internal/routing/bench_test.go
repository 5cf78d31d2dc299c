package routing

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// withLoadReports gives every engine a load report with three tiers.
func withLoadReports(list []*pb.Endpoint) []*pb.Endpoint {
	for i, e := range list {
		e.Load = &pb.Load{Running: uint32(20 + i%12), Slots: 28, ServiceTimeUs: 5e6, FirstTokenUs: 100e3, Sequence: 1, BetweenTokensUs: 60e3,
			Tiers: []*pb.TierLoad{{Tier: 1, Running: 5}, {Tier: 3, Running: 8, Waiting: 2}, {Tier: 5, Running: 9, Waiting: uint32(i % 40)}}}
	}
	return list
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 136, 680} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			t := newTable(withLoadReports(engineEndpoints(n)))
			random := newSeededRand()
			for i := range 4 {
				t.ApplyCacheEvent(CacheEvent{Endpoint: fmt.Sprintf("e%03d", i), Incarnation: 1, Sequence: 1, Stored: []uint64{1, 2, 3, 4}})
			}
			r := Request{Workspace: "w", Target: "m", Kind: engineKind, Tier: 1, Class: "stage", Prefix: []uint64{1, 2, 3, 4}}
			b.ReportAllocs()
			for b.Loop() {
				d, err := t.Choose(startTime, r, random)
				if err != nil {
					b.Fatal(err)
				}
				t.RequestStarted(startTime, d.Endpoint.GetName(), 1)
				t.RequestFinished(startTime.Add(time.Millisecond), d.Endpoint.GetName(), 1, Succeeded)
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	list := withLoadReports(engineEndpoints(680))
	t := newTable(list)
	b.ReportAllocs()
	for b.Loop() {
		t.Update(startTime, list, testConfiguration())
	}
}
