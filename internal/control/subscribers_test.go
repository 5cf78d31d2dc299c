package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Under load a subscriber may reconnect, to the same control host or another one,
// before its earlier stream has ended. The status must list it once, at the
// revision of its newest stream and never at an older one.
func TestReconnectedSubscriberIsListedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	for range 50 { // the iteration order of a map is random
		registry := newSubscriberRegistry(10)
		earlierStream, _ := registry.add(now, "router-1", "router", 5)
		earlierStream.recordSent(now, 5)
		newestStream, _ := registry.add(now.Add(time.Second), "router-1", "router", 7)
		registry.recordReport(now, 2, []*pb.SubscriberReport{
			{Name: "router-1", Kind: "router", Revision: 4},
			{Name: "router-2", Kind: "router", Revision: 6},
		})
		newestStream.recordSent(now.Add(time.Second), 7)
		listed := map[string]uint64{}
		for _, r := range registry.all(now.Add(1500 * time.Millisecond)) {
			g.Expect(listed).NotTo(HaveKey(r.GetName()))
			listed[r.GetName()] = r.GetRevision()
		}
		g.Expect(listed).To(Equal(map[string]uint64{"router-1": 7, "router-2": 6}))
	}
}

// A subscriber that has moved to another host is listed as that host reports it,
// although its earlier stream here is still open.
func TestMovedSubscriberIsListedByItsNewHost(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	registry := newSubscriberRegistry(10)
	earlierStream, _ := registry.add(now, "router-1", "router", 5)
	earlierStream.recordSent(now, 5)
	registry.recordReport(now.Add(4*time.Second), 2, []*pb.SubscriberReport{
		{Name: "router-1", Kind: "router", Revision: 8, AgeMs: 300},
	})
	listed := registry.all(now.Add(5 * time.Second))
	g.Expect(listed).To(HaveLen(1))
	g.Expect(listed[0].GetRevision()).To(Equal(uint64(8)))
	g.Expect(listed[0].GetAgeMs()).To(Equal(uint64(1300)), "the age counts from the last event sent, not from the report")
	g.Expect(registry.all(now.Add(4*time.Second+hostReportLifetime+time.Second))).To(HaveLen(1),
		"the report has expired, but the stream here is still open")
}
