package forward

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
)

const (
	// otherEntryRetryDelay tells a caller to retry at another entry almost at once.
	otherEntryRetryDelay = 10 * time.Millisecond
	// usualTimeFactor times the latency target is how long all but a few requests of a route take.
	usualTimeFactor = 4
)

// Stop is when the process of a router ends.
type Stop struct {
	// NoticedAt is when callers have learned of the stop: one that is declined from then on reaches
	// another entry with its next connection.
	NoticedAt time.Time
	Deadline  time.Time // the contexts of requests that still run are cancelled with a *StoppedError
}

// StoppedError reports that this entry stops before the request has ended. It is the cancellation cause
// of the requests that run at the deadline of the stop.
type StoppedError struct{}

func (*StoppedError) Error() string { return "this entry stops" }

// NotRunAtStop returns the error of a request that a stopping entry does not run.
func NotRunAtStop() *RequestError {
	return &RequestError{Reason: Unavailable, Detail: "this entry stops; another one serves", RetryAfter: otherEntryRetryDelay}
}

// SetStop makes the router decline requests that may outlast the stop.
func (rt *Router) SetStop(s Stop) { rt.stop.Store(&s) }

// mayOutlast reports whether a request that has not been sent to an endpoint may still run at the
// deadline of the stop. Until callers have learned of the stop, a request is taken that usually ends
// in time, because its next attempt may come here again; a stream has no usual time.
func (s *Stop) mayOutlast(now time.Time, r *Request) bool {
	if !r.Deadline.After(s.Deadline) {
		return false
	}
	if r.Route.Kind == catalog.EventStream || !now.Before(s.NoticedAt) || r.Route.LatencyTarget <= 0 {
		return true
	}
	return now.Add(usualTimeFactor * r.Route.LatencyTarget).After(s.Deadline)
}

// checkStop returns a *StoppedError if the request must not be sent to an endpoint, because it may
// outlast a stop. One that may have run goes on until the stop's deadline: no other entry can tell
// what came of it.
func (a *activeRequest) checkStop(now time.Time) error {
	stop := a.stop.Load()
	if stop == nil {
		return nil
	}
	if a.attempts.Runs == 0 && stop.mayOutlast(now, a.request) || !now.Before(stop.Deadline) {
		return errors.WithStack(&StoppedError{})
	}
	return nil
}

// endBy returns when the request ends at the latest.
func (a *activeRequest) endBy() time.Time {
	if stop := a.stop.Load(); stop != nil && stop.Deadline.Before(a.request.Deadline) {
		return stop.Deadline
	}
	return a.request.Deadline
}
