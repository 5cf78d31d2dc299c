package follow

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

func TestFollow(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "follow")
}

func revisionEvent(n uint64) *pb.FollowEvent {
	encoded, err := ticket.Encode(&ticket.Ticket{
		Number: n, Author: "test", Summary: "limit",
		Limits: []ticket.Limit{{Name: "limit", RequestsPerSecond: int(n)}},
	})
	if err != nil {
		panic(err)
	}
	return &pb.FollowEvent{Event: &pb.FollowEvent_Revision{Revision: &pb.Revision{Revision: n, Ticket: encoded}}}
}

func checkpointEvent(n uint64) *pb.FollowEvent {
	config := ticket.NewConfiguration()
	config.Revision, config.LastNumber = n, n
	config.Limits["limit"] = ticket.Limit{Name: "limit", RequestsPerSecond: int(n)}
	encoded, err := ticket.EncodeConfiguration(config)
	if err != nil {
		panic(err)
	}
	return &pb.FollowEvent{Event: &pb.FollowEvent_Checkpoint{
		Checkpoint: &pb.Checkpoint{Revision: n, Configuration: encoded},
	}}
}

func directoryEvent(version uint64, endpoints ...*pb.Endpoint) *pb.FollowEvent {
	return &pb.FollowEvent{DirectoryVersion: version, Event: &pb.FollowEvent_Directory{
		Directory: &pb.Directory{Version: version, Endpoints: endpoints},
	}}
}

func endpointEvent(version uint64, e *pb.Endpoint) *pb.FollowEvent {
	return &pb.FollowEvent{DirectoryVersion: version, Event: &pb.FollowEvent_Endpoint{Endpoint: e}}
}

func digestEvent(name string, incarnation, sequence uint64) *pb.FollowEvent {
	load := &pb.EndpointLoad{Name: name, Incarnation: incarnation, Load: &pb.Load{Sequence: sequence}}
	return &pb.FollowEvent{Event: &pb.FollowEvent_Digest{Digest: &pb.Digest{Loads: []*pb.EndpointLoad{load}}}}
}

var _ = ginkgo.DescribeTable("the revision never decreases", func(want uint64, events ...*pb.FollowEvent) {
	v := &view{}
	newest := uint64(0)
	for _, e := range events {
		_, _ = v.apply(e)
		Expect(v.revision()).To(BeNumerically(">=", newest))
		newest = v.revision()
	}
	Expect(newest).To(Equal(want))
	if want > 0 {
		Expect(v.config.Limits["limit"].RequestsPerSecond).To(BeEquivalentTo(want))
	}
},
	ginkgo.Entry("consecutive revisions", uint64(2), revisionEvent(1), revisionEvent(2)),
	ginkgo.Entry("revisions sent twice", uint64(2), revisionEvent(1), revisionEvent(2), revisionEvent(1), revisionEvent(2)),
	ginkgo.Entry("an older checkpoint", uint64(7), checkpointEvent(7), checkpointEvent(3)),
	ginkgo.Entry("an older revision after a checkpoint", uint64(7), checkpointEvent(7), revisionEvent(6)),
	ginkgo.Entry("the next revision after a checkpoint", uint64(8), checkpointEvent(7), revisionEvent(8)),
	ginkgo.Entry("a revision after a gap is rejected", uint64(1), revisionEvent(1), revisionEvent(3)),
	ginkgo.Entry("a checkpoint of the current revision", uint64(1), revisionEvent(1), checkpointEvent(1)),
)

var _ = ginkgo.It("applies an accepted ticket that its own software version would reject", func() {
	rejected := &ticket.Ticket{Number: 1, Author: "test", Limits: []ticket.Limit{{Name: "bounds-nothing"}}}
	_, faults := ticket.Apply(ticket.NewConfiguration(), rejected)
	Expect(faults).NotTo(BeEmpty())
	encoded, err := ticket.Encode(rejected)
	Expect(err).NotTo(HaveOccurred())
	v := &view{}
	changed, err := v.apply(&pb.FollowEvent{Event: &pb.FollowEvent_Revision{Revision: &pb.Revision{Revision: 1, Ticket: encoded}}})
	Expect(err).NotTo(HaveOccurred())
	Expect(changed).To(BeTrue())
	Expect(v.revision()).To(BeEquivalentTo(1))
})

var _ = ginkgo.Describe("the directory", func() {
	e1 := &pb.Endpoint{Name: "e1", Incarnation: 1}
	e1NewIncarnation := &pb.Endpoint{Name: "e1", Incarnation: 5}
	e1Gone := &pb.Endpoint{Name: "e1", Incarnation: 1, State: pb.EndpointState_ENDPOINT_STATE_GONE}

	ginkgo.It("rejects an older directory and ignores older endpoint changes", func() {
		v := &view{}
		_, err := v.apply(directoryEvent(5, e1))
		Expect(err).NotTo(HaveOccurred())
		_, err = v.apply(directoryEvent(4))
		var stale *StaleControlHostError
		Expect(errors.As(err, &stale)).To(BeTrue())
		changed, err := v.apply(endpointEvent(5, e1Gone))
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())
		Expect(v.listEndpoints()).To(HaveLen(1))
	})

	ginkgo.It("applies removals and new incarnations", func() {
		v := &view{}
		_, _ = v.apply(directoryEvent(5, e1))
		_, _ = v.apply(endpointEvent(6, e1NewIncarnation))
		Expect(v.listEndpoints()[0].GetIncarnation()).To(BeEquivalentTo(5))
		_, _ = v.apply(endpointEvent(7, e1Gone))
		Expect(v.listEndpoints()).To(BeEmpty())
	})

	ginkgo.It("applies only newer loads of the current incarnation, and never modifies a returned list", func() {
		v := &view{}
		_, _ = v.apply(directoryEvent(5, e1NewIncarnation))
		returned := v.listEndpoints()
		_, _ = v.apply(digestEvent("e1", 1, 9))
		Expect(v.listEndpoints()[0].GetLoad()).To(BeNil())
		_, _ = v.apply(digestEvent("e1", 5, 3))
		_, _ = v.apply(digestEvent("e1", 5, 2))
		Expect(v.listEndpoints()[0].GetLoad().GetSequence()).To(BeEquivalentTo(3))
		Expect(returned[0].GetLoad()).To(BeNil())
	})
})
