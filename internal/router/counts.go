package router

import "sync/atomic"

// counts are the router's own counters.
type counts struct {
	refused  atomic.Uint64 // requests that got a refusal
	answered atomic.Uint64 // requests that got a whole answer
	broken   atomic.Uint64 // streams that ended visibly failed
	resumed  atomic.Uint64 // streams that went on at another endpoint
	retried  atomic.Uint64 // attempts paid from a retry budget
}

// Counts is a copy of the router's counters.
type Counts struct {
	Refused, Answered, Broken, Resumed, Retried uint64
}

// Counts returns the counters since the start.
func (rt *Router) Counts() Counts {
	return Counts{
		Refused:  rt.counts.refused.Load(),
		Answered: rt.counts.answered.Load(),
		Broken:   rt.counts.broken.Load(),
		Resumed:  rt.counts.resumed.Load(),
		Retried:  rt.counts.retried.Load(),
	}
}
