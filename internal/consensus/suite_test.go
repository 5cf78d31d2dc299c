package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConsensus(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "consensus")
}

// failHere lets the checks of the network fail a spec.
type failHere struct{}

func (failHere) Fatalf(format string, args ...any) { ginkgo.Fail(fmt.Sprintf(format, args...)) }

// formed returns a network of three voters and its leader.
func formed(rates ...int64) (*network, *testHost) {
	if rates == nil {
		rates = []int64{1000, 1000, 1000}
	}
	w := newNetwork(failHere{}, rates)
	w.run(5 * time.Second)
	leader := w.holder()
	Expect(leader).NotTo(BeNil())
	m := leader.node.View().Membership
	Expect(m.voters()).To(Equal(3))
	return w, leader
}

// others returns the initial hosts but one.
func (w *network) others(h *testHost) (a, b *testHost) {
	return w.hosts[h.id%3], w.hosts[(h.id+1)%3]
}

// crash takes a host down without its unsynced writes.
func (w *network) crash(h *testHost) { h.up, h.pending, h.stalled = false, nil, false }

var _ = ginkgo.Describe("a leader that is cut off", func() {
	ginkgo.DescribeTable("acknowledges nothing, loses its lease in time and steps down on return",
		func(leaderRate, otherRate int64, away time.Duration) {
			w, leader := formed(leaderRate, otherRate, otherRate)
			for leader != w.hosts[0] {
				Expect(leader.node.Transfer(w.clock(leader), 1)).To(Succeed())
				w.run(5 * time.Second)
				leader = w.holder()
				Expect(leader).NotTo(BeNil())
			}
			Expect(w.propose(leader, "before")).To(Succeed())
			w.run(time.Second)
			applied := leader.applied
			w.separate(leader, true)
			_ = w.propose(leader, "lost")
			w.run(away)
			Expect(leader.applied).To(Equal(applied))
			Expect(leader.node.View().HasLease).To(BeFalse())
			Expect(w.propose(leader, "refused")).To(BeAssignableToTypeOf(&NotLeaderError{}))
			Expect(w.holder()).NotTo(BeNil())
			Expect(w.propose(w.holder(), "after")).To(Succeed())
			term := w.holder().node.View().Term
			w.separate(leader, false)
			w.run(2 * time.Second)
			Expect(leader.node.View().Role).To(Equal(Follower))
			Expect(leader.state).To(Equal(w.holder().state))
			Expect(w.holder().node.View().Term).To(Equal(term), "the return disturbs no one")
		},
		ginkgo.Entry("for seconds, equal clocks", int64(1000), int64(1000), 4*time.Second),
		ginkgo.Entry("for an hour", int64(1000), int64(1000), time.Hour),
		ginkgo.Entry("with a clock that is slow by the margin among fast ones", int64(1000-MaxClockDrift), int64(1000+MaxClockDrift), 10*time.Second),
		ginkgo.Entry("with a clock that is fast by the margin among slow ones", int64(1000+MaxClockDrift), int64(1000-MaxClockDrift), 10*time.Second),
	)

	ginkgo.It("does not lead while it hears no one, though everyone hears it", func() {
		w, leader := formed()
		a, b := w.others(leader)
		w.cut[[2]uint64{a.id, leader.id}], w.cut[[2]uint64{b.id, leader.id}] = true, true
		w.run(5 * time.Second)
		Expect(w.holder()).NotTo(BeNil())
		Expect(w.holder()).NotTo(Equal(leader))
	})
})

var _ = ginkgo.Describe("data folders", func() {
	ginkgo.It("loses nothing when one is emptied and a second host goes after the first is back", func() {
		w, leader := formed()
		emptied, second := w.others(leader)
		Expect(w.propose(leader, "kept")).To(Succeed())
		w.run(time.Second)
		state := leader.state
		w.crash(emptied)
		w.wipe(emptied)
		w.start(emptied)
		w.run(5 * time.Second)
		Expect(emptied.node.View().Voter).To(BeTrue())
		w.crash(second)
		w.run(2 * time.Second)
		Expect(w.holder()).NotTo(BeNil())
		Expect(w.committed).To(ContainElement(state))
		Expect(emptied.applied).To(BeNumerically(">=", leader.applied-1))
	})

	ginkgo.It("refuses to go on when the second host goes before the first is back", func() {
		w, leader := formed()
		emptied, second := w.others(leader)
		w.crash(second)
		Expect(w.propose(leader, "on two")).To(Succeed())
		w.run(time.Second)
		acknowledged := leader.applied
		w.crash(emptied)
		w.wipe(emptied)
		w.crash(leader)
		w.start(emptied)
		w.start(second)
		w.run(time.Minute)
		Expect(w.holder()).To(BeNil(), "the one disk left may lack what was acknowledged")
		w.start(leader)
		w.run(10 * time.Second)
		Expect(w.holder()).NotTo(BeNil())
		Expect(w.holder().applied).To(BeNumerically(">=", acknowledged))
	})

	ginkgo.It("takes the vote from a folder that went back, until it has caught up", func() {
		w, leader := formed()
		old, other := w.others(leader)
		w.run(time.Second)
		backup := old.stored
		for i := range 20 {
			Expect(w.propose(leader, fmt.Sprint(i))).To(Succeed())
		}
		w.run(time.Second)
		acknowledged := leader.applied
		w.crash(old)
		old.stored = backup
		w.start(old)
		demoted := false
		for range 100 {
			w.run(testHeartbeat / 4)
			m := leader.node.View().Membership
			member, _ := m.find(old.id)
			demoted = demoted || !member.Voter
		}
		Expect(demoted).To(BeTrue())
		Expect(old.node.View().Voter).To(BeTrue())
		w.crash(leader)
		w.run(5 * time.Second)
		Expect(w.holder()).NotTo(BeNil())
		Expect(other.applied).To(BeNumerically(">=", acknowledged))
	})

	ginkgo.It("never forms a second cluster over a host that holds state", func() {
		w, _ := formed()
		for _, h := range w.hosts[:2] {
			w.crash(h)
			w.wipe(h)
		}
		for _, h := range w.hosts[:2] {
			w.start(h)
		}
		w.run(time.Minute)
		Expect(w.hosts[0].node.View().Formation).To(BeZero())
		Expect(w.hosts[0].node.View().MissingPeers).To(Equal([]uint64{3}))
	})
})

var _ = ginkgo.Describe("replication", func() {
	ginkgo.It("bounds what is in flight to a follower and catches it up by a snapshot", func() {
		w, leader := formed()
		slow, _ := w.others(leader)
		w.separate(slow, true)
		for i := range 3 * maxInFlight {
			Expect(w.propose(leader, fmt.Sprint(i))).To(Succeed())
			if i%64 == 0 {
				w.run(testHeartbeat / 4)
			}
		}
		p := leader.node.progress[slow.id]
		Expect(p.next - 1 - p.match).To(BeNumerically("<=", maxInFlight+maxMessageEntries))
		w.run(time.Second)
		w.snapshot(leader, leader.applied)
		w.separate(slow, false)
		w.run(5 * time.Second)
		Expect(slow.state).To(Equal(leader.state))
		Expect(slow.stored.Snapshot.Index).To(Equal(leader.stored.Snapshot.Index))
	})

	ginkgo.DescribeTable("commits only what a quorum has synced", func(stallLeader bool) {
		w, leader := formed()
		follower, third := w.others(leader)
		w.separate(third, true)
		stalled := follower
		if stallLeader {
			stalled = leader
		}
		w.run(time.Second)
		commit := leader.node.View().Commit
		stalled.stalled = true
		Expect(w.propose(leader, "not synced")).To(Succeed())
		w.run(testHeartbeat)
		Expect(leader.node.View().Commit).To(Equal(commit))
		stalled.stalled = false
		w.run(testHeartbeat)
		Expect(leader.node.View().Commit).To(Equal(commit + 1))
	},
		ginkgo.Entry("when the follower's disk stalls", false),
		ginkgo.Entry("when the leader's disk stalls", true),
	)

	ginkgo.It("refuses commands beyond the bound of those that wait for a quorum", func() {
		w, leader := formed()
		w.separate(leader, true)
		var err error
		for i := 0; err == nil && i <= maxUncommitted; i++ {
			err = w.propose(leader, "x")
		}
		Expect(err).To(BeAssignableToTypeOf(&BusyError{}))
	})

	ginkgo.DescribeTable("names a stored log that contradicts itself", func(stored Stored, index uint64) {
		_, err := New(Config{ID: 1, Disk: 1}, stored, 0)
		corrupt := &CorruptLogError{}
		Expect(err).To(BeAssignableToTypeOf(corrupt))
		Expect(err.(*CorruptLogError).Index).To(Equal(index))
	},
		ginkgo.Entry("a gap", Stored{Entries: []Entry{{Index: 1, Term: 1}, {Index: 3, Term: 1}}}, uint64(3)),
		ginkgo.Entry("a term that falls", Stored{Entries: []Entry{{Index: 1, Term: 2}, {Index: 2, Term: 1}}}, uint64(2)),
		ginkgo.Entry("entries before the snapshot only", Stored{Snapshot: Snapshot{Index: 9, Term: 1},
			Entries: []Entry{{Index: 4, Term: 1}}}, uint64(4)),
	)
})

var _ = ginkgo.Describe("what must not come too early", func() {
	ginkgo.It("sends a vote only after it is synced, and gives one a term", func() {
		w, leader := formed()
		voter, candidate := w.others(leader)
		w.crash(leader)
		w.advance(3 * time.Second)
		ask := Message{Type: MsgVote, From: candidate.id, To: voter.id, Disk: candidate.disk, ToDisk: voter.disk,
			Formation: voter.node.hard.Formation, Term: voter.node.hard.Term + 9, Index: 1 << 20, LogTerm: 1 << 20}
		w.sync(voter)
		voter.node.TakeMessages()
		voter.node.Step(w.clock(voter), ask)
		Expect(voter.node.TakeMessages()).To(BeEmpty())
		save := voter.node.TakeSave()
		Expect(save.Hard.Vote).To(Equal(candidate.disk))
		Expect(save.After).To(HaveLen(1))
		Expect(save.After[0].Reject).To(BeFalse())
		ask.From, ask.Disk = leader.id, leader.disk
		voter.node.Step(w.clock(voter), ask)
		Expect(voter.node.TakeSave().After[0].Reject).To(BeTrue())
	})

	ginkgo.It("votes for no one right after a restart, when a lease may rest on it", func() {
		w, leader := formed()
		voter, candidate := w.others(leader)
		w.crash(voter)
		w.start(voter)
		ask := Message{Type: MsgVote, From: candidate.id, To: voter.id, Disk: candidate.disk, ToDisk: voter.disk,
			Formation: voter.node.hard.Formation, Term: voter.node.hard.Term + 1, Index: 1 << 20, LogTerm: 1 << 20}
		voter.node.Step(0, ask)
		Expect(voter.node.TakeSave()).To(BeNil())
		voter.node.Step(DefaultElectionTimeout, ask)
		Expect(voter.node.TakeSave().Hard.Vote).To(Equal(candidate.disk))
	})

	ginkgo.It("changes one host at a time", func() {
		w, leader := formed()
		_, _, err := leader.node.ChangeMember(w.clock(leader), Member{ID: 4}, false)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = leader.node.ChangeMember(w.clock(leader), Member{ID: 5}, false)
		Expect(err).To(BeAssignableToTypeOf(&BusyError{}))
		w.pump(leader)
		w.run(time.Second)
		_, _, err = leader.node.ChangeMember(w.clock(leader), Member{ID: 5}, false)
		Expect(err).NotTo(HaveOccurred())
	})
})
