package entry

import (
	"log/slog"
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/steady"
	"github.com/trefoilkeel/trefoilkeel/internal/usage"
)

// usageReportInterval is the time between two reports of a window that has not ended. What an entry
// counted since the last one is lost if its process is killed.
const usageReportInterval = time.Second

// usageCounter counts the requests that endpoints began to run, by window and workspace, and keeps
// track of what a control host has acknowledged. It is safe for concurrent use.
type usageCounter struct {
	logger *slog.Logger

	mu       sync.Mutex
	clock    *usage.Clock
	counter  *usage.Counter
	batch    usage.Batch // of the report on its way
	hostLife uint64      // start of the control host that received the last report, 0 before the first
	sentAt   time.Time
}

// newUsageCounter returns a counter of windows of a length above 0, each kept for a time after its end.
func newUsageCounter(window, retention time.Duration, logger *slog.Logger) *usageCounter {
	source := usage.Source{Life: uint64(time.Now().UnixNano())}
	return &usageCounter{logger: logger, clock: usage.NewClock(window), counter: usage.NewCounter(source, usage.RetainedWindows(window, retention))}
}

// add counts a request in the current window.
func (u *usageCounter) add(workspace string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance()
	if !u.counter.Add(workspace) {
		u.logger.Warn("request not counted, its window has too many workspaces", "workspace", workspace, "window", u.clock.Window())
	}
}

// advance makes the window of this time the current one. The caller holds the lock.
func (u *usageCounter) advance() {
	if step := u.clock.Observe(steady.NowWithWall()); step != 0 {
		u.logger.Warn("time of day stepped, windows of usage follow", "step_ms", step.Milliseconds())
	}
	if lost := u.counter.Advance(u.clock.Window()); lost > 0 {
		u.logger.Warn("usage lost, no control host took it in time", "windows", lost)
	}
}

// hasEnded reports whether a window has ended that no control host has acknowledged.
func (u *usageCounter) hasEnded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counter.HasFinal()
}

// isDue reports whether a window has ended that no control host has acknowledged, or a report of
// the current one is due.
func (u *usageCounter) isDue(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance()
	return u.counter.HasFinal() || now.Sub(u.sentAt) >= usageReportInterval
}

// take returns what is to be reported to the control host, empty if nothing is due.
func (u *usageCounter) take(now time.Time) []usage.Report {
	if !u.isDue(now) {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.batch, u.sentAt = u.counter.Reports(), now
	return u.batch.Reports
}

// received records that a control host has received the last report. A host that started anew, or
// another one, knows nothing of the reports before.
func (u *usageCounter) received(hostLife uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case hostLife == 0:
	case u.hostLife != 0 && u.hostLife != hostLife:
		u.counter.ForgetAcknowledgements()
		u.hostLife = hostLife
	default:
		u.counter.Acknowledge(u.batch)
		u.hostLife = hostLife
	}
}

// forget makes all windows be reported again.
func (u *usageCounter) forget() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.ForgetAcknowledgements()
}

// close ends all windows: this process counts no further request.
func (u *usageCounter) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance()
	u.counter.Close()
}
