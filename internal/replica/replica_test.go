package replica

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/journal"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

var _ = Describe("a log on a single host", func() {
	It("returns results and keeps commands across restarts, with and without a snapshot", func() {
		c := newCluster(GinkgoTB(), 1, func(o *Options) { o.SnapshotIntervalEntries = 64 })
		var want []string
		for round := range 3 {
			for i := range 50 {
				want = append(want, fmt.Sprintf("%d-%d", round, i))
				c.proposeUntilApplied(1, want[len(want)-1])
			}
			c.kill(1)
			c.start(1, true)
			c.waitForLeader()
			Expect(c.hosts[1].machine.list()).To(Equal(want))
		}
	})

	It("compacts the log under load", func() {
		c := newCluster(GinkgoTB(), 1, func(o *Options) { o.SnapshotIntervalEntries = 50 })
		c.proposeUntilApplied(1, "first")
		var maxEntries atomic.Uint64
		var group sync.WaitGroup
		for worker := range 40 {
			group.Go(func() {
				defer GinkgoRecover()
				for i := range 100 {
					c.proposeUntilApplied(1, fmt.Sprint(worker, " ", i))
					nodeStatus := c.hosts[1].replica.nodeStatus.Load()
					maxEntries.Store(max(maxEntries.Load(), nodeStatus.LastIndex+1-nodeStatus.FirstIndex))
				}
			})
		}
		group.Wait()
		GinkgoWriter.Println("most entries in the log at once:", maxEntries.Load())
		Expect(maxEntries.Load()).To(BeNumerically("<", 1000), "of 4,000 entries, with a snapshot every 50")
	})

	It("fails a proposal to a stopped replica as not recorded, and refuses a second run", func() {
		c := newCluster(GinkgoTB(), 1, nil)
		c.proposeUntilApplied(1, "a")
		r := c.hosts[1].replica
		c.kill(1)
		_, err := r.Propose(context.Background(), []byte("b"))
		Expect(err).To(BeAssignableToTypeOf(&NotRecordedError{}))
		_, _, ok := r.LeaderLease()
		Expect(ok).To(BeFalse())
		Expect(r.TransferLeadership(context.Background())).To(Succeed())
		Expect(r.Run(context.Background())).To(BeAssignableToTypeOf(&OptionsError{}))
	})
})

var _ = Describe("a log on three hosts", func() {
	It("accepts commands on every host and survives the loss of its leader", func() {
		c := newCluster(GinkgoTB(), 3, nil)
		c.waitForVoters(3)
		var want []string
		for i := range 30 {
			want = append(want, fmt.Sprint("first ", i))
			c.proposeUntilApplied(uint64(i%3+1), want[i])
		}
		lost := c.waitForLeader().id
		c.kill(lost)
		for i := range 30 {
			want = append(want, fmt.Sprint("second ", i))
			c.proposeUntilApplied((lost+uint64(i%2))%3+1, want[30+i])
		}
		c.start(lost, true)
		c.waitForVoters(3)
		for id := range c.hosts {
			Eventually(c.hosts[id].machine.list, eventuallyTimeout, 5*time.Millisecond).Should(Equal(want))
		}
	})

	It("readmits a host that lost its data, and then survives the loss of the leader", func() {
		c := newCluster(GinkgoTB(), 3, func(o *Options) { o.SnapshotIntervalEntries = 16 })
		c.waitForVoters(3)
		var want []string
		add := func(id uint64, count int) {
			for range count {
				want = append(want, fmt.Sprint(len(want)))
				c.proposeUntilApplied(id, want[len(want)-1])
			}
		}
		add(1, 100)
		wiped := c.waitForLeader().id%3 + 1
		c.kill(wiped)
		Expect(os.RemoveAll(c.hosts[wiped].dir)).To(Succeed())
		c.start(wiped, true)
		Eventually(func() bool { return c.hosts[wiped].replica.Status().IsVoter }, eventuallyTimeout).Should(BeTrue())
		c.kill(c.waitForLeader().id)
		add(wiped, 10)
		Eventually(c.hosts[wiped].machine.list, eventuallyTimeout).Should(Equal(want))
	})

	// Guards against a host that leaves a snapshot unread and so keeps those of all others back.
	It("sends a wiped voter its snapshot while a learner leaves its own unread", func() {
		c := newCluster(GinkgoTB(), 3, func(o *Options) { o.SnapshotIntervalEntries, o.Ephemeral = 16, o.ID == 4 })
		c.waitForVoters(3)
		leader := c.waitForLeader()
		const count = 64
		for i := range count {
			c.proposeUntilApplied(leader.id, fmt.Sprintf("%01024d", i))
		}
		c.startStallingLearner(leader)
		wiped := leader.id%3 + 1
		c.kill(wiped)
		Expect(os.RemoveAll(c.hosts[wiped].dir)).To(Succeed())
		c.start(wiped, true)
		Eventually(c.hosts[wiped].machine.list, closeBound).Should(HaveLen(count))
	})

	// Guards against a log of large commands that outgrows the disk.
	It("keeps few bytes of the log below a snapshot, and a host that was away catches up", func() {
		const interval, commandBytes = 256 << 10, 16 << 10
		c := newCluster(GinkgoTB(), 3, func(o *Options) { o.SnapshotIntervalBytes = interval })
		c.waitForVoters(3)
		var want []string
		add := func(count int) {
			for range count {
				want = append(want, fmt.Sprintf("%0*d", commandBytes, len(want)))
				c.proposeUntilApplied(1, want[len(want)-1])
			}
		}
		add(20)
		c.kill(3)
		add(60)
		c.start(3, true)
		add(20)
		for id := range c.hosts {
			Eventually(c.hosts[id].machine.list, eventuallyTimeout, 5*time.Millisecond).Should(Equal(want))
		}
		for id := range c.hosts {
			c.kill(id)
			j, stored, err := journal.Open(c.hosts[id].dir, "test", id)
			Expect(err).NotTo(HaveOccurred())
			Expect(j.Close()).To(Succeed())
			Expect(stored.Snapshot.Index).To(BeNumerically(">", 0))
			trailing := 0
			for _, e := range stored.Entries {
				if e.Index <= stored.Snapshot.Index {
					trailing += len(e.Data)
				}
			}
			Expect(trailing).To(BeNumerically("<=", interval/4), "host %d", id)
		}
	})

	It("refuses proposals after a quorum has lost its data, and says why", func() {
		c := newCluster(GinkgoTB(), 3, nil)
		c.waitForVoters(3)
		c.proposeUntilApplied(1, "a")
		Eventually(c.hosts[3].machine.list, eventuallyTimeout).Should(Equal([]string{"a"}))
		for _, id := range []uint64{1, 2} {
			c.kill(id)
		}
		for _, id := range []uint64{1, 2} {
			Expect(os.RemoveAll(c.hosts[id].dir)).To(Succeed())
			c.start(id, true)
		}
		_, err := c.hosts[1].replica.Propose(context.Background(), []byte("b"))
		Expect(err).To(BeAssignableToTypeOf(&NotRecordedError{}))
		Expect(err.Error()).To(ContainSubstring("[3]"))
		Expect(c.hosts[2].replica.Status().UnavailableReason).To(ContainSubstring("data folder is empty"))
		Expect(c.hosts[3].machine.list()).To(Equal([]string{"a"}))
	})

	It("refuses calls from a host of another cluster", func() {
		c := newCluster(GinkgoTB(), 1, nil)
		c.proposeUntilApplied(1, "a")
		other, err := Open(Options{ID: 2, ClusterName: "other", DataDir: GinkgoT().TempDir(), NewStateMachine: func() StateMachine { return &listMachine{} },
			HTTPClient: rpc.Client(nil)})
		Expect(err).NotTo(HaveOccurred())
		ctx := context.Background()
		_, err = other.forwardProposal(ctx, c.hosts[1].url, []byte("b"))
		Expect(err).To(BeAssignableToTypeOf(&refusedError{}))
		Expect(other.forwardMemberChange(ctx, c.hosts[1].url, consensus.Member{ID: 2}, false)).To(BeAssignableToTypeOf(&refusedError{}))
		Expect(c.hosts[1].machine.list()).To(Equal([]string{"a"}))
	})

	It("reports an unknown outcome, or a refusal if the leader can't be reached", func() {
		c := newCluster(GinkgoTB(), 1, nil)
		r, url := c.hosts[1].replica, c.hosts[1].url
		c.proposeUntilApplied(1, "a")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := r.forwardProposal(ctx, url, []byte("b"))
		Expect(err).To(BeAssignableToTypeOf(&OutcomeUnknownError{}))
		c.kill(1)
		r.clients.Clear()
		r.options.HTTPClient = rpc.Client(nil) // so that the old connection is not reused
		_, err = r.forwardProposal(context.Background(), url, []byte("c"))
		Expect(err).To(BeAssignableToTypeOf(&refusedError{}), "the connection can't be made")
	})

	It("transfers the leadership, adds and removes hosts", func() {
		c := newCluster(GinkgoTB(), 3, nil)
		c.waitForVoters(3)
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		old := c.waitForLeader()
		Expect(old.replica.TransferLeadership(ctx)).To(Succeed())
		Expect(c.waitForLeader().id).NotTo(Equal(old.id))
		added := &testHost{id: 4, dir: GinkgoTB().TempDir()}
		c.listen(added)
		c.hosts[4] = added
		Expect(old.replica.AddMember(ctx, 4, added.url)).To(Succeed())
		c.start(4, false)
		c.waitForVoters(4)
		leader := c.waitForLeader()
		Expect(leader.replica.RemoveMember(ctx, leader.id)).To(Succeed())
		c.kill(leader.id)
		c.waitForVoters(3)
		c.proposeUntilApplied(4, "after")
	})
})
