package entry

import (
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

// withPanicResponse logs a panic of the handler and responds with 502: the request may have run. If a
// response has begun, its connection is aborted, so that it doesn't look complete.
func (e *Entry) withPanicResponse(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &headerRecorder{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(http.ErrAbortHandler)
			}
			e.options.Metrics.AddToCounter(metrics.CallersPanics, 1)
			e.options.Logger.Error("handler panicked", "method", r.Method, "path", r.URL.Path, "cause", cause, "stack", string(debug.Stack()))
			if recorder.written {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusBadGateway)
		}()
		h.ServeHTTP(recorder, r)
	})
}

// headerRecorder records whether a response has begun.
type headerRecorder struct {
	http.ResponseWriter
	written bool
}

// Unwrap lets http.ResponseController reach the server's writer.
func (h *headerRecorder) Unwrap() http.ResponseWriter { return h.ResponseWriter }

func (h *headerRecorder) WriteHeader(status int) {
	h.written = true
	h.ResponseWriter.WriteHeader(status)
}

func (h *headerRecorder) Write(p []byte) (int, error) {
	h.written = true
	return h.ResponseWriter.Write(p)
}
