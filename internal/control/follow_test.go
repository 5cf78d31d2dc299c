package control_test

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/control"
	"github.com/trefoilkeel/trefoilkeel/internal/follow"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/state"
)

// fastSettings shortens the intervals of a host; no assertion depends on their lengths.
var fastSettings = control.Settings{
	ReportInterval:    10 * time.Millisecond,
	DigestInterval:    10 * time.Millisecond,
	KeepaliveInterval: 10 * time.Millisecond,
	ConfirmTimeout:    500 * time.Millisecond,
}

// firstConfigurationEvent returns the first event of a new stream that carries a
// configuration: a checkpoint or a ticket.
func firstConfigurationEvent(h *host, after uint64) (*pb.FollowEvent, error) {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	stream, err := h.directoryClient().Follow(ctx, connect.NewRequest(&pb.FollowRequest{Subscriber: "s", Revision: after}))
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if stream.Msg().GetCheckpoint() != nil || stream.Msg().GetRevision() != nil {
			return stream.Msg(), nil
		}
	}
	return nil, stream.Err()
}

// failOnRevisionDecrease polls a client's revision until the spec ends, and fails
// the spec if the revision has decreased.
func failOnRevisionDecrease(c *follow.Client) {
	done := make(chan struct{})
	decreased := make(chan bool, 1)
	go func() {
		newest := uint64(0)
		sawDecrease := false
		for {
			select {
			case <-done:
				decreased <- sawDecrease
				return
			default:
			}
			current := revision(c)()
			sawDecrease = sawDecrease || current < newest
			newest = max(newest, current)
			time.Sleep(time.Millisecond)
		}
	}()
	DeferCleanup(func() {
		close(done)
		Expect(<-decreased).To(BeFalse(), "the revision decreased")
	})
}

var _ = Describe("a subscriber", func() {
	It("resumes from its revision after the host restarts", func() {
		machine := state.New(state.Options{})
		log := replica.NewMemoryLog(machine)
		h := startHost("", machine, log, fastSettings)
		c := startSubscriber(h.url)
		failOnRevisionDecrease(c)
		h.submitLimit(1)
		Eventually(revision(c), eventuallyTimeout, pollInterval).Should(BeEquivalentTo(1))
		h.stop()
		restarted := startHost(h.url[len("http://"):], machine, log, fastSettings)
		restarted.submitLimit(2)
		Eventually(revision(c), eventuallyTimeout, pollInterval).Should(BeEquivalentTo(2))
	})

	It("keeps its newer state when the host restarts from an older snapshot", func() {
		machine := state.New(state.Options{})
		h := startHost("", machine, replica.NewMemoryLog(machine), fastSettings)
		c := startSubscriber(h.url)
		failOnRevisionDecrease(c)
		h.submitLimit(1)
		snapshot, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		h.submitLimit(2)
		Eventually(revision(c), eventuallyTimeout, pollInterval).Should(BeEquivalentTo(2))
		h.stop()

		outdated := state.New(state.Options{})
		Expect(outdated.Restore(snapshot)).To(Succeed())
		restarted := startHost(h.url[len("http://"):], outdated, replica.NewMemoryLog(outdated), fastSettings)
		newSubscriber := startSubscriber(restarted.url)
		Eventually(revision(newSubscriber), eventuallyTimeout, pollInterval).Should(BeEquivalentTo(1))
		Expect(c.Configuration().Revision).To(BeEquivalentTo(2))
		restarted.submitLimit(2)
		restarted.submitLimit(3)
		Eventually(revision(c), eventuallyTimeout, pollInterval).Should(BeEquivalentTo(3))
		Expect(c.Configuration().Limits["limit"].RequestsPerSecond).To(Equal(3))
	})

	It("gets a checkpoint when it is far behind, and single tickets when it is not", func() {
		h := startSingleHost(fastSettings)
		const tickets = 600
		for n := 1; n <= tickets; n++ {
			h.submitLimit(n)
		}
		e, err := firstConfigurationEvent(h, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.GetCheckpoint().GetRevision()).To(BeEquivalentTo(tickets))
		e, err = firstConfigurationEvent(h, tickets-5)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.GetRevision().GetRevision()).To(BeEquivalentTo(tickets - 4))
	})

	It("gets no outdated state from a partitioned host when it has none of its own", func() {
		p, hosts := startPair(fastSettings)
		hosts[0].submitLimit(1)
		p.setLeader(0, 1)
		hosts[0].submitLimit(2)
		_, err := firstConfigurationEvent(hosts[1], 0)
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
		p.setLeader(0)
		c := startSubscriber(hosts[1].url)
		Eventually(revision(c), eventuallyTimeout, pollInterval).Should(BeEquivalentTo(2))
	})

	It("keeps its state and reports its age while the control host is stopped", func() {
		h := startSingleHost(fastSettings)
		c := startSubscriber(h.url)
		h.submitLimit(1)
		Eventually(revision(c), eventuallyTimeout, pollInterval).Should(BeEquivalentTo(1))
		h.stop()
		age := c.TimeSinceConfirmed()
		Eventually(c.TimeSinceConfirmed, eventuallyTimeout, pollInterval).Should(BeNumerically(">", age+50*time.Millisecond))
		Expect(c.Configuration().Revision).To(BeEquivalentTo(1))
	})
})

// countingAnnouncer counts the heartbeats that its announcer has started.
type countingAnnouncer struct {
	*follow.Announcer
	heartbeats atomic.Int64
}

// startAnnouncer runs an announcer until the spec ends.
func startAnnouncer(name string, urls ...string) *countingAnnouncer {
	a := &countingAnnouncer{}
	a.Announcer = follow.NewAnnouncer(follow.AnnouncerOptions{
		ControlURLs:       urls,
		Endpoint:          newEndpoint(name),
		HTTPClient:        client,
		HeartbeatInterval: 5 * time.Millisecond,
		Report: func() follow.EndpointReport {
			a.heartbeats.Add(1)
			return follow.EndpointReport{State: pb.EndpointState_ENDPOINT_STATE_ACTIVE, Load: &pb.Load{Running: 1, Sequence: 1}}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = a.Run(ctx); close(done) }()
	DeferCleanup(func() { cancel(); <-done })
	return a
}

var _ = Describe("membership", func() {
	It("forwards heartbeats from a follower to the leader", func() {
		_, hosts := startPair(fastSettings)
		startAnnouncer("e1", hosts[1].url)
		c := startSubscriber(hosts[0].url)
		Eventually(func() bool {
			endpoints := c.Endpoints()
			return len(endpoints) == 1 && endpoints[0].GetLoad().GetRunning() == 1
		}, eventuallyTimeout, pollInterval).Should(BeTrue())
	})

	It("keeps healthy endpoints through an outage of all control hosts and a change of leader", func() {
		clock := newFakeClock()
		p, hosts := startPair(fastSettings, clock.now)
		var announcers []*countingAnnouncer
		for _, name := range []string{"e1", "e2", "e3"} {
			announcers = append(announcers, startAnnouncer(name, hosts[0].url, hosts[1].url))
		}
		for _, a := range announcers {
			Eventually(a.Incarnation, eventuallyTimeout, pollInterval).ShouldNot(BeZero())
		}
		first := announcers[0].Incarnation()
		hosts[0].stop()
		p.setLeader(0, 0, 1)
		clock.advanceSeconds(5, announcers...)
		clock.advance(10 * control.DefaultLeaseDuration)
		p.setLeader(1, 0)
		clock.advanceSeconds(20, announcers...)
		Expect(directoryEndpoints(hosts[1])).To(HaveLen(3))
		Expect(announcers[0].Incarnation()).To(Equal(first))
	})

	It("expires only the lease of an endpoint that sends no heartbeats", func() {
		clock := newFakeClock()
		h := startSingleHost(fastSettings, clock.now)
		var announcers []*countingAnnouncer
		for _, name := range []string{"e1", "e2", "e3"} {
			announcers = append(announcers, startAnnouncer(name, h.url))
		}
		_, err := h.directoryClient().Announce(context.Background(), connect.NewRequest(&pb.AnnounceRequest{
			Endpoint: newEndpoint("silent"), Nonce: "n",
		}))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(directoryEndpoints(h)) }, eventuallyTimeout, pollInterval).Should(Equal(4))
		Eventually(func() int {
			clock.advanceSeconds(1, announcers...)
			return len(directoryEndpoints(h))
		}, eventuallyTimeout, pollInterval).Should(Equal(3))
		_, present := h.machine.Member("silent")
		Expect(present).To(BeFalse())
	})

	It("grants an agent a new incarnation on request", func() {
		h := startSingleHost(fastSettings)
		a := startAnnouncer("e1", h.url)
		c := startSubscriber(h.url)
		Eventually(a.Incarnation, eventuallyTimeout, pollInterval).Should(BeNumerically(">", 0))
		first := a.Incarnation()
		a.RequestNewIncarnation()
		Eventually(a.Incarnation, eventuallyTimeout, pollInterval).Should(BeNumerically(">", first))
		Eventually(func() bool {
			endpoints := c.Endpoints()
			return len(endpoints) == 1 && endpoints[0].GetIncarnation() == a.Incarnation()
		}, eventuallyTimeout, pollInterval).Should(BeTrue())
	})

	It("stops an announcer when a later process takes its name", func() {
		h := startSingleHost(fastSettings)
		a := startAnnouncer("e1", h.url)
		Eventually(a.Incarnation, eventuallyTimeout, pollInterval).ShouldNot(BeZero())
		startAnnouncer("e1", h.url)
		Eventually(a.Incarnation, eventuallyTimeout, pollInterval).Should(BeZero())
	})

	It("rejects the heartbeat of an old incarnation and accepts one that its replica has not applied yet", func() {
		p, hosts := startPair(fastSettings)
		p.setLeader(0, 1)
		a := startAnnouncer("e1", hosts[0].url)
		Eventually(a.Incarnation, eventuallyTimeout, pollInterval).ShouldNot(BeZero())
		heartbeatKnown := func(h *host, incarnation uint64) bool {
			answer, err := h.directoryClient().Heartbeat(context.Background(), connect.NewRequest(
				&pb.HeartbeatRequest{Name: "e1", Incarnation: incarnation}))
			Expect(err).NotTo(HaveOccurred())
			return answer.Msg.GetKnown()
		}
		Expect(heartbeatKnown(hosts[0], a.Incarnation()-1)).To(BeFalse())
		Expect(heartbeatKnown(hosts[1], a.Incarnation())).To(BeTrue())
	})
})

func directoryEndpoints(h *host) []*pb.Endpoint {
	endpoints, _ := h.machine.Endpoints()
	return endpoints
}
