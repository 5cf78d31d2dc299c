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

// quick makes the duties of a host fast; no verdict depends on the lengths.
var quick = control.Settings{
	ReportInterval: 10 * time.Millisecond,
	DigestInterval: 10 * time.Millisecond,
	AliveInterval:  10 * time.Millisecond,
	ConfirmTimeout: 500 * time.Millisecond,
}

// configuration reads a stream up to the first event with a configuration.
func configuration(h *host, after uint64) (*pb.FollowEvent, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	stream, err := h.directory().Follow(ctx, connect.NewRequest(&pb.FollowRequest{Subscriber: "s", Revision: after}))
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

// never watches a client's revision until the spec ends, and fails it if the
// revision falls.
func never(c *follow.Client) {
	done := make(chan struct{})
	fell := make(chan bool, 1)
	go func() {
		newest := uint64(0)
		back := false
		for {
			select {
			case <-done:
				fell <- back
				return
			default:
			}
			now := revision(c)()
			back = back || now < newest
			newest = max(newest, now)
			time.Sleep(time.Millisecond)
		}
	}()
	DeferCleanup(func() {
		close(done)
		Expect(<-fell).To(BeFalse(), "the revision fell")
	})
}

var _ = Describe("following", func() {
	It("resumes where it was when the host restarts", func() {
		machine := state.New(state.Options{})
		log := replica.NewSolo(machine)
		h := start("", machine, log, quick)
		c := subscribe(h.url)
		never(c)
		h.submit(1)
		Eventually(revision(c), within, every).Should(BeEquivalentTo(1))
		h.stop()
		again := start(h.url[len("http://"):], machine, log, quick)
		again.submit(2)
		Eventually(revision(c), within, every).Should(BeEquivalentTo(2))
	})

	It("keeps its state when the host comes back behind, and goes on from it", func() {
		machine := state.New(state.Options{})
		h := start("", machine, replica.NewSolo(machine), quick)
		c := subscribe(h.url)
		never(c)
		h.submit(1)
		old, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		h.submit(2)
		Eventually(revision(c), within, every).Should(BeEquivalentTo(2))
		h.stop()

		behind := state.New(state.Options{})
		Expect(behind.Restore(old)).To(Succeed())
		again := start(h.url[len("http://"):], behind, replica.NewSolo(behind), quick)
		seen := subscribe(again.url)
		Eventually(revision(seen), within, every).Should(BeEquivalentTo(1))
		Expect(c.State().Revision).To(BeEquivalentTo(2))
		again.submit(2)
		again.submit(3)
		Eventually(revision(c), within, every).Should(BeEquivalentTo(3))
		Expect(c.State().Limits["limit"].RequestsPerSecond).To(Equal(3))
	})

	It("gets a checkpoint when the log is compacted, and the log when it is short", func() {
		h := solo(quick)
		const tickets = 600
		for n := 1; n <= tickets; n++ {
			h.submit(n)
		}
		e, err := configuration(h, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.GetCheckpoint().GetRevision()).To(BeEquivalentTo(tickets))
		e, err = configuration(h, tickets-5)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.GetRevision().GetRevision()).To(BeEquivalentTo(tickets - 4))
	})

	It("gives a process without a state nothing old", func() {
		p, hosts := newPair(quick)
		hosts[0].submit(1)
		p.set(0, 1)
		hosts[0].submit(2)
		_, err := configuration(hosts[1], 0)
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
		p.set(0)
		c := subscribe(hosts[1].url)
		Eventually(revision(c), within, every).Should(BeEquivalentTo(2))
	})

	It("serves on while control is out of reach, and says how old its state is", func() {
		h := solo(quick)
		c := subscribe(h.url)
		h.submit(1)
		Eventually(revision(c), within, every).Should(BeEquivalentTo(1))
		h.stop()
		age := c.Age()
		Eventually(c.Age, within, every).Should(BeNumerically(">", age+50*time.Millisecond))
		Expect(c.State().Revision).To(BeEquivalentTo(1))
	})
})

// member is an announcer that counts the heartbeats it began.
type member struct {
	*follow.Announcer
	beats atomic.Int64
}

// announce runs an announcer until the spec ends.
func announce(name string, urls ...string) *member {
	m := &member{}
	m.Announcer = follow.NewAnnouncer(follow.AnnouncerOptions{
		ControlURLs: urls,
		Endpoint:    endpoint(name),
		HTTP:        client,
		Interval:    5 * time.Millisecond,
		Report: func() follow.Report {
			m.beats.Add(1)
			return follow.Report{State: pb.EndpointState_ENDPOINT_STATE_ACTIVE, Load: &pb.Load{Running: 1, Sequence: 1}}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = m.Run(ctx); close(ended) }()
	DeferCleanup(func() { cancel(); <-ended })
	return m
}

var _ = Describe("membership", func() {
	It("lets a follower take the heartbeats and the leader learn of them", func() {
		_, hosts := newPair(quick)
		announce("e1", hosts[1].url)
		c := subscribe(hosts[0].url)
		Eventually(func() bool {
			list := c.Endpoints()
			return len(list) == 1 && list[0].GetLoad().GetRunning() == 1
		}, within, every).Should(BeTrue())
	})

	It("keeps healthy endpoints over an outage of control and a change of leader", func() {
		time := newClock()
		p, hosts := newPair(quick, time.read)
		var members []*member
		for _, name := range []string{"e1", "e2", "e3"} {
			members = append(members, announce(name, hosts[0].url, hosts[1].url))
		}
		for _, m := range members {
			Eventually(m.Incarnation, within, every).ShouldNot(BeZero())
		}
		first := members[0].Incarnation()
		hosts[0].stop()
		p.set(0, 0, 1)
		time.pass(5, members...)
		time.advance(10 * control.DefaultLease)
		p.set(1, 0)
		time.pass(20, members...)
		Expect(list(hosts[1])).To(HaveLen(3))
		Expect(members[0].Incarnation()).To(Equal(first))
	})

	It("ends the lease of an endpoint that went silent, and no other", func() {
		time := newClock()
		h := solo(quick, time.read)
		var members []*member
		for _, name := range []string{"e1", "e2", "e3"} {
			members = append(members, announce(name, h.url))
		}
		_, err := h.directory().Announce(context.Background(), connect.NewRequest(&pb.AnnounceRequest{
			Endpoint: endpoint("silent"), Nonce: "n",
		}))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(list(h)) }, within, every).Should(Equal(4))
		Eventually(func() int {
			time.pass(1, members...)
			return len(list(h))
		}, within, every).Should(Equal(3))
		_, silent := h.machine.Member("silent")
		Expect(silent).To(BeFalse())
	})

	It("gives an agent a new incarnation when it asks for one", func() {
		h := solo(quick)
		m := announce("e1", h.url)
		c := subscribe(h.url)
		Eventually(m.Incarnation, within, every).Should(BeNumerically(">", 0))
		first := m.Incarnation()
		m.Renew()
		Eventually(m.Incarnation, within, every).Should(BeNumerically(">", first))
		Eventually(func() bool {
			list := c.Endpoints()
			return len(list) == 1 && list[0].GetIncarnation() == m.Incarnation()
		}, within, every).Should(BeTrue())
	})

	It("ends an announcer whose name a later process took", func() {
		h := solo(quick)
		a := announce("e1", h.url)
		Eventually(a.Incarnation, within, every).ShouldNot(BeZero())
		announce("e1", h.url)
		Eventually(a.Incarnation, within, every).Should(BeZero())
	})

	It("refuses the heartbeat of an old incarnation and takes one newer than its own state", func() {
		p, hosts := newPair(quick)
		p.set(0, 1)
		a := announce("e1", hosts[0].url)
		Eventually(a.Incarnation, within, every).ShouldNot(BeZero())
		beat := func(h *host, incarnation uint64) bool {
			answer, err := h.directory().Heartbeat(context.Background(), connect.NewRequest(
				&pb.HeartbeatRequest{Name: "e1", Incarnation: incarnation}))
			Expect(err).NotTo(HaveOccurred())
			return answer.Msg.GetKnown()
		}
		Expect(beat(hosts[0], a.Incarnation()-1)).To(BeFalse())
		Expect(beat(hosts[1], a.Incarnation())).To(BeTrue())
	})
})

func list(h *host) []*pb.Endpoint {
	endpoints, _ := h.machine.Endpoints()
	return endpoints
}
