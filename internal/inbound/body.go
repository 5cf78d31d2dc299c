package inbound

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// bodyDiscardTime is how long net/http may read the rest of a body that the handler has not read. It does so before it
// writes the response, so that the connection can be used again.
const bodyDiscardTime = 200 * time.Millisecond

// bodyMemoryFactor is the memory of a byte of a body: the buffer that it is read into grows by doubling.
const bodyMemoryFactor = 2

// bodyState is how far the body of the request has been read.
type bodyState uint8

const (
	bodyNone      bodyState = iota // there is none, or it has been read to its end
	bodyUnread                     // the handler has not read it to its end
	bodyDiscarded                  // net/http reads the rest
	bodyFailed                     // nothing is read any more
)

// body is the body of a request that a handler reads.
type body struct {
	io.ReadCloser
	conn   *Conn
	writer http.ResponseWriter
	since  time.Time // of the first read
}

// BodyBudgetError reports that the bodies of open requests leave no room for the rest of another one.
type BodyBudgetError struct{}

func (e *BodyBudgetError) Error() string { return "no memory is left for the body of the request" }

// Read reads the body. After an error the connection is closed with the response.
func (b *body) Read(p []byte) (int, error) {
	if b.since.IsZero() {
		b.since = time.Now()
	}
	b.conn.beginBody(b.since)
	n, err := b.ReadCloser.Read(p)
	if !b.conn.takeBodyMemory(bodyMemoryFactor * int64(n)) {
		n, err = 0, errors.WithStack(&BodyBudgetError{})
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.conn.setBody(bodyNone) // before the phase ends: net/http may already read what follows the body
	default:
		b.conn.setBody(bodyFailed)
		b.writer.Header().Set("Connection", "close")
		if b.conn.isEvicted() {
			err = errors.WithStack(&EvictedError{})
		}
	}
	b.conn.setPhase(phaseReadingBody, phaseServing)
	return n, err
}

// beginBody records that a handler waits for the body of a request, since the first time that it did.
func (c *Conn) beginBody(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing {
		c.phase, c.since = phaseReadingBody, since
	}
}

// takeBodyMemory takes memory for a part of a body until the end of the request. It reports false if there is none left.
func (c *Conn) takeBodyMemory(bytes int64) bool {
	budget := c.listener.options.BodyMemory
	if budget == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !budget.TryAcquire(bytes) {
		return false
	}
	c.bodyBytes += bytes
	return true
}

// releaseBodyMemory returns what the body of a request has taken. Conn.mu must be held.
func (c *Conn) releaseBodyMemory() {
	if c.bodyBytes > 0 {
		c.listener.options.BodyMemory.Release(c.bodyBytes)
		c.bodyBytes = 0
	}
}

func (c *Conn) setBody(s bodyState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = s
}

// limitDiscard limits the time in which net/http reads what the handler has not read of a body. Conn.mu must be held.
func (c *Conn) limitDiscard() error {
	switch {
	case c.body == bodyFailed:
		return io.ErrUnexpectedEOF
	case c.body == bodyUnread && c.phase == phaseServing:
		c.body = bodyDiscarded
		_ = c.Conn.SetReadDeadline(time.Now().Add(bodyDiscardTime)) // fails only on a closed connection
	}
	return nil
}
