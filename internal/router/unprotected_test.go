package router_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

var _ = Describe("an unprotected request", func() {
	const prompt = "which stage is closed?"

	It("gets the complete answer, streamed and buffered", func() {
		cluster := newTestCluster(2)
		defer cluster.shutdown()
		for _, stream := range []bool{false, true} {
			response := cluster.send(chatRequest(prompt, 20, stream))
			Expect(response.status).To(Equal(http.StatusOK), response.body)
			text, complete := answerText(response.body)
			Expect(complete).To(BeTrue())
			Expect(standin.VerifyAnswer(enginePrompt(prompt), text, 20)).To(Succeed())
			Expect(response.execution).To(Equal("ran"))
		}
	})

	// Whatever an engine does, a caller gets the complete answer or a failure that
	// cannot be mistaken for one.
	DescribeTable("with an engine that fails", func(fault standin.Fault, stream bool, allEngines bool) {
		// A stream that ends after the last token without a finish reason may be
		// complete or not.
		endUnknowable := fault.Kind == standin.FaultCrashLast && stream
		cluster := newTestCluster(3)
		defer cluster.shutdown()
		faultyEngines := cluster.engines[:1]
		if allEngines {
			faultyEngines = cluster.engines
		}
		for _, e := range faultyEngines {
			Expect(e.InjectFault(fault)).To(Succeed())
		}
		completeAnswers := 0
		for range 6 {
			response := cluster.send(chatRequest(prompt, 20, stream))
			text, complete := answerText(response.body)
			if response.status == http.StatusOK && complete && !response.connectionBroken {
				Expect(standin.VerifyAnswer(enginePrompt(prompt), text, 20)).To(Succeed())
				completeAnswers++
				continue
			}
			Expect(response.connectionBroken || response.errorType != "").To(BeTrue(), response.body)
			Expect(response.execution).NotTo(Equal("not-run"))
		}
		if !allEngines && !endUnknowable {
			Expect(completeAnswers).To(Equal(6), "another engine could answer")
		}
	},
		Entry("before the first byte", standin.Fault{Kind: standin.FaultCrashFirst, Count: 2}, false, false),
		Entry("before the first byte of a stream", standin.Fault{Kind: standin.FaultCrashFirst, Count: 2}, true, false),
		Entry("mid-stream", standin.Fault{Kind: standin.FaultCrashMid, Count: 2, AfterTokens: 5}, true, false),
		Entry("mid-body", standin.Fault{Kind: standin.FaultCrashMid, Count: 2, AfterTokens: 5}, false, false),
		Entry("after the last token", standin.Fault{Kind: standin.FaultCrashLast, Count: 2}, true, false),
		Entry("after the last token of a body", standin.Fault{Kind: standin.FaultCrashLast, Count: 2}, false, false),
		Entry("with a delay", standin.Fault{Kind: standin.FaultLate, Count: 2, DelayMS: 100}, true, false),
		Entry("twice", standin.Fault{Kind: standin.FaultTwice, Count: 2}, false, false),
		Entry("twice as a stream", standin.Fault{Kind: standin.FaultTwice, Count: 2}, true, false),
		Entry("under another id", standin.Fault{Kind: standin.FaultWrongID, Count: 2}, false, false),
		Entry("under another id as a stream", standin.Fault{Kind: standin.FaultWrongID, Count: 2}, true, false),
		Entry("mid-stream everywhere", standin.Fault{Kind: standin.FaultCrashMid, Count: 100, AfterTokens: 5}, true, true),
		Entry("under another id everywhere", standin.Fault{Kind: standin.FaultWrongID, Count: 100}, true, true),
		Entry("down everywhere", standin.Fault{Kind: standin.FaultCrashFirst, Count: 100}, false, true),
	)

	It("never gets the answer of another request if the engine swaps them", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		Expect(cluster.engines[0].InjectFault(standin.Fault{Kind: standin.FaultOutOfOrder, Count: 2})).To(Succeed())
		results := make(chan testResponse, 2)
		prompts := []string{"first question", "second question"}
		for _, text := range prompts {
			go func() {
				defer GinkgoRecover()
				response := cluster.send(chatRequest(text, 10, false))
				response.errorType += "|" + text
				results <- response
			}()
		}
		for range prompts {
			response := <-results
			if response.status == http.StatusOK {
				text, _ := answerText(response.body)
				Expect(standin.VerifyAnswer(enginePrompt(response.errorType[strings.Index(response.errorType, "|")+1:]), text, 10)).To(Succeed())
			}
		}
	})

	It("is cancelled at the engine when its caller disconnects", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		Expect(cluster.engines[0].InjectFault(standin.Fault{Kind: standin.FaultHang, Count: 1})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		responses := make(chan testResponse, 1)
		go func() {
			defer GinkgoRecover()
			responses <- sendTo(ctx, cluster.routerURL, chatRequest(prompt, 2000, true))
		}()
		Eventually(func() int { return len(cluster.engines[0].Records().Requests) }, "5s").Should(Equal(1))
		cancel()
		<-responses
		Eventually(func() standin.Outcome { return cluster.engines[0].Records().Requests[0].Outcome }, "5s").ShouldNot(Equal(standin.OutcomeRunning))
	})

	DescribeTable("that is invalid is refused and nothing runs", func(request testRequest, status int, errorType string) {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		response := cluster.send(request)
		Expect(response.status).To(Equal(status), response.body)
		Expect(response.errorType).To(Equal(errorType))
		Expect(response.execution).To(Equal("not-run"))
		Expect(cluster.engines[0].Records().Requests).To(BeEmpty())
		Expect(cluster.service.Records().Requests).To(BeEmpty())
	},
		Entry("malformed JSON", testRequest{path: "/v1/chat/completions", body: `{"model":`}, 400, "invalid_request"),
		Entry("not a JSON object", testRequest{path: "/v1/chat/completions", body: `[]`}, 400, "invalid_request"),
		Entry("no model", testRequest{path: "/v1/chat/completions", body: `{}`}, 400, "invalid_request"),
		Entry("unknown model", testRequest{path: "/v1/completions", body: `{"model":"other","prompt":"x"}`}, 404, "unknown_model"),
		Entry("unknown service", testRequest{path: "/services/other/x", body: "x"}, 404, "unknown_service"),
		Entry("a model of another workspace", testRequest{path: "/v1/completions", body: `{"model":"staff-advice","prompt":"x"}`}, 404, "unknown_model"),
		Entry("a service of another workspace", testRequest{path: "/services/payroll/x", body: "x"}, 404, "unknown_service"),
		Entry("unknown path", testRequest{path: "/v2/x", body: "x"}, 404, "invalid_request"),
		Entry("unknown class", testRequest{path: "/v1/completions", body: `{"model":"advice"}`, header: map[string]string{"Trefoilkeel-Class": "vip"}}, 400, "unknown_class"),
		Entry("a class of another workspace", testRequest{path: "/v1/completions", body: `{"model":"advice"}`, header: map[string]string{"Trefoilkeel-Class": "staff"}}, 403, "forbidden"),
		Entry("unknown key", testRequest{path: "/v1/completions", body: `{"model":"advice"}`, header: map[string]string{"Authorization": "Bearer no"}}, 401, "unauthenticated"),
		Entry("no key", testRequest{path: "/v1/completions", body: `{"model":"advice"}`, header: map[string]string{"Authorization": "Basic no"}}, 401, "unauthenticated"),
		Entry("body too large", testRequest{path: "/v1/completions", body: `{"model":"advice","prompt":"` + strings.Repeat("x", 1<<17) + `"}`}, 413, "body_too_large"),
		Entry("compressed body", testRequest{path: "/v1/completions", body: "x", header: map[string]string{"Content-Encoding": "gzip"}}, 415, "invalid_request"),
		Entry("path traversal", testRequest{path: "/services/entries/a/%2e%2e/b", body: "x"}, 400, "invalid_request"),
		Entry("encoded slash", testRequest{path: "/services/entries/a%2fb", body: "x"}, 400, "invalid_request"),
		Entry("no idempotency key", testRequest{path: "/services/entries/fees", body: "x"}, 400, "idempotency_key_required"),
	)

	It("can't set the engine's priority", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		response := cluster.send(testRequest{path: "/v1/completions", body: `{"model":"advice","prompt":"x","max_tokens":2,"priority":-5}`})
		Expect(response.status).To(Equal(http.StatusOK), response.body)
		Expect(cluster.engines[0].Records().Requests[0].Priority).To(Equal(2))
	})
})
