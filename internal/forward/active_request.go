package forward

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/trefoilkeel/trefoilkeel/internal/admission"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/retry"
	"github.com/trefoilkeel/trefoilkeel/internal/upstream"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Limits of waiting and buffering.
const (
	// If no endpoint has capacity, a request waits for one up to its latency target
	// divided by endpointWaitDivisor: a caller that is refused early can retry in time.
	endpointWaitDivisor  = 8
	endpointPollInterval = 20 * time.Millisecond
	// A request that would wait too long at every endpoint waits here for its turn, up to its latency
	// target, and at most for its time left divided by deferralDivisor: others go first that can still
	// be in time. Then it is sent.
	deferralDivisor = 4
	// If no endpoint of the service is known, a request waits for one up to its remaining
	// time divided by discoveryWaitDivisor, and at most maxDiscoveryWait.
	maxDiscoveryWait     = time.Second
	discoveryWaitDivisor = 3
	// defaultRetryAfter is the least Retry-After, and the one sent without an estimate
	// of when an endpoint has capacity.
	defaultRetryAfter = 300 * time.Millisecond
	maxHoldJitter     = 500 * time.Millisecond
	// maxRetryAfter limits Retry-After before jitter is added, unless all endpoints want no
	// requests for longer.
	maxRetryAfter = time.Second
	// A repeatable request waits for the start of a response for
	// firstResponseTimeoutFactor times its latency target or the expected wait,
	// whichever is longer, and at least for minFirstResponseTimeout.
	firstResponseTimeoutFactor = 2
	minFirstResponseTimeout    = 700 * time.Millisecond
	// A resumable stream waits for its next event for eventGapTimeoutFactor times the
	// gap target, and at least for minEventGapTimeout.
	eventGapTimeoutFactor = 4
	minEventGapTimeout    = 900 * time.Millisecond
	// A response is written to the caller once it is complete or longer than
	// maxBufferedResponseBytes. It ends with an error once it is longer than
	// maxResponseBytes.
	maxBufferedResponseBytes = 64 << 10
	maxResponseBytes         = 16 << 20
)

// activeRequest is the state of a request while Serve runs.
type activeRequest struct {
	*Router
	request        *Request
	fingerprint    uint64 // of the request, its key in package quarantine
	writer         http.ResponseWriter
	attempts       retry.Attempts
	triedEndpoints []string       // IDs; guarded by Router.mu
	superseded     []string       // IDs of endpoints whose attempts were, and which are not in triedEndpoints; guarded by Router.mu
	outsideShare   bool           // beyond the share of its workspace
	replacement    *replacement   // of the last attempt, nil for none
	errorResponse  *errorResponse // of the first replacement that was answered with an error, nil for none; guarded by Router.mu

	attemptState
	writtenStatus   int                           // status written to the caller, 0 for none
	origin          atomic.Pointer[origin.Origin] // of the stream, nil before its first event
	lastEventID     string                        // last event written, or the one that the caller resumes after
	startVersion    string                        // of the endpoint of the last attempt at the stream; guarded by Router.mu
	startReports    uint64                        // streamOrigins.reports at the first attempt in a row at startVersion, 0 before
	resumeCount     int
	firstResponseAt time.Time // zero until the first event or the complete response
	lastEventAt     time.Time
	longestGap      time.Duration // between two events
}

// attemptState is the state of one attempt.
type attemptState struct {
	choice         balance.Choice
	attempt        *balance.Attempt
	reportedLoad   balance.ReportedLoad // from the header of the response
	headReceived   bool                 // the endpoint has begun its response
	began          bool                 // the endpoint has begun to run the request, or may have
	attemptEvents  int                  // events received
	attemptEventAt time.Time            // first event
	sentAt         time.Time
	servedRecorded bool // the attempt counts as served
	counted        bool // an earlier attempt at the endpoint was superseded and counts as a run
}

// responseTimeoutError is the cancellation cause of an attempt whose endpoint sent
// nothing for too long.
type responseTimeoutError struct {
	after time.Duration
}

func (e *responseTimeoutError) Error() string {
	return "the endpoint was silent for " + e.after.String()
}

// Timeout makes the error one of a timeout, as those of package net.
func (e *responseTimeoutError) Timeout() bool { return true }

// run makes attempts until one is answered or no further one is allowed.
func (a *activeRequest) run(ctx context.Context) error {
	a.lastEventID = a.request.LastEventID
	if err := a.findOrigin(ctx); err != nil {
		return a.finalError(err)
	}
	defer a.abandonReplacement()
	for {
		outcome, err := a.nextAttempt(ctx)
		var notChosen *notChosenError
		if errors.As(err, &notChosen) {
			a.recordRefusedWork(time.Now(), notChosen.cause)
			return a.end(ctx, notChosen.cause)
		}
		if outcome == retry.Answered {
			return nil
		}
		if ctx.Err() != nil {
			return a.end(ctx, context.Cause(ctx))
		}
		if a.writtenStatus != 0 && a.request.Route.Kind != catalog.EventStream {
			return a.finalError(err) // only streams can be resumed
		}
		if a.replacement != nil {
			a.logRetry("request tried again", outcome, err)
			continue
		}
		if a.decide(outcome) != retry.TryAnother {
			return a.end(ctx, err)
		}
		if outcome != retry.NotSent && !a.spendRetryBudget(time.Now(), a.request.Service) {
			return a.end(ctx, err)
		}
		a.logRetry("request tried again", outcome, err)
	}
}

// decide returns the action after an attempt.
func (a *activeRequest) decide(outcome retry.Outcome) retry.Action {
	a.mu.Lock()
	a.attempts.Superseded = len(a.superseded)
	a.mu.Unlock()
	a.attempts.TimeLeft = time.Until(a.endBy())
	return a.attempts.Decide(outcome)
}

// countRun counts the endpoint of the attempt as one at which the request has run, or may have.
func (a *activeRequest) countRun() { a.attempts.Runs = a.runsWithAttempt() }

// runsWithAttempt returns the number of runs together with the one of the present attempt.
func (a *activeRequest) runsWithAttempt() int {
	if a.counted {
		return a.attempts.Runs
	}
	return a.attempts.Runs + 1
}

// end ends a request of which no attempt was answered: with the error response of a replacement if there is
// one, else with an error.
func (a *activeRequest) end(ctx context.Context, cause error) error {
	err := a.finalError(cause)
	a.mu.Lock()
	kept := a.errorResponse
	a.mu.Unlock()
	if kept == nil || a.writtenStatus != 0 || errors.Is(ctx.Err(), context.Canceled) { // the caller has disconnected
		return err
	}
	a.options.Logger.Info("error response of a replacement used", "request", a.request.ID, "status", kept.response.StatusCode, "error", errorText(err))
	a.writeResponse(kept.response, kept.body)
	return nil
}

// notChosenError reports that no endpoint could be chosen.
type notChosenError struct {
	cause error
}

func (e *notChosenError) Error() string { return "no endpoint chosen: " + errorText(e.cause) }

// nextAttempt makes an attempt, or goes on with the replacement of the last one.
func (a *activeRequest) nextAttempt(ctx context.Context) (retry.Outcome, error) {
	if r := a.replacement; r != nil {
		a.replacement = nil
		return a.useReplacement(ctx, r)
	}
	if err := a.chooseEndpoint(ctx); err != nil {
		return retry.NotSent, &notChosenError{cause: err}
	}
	return a.sendAttempt(ctx)
}

// useReplacement goes on with a replacement as the present attempt. A writer that fails in it ends the
// request like one of any other attempt.
func (a *activeRequest) useReplacement(ctx context.Context, r *replacement) (retry.Outcome, error) {
	defer r.cancel(nil)
	<-r.done
	a.attemptState = r.attemptState
	if r.err == nil && r.ctx.Err() != nil {
		r.abandon()
		r.outcome, r.err = retry.Unknown, errors.WithStack(context.Cause(r.ctx))
	}
	a.mu.Lock()
	a.addReplacement(r)
	if r.err == nil {
		a.recordStart(time.Now(), r.choice.Version) // only now: an abandoned one brings no event
	}
	a.mu.Unlock()
	if r.err != nil {
		a.attempts.Add(r.attempts)
		return r.outcome, r.err
	}
	defer r.exchange.Close()
	watch := a.watchSilence(ctx, r.cancel, a.eventGapTimeout())
	a.attempts.Add(r.attempts)
	outcome, err := a.receive(r.ctx, r.exchange, watch)
	a.endWatch(watch, outcome)
	return outcome, err
}

// abandonReplacement cancels a replacement that is not used.
func (a *activeRequest) abandonReplacement() {
	if r := a.replacement; r != nil {
		a.replacement = nil
		r.abandon()
	}
}

// logRetry logs why another attempt follows.
func (a *activeRequest) logRetry(message string, outcome retry.Outcome, err error) {
	a.options.Logger.Info(message, "request", a.request.ID, "endpoint", a.choice.ID, "version", a.choice.Version, "outcome", outcomeNames[outcome],
		"error", errorText(err), "runs", a.attempts.Runs, "refused", a.attempts.Refusals, "left_ms", a.attempts.TimeLeft.Milliseconds(),
		"last_event", a.lastEventID)
}

// outcomeNames are the values of the log attribute "outcome".
var outcomeNames = map[retry.Outcome]string{retry.Answered: "answered", retry.NotSent: "not sent",
	retry.NotRun: "not run", retry.Errored: "endpoint error", retry.Unknown: "unknown"}

// errorText returns the message of an error, "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// chooseEndpoint selects the endpoint of the next attempt. While none is available
// it polls, for as long as endpointWait allows.
func (a *activeRequest) chooseEndpoint(ctx context.Context) error {
	request := a.balanceRequest()
	started, deferral := time.Now(), a.deferral()
	for {
		if err := a.checkQuarantine(); err != nil {
			return err
		}
		now := time.Now()
		if err := a.checkStop(now); err != nil {
			return err
		}
		a.mu.Lock()
		a.setTurn(&request, now, now.Sub(started) >= deferral)
		a.restrictEndpoints(&request, a.attempts)
		a.restrictVersion(&request)
		choice, err := a.table.Choose(now, request)
		if err == nil {
			err = a.admit(now, choice)
		}
		if err == nil {
			a.begin(now, request, choice)
			a.recordStart(now, choice.Version)
		}
		a.mu.Unlock()
		if err == nil {
			return nil
		}
		if now.Sub(started) > a.endpointWait(err, deferral) || !wait.For(ctx, endpointPollInterval) {
			return err
		}
	}
}

// begin records that an attempt is sent to the chosen endpoint. Router.mu must be held.
func (a *activeRequest) begin(now time.Time, request balance.Request, choice balance.Choice) {
	a.attemptState = attemptState{choice: choice, attempt: a.table.RecordSent(now, request, choice), sentAt: now,
		counted: slices.Contains(a.superseded, choice.ID)}
	a.superseded = without(a.superseded, choice.ID)
	a.triedEndpoints = append(a.triedEndpoints, choice.ID)
}

// restrictEndpoints restricts a request that has run at as many endpoints as its route allows to those
// whose attempts were superseded. Router.mu must be held.
func (a *activeRequest) restrictEndpoints(request *balance.Request, attempts retry.Attempts) {
	if attempts.Runs >= attempts.MaxRuns {
		request.OnlyEndpoints = append([]string{}, a.superseded...)
	}
}

// without returns the IDs without one of them.
func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
}

// balanceRequest returns the properties of the request that decide on its endpoint, without restrictVersion.
func (a *activeRequest) balanceRequest() balance.Request {
	request := balance.Request{Service: a.request.Service, PromptTokens: a.request.PromptTokens, Parts: a.request.PromptParts,
		ExpectedOutputTokens: a.request.ExpectedOutputTokens, BodyBytes: len(a.request.Body), Urgency: a.request.Urgency, RouteRank: a.request.Route.Rank,
		LatencyTarget: a.request.Route.LatencyTarget, GapTarget: a.request.Route.GapTarget, TriedEndpoints: a.triedEndpoints, OutsideShare: a.outsideShare}
	return request
}

// endpointWait returns how long to wait for an endpoint after err, where deferral is how long the
// request waits for its turn. If no endpoint of
// the service is known, this entry host may not have received the directory yet; a version that joins
// is recorded soon.
func (a *activeRequest) endpointWait(err error, deferral time.Duration) time.Duration {
	var noEndpoint *balance.NoEndpointError
	if errors.As(err, &noEndpoint) && noEndpoint.Known == noEndpoint.Unrecorded {
		return min(time.Until(a.request.Deadline)/discoveryWaitDivisor, maxDiscoveryWait)
	}
	if noEndpoint != nil && noEndpoint.OtherVersion == noEndpoint.Known {
		return 0 // the version that began the stream may never return
	}
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return 0 // waiting would not change it
	}
	if a.options.Balance.Off.Has(mechanism.Holding) {
		return 0
	}
	if noEndpoint != nil && noEndpoint.Deferrable {
		return deferral + endpointPollInterval
	}
	limit := a.request.Route.LatencyTarget / endpointWaitDivisor
	if noEndpoint != nil && noEndpoint.HeldFor > limit {
		return 0 // no endpoint will be available in time
	}
	return limit
}

// setTurn sets whether the request has waited its turn, here or between a refusal and its return, and what
// that is worth. Router.mu must be held.
func (a *activeRequest) setTurn(request *balance.Request, now time.Time, waited bool) {
	request.Waited, request.Allowance = waited, a.admission.Allowance(now, request.Service, request.RouteRank)
	if a.admission.Returned(now, a.fingerprint) {
		request.Waited, request.Allowance = true, 1
	}
}

// deferral returns how long a request waits for its turn.
func (a *activeRequest) deferral() time.Duration {
	return min(a.request.Route.LatencyTarget, max(time.Until(a.request.Deadline), 0)/deferralDivisor)
}

// sendAttempt makes one attempt. It returns retry.Answered only if the response to
// the caller is complete.
func (a *activeRequest) sendAttempt(ctx context.Context) (retry.Outcome, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := a.watchSilence(ctx, cancel, a.firstResponseTimeout())
	x, outcome, err := a.openAttempt(attemptCtx)
	if err == nil {
		defer x.Close()
		outcome, err = a.receive(attemptCtx, x, watch)
	}
	a.endWatch(watch, outcome)
	return outcome, err
}

// endWatch ends the watch of an attempt. A replacement is kept for the next attempt unless the request
// is answered.
func (a *activeRequest) endWatch(watch *silenceWatch, outcome retry.Outcome) {
	pending, failed := watch.stop()
	a.attempts.Add(failed)
	if pending != nil {
		a.replacement = pending
	}
	if outcome == retry.Answered {
		a.abandonReplacement()
	}
}

// openAttempt sends the request and waits until its response has begun. Without an error it has, and
// the endpoint runs the request or has run it; the exchange must be closed.
func (a *activeRequest) openAttempt(ctx context.Context) (*upstream.Exchange, retry.Outcome, error) {
	x, err := a.client.Do(ctx, a.choice.Address, a.newAttemptRequest(), a.request.Body)
	if err != nil {
		outcome, err := a.handleSendError(ctx, err)
		return nil, outcome, err
	}
	metadata, err := a.matchResponse(x)
	if err != nil {
		x.Close()
		outcome, err := a.handleUnmatchedResponse(err)
		return nil, outcome, err
	}
	a.headReceived = true
	a.confirmServed()
	a.reportedLoad = metadata.Load
	a.applyNotices(x, metadata)
	if metadata.NotRun {
		x.Close()
		a.attempts.Refusals++
		a.recordEnd(balance.NotRun)
		return nil, retry.NotRun, &endpointStatusError{Status: x.Response.StatusCode}
	}
	a.countRun()
	if !metadata.HasSignature {
		x.Close()
		a.recordEnd(balance.Failed)
		return nil, retry.Unknown, &upstream.ProtocolError{Reason: "the answer has no signature"}
	}
	a.recordResponding()
	if a.request.Route.Kind != catalog.EventStream || !isSuccess(x.Response.StatusCode) {
		a.recordBegan()
	}
	return x, retry.Unknown, nil
}

// receive forwards a response that has begun.
func (a *activeRequest) receive(ctx context.Context, x *upstream.Exchange, watch *silenceWatch) (retry.Outcome, error) {
	switch success := isSuccess(x.Response.StatusCode); {
	case a.request.Route.Kind == catalog.EventStream && success:
		if a.writtenStatus != 0 {
			if err := a.checkContinuation(x.Response); err != nil {
				a.recordBegan()
				a.recordEnd(balance.Failed)
				return retry.Unknown, err
			}
		}
		return a.forwardStream(ctx, x, watch)
	case a.writtenStatus != 0:
		// The caller has received part of a stream; an error body must not follow it.
		a.recordEnd(balance.ErrorResponse)
		return retry.Errored, &endpointStatusError{Status: x.Response.StatusCode}
	}
	return a.forwardBuffered(ctx, x, watch)
}

// applyNotices applies what a response says of its endpoint: that it leaves, or wants no
// requests for a time.
func (a *activeRequest) applyNotices(x *upstream.Exchange, metadata ResponseMetadata) {
	if metadata.Leaving {
		x.CloseConnectionAfterResponse()
		a.client.CloseIdle(a.choice.Address)
	}
	if metadata.Limit.Stated {
		a.mu.Lock()
		a.table.RecordLimit(time.Now(), a.attempt, metadata.Limit.Limited, metadata.Limit.RequestsPerSecond)
		a.mu.Unlock()
	}
	if metadata.Limit.Limited {
		a.options.Logger.Info("endpoint limits its requests", "endpoint", a.choice.ID, "per_second", metadata.Limit.RequestsPerSecond, "request", a.request.ID)
	}
	if !metadata.Leaving && metadata.Hold <= 0 {
		return
	}
	hold := holdWithJitter(metadata.Hold, rand.Float64())
	a.mu.Lock()
	if metadata.Leaving {
		a.table.RecordLeaving(a.attempt)
	}
	a.table.RecordHold(time.Now(), a.attempt, hold)
	a.mu.Unlock()
	a.options.Logger.Info("endpoint wants no requests", "endpoint", a.choice.ID, "leaving", metadata.Leaving, "hold_ms", hold.Milliseconds(), "request", a.request.ID)
}

// holdWithJitter returns a time for which an endpoint wants no requests, at most
// balance.MaxHold, and up to a quarter more within a limit, so that the entry hosts don't return to it together. jitterFraction is at
// least 0 and below 1.
func holdWithJitter(hold time.Duration, jitterFraction float64) time.Duration {
	hold = min(hold, balance.MaxHold)
	return hold + time.Duration(jitterFraction*float64(min(hold/4, maxHoldJitter)))
}

// endpointStatusError is a response whose status says that the request was not served.
type endpointStatusError struct {
	Status int
}

func (e *endpointStatusError) Error() string {
	return "the endpoint answered " + http.StatusText(e.Status)
}

// firstResponseTimeout returns how long the endpoint may take until its response
// starts, 0 for no limit.
func (a *activeRequest) firstResponseTimeout() time.Duration {
	if a.options.Balance.Off.Has(mechanism.Patience) || !a.request.Route.SafeToRetry() || a.runsWithAttempt() >= a.attempts.MaxRuns {
		return 0
	}
	return max(firstResponseTimeoutFactor*max(a.request.Route.LatencyTarget, a.choice.ExpectedWait), minFirstResponseTimeout)
}

// eventGapTimeout returns how long a stream may pause between events until a replacement is tried, 0
// for no limit.
func (a *activeRequest) eventGapTimeout() time.Duration {
	if a.firstResponseTimeout() == 0 {
		return 0
	}
	return max(eventGapTimeoutFactor*a.request.Route.GapTarget, minEventGapTimeout)
}

// newAttemptRequest builds the request that an attempt sends to its endpoint.
func (a *activeRequest) newAttemptRequest() *http.Request {
	r := a.request
	out := &http.Request{Method: r.Method, URL: &url.URL{Opaque: r.RequestURI}, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        a.options.Dialect.AttemptHeader(r, Attempt{Endpoint: a.choice.ID, TimeRemaining: time.Until(a.endBy()), LastEventID: a.lastEventID, CopySourceAddress: a.choice.CopySourceAddress}),
		ContentLength: int64(len(r.Body))}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return out
}

// handleSendError returns the outcome of an attempt without a response: not sent, or
// unknown because the endpoint may have run the request.
func (a *activeRequest) handleSendError(ctx context.Context, err error) (retry.Outcome, error) {
	if errors.Is(err, unix.ECONNREFUSED) {
		a.recordEnd(balance.Unreachable)
		a.attempts.Unreachable++
		return retry.NotSent, err
	}
	a.recordFailure(ctx, err)
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		a.attempts.Refusals++
		return retry.NotSent, err
	}
	a.countRun()
	if ctx.Err() == nil {
		a.recordBegan() // the endpoint may have run it before its answer was lost
	}
	return retry.Unknown, err
}

// recordFailure records an attempt without a complete response. It counts as a failure
// of the endpoint unless the caller or the deadline cancelled the attempt.
func (a *activeRequest) recordFailure(ctx context.Context, err error) {
	var timedOut *responseTimeoutError
	result := balance.Failed
	if ctx.Err() != nil && !errors.As(context.Cause(ctx), &timedOut) {
		result = balance.Cancelled
	}
	if ctx.Err() == nil {
		a.logBrokenAttempt(err)
		a.recordBroken(time.Now(), err)
	}
	a.recordEnd(result)
}

// logBrokenAttempt logs an attempt whose connection the endpoint ended early. The attribute
// "parts" lists the parts of the prompt: if an endpoint crashes, all its attempts break, and
// only the one with a head and without an event can be the cause. "fingerprint" tells whether
// the same request was at other endpoints that crashed.
func (a *activeRequest) logBrokenAttempt(err error) {
	a.options.Logger.Info("attempt broken off by the endpoint", "request", a.request.ID, "workspace", a.request.Workspace, "route", a.request.Route.Name,
		"endpoint", a.choice.ID, "head", a.headReceived, "events", a.attemptEvents, "parts", formatParts(a.request.PromptParts), "fingerprint", formatKey(a.fingerprint), "error", errorText(err))
}

// formatParts returns the IDs of prompt parts in hexadecimal, separated by commas.
func formatParts(parts []balance.PromptPart) string {
	var ids []string
	for _, part := range parts {
		ids = append(ids, formatKey(part.ID))
	}
	return strings.Join(ids, ",")
}

// recordResponse records that an event or a complete response has arrived.
func (a *activeRequest) recordResponse() {
	now := time.Now()
	first := a.firstResponseAt.IsZero()
	if first {
		a.firstResponseAt = now
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if first {
		a.recordFirstEventForAdmission(now)
	}
	a.table.RecordFirstEvent(now, a.attempt, a.reportedLoad)
	if a.request.Route.Kind == catalog.EventStream {
		a.table.RecordEvent(now, a.attempt)
	}
}

// recordEnd records the result of the attempt.
func (a *activeRequest) recordEnd(result balance.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.RecordEnd(time.Now(), a.attempt, result, a.reportedLoad)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// finalError converts the error that ended the request into the one that Serve returns.
// A *RequestError as the cause means that the deadline has passed; see errTimedOut.
func (a *activeRequest) finalError(cause error) error {
	var timedOut *RequestError
	if errors.As(cause, &timedOut) {
		a.recordDeadlineForAdmission(time.Now())
	}
	if a.writtenStatus != 0 {
		// The caller has received part of the response; it must not look complete.
		return &TruncatedResponseError{Cause: cause}
	}
	detail := errorText(cause)
	var quarantined *QuarantinedError
	var unknownOrigin *UnknownOriginError
	var stopped *StoppedError
	switch {
	case errors.As(cause, &timedOut) && a.attempts.Runs > 0:
		return timedOut
	case errors.As(cause, &timedOut):
		return &RequestError{Reason: ExpiredBeforeStart, Detail: detail, RetryAfter: defaultRetryAfter}
	case a.attempts.Runs > 0:
		return &RequestError{Reason: OutcomeUnknown, Detail: detail}
	case errors.As(cause, &stopped):
		return NotRunAtStop()
	case errors.As(cause, &quarantined):
		return &RequestError{Reason: Quarantined, Detail: detail, RetryAfter: quarantineRetryAfter}
	case errors.As(cause, &unknownOrigin):
		return &RequestError{Reason: UnknownOrigin, Detail: detail, RetryAfter: defaultRetryAfter}
	}
	return a.refuse(cause)
}

// retryAfterWithJitter returns the Retry-After of a refused request: half of the shortest
// expected wait, within limits, by when about half of the queued work is done. If no
// endpoint takes requests before a time that it asked for, it is that time. Jitter is
// added so that callers refused together don't retry together. jitterFraction is at least 0
// and below 1.
func retryAfterWithJitter(err *balance.NoEndpointError, jitterFraction float64) time.Duration {
	base := min(max(err.ShortestWait/2, defaultRetryAfter), maxRetryAfter)
	if err.Limited > 0 && err.TooLate+err.Full == 0 {
		base = maxRetryAfter // permits are few
	}
	if err.Held > 0 && err.TooLate+err.Full+err.Limited == 0 {
		base = max(base, err.HeldFor)
	}
	return base + time.Duration(jitterFraction*float64(base))
}

// TruncatedResponseError is returned if a response ended after its start had been
// written. The connection must be aborted, so that the caller doesn't take the part
// for a complete response. There is no Unwrap: errors.As must not find a cause that
// would be written to the caller as a response of its own.
type TruncatedResponseError struct {
	Cause error
}

func (e *TruncatedResponseError) Error() string { return "answer broken off: " + errorText(e.Cause) }

// recordMetrics updates the metrics with the end of a request.
func (a *activeRequest) recordMetrics(err error) {
	registry, name := a.options.Metrics, a.request.Route.Name
	if a.attempts.Runs+a.attempts.Refusals > 1 {
		registry.AddToCounter(metrics.Retries, int64(a.attempts.Runs+a.attempts.Refusals-1))
	}
	if a.resumeCount > 0 {
		registry.AddToCounter(metrics.StreamsResumed, 1)
	}
	if !a.firstResponseAt.IsZero() {
		registry.RecordDuration(metrics.ClassFirstTokenPrefix+name, a.firstResponseAt.Sub(a.request.ReceivedAt))
	}
	var requestErr *RequestError
	var truncated *TruncatedResponseError
	switch {
	case err == nil:
		registry.AddToCounter(metrics.ClassFinishedPrefix+name, 1)
		if a.metTargets() {
			registry.AddToCounter(metrics.ClassAttainedPrefix+name, 1)
		}
	case errors.As(err, &truncated):
		registry.AddToCounter(metrics.StreamsBroken, 1)
	case errors.As(err, &requestErr):
		registry.AddToCounter(metrics.RefusedPrefix+string(requestErr.Reason), 1)
	}
}

// metTargets reports whether a successful response met the latency target and, for a
// stream, the gap target.
func (a *activeRequest) metTargets() bool {
	route := a.request.Route
	inTime := a.firstResponseAt.Sub(a.request.ReceivedAt) <= route.LatencyTarget
	return isSuccess(a.writtenStatus) && inTime && (route.GapTarget <= 0 || a.longestGap <= route.GapTarget)
}

// logEnd logs the end of a request. Its attribute "home" tells whether the endpoint is the
// preferred one, "unread" is the number of prompt tokens that it was expected to prefill,
// and "left" tells whether the caller disconnected or the deadline passed, unless the entry stopped before.
func (a *activeRequest) logEnd(ctx context.Context, err error) {
	r, now := a.request, time.Now()
	var stopped *StoppedError
	left := ctx.Err() != nil && !errors.As(context.Cause(ctx), &stopped)
	firstResponseMS := int64(-1)
	if !a.firstResponseAt.IsZero() {
		firstResponseMS = a.firstResponseAt.Sub(r.ReceivedAt).Milliseconds()
	}
	a.options.Logger.Info("request ended", "request", r.ID, "fingerprint", formatKey(a.fingerprint), "route", r.Route.Name, "workspace", r.Workspace,
		"service", r.Service, "endpoint", a.choice.ID, "version", a.choice.Version, "resumed", r.ResumedID, "resumed_after", r.LastEventID, "cross", a.choice.CrossDomain, "home", a.choice.Preferred, "expected_ms", a.choice.ExpectedWait.Milliseconds(),
		"unread", a.choice.PrefillTokens, "copied", a.choice.CopiedTokens, "copy_from", a.choice.CopySourceAddress, "report_age_ms", a.choice.ReportAge.Milliseconds(), "candidates", a.choice.CandidateCount,
		"urgency", r.Urgency, "outside_share", a.outsideShare, "status", a.writtenStatus, "runs", a.attempts.Runs, "refused", a.attempts.Refusals, "resumes", a.resumeCount,
		"first_ms", firstResponseMS, "target_ms", r.Route.LatencyTarget.Milliseconds(), "pause_ms", a.longestGap.Milliseconds(), "pause_target_ms", r.Route.GapTarget.Milliseconds(), "took_ms", now.Sub(r.ReceivedAt).Milliseconds(), "left", left, "error", errorText(err))
}
