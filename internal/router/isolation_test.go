package router_test

import (
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// bookingRequest returns a protected request of the API key's workspace. All use the
// same Idempotency-Key.
func bookingRequest(key, body string) testRequest {
	return testRequest{path: "/services/entries/fees", body: body, header: map[string]string{
		"Authorization": "Bearer " + key, "Idempotency-Key": "same", standin.HeaderRunKey: key,
	}}
}

var _ = Describe("a workspace", func() {
	It("never gets the answer of another workspace under the same Idempotency-Key", func() {
		cluster := newTestCluster(1)
		defer cluster.shutdown()
		ridersResponse := cluster.send(bookingRequest(ridersKey, "rider 7"))
		Expect(ridersResponse.status).To(Equal(http.StatusOK), ridersResponse.body)
		for range 2 {
			clubResponse := cluster.send(bookingRequest(clubKey, "rider 7"))
			Expect(clubResponse.status).To(Equal(http.StatusOK), clubResponse.body)
			Expect(clubResponse.body).NotTo(Equal(ridersResponse.body))
		}
		Expect(cluster.send(bookingRequest(ridersKey, "rider 7"))).To(Equal(ridersResponse))
		Expect(cluster.service.Records().Runs).To(Equal(map[string]int{ridersKey: 1, clubKey: 1}))
	})
})

var _ = Describe("an endpoint", func() {
	It("never receives a caller's credentials, hop-by-hop headers or internal headers", func() {
		cluster := newTestCluster(0)
		defer cluster.shutdown()
		var mu sync.Mutex
		var receivedHeader http.Header
		cluster.endpoints = nil
		cluster.addAgent("spy", "entries", trefoilkeelv1.EndpointKind_ENDPOINT_KIND_SERVICE, "entries", cluster.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			receivedHeader = r.Header.Clone()
			mu.Unlock()
			cluster.service.Handler().ServeHTTP(w, r)
		})))
		_, cluster.routerURL = cluster.newRouter("router-2")
		request := bookingRequest(ridersKey, "rider 7")
		for name, value := range map[string]string{
			"Cookie": "secret", "Proxy-Authorization": "secret", "Te": "trailers", "Keep-Alive": "secret",
			"Connection": "x-named, Tk-Request-Id , X-Request-Id", "X-Named": "secret", "X-Request-Id": "forged",
			"Trefoilkeel-Execution": "not-run", "Trefoilkeel-Class": "bookings",
			"Tk-Request-Id": "forged", "Tk-Workspace": "staff", "tk-class": "staff", "Tk-Attempt": "9", "Tk-Protected": "false", "Tk-Anything": "forged",
			"X-Passed": "through",
		} {
			request.header[name] = value
		}
		response := cluster.send(request)
		Expect(response.status).To(Equal(http.StatusOK), response.body)
		Expect(response.execution).To(Equal("ran"))
		mu.Lock()
		defer mu.Unlock()
		Expect(receivedHeader.Get("X-Passed")).To(Equal("through"))
		for name, values := range receivedHeader {
			for _, value := range values {
				Expect(value).NotTo(BeElementOf("secret", "forged", "not-run", "staff", "9", "Bearer "+ridersKey), name)
			}
		}
		for _, name := range []string{"Authorization", "Idempotency-Key", "X-Named", "Te", "Trefoilkeel-Execution"} {
			Expect(receivedHeader).NotTo(HaveKey(name))
		}
		Expect(cluster.service.Records().Requests[0].RequestID).To(HavePrefix("router-2-"))
		Expect(cluster.service.Records().Runs).To(Equal(map[string]int{ridersKey: 1}))
	})
})
