package inbound

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minSilence is how long a client may be silent until its connection may be closed for another one. It covers a
	// round trip and the retransmission of a lost request.
	minSilence = 250 * time.Millisecond
	// evictionLinger is how long an evicted connection is read after its close response.
	evictionLinger = 200 * time.Millisecond
	// evictionShare is the divisor of the connections that gives how many may be closing, or free, for new ones.
	evictionShare = 8
	// evictionBatch is the divisor of that share that gives how many connections are evicted beyond those in excess, so that
	// the search for them is not repeated for each new connection.
	evictionBatch = 4
	// evictionInterval is the time until a listener without room looks again for silent clients.
	evictionInterval = 50 * time.Millisecond
)

// EvictedError reports that a connection whose client was silent was closed in favour of another one.
type EvictedError struct{}

func (e *EvictedError) Error() string {
	return "the connection was silent while connections were scarce"
}

// makeRoom closes connections of silent clients if few more fit.
func (l *Listener) makeRoom() {
	for _, c := range l.beginEvictions(time.Now().Add(-minSilence)) {
		l.options.OnRefused(c.RemoteAddr(), errors.WithStack(&EvictedError{}))
		go c.closeEvicted()
	}
}

// beginEvictions marks connections as evicted whose clients have been silent since a time or before it, if few more fit,
// and returns them. Clients that have never sent a request come first, those that have had their response next, and
// those whose request body is awaited last; among them those that have been silent for longest.
func (l *Listener) beginEvictions(since time.Time) (evicted []*Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := max(l.options.MaxConnections/evictionShare, 1)
	excess := len(l.conns) - l.evicting - (l.options.MaxConnections - share)
	if excess <= 0 {
		return nil
	}
	type candidate struct {
		conn  *Conn
		phase phase
		since time.Time
	}
	var silent []candidate
	for c := range l.conns {
		if p, began := c.state(); p.isSilent() && !began.After(since) {
			silent = append(silent, candidate{c, p, began})
		}
	}
	slices.SortFunc(silent, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.phase, b.phase), a.since.Compare(b.since)) })
	for _, s := range silent[:min(len(silent), excess+share/evictionBatch, share-l.evicting)] {
		if s.conn.beginEviction(s.phase, s.since) {
			evicted = append(evicted, s.conn)
		}
	}
	l.evicting += len(evicted)
	return evicted
}

// beginEviction marks a connection that is in a phase since a time as evicted. It reports false if the client is no
// longer silent.
func (c *Conn) beginEviction(p phase, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != p || c.since != since {
		return false
	}
	c.awaitsBody = p == phaseReadingBody
	c.phase = phaseEvicted
	return true
}

func (c *Conn) isEvicted() bool {
	p, _ := c.state()
	return p == phaseEvicted
}

// IdleCloser is a connection that can tell its client that it is closed and that no request on it is read any more.
type IdleCloser interface {
	// CloseIdle does so, and goes on reading for the linger time.
	CloseIdle(linger time.Duration)
}

// closeEvicted closes an evicted connection. A handler that waits for the body of a request gets an *EvictedError, and
// its response ends the connection.
func (c *Conn) closeEvicted() {
	c.mu.Lock()
	awaitsBody := c.awaitsBody
	c.mu.Unlock()
	closer, ok := c.Conn.(IdleCloser)
	switch {
	case awaitsBody:
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	case ok:
		closer.CloseIdle(evictionLinger)
	default:
		_ = c.Close()
	}
}
