package router_test

import (
	"context"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

var _ = Describe("a protected request", func() {
	fee := func(key string) ask {
		return ask{path: "/services/entries/fees", body: "rider 7", header: map[string]string{"Idempotency-Key": key, standin.HeaderRunKey: key}}
	}

	It("runs once and its repeats get the first answer, at another router too", func() {
		p := newPath(1)
		defer p.stop()
		first := p.do(fee("k1"))
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		_, other := p.newRouter("router-2")
		for _, base := range []string{p.url, other} {
			repeat := send(context.Background(), base, fee("k1"))
			Expect(repeat).To(Equal(first))
		}
		Expect(p.service.Records().Runs["k1"]).To(Equal(1))
	})

	It("is refused under a key that another body used", func() {
		p := newPath(1)
		defer p.stop()
		p.do(fee("k1"))
		other := fee("k1")
		other.body = "rider 8"
		g := p.do(other)
		Expect(g.kind).To(Equal("idempotency_key_conflict"))
		Expect(p.service.Records().Arrivals).To(HaveLen(1))
	})

	It("runs once when many repeats race over two routers", func() {
		p := newPath(1)
		defer p.stop()
		_, other := p.newRouter("router-2")
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() {
				defer GinkgoRecover()
				g := send(context.Background(), []string{p.url, other}[i%2], fee("k1"))
				Expect(g.status).To(Equal(http.StatusOK), g.body)
			})
		}
		group.Wait()
		Expect(p.service.Records().Runs["k1"]).To(Equal(1))
	})

	DescribeTable("never runs twice when the service fails, and not-run is never said of a run", func(kind standin.FaultKind) {
		p := newPath(1)
		defer p.stop()
		Expect(p.service.SetFault(standin.Fault{Kind: kind, Count: 1, AfterTokens: 1, DelayMS: 20})).To(Succeed())
		for range 3 {
			g := p.do(fee("k1"))
			runs := p.service.Records().Runs["k1"]
			Expect(runs).To(BeNumerically("<=", 1))
			if g.execution == "not-run" {
				Expect(runs).To(BeZero())
			}
			if g.status == http.StatusOK {
				Expect(g.execution).To(Equal("ran"))
			}
		}
	},
		Entry("before the first byte", standin.FaultCrashFirst),
		Entry("in the middle", standin.FaultCrashMid),
		Entry("before the end", standin.FaultCrashLast),
		Entry("late", standin.FaultLate),
		Entry("twice", standin.FaultTwice),
		Entry("under another id", standin.FaultWrongID),
	)

	It("is not run again after its router died between claim and dispatch", func() {
		p := newPath(1)
		defer p.stop()
		ctx, cancel := context.WithCancel(context.Background())
		p.ledger.onGrant = cancel // the caller and its router are gone once the claim stands
		send(ctx, p.url, fee("k1"))
		p.ledger.onGrant = nil
		_, other := p.newRouter("router-2")
		g := send(context.Background(), other, fee("k1"))
		Expect(g.status).To(Equal(http.StatusOK), g.body)
		Expect(p.service.Records().Runs["k1"]).To(Equal(1))
	})

	It("is answered to a repeat after its router died between dispatch and answer", func() {
		p := newPath(1)
		defer p.stop()
		Expect(p.service.SetFault(standin.Fault{Kind: standin.FaultLate, Count: 1, DelayMS: 300})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan got, 1)
		go func() {
			defer GinkgoRecover()
			gone <- send(ctx, p.url, fee("k1"))
		}()
		Eventually(func() int { return p.service.Records().Runs["k1"] }, "5s").Should(Equal(1))
		cancel()
		<-gone
		_, other := p.newRouter("router-2")
		g := send(context.Background(), other, fee("k1"))
		Expect(g.status).To(Equal(http.StatusOK), g.body)
		Expect(p.service.Records().Runs["k1"]).To(Equal(1))
	})

	It("is unknown, and never run again, after its agent restarted under it", func() {
		p := newPath(1)
		defer p.stop()
		Expect(p.service.SetFault(standin.Fault{Kind: standin.FaultHang, Count: 1})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan got, 1)
		go func() {
			defer GinkgoRecover()
			gone <- send(ctx, p.url, fee("k1"))
		}()
		Eventually(func() int { return p.service.Records().Runs["k1"] }, "5s").Should(Equal(1))
		cancel()
		<-gone
		for name := range p.agents {
			p.reincarnate(name, 2)
		}
		for range 2 {
			g := p.do(fee("k1"))
			Expect(g.execution).To(Equal("unknown"), g.body)
		}
		Expect(p.service.Records().Runs["k1"]).To(Equal(1))
	})

	It("moves on from a draining endpoint without running there", func() {
		p := newPath(1)
		defer p.stop()
		p.agents["entries-0"].SetDraining(true)
		for _, key := range strings.Fields("a b c d e f") {
			g := p.do(fee(key))
			Expect(g.status).To(Equal(http.StatusOK), g.body)
			Expect(p.service.Records().Runs[key]).To(Equal(1))
		}
	})

	It("does not say not-run of a repeat while the ledger is away", func() {
		p := newPath(1)
		defer p.stop()
		p.do(fee("k1"))
		p.ledger.down.Store(true)
		g := p.do(fee("k1"))
		Expect(g.kind).To(Equal("ledger_unavailable"))
		Expect(g.execution).To(Equal("unknown"))
	})
})
