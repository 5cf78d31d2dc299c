package flow

import "time"

// limiter decides how many requests run at the endpoint at once.
type limiter struct {
	fixed int
}

func newLimiter(c Config) limiter { return limiter{fixed: c.Slots} }

func (l *limiter) slots() int { return l.fixed }

func (l *limiter) firstToken(time.Time, *item, time.Duration) {}

func (l *limiter) token(time.Time, *item, time.Duration) {}

func (l *limiter) finished(time.Time, *item, time.Duration, int) {}
