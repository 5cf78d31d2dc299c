package forward

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/admission"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// admit returns nil if the request is to be sent to its chosen endpoint now, and otherwise a
// *admission.Refusal. Router.mu must be held.
func (a *activeRequest) admit(now time.Time, choice balance.Choice) error {
	if a.options.Balance.Off.Has(mechanism.AdmissionByEnd) {
		return nil
	}
	if refusal := a.admission.Decide(now, a.admissionRequest(now, choice)); refusal != nil {
		return refusal
	}
	return nil
}

// admissionRequest returns the properties of the request that decide whether it is begun.
// Router.mu must be held.
func (a *activeRequest) admissionRequest(now time.Time, choice balance.Choice) admission.Request {
	r := a.request
	request := admission.Request{Service: r.Service, Route: r.Route.Name, Fingerprint: a.fingerprint, Rank: r.Route.Rank,
		IsPrompt: r.PromptTokens > 0, LatencyTarget: r.Route.LatencyTarget, FirstEvent: choice.ExpectedWait, QueueWait: choice.QueueWait(), TimeLeft: r.Deadline.Sub(now)}
	if tokens := a.tokensPerEvent[r.Service]; tokens > 0 && r.Route.Kind == catalog.EventStream {
		request.Events = (r.ExpectedOutputTokens+tokens-1)/tokens - receivedEvents(a.lastEventID)
	}
	return request
}

// receivedEvents returns how many events a caller has, by the id of the last one: ids usually
// count from 1. It returns 0 for an id that is not a small number.
func receivedEvents(lastEventID string) int {
	n, err := strconv.ParseUint(lastEventID, 10, 16)
	if err != nil {
		return 0 // also without an id
	}
	return int(n)
}

// refuse returns the error of a request that no endpoint runs for lack of capacity or time, with a
// Retry-After that lets it end within its deadline, or none.
func (a *activeRequest) refuse(cause error) *RequestError {
	now := time.Now()
	refused := &RequestError{Reason: NoEndpoint, Detail: errorText(cause)}
	var refusal *admission.Refusal
	var noEndpoint *balance.NoEndpointError
	left := a.request.Deadline.Sub(now)
	switch {
	case errors.As(cause, &refusal) && refusal.Reason == admission.ReturnedTooEarly:
		refused.RetryAfter = refusal.ReturnIn
	case errors.As(cause, &refusal):
		refused.RetryAfter = admission.ReturnIn(refusal.Backlog, refusal.ExpectedEnd, left, rand.Float64())
	case errors.As(cause, &noEndpoint):
		refused.RetryAfter = retryAfterWithJitter(noEndpoint, rand.Float64())
	default:
		refused.RetryAfter = defaultRetryAfter
	}
	// A time that all endpoints asked for is passed on as it is.
	if held := noEndpoint != nil && refused.RetryAfter >= noEndpoint.HeldFor && noEndpoint.HeldFor > 0; refused.RetryAfter >= left && !held {
		refused.RetryAfter = 0
	}
	if refusal != nil || noEndpoint != nil && noEndpoint.TooLate+noEndpoint.Full > 0 {
		a.recordRefused(now, refused.RetryAfter)
	}
	return refused
}

// recordRefused remembers the Retry-After of the caller, if it got one.
func (a *activeRequest) recordRefused(now time.Time, returnIn time.Duration) {
	if returnIn <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.RecordRefused(now, a.fingerprint, returnIn)
}

// recordFirstEventForAdmission records whether the first event of a stream met its target.
// Router.mu must be held.
func (a *activeRequest) recordFirstEventForAdmission(now time.Time) {
	if a.request.Route.Kind == catalog.EventStream && a.request.Route.LatencyTarget > 0 {
		a.admission.RecordStream(now, a.request.Service, a.request.Route.Rank, now.Sub(a.request.ReceivedAt) > a.request.Route.LatencyTarget)
	}
}

// recordDeadlineForAdmission records a stream that has not ended within its deadline.
func (a *activeRequest) recordDeadlineForAdmission(now time.Time) {
	if a.request.Route.Kind != catalog.EventStream || a.attempts.Runs == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.RecordStream(now, a.request.Service, a.request.Route.Rank, true)
}
