package router

import (
	"context"
	"time"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Timeouts and retry limits of ledger and agent calls.
const (
	claimTimeout        = 3 * time.Second
	settleTimeout       = 3 * time.Second
	agentCallTimeout    = 3 * time.Second
	maxStartDelay       = 2 * time.Minute // from the dispatch of a claimed attempt; the agent refuses a later start
	inspectLongPollWait = 5 * time.Second // how long one Inspect call waits for a running attempt to end
	maxLedgerCalls      = 3
	retryDelay          = 100 * time.Millisecond
)

// claimAttempt asks the ledger for the right to run one attempt. Resending after a
// lost response is safe, because the claim carries the request ID. notRunAttempt
// is the previous attempt that is known not to have run, 0 for none.
func (rt *Router) claimAttempt(ctx context.Context, req *callerRequest, selected selection, notRunAttempt uint32) (*trefoilkeelv1.ClaimResponse, error) {
	request := &trefoilkeelv1.ClaimRequest{
		Workspace:    req.workspace.Name,
		Key:          req.idempotencyKey,
		BodyDigest:   req.requestDigest,
		RequestId:    req.id,
		Endpoint:     selected.endpoint.GetName(),
		Incarnation:  selected.endpoint.GetIncarnation(),
		AfterAttempt: notRunAttempt,
	}
	var response *connect.Response[trefoilkeelv1.ClaimResponse]
	err := retryCall(ctx, claimTimeout, func(ctx context.Context) (err error) {
		response, err = rt.options.LedgerClient.Claim(ctx, connect.NewRequest(request))
		return err
	})
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// lookupClaim reads a claim without creating one.
func (rt *Router) lookupClaim(ctx context.Context, req *callerRequest) (*trefoilkeelv1.ClaimResponse, error) {
	request := &trefoilkeelv1.LookupRequest{Workspace: req.workspace.Name, Key: req.idempotencyKey}
	var response *connect.Response[trefoilkeelv1.ClaimResponse]
	err := retryCall(ctx, claimTimeout, func(ctx context.Context) (err error) {
		response, err = rt.options.LedgerClient.Lookup(ctx, connect.NewRequest(request))
		return err
	})
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// settleAttempt records the result of an attempt in the ledger. It ignores
// cancellation by the caller, because repeated requests need the record.
func (rt *Router) settleAttempt(ctx context.Context, req *callerRequest, holder claimHolder, execution trefoilkeelv1.Execution, answer *trefoilkeelv1.StoredAnswer) error {
	request := &trefoilkeelv1.SettleRequest{
		Workspace: req.workspace.Name,
		Key:       req.idempotencyKey,
		Attempt:   holder.attempt,
		RequestId: holder.requestID,
		Execution: execution,
		Answer:    answer,
	}
	err := retryCall(context.WithoutCancel(ctx), settleTimeout, func(ctx context.Context) error {
		_, err := rt.options.LedgerClient.Settle(ctx, connect.NewRequest(request))
		return err
	})
	rt.logger.Info("settle", "request", holder.requestID, "attempt", holder.attempt, "workspace", req.workspace.Name,
		"execution", execution.String(), "error", err)
	return err
}

// retryCall retries an idempotent call up to maxLedgerCalls times, until it
// succeeds or ctx ends. The timeout applies to each call.
func retryCall(ctx context.Context, timeout time.Duration, call func(ctx context.Context) error) error {
	var err error
	for range maxLedgerCalls {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err = call(callCtx)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		wait.For(ctx, retryDelay)
	}
	return err
}
