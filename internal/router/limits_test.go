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
	It("refuses what is over it as not run, and lets it in again afterwards", func() {
		p := newPath(1)
		defer p.stop()
		state, faults := ticket.Apply(p.state, &ticket.Ticket{Number: 2, Author: "test", Summary: "a limit",
			Limits: []ticket.Limit{{Name: "small", Concurrency: 2}},
			Workspaces: []ticket.Workspace{func() ticket.Workspace {
				w := p.state.Workspaces["riders"]
				w.Limit = "small"
				return w
			}()},
		})
		Expect(faults).To(BeEmpty())
		p.state = state
		Expect(p.engines[0].SetFault(standin.Fault{Kind: standin.FaultLate, Count: 2, DelayMS: 500})).To(Succeed())
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() {
				defer GinkgoRecover()
				Expect(p.do(chat("x", 3, false)).status).To(Equal(http.StatusOK))
			})
		}
		Eventually(func() int { return len(p.engines[0].Records().Arrivals) }, "5s").Should(Equal(2))
		over := p.do(chat("x", 3, false))
		Expect(over.status).To(Equal(http.StatusTooManyRequests), over.body)
		Expect(over.kind).To(Equal("limit_exceeded"))
		Expect(over.execution).To(Equal("not-run"))
		group.Wait()
		Expect(p.do(chat("x", 3, false)).status).To(Equal(http.StatusOK))
		Expect(p.engines[0].Records().Arrivals).To(HaveLen(3))
	})
})
