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
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

var _ = Describe("a log of one host", func() {
	It("gives the results and keeps the commands over restarts, with and without a snapshot", func() {
		c := newCluster(GinkgoTB(), 1, func(o *Options) { o.SnapshotEntries = 64 })
		var want []string
		for round := range 3 {
			for i := range 50 {
				want = append(want, fmt.Sprintf("%d-%d", round, i))
				c.propose(1, want[len(want)-1])
			}
			c.kill(1)
			c.start(1, true)
			c.leader()
			Expect(c.hosts[1].machine.list()).To(Equal(want))
		}
	})

	It("drops old entries while it is under load", func() {
		c := newCluster(GinkgoTB(), 1, func(o *Options) { o.SnapshotEntries = 50 })
		c.propose(1, "first")
		var held atomic.Uint64
		var group sync.WaitGroup
		for worker := range 40 {
			group.Go(func() {
				defer GinkgoRecover()
				for i := range 100 {
					c.propose(1, fmt.Sprint(worker, " ", i))
					view := c.hosts[1].replica.view.Load()
					held.Store(max(held.Load(), view.Last+1-view.FirstHeld))
				}
			})
		}
		group.Wait()
		GinkgoWriter.Println("held at most", held.Load())
		Expect(held.Load()).To(BeNumerically("<", 1000), "of 4,000, with a snapshot after 50")
	})

	It("says that a stopped replica recorded nothing or does not know", func() {
		c := newCluster(GinkgoTB(), 1, nil)
		c.propose(1, "a")
		r := c.hosts[1].replica
		c.kill(1)
		_, err := r.Propose(context.Background(), []byte("b"))
		Expect(err).To(BeAssignableToTypeOf(&NotRecorded{}))
		_, _, ok := r.Leading()
		Expect(ok).To(BeFalse())
		Expect(r.TransferLeadership(context.Background())).To(Succeed())
		Expect(r.Run(context.Background())).To(BeAssignableToTypeOf(&OptionsError{}))
	})
})

var _ = Describe("a log of three hosts", func() {
	It("takes commands anywhere and survives the loss of its leader", func() {
		c := newCluster(GinkgoTB(), 3, nil)
		c.voters(3)
		var want []string
		for i := range 30 {
			want = append(want, fmt.Sprint("first ", i))
			c.propose(uint64(i%3+1), want[i])
		}
		lost := c.leader().id
		c.kill(lost)
		for i := range 30 {
			want = append(want, fmt.Sprint("second ", i))
			c.propose((lost+uint64(i%2))%3+1, want[30+i])
		}
		c.start(lost, true)
		c.voters(3)
		for id := range c.hosts {
			Eventually(c.hosts[id].machine.list, waitLong, 5*time.Millisecond).Should(Equal(want))
		}
	})

	It("admits an emptied host as a learner, and outlives another one right after", func() {
		c := newCluster(GinkgoTB(), 3, func(o *Options) { o.SnapshotEntries = 16 })
		c.voters(3)
		var want []string
		add := func(id uint64, count int) {
			for range count {
				want = append(want, fmt.Sprint(len(want)))
				c.propose(id, want[len(want)-1])
			}
		}
		add(1, 100)
		emptied := c.leader().id%3 + 1
		c.kill(emptied)
		Expect(os.RemoveAll(c.hosts[emptied].dir)).To(Succeed())
		c.start(emptied, true)
		Eventually(func() bool { return c.hosts[emptied].replica.Status().Voter }, waitLong).Should(BeTrue())
		c.kill(c.leader().id)
		add(emptied, 10)
		Eventually(c.hosts[emptied].machine.list, waitLong).Should(Equal(want))
	})

	It("refuses to go on when a quorum of the folders is empty, and says why", func() {
		c := newCluster(GinkgoTB(), 3, nil)
		c.voters(3)
		c.propose(1, "a")
		Eventually(c.hosts[3].machine.list, waitLong).Should(Equal([]string{"a"}))
		for _, id := range []uint64{1, 2} {
			c.kill(id)
		}
		for _, id := range []uint64{1, 2} {
			Expect(os.RemoveAll(c.hosts[id].dir)).To(Succeed())
			c.start(id, true)
		}
		_, err := c.hosts[1].replica.Propose(context.Background(), []byte("b"))
		Expect(err).To(BeAssignableToTypeOf(&NotRecorded{}))
		Expect(err.Error()).To(ContainSubstring("[3]"))
		Expect(c.hosts[2].replica.Status().Reason).To(ContainSubstring("data folder is empty"))
		Expect(c.hosts[3].machine.list()).To(Equal([]string{"a"}))
	})

	It("refuses calls that are meant for another cluster", func() {
		c := newCluster(GinkgoTB(), 1, nil)
		c.propose(1, "a")
		other, err := Open(Options{ID: 2, ClusterID: "other", Dir: GinkgoT().TempDir(), Machine: &listMachine{},
			HTTP: rpc.Client(nil)})
		Expect(err).NotTo(HaveOccurred())
		ctx := context.Background()
		_, err = other.forward(ctx, c.hosts[1].url, []byte("b"))
		Expect(err).To(BeAssignableToTypeOf(&refusal{}))
		Expect(other.forwardChange(ctx, c.hosts[1].url, consensus.Member{ID: 2}, false)).To(BeAssignableToTypeOf(&refusal{}))
		Expect(c.hosts[1].machine.list()).To(Equal([]string{"a"}))
	})

	It("tells what is certain from what is not", func() {
		c := newCluster(GinkgoTB(), 1, nil)
		r, url := c.hosts[1].replica, c.hosts[1].url
		c.propose(1, "a")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := r.forward(ctx, url, []byte("b"))
		Expect(err).To(BeAssignableToTypeOf(&UnknownError{}))
		c.kill(1)
		r.clients.Clear()
		r.options.HTTP = rpc.Client(nil) // without the connection of before
		_, err = r.forward(context.Background(), url, []byte("c"))
		Expect(err).To(BeAssignableToTypeOf(&refusal{}), "no connection came about")
	})

	It("hands over, adds and removes hosts", func() {
		c := newCluster(GinkgoTB(), 3, nil)
		c.voters(3)
		ctx, cancel := context.WithTimeout(context.Background(), waitLong)
		defer cancel()
		old := c.leader()
		Expect(old.replica.TransferLeadership(ctx)).To(Succeed())
		Expect(c.leader().id).NotTo(Equal(old.id))
		added := &host{id: 4, dir: GinkgoTB().TempDir()}
		c.listen(added)
		c.hosts[4] = added
		Expect(old.replica.AddMember(ctx, 4, added.url)).To(Succeed())
		c.start(4, false)
		c.voters(4)
		leader := c.leader()
		Expect(leader.replica.RemoveMember(ctx, leader.id)).To(Succeed())
		c.kill(leader.id)
		c.voters(3)
		c.propose(4, "after")
	})
})
