package forward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
)

// withHeader adds a header to the responses of an endpoint.
func withHeader(name, value string, h endpointHandler) endpointHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		h(w, r)
	}
}

// serveOnce serves a request and returns the status written to the caller.
func (f *testFleet) serveOnce(kind catalog.RequestKind, resumable bool) (int, error) {
	w := httptest.NewRecorder()
	err := f.Serve(context.Background(), w, newRequest(kind, resumable))
	return w.Code, err
}

// An endpoint that announces its departure in any response gets no further request,
// whatever the directory says later, and its idle connections are closed.
func TestLeavingEndpointGetsNoFurtherRequest(t *testing.T) {
	for name, c := range map[string]struct {
		handler   endpointHandler
		kind      catalog.RequestKind
		resumable bool
	}{
		"success":           {echoBody, catalog.Idempotent, false},
		"at most once":      {echoBody, catalog.AtMostOnce, false},
		"endpoint error":    {internalError, catalog.Idempotent, false},
		"refusal":           {refuseNotRun, catalog.AtMostOnce, false},
		"stream":            {streamEvents(3, 0), catalog.EventStream, false},
		"interrupted":       {streamEvents(3, 2), catalog.EventStream, true},
		"truncated":         {truncatedBody, catalog.Idempotent, false},
		"stream, at a stop": {refuseNotRun, catalog.EventStream, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			leaving := withHeader("Leaving", "1", c.handler)
			second := echoBody
			if c.kind == catalog.EventStream {
				second = streamEvents(3, 0)
			}
			f := newFleet(t, leaving, second)
			_, _ = f.serveOnce(c.kind, c.resumable)
			first := f.requests()
			g.Expect(first[0]).To(HavePrefix("e0"))
			endpoint := f.table.Addresses()
			g.Expect(endpoint).To(HaveLen(1), "the address of the leaving endpoint is not in use")
			for sequence := range 3 {
				// A delayed report still says that the endpoint is ready.
				f.UpdateEndpoints([]directory.Endpoint{{ID: "e0", Service: "s", Address: f.addresses[0], FailureDomain: "a", Slots: 1000, State: directory.Ready, StartedUnixMS: 1, Sequence: uint64(sequence)}})
				_, err := f.serveOnce(c.kind, c.resumable)
				g.Expect(err).NotTo(HaveOccurred())
			}
			for _, received := range f.requests()[len(first):] {
				g.Expect(received).To(HavePrefix("e1"))
			}
			// A restart at the same address is another incarnation, which takes requests.
			f.UpdateEndpoints([]directory.Endpoint{{ID: "e0", Service: "s", Address: f.addresses[0], FailureDomain: "a", Slots: 1000, State: directory.Ready, StartedUnixMS: 2}})
			_, _ = f.serveOnce(c.kind, c.resumable)
			g.Expect(f.requests()[len(first)+3]).To(HavePrefix("e0"))
		})
	}
}

// An endpoint that wants no requests for a time gets none from then on until that time
// has passed: no first attempt, retry, resumed stream or copy.
func TestHeldEndpointGetsNoRequestUntilTheHoldEnds(t *testing.T) {
	const hold = 300 * time.Millisecond
	g := NewWithT(t)
	f := newFleet(t, withHeader("Hold", hold.String(), refuseNotRun), echoBody)
	began := time.Now()
	g.Expect(f.serveOnce(catalog.AtMostOnce, false)).To(Equal(200))
	for time.Since(began) < hold-50*time.Millisecond {
		g.Expect(f.serveOnce(catalog.Idempotent, false)).To(Equal(200))
		time.Sleep(10 * time.Millisecond)
	}
	for i, received := range f.requests() {
		g.Expect(received[:2] == "e0").To(Equal(i == 0), "%v", f.requests())
	}
	g.Eventually(func() string {
		_, _ = f.serveOnce(catalog.Idempotent, false)
		all := f.requests()
		return all[len(all)-1][:2] + all[len(all)-2][:2]
	}, "2s", "20ms").Should(Equal("e1e0"))
}

// If every endpoint wants no requests, the caller is refused at once as not run, with the
// time until the first of them takes requests again. No endpoint is tried all the same.
func TestRefusedAtOnceIfEveryEndpointIsHeld(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, withHeader("Hold", "10s", refuseNotRun), withHeader("Hold", "4s", refuseNotRun))
	for range 5 {
		began := time.Now()
		_, err := f.serveOnce(catalog.Idempotent, false)
		var refused *RequestError
		g.Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		g.Expect(refused.NotRun()).To(BeTrue())
		g.Expect(refused.RetryAfter).To(And(BeNumerically(">=", 3900*time.Millisecond), BeNumerically("<=", 10*time.Second)))
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	}
	g.Expect(f.requests()).To(HaveLen(2))
}

// Entry hosts that got the same hold return to the endpoint at different times, none
// before it has ended.
func TestHoldsEndApart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(holdWithJitter(0, 0.9)).To(BeZero())
	g.Expect(holdWithJitter(time.Second, 0)).To(Equal(time.Second))
	g.Expect(holdWithJitter(time.Second, 0.5)).To(Equal(1125 * time.Millisecond))
	g.Expect(holdWithJitter(100*balance.MaxHold, 0.5)).To(Equal(balance.MaxHold + maxHoldJitter/2))
}

// After a crash of many endpoints a request meets several that refuse the connection. It
// is served by one that is left, and the next request goes there directly.
func TestRequestPassesCrashedEndpoints(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, echoBody, echoBody, echoBody, echoBody, echoBody, echoBody, echoBody, echoBody, echoBody, echoBody, echoBody, echoBody)
	const crashed = 5
	for _, server := range f.servers[:crashed] {
		server.Close()
	}
	for range 2 {
		g.Expect(f.serveOnce(catalog.AtMostOnce, false)).To(Equal(200))
	}
	g.Expect(f.requests()).To(Equal([]string{"e5 ", "e5 "}))
	g.Expect(f.ConnectionStats().Dials).To(Equal(int64(1)), "failed dials do not count")
}
