package forward

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/admission"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
)

// newAdmissionRequest returns a stream of 20 tokens with a deadline, of which an event has 4.
func newAdmissionRequest(left time.Duration) *activeRequest {
	rt := New(Options{})
	rt.tokensPerEvent["llm"] = 4
	return &activeRequest{Router: rt, fingerprint: 1, request: &Request{Service: "llm", PromptTokens: 500, ExpectedOutputTokens: 20, Deadline: time.Now().Add(left),
		Route: &catalog.Route{Name: "chat", Kind: catalog.EventStream, LatencyTarget: 500 * time.Millisecond}}}
}

// A stream that is taken up needs the events that the caller lacks only.
func TestEventsLeftOfAResumedStream(t *testing.T) {
	g := NewWithT(t)
	a := newAdmissionRequest(time.Minute)
	g.Expect(a.admissionRequest(time.Now(), balance.Choice{}).Events).To(Equal(5))
	a.lastEventID = "3"
	g.Expect(a.admissionRequest(time.Now(), balance.Choice{}).Events).To(Equal(2))
	a.lastEventID = "abc"
	g.Expect(a.admissionRequest(time.Now(), balance.Choice{}).Events).To(Equal(5))
}

// Callers with little time left are refused, by a queue of one second.
func TestNoRetryAfterPastTheDeadline(t *testing.T) {
	for _, left := range []time.Duration{100 * time.Millisecond, 10 * time.Second} {
		g := NewWithT(t)
		for _, cause := range []error{&admission.Refusal{Reason: admission.MoreUrgentFirst, Backlog: time.Second, ExpectedEnd: 1500 * time.Millisecond},
			&balance.NoEndpointError{TooLate: 3, ShortestWait: time.Second}} {
			a := newAdmissionRequest(left)
			refused := a.refuse(cause)
			g.Expect(refused.NotRun()).To(BeTrue())
			g.Expect(refused.RetryAfter).To(BeNumerically("<", left))
			g.Expect(refused.RetryAfter > 0).To(Equal(left > time.Second))
			g.Expect(a.admission.Returned(time.Now().Add(refused.RetryAfter), 1)).To(Equal(left > time.Second), "remembered only if it was told a time")
		}
	}
}

// A stream of 50 events at 100 ms is returned with 0.4 s left.
func TestStreamThatCannotEndIsNotSent(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, echoBody)
	f.Router.mu.Lock()
	f.tokensPerEvent["s"] = 4
	for range 20 {
		f.admission.RecordGap(time.Now(), "s", "r", 100*time.Millisecond)
	}
	f.Router.mu.Unlock()
	r := newRequest(catalog.EventStream, true)
	r.PromptTokens, r.ExpectedOutputTokens, r.Deadline = 500, 200, time.Now().Add(400*time.Millisecond)
	err := f.Serve(context.Background(), httptest.NewRecorder(), r)
	var refused *RequestError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.NotRun()).To(BeTrue())
	g.Expect(refused.RetryAfter).To(BeZero(), "there is no time to return")
	g.Expect(f.requests()).To(BeEmpty())
}

// queueTokens puts prompt tokens before the only endpoint of a testFleet, in a request that never ends.
func (f *testFleet) queueTokens(tokens int) {
	f.Router.mu.Lock()
	defer f.Router.mu.Unlock()
	f.table.RecordSent(time.Now(), balance.Request{Service: "s", PromptTokens: tokens}, balance.Choice{ID: "e0", PrefillTokens: tokens})
}

// leastUrgent returns a prompt of the least urgent rank with a target of 200 ms and the given time left.
func leastUrgent(left time.Duration) *Request {
	r := newRequest(catalog.EventStream, true)
	r.PromptTokens, r.Route.Rank, r.Route.LatencyTarget, r.Deadline = 100, 1, 200*time.Millisecond, r.ReceivedAt.Add(left)
	return r
}

// A digest with seconds left comes behind a queue that is longer than it may wait in: it lets others go first
// for as long as its target, and is served, not refused.
func TestRequestWithTimeLeftWaitsForItsTurn(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, streamEvents(3, 0))
	f.queueTokens(30_000) // a third of a second
	began := time.Now()
	w := httptest.NewRecorder()
	g.Expect(f.Serve(context.Background(), w, leastUrgent(4*time.Second))).To(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically(">=", 200*time.Millisecond))
	g.Expect(w.Body.String()).To(Equal(streamText(3)))
}

// Guards against a request that waits for its turn though it has none to come, or no time for it: it is refused
// as not run.
func TestRequestThatCannotGetATurnIsRefusedSoon(t *testing.T) {
	for name, c := range map[string]struct {
		queued int
		left   time.Duration
	}{"long queue": {1_000_000, 4 * time.Second}, "little time": {30_000, 120 * time.Millisecond}} {
		g := NewWithT(t)
		f := newFleet(t, streamEvents(3, 0))
		f.queueTokens(c.queued)
		err := f.Serve(context.Background(), httptest.NewRecorder(), leastUrgent(c.left))
		var refused *RequestError
		g.Expect(errors.As(err, &refused)).To(BeTrue(), name)
		g.Expect(refused.NotRun()).To(BeTrue(), name)
		g.Expect(f.requests()).To(BeEmpty(), name)
	}
	g := NewWithT(t)
	a := &activeRequest{Router: New(Options{}), request: leastUrgent(4 * time.Second)}
	deferral := a.deferral()
	g.Expect(deferral).To(Equal(a.request.Route.LatencyTarget))
	g.Expect(a.endpointWait(&balance.NoEndpointError{Known: 1, TooLate: 1, Deferrable: true}, deferral)).To(BeNumerically(">", deferral))
	g.Expect(a.endpointWait(&balance.NoEndpointError{Known: 1, TooLate: 1}, deferral)).To(BeNumerically("<=", deferral/endpointWaitDivisor))
}
