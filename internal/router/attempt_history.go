package router

// attemptHistory lists the endpoints that a request has been sent to.
type attemptHistory struct {
	excluded   []string // refused or failed the request: not selected again
	lastResort []string // busy or preempted the request: selected again once no other endpoint is left
	attempts   int
}

// record adds a finished attempt.
func (h *attemptHistory) record(endpoint string, mayReuse bool) {
	h.attempts++
	if mayReuse {
		h.lastResort = append(h.lastResort, endpoint)
		return
	}
	h.excluded = append(h.excluded, endpoint)
}
