package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// StoppingError says that the host is stopping; another one will answer.
type StoppingError struct{}

// Error says so.
func (e *StoppingError) Error() string { return "the control host is stopping" }

// AnnounceError says why an endpoint got no lease.
type AnnounceError struct {
	Endpoint string
	Refusal  pb.JoinRefusal
}

// Error names the endpoint and the reason.
func (e *AnnounceError) Error() string {
	return "endpoint " + e.Endpoint + " gets no lease: " + e.Refusal.String()
}

// code is the status that a refused announcement is sent with.
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

// directoryService serves pb.DirectoryService.
type directoryService struct{ s *Server }

// Announce asks for a lease and an incarnation for one endpoint.
func (d *directoryService) Announce(ctx context.Context, r *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	join := &pb.JoinCommand{
		Endpoint:     r.Msg.GetEndpoint(),
		Nonce:        r.Msg.GetNonce(),
		MaxEndpoints: uint32(d.s.settings.MaxEndpoints),
	}
	result, err := d.s.propose(ctx, &pb.Command{Command: &pb.Command_Join{Join: join}})
	if err != nil {
		return nil, rpcError(err)
	}
	joined := result.GetJoin()
	if joined.GetRefusal() != pb.JoinRefusal_JOIN_REFUSAL_UNSPECIFIED {
		refused := &AnnounceError{Endpoint: r.Msg.GetEndpoint().GetName(), Refusal: joined.GetRefusal()}
		d.s.logger.Warn("announcement refused", "endpoint", refused.Endpoint, "reason", refused.Refusal.String())
		return nil, connect.NewError(refused.code(), refused)
	}
	d.s.logger.Info("endpoint joined", "endpoint", r.Msg.GetEndpoint().GetName(),
		"incarnation", joined.GetIncarnation(), "fence", joined.GetFence())
	return connect.NewResponse(&pb.AnnounceResponse{
		Incarnation: joined.GetIncarnation(),
		Fence:       joined.GetFence(),
		LeaseMs:     d.s.leaseMs(),
	}), nil
}

// Heartbeat renews a lease. It is answered from this host's own state, also
// while the leader is out of reach.
func (d *directoryService) Heartbeat(_ context.Context, r *connect.Request[pb.HeartbeatRequest]) (*connect.Response[pb.HeartbeatResponse], error) {
	newest, fence := d.s.machine.Newest()
	answer := &pb.HeartbeatResponse{Fence: fence, LeaseMs: d.s.leaseMs()}
	m, found := d.s.machine.Member(r.Msg.GetName())
	present := found && m.Endpoint.GetIncarnation() == r.Msg.GetIncarnation()
	behind := r.Msg.GetIncarnation() > newest
	if !present && !behind {
		return connect.NewResponse(answer), nil
	}
	answer.Known = true
	if present {
		answer.Wanted = m.Wanted
		answer.Orders = m.Orders
	}
	d.s.beats.put(d.s.now(), r.Msg)
	d.s.loads.put(r.Msg.GetName(), r.Msg.GetIncarnation(), r.Msg.GetLoad())
	if present && differs(m.Endpoint, m.Wanted, r.Msg.GetState(), r.Msg.GetModels()) {
		d.s.beats.hurry()
	}
	return connect.NewResponse(answer), nil
}

// Leave ends an incarnation: no new work is sent to it.
func (d *directoryService) Leave(ctx context.Context, r *connect.Request[pb.LeaveRequest]) (*connect.Response[pb.LeaveResponse], error) {
	leave := &pb.LeaveCommand{Incarnations: []*pb.Incarnation{
		{Name: r.Msg.GetName(), Incarnation: r.Msg.GetIncarnation()},
	}}
	if _, err := d.s.propose(ctx, &pb.Command{Command: &pb.Command_Leave{Leave: leave}}); err != nil {
		return nil, rpcError(err)
	}
	d.s.logger.Info("endpoint left", "endpoint", r.Msg.GetName(), "incarnation", r.Msg.GetIncarnation())
	return connect.NewResponse(&pb.LeaveResponse{}), nil
}

// Report takes the aggregate of another control host, if this one leads.
func (d *directoryService) Report(_ context.Context, r *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	if _, ok := d.s.leading(); !ok {
		return connect.NewResponse(&pb.ReportResponse{}), nil
	}
	now := d.s.now()
	for _, b := range r.Msg.GetBeats() {
		at := now.Add(-time.Duration(b.GetAgeMs()) * time.Millisecond)
		d.s.leader.heard(at, b)
		d.s.loads.put(b.GetName(), b.GetIncarnation(), b.GetLoad())
	}
	d.s.subscribers.report(now, r.Msg.GetReporter(), r.Msg.GetSubscribers())
	_, version := d.s.machine.Endpoints()
	return connect.NewResponse(&pb.ReportResponse{
		Leading:          true,
		Loads:            d.s.loads.all(),
		Subscribers:      d.s.subscribers.all(now),
		Revision:         d.s.machine.Configuration().Revision,
		DirectoryVersion: version,
	}), nil
}

func (s *Server) leaseMs() uint64 { return uint64(s.settings.Lease.Milliseconds()) }
