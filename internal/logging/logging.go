// Package logging writes JSON log lines with a rate limit per message, so that
// a burst of requests can't fill a disk. Lines over the limit are dropped, and
// the next line with the same message carries their count.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Rate limits. The rate and the burst apply to each message; maxBuckets limits
// the number of messages that have a bucket of their own.
const (
	linesPerSecond = 200
	burstLines     = 1000
	maxBuckets     = 1000
)

// OmittedKey is the attribute with the number of lines with the same message
// that were dropped before this one.
const OmittedKey = "omitted"

// New returns a rate-limited logger that writes JSON lines of the level or above.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(NewRateLimitedHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), time.Now))
}

// NewRateLimitedHandler returns a handler that limits the rate of the lines that
// reach next. now is the clock.
func NewRateLimitedHandler(next slog.Handler, now func() time.Time) slog.Handler {
	return &rateLimitedHandler{next: next, limiter: &rateLimiter{now: now, buckets: map[string]*tokenBucket{}}}
}

// rateLimitedHandler forwards records to another handler within the rate limit.
type rateLimitedHandler struct {
	next    slog.Handler
	limiter *rateLimiter
}

// Enabled asks the next handler.
func (h *rateLimitedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle forwards the record if its message is within the rate limit, and drops
// it otherwise.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	omitted, ok := h.limiter.allow(r.Message)
	if !ok {
		return nil
	}
	if omitted > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(OmittedKey, omitted))
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs returns a handler that shares the rate limits.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{next: h.next.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup returns a handler that shares the rate limits.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{next: h.next.WithGroup(name), limiter: h.limiter}
}

// rateLimiter holds a token bucket for each message.
type rateLimiter struct {
	mu      sync.Mutex
	now     func() time.Time
	buckets map[string]*tokenBucket
}

// tokenBucket is the token bucket of one message.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
	omitted    int
}

// allow takes a token for a line. If it gets one, it also returns the number of
// lines dropped since the last allowed one.
func (r *rateLimiter) allow(message string) (omitted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	b := r.bucketFor(message, now)
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*linesPerSecond, burstLines)
	b.refilledAt = now
	if b.tokens < 1 {
		b.omitted++
		return 0, false
	}
	b.tokens--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

// bucketFor returns the bucket of a message. Messages beyond maxBuckets share the
// bucket of the empty message.
func (r *rateLimiter) bucketFor(message string, now time.Time) *tokenBucket {
	if len(r.buckets) >= maxBuckets && r.buckets[message] == nil {
		message = ""
	}
	b := r.buckets[message]
	if b == nil {
		b = &tokenBucket{tokens: burstLines, refilledAt: now}
		r.buckets[message] = b
	}
	return b
}
