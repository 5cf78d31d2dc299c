package standin

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults. Slow and Down last for DelayMS, or until cleared if that
// is 0. Lag lasts until another Lag replaces it. Each of the others applies to
// the next Count requests.
const (
	FaultSlow       FaultKind = "slow"         // every step or run takes Factor times as long
	FaultDown       FaultKind = "down"         // every connection is aborted
	FaultLag        FaultKind = "lag"          // load reports are DelayMS old
	FaultClear      FaultKind = "clear"        // ends Slow and Down and drops the pending faults
	FaultHang       FaultKind = "hang"         // no response until the caller closes the connection
	FaultCrashFirst FaultKind = "crash_first"  // aborts after the run began, before the first byte
	FaultCrashMid   FaultKind = "crash_mid"    // aborts after AfterTokens tokens of a stream, or within a buffered body
	FaultCrashLast  FaultKind = "crash_last"   // aborts after the last token, before the end of the response
	FaultLate       FaultKind = "late"         // delays the response by DelayMS
	FaultTwice      FaultKind = "twice"        // sends the complete response twice on the connection
	FaultOutOfOrder FaultKind = "out_of_order" // two requests get each other's responses
	FaultWrongID    FaultKind = "wrong_id"     // the response to another request, under that request's ID
)

// Fault is the body of POST /standin/fault.
type Fault struct {
	Kind        FaultKind `json:"kind" toml:"kind"`
	Count       int       `json:"count" toml:"count"`               // number of requests affected; 0 means 1
	Factor      float64   `json:"factor" toml:"factor"`             // for slow, at least 1
	DelayMS     int64     `json:"delay_ms" toml:"delay_ms"`         // duration of slow and down, delay of late, report age of lag
	AfterTokens int       `json:"after_tokens" toml:"after_tokens"` // for crash_mid; 0 means 1
}

// InvalidFaultError reports why a fault was rejected.
type InvalidFaultError struct {
	Kind   FaultKind
	Reason string
}

// Error implements error.
func (e *InvalidFaultError) Error() string { return fmt.Sprintf("fault %q: %s", e.Kind, e.Reason) }

func (f *Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// validate rejects a fault with an unknown kind or values out of range.
func (f *Fault) validate() error {
	switch f.Kind {
	case FaultSlow:
		if f.Factor < 1 || math.IsInf(f.Factor, 0) {
			return &InvalidFaultError{f.Kind, "factor must be at least 1"}
		}
	case FaultLate, FaultLag:
		if f.DelayMS <= 0 {
			return &InvalidFaultError{f.Kind, "delay_ms must be above 0"}
		}
	case FaultDown, FaultClear, FaultHang, FaultCrashFirst, FaultCrashMid,
		FaultCrashLast, FaultTwice, FaultOutOfOrder, FaultWrongID:
	default:
		return &InvalidFaultError{f.Kind, "unknown kind"}
	}
	if f.Count < 0 || f.DelayMS < 0 || f.AfterTokens < 0 {
		return &InvalidFaultError{f.Kind, "count, delay_ms and after_tokens must not be negative"}
	}
	return nil
}

// faultInjector holds the lasting faults in force at one stand-in (slow, down and
// lag) and the pending faults of its next requests.
type faultInjector struct {
	mu          sync.Mutex
	pending     []Fault
	slowFactor  float64
	slowUntil   time.Time // zero: until cleared
	down        bool
	downUntil   time.Time     // zero: until cleared
	wentDown    chan struct{} // closed when the stand-in goes down
	reportLag   time.Duration
	pendingSwap *responseSwap // swap that waits for its second request
}

func newFaultInjector(reportLag time.Duration) *faultInjector {
	return &faultInjector{slowFactor: 1, wentDown: make(chan struct{}), reportLag: reportLag}
}

// inject starts a lasting fault, clears faults, or queues a fault for the next
// requests.
func (f *faultInjector) inject(now time.Time, fault Fault) error {
	if err := fault.validate(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch fault.Kind {
	case FaultClear:
		f.pending, f.slowFactor, f.down, f.slowUntil, f.downUntil = nil, 1, false, time.Time{}, time.Time{}
	case FaultSlow:
		f.slowFactor, f.slowUntil = fault.Factor, expiryTime(now, fault.delay())
	case FaultLag:
		f.reportLag = fault.delay()
	case FaultDown:
		f.down, f.downUntil = true, expiryTime(now, fault.delay())
		close(f.wentDown)
		f.wentDown = make(chan struct{})
	default:
		fault.Count = max(fault.Count, 1)
		fault.AfterTokens = max(fault.AfterTokens, 1)
		f.pending = append(f.pending, fault)
	}
	return nil
}

func expiryTime(now time.Time, d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// takeNext returns the fault for the next request, or the zero Fault.
func (f *faultInjector) takeNext() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 {
		return Fault{}
	}
	fault := f.pending[0]
	f.pending[0].Count--
	if f.pending[0].Count == 0 {
		f.pending = f.pending[1:]
	}
	return fault
}

// isDown reports whether connections are aborted at present.
func (f *faultInjector) isDown(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down && !f.downUntil.IsZero() && !now.Before(f.downUntil) {
		f.down = false
	}
	return f.down
}

// durationFactor returns the factor by which steps and runs take longer at
// present.
func (f *faultInjector) durationFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.slowUntil.IsZero() && !time.Now().Before(f.slowUntil) {
		f.slowFactor, f.slowUntil = 1, time.Time{}
	}
	return f.slowFactor
}

func (f *faultInjector) loadLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reportLag
}

// DownError is the cancellation cause of requests that run when the stand-in goes
// down.
type DownError struct{}

// Error implements error.
func (*DownError) Error() string { return "the stand-in went down" }

// cancelWhenDown derives a context that is cancelled with a *DownError when the
// stand-in goes down.
func (f *faultInjector) cancelWhenDown(parent context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	wentDown := f.wentDown
	f.mu.Unlock()
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		select {
		case <-wentDown:
			cancel(&DownError{})
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// responseSwap exchanges the responses of two requests.
type responseSwap struct {
	first  responseSpec      // of the request that waits
	second chan responseSpec // receives that of the request that joins
}

// responseSpec determines a response: the request ID in its header and its
// content, which is the completion of request or, for a plain service, result.
type responseSpec struct {
	requestID string
	request   *CompletionRequest
	result    *serviceResult
}

// swapResponse waits for a second request and exchanges own for its response. If
// ctx ends or timeout passes first, it returns own.
func (f *faultInjector) swapResponse(ctx context.Context, timeout time.Duration, own responseSpec) responseSpec {
	f.mu.Lock()
	if swap := f.pendingSwap; swap != nil {
		f.pendingSwap = nil
		f.mu.Unlock()
		swap.second <- own
		return swap.first
	}
	swap := &responseSwap{first: own, second: make(chan responseSpec, 1)}
	f.pendingSwap = swap
	f.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case second := <-swap.second:
		return second
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.withdrawSwap(swap)
}

// withdrawSwap ends the wait for a second request and returns the first one's own
// response, or the second one's if that has joined in the meantime.
func (f *faultInjector) withdrawSwap(swap *responseSwap) responseSpec {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pendingSwap == swap {
		f.pendingSwap = nil
		return swap.first
	}
	return <-swap.second
}

// abortConnection closes the connection before the response is complete.
func abortConnection() { panic(http.ErrAbortHandler) }
