// Package logging writes JSON lines at a bounded rate, so that a burst of
// requests can't fill a disk. Each kind of line has a rate of its own; what is
// left out is counted, and the count is written with the next line of its kind.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Bounds of one kind of line.
const (
	linesPerSecond = 200
	lineBurst      = 1000
	maxKinds       = 1000
)

// OmittedKey is the attribute that counts the lines left out before this one.
const OmittedKey = "omitted"

// New returns a logger of JSON lines at the level or above.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(Bound(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), time.Now))
}

// Bound limits the rate of a handler's lines.
func Bound(next slog.Handler, now func() time.Time) slog.Handler {
	return &handler{next: next, rates: &rates{now: now, kinds: map[string]*bucket{}}}
}

// handler is a slog.Handler over another one.
type handler struct {
	next  slog.Handler
	rates *rates
}

// Enabled asks the handler below.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle writes the line if its kind is within its rate.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	omitted, ok := h.rates.take(r.Message)
	if !ok {
		return nil
	}
	if omitted > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(OmittedKey, omitted))
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs keeps the rates.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{next: h.next.WithAttrs(attrs), rates: h.rates}
}

// WithGroup keeps the rates.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{next: h.next.WithGroup(name), rates: h.rates}
}

// rates are the token buckets, one for each kind of line.
type rates struct {
	mu    sync.Mutex
	now   func() time.Time
	kinds map[string]*bucket
}

// bucket is the credit of one kind of line.
type bucket struct {
	credit  float64
	at      time.Time
	omitted int
}

// take spends a line of a kind. It returns how many were left out before.
func (r *rates) take(kind string) (omitted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	b := r.bucket(kind, now)
	b.credit = min(b.credit+now.Sub(b.at).Seconds()*linesPerSecond, lineBurst)
	b.at = now
	if b.credit < 1 {
		b.omitted++
		return 0, false
	}
	b.credit--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

// bucket returns the bucket of a kind; kinds beyond the bound share one.
func (r *rates) bucket(kind string, now time.Time) *bucket {
	if len(r.kinds) >= maxKinds && r.kinds[kind] == nil {
		kind = ""
	}
	b := r.kinds[kind]
	if b == nil {
		b = &bucket{credit: lineBurst, at: now}
		r.kinds[kind] = b
	}
	return b
}
