package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/retry"
	"github.com/trefoilkeel/trefoilkeel/internal/upstream"
)

// maxStreamOverlap limits how long two endpoints work on one stream: refusals come sooner.
const maxStreamOverlap = 300 * time.Millisecond

// errorBodyTimeout limits how long the body of a replacement's error response is read.
const errorBodyTimeout = 300 * time.Millisecond

// replacement is an attempt at another endpoint that is made while the endpoint of the present attempt
// is silent. The present attempt goes on until the replacement's response has begun, or for
// maxStreamOverlap: the silent endpoint may only have paused, and the other one may refuse.
type replacement struct {
	*activeRequest // the state of this attempt alone
	ctx            context.Context
	cancel         context.CancelCauseFunc
	done           chan struct{} // closed once the fields below are set
	exchange       *upstream.Exchange
	outcome        retry.Outcome
	err            error       // nil if the response has begun
	failing        atomic.Bool // an error response has begun
}

// errorResponse is a complete response with an error status.
type errorResponse struct {
	response *http.Response
	body     []byte
}

// newReplacement chooses another endpoint for the request, and takes the attempt from the retry budget.
// It returns nil if no attempt can start. ctx is that of the request, attempts are all its attempts.
func (a *activeRequest) newReplacement(ctx context.Context, lastEventID string, attempts retry.Attempts) *replacement {
	if a.checkQuarantine() != nil {
		return nil
	}
	other := &activeRequest{Router: a.Router, request: a.request, fingerprint: a.fingerprint, outsideShare: a.outsideShare,
		triedEndpoints: slices.Clone(a.triedEndpoints), superseded: a.superseded, lastEventID: lastEventID}
	other.origin.Store(a.origin.Load())
	request, now := other.balanceRequest(), time.Now()
	if a.isResumable() {
		request.OnlyVersion, request.Version = true, a.choice.Version // either attempt may bring the first event
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	other.restrictEndpoints(&request, attempts)
	choice, err := other.table.Choose(now, request)
	if err != nil || !other.options.RetryBudget.TryTake(now, other.request.Service) {
		return nil
	}
	other.begin(now, request, choice)
	r := &replacement{activeRequest: other, done: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	return r
}

// open sends the request and waits until its response has begun. An error response is read to its end, and
// kept for the caller in case that the request gets no other response. It runs outside of the request's
// goroutine, where a panic would end the process.
func (r *replacement) open() {
	defer close(r.done)
	defer func() {
		if cause := recover(); cause != nil {
			r.options.Logger.Error("replacement panicked", "request", r.request.ID, "cause", cause, "stack", string(debug.Stack()))
			r.recordEnd(balance.Failed)
			if r.attempts.Runs == 0 {
				r.countRun()
			}
			r.outcome, r.err = retry.Unknown, errors.WithStack(&panicError{Cause: cause})
		}
	}()
	r.exchange, r.outcome, r.err = r.openAttempt(r.ctx)
	if r.err != nil || isSuccess(r.exchange.Response.StatusCode) {
		return
	}
	r.readErrorResponse()
	r.outcome, r.err = retry.Errored, errors.WithStack(&endpointStatusError{Status: r.exchange.Response.StatusCode})
}

// readErrorResponse keeps the error response of the attempt unless it is broken off, too long or too slow.
func (r *replacement) readErrorResponse() {
	defer r.exchange.Close()
	r.failing.Store(true)
	slow := time.AfterFunc(errorBodyTimeout, func() { r.cancel(&responseTimeoutError{after: errorBodyTimeout}) })
	defer slow.Stop()
	body, err := io.ReadAll(io.LimitReader(r.exchange, maxBufferedResponseBytes+1))
	if err != nil {
		r.recordFailure(r.ctx, err)
		return
	}
	r.recordEnd(balance.ErrorResponse)
	if len(body) <= maxBufferedResponseBytes {
		r.errorResponse = &errorResponse{response: r.exchange.Response, body: body}
	}
}

// panicError reports that the attempt of a replacement panicked.
type panicError struct {
	Cause any
}

func (e *panicError) Error() string { return fmt.Sprint("panic: ", e.Cause) }

// supersededError is the cancellation cause of a replacement that is not needed any more.
type supersededError struct{}

func (*supersededError) Error() string { return "the silent endpoint went on" }

// addReplacement adds the endpoint and the error response of a replacement that is done. What was sent to an
// endpoint whose attempt was superseded may have run, but the endpoint did not fail: it stays in the
// choice. Router.mu must be held.
func (a *activeRequest) addReplacement(r *replacement) {
	var superseded *supersededError
	switch {
	case !errors.As(r.err, &superseded) && !(r.outcome == retry.NotSent && errors.As(context.Cause(r.ctx), &superseded)):
		a.triedEndpoints, a.superseded = append(a.triedEndpoints, r.choice.ID), without(a.superseded, r.choice.ID)
	case r.outcome == retry.Unknown:
		a.superseded = append(without(a.superseded, r.choice.ID), r.choice.ID)
	}
	if a.errorResponse == nil {
		a.errorResponse = r.errorResponse
	}
}

// abandon cancels the replacement, and ends its attempt once its outcome is known.
func (r *replacement) abandon() {
	r.cancel(&supersededError{})
	<-r.done
	if r.err == nil {
		r.exchange.Close()
		r.recordEnd(balance.Cancelled)
	}
}

// silenceWatch replaces an attempt whose endpoint sends nothing for too long, if another attempt can
// start. Without another attempt, cancelling a silent one would only lose its response.
type silenceWatch struct {
	attempt       *activeRequest
	ctx           context.Context         // of the request
	cancelAttempt context.CancelCauseFunc // of the attempt that is watched

	mu          sync.Mutex
	timer       *time.Timer // nil if the attempt has no timeout
	timeout     time.Duration
	due         time.Time // when the timer is to fire; an earlier call is one that the last reset overtook
	writing     bool      // an event of the attempt is being written to the caller
	lastEventID string
	stopped     bool
	attempts    retry.Attempts // of the request, with the attempt that is watched and its replacements
	failed      retry.Attempts // counts the replacements that failed
	pending     *replacement
	takenOver   bool // by pending
}

// watchSilence watches the attempt from now on. A timeout of 0 means no limit. attempts counts the
// earlier attempts of the request.
func (a *activeRequest) watchSilence(ctx context.Context, cancelAttempt context.CancelCauseFunc, timeout time.Duration) *silenceWatch {
	w := &silenceWatch{attempt: a, ctx: ctx, cancelAttempt: cancelAttempt, timeout: timeout, lastEventID: a.lastEventID, attempts: a.attempts}
	w.attempts.Runs = a.runsWithAttempt()
	a.mu.Lock()
	w.attempts.Superseded = len(a.superseded)
	a.mu.Unlock()
	if timeout > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.due = time.Now().Add(timeout)
		w.timer = time.AfterFunc(timeout, w.replace)
	}
	return w
}

// reset restarts the timer. w.mu must be held.
func (w *silenceWatch) reset(timeout time.Duration) {
	w.due = time.Now().Add(timeout)
	w.timer.Reset(timeout)
}

// claim is called before an event of the attempt is written. It reports whether the caller's stream still
// goes on with this attempt; if so, its replacement is cancelled, and none starts until progressed is called.
func (w *silenceWatch) claim() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takenOver {
		return false
	}
	w.writing = true
	if w.pending != nil {
		w.pending.cancel(&supersededError{})
	}
	return true
}

// progressed restarts the timeout: the endpoint has sent an event. lastEventID is that of the last event
// that the caller has.
func (w *silenceWatch) progressed(timeout time.Duration, lastEventID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	if w.timer == nil || w.takenOver {
		return
	}
	w.timeout, w.lastEventID = timeout, lastEventID
	if w.pending == nil {
		w.reset(timeout)
	}
}

// replace starts a replacement, and cancels the attempt that is watched once the replacement's response
// has begun.
func (w *silenceWatch) replace() {
	w.mu.Lock()
	if w.stopped || w.pending != nil || time.Now().Before(w.due) {
		w.mu.Unlock()
		return
	}
	timeout := w.timeout
	w.attempts.TimeLeft = time.Until(w.attempt.endBy())
	var r *replacement
	if !w.writing && w.attempts.Decide(retry.Unknown) == retry.TryAnother {
		r = w.attempt.newReplacement(w.ctx, w.lastEventID, w.attempts)
	}
	if w.pending = r; r == nil {
		w.reset(timeout)
		w.mu.Unlock()
		return
	}
	hasThird := w.attempts.Runs+1 < w.attempts.MaxRuns
	w.mu.Unlock()
	w.open(r, hasThird, timeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
		return // the attempt has ended, and its request uses the replacement
	case w.takenOver:
		return // the attempt is about to end
	case r.err == nil && r.ctx.Err() == nil:
		w.takeOver(timeout)
		return
	case r.err == nil:
		r.abandon()
		r.outcome, r.err = retry.Unknown, errors.WithStack(context.Cause(r.ctx))
	}
	r.logRetry("replacement of a silent endpoint failed", r.outcome, r.err)
	w.pending = nil
	w.attempts.Add(r.attempts)
	w.failed.Add(r.attempts)
	w.attempt.mu.Lock()
	w.attempt.addReplacement(r)
	w.attempts.Superseded = len(w.attempt.superseded)
	w.attempt.mu.Unlock()
	var silent *responseTimeoutError
	if errors.As(r.err, &silent) {
		w.reset(0)
		return
	}
	w.reset(w.timeout)
}

// open opens a replacement. A replacement that is silent too gives way to another one if the route allows a
// third run.
func (w *silenceWatch) open(r *replacement, hasThird bool, timeout time.Duration) {
	if hasThird {
		limit := max(firstResponseTimeoutFactor*max(r.request.Route.LatencyTarget, r.choice.ExpectedWait), minFirstResponseTimeout)
		silent := time.AfterFunc(limit, func() { r.cancel(&responseTimeoutError{after: limit}) })
		defer silent.Stop()
	}
	if r.request.Route.Kind == catalog.EventStream {
		overlap := time.AfterFunc(maxStreamOverlap, func() { w.endOverlap(r, timeout) })
		defer overlap.Stop()
	}
	r.open()
}

// endOverlap leaves the request to a replacement that may still begin to answer.
func (w *silenceWatch) endOverlap(r *replacement, timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && !w.writing && w.pending == r && r.ctx.Err() == nil && !r.failing.Load() {
		w.takeOver(timeout)
	}
}

// takeOver ends the attempt that is watched; the request goes on with the pending replacement. w.mu must
// be held.
func (w *silenceWatch) takeOver(timeout time.Duration) {
	w.takenOver = true
	w.cancelAttempt(&responseTimeoutError{after: timeout})
}

// stop ends the watch. It returns the replacement that has begun or may still begin to answer, nil if
// there is none, and the counts of those that failed. A later call returns nothing.
func (w *silenceWatch) stop() (pending *replacement, failed retry.Attempts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	pending, failed = w.pending, w.failed
	w.pending, w.failed = nil, retry.Attempts{}
	return pending, failed
}
