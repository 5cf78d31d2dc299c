// Package wait provides sleeps and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls fn at an interval until ctx ends. The first call comes after one
// interval.
func Every(ctx context.Context, interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}

// Until waits until the deadline. It returns false if ctx ends first.
func Until(ctx context.Context, deadline time.Time) bool { return For(ctx, time.Until(deadline)) }
