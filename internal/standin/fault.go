package standin

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

// FaultKind names what a stand-in does wrong.
type FaultKind string

// The kinds of faults. Slow, Down and Lag are states that hold for Delay, or
// until they are cleared; each of the others strikes the next Count requests.
const (
	FaultSlow       FaultKind = "slow"         // every step takes Factor times as long
	FaultDown       FaultKind = "down"         // every connection is aborted
	FaultLag        FaultKind = "lag"          // load reports are Delay old
	FaultClear      FaultKind = "clear"        // ends every state and pending fault
	FaultHang       FaultKind = "hang"         // no answer until the caller goes
	FaultCrashFirst FaultKind = "crash_first"  // aborts before the first byte, after the run began
	FaultCrashMid   FaultKind = "crash_mid"    // aborts after AfterTokens tokens, or half a body
	FaultCrashLast  FaultKind = "crash_last"   // aborts after the last token, before the end
	FaultLate       FaultKind = "late"         // the answer waits for Delay
	FaultTwice      FaultKind = "twice"        // the whole answer is sent twice on the connection
	FaultOutOfOrder FaultKind = "out_of_order" // two requests get each other's answers
	FaultWrongID    FaultKind = "wrong_id"     // the answer to another request, under its id
)

// Fault is the body of POST /standin/fault.
type Fault struct {
	Kind        FaultKind `json:"kind" toml:"kind"`
	Count       int       `json:"count" toml:"count"`               // requests to strike, 0 means 1
	Factor      float64   `json:"factor" toml:"factor"`             // for slow, at least 1
	DelayMS     int64     `json:"delay_ms" toml:"delay_ms"`         // in milliseconds
	AfterTokens int       `json:"after_tokens" toml:"after_tokens"` // for crash_mid, at least 1
}

// FaultError says why a fault was not taken.
type FaultError struct {
	Kind   FaultKind
	Reason string
}

// Error names the kind and the reason.
func (e *FaultError) Error() string { return fmt.Sprintf("fault %q: %s", e.Kind, e.Reason) }

func (f *Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// check refuses a fault that can't be brought about.
func (f *Fault) check() error {
	switch f.Kind {
	case FaultSlow:
		if f.Factor < 1 || math.IsInf(f.Factor, 0) {
			return &FaultError{f.Kind, "factor must be at least 1"}
		}
	case FaultLate, FaultLag:
		if f.DelayMS <= 0 {
			return &FaultError{f.Kind, "delay_ms must be above 0"}
		}
	case FaultDown, FaultClear, FaultHang, FaultCrashFirst, FaultCrashMid,
		FaultCrashLast, FaultTwice, FaultOutOfOrder, FaultWrongID:
	default:
		return &FaultError{f.Kind, "unknown kind"}
	}
	if f.Count < 0 || f.DelayMS < 0 || f.AfterTokens < 0 {
		return &FaultError{f.Kind, "count, delay_ms and after_tokens must not be negative"}
	}
	return nil
}

// faults holds the states and the pending faults of one stand-in.
type faults struct {
	mu      sync.Mutex
	pending []Fault
	factor  float64
	slowEnd time.Time // zero: until cleared
	down    bool
	downEnd time.Time
	broken  chan struct{} // closed when the stand-in goes down
	lag     time.Duration
	swap    *swapSeat // a request that waits for another's answer
}

func newFaults(lag time.Duration) *faults {
	return &faults{factor: 1, broken: make(chan struct{}), lag: lag}
}

// set takes a fault in.
func (f *faults) set(now time.Time, fault Fault) error {
	if err := fault.check(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch fault.Kind {
	case FaultClear:
		f.pending, f.factor, f.down, f.slowEnd, f.downEnd = nil, 1, false, time.Time{}, time.Time{}
	case FaultSlow:
		f.factor, f.slowEnd = fault.Factor, until(now, fault.delay())
	case FaultLag:
		f.lag = fault.delay()
	case FaultDown:
		f.down, f.downEnd = true, until(now, fault.delay())
		close(f.broken)
		f.broken = make(chan struct{})
	default:
		fault.Count = max(fault.Count, 1)
		fault.AfterTokens = max(fault.AfterTokens, 1)
		f.pending = append(f.pending, fault)
	}
	return nil
}

func until(now time.Time, d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// take gives the fault that strikes the next request, the zero Fault for none.
func (f *faults) take() Fault {
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

// isDown tells whether connections are aborted now.
func (f *faults) isDown(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down && !f.downEnd.IsZero() && !now.Before(f.downEnd) {
		f.down = false
	}
	return f.down
}

// slowFactor is the present factor on every step.
func (f *faults) slowFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.slowEnd.IsZero() && !time.Now().Before(f.slowEnd) {
		f.factor, f.slowEnd = 1, time.Time{}
	}
	return f.factor
}

func (f *faults) loadLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

// DownError ends the requests that run when a stand-in goes down.
type DownError struct{}

// Error says so.
func (*DownError) Error() string { return "the stand-in went down" }

// context derives a context that ends when the stand-in goes down.
func (f *faults) context(parent context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	broken := f.broken
	f.mu.Unlock()
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		select {
		case <-broken:
			cancel(&DownError{})
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// swapSeat holds one of two requests whose answers are exchanged.
type swapSeat struct {
	mine  identity
	other chan identity
}

// identity is what an answer is about: whose id it carries and what it says.
type identity struct {
	requestID string
	job       *Job
	run       *runAnswer
}

// exchange gives the identity of the next request that is exchanged; a request
// that finds no other one before ctx ends or wait passes keeps its own.
func (f *faults) exchange(ctx context.Context, wait time.Duration, mine identity) identity {
	f.mu.Lock()
	if seat := f.swap; seat != nil {
		f.swap = nil
		f.mu.Unlock()
		seat.other <- mine
		return seat.mine
	}
	seat := &swapSeat{mine: mine, other: make(chan identity, 1)}
	f.swap = seat
	f.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case other := <-seat.other:
		return other
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.leave(seat)
}

// leave gives the seat up, unless another request has just taken it.
func (f *faults) leave(seat *swapSeat) identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.swap == seat {
		f.swap = nil
		return seat.mine
	}
	return <-seat.other
}

// abort ends the connection without a whole answer.
func abort() { panic(http.ErrAbortHandler) }
