package fleet

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/journal"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
)

// ackBound is the stated bound of the answer to a change of the configuration.
const ackBound = 4 * time.Second

// closeFolder makes a host close its data folder, and keeps it closed until open is called.
func (h *logHost) closeFolder(t *testing.T, g *WithT) (open func()) {
	file, err := os.Open(filepath.Join(h.folder, journal.FileName))
	g.Expect(err).NotTo(HaveOccurred())
	locked := make(chan error, 1)
	go func() { locked <- syscall.Flock(int(file.Fd()), syscall.LOCK_EX) }()
	open = func() { _ = file.Close() }
	t.Cleanup(open)
	h.fillDisk(g)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = h.Propose(ctx, document.EncodeCommand(2, []byte("two")))
	}()
	g.Eventually(locked, reopenTimeout, "1ms").Should(Receive(BeNil()))
	g.Eventually(h.running, reopenTimeout, "1ms").Should(BeNil())
	return open
}

// isSynced reports whether all members have written all that is committed, as their leader sees it.
func isSynced(leader replica.Status) bool {
	return !slices.ContainsFunc(leader.Members, func(m replica.Member) bool { return m.MatchIndex != leader.CommitIndex })
}

// answer is what a call tells of a change.
type answer string

const (
	acknowledged answer = "acknowledged"
	refused      answer = "refused for good"
	undecided    answer = "may come into force"
)

func answerOf(err error) answer {
	var failed *NotAcknowledgedError
	switch {
	case err == nil:
		return acknowledged
	case errors.As(err, &failed) && failed.MayComeIntoForce:
		return undecided
	case errors.As(err, &failed):
		return refused
	}
	return answer(err.Error())
}

// Guards against changes of the configuration that get no answer within the bound, because a host waits for another one that
// is silent or for a proposal that nobody resolves, and against those that fail though the host could ask the new leader.
func TestEveryChangeIsAnsweredWithinTheBound(t *testing.T) {
	for _, c := range []struct {
		name    string
		putAt   string
		prepare func(t *testing.T, g *WithT, p *pausableHosts, leader, follower int) (restore func())
		want    []answer // more than one where another write may fail, or another leader be elected, just before
	}{
		{"own folder closed", "follower", func(t *testing.T, g *WithT, p *pausableHosts, leader, follower int) func() {
			return p.hosts[follower].closeFolder(t, g)
		}, []answer{refused}},
		{"leader's folder closed", "follower", func(t *testing.T, g *WithT, p *pausableHosts, leader, follower int) func() {
			return p.hosts[leader].closeFolder(t, g)
		}, []answer{acknowledged}},
		{"write of the change fails, put at the leader", "leader", func(t *testing.T, g *WithT, p *pausableHosts, leader, follower int) func() {
			p.hosts[leader].fillDisk(g)
			return func() {}
		}, []answer{undecided, refused}},
		{"write of the change fails, put at a follower", "follower", func(t *testing.T, g *WithT, p *pausableHosts, leader, follower int) func() {
			p.hosts[leader].fillDisk(g)
			return func() {}
		}, []answer{acknowledged}},
		{"leader paused", "follower", func(t *testing.T, g *WithT, p *pausableHosts, leader, follower int) func() {
			p.paused[leader].Store(true)
			return func() { p.paused[leader].Store(false) }
		}, []answer{acknowledged}},
		{"leader leaves proposals unanswered", "follower", func(t *testing.T, g *WithT, p *pausableHosts, leader, follower int) func() {
			p.holdsProposals[leader].Store(true)
			return func() { p.holdsProposals[leader].Store(false) }
		}, []answer{undecided, acknowledged}},
		{"leader cut off", "leader", func(t *testing.T, g *WithT, p *pausableHosts, leader, follower int) func() {
			p.paused[leader].Store(true)
			return func() {}
		}, []answer{undecided, refused}},
		{"leader cut off for 1.5 s", "leader", func(t *testing.T, g *WithT, p *pausableHosts, leader, follower int) func() {
			p.paused[leader].Store(true)
			time.AfterFunc(1500*time.Millisecond, func() { p.paused[leader].Store(false) })
			return func() {}
		}, []answer{acknowledged}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := startPausableHosts(t, 3, 0)
			p.hosts[0].propose(g, document.EncodeCommand(1, []byte("one")))
			for _, h := range p.hosts {
				g.Eventually(func() bool { return h.State().UpToDate && voterCount(h) == 3 }, reopenTimeout, "5ms").Should(BeTrue())
			}
			leader := p.leader()
			g.Expect(leader).NotTo(Equal(-1))
			g.Eventually(func() bool { return isSynced(p.hosts[leader].Status()) }, reopenTimeout, "5ms").Should(BeTrue(), "nothing else is to be written")
			at, follower := leader, (leader+1)%3
			if c.putAt == "follower" {
				at = follower
			}
			restore := c.prepare(t, g, p, leader, follower)

			put := func(i int, bound time.Duration) error {
				server := NewServer(ServerOptions{Log: p.hosts[i], State: p.hosts[i], MinVoters: 3, Logger: discardLogger})
				ctx, cancel := context.WithTimeout(context.Background(), bound)
				defer cancel()
				return server.PutDocument(ctx, 3, []byte("three"))
			}
			began := time.Now()
			err := put(at, 2*ackBound)
			took := time.Since(began)
			t.Logf("answered after %v: %v", took, err)
			g.Expect(took).To(BeNumerically("<", ackBound))
			g.Expect(answerOf(err)).To(BeElementOf(c.want), "%v", err)
			for _, h := range p.hosts {
				if machine := h.State().Machine; machine != nil && answerOf(err) == refused {
					version, _, _ := machine.Current()
					g.Expect(version).To(BeNumerically("<", 3), "a change that was refused is not stored")
				}
			}
			restore()
			for i := range p.hosts {
				if i != at {
					g.Eventually(func() error { return put(i, ackBound) }, reopenTimeout).Should(Succeed(), "host %d", i)
				}
			}
		})
	}
}

// Guards against proposals that wait to the end of their time for a leadership that is over, and against calls to a closed
// data folder whose outcome counts as unknown. PutDocument hides either: it proposes again.
func TestProposalsEndWithTheirLeadership(t *testing.T) {
	for name, atLeader := range map[string]bool{"at the leader that is cut off": true, "at a follower of it": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := startPausableHosts(t, 3, 0)
			p.hosts[0].propose(g, document.EncodeCommand(1, []byte("one")))
			for _, h := range p.hosts {
				g.Eventually(func() bool { return h.State().UpToDate && voterCount(h) == 3 }, reopenTimeout, "5ms").Should(BeTrue())
			}
			leader := p.leader()
			g.Expect(leader).NotTo(Equal(-1))
			at := leader
			if !atLeader {
				at = (leader + 1) % 3
			}
			p.paused[leader].Store(true)
			ctx, cancel := context.WithTimeout(context.Background(), 2*ackBound)
			defer cancel()
			began := time.Now()
			_, err := p.hosts[at].Propose(ctx, document.EncodeCommand(2, []byte("two")))
			g.Expect(time.Since(began)).To(BeNumerically("<", ackBound), "%v", err)
		})
	}
}

// Guards against a closed data folder whose refusal counts as an unknown outcome.
func TestAClosedDataFolderRefusesCallsOfHosts(t *testing.T) {
	g := NewWithT(t)
	s := NewReplicaSupervisor(replica.Options{ID: 1, Logger: discardLogger})
	server := httptest.NewServer(s.Handler(""))
	defer server.Close()
	_, err := trefoilkeelv1connect.NewPeerServiceClient(server.Client(), server.URL).Propose(context.Background(), connect.NewRequest(&pb.ProposeRequest{}))
	g.Expect(connect.IsWireError(err)).To(BeTrue())
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeFailedPrecondition), "had no effect")
}
