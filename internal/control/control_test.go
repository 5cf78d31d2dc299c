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
	It("spreads accepted tickets", func() {
		h := solo(control.Settings{})
		c := subscribe(h.url)
		h.submit(1)
		h.submit(2)
		Eventually(revision(c), within, every).Should(BeEquivalentTo(2))
		Expect(c.State().Limits["limit"].RequestsPerSecond).To(Equal(2))
	})

	It("spreads joins, loads, drains and leaves", func() {
		h := solo(control.Settings{DigestInterval: 20 * time.Millisecond, ReportInterval: 20 * time.Millisecond})
		c := subscribe(h.url)
		a := follow.NewAnnouncer(follow.AnnouncerOptions{
			ControlURLs: []string{h.url},
			Endpoint:    endpoint("e1"),
			Interval:    20 * time.Millisecond,
			Report: func() follow.Report {
				return follow.Report{
					Load:   &pb.Load{Running: 3, Sequence: 1},
					State:  pb.EndpointState_ENDPOINT_STATE_ACTIVE,
					Models: []string{"m1"},
				}
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- a.Run(ctx) }()

		only := func(check func(*pb.Endpoint) bool) func() bool {
			return func() bool {
				list := c.Endpoints()
				return len(list) == 1 && check(list[0])
			}
		}
		Eventually(only(func(e *pb.Endpoint) bool {
			return e.GetIncarnation() == a.Incarnation() && e.GetLoad().GetRunning() == 3
		}), within, every).Should(BeTrue())

		_, err := drain(h, "e1")
		Expect(err).NotTo(HaveOccurred())
		Eventually(only(func(e *pb.Endpoint) bool {
			return e.GetState() == pb.EndpointState_ENDPOINT_STATE_DRAINING
		}), within, every).Should(BeTrue())
		Eventually(a.Draining, within, every).Should(BeTrue())

		cancel()
		Expect(<-ended).NotTo(HaveOccurred())
		Expect(a.Leave(context.Background())).To(Succeed())
		Eventually(c.Endpoints, within, every).Should(BeEmpty())
	})

	It("claims, settles and looks up", func() {
		h := solo(control.Settings{})
		digest := sha256.Sum256([]byte("body"))
		claim := &pb.ClaimRequest{
			Workspace: "w", Key: "k", BodyDigest: digest[:], RequestId: "r1", Endpoint: "e1", Incarnation: 1,
		}
		granted, err := h.ledger().Claim(context.Background(), connect.NewRequest(claim))
		Expect(err).NotTo(HaveOccurred())
		Expect(granted.Msg.GetState()).To(Equal(pb.ClaimState_CLAIM_STATE_GRANTED))
		Expect(granted.Msg.GetAttempt()).To(BeEquivalentTo(1))

		settled, err := h.ledger().Settle(context.Background(), connect.NewRequest(&pb.SettleRequest{
			Workspace: "w", Key: "k", Attempt: 1, RequestId: "r1",
			Execution: pb.Execution_EXECUTION_RAN,
			Answer:    &pb.StoredAnswer{Status: 200, Body: []byte("booked")},
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(settled.Msg.GetState()).To(Equal(pb.ClaimState_CLAIM_STATE_SETTLED))

		found, err := h.ledger().Lookup(context.Background(), connect.NewRequest(&pb.LookupRequest{Workspace: "w", Key: "k"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Msg.GetAnswer().GetBody()).To(Equal([]byte("booked")))
	})
})
