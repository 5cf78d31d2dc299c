package fleet

import (
	"context"
	"hash/crc32"
	"net/http/httptest"
	"slices"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/digest"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/duty"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
)

// proposeRenewals proposes as many commands as lie between two digests.
func proposeRenewals(g *WithT, h *logHost) {
	for range digest.IntervalEntries {
		h.propose(g, document.EncodeDutyCommand(duty.EncodeRenew(duty.Holdership{Token: 1, Life: 11, Stamp: 2})))
	}
}

// Guards against a host that goes on with a copy of the state that is not the others': a command was
// applied twice, one was left out, or a bit has changed.
func TestOddCopyIsRestored(t *testing.T) {
	for name, change := range map[string]func(g *WithT, m *document.StateMachine){
		"command applied twice": func(_ *WithT, m *document.StateMachine) {
			m.Apply(0, document.EncodeDutyCommand(duty.EncodeRenew(duty.Holdership{Token: 1, Life: 11, Stamp: 2})))
		},
		"command left out": func(_ *WithT, m *document.StateMachine) {
			m.Apply(0, document.EncodeQuarantineCommand(document.Exonerate, 7)) // as if it had never been quarantined
		},
		"bit changed": func(g *WithT, m *document.StateMachine) {
			snapshot, err := m.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			snapshot[len(snapshot)-1] ^= 1
			g.Expect(m.Restore(snapshot)).To(Succeed())
		},
	} {
		for _, changed := range []string{"leader", "follower"} {
			t.Run(name+" on the "+changed, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				hosts := startLogHosts(t, 3)
				hosts[0].propose(g, document.EncodeCommand(3, []byte("three")))
				hosts[0].propose(g, document.EncodeQuarantineCommand(document.Quarantine, 7))
				hosts[0].propose(g, document.EncodeDutyCommand(duty.EncodeAcquire(1, "a", 11, 1, duty.Holding{})))
				proposeRenewals(g, hosts[0])
				expectEqualCopies(g, hosts)
				var odd, other *logHost
				g.Eventually(func() bool {
					for i, h := range hosts {
						if status := h.Status(); status.IsVoter && status.LeaderID != 0 && (status.LeaderID == status.ID) == (changed == "leader") && h.State().UpToDate {
							odd, other = h, hosts[(i+1)%len(hosts)]
						}
					}
					return odd != nil
				}, reopenTimeout).Should(BeTrue())
				before := odd.State()
				change(g, before.Machine)
				proposeRenewals(g, other)
				g.Eventually(before.Replaced, reopenTimeout, "5ms").Should(BeClosed())
				g.Eventually(func() bool {
					view := odd.State()
					return view.Machine != nil && view.Machine != before.Machine && view.UpToDate
				}, reopenTimeout, "5ms").Should(BeTrue(), "the copy is restored")
				proposeRenewals(g, other)
				expectEqualCopies(g, hosts)
				for _, h := range hosts {
					g.Expect(h.ReadBarrier(context.Background())).To(Succeed())
				}
			})
		}
	}
}

// Guards against a host that goes back to a closed opening of its data folder, and takes no change any more, because a
// request that was under way when the folder was closed then calls that opening's copy odd.
func TestLateVerdictOnAClosedOpeningChangesNothing(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	hosts := startLogHosts(t, 3)
	proposeRenewals(g, hosts[0])
	expectEqualCopies(g, hosts)
	g.Eventually(func() bool {
		members := hosts[0].Status().Members
		return len(members) == 3 && !slices.ContainsFunc(members, func(m replica.Member) bool { return !m.IsVoter })
	}, reopenTimeout).Should(BeTrue())
	closed := hosts[0].running()
	server := httptest.NewServer(closed.handler)
	defer server.Close()
	peer := trefoilkeelv1connect.NewPeerServiceClient(server.Client(), server.URL)
	var state *connect.Response[pb.StateResponse]
	g.Eventually(func() (err error) {
		state, err = peer.State(ctx, connect.NewRequest(&pb.StateRequest{Cluster: "c"}))
		return err
	}, reopenTimeout).Should(Succeed())

	hosts[0].fillDisk(g)
	hosts[1].propose(g, document.EncodeCommand(3, []byte("three")))
	g.Eventually(func() bool { o := hosts[0].running(); return o != nil && o.Replica != closed.Replica }, reopenTimeout, "5ms").Should(BeTrue())
	digests := state.Msg.Digests
	digests.Groups[0].Sums[0]++
	digests.Groups[0].Hosts = []uint64{2, 3}
	encoded, err := proto.Marshal(digests)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = peer.Step(ctx, connect.NewRequest(&pb.StepRequest{From: 2, To: 1, Cluster: "c", Digests: encoded,
		DigestsChecksum: crc32.Checksum(encoded, crc32.MakeTable(crc32.Castagnoli))}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(closed.CopyOdd()).To(HaveOccurred())
	g.Expect(hosts[0].running().Replica == closed.Replica).To(BeFalse(), "the host is back at the closed opening")
	hosts[0].propose(g, document.EncodeCommand(4, []byte("four")))
}

// oddState is a host whose copy differs and is not restored.
type oddState struct{ replaced chan struct{} }

func (s oddState) State() StateView {
	return StateView{Reason: &replica.CopyOddError{Index: 32, Restored: 16}, Replaced: s.replaced}
}

// Guards against reads and changes through a host that does not act on its copy of the state.
func TestOddCopyIsNotRead(t *testing.T) {
	g := NewWithT(t)
	var odd *replica.CopyOddError
	log := &singleHostLog{MemoryLog: replica.NewMemoryLog(document.New())}
	log.members.Store(&[]replica.Member{{ID: 1, IsVoter: true}})
	server := NewServer(ServerOptions{Log: log, State: oddState{make(chan struct{})}, MinVoters: 1, Logger: discardLogger})
	_, _, err := server.GetDocument(context.Background())
	g.Expect(err).To(BeAssignableToTypeOf(odd))
	g.Expect(server.PutDocument(context.Background(), 1, []byte("one"))).To(BeAssignableToTypeOf(odd))
	_, err = server.Document(context.Background(), connect.NewRequest(&pb.DocumentRequest{}))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
	g.Expect(err.Error()).To(ContainSubstring("differs"))
	w := &watchState{stopAwaiting: func() {}}
	server.readFrom(context.Background(), w, nil)
	event, _ := server.nextEvent(w)
	g.Expect(event.Confirmed).To(BeFalse())
	g.Expect(event.Version).To(BeZero())
	g.Expect(event.Served).To(BeNil())
}
