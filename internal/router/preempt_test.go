package router_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

var _ = Describe("a request of the highest tier", func() {
	It("preempts a stream of a lower tier in the only slot, which resumes afterwards and is complete", func() {
		cluster := newTestClusterWithFlow(1, flow.Config{Slots: 1, MinSlots: 1, MaxSlots: 1})
		defer cluster.shutdown()
		const length = 2500
		lowerTier := make(chan testResponse, 1)
		go func() {
			defer GinkgoRecover()
			lowerTier <- cluster.send(chatRequest("a long review [tokens=2500]", length, true))
		}()
		Eventually(func() int { return len(cluster.engines[0].Records().Requests) }, "5s").Should(Equal(1))
		urgentRequest := chatRequest("counter", 5, true)
		urgentRequest.header = map[string]string{"Trefoilkeel-Class": "urgent"}
		urgentResponse := cluster.send(urgentRequest)
		Expect(urgentResponse.status).To(Equal(http.StatusOK), urgentResponse.body)
		select {
		case response := <-lowerTier:
			Fail("the lower tier ended early: " + response.body[max(0, len(response.body)-300):])
		default:
		}

		response := <-lowerTier
		text, complete := answerText(response.body)
		Expect(complete).To(BeTrue())
		Expect(standin.VerifyAnswer(enginePrompt("a long review [tokens=2500]"), text, length)).To(Succeed())
		arrivals := cluster.engines[0].Records().Requests
		Expect(arrivals).To(HaveLen(3))
		Expect(arrivals[2].TokensGiven).To(BeNumerically(">", 0), "continued from the text sent")
	})
})
