package router

// walk is the way of one request over its candidates.
type walk struct {
	tried []string // refused or failed it: not chosen again
	busy  []string // gave it back: chosen again once nothing else is left
	hops  int      // attempts so far
	moves int      // late moves offered
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

// maxLateMoves bounds how often a waiting request looks for a better place.
const maxLateMoves = 3

// takeLateMove reports whether this attempt may be handed back at half of the
// patience that is left. An attempt that may be moved at once is not.
func (w *walk) takeLateMove(picked choice) bool {
	if w.moves == maxLateMoves || picked.mayMove {
		return false
	}
	w.moves++
	return true
}
