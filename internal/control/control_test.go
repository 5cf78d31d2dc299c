package control_test

import (
	"context"
	"crypto/sha256"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/control"
	"github.com/trefoilkeel/trefoilkeel/internal/follow"
)

var _ = Describe("a control host", func() {
	It("distributes accepted tickets to subscribers", func() {
		h := startSingleHost(control.Settings{})
		c := startSubscriber(h.url)
		h.submitLimit(1)
		h.submitLimit(2)
		Eventually(revision(c), eventuallyTimeout, pollInterval).Should(BeEquivalentTo(2))
		Expect(c.Configuration().Limits["limit"].RequestsPerSecond).To(Equal(2))
	})

	It("distributes joins, loads, drains and leaves to subscribers", func() {
		h := startSingleHost(control.Settings{DigestInterval: 20 * time.Millisecond, ReportInterval: 20 * time.Millisecond})
		c := startSubscriber(h.url)
		announcer := follow.NewAnnouncer(follow.AnnouncerOptions{
			ControlURLs:       []string{h.url},
			Endpoint:          newEndpoint("e1"),
			HeartbeatInterval: 20 * time.Millisecond,
			Report: func() follow.EndpointReport {
				return follow.EndpointReport{
					Load:   &pb.Load{Running: 3, Sequence: 1},
					State:  pb.EndpointState_ENDPOINT_STATE_ACTIVE,
					Models: []string{"m1"},
				}
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- announcer.Run(ctx) }()

		singleEndpoint := func(check func(*pb.Endpoint) bool) func() bool {
			return func() bool {
				endpoints := c.Endpoints()
				return len(endpoints) == 1 && check(endpoints[0])
			}
		}
		Eventually(singleEndpoint(func(e *pb.Endpoint) bool {
			return e.GetIncarnation() == announcer.Incarnation() && e.GetLoad().GetRunning() == 3
		}), eventuallyTimeout, pollInterval).Should(BeTrue())

		_, err := drainEndpoint(h, "e1")
		Expect(err).NotTo(HaveOccurred())
		Eventually(singleEndpoint(func(e *pb.Endpoint) bool {
			return e.GetState() == pb.EndpointState_ENDPOINT_STATE_DRAINING
		}), eventuallyTimeout, pollInterval).Should(BeTrue())
		Eventually(announcer.DrainRequested, eventuallyTimeout, pollInterval).Should(BeTrue())

		cancel()
		Expect(<-done).NotTo(HaveOccurred())
		Expect(announcer.Leave(context.Background())).To(Succeed())
		Eventually(c.Endpoints, eventuallyTimeout, pollInterval).Should(BeEmpty())
	})

	It("grants a claim, settles it and returns its stored answer", func() {
		h := startSingleHost(control.Settings{})
		digest := sha256.Sum256([]byte("body"))
		claim := &pb.ClaimRequest{
			Workspace: "w", Key: "k", BodyDigest: digest[:], RequestId: "r1", Endpoint: "e1", Incarnation: 1,
		}
		granted, err := h.ledgerClient().Claim(context.Background(), connect.NewRequest(claim))
		Expect(err).NotTo(HaveOccurred())
		Expect(granted.Msg.GetState()).To(Equal(pb.ClaimState_CLAIM_STATE_GRANTED))
		Expect(granted.Msg.GetAttempt()).To(BeEquivalentTo(1))

		settled, err := h.ledgerClient().Settle(context.Background(), connect.NewRequest(&pb.SettleRequest{
			Workspace: "w", Key: "k", Attempt: 1, RequestId: "r1",
			Execution: pb.Execution_EXECUTION_RAN,
			Answer:    &pb.StoredAnswer{Status: 200, Body: []byte("booked")},
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(settled.Msg.GetState()).To(Equal(pb.ClaimState_CLAIM_STATE_SETTLED))

		found, err := h.ledgerClient().Lookup(context.Background(), connect.NewRequest(&pb.LookupRequest{Workspace: "w", Key: "k"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Msg.GetAnswer().GetBody()).To(Equal([]byte("booked")))
	})
})
