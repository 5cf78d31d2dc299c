package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// StoppingError reports that the host is stopping and another control host
// should be called.
type StoppingError struct{}

// Error implements the error interface.
func (e *StoppingError) Error() string { return "the control host is stopping" }

// AnnounceError reports why an endpoint was refused a lease.
type AnnounceError struct {
	Endpoint string
	Refusal  pb.JoinRefusal
}

// Error implements the error interface.
func (e *AnnounceError) Error() string {
	return "endpoint " + e.Endpoint + " gets no lease: " + e.Refusal.String()
}

// code returns the Connect status code for the refusal.
func (e *AnnounceError) code() connect.Code {
	switch e.Refusal {
	case pb.JoinRefusal_JOIN_REFUSAL_SUPERSEDED:
		return connect.CodeAlreadyExists
	case pb.JoinRefusal_JOIN_REFUSAL_FULL:
		return connect.CodeResourceExhausted
	default:
		return connect.CodeInvalidArgument
	}
}

// directoryService implements the DirectoryService API.
type directoryService struct{ server *Server }

// Announce grants an endpoint a lease and an incarnation.
func (d *directoryService) Announce(ctx context.Context, r *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	join := &pb.JoinCommand{
		Endpoint:     r.Msg.GetEndpoint(),
		Nonce:        r.Msg.GetNonce(),
		MaxEndpoints: uint32(d.server.settings.MaxEndpoints),
	}
	result, err := d.server.propose(ctx, &pb.Command{Command: &pb.Command_Join{Join: join}})
	if err != nil {
		return nil, rpcError(err)
	}
	joined := result.GetJoin()
	if joined.GetRefusal() != pb.JoinRefusal_JOIN_REFUSAL_UNSPECIFIED {
		refused := &AnnounceError{Endpoint: r.Msg.GetEndpoint().GetName(), Refusal: joined.GetRefusal()}
		d.server.logger.Warn("announcement refused", "endpoint", refused.Endpoint, "reason", refused.Refusal.String())
		return nil, connect.NewError(refused.code(), refused)
	}
	d.server.logger.Info("endpoint joined", "endpoint", r.Msg.GetEndpoint().GetName(),
		"incarnation", joined.GetIncarnation(), "fence", joined.GetFence())
	return connect.NewResponse(&pb.AnnounceResponse{
		Incarnation: joined.GetIncarnation(),
		Fence:       joined.GetFence(),
		LeaseMs:     d.server.leaseMs(),
	}), nil
}

// Heartbeat renews a lease. It is answered from this host's own replica, so it
// works while the leader is unreachable.
func (d *directoryService) Heartbeat(_ context.Context, r *connect.Request[pb.HeartbeatRequest]) (*connect.Response[pb.HeartbeatResponse], error) {
	newestIncarnation, newestFence := d.server.machine.LastGranted()
	response := &pb.HeartbeatResponse{Fence: newestFence, LeaseMs: d.server.leaseMs()}
	member, found := d.server.machine.Member(r.Msg.GetName())
	present := found && member.Endpoint.GetIncarnation() == r.Msg.GetIncarnation()
	grantNotApplied := r.Msg.GetIncarnation() > newestIncarnation
	if !present && !grantNotApplied {
		return connect.NewResponse(response), nil
	}
	response.Known = true
	if present {
		response.Wanted = member.WantedState
		response.Orders = member.PendingOrders
	}
	d.server.heartbeats.record(d.server.now(), r.Msg)
	d.server.loads.record(r.Msg.GetName(), r.Msg.GetIncarnation(), r.Msg.GetLoad())
	if present && needsUpdate(member.Endpoint, member.WantedState, r.Msg.GetState(), r.Msg.GetModels()) {
		d.server.heartbeats.requestReport()
	}
	return connect.NewResponse(response), nil
}

// Leave removes an incarnation from the directory, so that it gets no new work.
func (d *directoryService) Leave(ctx context.Context, r *connect.Request[pb.LeaveRequest]) (*connect.Response[pb.LeaveResponse], error) {
	leave := &pb.LeaveCommand{Incarnations: []*pb.Incarnation{
		{Name: r.Msg.GetName(), Incarnation: r.Msg.GetIncarnation()},
	}}
	if _, err := d.server.propose(ctx, &pb.Command{Command: &pb.Command_Leave{Leave: leave}}); err != nil {
		return nil, rpcError(err)
	}
	d.server.logger.Info("endpoint left", "endpoint", r.Msg.GetName(), "incarnation", r.Msg.GetIncarnation())
	return connect.NewResponse(&pb.LeaveResponse{}), nil
}

// Report accepts the heartbeats and subscribers collected by another control
// host, if this host is the leader.
func (d *directoryService) Report(_ context.Context, r *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	if _, ok := d.server.leaderTerm(); !ok {
		return connect.NewResponse(&pb.ReportResponse{}), nil
	}
	now := d.server.now()
	for _, b := range r.Msg.GetBeats() {
		receivedAt := now.Add(-time.Duration(b.GetAgeMs()) * time.Millisecond)
		d.server.leaderState.recordHeartbeat(receivedAt, b)
		d.server.loads.record(b.GetName(), b.GetIncarnation(), b.GetLoad())
	}
	d.server.subscribers.recordReport(now, r.Msg.GetReporter(), r.Msg.GetSubscribers())
	_, version := d.server.machine.Endpoints()
	return connect.NewResponse(&pb.ReportResponse{
		Leading:          true,
		Loads:            d.server.loads.all(),
		Subscribers:      d.server.subscribers.all(now),
		Revision:         d.server.machine.Configuration().Revision,
		DirectoryVersion: version,
	}), nil
}

func (s *Server) leaseMs() uint64 { return uint64(s.settings.LeaseDuration.Milliseconds()) }
