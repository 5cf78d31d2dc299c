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

// withResetOnAbort lets the connection of an HTTP/1.0 caller end with a reset until its response is complete:
// the response ends with its connection, and a part would look complete. A response of a later version
// lacks its last chunk or a part of its length.
func (e *Entry) withResetOnAbort(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		e.setResetOnClose(r, true)
		h.ServeHTTP(w, r) // panics if the response is broken off
		e.setResetOnClose(r, false)
	})
}

func (e *Entry) setResetOnClose(r *http.Request, reset bool) {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	if c == nil {
		return // not served by ServeCallers
	}
	if err := c.setResetOnClose(reset); err != nil {
		e.options.Logger.Warn("close of a connection not changed", "caller", r.RemoteAddr, "reset", reset, "error", err.Error())
	}
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
