package router_test

import (
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

var _ = Describe("a workspace's limit", func() {
	It("refuses requests over it as not run, and admits them once others have ended", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		config, faults := ticket.Apply(cluster.config, &ticket.Ticket{Number: 2, Author: "test", Summary: "a limit",
			Limits: []ticket.Limit{{Name: "small", Concurrency: 2}},
			Workspaces: []ticket.Workspace{func() ticket.Workspace {
				w := cluster.config.Workspaces["riders"]
				w.Limit = "small"
				return w
			}()},
		})
		Expect(faults).To(BeEmpty())
		cluster.config = config
		Expect(cluster.engines[0].InjectFault(standin.Fault{Kind: standin.FaultLate, Count: 2, DelayMS: 500})).To(Succeed())
		var callers sync.WaitGroup
		for range 2 {
			callers.Go(func() {
				defer GinkgoRecover()
				Expect(cluster.send(chatRequest("x", 3, false)).status).To(Equal(http.StatusOK))
			})
		}
		Eventually(func() int { return len(cluster.engines[0].Records().Requests) }, "5s").Should(Equal(2))
		refused := cluster.send(chatRequest("x", 3, false))
		Expect(refused.status).To(Equal(http.StatusTooManyRequests), refused.body)
		Expect(refused.errorType).To(Equal("limit_exceeded"))
		Expect(refused.execution).To(Equal("not-run"))
		callers.Wait()
		Expect(cluster.send(chatRequest("x", 3, false)).status).To(Equal(http.StatusOK))
		Expect(cluster.engines[0].Records().Requests).To(HaveLen(3))
	})
})
