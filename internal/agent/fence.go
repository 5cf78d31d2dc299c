package agent

import "sync"

// fenceGate holds the newest fencing number that the agent has seen. Orders with
// an older number are refused, whether or not the engine checks fencing numbers.
type fenceGate struct {
	mu     sync.Mutex
	newest uint64
}

// admit reports whether an order with this number may be executed. It returns
// the newest number seen, too.
func (f *fenceGate) admit(number uint64) (ok bool, newest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number < f.newest {
		return false, f.newest
	}
	f.newest = number
	return true, f.newest
}
