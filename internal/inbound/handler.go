package inbound

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Handler returns a handler for the http.Server that serves the listener. It follows the reading of request bodies,
// and refuses a request whose head was read before it could be accounted for, as one that was sent before the
// response to the last one, if the budget has no room for it.
func (l *Listener) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c == nil || r.ProtoMajor != 1 { // connections of HTTP/2 serve several requests at a time
			h.ServeHTTP(w, r)
			return
		}
		c.beginServing()
		if !c.takeMemory(max(requestMemory(r), c.memory())) {
			l.options.OnRefused(c.RemoteAddr(), errors.WithStack(&HeadBudgetError{}))
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", refusalRetryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			c.setBody(bodyUnread)
			r.Body = &body{ReadCloser: r.Body, conn: c, writer: w}
		}
		h.ServeHTTP(w, r)
	})
}

// requestMemory returns the memory that the head of a parsed request takes.
func requestMemory(r *http.Request) int64 {
	bytes, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
			lines++
		}
	}
	return headMemory(bytes, lines)
}
