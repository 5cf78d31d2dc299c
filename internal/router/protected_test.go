package router_test

import (
	"context"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

var _ = Describe("a protected request", func() {
	feeRequest := func(key string) testRequest {
		return testRequest{path: "/services/entries/fees", body: "rider 7", header: map[string]string{"Idempotency-Key": key, standin.HeaderRunKey: key}}
	}

	It("runs once and its repeats get the first answer, also from another router", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		first := cluster.send(feeRequest("k1"))
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		_, otherRouterURL := cluster.newRouter("router-2")
		for _, baseURL := range []string{cluster.routerURL, otherRouterURL} {
			repeat := sendTo(context.Background(), baseURL, feeRequest("k1"))
			Expect(repeat).To(Equal(first))
		}
		Expect(cluster.service.Records().Runs["k1"]).To(Equal(1))
	})

	It("is refused if its key was used with another body", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		cluster.send(feeRequest("k1"))
		otherRequest := feeRequest("k1")
		otherRequest.body = "rider 8"
		response := cluster.send(otherRequest)
		Expect(response.errorType).To(Equal("idempotency_key_conflict"))
		Expect(cluster.service.Records().Requests).To(HaveLen(1))
	})

	It("runs once when many concurrent repeats reach two routers", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		_, otherRouterURL := cluster.newRouter("router-2")
		var callers sync.WaitGroup
		for i := range 20 {
			callers.Go(func() {
				defer GinkgoRecover()
				response := sendTo(context.Background(), []string{cluster.routerURL, otherRouterURL}[i%2], feeRequest("k1"))
				Expect(response.status).To(Equal(http.StatusOK), response.body)
			})
		}
		callers.Wait()
		Expect(cluster.service.Records().Runs["k1"]).To(Equal(1))
	})

	DescribeTable("never runs twice when the service fails, and is never reported as not run if it ran", func(faultKind standin.FaultKind) {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		Expect(cluster.service.InjectFault(standin.Fault{Kind: faultKind, Count: 1, AfterTokens: 1, DelayMS: 20})).To(Succeed())
		for range 3 {
			response := cluster.send(feeRequest("k1"))
			runs := cluster.service.Records().Runs["k1"]
			Expect(runs).To(BeNumerically("<=", 1))
			if response.execution == "not-run" {
				Expect(runs).To(BeZero())
			}
			if response.status == http.StatusOK {
				Expect(response.execution).To(Equal("ran"))
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

	It("runs once if its router fails between claim and dispatch", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		ctx, cancel := context.WithCancel(context.Background())
		cluster.ledger.onGrant = cancel // the caller disconnects once the claim is stored
		sendTo(ctx, cluster.routerURL, feeRequest("k1"))
		cluster.ledger.onGrant = nil
		_, otherRouterURL := cluster.newRouter("router-2")
		response := sendTo(context.Background(), otherRouterURL, feeRequest("k1"))
		Expect(response.status).To(Equal(http.StatusOK), response.body)
		Expect(cluster.service.Records().Runs["k1"]).To(Equal(1))
	})

	It("answers a repeat if its router failed between dispatch and answer", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		Expect(cluster.service.InjectFault(standin.Fault{Kind: standin.FaultLate, Count: 1, DelayMS: 300})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		abandoned := make(chan testResponse, 1)
		go func() {
			defer GinkgoRecover()
			abandoned <- sendTo(ctx, cluster.routerURL, feeRequest("k1"))
		}()
		Eventually(func() int { return cluster.service.Records().Runs["k1"] }, "5s").Should(Equal(1))
		cancel()
		<-abandoned
		_, otherRouterURL := cluster.newRouter("router-2")
		response := sendTo(context.Background(), otherRouterURL, feeRequest("k1"))
		Expect(response.status).To(Equal(http.StatusOK), response.body)
		Expect(cluster.service.Records().Runs["k1"]).To(Equal(1))
	})

	It("has an unknown outcome and never runs again if its agent restarts while it runs", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		Expect(cluster.service.InjectFault(standin.Fault{Kind: standin.FaultHang, Count: 1})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		abandoned := make(chan testResponse, 1)
		go func() {
			defer GinkgoRecover()
			abandoned <- sendTo(ctx, cluster.routerURL, feeRequest("k1"))
		}()
		Eventually(func() int { return cluster.service.Records().Runs["k1"] }, "5s").Should(Equal(1))
		cancel()
		<-abandoned
		for name := range cluster.agents {
			cluster.restartAgent(name, 2)
		}
		for range 2 {
			response := cluster.send(feeRequest("k1"))
			Expect(response.execution).To(Equal("unknown"), response.body)
		}
		Expect(cluster.service.Records().Runs["k1"]).To(Equal(1))
	})

	It("tries another endpoint without running at a draining one", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		cluster.agents["entries-0"].SetDraining(true)
		for _, key := range strings.Fields("a b c d e f") {
			response := cluster.send(feeRequest(key))
			Expect(response.status).To(Equal(http.StatusOK), response.body)
			Expect(cluster.service.Records().Runs[key]).To(Equal(1))
		}
	})

	// A repeat found the attempt absent and had it tombstoned when it had just arrived.
	It("goes on with another attempt if its first one is tombstoned while it waits", func() {
		cluster := newTestClusterWithFlow(1, flow.Config{Slots: 1, MinSlots: 1, MaxSlots: 1})
		defer cluster.shutdown()
		Expect(cluster.service.InjectFault(standin.Fault{Kind: standin.FaultLate, Count: 2, DelayMS: 1000})).To(Succeed())
		var callers sync.WaitGroup
		defer callers.Wait()
		for _, key := range []string{"busy-0", "busy-1"} { // one for each agent
			callers.Go(func() { defer GinkgoRecover(); cluster.send(feeRequest(key)) })
			Eventually(func() int { return cluster.service.Records().Runs[key] }, "5s").Should(Equal(1))
		}
		responses := make(chan testResponse, 1)
		callers.Go(func() { defer GinkgoRecover(); responses <- cluster.send(feeRequest("k1")) })
		claim := &trefoilkeelv1.ClaimResponse{}
		Eventually(func() trefoilkeelv1.RequestPhase {
			claim = cluster.ledger.claimOf("k1")
			return cluster.phaseOf(claim)
		}, "5s", "5ms").Should(Equal(trefoilkeelv1.RequestPhase_REQUEST_PHASE_WAITING))
		Expect(cluster.tombstone(claim)).To(Equal(trefoilkeelv1.Execution_EXECUTION_NOT_RUN))
		response := <-responses
		Expect(response.status).To(Equal(http.StatusOK), response.body)
		Expect(cluster.service.Records().Runs["k1"]).To(Equal(1))
	})

	It("does not report a repeat as not run while the ledger is unavailable", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		cluster.send(feeRequest("k1"))
		cluster.ledger.unavailable.Store(true)
		response := cluster.send(feeRequest("k1"))
		Expect(response.errorType).To(Equal("ledger_unavailable"))
		Expect(response.execution).To(Equal("unknown"))
	})
})
