// Package upstream is an HTTP/1.1 client with a connection pool. Its errors tell
// whether a request without a response may have run: *NotSentError if no byte of it
// was sent, *NoResponseError otherwise.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/trefoilkeel/trefoilkeel/internal/answer"
)

// Limits of a connection.
const (
	// DialTimeout is well over a round trip between failure domains. A dial does not wait
	// for the retransmission of a lost SYN, which follows only after a second.
	DialTimeout = 150 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged until the connection
	// is closed.
	tcpUserTimeout = 2 * time.Second
	// An idle connection expires idleTimeoutMargin before the endpoint's announced
	// idle timeout.
	idleTimeoutMargin = 700 * time.Millisecond
	// defaultIdleTimeout applies if the endpoint announces no idle timeout.
	defaultIdleTimeout = 3 * time.Second
	// A request with a body longer than concurrentSendBytes is sent concurrently with
	// reading the response.
	concurrentSendBytes = 4 << 10
	readBufferBytes     = 4 << 10
	maxInterimResponses = 5
	// maxSendEndDelay is how long the end of a concurrent send may take to be known after the response has ended.
	maxSendEndDelay = 200 * time.Millisecond
	// maxHeadBytes limits the status line and headers of a response, together with those
	// of the interim responses before it.
	maxHeadBytes    = 32 << 10
	maxHeadLines    = 256 // of them
	keepAliveHeader = "Keep-Alive"
)

// NotSentError reports that no byte of a request was sent: it did not run.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return "not sent to " + e.Address + ": " + e.Cause.Error()
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// NoResponseError reports that a request was sent, at least in part, and got no
// response: it may have run.
type NoResponseError struct {
	Address string
	Reused  bool // the connection had been used for earlier requests
	Cause   error
}

func (e *NoResponseError) Error() string {
	return "no answer from " + e.Address + ": " + e.Cause.Error()
}

func (e *NoResponseError) Unwrap() error { return e.Cause }

// Stats counts new connections, and connections taken from the pool. The latter include
// those that turned out to be expired or closed.
type Stats struct {
	Dials, Reuses int64
}

// Client sends requests over pooled connections. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	idle  map[string][]*conn // by address, most recently used last
	stats Stats
}

// New returns a client with an empty pool.
func New() *Client { return &Client{idle: map[string][]*conn{}} }

// conn is a connection with at most one request at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader // reads through head
	head      *headLimiter
	address   string
	requests  int       // completed
	expiresAt time.Time // not reused after this
}

// Exchange is a request and its response.
type Exchange struct {
	Response   *http.Response
	client     *Client
	conn       *conn
	ctx        context.Context
	sentAt     time.Time
	stopWatch  func() bool // stops watching the context
	sendResult chan error  // receives the result of a concurrent send, nil if the send is not concurrent or its result is known
	sendErr    error       // the result, once it is known
	endErr     error       // why the end of the response is not believed
	released   bool        // the connection has been pooled or closed
}

// Do sends a request and reads the response up to its body. If ctx ends before the
// exchange is closed, the request is cancelled. Errors are *NotSentError or
// *NoResponseError.
func (c *Client) Do(ctx context.Context, address string, r *http.Request, body []byte) (*Exchange, error) {
	connection, err := c.connect(ctx, address)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	x := &Exchange{client: c, conn: connection, ctx: ctx, sentAt: time.Now()}
	x.stopWatch = context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	if err := x.send(r, body); err != nil {
		x.abort()
		return nil, &NoResponseError{Address: address, Reused: connection.requests > 0, Cause: cancellationCause(ctx, err)}
	}
	connection.head.begin()
	x.Response, err = readFinalResponse(connection.reader, r)
	connection.head.end()
	if err != nil {
		x.abort()
		return nil, &NoResponseError{Address: address, Reused: connection.requests > 0, Cause: cancellationCause(ctx, err)}
	}
	return x, nil
}

// cancellationCause returns the cause of the context's end instead of the I/O timeout
// that the end caused.
func cancellationCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// send writes the request. A request with a long body is written in the background.
func (x *Exchange) send(r *http.Request, body []byte) error {
	if len(body) <= concurrentSendBytes {
		return r.Write(x.conn)
	}
	x.sendResult = make(chan error, 1)
	go func() { x.sendResult <- r.Write(x.conn) }()
	return nil
}

// readFinalResponse reads the status and header of the response, and skips interim
// (1xx) responses.
func readFinalResponse(reader *bufio.Reader, r *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(reader, r)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if containsStatusLine(response) {
			return nil, errors.WithStack(&ProtocolError{Reason: "an answer begins in the head of another"})
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.WithStack(&ProtocolError{Reason: "too many interim answers"})
}

// statusLine is the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}`)

// containsStatusLine reports whether a status line begins within the head of a response. If an
// endpoint sends the beginning of one response and then another one, they read as one head, which has
// the status of the former and the headers of the latter.
func containsStatusLine(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// ProtocolError reports that an endpoint violates the protocol.
type ProtocolError struct {
	Reason string
}

func (e *ProtocolError) Error() string { return e.Reason }

// Read reads the body of the response. At its end the connection is returned to the
// pool if it can be reused. The error is a *ProtocolError if the end is not believed.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.endErr != nil {
		return 0, x.endErr
	}
	n, err := x.Response.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if x.endErr = x.checkEnd(); x.endErr != nil {
		x.abort()
		return n, x.endErr
	}
	x.finish()
	return n, err
}

// checkEnd checks the end of a response. One that ends with its connection is complete only if the endpoint has
// read the request: a reset is reported once, and if the write of the request meets it, the read sees a plain end.
func (x *Exchange) checkEnd() error {
	if err := answer.CheckFields(x.Response.Trailer); err != nil {
		return errors.WithStack(&ProtocolError{Reason: err.Error()})
	}
	if x.Delimited() {
		return nil
	}
	if x.sendResult != nil {
		_ = x.conn.SetWriteDeadline(time.Now().Add(maxSendEndDelay)) // fails only on a closed connection
		x.sendErr, x.sendResult = <-x.sendResult, nil
	}
	if x.sendErr != nil {
		return errors.WithStack(&ProtocolError{Reason: "the answer ended before the request was sent: " + x.sendErr.Error()})
	}
	return nil
}

// finish returns the connection to the pool after a complete response. It closes the
// connection instead if the request was not completely sent, if the end of the
// response is not certain, or if unexpected bytes follow it.
func (x *Exchange) finish() {
	if x.released {
		return
	}
	sentCompletely := x.sendErr == nil
	if x.sendResult != nil {
		select {
		case err := <-x.sendResult:
			sentCompletely = err == nil
		default:
			sentCompletely = false
		}
	}
	if !sentCompletely || !x.Delimited() || x.Response.Close || x.conn.reader.Buffered() > 0 || !x.stopWatch() {
		x.abort()
		return
	}
	x.released = true
	x.conn.requests++
	x.conn.expiresAt = time.Now().Add(idleTimeout(x.Response.Header))
	x.client.putIdle(x.conn)
}

// Reused reports whether the connection had been used for earlier requests.
func (x *Exchange) Reused() bool { return x.conn.requests > 0 }

// Delimited reports whether the response says where it ends, by a length or chunks. Otherwise
// it ends with its connection, and an early end can't be told from a complete one.
func (x *Exchange) Delimited() bool {
	return x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0
}

// idleTimeout returns how long an idle connection may be reused: the endpoint's
// announced timeout less a margin.
func idleTimeout(h http.Header) time.Duration {
	announced, ok := parseKeepAlive(h.Get(keepAliveHeader))
	if !ok {
		return defaultIdleTimeout
	}
	return max(announced-idleTimeoutMargin, 0)
}

// abort closes the connection, which cancels the request at the endpoint.
func (x *Exchange) abort() {
	if x.released {
		return
	}
	x.released = true
	x.stopWatch()
	_ = x.conn.Close()
	if x.conn.requests > 0 && isTimeout(context.Cause(x.ctx)) {
		x.client.closeSilent(x.conn.address, x.silentSince())
	}
}

// silentSince returns when the endpoint last sent a part of the answer, or the time of the request.
func (x *Exchange) silentSince() time.Time {
	if x.conn.head.receivedAt.After(x.sentAt) {
		return x.conn.head.receivedAt
	}
	return x.sentAt
}

// isTimeout reports whether err says that the endpoint took too long, in contrast to a caller that gave up.
func isTimeout(err error) bool {
	var timeout interface {
		error
		Timeout() bool
	}
	return errors.As(err, &timeout) && timeout.Timeout()
}

// CloseConnectionAfterResponse closes the connection after the response, instead of
// returning it to the pool.
func (x *Exchange) CloseConnectionAfterResponse() { x.Response.Close = true }

// Close ends the exchange. If the response was not read to its end, the connection is
// closed.
func (x *Exchange) Close() { x.abort() }

// connect returns a usable connection from the pool, or a new one.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	for {
		pooled := c.takeIdle(address)
		if pooled == nil {
			break
		}
		if time.Now().Before(pooled.expiresAt) && isIdle(pooled.Conn) {
			_ = pooled.SetDeadline(time.Time{})
			return pooled, nil
		}
		_ = pooled.Close()
	}
	dialer := net.Dialer{Timeout: DialTimeout, Control: SetTCPUserTimeout, KeepAlive: -1}
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c.mu.Lock()
	c.stats.Dials++
	c.mu.Unlock()
	head := &headLimiter{Reader: dialed}
	return &conn{Conn: dialed, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), address: address}, nil
}

// headLimiter limits the bytes and lines that are read between begin and end, and checks them. The parser of
// net/http has no limit of its own for the head of a response, and short lines take many times their
// length once they are parsed.
type headLimiter struct {
	io.Reader
	active         bool
	remaining      int // bytes
	remainingLines int
	scanner        answer.HeadScanner
	receivedAt     time.Time // of the last bytes
}

func (l *headLimiter) begin() {
	l.active, l.remaining, l.remainingLines, l.scanner = true, maxHeadBytes, maxHeadLines, answer.HeadScanner{}
}

func (l *headLimiter) end() { l.active = false }

// Read fails with a *ProtocolError if the head is malformed, or once it is longer than maxHeadBytes or maxHeadLines.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.active {
		return l.receive(p)
	}
	if l.remaining <= 0 {
		return 0, &ProtocolError{Reason: "the head of the answer is too long"}
	}
	if l.remainingLines <= 0 {
		return 0, &ProtocolError{Reason: "the head of the answer has too many lines"}
	}
	n, err := l.receive(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.remainingLines -= bytes.Count(p[:n], []byte("\n")) // of the body too, in the last read
	if malformed := l.scanner.Scan(p[:n]); malformed != nil {
		return 0, errors.WithStack(&ProtocolError{Reason: malformed.Error()})
	}
	return n, err
}

// receive reads from the connection.
func (l *headLimiter) receive(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	if n > 0 {
		l.receivedAt = time.Now()
	}
	return n, err
}

// SetTCPUserTimeout limits how long sent data may stay unacknowledged. It is a Control function of
// net.Dialer and net.ListenConfig.
func SetTCPUserTimeout(network, address string, raw syscall.RawConn) error {
	return TCPUserTimeout(tcpUserTimeout)(network, address, raw)
}

// TCPUserTimeout returns a Control function that sets TCP_USER_TIMEOUT, which limits how long sent
// data may stay unacknowledged.
func TCPUserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
		})
		return errors.CombineErrors(err, setErr)
	}
}

// isIdle reports whether a connection is open and has no data to read.
func isIdle(c net.Conn) bool {
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
		_, _, recvErr := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// takeIdle removes the most recently used connection from the pool, nil if there is
// none.
func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	c.idle[address] = idle[:len(idle)-1]
	c.stats.Reuses++
	return last
}

// putIdle adds a connection to the pool.
func (c *Client) putIdle(pooled *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[pooled.address] = append(c.idle[pooled.address], pooled)
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pooled := range c.idle[address] {
		_ = pooled.Close()
	}
	delete(c.idle, address)
}

// closeSilent closes the idle connections to an address on which nothing has come since a time: another one that was open
// then has been silent since, and a failure of the network may have silenced them all.
func (c *Client) closeSilent(address string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = slices.DeleteFunc(c.idle[address], func(pooled *conn) bool {
		silent := pooled.head.receivedAt.Before(since)
		if silent {
			_ = pooled.Close()
		}
		return silent
	})
}

// CloseUnused closes idle connections that have expired or whose address is not one of
// addresses.
func (c *Client) CloseUnused(now time.Time, addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		reusable := idle[:0]
		for _, pooled := range idle {
			if addresses[address] && now.Before(pooled.expiresAt) {
				reusable = append(reusable, pooled)
				continue
			}
			_ = pooled.Close()
		}
		clear(idle[len(reusable):])
		c.idle[address] = reusable
		if len(reusable) == 0 {
			delete(c.idle, address)
		}
	}
}

func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
