// Package upstream sends requests to endpoints over kept connections, one
// request at a time on each, and tells what is certain about a request that
// got no answer: whether any byte of it left.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Bounds of a connection.
const (
	// DialTimeout is well over a round trip between failure domains; a lost
	// opening packet is sent again only after a second.
	DialTimeout = 150 * time.Millisecond
	// userTimeout closes a connection whose bytes nobody acknowledges.
	userTimeout = 2 * time.Second
	// idleMargin is how much sooner than announced an idle connection is let go.
	idleMargin = 700 * time.Millisecond
	// defaultIdle is kept where the endpoint announces no idle time.
	defaultIdle = 3 * time.Second
	// aheadBytes is the body size from which the answer is read while the body
	// is still being sent.
	aheadBytes    = 4 << 10
	bufferBytes   = 4 << 10
	maxInterim    = 5
	keepAliveName = "Keep-Alive"
)

// NotSentError says that no byte of a request left: it did not run.
type NotSentError struct {
	Address string
	Cause   error
}

// Error names the address.
func (e *NotSentError) Error() string {
	return "not sent to " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoAnswerError says that a request was sent, at least in part, and no answer
// came: it may have run.
type NoAnswerError struct {
	Address string
	Reused  bool // the connection had served other requests
	Cause   error
}

// Error names the address.
func (e *NoAnswerError) Error() string {
	return "no answer from " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// Stats counts what a client did since its start.
type Stats struct {
	Dials, Reuses int64
}

// Client keeps connections to endpoints. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	idle  map[string][]*conn // by address, the one used last at the end
	stats Stats
}

// New returns a client without connections.
func New() *Client { return &Client{idle: map[string][]*conn{}} }

// conn is one connection with at most one request on it.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	served  int
	until   time.Time // idle no longer than this
}

// Exchange is one request and its answer.
type Exchange struct {
	Response *http.Response
	client   *Client
	conn     *conn
	stop     func() bool // ends the watch over the context
	sent     chan error  // result of sending the body, nil if it was sent before
	ended    bool
}

// Do sends a request and returns the head of its answer. The request is ended
// with ctx until the exchange is closed. Errors are *NotSentError or
// *NoAnswerError.
func (c *Client) Do(ctx context.Context, address string, r *http.Request, body []byte) (*Exchange, error) {
	used, err := c.connect(ctx, address)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	x := &Exchange{client: c, conn: used}
	x.stop = context.AfterFunc(ctx, func() { _ = used.SetDeadline(time.Unix(1, 0)) })
	if err := x.send(r, body); err != nil {
		x.abort()
		return nil, &NoAnswerError{Address: address, Reused: used.served > 0, Cause: causeOf(ctx, err)}
	}
	x.Response, err = readHead(used.reader, r)
	if err != nil {
		x.abort()
		return nil, &NoAnswerError{Address: address, Reused: used.served > 0, Cause: causeOf(ctx, err)}
	}
	return x, nil
}

// causeOf prefers the end of the context to the time-out that it brought about.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// send writes the request; a long body is sent beside the reading of the answer.
func (x *Exchange) send(r *http.Request, body []byte) error {
	if len(body) <= aheadBytes {
		return r.Write(x.conn)
	}
	x.sent = make(chan error, 1)
	go func() { x.sent <- r.Write(x.conn) }()
	return nil
}

// readHead reads the head of the answer, past interim ones.
func readHead(reader *bufio.Reader, r *http.Request) (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(reader, r)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.WithStack(&ProtocolError{Reason: "too many interim answers"})
}

// ProtocolError says that an endpoint doesn't keep to the protocol.
type ProtocolError struct {
	Reason string
}

// Error gives the reason.
func (e *ProtocolError) Error() string { return e.Reason }

// Read reads the body of the answer. At its whole end the connection is kept
// if nothing speaks against it.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		x.finish()
	}
	return n, err
}

// finish keeps the connection after a whole answer, unless the request was not
// sent whole, or bytes follow that belong to no request.
func (x *Exchange) finish() {
	if x.ended {
		return
	}
	sentWhole := true
	if x.sent != nil {
		select {
		case err := <-x.sent:
			sentWhole = err == nil
		default:
			sentWhole = false
		}
	}
	framed := x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0
	if !sentWhole || !framed || x.Response.Close || x.conn.reader.Buffered() > 0 || !x.stop() {
		x.abort()
		return
	}
	x.ended = true
	x.conn.served++
	x.conn.until = time.Now().Add(idleTime(x.Response.Header))
	x.client.keep(x.conn)
}

// idleTime is how long the endpoint keeps an idle connection, less a margin.
func idleTime(h http.Header) time.Duration {
	announced, ok := parseKeepAlive(h.Get(keepAliveName))
	if !ok {
		return defaultIdle
	}
	return max(announced-idleMargin, 0)
}

// abort closes the connection, which ends the request at the endpoint.
func (x *Exchange) abort() {
	if x.ended {
		return
	}
	x.ended = true
	x.stop()
	_ = x.conn.Close()
}

// Close ends the exchange. A connection whose answer was not read to its end
// is closed.
func (x *Exchange) Close() { x.abort() }

// connect returns a kept connection that is still good, or a new one.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	for {
		kept := c.take(address)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.until) && quiet(kept.Conn) {
			_ = kept.SetDeadline(time.Time{})
			return kept, nil
		}
		_ = kept.Close()
	}
	dialer := net.Dialer{Timeout: DialTimeout, Control: SetUserTimeout, KeepAlive: -1}
	made, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c.mu.Lock()
	c.stats.Dials++
	c.mu.Unlock()
	return &conn{Conn: made, reader: bufio.NewReaderSize(made, bufferBytes), address: address}, nil
}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	return errors.CombineErrors(err, set)
}

// quiet reports whether an idle connection is open and has nothing to read.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, peeked := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(peeked, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// take removes the connection used last.
func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.idle[address] = kept[:len(kept)-1]
	c.stats.Reuses++
	return last
}

// keep returns a connection for the next request.
func (c *Client) keep(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Tidy closes connections that were idle for long, and those to addresses
// that are no longer wanted.
func (c *Client) Tidy(now time.Time, wanted map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.idle {
		good := kept[:0]
		for _, k := range kept {
			if wanted[address] && now.Before(k.until) {
				good = append(good, k)
				continue
			}
			_ = k.Close()
		}
		clear(kept[len(good):])
		c.idle[address] = good
		if len(good) == 0 {
			delete(c.idle, address)
		}
	}
}

// Stats returns the counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
