package dispatch

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// ConnTrace records whether a request was given a connection. Without one no byte of
// it was sent, and no copy of it can arrive later. A client requests another
// connection only if the previous one is known not to have processed the request,
// so that only the last connection counts.
type ConnTrace struct {
	gotConn atomic.Bool
}

// TraceContext returns a context whose request is recorded in the trace.
func (t *ConnTrace) TraceContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.gotConn.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { t.gotConn.Store(true) },
	})
}

// MayHaveSent reports whether bytes of the request may have been sent.
func (t *ConnTrace) MayHaveSent() bool { return t.gotConn.Load() }
