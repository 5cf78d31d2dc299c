package router

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

// claimHolder identifies the attempt that holds a request's claim in the ledger.
type claimHolder struct {
	requestID   string
	attempt     uint32
	endpoint    string
	incarnation uint64
}

func claimHolderFrom(c *trefoilkeelv1.ClaimResponse) claimHolder {
	return claimHolder{requestID: c.GetRequestId(), attempt: c.GetAttempt(), endpoint: c.GetEndpoint(), incarnation: c.GetIncarnation()}
}

// protectedCall is a protected request with its attempts. It dispatches only under a
// granted claim, and claims another attempt only after the previous one is certain
// never to run.
type protectedCall struct {
	answerMemory  *answer.Buffer // of the answer, until it is written
	router        *Router
	request       *callerRequest
	history       attemptHistory
	notRunAttempt uint32 // latest attempt that is known not to have run, 0 for none
}

// outcome is the result of a protected request; exactly one field is set.
type outcome struct {
	answer *trefoilkeelv1.StoredAnswer
	err    *dispatch.RequestError
}

func (rt *Router) serveProtected(w http.ResponseWriter, r *http.Request, req *callerRequest) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline())
	defer cancel()
	c := &protectedCall{router: rt, request: req, answerMemory: rt.answerMemory.NewBuffer()}
	defer c.answerMemory.Release()
	result := c.run(ctx)
	if result.err != nil {
		rt.writeError(w, req, result.err)
		return
	}
	rt.writeStoredAnswer(w, req, result.answer)
}

// writeStoredAnswer sends a stored answer, or an error if the answer was too large
// to store.
func (rt *Router) writeStoredAnswer(w http.ResponseWriter, req *callerRequest, answer *trefoilkeelv1.StoredAnswer) {
	if answer.GetOmitted() {
		rt.writeError(w, req, &dispatch.RequestError{Type: dispatch.AnswerNotStored, Status: http.StatusConflict, Execution: dispatch.ExecutionRan,
			Message: "the request ran once; its answer was too large to keep"})
		return
	}
	header := http.Header{}
	if contentType := answer.GetContentType(); contentType != "" {
		header.Set("Content-Type", contentType)
	}
	rt.writeResponse(w, req, int(answer.GetStatus()), header, answer.GetBody())
}

// run claims and dispatches attempts until one determines the outcome or the
// deadline passes.
func (c *protectedCall) run(ctx context.Context) outcome {
	for ctx.Err() == nil && c.history.attempts < maxAttempts {
		selected, reqErr := c.router.selectEndpoint(c.request, &c.history)
		if reqErr != nil {
			return c.answerFromLedger(ctx, reqErr)
		}
		claim, err := c.router.claimAttempt(ctx, c.request, selected, c.notRunAttempt)
		if err != nil {
			c.router.selector.recordResult(selected.endpoint.GetName(), int(c.request.class.Tier), routing.Cancelled)
			return c.ledgerUnavailable(err)
		}
		result, done := c.handleClaim(ctx, selected, claim)
		if done {
			return result
		}
	}
	return c.endUnanswered(ctx)
}

// handleClaim dispatches the attempt if the claim was granted to this request, and
// otherwise determines the outcome from the existing claim. The boolean is false if
// the request may claim another attempt.
func (c *protectedCall) handleClaim(ctx context.Context, selected selection, claim *trefoilkeelv1.ClaimResponse) (outcome, bool) {
	req := c.request
	c.router.logger.Info("claim", "request", req.id, "workspace", req.workspace.Name, "class", req.class.Name,
		"state", claim.GetState().String(), "attempt", claim.GetAttempt(), "endpoint", claim.GetEndpoint(), "holder", claim.GetRequestId())
	granted := claim.GetState() == trefoilkeelv1.ClaimState_CLAIM_STATE_GRANTED && claim.GetRequestId() == req.id
	if granted {
		return c.dispatchAttempt(ctx, selected, claim)
	}
	c.router.selector.recordResult(selected.endpoint.GetName(), int(req.class.Tier), routing.Cancelled)
	return c.joinExistingClaim(ctx, claim)
}

// joinExistingClaim determines the outcome from an existing claim; it waits for an
// attempt that is running. The boolean is false if the request may claim another
// attempt.
func (c *protectedCall) joinExistingClaim(ctx context.Context, claim *trefoilkeelv1.ClaimResponse) (outcome, bool) {
	switch claim.GetState() {
	case trefoilkeelv1.ClaimState_CLAIM_STATE_SETTLED:
		return outcome{answer: claim.GetAnswer()}, true
	case trefoilkeelv1.ClaimState_CLAIM_STATE_UNKNOWN:
		return unknownOutcome("an earlier attempt ended without an answer; it will not run again"), true
	case trefoilkeelv1.ClaimState_CLAIM_STATE_CONFLICT:
		return outcome{err: notRunError(dispatch.IdempotencyKeyConflict, http.StatusUnprocessableEntity, "this Idempotency-Key was used with another request")}, true
	case trefoilkeelv1.ClaimState_CLAIM_STATE_FULL:
		ledgerFull := notRunError(dispatch.LedgerUnavailable, http.StatusServiceUnavailable, "the ledger is full; nothing was recorded")
		ledgerFull.RetryAfter = time.Minute
		return outcome{err: ledgerFull}, true
	case trefoilkeelv1.ClaimState_CLAIM_STATE_NOT_RUN:
		c.notRunAttempt = claim.GetAttempt()
		return outcome{}, false
	case trefoilkeelv1.ClaimState_CLAIM_STATE_RUNNING, trefoilkeelv1.ClaimState_CLAIM_STATE_GRANTED:
		return c.awaitAttempt(ctx, claimHolderFrom(claim))
	default:
		return unknownOutcome("the ledger's answer can't be read"), true
	}
}

// dispatchAttempt makes the one attempt that the claim grants and settles it.
func (c *protectedCall) dispatchAttempt(ctx context.Context, selected selection, claim *trefoilkeelv1.ClaimResponse) (outcome, bool) {
	req, holder := c.request, claimHolderFrom(claim)
	a := &attempt{request: req, number: holder.attempt, selected: selected, body: req.body, attemptsBefore: c.history.attempts}
	a.latestStartUnixMS = time.Now().Add(maxStartDelay).UnixMilli()
	answer, reqErr, err := c.sendAndRead(ctx, a)
	c.history.record(selected.endpoint.GetName(), reqErr != nil && reqErr.Type == dispatch.Busy)
	tier, name := int(req.class.Tier), selected.endpoint.GetName()
	switch {
	case err != nil:
		c.router.logger.Warn("attempt failed", "request", req.id, "endpoint", name, "error", err, "protected", true)
		c.router.selector.recordResult(name, tier, routing.Failed)
		return c.awaitAttempt(context.WithoutCancel(ctx), holder)
	case reqErr != nil:
		c.router.selector.recordResult(name, tier, routing.Refused)
		return c.handleAgentError(ctx, holder, reqErr)
	default:
		c.router.selector.recordResult(name, tier, routing.Succeeded)
		_ = c.router.settleAttempt(ctx, req, holder, trefoilkeelv1.Execution_EXECUTION_RAN, answer)
		return outcome{answer: answer}, true
	}
}

// sendAndRead sends the attempt and reads its complete answer.
func (c *protectedCall) sendAndRead(ctx context.Context, a *attempt) (*trefoilkeelv1.StoredAnswer, *dispatch.RequestError, error) {
	response, err := c.router.sendAttempt(ctx, a)
	if reqErr := asNotRunError(err); reqErr != nil {
		return nil, reqErr, nil
	}
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if reqErr, err := c.router.matchResponse(a, response); reqErr != nil || err != nil {
		return nil, reqErr, err
	}
	body, err := readCompleteBody(a, response, c.answerMemory)
	if err != nil {
		return nil, nil, err
	}
	return &trefoilkeelv1.StoredAnswer{
		Status:      uint32(response.StatusCode),
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil, nil
}

// handleAgentError handles an error that an agent returned for a granted attempt. If
// it does not say not-run, the attempt may still be running or have an answer.
func (c *protectedCall) handleAgentError(ctx context.Context, holder claimHolder, reqErr *dispatch.RequestError) (outcome, bool) {
	c.router.logger.Info("agent refused", "request", c.request.id, "attempt", holder.attempt, "type", reqErr.Type, "execution", reqErr.Execution)
	if reqErr.Execution != dispatch.ExecutionNotRun {
		return c.awaitAttempt(context.WithoutCancel(ctx), holder)
	}
	return c.settleNotRun(ctx, holder, reqErr)
}

// settleNotRun settles the attempt as not run once that is confirmed, and lets the
// request continue at another endpoint if reqErr allows it.
func (c *protectedCall) settleNotRun(ctx context.Context, holder claimHolder, reqErr *dispatch.RequestError) (outcome, bool) {
	if !c.confirmNotRun(ctx, holder, reqErr) {
		return c.awaitAttempt(context.WithoutCancel(ctx), holder)
	}
	if err := c.router.settleAttempt(ctx, c.request, holder, trefoilkeelv1.Execution_EXECUTION_NOT_RUN, nil); err != nil {
		return c.ledgerUnavailable(err), true
	}
	c.notRunAttempt = holder.attempt
	if canTryNextEndpoint(reqErr) && ctx.Err() == nil {
		return outcome{}, false
	}
	return outcome{err: reqErr}, true
}

// confirmNotRun reports whether an attempt that has not run can never run, even if a
// delayed copy reaches the agent. Either no byte of it was sent to the agent; or the
// agent recorded that the endpoint was unreachable, and refuses a copy; or the agent
// serves another incarnation and refuses this one permanently; or the agent holds the
// attempt's tombstone.
func (c *protectedCall) confirmNotRun(ctx context.Context, holder claimHolder, reqErr *dispatch.RequestError) bool {
	if reqErr.Type == dispatch.WrongIncarnation || reqErr.Type == dispatch.EndpointFailed {
		return true
	}
	execution, err := c.tombstoneAttempt(context.WithoutCancel(ctx), holder)
	return err == nil && execution == trefoilkeelv1.Execution_EXECUTION_NOT_RUN
}

// agentClient returns a client for the agent of the claim holder's endpoint, nil if
// the directory does not list it. replaced reports that the endpoint has a newer
// incarnation.
func (c *protectedCall) agentClient(holder claimHolder) (client trefoilkeelv1connect.AgentServiceClient, replaced bool) {
	for _, endpoint := range c.router.options.ConfigSource.Endpoints() {
		if endpoint.GetName() != holder.endpoint {
			continue
		}
		if endpoint.GetIncarnation() > holder.incarnation {
			return nil, true
		}
		return trefoilkeelv1connect.NewAgentServiceClient(c.router.options.AgentClient, endpoint.GetAgentUrl()), false
	}
	return nil, false
}

// tombstoneAttempt asks the agent to refuse the attempt permanently.
func (c *protectedCall) tombstoneAttempt(ctx context.Context, holder claimHolder) (trefoilkeelv1.Execution, error) {
	client, replaced := c.agentClient(holder)
	if client == nil {
		return trefoilkeelv1.Execution_EXECUTION_UNKNOWN, &AgentUnavailableError{Endpoint: holder.endpoint, Replaced: replaced}
	}
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	response, err := client.Tombstone(ctx, connect.NewRequest(&trefoilkeelv1.TombstoneRequest{
		RequestId: holder.requestID, Attempt: holder.attempt, Incarnation: holder.incarnation,
	}))
	if err != nil {
		return trefoilkeelv1.Execution_EXECUTION_UNKNOWN, err
	}
	return response.Msg.GetExecution(), nil
}

// AgentUnavailableError reports that the agent that received a claimed attempt
// cannot be called.
type AgentUnavailableError struct {
	Endpoint string
	Replaced bool // the endpoint has a newer incarnation
}

// Error returns the endpoint and the reason.
func (e *AgentUnavailableError) Error() string {
	if e.Replaced {
		return "endpoint " + e.Endpoint + " has another incarnation"
	}
	return "endpoint " + e.Endpoint + " is not in the directory"
}

// ledgerUnavailable returns the outcome if the ledger cannot be read or written.
// This call started nothing, but an earlier one with the same key may have, so the
// execution is unknown.
func (c *protectedCall) ledgerUnavailable(err error) outcome {
	c.router.logger.Warn("ledger unavailable", "request", c.request.id, "error", err)
	reqErr := notRunError(dispatch.LedgerUnavailable, http.StatusServiceUnavailable, "the ledger can't be reached; this call started nothing")
	reqErr.Execution = dispatch.ExecutionUnknown
	reqErr.RetryAfter = time.Second
	return outcome{err: reqErr}
}

// answerFromLedger answers a repeated request from the ledger when no endpoint is
// available to run it.
func (c *protectedCall) answerFromLedger(ctx context.Context, reqErr *dispatch.RequestError) outcome {
	claim, err := c.router.lookupClaim(ctx, c.request)
	if err != nil {
		return c.ledgerUnavailable(err)
	}
	switch claim.GetState() {
	case trefoilkeelv1.ClaimState_CLAIM_STATE_NONE, trefoilkeelv1.ClaimState_CLAIM_STATE_NOT_RUN:
		return outcome{err: reqErr}
	}
	result, done := c.joinExistingClaim(ctx, claim)
	if !done {
		return outcome{err: reqErr}
	}
	return result
}

// endUnanswered returns the outcome if the deadline passed or the limit on attempts
// was reached.
func (c *protectedCall) endUnanswered(ctx context.Context) outcome {
	if ctx.Err() == nil {
		return outcome{err: notRunError(dispatch.NoEndpoint, http.StatusServiceUnavailable, "every endpoint refused")}
	}
	deadlineErr := endError(ctx, c.notRunAttempt == 0)
	if c.notRunAttempt == 0 {
		deadlineErr.Execution = dispatch.ExecutionUnknown
	}
	return outcome{err: deadlineErr}
}

// unknownOutcome returns an error that says it is unknown whether the request ran.
func unknownOutcome(message string) outcome {
	return outcome{err: &dispatch.RequestError{Type: dispatch.OutcomeUnknown, Status: http.StatusConflict, Execution: dispatch.ExecutionUnknown, Message: message}}
}
