package router_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

var _ = Describe("an ordinary request", func() {
	const prompt = "which stage is closed?"

	It("gets the whole answer, streamed and not, and its unknown fields reach the engine", func() {
		p := newPath(2)
		defer p.stop()
		for _, stream := range []bool{false, true} {
			g := p.do(chat(prompt, 20, stream))
			Expect(g.status).To(Equal(http.StatusOK), g.body)
			text, ended := textOf(g.body)
			Expect(ended).To(BeTrue())
			Expect(standin.Verify(promptOf(prompt), text, 20)).To(Succeed())
			Expect(g.execution).To(Equal("ran"))
		}
	})

	// Whatever an engine does, a caller gets the whole answer or a failure
	// that can't be taken for one.
	DescribeTable("with an engine that fails", func(fault standin.Fault, stream bool, everywhere bool) {
		// Nothing can tell how a stream ended whose last token came without the reason.
		undecided := fault.Kind == standin.FaultCrashLast && stream
		p := newPath(3)
		defer p.stop()
		struck := p.engines[:1]
		if everywhere {
			struck = p.engines
		}
		for _, e := range struck {
			Expect(e.SetFault(fault)).To(Succeed())
		}
		whole := 0
		for range 6 {
			g := p.do(chat(prompt, 20, stream))
			text, ended := textOf(g.body)
			if g.status == http.StatusOK && ended && !g.broken {
				Expect(standin.Verify(promptOf(prompt), text, 20)).To(Succeed())
				whole++
				continue
			}
			Expect(g.broken || g.kind != "").To(BeTrue(), g.body)
			Expect(g.execution).NotTo(Equal("not-run"))
		}
		if !everywhere && !undecided {
			Expect(whole).To(Equal(6), "another engine could answer")
		}
	},
		Entry("before the first byte", standin.Fault{Kind: standin.FaultCrashFirst, Count: 2}, false, false),
		Entry("before the first byte of a stream", standin.Fault{Kind: standin.FaultCrashFirst, Count: 2}, true, false),
		Entry("mid-stream", standin.Fault{Kind: standin.FaultCrashMid, Count: 2, AfterTokens: 5}, true, false),
		Entry("mid-body", standin.Fault{Kind: standin.FaultCrashMid, Count: 2, AfterTokens: 5}, false, false),
		Entry("after the last token", standin.Fault{Kind: standin.FaultCrashLast, Count: 2}, true, false),
		Entry("after the last token of a body", standin.Fault{Kind: standin.FaultCrashLast, Count: 2}, false, false),
		Entry("late", standin.Fault{Kind: standin.FaultLate, Count: 2, DelayMS: 100}, true, false),
		Entry("twice", standin.Fault{Kind: standin.FaultTwice, Count: 2}, false, false),
		Entry("twice as a stream", standin.Fault{Kind: standin.FaultTwice, Count: 2}, true, false),
		Entry("under another id", standin.Fault{Kind: standin.FaultWrongID, Count: 2}, false, false),
		Entry("under another id as a stream", standin.Fault{Kind: standin.FaultWrongID, Count: 2}, true, false),
		Entry("mid-stream everywhere", standin.Fault{Kind: standin.FaultCrashMid, Count: 100, AfterTokens: 5}, true, true),
		Entry("under another id everywhere", standin.Fault{Kind: standin.FaultWrongID, Count: 100}, true, true),
		Entry("down everywhere", standin.Fault{Kind: standin.FaultCrashFirst, Count: 100}, false, true),
	)

	It("gives two callers their own answers when the engine swaps them", func() {
		p := newPath(1)
		defer p.stop()
		Expect(p.engines[0].SetFault(standin.Fault{Kind: standin.FaultOutOfOrder, Count: 2})).To(Succeed())
		results := make(chan got, 2)
		prompts := []string{"first question", "second question"}
		for _, text := range prompts {
			go func() {
				defer GinkgoRecover()
				g := p.do(chat(text, 10, false))
				g.kind += "|" + text
				results <- g
			}()
		}
		for range prompts {
			g := <-results
			if g.status == http.StatusOK {
				text, _ := textOf(g.body)
				Expect(standin.Verify(promptOf(g.kind[strings.Index(g.kind, "|")+1:]), text, 10)).To(Succeed())
			}
		}
	})

	It("is cancelled at the engine when its caller goes", func() {
		p := newPath(1)
		defer p.stop()
		Expect(p.engines[0].SetFault(standin.Fault{Kind: standin.FaultHang, Count: 1})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan got, 1)
		go func() {
			defer GinkgoRecover()
			ended <- send(ctx, p.url, chat(prompt, 2000, true))
		}()
		Eventually(func() int { return len(p.engines[0].Records().Arrivals) }, "5s").Should(Equal(1))
		cancel()
		<-ended
		Eventually(func() standin.Outcome { return p.engines[0].Records().Arrivals[0].Outcome }, "5s").ShouldNot(Equal(standin.OutcomeRunning))
	})

	DescribeTable("that is malformed is refused and nothing runs", func(a ask, status int, kind string) {
		p := newPath(1)
		defer p.stop()
		g := p.do(a)
		Expect(g.status).To(Equal(status), g.body)
		Expect(g.kind).To(Equal(kind))
		Expect(g.execution).To(Equal("not-run"))
		Expect(p.engines[0].Records().Arrivals).To(BeEmpty())
		Expect(p.service.Records().Arrivals).To(BeEmpty())
	},
		Entry("malformed JSON", ask{path: "/v1/chat/completions", body: `{"model":`}, 400, "invalid_request"),
		Entry("no object", ask{path: "/v1/chat/completions", body: `[]`}, 400, "invalid_request"),
		Entry("no model", ask{path: "/v1/chat/completions", body: `{}`}, 400, "invalid_request"),
		Entry("unknown model", ask{path: "/v1/completions", body: `{"model":"other","prompt":"x"}`}, 404, "unknown_model"),
		Entry("unknown service", ask{path: "/services/other/x", body: "x"}, 404, "unknown_service"),
		Entry("a model of another workspace", ask{path: "/v1/completions", body: `{"model":"staff-advice","prompt":"x"}`}, 404, "unknown_model"),
		Entry("a service of another workspace", ask{path: "/services/payroll/x", body: "x"}, 404, "unknown_service"),
		Entry("unknown path", ask{path: "/v2/x", body: "x"}, 404, "invalid_request"),
		Entry("unknown class", ask{path: "/v1/completions", body: `{"model":"advice"}`, header: map[string]string{"Trefoilkeel-Class": "vip"}}, 400, "unknown_class"),
		Entry("a class of another workspace", ask{path: "/v1/completions", body: `{"model":"advice"}`, header: map[string]string{"Trefoilkeel-Class": "staff"}}, 403, "forbidden"),
		Entry("unknown key", ask{path: "/v1/completions", body: `{"model":"advice"}`, header: map[string]string{"Authorization": "Bearer no"}}, 401, "unauthenticated"),
		Entry("no key", ask{path: "/v1/completions", body: `{"model":"advice"}`, header: map[string]string{"Authorization": "Basic no"}}, 401, "unauthenticated"),
		Entry("body too large", ask{path: "/v1/completions", body: `{"model":"advice","prompt":"` + strings.Repeat("x", 1<<17) + `"}`}, 413, "body_too_large"),
		Entry("compressed body", ask{path: "/v1/completions", body: "x", header: map[string]string{"Content-Encoding": "gzip"}}, 415, "invalid_request"),
		Entry("path traversal", ask{path: "/services/entries/a/%2e%2e/b", body: "x"}, 400, "invalid_request"),
		Entry("encoded slash", ask{path: "/services/entries/a%2fb", body: "x"}, 400, "invalid_request"),
		Entry("no idempotency key", ask{path: "/services/entries/fees", body: "x"}, 400, "idempotency_key_required"),
	)

	It("can't set the engine's priority", func() {
		p := newPath(1)
		defer p.stop()
		g := p.do(ask{path: "/v1/completions", body: `{"model":"advice","prompt":"x","max_tokens":2,"priority":-5}`})
		Expect(g.status).To(Equal(http.StatusOK), g.body)
		Expect(p.engines[0].Records().Arrivals[0].Priority).To(Equal(2))
	})
})
