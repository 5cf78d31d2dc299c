package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
)

// rawEndpoint writes bytes to its connections that a server of net/http can't write.
type rawEndpoint struct {
	net.Listener
	connections atomic.Int32
}

// newRawFleet returns a fleet whose first endpoint writes what greeting returns to each new
// connection and what answer returns for each request. The second endpoint sends a stream of three events.
func newRawFleet(t *testing.T, greeting string, answer func(id string) string) (*testFleet, *rawEndpoint) {
	f := newFleet(t, echoBody, streamEvents(3, 0))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &rawEndpoint{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			_, _ = io.WriteString(c, greeting)
			go e.serve(f, c, answer)
		}
	}()
	f.UpdateEndpoints([]directory.Endpoint{{ID: "e0", Service: "s", Address: l.Addr().String(), FailureDomain: "a", Slots: 1000, State: directory.Ready, StartedUnixMS: 2}})
	return f, e
}

func (e *rawEndpoint) serve(f *testFleet, c net.Conn, answer func(id string) string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.received = append(f.received, "e0 "+r.Header.Get("Id"))
		f.mu.Unlock()
		if _, err := io.WriteString(c, answer(r.Header.Get("Id"))); err != nil {
			return
		}
	}
}

// chunk returns a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// refusal returns a complete response that says that a request was not run, and all else that a
// response can say of its endpoint. Without an ID it has none.
func refusal(status int, id string) string {
	idLine := ""
	if id != "" {
		idLine = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sSignature: e0\r\nNot-Run: 1\r\nLeaving: 1\r\nHold: 20s\r\nLimit: 0.01\r\nWaiting: 100000\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), idLine)
}

// threeEvents returns a complete response with streamText(3), and extra before, within and after it.
func threeEvents(id, before, within, after string) string {
	return before + "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: e0\r\nTransfer-Encoding: chunked\r\n\r\n" +
		chunk(streamText(1)) + within + chunk(streamText(3)[len(streamText(1)):]) + "0\r\n\r\n" + after
}

// expectNothingBelieved checks that the first endpoint still takes requests, at once and without a
// limit, and that nothing was concluded from a response of it if responded is not set.
func (f *testFleet) expectNothingBelieved(g *WithT, waiting uint64, responded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Router.mu.Lock()
	defer f.Router.mu.Unlock()
	now := time.Now()
	choice, err := f.table.Choose(now, balance.Request{Service: "s", TriedEndpoints: []string{"e1", "a0"}})
	g.Expect(err).NotTo(HaveOccurred(), "no departure, hold or limit")
	g.Expect(choice.ID).To(Equal("e0"))
	g.Expect(choice.ExpectedWait).To(BeNumerically("<", time.Second), "no load")
	g.Expect(f.table.TakeLimitWishes(now, true)).To(BeEmpty())
	if !responded {
		g.Expect(f.outcomes.Responses).NotTo(HaveKey(choice.Incarnation))
		g.Expect(f.unconfirmed).To(HaveKey(waiting), "the endpoint may have crashed")
	}
}

// addUnconfirmed adds a response of the first endpoint that a later one would confirm, and returns
// its incarnation.
func (f *testFleet) addUnconfirmed() uint64 {
	f.Router.mu.Lock()
	defer f.Router.mu.Unlock()
	choice, _ := f.table.Choose(time.Now(), balance.Request{Service: "s"})
	f.unconfirmed[choice.Incarnation] = []unconfirmedResponse{{service: "s", endedAt: time.Now().Add(-time.Second)}}
	return choice.Incarnation
}

// clearRequests forgets the requests that the endpoints received.
func (f *testFleet) clearRequests() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = nil
}

// Guards against: an earlier refusal, repeated on a kept connection, is taken for the answer to the
// present request, which then runs twice or is refused as not run while an endpoint runs it.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	kinds := map[string]struct {
		kind      catalog.RequestKind
		resumable bool
	}{"non-idempotent": {catalog.AtMostOnce, false}, "idempotent": {catalog.Idempotent, false},
		"stream": {catalog.EventStream, false}, "resumable stream": {catalog.EventStream, true}}
	for kindName, kind := range kinds {
		for _, status := range []int{503, 429, 421, 408} {
			for _, id := range []string{"r0", ""} {
				for _, reused := range []bool{false, true} {
					for _, position := range []string{"greeting", "before", "within", "after"} {
						if reused && position == "greeting" {
							continue // the connection is new
						}
						t.Run(fmt.Sprintf("%s, %d, id %q, reused %t, %s", kindName, status, id, reused, position), func(t *testing.T) {
							g := NewWithT(t)
							extra := map[string]string{position: refusal(status, id)}
							f, raw := newRawFleet(t, extra["greeting"], func(id string) string {
								if id == "warm-up" {
									return threeEvents(id, "", "", "")
								}
								return threeEvents(id, extra["before"], extra["within"], extra["after"])
							})
							if reused {
								warmUp := newRequest(kind.kind, kind.resumable)
								warmUp.ID = "warm-up"
								g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), warmUp)).To(Succeed())
							}
							f.TakeOutcomes()
							f.clearRequests()
							waiting := f.addUnconfirmed()
							w := httptest.NewRecorder()
							err := f.Serve(context.Background(), w, newRequest(kind.kind, kind.resumable))
							g.Expect(raw.connections.Load()).To(Equal(int32(1)))
							f.expectNothingBelieved(g, waiting, position == "within" || position == "after")
							repeatable := kind.kind == catalog.Idempotent || kind.resumable
							switch {
							case position == "after":
								g.Expect(err).NotTo(HaveOccurred())
								g.Expect(w.Body.String()).To(Equal(streamText(3)))
								g.Expect(f.requests()).To(Equal([]string{"e0 r1"}))
								// The next request is not answered with what follows the first response.
								w = httptest.NewRecorder()
								g.Expect(f.Serve(context.Background(), w, newRequest(kind.kind, kind.resumable))).To(Succeed())
								g.Expect(w.Body.String()).To(Equal(streamText(3)))
								g.Expect(raw.connections.Load()).To(Equal(int32(2)))
							case repeatable:
								g.Expect(err).NotTo(HaveOccurred())
								g.Expect(w.Body.String()).To(Equal(streamText(3)))
								g.Expect(f.requests()).To(ContainElement(HavePrefix("e1")))
							case position == "within" && kind.kind == catalog.EventStream:
								var truncated *TruncatedResponseError
								g.Expect(errors.As(err, &truncated)).To(BeTrue(), "%v", err)
								g.Expect(w.Body.String()).To(Equal(streamText(1)))
								g.Expect(f.requests()).To(Equal([]string{"e0 r1"}))
							default:
								var requestErr *RequestError
								g.Expect(errors.As(err, &requestErr)).To(BeTrue(), "%v", err)
								g.Expect(requestErr.Reason).To(Equal(OutcomeUnknown))
								g.Expect(requestErr.NotRun()).To(BeFalse())
								g.Expect(requestErr.RetryAfter).To(BeZero())
								g.Expect(f.requests()).NotTo(ContainElement(HavePrefix("e1")))
							}
						})
					}
				}
			}
		}
	}
}

// The refusal of a request on its own ID is believed on a new and on a reused connection, and applied
// to the endpoint. The connection isn't used again, so that a copy of the refusal that follows can't be
// the answer to a later request with the same ID.
func TestRefusalOfTheRequestIsBelievedOnce(t *testing.T) {
	for _, status := range []int{503, 429, 421, 408} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, reused %t", status, reused), func(t *testing.T) {
				g := NewWithT(t)
				plain := fmt.Sprintf("HTTP/1.1 %d %s\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
				var refused atomic.Bool
				f, raw := newRawFleet(t, "", func(id string) string {
					if id == "r1" && !refused.Swap(true) {
						return plain + plain
					}
					return threeEvents(id, "", "", "")
				})
				if reused {
					warmUp := newRequest(catalog.AtMostOnce, false)
					warmUp.ID = "warm-up"
					g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), warmUp)).To(Succeed())
					f.clearRequests()
				}
				g.Expect(f.serveOnce(catalog.AtMostOnce, false)).To(Equal(200))
				g.Expect(f.requests()).To(Equal([]string{"e0 r1", "e1 "}))
				// A request with the same ID that comes to the first endpoint later is served.
				f.UpdateEndpoints([]directory.Endpoint{{ID: "e1", State: directory.Gone, StartedUnixMS: 1}})
				f.clearRequests()
				g.Expect(f.serveOnce(catalog.AtMostOnce, false)).To(Equal(200))
				g.Expect(f.requests()).To(Equal([]string{"e0 r1"}))
				g.Expect(raw.connections.Load()).To(Equal(int32(2)), "the connection of the refusal was closed")
			})
		}
	}
}

// A request that its only endpoint refuses is not sent there once more.
func TestRefusedRequestIsNotSentToTheSameEndpoint(t *testing.T) {
	g := NewWithT(t)
	f, _ := newRawFleet(t, "", func(id string) string { return refusal(503, id) })
	f.UpdateEndpoints([]directory.Endpoint{{ID: "e1", State: directory.Gone, StartedUnixMS: 1}})
	_, err := f.serveOnce(catalog.Idempotent, false)
	var requestErr *RequestError
	g.Expect(errors.As(err, &requestErr)).To(BeTrue(), "%v", err)
	g.Expect(requestErr.NotRun()).To(BeTrue())
	g.Expect(f.requests()).To(Equal([]string{"e0 r1"}))
}

// What an interim response says is not believed, whatever its ID.
func TestInterimResponsesSayNothingOfTheEndpoint(t *testing.T) {
	for _, id := range []string{"r0", "r1", ""} {
		g := NewWithT(t)
		interim := "HTTP/1.1 103 Early Hints\r\nId: " + id + "\r\nNot-Run: 1\r\nLeaving: 1\r\nHold: 20s\r\nLimit: 0.01\r\nWaiting: 100000\r\n\r\n"
		f, _ := newRawFleet(t, "", func(id string) string { return threeEvents(id, interim, "", "") })
		w := httptest.NewRecorder()
		g.Expect(f.Serve(context.Background(), w, newRequest(catalog.AtMostOnce, false))).To(Succeed(), id)
		g.Expect(w.Body.String()).To(Equal(streamText(3)), id)
		g.Expect(f.requests()).To(Equal([]string{"e0 r1"}), id)
		f.expectNothingBelieved(g, 0, true)
	}
}

// A stream that is resumed gets a refusal of another request. It isn't joined to the stream, and not
// taken for one of the request: another endpoint follows, within the attempts of the route, or the stream is cut.
func TestRefusalOfAnotherRequestAtAResumedStream(t *testing.T) {
	for _, c := range []struct {
		maxAttempts int
		complete    bool
		began       int
	}{{2, false, 2}, {3, true, 3}} {
		g := NewWithT(t)
		f, _ := newRawFleet(t, "", func(string) string { return refusal(503, "r0") })
		first := newFleet(t, streamEvents(3, 2))
		// The endpoint that cuts the stream is the cheapest.
		f.UpdateEndpoints([]directory.Endpoint{{ID: "a0", Service: "s", Address: first.addresses[0], FailureDomain: "a", Slots: 100000, State: directory.Ready, StartedUnixMS: 1}})
		began := 0
		f.options.OnBegan = func(string) { began++ }
		r, w := newRequest(catalog.EventStream, true), httptest.NewRecorder()
		r.Route.MaxAttempts, r.Workspace = c.maxAttempts, "w"
		err := f.Serve(context.Background(), w, r)
		var truncated *TruncatedResponseError
		g.Expect(errors.As(err, &truncated)).To(Equal(!c.complete), "%v", err)
		g.Expect(w.Body.String()).To(Equal(streamText(map[bool]int{false: 1, true: 3}[c.complete])))
		g.Expect(began).To(Equal(c.began), "each attempt may have begun")
		f.expectNothingBelieved(g, 0, true)
	}
}

// Guards against: an earlier refusal that is repeated in part runs into the head of the true response,
// and both read as one head with the ID of the request.
func TestPartOfAnotherResponseIsNotJoinedToTheHead(t *testing.T) {
	other := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nLeaving: 1\r\nHold: 20s\r\nId: r0\r\nContent-Length: 0\r\n\r\n"
	for _, kind := range []catalog.RequestKind{catalog.AtMostOnce, catalog.Idempotent, catalog.EventStream} {
		for cut := range len(other) {
			t.Run(fmt.Sprintf("%v, %d bytes", kind, cut), func(t *testing.T) {
				g := NewWithT(t)
				f, _ := newRawFleet(t, "", func(id string) string { return threeEvents(id, other[:cut], "", "") })
				w := httptest.NewRecorder()
				err := f.Serve(context.Background(), w, newRequest(kind, false))
				if cut == 0 || kind == catalog.Idempotent {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(w.Code).To(Equal(http.StatusOK))
					g.Expect(w.Body.String()).To(Equal(streamText(3)))
				} else {
					var requestErr *RequestError
					g.Expect(errors.As(err, &requestErr)).To(BeTrue(), "%v, status %d", err, w.Code)
					g.Expect(requestErr.Reason).To(Equal(OutcomeUnknown))
					g.Expect(f.requests()).To(Equal([]string{"e0 r1"}))
				}
				f.expectNothingBelieved(g, 0, true)
			})
		}
	}
}
