// Package limits bounds the requests, tokens and concurrency of a workspace
// across all routers without a message for each request.
//
// Every router counts what it sees and admits. The sums over all routers come
// back about once a second; while they are fresh, a router admits the fraction
// of a workspace's requests that keeps the sum at its limit, and everything
// while the sum is below it. Without fresh sums a router enforces its own part
// of each limit, with room for a few seconds at once.
//
// A Limiter has no clock, goroutine, randomness or I/O. It is not safe for
// concurrent use.
package limits

import (
	"fmt"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Constants of the limits.
const (
	totalsFresh   = 5 * time.Second  // sums older than this are not used
	localBurst    = 10 * time.Second // of the local rate that may come at once
	minBurst      = 2.0              // requests that may always come at once
	maxGrowth     = 1.25             // of a fraction from one sum to the next
	admitFrom     = 0.5              // of a request's credit: a router's first ones are not all refused
	minFraction   = 0.01             // a fraction never falls below, so that it can grow again
	maxRetryAfter = 30 * time.Second
	idleReports   = 60 // reports without use after which a workspace is forgotten
)

// Dimension names what is limited.
type Dimension string

// The dimensions of a limit.
const (
	Requests    Dimension = "requests per second"
	Tokens      Dimension = "tokens per second"
	Concurrency Dimension = "concurrency"
)

// ExceededError says that a workspace is over a limit; nothing was run.
type ExceededError struct {
	Workspace  string
	Limit      string
	Dimension  Dimension
	RetryAfter time.Duration
}

// Error names the workspace, the limit and the dimension.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("workspace %s is over limit %s in %s", e.Workspace, e.Limit, e.Dimension)
}

// Usage is what a router saw of one workspace since its last report, or the
// sum of that over all routers, per second.
type Usage struct {
	Asked   float64 // requests, admitted or not
	Tokens  float64 // tokens of the answers
	Running float64 // requests running now
}

// Add returns the sum of two usages.
func (u Usage) Add(v Usage) Usage {
	return Usage{Asked: u.Asked + v.Asked, Tokens: u.Tokens + v.Tokens, Running: u.Running + v.Running}
}

// Limiter enforces the limits at one router.
type Limiter struct {
	routers    int
	state      *ticket.State
	workspaces map[string]*account
	totalsAt   time.Time
	reportedAt time.Time
}

// account is what a router keeps of one workspace.
type account struct {
	asked, tokens int // since the last report
	running       int
	idle          int     // reports without use
	fraction      float64 // admitted while the sums are fresh
	cause         Dimension
	credit        float64
	requests      bucket
	tokenBucket   bucket
}

// New returns a limiter for one of so many routers.
func New(routers int) *Limiter {
	return &Limiter{routers: max(routers, 1), workspaces: map[string]*account{}}
}

// Update takes a new configuration and the present number of routers.
func (l *Limiter) Update(state *ticket.State, routers int) {
	l.state = state
	l.routers = max(routers, 1)
}

// Take admits a request of the workspace or returns an *ExceededError. Finish
// must follow an admission.
func (l *Limiter) Take(now time.Time, workspace string) error {
	limit, ok := l.limit(workspace)
	if !ok {
		return nil
	}
	a := l.account(workspace)
	a.asked++
	var err *ExceededError
	if now.Sub(l.totalsAt) < totalsFresh {
		err = a.takeFraction()
	} else {
		err = a.takeLocal(now, limit, float64(l.routers))
	}
	if err != nil {
		err.Workspace, err.Limit = workspace, limit.Name
		err.RetryAfter = min(max(err.RetryAfter, time.Second), maxRetryAfter)
		return err
	}
	a.running++
	return nil
}

// Finish ends an admitted request and counts the tokens of its answer.
func (l *Limiter) Finish(now time.Time, workspace string, tokens int) {
	a := l.workspaces[workspace]
	if a == nil {
		return
	}
	a.running = max(a.running-1, 0)
	a.tokens += tokens
	a.tokenBucket.level -= float64(tokens)
}

// Report returns the usage of the limited workspaces that were in use since the
// last report, to be summed over the routers.
func (l *Limiter) Report(now time.Time) map[string]Usage {
	seconds := now.Sub(l.reportedAt).Seconds()
	first := l.reportedAt.IsZero()
	l.reportedAt = now
	usages := make(map[string]Usage, len(l.workspaces))
	for name, a := range l.workspaces {
		if l.forget(name, a) {
			continue
		}
		if !first && seconds > 0 {
			usages[name] = Usage{Asked: float64(a.asked) / seconds, Tokens: float64(a.tokens) / seconds, Running: float64(a.running)}
		}
		a.asked, a.tokens = 0, 0
	}
	return usages
}

// forget reports whether a workspace was idle since the last report: it is left
// out, and dropped once it has been idle for idleReports.
func (l *Limiter) forget(name string, a *account) bool {
	if a.asked > 0 || a.tokens > 0 || a.running > 0 {
		a.idle = 0
		return false
	}
	a.idle++
	if a.idle >= idleReports {
		delete(l.workspaces, name)
	}
	return true
}

// Totals takes the sums over all routers.
func (l *Limiter) Totals(now time.Time, totals map[string]Usage) {
	l.totalsAt = now
	for name, a := range l.workspaces {
		if limit, ok := l.limit(name); ok {
			a.adjust(limit, totals[name])
		}
	}
}

func (l *Limiter) limit(workspace string) (ticket.Limit, bool) {
	if l.state == nil {
		return ticket.Limit{}, false
	}
	limit, ok := l.state.Limits[l.state.Workspaces[workspace].Limit]
	return limit, ok
}

func (l *Limiter) account(workspace string) *account {
	a := l.workspaces[workspace]
	if a == nil {
		a = &account{fraction: 1}
		l.workspaces[workspace] = a
	}
	return a
}

// takeFraction admits the fraction, evenly spread.
func (a *account) takeFraction() *ExceededError {
	a.credit += a.fraction
	if a.credit < admitFrom {
		return &ExceededError{Dimension: a.cause, RetryAfter: time.Second}
	}
	a.credit--
	return nil
}

// adjust sets the fraction from the sums: at once for the requests asked for;
// by the ratio to the limit for what follows from those admitted.
func (a *account) adjust(limit ticket.Limit, total Usage) {
	next, cause := 1.0, Requests
	consider := func(bound int, used, fraction float64, dimension Dimension) {
		if bound <= 0 || used <= 0 {
			return
		}
		if f := fraction * float64(bound) / used; f < next {
			next, cause = f, dimension
		}
	}
	consider(limit.RequestsPerSecond, total.Asked, 1, Requests)
	consider(limit.TokensPerSecond, total.Tokens, a.fraction, Tokens)
	consider(limit.Concurrency, total.Running, a.fraction, Concurrency)
	a.fraction = min(next, max(a.fraction, minFraction)*maxGrowth)
	a.cause = cause
}

// takeLocal admits within the router's own part of the limit.
func (a *account) takeLocal(now time.Time, limit ticket.Limit, routers float64) *ExceededError {
	if limit.Concurrency > 0 && float64(a.running) >= max(float64(limit.Concurrency)/routers, 1) {
		return &ExceededError{Dimension: Concurrency, RetryAfter: time.Second}
	}
	if limit.TokensPerSecond > 0 {
		rate := float64(limit.TokensPerSecond) / routers
		if wait := a.tokenBucket.fill(now, rate); wait > 0 {
			return &ExceededError{Dimension: Tokens, RetryAfter: wait}
		}
	}
	if limit.RequestsPerSecond > 0 {
		rate := float64(limit.RequestsPerSecond) / routers
		if wait := a.requests.fill(now, rate); wait > 0 {
			return &ExceededError{Dimension: Requests, RetryAfter: wait}
		}
		a.requests.level--
	}
	return nil
}

// bucket is a token bucket that may be overdrawn.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds what came in since the last call and returns how long until one
// can be taken; 0 for now.
func (b *bucket) fill(now time.Time, rate float64) time.Duration {
	capacity := max(rate*localBurst.Seconds(), minBurst)
	if b.at.IsZero() {
		b.level += capacity
		b.at = now
	}
	b.level = min(b.level+rate*now.Sub(b.at).Seconds(), capacity)
	b.at = now
	if b.level >= 1 {
		return 0
	}
	return time.Duration((1 - b.level) / rate * float64(time.Second))
}
