package router

// walk is the way of one request over its candidates.
type walk struct {
	tried []string // refused or failed it: not chosen again
	busy  []string // gave it back: chosen again once nothing else is left
	hops  int      // attempts so far
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
