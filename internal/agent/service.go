package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// maxInspectWait bounds how long Inspect waits for an end.
const maxInspectWait = 30 * time.Second

// service is the AgentService over an agent.
type service struct {
	agent *Agent
}

// Tombstone refuses an attempt for good unless it has started.
func (s *service) Tombstone(_ context.Context, r *connect.Request[trefoilkeelv1.TombstoneRequest]) (*connect.Response[trefoilkeelv1.TombstoneResponse], error) {
	id := s.agent.identity.Load()
	if id == nil || id.incarnation != r.Msg.GetIncarnation() {
		return connect.NewResponse(&trefoilkeelv1.TombstoneResponse{Execution: trefoilkeelv1.Execution_EXECUTION_UNKNOWN}), nil
	}
	phase, err := id.records.tombstone(attemptID{request: r.Msg.GetRequestId(), attempt: r.Msg.GetAttempt()})
	if err != nil {
		s.agent.askNewIncarnation()
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	execution := trefoilkeelv1.Execution_EXECUTION_RAN
	if phase == trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED {
		execution = trefoilkeelv1.Execution_EXECUTION_NOT_RUN
	}
	s.agent.logger.Info("tombstone", "request", r.Msg.GetRequestId(), "attempt", r.Msg.GetAttempt(), "execution", execution.String())
	return connect.NewResponse(&trefoilkeelv1.TombstoneResponse{Execution: execution}), nil
}

// Inspect tells what became of a protected attempt.
func (s *service) Inspect(ctx context.Context, r *connect.Request[trefoilkeelv1.InspectRequest]) (*connect.Response[trefoilkeelv1.InspectResponse], error) {
	id := s.agent.identity.Load()
	if id == nil || id.incarnation != r.Msg.GetIncarnation() {
		return inspected(trefoilkeelv1.RequestPhase_REQUEST_PHASE_OTHER_INCARNATION, nil)
	}
	rec := id.records.find(attemptID{request: r.Msg.GetRequestId(), attempt: r.Msg.GetAttempt()})
	if rec == nil {
		return inspected(trefoilkeelv1.RequestPhase_REQUEST_PHASE_ABSENT, nil)
	}
	wait := min(time.Duration(r.Msg.GetWaitMs())*time.Millisecond, maxInspectWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-rec.finished:
	case <-timer.C:
	case <-ctx.Done():
	}
	phase, answer := id.records.read(rec)
	return inspected(phase, answer)
}

func inspected(phase trefoilkeelv1.RequestPhase, answer *trefoilkeelv1.StoredAnswer) (*connect.Response[trefoilkeelv1.InspectResponse], error) {
	return connect.NewResponse(&trefoilkeelv1.InspectResponse{Phase: phase, Answer: answer}), nil
}

// Cancel is refused for protected attempts that run; an unprotected one is
// cancelled by closing its connection.
func (s *service) Cancel(context.Context, *connect.Request[trefoilkeelv1.CancelRequest]) (*connect.Response[trefoilkeelv1.CancelResponse], error) {
	return connect.NewResponse(&trefoilkeelv1.CancelResponse{Phase: trefoilkeelv1.RequestPhase_REQUEST_PHASE_ABSENT}), nil
}

// Drain refuses new work from now on, or takes it again.
func (s *service) Drain(_ context.Context, r *connect.Request[trefoilkeelv1.AgentDrainRequest]) (*connect.Response[trefoilkeelv1.AgentDrainResponse], error) {
	s.agent.SetDraining(!r.Msg.GetUndo())
	return connect.NewResponse(&trefoilkeelv1.AgentDrainResponse{Running: uint32(s.agent.running.Load())}), nil
}

// Execute carries out an order unless its fencing number is older than the
// newest one seen.
func (s *service) Execute(ctx context.Context, r *connect.Request[trefoilkeelv1.ExecuteRequest]) (*connect.Response[trefoilkeelv1.ExecuteResponse], error) {
	accepted, newest := s.agent.Execute(ctx, r.Msg.GetOrder())
	return connect.NewResponse(&trefoilkeelv1.ExecuteResponse{Accepted: accepted, NewestFence: newest}), nil
}
