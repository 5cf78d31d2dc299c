package router

import (
	"context"
	"time"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// unreachableTries is how often an agent that does not answer is asked.
const unreachableTries = 3

// follow waits for the end of an attempt that holds the claim and settles
// what the agent says of it. It never starts anything.
func (e *protectedCall) follow(ctx context.Context, holder held) (outcome, bool) {
	ctx, cancel := context.WithDeadline(ctx, e.query.deadline())
	defer cancel()
	failures := 0
	for ctx.Err() == nil && failures < unreachableTries {
		inspected, err := e.inspect(ctx, holder)
		if err != nil {
			if away, ok := err.(*AgentAwayError); ok && away.Replaced {
				return e.lost(ctx, holder), true
			}
			failures++
			wait.For(ctx, ledgerPause)
			continue
		}
		if end, ended, known := e.inspected(ctx, holder, inspected); known {
			return end, ended
		}
	}
	return unknown("an attempt is running or its endpoint can't be reached; repeat with the same key to learn its end"), true
}

// inspect asks the agent what became of the attempt.
func (e *protectedCall) inspect(ctx context.Context, holder held) (*trefoilkeelv1.InspectResponse, error) {
	client, gone := e.agent(holder)
	if client == nil {
		return nil, &AgentAwayError{Endpoint: holder.endpoint, Replaced: gone}
	}
	callCtx, cancel := context.WithTimeout(ctx, inspectWait+agentTimeout)
	defer cancel()
	response, err := client.Inspect(callCtx, connect.NewRequest(&trefoilkeelv1.InspectRequest{
		RequestId: holder.requestID, Attempt: holder.attempt, Incarnation: holder.incarnation,
		WaitMs: uint64(inspectWait / time.Millisecond),
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// inspected acts on the phase of an attempt. known is false while it goes on;
// ended is false if the request may claim a new attempt.
func (e *protectedCall) inspected(ctx context.Context, holder held, r *trefoilkeelv1.InspectResponse) (end outcome, ended, known bool) {
	e.router.logger.Info("inspect", "request", holder.requestID, "attempt", holder.attempt, "endpoint", holder.endpoint, "phase", r.GetPhase().String())
	switch r.GetPhase() {
	case trefoilkeelv1.RequestPhase_REQUEST_PHASE_FINISHED:
		_ = e.router.settle(ctx, e.query, holder, trefoilkeelv1.Execution_EXECUTION_RAN, r.GetAnswer())
		return outcome{answer: r.GetAnswer()}, true, true
	case trefoilkeelv1.RequestPhase_REQUEST_PHASE_FAILED, trefoilkeelv1.RequestPhase_REQUEST_PHASE_OTHER_INCARNATION:
		return e.lost(ctx, holder), true, true
	case trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED, trefoilkeelv1.RequestPhase_REQUEST_PHASE_ABSENT:
		return e.tombstoned(ctx, holder)
	default:
		return outcome{}, false, false
	}
}

// tombstoned makes sure that an attempt which the agent has not run never
// runs, and frees the claim.
func (e *protectedCall) tombstoned(ctx context.Context, holder held) (end outcome, ended, known bool) {
	execution, err := e.tombstone(ctx, holder)
	if err != nil || execution != trefoilkeelv1.Execution_EXECUTION_NOT_RUN {
		return outcome{}, false, false
	}
	if err := e.router.settle(ctx, e.query, holder, trefoilkeelv1.Execution_EXECUTION_NOT_RUN, nil); err != nil {
		return e.ledgerDown(err), true, true
	}
	e.after = holder.attempt
	return outcome{}, false, true
}

// lost settles an attempt that started, or may have, and has no answer.
func (e *protectedCall) lost(ctx context.Context, holder held) outcome {
	_ = e.router.settle(ctx, e.query, holder, trefoilkeelv1.Execution_EXECUTION_UNKNOWN, nil)
	return unknown("the attempt's end is not known; it will not run again")
}
