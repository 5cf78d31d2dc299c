package fleet

import (
	"log/slog"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/duty"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

// maxLoggedFailures limits the windows whose latest failure is remembered.
const maxLoggedFailures = duty.MaxWindows

// dutyLog tells operators about holdings and reports.
type dutyLog struct {
	logger       *slog.Logger
	metrics      *metrics.Registry
	windowLength time.Duration
	holds        bool
	token        uint64 // of the last holding logged
	failures     map[uint64]error
}

// holding logs when this process gains or loses the duties, and when another one has taken them.
func (l *dutyLog) holding(holds bool, h duty.Holding) {
	if holds == l.holds && h.Token == l.token {
		return
	}
	if l.holds && !(holds && h.Token == l.token) {
		l.logger.Info("duties lost", "token", l.token, "holder", h.HostName, "held", h.Held(), "new_token", h.Token)
	}
	switch {
	case holds:
		l.logger.Info("duties gained", "token", h.Token)
		l.metrics.AddToCounter(metrics.DutyHoldings, 1)
	case h.Token != l.token:
		l.logger.Info("duties held by another process", "token", h.Token, "holder", h.HostName)
	}
	l.holds, l.token = holds, h.Token
	l.metrics.SetGauge(metrics.DutyHeld, map[bool]int64{true: 1}[holds])
	l.metrics.SetGauge(metrics.DutyToken, int64(h.Token))
}

// failed remembers why a window isn't reported yet.
func (l *dutyLog) failed(window uint64, err error) {
	if len(l.failures) >= maxLoggedFailures {
		clear(l.failures)
	}
	l.failures[window] = err
}

// called logs a call out that ended at now.
func (l *dutyLog) called(r UsageReport, result duty.CallResult, err error, now time.Time, took time.Duration) {
	requests := uint64(0)
	for _, count := range r.Counts {
		requests += count
	}
	age := now.Sub(windowEnd(r.Window, l.windowLength))
	attributes := []any{"window", r.Window, "token", r.Token, "requests", requests, "workspaces", len(r.Counts), "age_ms", age.Milliseconds(), "took_ms", took.Milliseconds()}
	if result == duty.CallDelivered {
		delete(l.failures, r.Window)
		l.metrics.AddToCounter(metrics.UsageReported, 1)
		l.logger.Info("usage reported", attributes...)
		return
	}
	l.failed(r.Window, err)
	l.metrics.AddToCounter(metrics.UsageFailedCalls, 1)
	l.logger.Warn("usage not reported", append(attributes, "final", result == duty.CallRefused, "error", err)...)
}

// givenUp logs windows that are too late. LogUnavailable tells why the replicated log takes no
// command now, if it takes none.
func (l *dutyLog) givenUp(windows []duty.GivenUp, logUnavailable string) {
	for _, w := range windows {
		cause := "it was not collected in time"
		switch err := l.failures[w.Window]; {
		case err != nil:
			cause = err.Error()
		case logUnavailable != "":
			cause = logUnavailable
		case w.Agreed:
			cause = "it was agreed too late"
		}
		delete(l.failures, w.Window)
		l.metrics.AddToCounter(metrics.UsageGivenUp, 1)
		l.logger.Error("usage of a window given up", "window", w.Window, "agreed", w.Agreed, "cause", cause)
	}
}

// windowEnd is the time at which a window ends.
func windowEnd(window uint64, length time.Duration) time.Time {
	return time.Unix(0, 0).Add(time.Duration(window+1) * length)
}
