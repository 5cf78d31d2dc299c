package agent

import (
	"net/http"
	"sync"
	"time"
)

// coalesceShare is the part of a class's target between tokens for which
// tokens may be held back to travel together.
const coalesceShare = 3

// coalescer passes pieces of a stream on. The first goes at once; later ones
// are joined while the last flush is less than the window ago. A piece that
// waits is sent at the end of the window, whether or not another has come.
type coalescer struct {
	mu      sync.Mutex
	to      http.ResponseWriter
	control *http.ResponseController
	window  time.Duration
	last    time.Time // of the last flush
	timer   *time.Timer
	held    bool
	closed  bool
	failed  error
}

// newCoalescer returns a coalescer for a class's target between tokens; 0 or
// less sends every piece at once.
func newCoalescer(to http.ResponseWriter, target time.Duration) *coalescer {
	return &coalescer{to: to, control: http.NewResponseController(to), window: target / coalesceShare}
}

// write takes one piece. An error says that the receiver is gone, and stays.
func (c *coalescer) write(piece []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return c.failed
	}
	now := time.Now()
	if !c.held {
		_ = c.control.SetWriteDeadline(now.Add(writeStall))
	}
	if _, c.failed = c.to.Write(piece); c.failed != nil {
		return c.failed
	}
	wait := c.last.Add(c.window).Sub(now)
	if wait <= 0 {
		c.flush(now)
		return c.failed
	}
	if !c.held {
		c.held = true
		c.arm(wait)
	}
	return nil
}

// arm starts the timer that ends the window.
func (c *coalescer) arm(wait time.Duration) {
	if c.timer == nil {
		c.timer = time.AfterFunc(wait, c.windowOver)
		return
	}
	c.timer.Reset(wait)
}

// windowOver sends what was held.
func (c *coalescer) windowOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held && !c.closed {
		c.flush(time.Now())
	}
}

// flush sends what was written. The caller holds the lock.
func (c *coalescer) flush(now time.Time) {
	c.held = false
	c.last = now
	if err := c.control.Flush(); err != nil && c.failed == nil {
		c.failed = err
	}
}

// close ends the use of the writer; what is held goes out with the end of the
// answer.
func (c *coalescer) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
}
