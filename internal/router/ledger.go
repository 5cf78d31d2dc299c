package router

import (
	"context"
	"time"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Bounds of the calls about protected requests.
const (
	claimTimeout   = 3 * time.Second
	settleTimeout  = 3 * time.Second
	agentTimeout   = 3 * time.Second
	startWindow    = 2 * time.Minute // from a claim to the latest start of its attempt
	inspectWait    = 5 * time.Second // one wait for a running attempt
	ledgerAttempts = 3
	ledgerPause    = 100 * time.Millisecond
)

// claim asks the ledger for the right to run one attempt. A resend after a
// lost answer is safe: the ledger knows the request's identity.
func (rt *Router) claim(ctx context.Context, q *query, picked choice, after uint32) (*trefoilkeelv1.ClaimResponse, error) {
	request := &trefoilkeelv1.ClaimRequest{
		Workspace:    q.workspace.Name,
		Key:          q.key,
		BodyDigest:   q.digest,
		RequestId:    q.id,
		Endpoint:     picked.endpoint.GetName(),
		Incarnation:  picked.endpoint.GetIncarnation(),
		AfterAttempt: after,
	}
	var response *connect.Response[trefoilkeelv1.ClaimResponse]
	err := again(ctx, claimTimeout, func(ctx context.Context) (err error) {
		response, err = rt.options.Ledger.Claim(ctx, connect.NewRequest(request))
		return err
	})
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// lookup reads a claim without making one.
func (rt *Router) lookup(ctx context.Context, q *query) (*trefoilkeelv1.ClaimResponse, error) {
	request := &trefoilkeelv1.LookupRequest{Workspace: q.workspace.Name, Key: q.key}
	var response *connect.Response[trefoilkeelv1.ClaimResponse]
	err := again(ctx, claimTimeout, func(ctx context.Context) (err error) {
		response, err = rt.options.Ledger.Lookup(ctx, connect.NewRequest(request))
		return err
	})
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// settle records how an attempt ended. It goes on without the caller: the
// record is for the repeats.
func (rt *Router) settle(ctx context.Context, q *query, held held, execution trefoilkeelv1.Execution, answer *trefoilkeelv1.StoredAnswer) error {
	request := &trefoilkeelv1.SettleRequest{
		Workspace: q.workspace.Name,
		Key:       q.key,
		Attempt:   held.attempt,
		RequestId: held.requestID,
		Execution: execution,
		Answer:    answer,
	}
	err := again(context.WithoutCancel(ctx), settleTimeout, func(ctx context.Context) error {
		_, err := rt.options.Ledger.Settle(ctx, connect.NewRequest(request))
		return err
	})
	rt.logger.Info("settle", "request", held.requestID, "attempt", held.attempt, "workspace", q.workspace.Name,
		"execution", execution.String(), "error", err)
	return err
}

// again calls a few times until the call succeeds or the time is over. The
// call must be safe to repeat.
func again(ctx context.Context, timeout time.Duration, call func(ctx context.Context) error) error {
	var err error
	for range ledgerAttempts {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err = call(callCtx)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		wait.For(ctx, ledgerPause)
	}
	return err
}
