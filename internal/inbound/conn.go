package inbound

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// refusalLinger is how long a connection is read after a refusal, and refusalLingerBytes how much: closing it with
	// unread bytes would reset it, and the client might not get the refusal.
	refusalLinger      = 500 * time.Millisecond
	refusalLingerBytes = 256 << 10
	// refusalWriteTimeout is how long the client may take to accept a refusal.
	refusalWriteTimeout = 100 * time.Millisecond
	refusalRetryAfter   = "0.5" // seconds
)

// HeadTooLongError reports a request head over the limit.
type HeadTooLongError struct {
	LimitBytes int
}

func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("the head of the request is longer than %d bytes", e.LimitBytes)
}

// HeadBudgetError reports that the heads of open requests leave no room for another one.
type HeadBudgetError struct{}

func (e *HeadBudgetError) Error() string { return "no memory is left for the head of the request" }

// phase is what a client's connection is doing. The silent ones are in the order in which connections are evicted.
type phase uint8

const (
	phaseNew         phase = iota // no request has been read, or only a part of its head
	phaseIdle                     // the last request has its response; a part of the next head may have been read
	phaseReadingBody              // a handler waits for the body of a request
	phaseHeadRead                 // the server gets a whole head
	phaseServing
	phaseEvicted
)

// isSilent reports whether the client is to send something.
func (p phase) isSilent() bool { return p <= phaseReadingBody }

// Conn is a client's connection. The server reads it from one goroutine at a time.
type Conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once

	// Of the goroutine that reads.
	head    requestHead
	partial []byte // of a head that has not ended
	whole   []byte // with a whole head; what the server has not read
	readErr error  // ended the head

	mu          sync.Mutex
	phase       phase
	since       time.Time // when the phase began
	silentPhase phase     // phaseNew until a request has been served, then phaseIdle
	headDone    bool      // what is read next is of another head
	awaitsBody  bool      // a handler waited for the body when the connection was evicted
	body        bodyState // of the request that is served
	closed      bool
	taken       int64 // from the budget, for the head of the request
	bodyBytes   int64 // taken for its body
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// state returns the phase and when it began.
func (c *Conn) state() (phase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since
}

// setPhase changes the phase from one to another, and reports whether it was the former.
func (c *Conn) setPhase(from, to phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != from {
		return false
	}
	c.phase = to
	return true
}

// beginHeadRead records that the server gets a whole head, or an error in its place. It reports false if the connection
// is evicted.
func (c *Conn) beginHeadRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.isSilent() {
		c.phase = phaseHeadRead
	}
	return c.phase != phaseEvicted
}

func (c *Conn) isSilent() bool {
	p, _ := c.state()
	return p.isSilent()
}

// beginServing records that the server has read a whole head.
func (c *Conn) beginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseEvicted {
		c.phase = phaseServing
	}
}

// endServing records that the server has sent a response and waits for the next request.
func (c *Conn) endServing() {
	c.mu.Lock()
	if c.phase != phaseEvicted {
		c.phase, c.since = phaseIdle, time.Now()
	}
	c.silentPhase, c.headDone, c.body = phaseIdle, true, bodyNone
	c.releaseBodyMemory()
	c.mu.Unlock()
	c.takeMemory(0)
}

// takeMemory replaces the memory that the head has taken. It reports false if the budget has no room for more.
func (c *Conn) takeMemory(bytes int64) bool {
	budget := c.listener.options.Memory
	if budget == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes == c.taken || c.closed {
		return true
	}
	if !budget.change(c.taken, bytes) {
		return false
	}
	c.taken = bytes
	return true
}

// memory returns what the head has taken.
func (c *Conn) memory() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken
}

// beginRead returns whether a head is to be read. The error is io.ErrUnexpectedEOF if nothing is read any more.
func (c *Conn) beginRead() (readsHead bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.limitDiscard(); err != nil {
		return false, err
	}
	if c.headDone {
		c.head, c.headDone = requestHead{}, false
	}
	if c.phase == phaseHeadRead {
		c.phase = c.silentPhase // the server needs more, as after empty lines before a request
	}
	return c.phase == phaseNew || c.phase == phaseIdle || c.phase == phaseEvicted, nil
}

// Read passes whole heads, and what follows them, to the server.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.whole) > 0 {
		n := copy(p, c.whole)
		if c.whole = c.whole[n:]; len(c.whole) == 0 {
			c.whole = nil
		}
		return n, nil
	}
	if err := c.readErr; err != nil {
		c.readErr = nil
		return 0, err
	}
	readsHead, err := c.beginRead()
	switch {
	case err != nil:
		return 0, err
	case readsHead && c.listener.options.MaxHeadBytes != nil:
		return c.readHead(p)
	}
	return c.Conn.Read(p)
}

// readHead reads until a head is whole or the connection fails, and returns its beginning. A head that is refused, and
// what arrives after the eviction, doesn't reach the server: it gets io.EOF.
func (c *Conn) readHead(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if c.isEvicted() {
			if c.partial = nil; err != nil {
				return 0, io.EOF
			}
			continue
		}
		began := c.head.bytes == 0
		whole := c.head.add(p[:n])
		if refusal := c.checkHead(whole || err != nil); refusal != nil {
			c.refuse(p, refusal)
			return 0, io.EOF
		}
		switch {
		case err != nil && !c.isSilent():
			c.partial = append(c.partial, p[:n]...)
			return 0, err // the server reads on after the response that it is about to send
		case err != nil && c.beginHeadRead():
			c.readErr = err
			return c.deliver(p, n)
		case err != nil:
			return 0, io.EOF
		case whole && c.beginHeadRead():
			return c.deliver(p, n)
		case whole:
			continue // evicted
		}
		if began && c.listener.options.HeadTimeout > 0 {
			_ = c.SetReadDeadline(time.Now().Add(c.listener.options.HeadTimeout)) // fails only on a closed connection
		}
		c.partial = append(c.partial, p[:n]...)
	}
}

// deliver returns to the server the beginning of a head that ends with the n bytes of p, and keeps the rest, and the
// error that ended it, for the next reads.
func (c *Conn) deliver(p []byte, n int) (int, error) {
	if len(c.partial) > 0 {
		c.whole, c.partial = append(c.partial, p[:n]...), nil
		n = copy(p, c.whole)
		c.whole = c.whole[n:]
	}
	if n == 0 {
		err := c.readErr
		c.readErr = nil
		return 0, err
	}
	return n, nil
}

// checkHead returns why the head is refused, nil if it isn't. Until it is to be parsed, it takes the memory of its
// bytes only.
func (c *Conn) checkHead(isParsed bool) error {
	if limit := c.listener.options.MaxHeadBytes(); c.head.bytes > limit {
		return errors.WithStack(&HeadTooLongError{LimitBytes: limit})
	}
	lines := 0
	if isParsed {
		lines = c.head.lines
	}
	if !c.takeMemory(max(headMemory(c.head.bytes, lines), c.memory())) {
		return errors.WithStack(&HeadBudgetError{})
	}
	return nil
}

// refuse answers a request whose head is not read on. It did not run.
func (c *Conn) refuse(buffer []byte, reason error) {
	c.partial = nil
	if !c.beginHeadRead() {
		return
	}
	c.takeMemory(0)
	c.listener.options.OnRefused(c.RemoteAddr(), reason)
	status, retryAfter := http.StatusRequestHeaderFieldsTooLarge, ""
	var noMemory *HeadBudgetError
	if errors.As(reason, &noMemory) {
		status, retryAfter = http.StatusServiceUnavailable, "Retry-After: "+refusalRetryAfter+"\r\n"
	}
	now := time.Now()
	_ = c.SetWriteDeadline(now.Add(refusalWriteTimeout))
	_ = c.SetReadDeadline(now.Add(refusalLinger))
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), retryAfter); err != nil {
		return // the client is gone
	}
	for discarded := 0; discarded < refusalLingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
}

// Close closes the connection and makes room for another one.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.takeMemory(0)
		c.mu.Lock()
		c.closed = true
		c.releaseBodyMemory()
		c.mu.Unlock()
		c.listener.remove(c)
	})
	return c.Conn.Close()
}
