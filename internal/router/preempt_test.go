package router_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

var _ = Describe("a request of the highest tier", func() {
	It("takes the only slot from a stream of a lower tier, which goes on afterwards and is whole", func() {
		p := newPathWith(1, flow.Config{Slots: 1, MinSlots: 1, MaxSlots: 1})
		defer p.stop()
		const length = 2500
		low := make(chan got, 1)
		go func() {
			defer GinkgoRecover()
			low <- p.do(chat("a long review [tokens=2500]", length, true))
		}()
		Eventually(func() int { return len(p.engines[0].Records().Arrivals) }, "5s").Should(Equal(1))
		urgent := chat("counter", 5, true)
		urgent.header = map[string]string{"Trefoilkeel-Class": "urgent"}
		first := p.do(urgent)
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		select {
		case g := <-low:
			Fail("the lower tier ended early: " + g.body[max(0, len(g.body)-300):])
		default:
		}

		g := <-low
		text, ended := textOf(g.body)
		Expect(ended).To(BeTrue())
		Expect(standin.Verify(promptOf("a long review [tokens=2500]"), text, length)).To(Succeed())
		arrivals := p.engines[0].Records().Arrivals
		Expect(arrivals).To(HaveLen(3))
		Expect(arrivals[2].Given).To(BeNumerically(">", 0), "continued from the text sent")
	})
})
