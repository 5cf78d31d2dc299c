package agent

import (
	"context"
	"sync"
)

// flights counts the requests in flight. Unlike a sync.WaitGroup it may be
// entered while another goroutine waits for it at zero: a request that comes
// during a stop is counted until it is refused.
type flights struct {
	mu    sync.Mutex
	count int
	empty chan struct{} // closed at zero, nil while nobody waits
}

// enter counts a request.
func (f *flights) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

// leave ends a request that has entered.
func (f *flights) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.empty != nil {
		close(f.empty)
		f.empty = nil
	}
}

// wait returns once nothing is in flight, or the cause that ended ctx.
func (f *flights) wait(ctx context.Context) error {
	select {
	case <-f.none():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// none returns a channel that is closed once nothing is in flight.
func (f *flights) none() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.empty == nil {
		f.empty = make(chan struct{})
	}
	empty := f.empty
	if f.count == 0 {
		close(empty)
		f.empty = nil
	}
	return empty
}
