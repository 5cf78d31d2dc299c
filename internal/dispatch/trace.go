package dispatch

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// ConnTrace notes whether a request had a connection. Without one no byte of it
// has left, and no copy of it can arrive later. A client asks for another
// connection only once the one before is known not to have taken the request,
// so that the last one counts.
type ConnTrace struct {
	got atomic.Bool
}

// Watch returns a context that reports to the trace.
func (t *ConnTrace) Watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.got.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { t.got.Store(true) },
	})
}

// Connected reports whether bytes of the request may have left.
func (t *ConnTrace) Connected() bool { return t.got.Load() }
