package router

import (
	"context"
	"time"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// maxInspectFailures is how many failed Inspect calls end the wait for an attempt.
const maxInspectFailures = 3

// awaitAttempt waits until the attempt that holds the claim ends and settles the
// result that the agent reports. It never starts an attempt. The boolean is false if
// the request may claim another one.
func (c *protectedCall) awaitAttempt(ctx context.Context, holder claimHolder) (outcome, bool) {
	ctx, cancel := context.WithDeadline(ctx, c.request.deadline())
	defer cancel()
	defer context.AfterFunc(c.router.requestCtx, cancel)() // callers have cut ctx off from that of the request
	failures := 0
	for ctx.Err() == nil && failures < maxInspectFailures {
		response, err := c.inspectAttempt(ctx, holder)
		if err != nil {
			if agentErr, ok := err.(*AgentUnavailableError); ok && agentErr.Replaced {
				return c.settleUnknown(ctx, holder), true
			}
			failures++
			wait.For(ctx, retryDelay)
			continue
		}
		if result, done, resolved := c.handlePhase(ctx, holder, response); resolved {
			return result, done
		}
	}
	return unknownOutcome("an attempt is running or its endpoint can't be reached; repeat with the same key to learn its end"), true
}

// inspectAttempt asks the agent for the phase of the attempt.
func (c *protectedCall) inspectAttempt(ctx context.Context, holder claimHolder) (*trefoilkeelv1.InspectResponse, error) {
	client, replaced := c.agentClient(holder)
	if client == nil {
		return nil, &AgentUnavailableError{Endpoint: holder.endpoint, Replaced: replaced}
	}
	callCtx, cancel := context.WithTimeout(ctx, inspectLongPollWait+agentCallTimeout)
	defer cancel()
	response, err := client.Inspect(callCtx, connect.NewRequest(&trefoilkeelv1.InspectRequest{
		RequestId: holder.requestID, Attempt: holder.attempt, Incarnation: holder.incarnation,
		WaitMs: uint64(inspectLongPollWait / time.Millisecond),
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// handlePhase acts on the phase of an attempt. resolved is false if the attempt must
// be inspected again: it is waiting or running, or its tombstone failed. done is false
// if the request may claim another attempt.
func (c *protectedCall) handlePhase(ctx context.Context, holder claimHolder, response *trefoilkeelv1.InspectResponse) (result outcome, done, resolved bool) {
	c.router.logger.Info("inspect", "request", holder.requestID, "attempt", holder.attempt, "endpoint", holder.endpoint, "phase", response.GetPhase().String())
	switch response.GetPhase() {
	case trefoilkeelv1.RequestPhase_REQUEST_PHASE_FINISHED:
		_ = c.router.settleAttempt(ctx, c.request, holder, trefoilkeelv1.Execution_EXECUTION_RAN, response.GetAnswer())
		return outcome{answer: response.GetAnswer()}, true, true
	case trefoilkeelv1.RequestPhase_REQUEST_PHASE_FAILED, trefoilkeelv1.RequestPhase_REQUEST_PHASE_OTHER_INCARNATION:
		return c.settleUnknown(ctx, holder), true, true
	case trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED, trefoilkeelv1.RequestPhase_REQUEST_PHASE_ABSENT:
		return c.tombstoneAndSettle(ctx, holder)
	default:
		return outcome{}, false, false
	}
}

// tombstoneAndSettle ensures that an attempt which the agent has not run never
// runs, and settles it as not run, so that the request may claim another attempt.
func (c *protectedCall) tombstoneAndSettle(ctx context.Context, holder claimHolder) (result outcome, done, resolved bool) {
	execution, err := c.tombstoneAttempt(ctx, holder)
	if err != nil || execution != trefoilkeelv1.Execution_EXECUTION_NOT_RUN {
		return outcome{}, false, false
	}
	if err := c.router.settleAttempt(ctx, c.request, holder, trefoilkeelv1.Execution_EXECUTION_NOT_RUN, nil); err != nil {
		return c.ledgerUnavailable(err), true, true
	}
	c.notRunAttempt = holder.attempt
	return outcome{}, false, true
}

// settleUnknown settles an attempt that started, or may have, and has no answer.
func (c *protectedCall) settleUnknown(ctx context.Context, holder claimHolder) outcome {
	_ = c.router.settleAttempt(ctx, c.request, holder, trefoilkeelv1.Execution_EXECUTION_UNKNOWN, nil)
	return unknownOutcome("the attempt's end is not known; it will not run again")
}
