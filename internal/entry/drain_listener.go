package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/inbound"
)

// HTTP/1.1 has no message that closes an idle connection: a caller that sends its next
// request while the entry closes the connection can't know whether the request was read.
// So the entry sends an unsolicited close response on a connection that has reached the idle
// timeout, and on each idle connection when it stops, and goes on reading for a while. A request
// that crosses it, or that is retransmitted after a packet loss, thereby has its response.

// closeResponse is sent on an idle connection. It tells the caller that no request ran.
const closeResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n"

// maxLingerTime is how long a connection is read after its close response, limited to
// the grace period divided by lingerGraceDivisor. A lost request is retransmitted after
// a fifth of a second, and so is a lost close response.
const (
	maxLingerTime      = time.Second
	lingerGraceDivisor = 8
)

// drainListener is a listener that can drain its connections: it sends a close response
// on each one that is idle.
type drainListener struct {
	net.Listener
	limits func() catalog.Limits // returns the limits in force
	events connectionEvents

	mu            sync.Mutex
	conns         map[*callerConn]bool
	draining      bool          // connections that become idle get a close response at once
	linger        time.Duration // how long a connection is read after its close response
	allClosed     chan struct{} // closed when draining is set and no connection is open
	allClosedOnce sync.Once
	closeOnce     sync.Once
}

// connectionEvents are called from the goroutines of connections.
type connectionEvents struct {
	idleTimeout    func()              // a connection has reached the idle timeout
	requestCrossed func(c *callerConn) // a part of a request arrived after the close response
}

func newDrainListener(l net.Listener, limits func() catalog.Limits, events connectionEvents) *drainListener {
	return &drainListener{Listener: l, limits: limits, events: events, conns: map[*callerConn]bool{}, allClosed: make(chan struct{})}
}

// Close closes the listener, but not its connections.
func (d *drainListener) Close() (err error) {
	d.closeOnce.Do(func() { err = d.Listener.Close() })
	return err
}

// Accept returns a connection that is tracked until it is closed.
func (d *drainListener) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = true
	_ = c.SetReadDeadline(time.Time{}) // an http.Server without timeouts sets none before the first request
	return c, nil
}

// connState tracks the phase of connections. It is the ConnState of an http.Server.
func (d *drainListener) connState(conn net.Conn, state http.ConnState) {
	c := unwrapCaller(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.setServing()
	case http.StateIdle:
		c.setIdle()
	}
}

// connContext gives handlers access to their connection. It is the ConnContext of an
// http.Server.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrapCaller(conn))
}

// unwrapCaller returns the caller's connection that conn is or wraps, nil if there is none.
func unwrapCaller(conn net.Conn) *callerConn {
	if limited, ok := conn.(*inbound.Conn); ok {
		conn = limited.NetConn()
	}
	c, _ := conn.(*callerConn)
	return c
}

type connKey struct{}

// closeResponseSent reports whether a close response was sent on the connection of a
// request. The caller then sent the request before it had the response to the last one.
func closeResponseSent(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeResponseSent
}

// drain closes the listener, sends a close response on every connection that is idle or
// becomes so, and waits until none is open or the timeout is over. It serves a request
// whose header has arrived in part; an http.Server would treat that connection as idle
// and close it. It returns how many connections were open.
func (d *drainListener) drain(linger, timeout time.Duration) int {
	_ = d.Close() // fails only if it is closed already
	d.mu.Lock()
	d.draining, d.linger = true, linger
	open := make([]*callerConn, 0, len(d.conns))
	for c := range d.conns {
		open = append(open, c)
	}
	d.mu.Unlock()
	for _, c := range open {
		go c.sendCloseResponse(linger)
	}
	d.signalIfEmpty()
	select {
	case <-d.allClosed:
	case <-time.After(timeout):
	}
	return len(open)
}

// openCount returns how many connections are open.
func (d *drainListener) openCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// signalIfEmpty closes allClosed if the listener is draining and no connection is open.
func (d *drainListener) signalIfEmpty() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining && len(d.conns) == 0 {
		d.allClosedOnce.Do(func() { close(d.allClosed) })
	}
}

// drainState reports whether the listener is draining, and how long connections linger.
func (d *drainListener) drainState() (draining bool, linger time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining, d.linger
}

// phase is what a caller's connection is doing.
type phase uint8

const (
	phaseIdle          phase = iota // no part of the next request was read
	phaseReadingHeader              // a part of a request header was read
	phaseServing                    // a request is being served
)

// callerConn is a caller's connection with its phase. Its idle and header timeouts are
// those of the configuration in force; an http.Server can't change its own while it runs.
// No request is read after the close response.
type callerConn struct {
	net.Conn
	listener *drainListener

	mu                sync.Mutex
	phase             phase
	headerStartedAt   time.Time
	closeResponseSent bool
	crossed           bool // a part of a request arrived after the close response
}

// setResetOnClose sets whether the connection ends with a reset when it is closed.
func (c *callerConn) setResetOnClose(reset bool) error {
	conn, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil // not TCP
	}
	linger := -1 // the default
	if reset {
		linger = 0
	}
	return errors.WithStack(conn.SetLinger(linger))
}

// setIdle records that the last response was sent.
func (c *callerConn) setIdle() {
	c.mu.Lock()
	c.phase = phaseIdle
	c.mu.Unlock()
	if draining, linger := c.listener.drainState(); draining {
		go c.sendCloseResponse(linger)
	}
}

// setServing records that a whole header has arrived in time.
func (c *callerConn) setServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseServing
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, which needs no deadline
}

// sendCloseResponse sends the close response if the connection is idle. The server is
// waiting for a request, so it reads until the caller closes or the linger time is over.
func (c *callerConn) sendCloseResponse(linger time.Duration) {
	if c.beginClose(linger, phaseIdle) {
		c.writeCloseResponse()
	}
}

// CloseIdle sends the close response if no request has arrived whole. It implements inbound.IdleCloser.
func (c *callerConn) CloseIdle(linger time.Duration) {
	if c.beginClose(linger, phaseReadingHeader) {
		c.writeCloseResponse()
	}
}

// beginClose ends the use of a connection that is in the phase latest or an earlier one: no request is read any
// more, and reads end after the linger time. It reports whether the close response is to be written.
func (c *callerConn) beginClose(linger time.Duration, latest phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase > latest || c.closeResponseSent {
		return false
	}
	c.closeResponseSent = true
	// Fails only on a closed connection, whose reads end anyway.
	_ = c.Conn.SetDeadline(time.Now().Add(linger))
	return true
}

func (c *callerConn) writeCloseResponse() {
	if _, err := io.WriteString(c.Conn, closeResponse); err != nil {
		_ = c.Close() // the caller is gone
	}
}

// Read passes requests to the server. A connection that reaches the idle timeout gets the close
// response. After it, Read discards what arrives, and returns EOF when the caller closes or the linger
// time is over.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		closing, idle, crossed := c.closeResponseSent, c.phase == phaseIdle, false
		switch {
		case closing:
			crossed = n > 0 && !c.crossed
			c.crossed = c.crossed || crossed
		case idle && n > 0:
			c.phase, c.headerStartedAt = phaseReadingHeader, time.Now()
			// Fails only on a closed connection.
			_ = c.Conn.SetReadDeadline(c.headerStartedAt.Add(c.listener.limits().HeaderTimeout))
		}
		c.mu.Unlock()
		if crossed {
			c.listener.events.requestCrossed(c)
		}
		switch {
		case !closing && idle && n == 0 && errors.Is(err, os.ErrDeadlineExceeded):
			c.listener.events.idleTimeout()
			if c.beginClose(maxLingerTime, phaseIdle) {
				go c.writeCloseResponse() // the caller's request may have to be read first
			}
		case !closing:
			return n, err
		case err != nil:
			return 0, io.EOF
		}
	}
}

// SetReadDeadline sets a deadline. A zero time sets the deadline of the phase instead of
// none. After the close response it does nothing.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closeResponseSent:
		return nil
	case !t.IsZero():
	case c.phase == phaseIdle:
		t = time.Now().Add(c.listener.limits().IdleTimeout)
	case c.phase == phaseReadingHeader:
		t = c.headerStartedAt.Add(c.listener.limits().HeaderTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and stops tracking it.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.listener.signalIfEmpty()
	return c.Conn.Close()
}
