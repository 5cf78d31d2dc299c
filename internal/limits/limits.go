// Package limits bounds the requests, tokens and concurrency of a workspace
// across all routers without a message for each request.
//
// Every router reports the usage that it observes and receives the totals over all
// routers about once a second. While the totals are fresh, a router admits the
// fraction of a workspace's requests that keeps the total at the limit, and all
// requests while the total is below it. Without fresh totals, a router enforces its
// own share of each limit and allows bursts of a few seconds of the rate.
//
// A Limiter has no clock, goroutine, randomness or I/O. It is not safe for
// concurrent use.
package limits

import (
	"fmt"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Parameters of the limits.
const (
	maxTotalsAge      = 5 * time.Second  // older totals are not used
	localBurstPeriod  = 10 * time.Second // a local burst may hold the requests or tokens of this time
	minBurstRequests  = 2.0              // least capacity of a local burst
	maxFractionGrowth = 1.25             // factor by which the admitted fraction may grow at each SetTotals
	minAdmitCredit    = 0.5              // to admit a request; below 1 so that the first requests at a router are not all refused
	minAdmitFraction  = 0.01             // the fraction grows from at least this
	maxRetryAfter     = 30 * time.Second
	maxIdleReports    = 60 // reports without use after which a workspace is removed
)

// Dimension is the quantity that a limit bounds.
type Dimension string

// Dimensions of a limit.
const (
	Requests    Dimension = "requests per second"
	Tokens      Dimension = "tokens per second"
	Concurrency Dimension = "concurrency"
)

// ExceededError is the refusal of a request whose workspace is over a limit. The
// request did not run.
type ExceededError struct {
	Workspace  string
	Limit      string
	Dimension  Dimension
	RetryAfter time.Duration
}

func (e *ExceededError) Error() string {
	return fmt.Sprintf("workspace %s is over limit %s in %s", e.Workspace, e.Limit, e.Dimension)
}

// Usage is the usage of one workspace at a router since its last report, or the total
// over all routers.
type Usage struct {
	RequestsPerSecond float64 // admitted or not
	TokensPerSecond   float64 // of answers
	Running           float64 // requests running at the time of the report
}

// Add returns the sum of two usages.
func (u Usage) Add(v Usage) Usage {
	return Usage{
		RequestsPerSecond: u.RequestsPerSecond + v.RequestsPerSecond,
		TokensPerSecond:   u.TokensPerSecond + v.TokensPerSecond,
		Running:           u.Running + v.Running,
	}
}

// Limiter enforces the limits of workspaces at one router.
type Limiter struct {
	routers       int
	configuration *ticket.Configuration
	workspaces    map[string]*workspaceState
	totalsAt      time.Time
	lastReportAt  time.Time
}

// workspaceState is the state of one workspace at a router.
type workspaceState struct {
	requestCount, tokenCount int // since the last report
	running                  int
	idleReports              int     // consecutive reports without use
	admitFraction            float64 // part of the requests admitted while the totals are fresh
	limitedBy                Dimension
	admitCredit              float64
	requestBucket            rateBucket
	tokenBucket              rateBucket
}

// New returns a limiter for one of the given number of routers.
func New(routers int) *Limiter {
	return &Limiter{routers: max(routers, 1), workspaces: map[string]*workspaceState{}}
}

// Configure sets the configuration and the number of routers.
func (l *Limiter) Configure(configuration *ticket.Configuration, routers int) {
	l.configuration = configuration
	l.routers = max(routers, 1)
}

// Admit admits a request of the workspace or returns an *ExceededError. Every admitted
// request must be ended by Finish.
func (l *Limiter) Admit(now time.Time, workspace string) error {
	limit, ok := l.limitOf(workspace)
	if !ok {
		return nil
	}
	w := l.workspaceState(workspace)
	w.requestCount++
	var err *ExceededError
	if now.Sub(l.totalsAt) < maxTotalsAge {
		err = w.admitByFraction()
	} else {
		err = w.admitLocally(now, limit, float64(l.routers))
	}
	if err != nil {
		err.Workspace, err.Limit = workspace, limit.Name
		err.RetryAfter = min(max(err.RetryAfter, time.Second), maxRetryAfter)
		return err
	}
	w.running++
	return nil
}

// Finish ends an admitted request and adds the tokens of its answer to the usage.
func (l *Limiter) Finish(now time.Time, workspace string, tokens int) {
	w := l.workspaces[workspace]
	if w == nil {
		return
	}
	w.running = max(w.running-1, 0)
	w.tokenCount += tokens
	w.tokenBucket.level -= float64(tokens)
}

// Report returns the usage of each limited workspace that was in use since the last
// report. It is empty at the first call.
func (l *Limiter) Report(now time.Time) map[string]Usage {
	seconds := now.Sub(l.lastReportAt).Seconds()
	first := l.lastReportAt.IsZero()
	l.lastReportAt = now
	usages := make(map[string]Usage, len(l.workspaces))
	for name, w := range l.workspaces {
		if l.skipIdle(name, w) {
			continue
		}
		if !first && seconds > 0 {
			usages[name] = Usage{
				RequestsPerSecond: float64(w.requestCount) / seconds,
				TokensPerSecond:   float64(w.tokenCount) / seconds,
				Running:           float64(w.running),
			}
		}
		w.requestCount, w.tokenCount = 0, 0
	}
	return usages
}

// skipIdle reports whether a workspace was idle since the last report and is to be
// left out of this one. It removes a workspace after maxIdleReports idle reports.
func (l *Limiter) skipIdle(name string, w *workspaceState) bool {
	if w.requestCount > 0 || w.tokenCount > 0 || w.running > 0 {
		w.idleReports = 0
		return false
	}
	w.idleReports++
	if w.idleReports >= maxIdleReports {
		delete(l.workspaces, name)
	}
	return true
}

// SetTotals sets the totals over all routers and adapts the admitted fractions.
func (l *Limiter) SetTotals(now time.Time, totals map[string]Usage) {
	l.totalsAt = now
	for name, w := range l.workspaces {
		if limit, ok := l.limitOf(name); ok {
			w.updateFraction(limit, totals[name])
		}
	}
}

// limitOf returns the limit of a workspace; false if it has none.
func (l *Limiter) limitOf(workspace string) (ticket.Limit, bool) {
	if l.configuration == nil {
		return ticket.Limit{}, false
	}
	limit, ok := l.configuration.Limits[l.configuration.Workspaces[workspace].Limit]
	return limit, ok
}

// workspaceState returns the state of a workspace, which it creates if there is none.
func (l *Limiter) workspaceState(workspace string) *workspaceState {
	w := l.workspaces[workspace]
	if w == nil {
		w = &workspaceState{admitFraction: 1}
		l.workspaces[workspace] = w
	}
	return w
}

// admitByFraction admits admitFraction of the requests, evenly spread.
func (w *workspaceState) admitByFraction() *ExceededError {
	w.admitCredit += w.admitFraction
	if w.admitCredit < minAdmitCredit {
		return &ExceededError{Dimension: w.limitedBy, RetryAfter: time.Second}
	}
	w.admitCredit--
	return nil
}

// updateFraction sets the admitted fraction from the total usage. The request rate
// counts refused requests too, so that limit/rate is the fraction. Tokens and
// concurrency come from admitted requests only, so that limit/total scales the
// present fraction.
func (w *workspaceState) updateFraction(limit ticket.Limit, total Usage) {
	next, cause := 1.0, Requests
	lowerTo := func(bound int, usage, fraction float64, dimension Dimension) {
		if bound <= 0 || usage <= 0 {
			return
		}
		if candidate := fraction * float64(bound) / usage; candidate < next {
			next, cause = candidate, dimension
		}
	}
	lowerTo(limit.RequestsPerSecond, total.RequestsPerSecond, 1, Requests)
	lowerTo(limit.TokensPerSecond, total.TokensPerSecond, w.admitFraction, Tokens)
	lowerTo(limit.Concurrency, total.Running, w.admitFraction, Concurrency)
	w.admitFraction = min(next, max(w.admitFraction, minAdmitFraction)*maxFractionGrowth)
	w.limitedBy = cause
}

// admitLocally admits within the router's own share of the limit.
func (w *workspaceState) admitLocally(now time.Time, limit ticket.Limit, routers float64) *ExceededError {
	if limit.Concurrency > 0 && float64(w.running) >= max(float64(limit.Concurrency)/routers, 1) {
		return &ExceededError{Dimension: Concurrency, RetryAfter: time.Second}
	}
	if limit.TokensPerSecond > 0 {
		rate := float64(limit.TokensPerSecond) / routers
		if wait := w.tokenBucket.refill(now, rate); wait > 0 {
			return &ExceededError{Dimension: Tokens, RetryAfter: wait}
		}
	}
	if limit.RequestsPerSecond > 0 {
		rate := float64(limit.RequestsPerSecond) / routers
		if wait := w.requestBucket.refill(now, rate); wait > 0 {
			return &ExceededError{Dimension: Requests, RetryAfter: wait}
		}
		w.requestBucket.level--
	}
	return nil
}

// rateBucket is a token bucket whose level may become negative.
type rateBucket struct {
	level      float64
	refilledAt time.Time
}

// refill adds the credit since the last call and returns the time until the level is
// at least 1; 0 if it is now.
func (b *rateBucket) refill(now time.Time, rate float64) time.Duration {
	capacity := max(rate*localBurstPeriod.Seconds(), minBurstRequests)
	if b.refilledAt.IsZero() {
		b.level += capacity
		b.refilledAt = now
	}
	b.level = min(b.level+rate*now.Sub(b.refilledAt).Seconds(), capacity)
	b.refilledAt = now
	if b.level >= 1 {
		return 0
	}
	return time.Duration((1 - b.level) / rate * float64(time.Second))
}
