package replica

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a read behind a read barrier", func() {
	It("shows on every host what any host acknowledged before", func() {
		c := newCluster(GinkgoTB(), 3, nil)
		c.waitForVoters(3)
		for i := range 20 {
			c.proposeUntilApplied(uint64(i%3+1), fmt.Sprint(i))
			reader := uint64((i+1)%3 + 1)
			Expect(c.hosts[reader].replica.ReadBarrier(context.Background())).To(Succeed())
			Expect(c.hosts[reader].machine.list()).To(HaveLen(i + 1))
		}
	})

	It("fails without a quorum, on the leader as well", func() {
		c := newCluster(GinkgoTB(), 3, nil)
		c.waitForVoters(3)
		c.proposeUntilApplied(1, "a")
		leader := c.waitForLeader().id
		for id := range c.hosts {
			if id != leader {
				c.kill(id)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		Expect(c.hosts[leader].replica.ReadBarrier(ctx)).NotTo(Succeed())
	})
})

var _ = Describe("a host without a disk", func() {
	It("follows, serves linearizable reads, never votes and restarts with an empty log", func() {
		c := newCluster(GinkgoTB(), 4, func(o *Options) {
			if o.AdmitUnknownHosts = true; o.ID == 4 {
				o.Ephemeral, o.DataDir = true, ""
			}
			o.Bootstrap, o.InitialMembers, o.JoinMembers = o.ID < 4, o.InitialMembers[:3], o.InitialMembers[:3]
		})
		c.proposeUntilApplied(1, "a")
		for range 2 {
			Eventually(func() error {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				return c.hosts[4].replica.ReadBarrier(ctx)
			}, eventuallyTimeout).Should(Succeed())
			Expect(c.hosts[4].machine.list()).To(Equal([]string{"a"}))
			Expect(c.hosts[4].replica.Status().IsVoter).To(BeFalse())
			c.kill(4)
			c.start(4, true)
		}
	})
})
