package router

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

// offered counts a classified request.
func (rt *Router) offered(q *query) {
	rt.options.Metrics.Add(metrics.ClassOffered+q.class.Name, 1)
}

// finished counts a whole answer whose first byte was ready at first and whose
// tokens came up to the present.
func (rt *Router) finished(q *query, first time.Time, tokens int) {
	m := rt.options.Metrics
	m.Add(metrics.ClassFinished+q.class.Name, 1)
	m.Time(metrics.ClassFirstToken+q.class.Name, first.Sub(q.received))
	if !q.attained(first, time.Now(), tokens) {
		return
	}
	m.Add(metrics.ClassAttained+q.class.Name, 1)
	m.Mark(metrics.Goodput)
}

// attained reports whether an answer met its class's targets: the first byte,
// and the mean time between tokens of a stream.
func (q *query) attained(first, last time.Time, tokens int) bool {
	if first.Sub(q.received) > time.Duration(q.class.FirstTokenTarget) {
		return false
	}
	if tokens < 2 || q.class.BetweenTokensTarget == 0 {
		return true
	}
	return last.Sub(first)/time.Duration(tokens-1) <= time.Duration(q.class.BetweenTokensTarget)
}

// counted counts a refusal.
func (rt *Router) counted(refused *dispatch.Refusal) {
	rt.options.Metrics.Add(metrics.Refused+string(refused.Type), 1)
}
