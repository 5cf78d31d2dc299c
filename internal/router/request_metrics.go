package router

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

// countOffered counts a classified request.
func (rt *Router) countOffered(req *callerRequest) {
	rt.options.Metrics.AddToCounter(metrics.ClassOfferedPrefix+req.class.Name, 1)
}

// recordCompletion records a complete answer that ends now and whose first byte was
// ready at firstByteAt. tokens is 0 for an answer that was not streamed.
func (rt *Router) recordCompletion(req *callerRequest, firstByteAt time.Time, tokens int) {
	m := rt.options.Metrics
	m.AddToCounter(metrics.ClassFinishedPrefix+req.class.Name, 1)
	m.RecordDuration(metrics.ClassFirstTokenPrefix+req.class.Name, firstByteAt.Sub(req.receivedAt))
	if !req.metLatencyTargets(firstByteAt, time.Now(), tokens) {
		return
	}
	m.AddToCounter(metrics.ClassAttainedPrefix+req.class.Name, 1)
	m.MarkMeter(metrics.Goodput)
}

// metLatencyTargets reports whether an answer met its class's targets for the time
// to the first byte and, for a stream, the mean time between tokens.
func (req *callerRequest) metLatencyTargets(firstByteAt, lastTokenAt time.Time, tokens int) bool {
	if firstByteAt.Sub(req.receivedAt) > time.Duration(req.class.FirstTokenTarget) {
		return false
	}
	if tokens < 2 || req.class.BetweenTokensTarget == 0 {
		return true
	}
	return lastTokenAt.Sub(firstByteAt)/time.Duration(tokens-1) <= time.Duration(req.class.BetweenTokensTarget)
}

func (rt *Router) countError(reqErr *dispatch.RequestError) {
	rt.options.Metrics.AddToCounter(metrics.RefusedPrefix+string(reqErr.Type), 1)
}
