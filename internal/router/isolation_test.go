package router_test

import (
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// booking is a protected request of the key's workspace under one Idempotency-Key.
func booking(key, body string) ask {
	return ask{path: "/services/entries/fees", body: body, header: map[string]string{
		"Authorization": "Bearer " + key, "Idempotency-Key": "same", standin.HeaderRunKey: key,
	}}
}

var _ = Describe("a workspace", func() {
	It("never gets the answer that another one has under the same Idempotency-Key", func() {
		p := newPath(1)
		defer p.stop()
		riders := p.do(booking(testKey, "rider 7"))
		Expect(riders.status).To(Equal(http.StatusOK), riders.body)
		for range 2 {
			club := p.do(booking(clubKey, "rider 7"))
			Expect(club.status).To(Equal(http.StatusOK), club.body)
			Expect(club.body).NotTo(Equal(riders.body))
		}
		Expect(p.do(booking(testKey, "rider 7"))).To(Equal(riders))
		Expect(p.service.Records().Runs).To(Equal(map[string]int{testKey: 1, clubKey: 1}))
	})
})

var _ = Describe("an endpoint", func() {
	It("never sees a caller's credentials, nor headers of the connection or of this system", func() {
		p := newPath(0)
		defer p.stop()
		var mu sync.Mutex
		var seen http.Header
		p.endpoints = nil
		p.addAgent("spy", "entries", trefoilkeelv1.EndpointKind_ENDPOINT_KIND_SERVICE, "entries", p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			seen = r.Header.Clone()
			mu.Unlock()
			p.service.Handler().ServeHTTP(w, r)
		})))
		_, p.url = p.newRouter("router-2")
		a := booking(testKey, "rider 7")
		for name, value := range map[string]string{
			"Cookie": "secret", "Proxy-Authorization": "secret", "Te": "trailers", "Keep-Alive": "secret",
			"Connection": "x-named, Tk-Request-Id , X-Request-Id", "X-Named": "secret", "X-Request-Id": "forged",
			"Trefoilkeel-Execution": "not-run", "Trefoilkeel-Class": "bookings",
			"Tk-Request-Id": "forged", "Tk-Workspace": "staff", "tk-class": "staff", "Tk-Attempt": "9", "Tk-Protected": "false", "Tk-Anything": "forged",
			"X-Passed": "through",
		} {
			a.header[name] = value
		}
		g := p.do(a)
		Expect(g.status).To(Equal(http.StatusOK), g.body)
		Expect(g.execution).To(Equal("ran"))
		mu.Lock()
		defer mu.Unlock()
		Expect(seen.Get("X-Passed")).To(Equal("through"))
		for name, values := range seen {
			for _, value := range values {
				Expect(value).NotTo(BeElementOf("secret", "forged", "not-run", "staff", "9", "Bearer "+testKey), name)
			}
		}
		for _, name := range []string{"Authorization", "Idempotency-Key", "X-Named", "Te", "Trefoilkeel-Execution"} {
			Expect(seen).NotTo(HaveKey(name))
		}
		Expect(p.service.Records().Arrivals[0].RequestID).To(HavePrefix("router-2-"))
		Expect(p.service.Records().Runs).To(Equal(map[string]int{testKey: 1}))
	})
})
