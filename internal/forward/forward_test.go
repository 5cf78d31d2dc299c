package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/retry"
)

// testDialect is a dialect that uses its own headers.
type testDialect struct{}

func (testDialect) AttemptHeader(r *Request, a Attempt) http.Header {
	h := r.Header.Clone()
	h.Set("Id", r.ID)
	h.Set("Endpoint", a.Endpoint)
	h.Set("Left", strconv.FormatInt(a.TimeRemaining.Milliseconds(), 10))
	if a.LastEventID != "" {
		h.Set("Last", a.LastEventID)
	}
	return h
}

func (testDialect) DecodeResponse(response *http.Response) ResponseMetadata {
	hold, _ := time.ParseDuration(response.Header.Get("Hold"))
	limit, limitErr := strconv.ParseFloat(response.Header.Get("Limit"), 64)
	waiting, _ := strconv.Atoi(response.Header.Get("Waiting"))
	metadata := ResponseMetadata{RequestID: response.Header.Get("Id"), HasSignature: response.Header.Get("Signature") != "", NotRun: response.Header.Get("Not-Run") != "",
		Leaving: response.Header.Get("Leaving") != "", Hold: hold, Limit: EndpointLimit{Stated: limitErr == nil, Limited: limitErr == nil, RequestsPerSecond: limit}}
	if waiting > 0 {
		metadata.Load = balance.ReportedLoad{Running: 1, Waiting: waiting, Slots: 1}
	}
	return metadata
}

// testFleet is a router with endpoints, and records the requests that they receive.
type testFleet struct {
	*Router
	addresses []string // of the endpoints
	servers   []*httptest.Server
	mu        sync.Mutex
	received  []string // endpoint and last event id of each request
}

type endpointHandler func(w http.ResponseWriter, r *http.Request)

func newFleet(t *testing.T, handlers ...endpointHandler) *testFleet {
	f := &testFleet{Router: New(Options{Balance: balance.Config{Domain: "a"}, RetryBudget: retry.NewBudget(1, 100, time.Second, 1), Dialect: testDialect{},
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New()})}
	for i, handle := range handlers {
		id := fmt.Sprintf("e%d", i)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			received := id + " " + r.Header.Get("Last")
			if r.Header.Get("Id") != "r1" { // not sent by these tests
				received += fmt.Sprintf(" from elsewhere: %s %s to %s, header %v", r.Method, r.URL, r.Host, r.Header)
			}
			f.received = append(f.received, received)
			f.mu.Unlock()
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Signature", id)
			handle(w, r)
		}))
		t.Cleanup(server.Close)
		f.addresses, f.servers = append(f.addresses, server.Listener.Addr().String()), append(f.servers, server)
		// Each further endpoint has a higher estimated cost, which fixes the order of
		// the attempts.
		domain := "a"
		if i > 0 {
			domain = fmt.Sprint("z", i)
		}
		f.UpdateEndpoints([]directory.Endpoint{{ID: id, Service: "s", Address: server.Listener.Addr().String(), FailureDomain: domain,
			Slots: 1000 / (i + 1), State: directory.Ready, StartedUnixMS: 1}})
	}
	return f
}

func (f *testFleet) requests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.received...)
}

func newRequest(kind catalog.RequestKind, resumable bool) *Request {
	now := time.Now()
	return &Request{ID: "r1", Service: "s", Method: "POST", RequestURI: "/x", Host: "h", Header: http.Header{}, Body: []byte("body"),
		ReceivedAt: now, Deadline: now.Add(3 * time.Second), Route: &catalog.Route{Name: "r", Kind: kind, Resumable: resumable,
			LatencyTarget: 200 * time.Millisecond, GapTarget: 100 * time.Millisecond, Timeout: 3 * time.Second, MaxAttempts: 2}}
}

func echoBody(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "got %s", body)
}

func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func internalError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

func wrongRequestID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "other")
	_, _ = io.WriteString(w, "somebody else's")
}

func truncatedBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "short")
}

// streamEvents sends the events after the one that the Last header names, up to last.
// If abortAt isn't 0 it closes the connection in the middle of that event.
func streamEvents(last, abortAt int) endpointHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get("Last"))
		for i := from + 1; i <= last; i++ {
			if i == abortAt {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", i)
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			http.NewResponseController(w).Flush()
		}
	}
}

// streamText is the text of the events 1 to last.
func streamText(last int) string {
	var text strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", i, i)
	}
	return text.String()
}

func TestAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		kind      catalog.RequestKind
		endpoints []endpointHandler
		status    int
		body      string
		reason    Reason
		attempts  int
		notRun    bool
	}{
		"served":                                     {kind: catalog.AtMostOnce, endpoints: []endpointHandler{echoBody}, status: 200, body: "got body", attempts: 1},
		"not run, sent to another":                   {kind: catalog.AtMostOnce, endpoints: []endpointHandler{refuseNotRun, echoBody}, status: 200, body: "got body", attempts: 2},
		"may have run, not repeatable":               {kind: catalog.AtMostOnce, endpoints: []endpointHandler{abortConnection, echoBody}, reason: OutcomeUnknown, attempts: 1},
		"may have run, repeatable":                   {kind: catalog.Idempotent, endpoints: []endpointHandler{abortConnection, echoBody}, status: 200, body: "got body", attempts: 2},
		"truncated, not repeatable":                  {kind: catalog.AtMostOnce, endpoints: []endpointHandler{truncatedBody, echoBody}, reason: OutcomeUnknown, attempts: 1},
		"truncated, repeatable":                      {kind: catalog.Idempotent, endpoints: []endpointHandler{truncatedBody, echoBody}, status: 200, body: "got body", attempts: 2},
		"response to another request":                {kind: catalog.AtMostOnce, endpoints: []endpointHandler{wrongRequestID, echoBody}, reason: OutcomeUnknown, attempts: 1},
		"error, not repeatable":                      {kind: catalog.AtMostOnce, endpoints: []endpointHandler{internalError, echoBody}, status: 500, attempts: 1},
		"error, repeatable":                          {kind: catalog.Idempotent, endpoints: []endpointHandler{internalError, echoBody}, status: 200, body: "got body", attempts: 2},
		"two errors, the first is returned":          {kind: catalog.Idempotent, endpoints: []endpointHandler{internalError, internalError, echoBody}, status: 500, attempts: 2},
		"refused by every endpoint":                  {kind: catalog.AtMostOnce, endpoints: []endpointHandler{refuseNotRun, refuseNotRun}, reason: NoEndpoint, attempts: 2, notRun: true},
		"refused after an attempt that may have run": {kind: catalog.Idempotent, endpoints: []endpointHandler{abortConnection, refuseNotRun}, reason: OutcomeUnknown, attempts: 2},
		"attempt limit":                              {kind: catalog.Idempotent, endpoints: []endpointHandler{abortConnection, abortConnection, echoBody}, reason: OutcomeUnknown, attempts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, w := newFleet(t, c.endpoints...), httptest.NewRecorder()
			err := f.Serve(context.Background(), w, newRequest(c.kind, false))
			g.Expect(f.requests()).To(HaveLen(c.attempts))
			if c.reason == "" {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(w.Code).To(Equal(c.status))
				g.Expect(w.Body.String()).To(Equal(c.body))
				return
			}
			var requestErr *RequestError
			g.Expect(errors.As(err, &requestErr)).To(BeTrue(), "%v", err)
			g.Expect(requestErr.Reason).To(Equal(c.reason))
			g.Expect(requestErr.NotRun()).To(Equal(c.notRun))
			g.Expect(requestErr.RetryAfter > 0).To(Equal(c.notRun))
			g.Expect(w.Body.Len()).To(BeZero())
		})
	}
}

func TestStreams(t *testing.T) {
	for name, c := range map[string]struct {
		resumable  bool
		maxRuns    int // 0 for 2
		endpoints  []endpointHandler
		want       string
		truncated  bool
		requests   []string // as in testFleet.received
		headerFrom string   // endpoint whose header the caller received, "" for e0
	}{
		"complete":                       {endpoints: []endpointHandler{streamEvents(5, 0)}, want: streamText(5), requests: []string{"e0 "}},
		"resumed":                        {resumable: true, endpoints: []endpointHandler{streamEvents(5, 3), streamEvents(5, 0)}, want: streamText(5), requests: []string{"e0 ", "e1 2"}},
		"resumed from the start":         {resumable: true, endpoints: []endpointHandler{streamEvents(5, 1), streamEvents(5, 0)}, want: streamText(5), requests: []string{"e0 ", "e1 "}, headerFrom: "e1"},
		"not resumable":                  {endpoints: []endpointHandler{streamEvents(5, 3), streamEvents(5, 0)}, want: streamText(2), truncated: true, requests: []string{"e0 "}},
		"truncated again after resuming": {resumable: true, endpoints: []endpointHandler{streamEvents(5, 3), streamEvents(5, 4), streamEvents(5, 0)}, want: streamText(3), truncated: true, requests: []string{"e0 ", "e1 2"}},
		// An error body must not follow the part of the stream that the caller has received.
		"error after resuming":         {resumable: true, endpoints: []endpointHandler{streamEvents(5, 3), internalError}, want: streamText(2), truncated: true, requests: []string{"e0 ", "e1 2"}},
		"resumed after an error":       {resumable: true, maxRuns: 3, endpoints: []endpointHandler{streamEvents(5, 3), internalError, streamEvents(5, 0)}, want: streamText(5), requests: []string{"e0 ", "e1 2", "e2 2"}},
		"resumed with repeated events": {resumable: true, endpoints: []endpointHandler{streamEvents(5, 4), func(w http.ResponseWriter, r *http.Request) { r.Header.Set("Last", "1"); streamEvents(5, 0)(w, r) }}, want: streamText(5), requests: []string{"e0 ", "e1 3"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, w := newFleet(t, c.endpoints...), httptest.NewRecorder()
			r := newRequest(catalog.EventStream, c.resumable)
			r.Route.MaxAttempts = cmp.Or(c.maxRuns, r.Route.MaxAttempts)
			err := f.Serve(context.Background(), w, r)
			g.Expect(f.requests()).To(Equal(c.requests))
			g.Expect(w.Body.String()).To(Equal(c.want))
			headerFrom := c.headerFrom
			if headerFrom == "" {
				headerFrom = "e0"
			}
			g.Expect(w.Header().Get("Signature")).To(Equal(headerFrom), "the header is from the endpoint that sent the first event")
			var truncated *TruncatedResponseError
			g.Expect(errors.As(err, &truncated)).To(Equal(c.truncated), "%v", err)
			g.Expect(err != nil).To(Equal(c.truncated))
		})
	}
}

// A stream has partly been written when its deadline passes. The error must not unwrap
// to a *RequestError: its error body after the events would make the stream look
// complete.
func TestStreamDeadlineTruncatesResponse(t *testing.T) {
	g := NewWithT(t)
	f, w := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(2, 0)(w, r)
		<-r.Context().Done()
	}), httptest.NewRecorder()
	r := newRequest(catalog.EventStream, true)
	r.Deadline = time.Now().Add(150 * time.Millisecond)
	err := f.Serve(context.Background(), w, r)
	var truncated *TruncatedResponseError
	var requestErr *RequestError
	g.Expect(errors.As(err, &truncated)).To(BeTrue(), "%v", err)
	g.Expect(errors.As(err, &requestErr)).To(BeFalse())
	g.Expect(w.Body.String()).To(Equal(streamText(2)))
}

// If an endpoint sends nothing, a repeatable request is cancelled there and sent to
// another one. Any other request waits for the endpoint until its deadline.
func TestSilentEndpoint(t *testing.T) {
	g := NewWithT(t)
	disconnected := make(chan struct{})
	silent := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // the server detects a closed connection only after the body is read
		<-r.Context().Done()
		close(disconnected)
	}
	f, w := newFleet(t, silent, echoBody), httptest.NewRecorder()
	g.Expect(f.Serve(context.Background(), w, newRequest(catalog.Idempotent, false))).To(Succeed())
	g.Expect(w.Body.String()).To(Equal("got body"))
	g.Eventually(disconnected, "1s").Should(BeClosed())

	disconnected = make(chan struct{})
	f, w = newFleet(t, silent, echoBody), httptest.NewRecorder()
	r := newRequest(catalog.AtMostOnce, false)
	r.Deadline = time.Now().Add(300 * time.Millisecond)
	err := f.Serve(context.Background(), w, r)
	var requestErr *RequestError
	g.Expect(errors.As(err, &requestErr)).To(BeTrue())
	g.Expect(requestErr.Reason).To(Equal(TimedOut))
	g.Expect(f.requests()).To(HaveLen(1))
	g.Eventually(disconnected, "1s").Should(BeClosed())
}

// In an overloaded service all endpoints start late and the retry budget is empty.
// Cancelling a slow attempt without another one to follow would lose its response.
func TestASilentEndpointIsKeptWithoutAnother(t *testing.T) {
	late := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(minFirstResponseTimeout + 300*time.Millisecond)
		echoBody(w, r)
	}
	for name, change := range map[string]func(f *testFleet){
		"no budget": func(f *testFleet) { f.options.RetryBudget = retry.NewBudget(0, 0, time.Second, 1) },
		"no other endpoint": func(f *testFleet) {
			f.UpdateEndpoints([]directory.Endpoint{{ID: "e1", State: directory.Gone, StartedUnixMS: 1}})
		},
	} {
		g := NewWithT(t)
		f, w := newFleet(t, late, echoBody), httptest.NewRecorder()
		change(f)
		g.Expect(f.Serve(context.Background(), w, newRequest(catalog.Idempotent, false))).To(Succeed(), name)
		g.Expect(w.Body.String()).To(Equal("got body"), name)
		g.Expect(f.requests()).To(HaveLen(1), name)
	}
}

// If the caller disconnects, the request is cancelled at the endpoint at once.
func TestCallerDisconnects(t *testing.T) {
	g := NewWithT(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	f := newFleet(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	g.Expect(f.Serve(ctx, httptest.NewRecorder(), newRequest(catalog.Idempotent, false))).NotTo(Succeed())
	g.Eventually(cancelled, "1s").Should(BeClosed())
	g.Expect(f.requests()).To(HaveLen(1))
}

// Each attempt is sent the time that remains until the deadline.
func TestAttemptsGetRemainingTime(t *testing.T) {
	g := NewWithT(t)
	var remainingMS []int
	recordRemaining := func(next endpointHandler, pause time.Duration) endpointHandler {
		return func(w http.ResponseWriter, r *http.Request) {
			ms, _ := strconv.Atoi(r.Header.Get("Left"))
			remainingMS = append(remainingMS, ms)
			time.Sleep(pause)
			next(w, r)
		}
	}
	f := newFleet(t, recordRemaining(refuseNotRun, 200*time.Millisecond), recordRemaining(echoBody, 0))
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), newRequest(catalog.AtMostOnce, false))).To(Succeed())
	g.Expect(remainingMS).To(HaveLen(2))
	g.Expect(remainingMS[0]).To(And(BeNumerically(">", 2500), BeNumerically("<=", 3000)))
	g.Expect(remainingMS[1]).To(BeNumerically("<=", remainingMS[0]-200))
}

// With an empty retry budget only one attempt is made, even if the request may be
// repeated and did not run.
func TestRetryBudgetLimitsAttempts(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, refuseNotRun, echoBody)
	f.options.RetryBudget = retry.NewBudget(0, 0, time.Second, 1)
	err := f.Serve(context.Background(), httptest.NewRecorder(), newRequest(catalog.Idempotent, false))
	var requestErr *RequestError
	g.Expect(errors.As(err, &requestErr)).To(BeTrue())
	g.Expect(requestErr.NotRun()).To(BeTrue())
	g.Expect(f.requests()).To(HaveLen(1))
}

// A request waits for the first endpoint of its service while the directory of the
// entry host is still empty.
func TestRequestWaitsForFirstEndpoint(t *testing.T) {
	g := NewWithT(t)
	f, other := newFleet(t), newFleet(t, echoBody)
	e, _ := other.table.Choose(time.Now(), balance.Request{Service: "s"})
	time.AfterFunc(200*time.Millisecond, func() {
		f.UpdateEndpoints([]directory.Endpoint{{ID: "e0", Service: "s", Address: e.Address, FailureDomain: "a", Slots: 4, State: directory.Ready, StartedUnixMS: 1}})
	})
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), newRequest(catalog.AtMostOnce, false))).To(Succeed())
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	g := NewWithT(t)
	h := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=4"}, "Te": {"trailers"}, "X-Kept": {"1"}}
	RemoveHopByHopHeaders(h)
	g.Expect(h).To(Equal(http.Header{"X-Kept": {"1"}}))
}

// Callers that are refused together would retry together and overload the service
// again. Retry-After has jitter, and grows with the wait at the endpoints.
func TestRetryAfterJitter(t *testing.T) {
	g := NewWithT(t)
	wait := func(shortest time.Duration) *balance.NoEndpointError {
		return &balance.NoEndpointError{TooLate: 1, ShortestWait: shortest}
	}
	g.Expect(retryAfterWithJitter(wait(0), 0)).To(Equal(defaultRetryAfter))
	g.Expect(retryAfterWithJitter(wait(0), 0.999)).To(BeNumerically("~", 2*defaultRetryAfter, 5*time.Millisecond))
	g.Expect(retryAfterWithJitter(wait(1200*time.Millisecond), 0)).To(Equal(600 * time.Millisecond))
	g.Expect(retryAfterWithJitter(wait(time.Minute), 0)).To(Equal(maxRetryAfter))
	held := &balance.NoEndpointError{Held: 2, HeldFor: 5 * time.Second}
	g.Expect(retryAfterWithJitter(held, 0)).To(Equal(5 * time.Second))
	g.Expect(retryAfterWithJitter(held, 0.5)).To(Equal(7500 * time.Millisecond))
	held.TooLate = 1 // a third endpoint takes requests, though too late for this one
	g.Expect(retryAfterWithJitter(held, 0)).To(Equal(defaultRetryAfter))
}

// Events longer than the read buffer are forwarded unchanged, also if a line ends just
// after the buffer. An event over the size limit ends the stream.
func TestLongEvents(t *testing.T) {
	g := NewWithT(t)
	var text strings.Builder
	for i := 1; i <= 40; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\ndata: more\n\n", i, strings.Repeat("x", eventBufferBytes-24+i))
	}
	f, w := newFleet(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text.String()) }), httptest.NewRecorder()
	g.Expect(f.Serve(context.Background(), w, newRequest(catalog.EventStream, false))).To(Succeed())
	g.Expect(w.Body.String()).To(Equal(text.String()))

	f, w = newFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: "+strings.Repeat("x", 2*maxEventBytes))
	}), httptest.NewRecorder()
	var truncated *TruncatedResponseError
	g.Expect(errors.As(f.Serve(context.Background(), w, newRequest(catalog.EventStream, false)), &truncated)).To(BeTrue())
	g.Expect(w.Body.String()).To(Equal("id: 1\ndata: x\n\n"))
}

// flushRecorder records how much was written before each flush.
type flushRecorder struct {
	*httptest.ResponseRecorder
	flushedSizes []int // total bytes written at each flush
}

func (f *flushRecorder) Flush() { f.flushedSizes = append(f.flushedSizes, f.Body.Len()) }

// Each event is flushed once, when complete. If a line ends just after the read buffer,
// the rest of that line must not be taken for the blank line that ends the event.
func TestEventsAreFlushedWhenComplete(t *testing.T) {
	g := NewWithT(t)
	for length := eventBufferBytes - 40; length < eventBufferBytes+8; length++ {
		event := "id: 1\ndata: " + strings.Repeat("x", length) + "\ndata: more\n\n"
		f, w := newFleet(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, event) }), &flushRecorder{ResponseRecorder: httptest.NewRecorder()}
		g.Expect(f.Serve(context.Background(), w, newRequest(catalog.EventStream, false))).To(Succeed())
		g.Expect(w.flushedSizes).To(Equal([]int{len(event)}), "length %d", length)
	}
}
