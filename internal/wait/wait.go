// Package wait pauses a goroutine until a time or until its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d. It is false if ctx ended first.
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

// Every calls at an interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}

// Until waits until a time. It is false if ctx ended first.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }
