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

// ginkgoFailer fails the running spec.
type ginkgoFailer struct{}

func (ginkgoFailer) Fatalf(format string, args ...any) { ginkgo.Fail(fmt.Sprintf(format, args...)) }

// newThreeVoterNetwork returns a network of three voters and its leader.
func newThreeVoterNetwork(rates ...int64) (*network, *testHost) {
	if rates == nil {
		rates = []int64{1000, 1000, 1000}
	}
	net := newNetwork(ginkgoFailer{}, rates)
	net.runFor(5 * time.Second)
	leader := net.activeLeader()
	Expect(leader).NotTo(BeNil())
	m := leader.node.Status().Membership
	Expect(m.voterCount()).To(Equal(3))
	return net, leader
}

// otherInitialHosts returns the initial hosts without h.
func (net *network) otherInitialHosts(h *testHost) (a, b *testHost) {
	return net.hosts[h.id%3], net.hosts[(h.id+1)%3]
}

// crash stops a host, which loses its pending write.
func (net *network) crash(h *testHost) { h.running, h.pendingWrite, h.diskStalled = false, nil, false }

var _ = ginkgo.Describe("a partitioned leader", func() {
	ginkgo.DescribeTable("commits nothing, loses its lease before another leader has one, and follows after the partition",
		func(leaderRate, otherRate int64, partition time.Duration) {
			net, leader := newThreeVoterNetwork(leaderRate, otherRate, otherRate)
			for leader != net.hosts[0] {
				Expect(leader.node.TransferLeadership(net.localTime(leader), 1)).To(Succeed())
				net.runFor(5 * time.Second)
				leader = net.activeLeader()
				Expect(leader).NotTo(BeNil())
			}
			Expect(net.propose(leader, "before")).To(Succeed())
			net.runFor(time.Second)
			applied := leader.appliedIndex
			net.setIsolated(leader, true)
			_ = net.propose(leader, "lost")
			net.runFor(partition)
			Expect(leader.appliedIndex).To(Equal(applied))
			Expect(leader.node.Status().HasLease).To(BeFalse())
			Expect(net.propose(leader, "refused")).To(BeAssignableToTypeOf(&NotLeaderError{}))
			Expect(net.activeLeader()).NotTo(BeNil())
			Expect(net.propose(net.activeLeader(), "after")).To(Succeed())
			term := net.activeLeader().node.Status().Term
			net.setIsolated(leader, false)
			net.runFor(2 * time.Second)
			Expect(leader.node.Status().Role).To(Equal(Follower))
			Expect(leader.stateHash).To(Equal(net.activeLeader().stateHash))
			Expect(net.activeLeader().node.Status().Term).To(Equal(term), "the returning host must not force an election")
		},
		ginkgo.Entry("for seconds, equal clocks", int64(1000), int64(1000), 4*time.Second),
		ginkgo.Entry("for an hour", int64(1000), int64(1000), time.Hour),
		ginkgo.Entry("with a clock slow by the maximum drift among fast ones", int64(1000-MaxClockDriftPerMille), int64(1000+MaxClockDriftPerMille), 10*time.Second),
		ginkgo.Entry("with a clock fast by the maximum drift among slow ones", int64(1000+MaxClockDriftPerMille), int64(1000-MaxClockDriftPerMille), 10*time.Second),
	)

	ginkgo.It("steps down if it receives nothing, even if its own messages arrive", func() {
		net, leader := newThreeVoterNetwork()
		a, b := net.otherInitialHosts(leader)
		net.cutLinks[[2]uint64{a.id, leader.id}], net.cutLinks[[2]uint64{b.id, leader.id}] = true, true
		net.runFor(5 * time.Second)
		Expect(net.activeLeader()).NotTo(BeNil())
		Expect(net.activeLeader()).NotTo(Equal(leader))
	})
})

var _ = ginkgo.Describe("data folders", func() {
	ginkgo.It("keep acknowledged entries when one is wiped and another host crashes after the first has caught up", func() {
		net, leader := newThreeVoterNetwork()
		emptied, second := net.otherInitialHosts(leader)
		Expect(net.propose(leader, "kept")).To(Succeed())
		net.runFor(time.Second)
		state := leader.stateHash
		net.crash(emptied)
		net.wipeDisk(emptied)
		net.start(emptied)
		net.runFor(5 * time.Second)
		Expect(emptied.node.Status().IsVoter).To(BeTrue())
		net.crash(second)
		net.runFor(2 * time.Second)
		Expect(net.activeLeader()).NotTo(BeNil())
		Expect(net.stateByIndex).To(ContainElement(state))
		Expect(emptied.appliedIndex).To(BeNumerically(">=", leader.appliedIndex-1))
	})

	ginkgo.It("elect no leader when one is wiped and the only other complete host is down", func() {
		net, leader := newThreeVoterNetwork()
		emptied, second := net.otherInitialHosts(leader)
		net.crash(second)
		Expect(net.propose(leader, "on two")).To(Succeed())
		net.runFor(time.Second)
		acknowledged := leader.appliedIndex
		net.crash(emptied)
		net.wipeDisk(emptied)
		net.crash(leader)
		net.start(emptied)
		net.start(second)
		net.runFor(time.Minute)
		Expect(net.activeLeader()).To(BeNil(), "the remaining disk may lack acknowledged entries")
		net.start(leader)
		net.runFor(10 * time.Second)
		Expect(net.activeLeader()).NotTo(BeNil())
		Expect(net.activeLeader().appliedIndex).To(BeNumerically(">=", acknowledged))
	})

	ginkgo.It("demote a voter restored from an older copy until it has caught up", func() {
		net, leader := newThreeVoterNetwork()
		restored, other := net.otherInitialHosts(leader)
		net.runFor(time.Second)
		backup := restored.persisted
		for i := range 20 {
			Expect(net.propose(leader, fmt.Sprint(i))).To(Succeed())
		}
		net.runFor(time.Second)
		acknowledged := leader.appliedIndex
		net.crash(restored)
		restored.persisted = backup
		net.start(restored)
		demoted := false
		for range 100 {
			net.runFor(testHeartbeat / 4)
			m := leader.node.Status().Membership
			member, _ := m.find(restored.id)
			demoted = demoted || !member.IsVoter
		}
		Expect(demoted).To(BeTrue())
		Expect(restored.node.Status().IsVoter).To(BeTrue())
		net.crash(leader)
		net.runFor(5 * time.Second)
		Expect(net.activeLeader()).NotTo(BeNil())
		Expect(other.appliedIndex).To(BeNumerically(">=", acknowledged))
	})

	ginkgo.It("form no second cluster while an initial host has state", func() {
		net, _ := newThreeVoterNetwork()
		for _, h := range net.hosts[:2] {
			net.crash(h)
			net.wipeDisk(h)
		}
		for _, h := range net.hosts[:2] {
			net.start(h)
		}
		net.runFor(time.Minute)
		Expect(net.hosts[0].node.Status().ClusterID).To(BeZero())
		Expect(net.hosts[0].node.Status().BootstrapBlockers).To(Equal([]uint64{3}))
	})
})

var _ = ginkgo.Describe("replication", func() {
	ginkgo.It("limits the entries in flight to a follower and lets it catch up by a snapshot", func() {
		net, leader := newThreeVoterNetwork()
		slow, _ := net.otherInitialHosts(leader)
		net.setIsolated(slow, true)
		for i := range 3 * maxInFlightEntries {
			Expect(net.propose(leader, fmt.Sprint(i))).To(Succeed())
			if i%64 == 0 {
				net.runFor(testHeartbeat / 4)
			}
		}
		p := leader.node.progress[slow.id]
		Expect(p.nextIndex - 1 - p.matchIndex).To(BeNumerically("<=", maxInFlightEntries+maxAppendEntries))
		net.runFor(time.Second)
		net.takeSnapshot(leader, leader.appliedIndex)
		net.setIsolated(slow, false)
		net.runFor(5 * time.Second)
		Expect(slow.stateHash).To(Equal(leader.stateHash))
		Expect(slow.persisted.Snapshot.Index).To(Equal(leader.persisted.Snapshot.Index))
	})

	ginkgo.DescribeTable("commits only what a quorum has synced", func(stallLeader bool) {
		net, leader := newThreeVoterNetwork()
		follower, third := net.otherInitialHosts(leader)
		net.setIsolated(third, true)
		stalled := follower
		if stallLeader {
			stalled = leader
		}
		net.runFor(time.Second)
		commit := leader.node.Status().CommitIndex
		stalled.diskStalled = true
		Expect(net.propose(leader, "not synced")).To(Succeed())
		net.runFor(testHeartbeat)
		Expect(leader.node.Status().CommitIndex).To(Equal(commit))
		stalled.diskStalled = false
		net.runFor(testHeartbeat)
		Expect(leader.node.Status().CommitIndex).To(Equal(commit + 1))
	},
		ginkgo.Entry("when the follower's disk stalls", false),
		ginkgo.Entry("when the leader's disk stalls", true),
	)

	ginkgo.It("rejects commands beyond the limit of uncommitted entries", func() {
		net, leader := newThreeVoterNetwork()
		net.setIsolated(leader, true)
		var err error
		for i := 0; err == nil && i <= maxUncommittedEntries; i++ {
			err = net.propose(leader, "x")
		}
		Expect(err).To(BeAssignableToTypeOf(&BusyError{}))
	})

	ginkgo.DescribeTable("reports the index at which a stored log is inconsistent", func(stored PersistedState, index uint64) {
		_, err := New(Config{ID: 1, DiskID: 1}, stored, 0)
		corrupt := &CorruptLogError{}
		Expect(err).To(BeAssignableToTypeOf(corrupt))
		Expect(err.(*CorruptLogError).Index).To(Equal(index))
	},
		ginkgo.Entry("a gap", PersistedState{Entries: []Entry{{Index: 1, Term: 1}, {Index: 3, Term: 1}}}, uint64(3)),
		ginkgo.Entry("a decreasing term", PersistedState{Entries: []Entry{{Index: 1, Term: 2}, {Index: 2, Term: 1}}}, uint64(2)),
		ginkgo.Entry("entries that end before the snapshot", PersistedState{Snapshot: Snapshot{Index: 9, Term: 1},
			Entries: []Entry{{Index: 4, Term: 1}}}, uint64(4)),
	)
})

var _ = ginkgo.Describe("ordering constraints", func() {
	ginkgo.It("sends a vote only after it is synced, and votes once per term", func() {
		net, leader := newThreeVoterNetwork()
		voter, candidate := net.otherInitialHosts(leader)
		net.crash(leader)
		net.advanceTime(3 * time.Second)
		request := Message{Type: MsgVote, From: candidate.id, To: voter.id, DiskID: candidate.diskID, ToDiskID: voter.diskID,
			ClusterID: voter.node.hardState.ClusterID, Term: voter.node.hardState.Term + 9, Index: 1 << 20, LogTerm: 1 << 20}
		net.completeWrite(voter)
		voter.node.TakeMessages()
		voter.node.Step(net.localTime(voter), request)
		Expect(voter.node.TakeMessages()).To(BeEmpty())
		batch := voter.node.TakeWriteBatch()
		Expect(batch.HardState.VotedFor).To(Equal(candidate.diskID))
		Expect(batch.MessagesAfterSync).To(HaveLen(1))
		Expect(batch.MessagesAfterSync[0].Reject).To(BeFalse())
		request.From, request.DiskID = leader.id, leader.diskID
		voter.node.Step(net.localTime(voter), request)
		Expect(voter.node.TakeWriteBatch().MessagesAfterSync[0].Reject).To(BeTrue())
	})

	ginkgo.It("withholds its vote after a restart while a lease may depend on it", func() {
		net, leader := newThreeVoterNetwork()
		voter, candidate := net.otherInitialHosts(leader)
		net.crash(voter)
		net.start(voter)
		request := Message{Type: MsgVote, From: candidate.id, To: voter.id, DiskID: candidate.diskID, ToDiskID: voter.diskID,
			ClusterID: voter.node.hardState.ClusterID, Term: voter.node.hardState.Term + 1, Index: 1 << 20, LogTerm: 1 << 20}
		voter.node.Step(0, request)
		Expect(voter.node.TakeWriteBatch()).To(BeNil())
		voter.node.Step(DefaultElectionTimeout, request)
		Expect(voter.node.TakeWriteBatch().HardState.VotedFor).To(Equal(candidate.diskID))
	})

	ginkgo.It("allows one uncommitted membership change", func() {
		net, leader := newThreeVoterNetwork()
		_, _, err := leader.node.ChangeMember(net.localTime(leader), Member{ID: 4}, false)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = leader.node.ChangeMember(net.localTime(leader), Member{ID: 5}, false)
		Expect(err).To(BeAssignableToTypeOf(&BusyError{}))
		net.processOutput(leader)
		net.runFor(time.Second)
		_, _, err = leader.node.ChangeMember(net.localTime(leader), Member{ID: 5}, false)
		Expect(err).NotTo(HaveOccurred())
	})
})
