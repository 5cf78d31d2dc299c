package fleet

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
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
	err = server.PutDocument(context.Background(), 1, []byte("one"))
	g.Expect(answerOf(err)).To(Equal(refused))
	g.Expect(errors.As(err, &odd)).To(BeTrue())
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
