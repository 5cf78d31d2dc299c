package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/quarantine"
)

const streamHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: e0\r\nContent-Type: text/event-stream\r\n"

// sendRaw writes bytes on the connection and closes it, or resets it.
func sendRaw(bytes string, reset bool) endpointHandler {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = conn.Write([]byte(bytes))
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// promptRequest has two shared prompt parts and one of its own.
func promptRequest(kind catalog.RequestKind, resumable bool) *Request {
	r := newRequest(kind, resumable)
	r.PromptTokens, r.PromptParts = 30, []balance.PromptPart{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 10}, {ID: 3, Tokens: 10}}
	return r
}

// Guards against answers that end with their connection and are taken for complete where they
// were broken off, and against wrong evidence of crashes.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	chunked := streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		kind           catalog.RequestKind
		bytes          string
		reset          bool
		complete       bool
		broken, served int // evidence
		head           bool
	}{
		"stream, complete":                    {kind: catalog.EventStream, bytes: streamHead + "\r\n" + streamText(2), complete: true},
		"stream, inside an event":             {kind: catalog.EventStream, bytes: streamHead + "\r\n" + streamText(2) + "id: 3\nda", broken: 1, head: true},
		"stream, event without its end":       {kind: catalog.EventStream, bytes: streamHead + "\r\n" + "id: 1\ndata: 1\n", broken: 1, head: true},
		"stream, no event":                    {kind: catalog.EventStream, bytes: streamHead + "\r\n", broken: 1, head: true},
		"stream, reset":                       {kind: catalog.EventStream, bytes: streamHead + "\r\n" + streamText(2), reset: true},
		"stream in chunks, broken off":        {kind: catalog.EventStream, bytes: chunked + "5\r\nid: 1", broken: 1, head: true},
		"stream in chunks, complete":          {kind: catalog.EventStream, bytes: chunked + "f\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n", complete: true, served: 1},
		"stream in chunks, bytes of no chunk": {kind: catalog.EventStream, bytes: chunked + "rubbish\r\n"},
		"body, complete":                      {kind: catalog.AtMostOnce, bytes: streamHead + "\r\n" + "body", complete: true},
		"body, reset":                         {kind: catalog.AtMostOnce, bytes: streamHead + "\r\n" + "body", reset: true},
		"body with a length, complete":        {kind: catalog.AtMostOnce, bytes: streamHead + "Content-Length: 4\r\n\r\nbody", complete: true, served: 1},
		"no head":                             {kind: catalog.EventStream, broken: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, w := newFleet(t, sendRaw(c.bytes, c.reset)), httptest.NewRecorder()
			err := f.Serve(context.Background(), w, promptRequest(c.kind, false))
			if c.reset {
				// A reset may overtake the head.
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err == nil).To(Equal(c.complete), "%v", err)
			o := f.TakeOutcomes()
			g.Expect(o.ServedAttempts["s"]).To(Equal(c.served))
			g.Expect(o.Served).To(HaveLen(2 * c.served))
			g.Expect(o.Broken).To(HaveLen(c.broken))
			for _, b := range o.Broken {
				g.Expect(b.Parts).To(Equal([]uint64{1, 2}), "not the request's own part")
				g.Expect(b.HasHead).To(Equal(c.head))
			}
		})
	}
}

// Guards against a crash that looks like the end of a response, and against endpoints none of whose
// responses counts because they all end with their connection.
func TestResponseIsConfirmedByALaterOneOfItsEndpoint(t *testing.T) {
	g := NewWithT(t)
	handlers := []endpointHandler{sendRaw(streamHead+"\r\n"+streamText(2), false), sendRaw(streamHead+"\r\n"+streamText(2), false), sendRaw(streamHead+"\r\n", false)}
	next := 0
	f := newFleet(t, func(w http.ResponseWriter, r *http.Request) { next++; handlers[next-1](w, r) })
	serve := func() AttemptOutcomes {
		_ = f.Serve(context.Background(), httptest.NewRecorder(), promptRequest(catalog.EventStream, false))
		return f.TakeOutcomes()
	}
	g.Expect(serve().ServedAttempts["s"]).To(BeZero(), "the endpoint may have crashed")
	o := serve()
	g.Expect(o.ServedAttempts["s"]).To(Equal(1), "it had not: it has responded again")
	g.Expect(o.Served).To(HaveLen(2))
	o = serve()
	g.Expect(o.ServedAttempts["s"]).To(Equal(1))
	g.Expect(o.Broken).To(HaveLen(1))
	g.Expect(f.unconfirmed).To(BeEmpty(), "nothing waits for an endpoint that has crashed")
}

// Guards against attempts with a prompt part that crashes endpoints: new requests, and streams
// that would be resumed. A request's own part is never quarantined.
func TestQuarantinedPartsAreKeptFromEndpoints(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, streamEvents(5, 0))
	f.SetQuarantinedParts(map[uint64]bool{2: true})
	w := httptest.NewRecorder()
	err := f.Serve(context.Background(), w, promptRequest(catalog.EventStream, true))
	var requestErr *RequestError
	g.Expect(errors.As(err, &requestErr)).To(BeTrue(), "%v", err)
	g.Expect(requestErr.Reason).To(Equal(Quarantined))
	g.Expect(requestErr.NotRun()).To(BeTrue())
	g.Expect(requestErr.RetryAfter).To(Equal(quarantineRetryAfter))
	g.Expect(f.requests()).To(BeEmpty())

	f.SetQuarantinedParts(map[uint64]bool{3: true})
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), promptRequest(catalog.EventStream, true))).To(Succeed())
}

// Guards against a repeat or a resumed stream that crosses the verdict.
func TestQuarantineEndsFurtherAttempts(t *testing.T) {
	for name, abortAt := range map[string]int{"before the first event": 1, "resumed": 3} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var f *testFleet
			first := func(w http.ResponseWriter, r *http.Request) {
				f.SetQuarantinedParts(map[uint64]bool{1: true})
				streamEvents(5, abortAt)(w, r)
			}
			f = newFleet(t, first, streamEvents(5, 0))
			err := f.Serve(context.Background(), httptest.NewRecorder(), promptRequest(catalog.EventStream, true))
			g.Expect(f.requests()).To(HaveLen(1))
			var requestErr *RequestError
			var truncated *TruncatedResponseError
			switch {
			case errors.As(err, &requestErr):
				g.Expect(requestErr.NotRun()).To(BeFalse(), "it may have run")
			default:
				g.Expect(errors.As(err, &truncated)).To(BeTrue(), "%v", err)
			}
		})
	}
}

// Guards against a request without a prompt whose broken attempts are no evidence.
func TestBrokenAttemptNamesItsRequest(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, sendRaw("", false))
	r := newRequest(catalog.Idempotent, false)
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), r)).NotTo(Succeed())
	o := f.TakeOutcomes()
	g.Expect(o.Broken).To(HaveLen(1))
	g.Expect(o.Broken[0].Request).To(Equal(fingerprint(r)))
	g.Expect(o.Broken[0].Service).To(Equal("s"))
	g.Expect(quarantine.IsRequest(o.Broken[0].Request)).To(BeTrue())
}

// Guards against a request that crashes endpoints and is sent again under a new ID, and against
// refusals of requests that differ from it.
func TestQuarantinedRequestIsKeptFromEndpoints(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, echoBody)
	r := newRequest(catalog.Idempotent, false)
	f.SetQuarantinedParts(map[uint64]bool{fingerprint(r): true})
	r.ID = "r2"
	var requestErr *RequestError
	g.Expect(errors.As(f.Serve(context.Background(), httptest.NewRecorder(), r), &requestErr)).To(BeTrue())
	g.Expect(requestErr.Reason).To(Equal(Quarantined))
	g.Expect(requestErr.NotRun()).To(BeTrue())
	g.Expect(f.requests()).To(BeEmpty())
	for _, change := range []func(r *Request){
		func(r *Request) { r.Workspace = "other" },
		func(r *Request) { r.Body = []byte("other") },
	} {
		sound := newRequest(catalog.Idempotent, false)
		change(sound)
		g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), sound)).To(Succeed())
	}
}

// Guards against callers that name requests of others by the ID of a prompt part.
func TestPromptPartNamesNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, sendRaw("", false))
	r := promptRequest(catalog.Idempotent, false)
	r.PromptParts[0].ID = fingerprint(newRequest(catalog.Idempotent, false))
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), r)).NotTo(Succeed())
	o := f.TakeOutcomes()
	g.Expect(o.Broken).To(HaveLen(1))
	g.Expect(o.Broken[0].Parts).NotTo(ContainElement(r.PromptParts[0].ID))
}

// Requests that come once are not reported as served; those that come again, or broke, are.
func TestServedRequestIsReportedIfItWasSeenBefore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, echoBody)
	serve := func(r *Request) AttemptOutcomes {
		g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), r)).To(Succeed())
		return f.TakeOutcomes()
	}
	r := newRequest(catalog.Idempotent, false)
	g.Expect(serve(r).Served).To(BeEmpty())
	for i := range maxRememberedFingerprints - 1 {
		f.seen.add(uint64(i))
	}
	g.Expect(serve(newRequest(catalog.Idempotent, false)).Served).To(HaveKey(fingerprint(r)))
	for i := range 2 * maxRememberedFingerprints {
		f.seen.add(uint64(i))
	}
	g.Expect(serve(newRequest(catalog.Idempotent, false)).Served).To(BeEmpty(), "the memory is bounded")
}

// An endpoint that responds did not crash before. What it does not run says nothing: another
// incarnation may have answered.
func TestResponsesOfEndpointsAreReported(t *testing.T) {
	g := NewWithT(t)
	notRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	handlers := []endpointHandler{sendRaw("", false), notRun, echoBody}
	next := 0
	f := newFleet(t, func(w http.ResponseWriter, r *http.Request) { next++; handlers[next-1](w, r) })
	serve := func() AttemptOutcomes {
		_ = f.Serve(context.Background(), httptest.NewRecorder(), newRequest(catalog.AtMostOnce, false))
		return f.TakeOutcomes()
	}
	broken := serve().Broken
	g.Expect(broken).To(HaveLen(1))
	g.Expect(serve().Responses).To(BeEmpty())
	g.Expect(serve().Responses).To(HaveKey(broken[0].Endpoint))
}

// Guards against an endpoint that attracts requests because it reports errors sooner than others run them.
func TestErrorsSayNothingOfTheSpeedOfAnEndpoint(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	expectedWait := func() time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.Router.mu.Lock()
		defer f.Router.mu.Unlock()
		choice, err := f.table.Choose(time.Now(), balance.Request{Service: "s", PromptTokens: 3000, LatencyTarget: time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		return choice.ExpectedWait
	}
	before := expectedWait()
	for range 40 {
		r := newRequest(catalog.EventStream, true)
		r.PromptTokens = 3000
		w := httptest.NewRecorder()
		g.Expect(f.Serve(context.Background(), w, r)).To(Succeed())
		g.Expect(w.Code).To(Equal(http.StatusInternalServerError))
	}
	g.Expect(expectedWait()).To(Equal(before))
}
