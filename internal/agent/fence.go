package agent

import "sync"

// fence keeps the newest fencing number that this agent has seen. Orders with
// an older number are refused, whether or not the engine checks it.
type fence struct {
	mu     sync.Mutex
	newest uint64
}

// admit reports whether an order with this number may be carried out, and the
// newest number seen.
func (f *fence) admit(number uint64) (ok bool, newest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number < f.newest {
		return false, f.newest
	}
	f.newest = number
	return true, f.newest
}
