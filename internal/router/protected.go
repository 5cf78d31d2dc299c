package router

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

// held names the attempt that holds a claim.
type held struct {
	requestID   string
	attempt     uint32
	endpoint    string
	incarnation uint64
}

// heldBy reads the holder out of a ledger answer.
func heldBy(c *trefoilkeelv1.ClaimResponse) held {
	return held{requestID: c.GetRequestId(), attempt: c.GetAttempt(), endpoint: c.GetEndpoint(), incarnation: c.GetIncarnation()}
}

// protectedCall is a protected request and its attempts. It makes no attempt without a
// granted claim, and no second claim without the tombstone of the first.
type protectedCall struct {
	router *Router
	query  *query
	walk   walk
	after  uint32 // attempt that is known not to have run, 0 for none
}

// outcome is how a protected request ends for its caller: one of the two is set.
type outcome struct {
	answer  *trefoilkeelv1.StoredAnswer
	refused *dispatch.Refusal
}

// serveProtected answers a request that runs at most once.
func (rt *Router) serveProtected(w http.ResponseWriter, r *http.Request, q *query) {
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline())
	defer cancel()
	e := &protectedCall{router: rt, query: q}
	end := e.run(ctx)
	if end.refused != nil {
		rt.refuse(w, q, end.refused)
		return
	}
	rt.writeStored(w, q, end.answer)
}

// writeStored sends a stored answer, or says that it was not kept.
func (rt *Router) writeStored(w http.ResponseWriter, q *query, answer *trefoilkeelv1.StoredAnswer) {
	if answer.GetOmitted() {
		rt.refuse(w, q, &dispatch.Refusal{Type: dispatch.AnswerNotKept, Status: http.StatusConflict, Execution: dispatch.Ran,
			Message: "the request ran once; its answer was too large to keep"})
		return
	}
	header := http.Header{}
	if kind := answer.GetContentType(); kind != "" {
		header.Set("Content-Type", kind)
	}
	rt.writeAnswer(w, q, int(answer.GetStatus()), header, answer.GetBody())
}

// run goes on until the request has an answer, a refusal, or no time left.
func (e *protectedCall) run(ctx context.Context) outcome {
	for ctx.Err() == nil && e.walk.hops < maxHops {
		picked, refused := e.router.choose(e.query, &e.walk)
		if refused != nil {
			return e.withoutEndpoint(ctx, refused)
		}
		claim, err := e.router.claim(ctx, e.query, picked, e.after)
		if err != nil {
			e.router.picker.finished(picked.endpoint.GetName(), int(e.query.class.Tier), routing.Cancelled)
			return e.ledgerDown(err)
		}
		end, ended := e.claimed(ctx, picked, claim)
		if ended {
			return end
		}
	}
	return e.timeOver(ctx)
}

// claimed acts on the ledger's answer to a claim.
func (e *protectedCall) claimed(ctx context.Context, picked choice, claim *trefoilkeelv1.ClaimResponse) (outcome, bool) {
	q := e.query
	e.router.logger.Info("claim", "request", q.id, "workspace", q.workspace.Name, "class", q.class.Name,
		"state", claim.GetState().String(), "attempt", claim.GetAttempt(), "endpoint", claim.GetEndpoint(), "holder", claim.GetRequestId())
	mine := claim.GetState() == trefoilkeelv1.ClaimState_CLAIM_STATE_GRANTED && claim.GetRequestId() == q.id
	if mine {
		return e.dispatch(ctx, picked, claim)
	}
	e.router.picker.finished(picked.endpoint.GetName(), int(q.class.Tier), routing.Cancelled)
	return e.attach(ctx, claim)
}

// attach follows a claim that another attempt made.
func (e *protectedCall) attach(ctx context.Context, claim *trefoilkeelv1.ClaimResponse) (outcome, bool) {
	switch claim.GetState() {
	case trefoilkeelv1.ClaimState_CLAIM_STATE_SETTLED:
		return outcome{answer: claim.GetAnswer()}, true
	case trefoilkeelv1.ClaimState_CLAIM_STATE_UNKNOWN:
		return unknown("an earlier attempt ended without an answer; it will not run again"), true
	case trefoilkeelv1.ClaimState_CLAIM_STATE_CONFLICT:
		return outcome{refused: refusal(dispatch.KeyConflict, http.StatusUnprocessableEntity, "this Idempotency-Key was used with another request")}, true
	case trefoilkeelv1.ClaimState_CLAIM_STATE_FULL:
		full := refusal(dispatch.LedgerUnavailable, http.StatusServiceUnavailable, "the ledger is full; nothing was recorded")
		full.RetryAfter = time.Minute
		return outcome{refused: full}, true
	case trefoilkeelv1.ClaimState_CLAIM_STATE_NOT_RUN:
		e.after = claim.GetAttempt()
		return outcome{}, false
	case trefoilkeelv1.ClaimState_CLAIM_STATE_RUNNING, trefoilkeelv1.ClaimState_CLAIM_STATE_GRANTED:
		return e.follow(ctx, heldBy(claim))
	default:
		return unknown("the ledger's answer can't be read"), true
	}
}

// dispatch makes the one attempt that the claim grants.
func (e *protectedCall) dispatch(ctx context.Context, picked choice, claim *trefoilkeelv1.ClaimResponse) (outcome, bool) {
	q, holder := e.query, heldBy(claim)
	t := &attempt{query: q, number: holder.attempt, choice: picked, body: q.body, hops: e.walk.hops}
	t.notAfter = time.Now().Add(startWindow).UnixMilli()
	answer, refused, err := e.exchange(ctx, t)
	e.walk.leave(picked.endpoint.GetName(), refused != nil && refused.Type == dispatch.Busy)
	tier, name := int(q.class.Tier), picked.endpoint.GetName()
	switch {
	case err != nil:
		e.router.logger.Warn("attempt failed", "request", q.id, "endpoint", name, "error", err, "protected", true)
		e.router.picker.finished(name, tier, routing.Failed)
		return e.follow(context.WithoutCancel(ctx), holder)
	case refused != nil:
		e.router.picker.finished(name, tier, routing.Refused)
		return e.refusedBy(ctx, holder, refused)
	default:
		e.router.picker.finished(name, tier, routing.Succeeded)
		_ = e.router.settle(ctx, q, holder, trefoilkeelv1.Execution_EXECUTION_RAN, answer)
		return outcome{answer: answer}, true
	}
}

// exchange sends the attempt and reads its whole answer.
func (e *protectedCall) exchange(ctx context.Context, t *attempt) (*trefoilkeelv1.StoredAnswer, *dispatch.Refusal, error) {
	response, err := e.router.send(ctx, t)
	if refused := notSent(err); refused != nil {
		return nil, refused, nil
	}
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if refused := refusalIn(response); refused != nil {
		return nil, refused, nil
	}
	if err := t.bound(response); err != nil {
		return nil, nil, err
	}
	body, err := readWhole(t, response)
	if err != nil {
		return nil, nil, err
	}
	return &trefoilkeelv1.StoredAnswer{
		Status:      uint32(response.StatusCode),
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil, nil
}

// refusedBy acts on an agent's refusal of a granted attempt. "Not run" from
// the agent is final for this attempt: its record refuses a late copy.
func (e *protectedCall) refusedBy(ctx context.Context, holder held, refused *dispatch.Refusal) (outcome, bool) {
	e.router.logger.Info("agent refused", "request", e.query.id, "attempt", holder.attempt, "type", refused.Type, "execution", refused.Execution)
	if refused.Execution != dispatch.NotRun {
		return e.follow(context.WithoutCancel(ctx), holder)
	}
	return e.notRun(ctx, holder, refused)
}

// notRun confirms the tombstone, settles the attempt as not run, and lets the
// request go on at another endpoint if the refusal allows it.
func (e *protectedCall) notRun(ctx context.Context, holder held, refused *dispatch.Refusal) (outcome, bool) {
	if !e.confirmed(ctx, holder, refused) {
		return e.follow(context.WithoutCancel(ctx), holder)
	}
	if err := e.router.settle(ctx, e.query, holder, trefoilkeelv1.Execution_EXECUTION_NOT_RUN, nil); err != nil {
		return e.ledgerDown(err), true
	}
	e.after = holder.attempt
	if moves(refused) && ctx.Err() == nil {
		return outcome{}, false
	}
	return outcome{refused: refused}, true
}

// confirmed reports whether the attempt can never run: it never left, or the
// agent serves another incarnation and refuses this one for good, or the agent
// has its tombstone.
func (e *protectedCall) confirmed(ctx context.Context, holder held, refused *dispatch.Refusal) bool {
	if refused.Type == dispatch.WrongIncarnation || refused.Type == dispatch.EndpointFailed {
		return true
	}
	execution, err := e.tombstone(context.WithoutCancel(ctx), holder)
	return err == nil && execution == trefoilkeelv1.Execution_EXECUTION_NOT_RUN
}

// agent returns the AgentService of an endpoint, or nil if the directory does
// not hold it; gone says that another incarnation has taken its place.
func (e *protectedCall) agent(holder held) (client trefoilkeelv1connect.AgentServiceClient, gone bool) {
	for _, endpoint := range e.router.options.Source.Endpoints() {
		if endpoint.GetName() != holder.endpoint {
			continue
		}
		if endpoint.GetIncarnation() > holder.incarnation {
			return nil, true
		}
		return trefoilkeelv1connect.NewAgentServiceClient(e.router.options.Agents, endpoint.GetAgentUrl()), false
	}
	return nil, false
}

// tombstone asks the agent to refuse an attempt for good.
func (e *protectedCall) tombstone(ctx context.Context, holder held) (trefoilkeelv1.Execution, error) {
	client, gone := e.agent(holder)
	if client == nil {
		return trefoilkeelv1.Execution_EXECUTION_UNKNOWN, &AgentAwayError{Endpoint: holder.endpoint, Replaced: gone}
	}
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	response, err := client.Tombstone(ctx, connect.NewRequest(&trefoilkeelv1.TombstoneRequest{
		RequestId: holder.requestID, Attempt: holder.attempt, Incarnation: holder.incarnation,
	}))
	if err != nil {
		return trefoilkeelv1.Execution_EXECUTION_UNKNOWN, err
	}
	return response.Msg.GetExecution(), nil
}

// AgentAwayError says that the agent of a claim can't be asked.
type AgentAwayError struct {
	Endpoint string
	Replaced bool // another incarnation serves under the name
}

// Error names the endpoint.
func (e *AgentAwayError) Error() string {
	if e.Replaced {
		return "endpoint " + e.Endpoint + " has another incarnation"
	}
	return "endpoint " + e.Endpoint + " is not in the directory"
}

// ledgerDown refuses because a claim could not be recorded. This call started
// nothing, but an earlier one under the same key may have: not-run can't be said.
func (e *protectedCall) ledgerDown(err error) outcome {
	e.router.logger.Warn("ledger unavailable", "request", e.query.id, "error", err)
	refused := refusal(dispatch.LedgerUnavailable, http.StatusServiceUnavailable, "the ledger can't be reached; this call started nothing")
	refused.Execution = dispatch.Unknown
	refused.RetryAfter = time.Second
	return outcome{refused: refused}
}

// withoutEndpoint answers a repeat from the ledger although no endpoint is
// left to run it.
func (e *protectedCall) withoutEndpoint(ctx context.Context, refused *dispatch.Refusal) outcome {
	claim, err := e.router.lookup(ctx, e.query)
	if err != nil {
		return e.ledgerDown(err)
	}
	switch claim.GetState() {
	case trefoilkeelv1.ClaimState_CLAIM_STATE_NONE, trefoilkeelv1.ClaimState_CLAIM_STATE_NOT_RUN:
		return outcome{refused: refused}
	}
	end, ended := e.attach(ctx, claim)
	if !ended {
		return outcome{refused: refused}
	}
	return end
}

// timeOver ends a request whose deadline passed before an answer came.
func (e *protectedCall) timeOver(ctx context.Context) outcome {
	if ctx.Err() == nil {
		return outcome{refused: refusal(dispatch.NoEndpoint, http.StatusServiceUnavailable, "every endpoint refused")}
	}
	late := refusal(dispatch.DeadlineExceeded, http.StatusGatewayTimeout, "the class's deadline passed before a start")
	if e.after == 0 {
		late.Execution = dispatch.Unknown
	}
	return outcome{refused: late}
}

// unknown tells the caller that a run is uncertain.
func unknown(message string) outcome {
	return outcome{refused: &dispatch.Refusal{Type: dispatch.OutcomeUnknown, Status: http.StatusConflict, Execution: dispatch.Unknown, Message: message}}
}
