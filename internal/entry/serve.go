package entry

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/forward"
	"github.com/trefoilkeel/trefoilkeel/internal/inbound"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Timeouts and limits of callers' connections.
const (
	// defaultHeaderTimeout and defaultIdleTimeout apply where the configuration sets
	// none. headerTimeoutSlack is added to a configured header timeout: callers observe
	// that timeout, and their bytes take a while to arrive.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	headerTimeoutSlack   = time.Second
	// maxHeaderBytes is the most that any configuration may allow, and the limit where it sets none. requestLineSlack is
	// added to the limit of the configuration, which may not count the request line.
	maxHeaderBytes   = 128 << 10
	requestLineSlack = 4 << 10
	// defaultMaxConnections and defaultHeadMemoryBytes apply where the options set none.
	defaultMaxConnections  = 10_000
	defaultHeadMemoryBytes = 32 << 20
	// noticePeriod is how long a stopping entry serves open connections with
	// "Connection: close". It covers two checks of the load balancer a second apart, a
	// second until callers follow, and the retransmission of a lost request.
	noticePeriod = 3500 * time.Millisecond
	// stopMargin is how long before the end of the grace period running requests are
	// cancelled, limited to the grace period divided by stopMarginDivisor.
	stopMargin        = 300 * time.Millisecond
	stopMarginDivisor = 4
	// finalResponseTime is how long cancelled requests have for their responses until their
	// connections are closed.
	finalResponseTime = 200 * time.Millisecond
)

// ServeCallers serves callers until ctx ends, and then stops within the grace period. Idle
// connections are closed with a close response. At
// first it still serves open connections and asks callers to close them with the next
// response. Then it sends a close response on idle connections, while running requests
// may finish. Those that still run near the end are cancelled, so that they are answered
// before the process ends. The error is a *rpc.ServeError.
func (e *Entry) ServeCallers(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration, logger *slog.Logger) error {
	listener := newDrainListener(l, e.callerLimits, e.connectionEvents(logger))
	limited := inbound.NewListener(listener, e.inboundOptions(logger))
	requestCtx, cancelRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancelRequests(nil)
	server := &http.Server{BaseContext: func(net.Listener) context.Context { return requestCtx },
		ConnState: func(conn net.Conn, state http.ConnState) {
			limited.ConnState(conn, state)
			listener.connState(conn, state)
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return connContext(limited.ConnContext(ctx, conn), conn)
		},
		Handler:        limited.Handler(e.withConnectionClose(e.withResetOnAbort(e.withPanicResponse(h)))),
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug)}
	return rpc.RunServer(ctx, server, limited, func() time.Duration {
		began := time.Now()
		deadline := began.Add(grace - min(stopMargin, grace/stopMarginDivisor))
		e.Stop(deadline)
		cancelling := time.AfterFunc(time.Until(deadline), func() {
			logger.Info("running requests cancelled", "open", listener.openCount())
			cancelRequests(&forward.StoppedError{})
		})
		defer cancelling.Stop()
		logger.Info("stopping", "grace_ms", grace.Milliseconds())
		wait.For(context.WithoutCancel(ctx), min(noticePeriod, grace/2))
		open := listener.drain(min(maxLingerTime, grace/lingerGraceDivisor), time.Until(deadline)+finalResponseTime)
		logger.Info("callers' connections ended", "open_after_notice", open, "took_ms", time.Since(began).Milliseconds())
		return time.Until(deadline) + finalResponseTime
	}, logger)
}

// inboundOptions returns the limits of callers' connections and request heads.
func (e *Entry) inboundOptions(logger *slog.Logger) inbound.Options {
	return inbound.Options{MaxConnections: cmp.Or(e.options.MaxConnections, defaultMaxConnections), MaxHeadBytes: e.maxHeadBytes,
		Memory: inbound.NewHeadBudget(cmp.Or(e.options.HeadMemoryBytes, defaultHeadMemoryBytes)),
		OnRefused: func(caller net.Addr, reason error) {
			e.options.Metrics.AddToCounter(metrics.CallersRefused, 1)
			logger.Info("caller's connection refused", "caller", caller.String(), "reason", reason.Error())
		}}
}

// maxHeadBytes returns the longest request head that the configuration in force allows.
func (e *Entry) maxHeadBytes() int {
	index := e.Index()
	if index == nil || index.Document.Limits.MaxHeaderBytes <= 0 {
		return maxHeaderBytes
	}
	return min(index.Document.Limits.MaxHeaderBytes+requestLineSlack, maxHeaderBytes)
}

// connectionEvents counts and logs how callers' connections end.
func (e *Entry) connectionEvents(logger *slog.Logger) connectionEvents {
	return connectionEvents{
		idleTimeout: func() { e.options.Metrics.AddToCounter(metrics.CallersIdleClosed, 1) },
		requestCrossed: func(c *callerConn) {
			e.options.Metrics.AddToCounter(metrics.CallersCrossed, 1)
			logger.Info("request crossed the close of its connection", "caller", c.RemoteAddr().String())
		},
	}
}

// callerLimits returns the timeouts for callers in the configuration in force.
func (e *Entry) callerLimits() catalog.Limits {
	limits := catalog.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	index := e.Index()
	if index == nil {
		return limits
	}
	if configured := index.Document.Limits; configured.HeaderTimeout > 0 {
		limits.HeaderTimeout = configured.HeaderTimeout + headerTimeoutSlack
	}
	if configured := index.Document.Limits; configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// withConnectionClose asks callers of a stopping entry to close their connections, also with responses
// to requests that arrived before the stop.
func (e *Entry) withConnectionClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if closeResponseSent(r.Context()) {
			panic(http.ErrAbortHandler) // the caller takes the close response as its answer, so it must not run
		}
		closing := &closingWriter{ResponseWriter: w, entry: e}
		h.ServeHTTP(closing, r)
		closing.beginResponse()
	})
}

// closingWriter sets "Connection: close" on responses that begin while the entry stops.
type closingWriter struct {
	http.ResponseWriter
	entry *Entry
	begun bool
}

// Unwrap lets http.ResponseController reach the server's writer.
func (c *closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *closingWriter) beginResponse() {
	if !c.begun && c.entry.Stopping() {
		c.Header().Set("Connection", "close")
	}
	c.begun = true
}

func (c *closingWriter) WriteHeader(status int) {
	c.beginResponse()
	c.ResponseWriter.WriteHeader(status)
}

func (c *closingWriter) Write(p []byte) (int, error) {
	c.beginResponse()
	return c.ResponseWriter.Write(p)
}
