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

// Read reads the body. After an error the connection is closed with the response.
func (b *body) Read(p []byte) (int, error) {
	if b.since.IsZero() {
		b.since = time.Now()
	}
	b.conn.beginBody(b.since)
	n, err := b.ReadCloser.Read(p)
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
