package router

// walk is the way of one request over its candidates.
type walk struct {
	tried []string // refused or failed it: not chosen again
	busy  []string // gave it back: chosen again once nothing else is left
	hops  int      // attempts so far
	moved bool     // the late move was offered
}

// leave notes the end of an attempt.
func (w *walk) leave(endpoint string, handedBack bool) {
	w.hops++
	if handedBack {
		w.busy = append(w.busy, endpoint)
		return
	}
	w.tried = append(w.tried, endpoint)
}

// takeLateMove reports whether this attempt may be handed back at half of its
// patience. It is offered once, to an attempt that may not be moved at once.
func (w *walk) takeLateMove(picked choice) bool {
	if w.moved || picked.mayMove {
		return false
	}
	w.moved = true
	return true
}
