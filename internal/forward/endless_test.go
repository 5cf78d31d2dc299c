package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
)

// sendEndlessly returns a handler that writes prefix and then unit until the connection
// is closed.
func sendEndlessly(prefix, unit string) endpointHandler {
	block := strings.Repeat(unit, max(16<<10/len(unit), 1))
	return func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, prefix)
		for err == nil {
			_, err = io.WriteString(w, block)
		}
	}
}

// discardingWriter is a caller that reads everything and keeps nothing.
type discardingWriter struct{ header http.Header }

func (w *discardingWriter) Header() http.Header         { return w.header }
func (w *discardingWriter) WriteHeader(int)             {}
func (w *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardingWriter) Flush()                      {}

// An endpoint that sends a body without end must not fill the memory of an entry host,
// which has 112 MiB: 200 such requests at once take less than half of it. Each ends by
// its deadline, and never as a complete response or as one that has not run.
func TestEndlessBodiesAreBounded(t *testing.T) {
	const (
		requests      = 200
		heapAllowance = 56 << 20
	)
	for name, c := range map[string]struct {
		kind         catalog.RequestKind
		prefix, unit string
	}{
		"body":             {catalog.Idempotent, "", "x"},
		"at most once":     {catalog.AtMostOnce, "", "x"},
		"event":            {catalog.EventStream, "id: 1\ndata: ", "x"},
		"event of lines":   {catalog.EventStream, "id: 1\n", "data: x\n"},
		"comments":         {catalog.EventStream, "", ": still here\n\n"},
		"comments, later":  {catalog.EventStream, "id: 1\ndata: x\n\n", ": still here\n\n"},
		"blank lines":      {catalog.EventStream, "", "\n"},
		"garbage, no line": {catalog.EventStream, "", "\x00\xff"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, sendEndlessly(c.prefix, c.unit))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			errs, took := make([]error, requests), make([]time.Duration, requests)
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() {
					r := newRequest(c.kind, false)
					r.Deadline = r.ReceivedAt.Add(time.Second)
					errs[i] = f.Serve(context.Background(), &discardingWriter{header: http.Header{}}, r)
					took[i] = time.Since(r.ReceivedAt)
				})
			}
			all.Wait()
			runtime.ReadMemStats(&after)
			for i, err := range errs {
				g.Expect(err).To(HaveOccurred())
				var requestErr *RequestError
				if errors.As(err, &requestErr) && requestErr.NotRun() {
					// It can only be true if the request was never sent.
					g.Expect(requestErr.Detail).To(Or(ContainSubstring("not sent to"), ContainSubstring("no endpoint left"), ContainSubstring("time is over")), "%v", err)
				}
				g.Expect(took[i]).To(BeNumerically("<", 3*time.Second))
			}
			g.Expect(int64(after.HeapSys) - int64(before.HeapSys)).To(BeNumerically("<", heapAllowance))
		})
	}
}

// Comments keep a stream open but are no events: a resumable stream whose endpoint sends
// only comments goes on at another endpoint.
func TestStreamOfCommentsIsLeftLikeASilentOne(t *testing.T) {
	for name, prefix := range map[string]string{"from the start": "", "midway": "id: 1\ndata: 1\n\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
				_, err := io.WriteString(w, prefix)
				for err == nil && r.Context().Err() == nil {
					_, err = io.WriteString(w, ": still here\n\n")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(20 * time.Millisecond)
				}
			}, streamEvents(3, 0))
			w := httptest.NewRecorder()
			g.Expect(f.Serve(context.Background(), w, newRequest(catalog.EventStream, true))).To(Succeed())
			events := strings.ReplaceAll(w.Body.String(), ": still here\n\n", "")
			g.Expect(events).To(HaveSuffix(streamText(3)[len(prefix):]))
		})
	}
}

// A response over the buffer is forwarded whole, with its length if the endpoint gave one.
// If it breaks off, the caller does not get a complete response, and there is no retry.
func TestLongResponses(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("long response ", maxBufferedResponseBytes/4)
	for _, length := range []string{"", fmt.Sprint(len(long))} {
		f, w := newFleet(t, func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, long)
		}, echoBody), httptest.NewRecorder()
		g.Expect(f.Serve(context.Background(), w, newRequest(catalog.Idempotent, false))).To(Succeed())
		g.Expect(w.Body.String() == long).To(BeTrue())
		g.Expect(w.Header().Get("Content-Length")).To(Equal(length))
	}
	f, w := newFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, long)
		panic(http.ErrAbortHandler)
	}, echoBody), httptest.NewRecorder()
	var truncated *TruncatedResponseError
	g.Expect(errors.As(f.Serve(context.Background(), w, newRequest(catalog.Idempotent, false)), &truncated)).To(BeTrue())
	g.Expect(f.requests()).To(HaveLen(1))
}
