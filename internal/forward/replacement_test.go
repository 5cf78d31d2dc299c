package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/retry"
)

// pausingStream sends the events after the one that the Last header names, up to last, and pauses
// before event pauseAt.
func pausingStream(last, pauseAt int, pause time.Duration) endpointHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		first, _ := strconv.Atoi(r.Header.Get("Last"))
		for i := first + 1; i <= last; i++ {
			if i == pauseAt {
				select {
				case <-time.After(pause):
				case <-r.Context().Done():
					return
				}
			}
			_, _ = io.WriteString(w, streamText(i)[len(streamText(i-1)):])
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// silentUntilLeft answers nothing until its caller leaves.
func silentUntilLeft(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// An endpoint that pauses for longer than the entry waits for an event, and goes on, must not cost its
// stream because the endpoint that was to replace it refuses, breaks off or is silent as well. The
// caller's connection was closed in the middle of the stream.
func TestPausedStreamOutlivesAFailedReplacement(t *testing.T) {
	const pause = minEventGapTimeout + 400*time.Millisecond
	for name, replacement := range map[string]endpointHandler{
		"refuses":          refuseNotRun,
		"breaks off":       abortConnection,
		"answers an error": internalError,
		"answers another":  wrongRequestID,
		"is silent":        silentUntilLeft,
	} {
		for _, pauseAt := range []int{1, 2, 4} {
			t.Run(name+" at "+strconv.Itoa(pauseAt), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f, w := newFleet(t, pausingStream(4, pauseAt, pause), replacement), httptest.NewRecorder()
				g.Expect(f.Serve(context.Background(), w, newRequest(catalog.EventStream, true))).To(Succeed())
				g.Expect(w.Body.String()).To(Equal(streamText(4)))
				g.Expect(w.Header().Get("Signature")).To(Equal("e0"))
				g.Expect(f.requests()).To(HaveLen(2), "the replacement was tried")
			})
		}
	}
}

// A late response of a request that may be repeated must reach its caller if the endpoint that was to
// replace the late one fails. The caller was told that the outcome is unknown.
func TestLateResponseOutlivesAFailedReplacement(t *testing.T) {
	late := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(minFirstResponseTimeout + 300*time.Millisecond)
		echoBody(w, r)
	}
	for name, replacement := range map[string]endpointHandler{"refuses": refuseNotRun, "breaks off": abortConnection, "is silent": silentUntilLeft} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f, w := newFleet(t, late, replacement), httptest.NewRecorder()
			g.Expect(f.Serve(context.Background(), w, newRequest(catalog.Idempotent, false))).To(Succeed())
			g.Expect(w.Body.String()).To(Equal("got body"))
			g.Expect(w.Header().Get("Signature")).To(Equal("e0"))
		})
	}
}

// A replacement that has begun to answer takes over, and the silent endpoint is left at once; the
// stream has each event once.
func TestReplacementTakesOverFromASilentEndpoint(t *testing.T) {
	g := NewWithT(t)
	left := make(chan struct{})
	f, w := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(2, 0)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(left)
	}, streamEvents(4, 0)), httptest.NewRecorder()
	g.Expect(f.Serve(context.Background(), w, newRequest(catalog.EventStream, true))).To(Succeed())
	g.Expect(w.Body.String()).To(Equal(streamText(4)))
	g.Expect(f.requests()).To(Equal([]string{"e0 ", "e1 2"}))
	g.Eventually(left, "300ms").Should(BeClosed())
}

// If the silent endpoint breaks off while its replacement is about to answer, the replacement is used
// and no third endpoint is asked.
func TestReplacementIsUsedWhenTheSilentEndpointBreaksOff(t *testing.T) {
	g := NewWithT(t)
	f, w := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 0)(w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(minEventGapTimeout + 200*time.Millisecond)
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(400 * time.Millisecond)
		streamEvents(3, 0)(w, r)
	}, streamEvents(3, 0)), httptest.NewRecorder()
	g.Expect(f.Serve(context.Background(), w, newRequest(catalog.EventStream, true))).To(Succeed())
	g.Expect(w.Body.String()).To(Equal(streamText(3)))
	g.Expect(f.requests()).To(Equal([]string{"e0 ", "e1 1"}))
}

// A silent endpoint that goes on first keeps its request, and the replacement is cancelled.
func TestReplacementIsCancelledWhenTheEndpointGoesOn(t *testing.T) {
	g := NewWithT(t)
	cancelled := make(chan struct{})
	f, w := newFleet(t, pausingStream(3, 2, minEventGapTimeout+300*time.Millisecond), func(w http.ResponseWriter, r *http.Request) {
		silentUntilLeft(w, r)
		close(cancelled)
	}), httptest.NewRecorder()
	r := newRequest(catalog.EventStream, true)
	g.Expect(f.Serve(context.Background(), w, r)).To(Succeed())
	g.Expect(w.Body.String()).To(Equal(streamText(3)))
	g.Eventually(cancelled, "300ms").Should(BeClosed())
}

// A request must not run at more endpoints than its route allows, replacements included, and a
// replacement must be taken from the retry budget.
func TestReplacementsAreLimited(t *testing.T) {
	g := NewWithT(t)
	slow := pausingStream(2, 2, 2500*time.Millisecond)
	f, w := newFleet(t, slow, abortConnection, abortConnection, abortConnection), httptest.NewRecorder()
	g.Expect(f.Serve(context.Background(), w, newRequest(catalog.EventStream, true))).To(Succeed())
	g.Expect(f.requests()).To(HaveLen(2), "two attempts are allowed")

	f, w = newFleet(t, slow, refuseNotRun), httptest.NewRecorder()
	f.options.RetryBudget = retry.NewBudget(0, 0, time.Second, 1)
	g.Expect(f.Serve(context.Background(), w, newRequest(catalog.EventStream, true))).To(Succeed())
	g.Expect(f.requests()).To(HaveLen(1), "no budget")
}

// A long response that goes on steadily must not be cut because it takes longer than the entry waits
// for its beginning.
func TestLongResponseIsNotReplaced(t *testing.T) {
	g := NewWithT(t)
	chunk := strings.Repeat("x", maxBufferedResponseBytes/2)
	f, w := newFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 10 {
			_, _ = io.WriteString(w, chunk)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(minFirstResponseTimeout / 5)
		}
	}, echoBody), httptest.NewRecorder()
	g.Expect(f.Serve(context.Background(), w, newRequest(catalog.Idempotent, false))).To(Succeed())
	g.Expect(w.Body.Len()).To(Equal(10 * len(chunk)))
	g.Expect(f.requests()).To(HaveLen(1))
}

// An error response of the silent endpoint must wait for the replacement, and be passed on if that fails.
func TestErrorResponseWaitsForTheReplacement(t *testing.T) {
	for name, c := range map[string]struct {
		replacement endpointHandler
		status      int
	}{
		"answers": {func(w http.ResponseWriter, r *http.Request) { time.Sleep(300 * time.Millisecond); echoBody(w, r) }, http.StatusOK},
		"refuses": {func(w http.ResponseWriter, r *http.Request) { time.Sleep(300 * time.Millisecond); refuseNotRun(w, r) }, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, w := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(minFirstResponseTimeout + 100*time.Millisecond)
				internalError(w, r)
			}, c.replacement, refuseNotRun), httptest.NewRecorder()
			g.Expect(f.Serve(context.Background(), w, newRequest(catalog.Idempotent, false))).To(Succeed())
			g.Expect(w.Code).To(Equal(c.status))
			g.Expect(f.requests()[:2]).To(Equal([]string{"e0 ", "e1 "}))
		})
	}
}
