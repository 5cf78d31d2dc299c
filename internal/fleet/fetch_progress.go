package fleet

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
)

// fetchProgress is what a fetch has received until now.
type fetchProgress struct {
	startedAt    time.Time
	headReceived atomic.Bool
	bodyBytes    atomic.Int64
	bodyDelay    atomic.Int64 // nanoseconds from startedAt to the newest bytes of the body
}

// receivedAt returns when the newest bytes of the body came, the start of the fetch if none have.
func (p *fetchProgress) receivedAt() time.Time {
	return p.startedAt.Add(time.Duration(p.bodyDelay.Load()))
}

// isReceiving reports whether bytes of the body came within fetchTimeout.
func (p *fetchProgress) isReceiving(now time.Time) bool {
	return now.Sub(p.receivedAt()) < fetchTimeout
}

// isWorse reports whether p has been silent for longer than other, or if neither has been for fetchTimeout,
// whether it is slower.
func (p *fetchProgress) isWorse(other *fetchProgress, now time.Time) bool {
	silentTime, otherSilentTime := now.Sub(p.receivedAt()), now.Sub(other.receivedAt())
	if max(silentTime, otherSilentTime) >= fetchTimeout {
		return silentTime > otherSilentTime
	}
	return p.bytesPerSecond(now) < other.bytesPerSecond(now)
}

func (p *fetchProgress) bytesPerSecond(now time.Time) float64 {
	return float64(p.bodyBytes.Load()) / now.Sub(p.startedAt).Seconds()
}

type fetchProgressKey struct{}

// withProgress returns a context that makes a progressClient record the progress of a call.
func withProgress(ctx context.Context, p *fetchProgress) context.Context {
	return context.WithValue(ctx, fetchProgressKey{}, p)
}

// progressClient records the progress of the calls whose context asks for it.
type progressClient struct {
	connect.HTTPClient
}

func (c progressClient) Do(r *http.Request) (*http.Response, error) {
	response, err := c.HTTPClient.Do(r)
	if progress, ok := r.Context().Value(fetchProgressKey{}).(*fetchProgress); ok && err == nil {
		progress.headReceived.Store(true)
		response.Body = &progressBody{ReadCloser: response.Body, progress: progress}
	}
	return response, err
}

// progressBody is the body of a response whose progress is recorded.
type progressBody struct {
	io.ReadCloser
	progress *fetchProgress
}

func (b *progressBody) Read(p []byte) (n int, err error) {
	if n, err = b.ReadCloser.Read(p); n > 0 {
		b.progress.bodyBytes.Add(int64(n))
		b.progress.bodyDelay.Store(int64(time.Since(b.progress.startedAt)))
	}
	return n, err
}
