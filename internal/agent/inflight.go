package agent

import (
	"context"
	"sync"
)

// inFlightCounter counts the requests in flight. Unlike with a sync.WaitGroup,
// add may run concurrently with wait while the count is zero: a request that
// arrives while the agent stops is counted until it is refused.
type inFlightCounter struct {
	mu    sync.Mutex
	count int
	zero  chan struct{} // closed when count reaches zero; nil without a waiter
}

func (c *inFlightCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

// done removes a request from the count, and wakes the waiters if it was the last one.
func (c *inFlightCounter) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.zero != nil {
		close(c.zero)
		c.zero = nil
	}
}

// wait returns nil once nothing is in flight, or the cause if ctx ends first.
func (c *inFlightCounter) wait(ctx context.Context) error {
	select {
	case <-c.zeroSignal():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// zeroSignal returns a channel that is closed once nothing is in flight.
func (c *inFlightCounter) zeroSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zero == nil {
		c.zero = make(chan struct{})
	}
	zero := c.zero
	if c.count == 0 {
		close(zero)
		c.zero = nil
	}
	return zero
}
