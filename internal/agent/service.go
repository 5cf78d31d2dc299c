package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// maxInspectWait is the longest time that Inspect waits for an attempt to end.
const maxInspectWait = 30 * time.Second

// agentService implements the AgentService RPCs.
type agentService struct {
	agent *Agent
}

// Tombstone refuses an attempt permanently unless it has started.
func (s *agentService) Tombstone(_ context.Context, r *connect.Request[trefoilkeelv1.TombstoneRequest]) (*connect.Response[trefoilkeelv1.TombstoneResponse], error) {
	current := s.agent.incarnation.Load()
	if current == nil || current.number != r.Msg.GetIncarnation() {
		return connect.NewResponse(&trefoilkeelv1.TombstoneResponse{Execution: trefoilkeelv1.Execution_EXECUTION_UNKNOWN}), nil
	}
	phase, err := current.attempts.tombstone(attemptID{request: r.Msg.GetRequestId(), attempt: r.Msg.GetAttempt()})
	if err != nil {
		s.agent.requestNewIncarnation()
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	execution := trefoilkeelv1.Execution_EXECUTION_RAN
	if phase == trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED {
		execution = trefoilkeelv1.Execution_EXECUTION_NOT_RUN
	}
	s.agent.logger.Info("tombstone", "request", r.Msg.GetRequestId(), "attempt", r.Msg.GetAttempt(), "execution", execution.String())
	return connect.NewResponse(&trefoilkeelv1.TombstoneResponse{Execution: execution}), nil
}

// Inspect returns the phase and the answer of a protected attempt. It waits up
// to the requested time for the attempt to end.
func (s *agentService) Inspect(ctx context.Context, r *connect.Request[trefoilkeelv1.InspectRequest]) (*connect.Response[trefoilkeelv1.InspectResponse], error) {
	current := s.agent.incarnation.Load()
	if current == nil || current.number != r.Msg.GetIncarnation() {
		return newInspectResponse(trefoilkeelv1.RequestPhase_REQUEST_PHASE_OTHER_INCARNATION, nil)
	}
	rec := current.attempts.lookup(attemptID{request: r.Msg.GetRequestId(), attempt: r.Msg.GetAttempt()})
	if rec == nil {
		return newInspectResponse(trefoilkeelv1.RequestPhase_REQUEST_PHASE_ABSENT, nil)
	}
	wait := min(time.Duration(r.Msg.GetWaitMs())*time.Millisecond, maxInspectWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-rec.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	phase, answer := current.attempts.phaseAndAnswer(rec)
	return newInspectResponse(phase, answer)
}

func newInspectResponse(phase trefoilkeelv1.RequestPhase, answer *trefoilkeelv1.StoredAnswer) (*connect.Response[trefoilkeelv1.InspectResponse], error) {
	return connect.NewResponse(&trefoilkeelv1.InspectResponse{Phase: phase, Answer: answer}), nil
}

// Cancel cancels nothing: a protected attempt that runs can't be cancelled, and
// an unprotected one is cancelled by closing its connection.
func (s *agentService) Cancel(context.Context, *connect.Request[trefoilkeelv1.CancelRequest]) (*connect.Response[trefoilkeelv1.CancelResponse], error) {
	return connect.NewResponse(&trefoilkeelv1.CancelResponse{Phase: trefoilkeelv1.RequestPhase_REQUEST_PHASE_ABSENT}), nil
}

// Drain starts or ends a drain of the endpoint.
func (s *agentService) Drain(_ context.Context, r *connect.Request[trefoilkeelv1.AgentDrainRequest]) (*connect.Response[trefoilkeelv1.AgentDrainResponse], error) {
	s.agent.SetDraining(!r.Msg.GetUndo())
	return connect.NewResponse(&trefoilkeelv1.AgentDrainResponse{Running: uint32(s.agent.activeRequests.Load())}), nil
}

// Execute forwards an order to the engine, unless its fencing number is older
// than the newest one seen.
func (s *agentService) Execute(ctx context.Context, r *connect.Request[trefoilkeelv1.ExecuteRequest]) (*connect.Response[trefoilkeelv1.ExecuteResponse], error) {
	accepted, newestFence := s.agent.Execute(ctx, r.Msg.GetOrder())
	return connect.NewResponse(&trefoilkeelv1.ExecuteResponse{Accepted: accepted, NewestFence: newestFence}), nil
}
