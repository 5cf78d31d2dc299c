package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/placement"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// leaderState is what a host keeps in memory while it is the leader. It is not
// replicated.
type leaderState struct {
	mu                sync.Mutex
	term              uint64
	leaseTracker      *lease.Tracker
	latestHeartbeats  map[string]*pb.Beat // by endpoint name, since the last update
	planner           *placement.Planner  // nil without placement
	placementSettings *placement.Settings
}

func newLeaderState(s Settings) *leaderState {
	l := &leaderState{
		leaseTracker: lease.NewTracker(lease.TrackerSettings{
			LeaseDuration: s.LeaseDuration, DomainOutageGrace: s.DomainOutageGrace,
		}),
		latestHeartbeats:  map[string]*pb.Beat{},
		placementSettings: s.Placement,
	}
	l.reset()
	return l
}

// beginTerm discards the state if the term is a new one.
func (l *leaderState) beginTerm(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		return
	}
	l.term = term
	l.reset()
}

// endTerm discards the state of the current term, so that the next one starts without it.
func (l *leaderState) endTerm() { l.beginTerm(0) }

func (l *leaderState) reset() {
	l.leaseTracker.Reset()
	clear(l.latestHeartbeats)
	if l.placementSettings != nil {
		l.planner = placement.New(*l.placementSettings)
	}
}

func (l *leaderState) recordHeartbeat(receivedAt time.Time, b *pb.Beat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseTracker.RecordHeartbeat(receivedAt, b.GetName(), b.GetIncarnation())
	if l.latestHeartbeats[b.GetName()].GetIncarnation() <= b.GetIncarnation() {
		l.latestHeartbeats[b.GetName()] = b
	}
}

// expireLeases returns the incarnations whose leases have expired.
func (l *leaderState) expireLeases(now time.Time, endpoints []*pb.Endpoint) []*pb.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseTracker.Expire(now, endpoints)
}

// takeUpdates returns the reported states and models that differ from those of the
// members, and clears the recorded heartbeats.
func (l *leaderState) takeUpdates(members []lease.Member) []*pb.EndpointUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*pb.EndpointUpdate
	for _, m := range members {
		b := l.latestHeartbeats[m.Endpoint.GetName()]
		if b.GetIncarnation() != m.Endpoint.GetIncarnation() {
			continue
		}
		if needsUpdate(m.Endpoint, m.WantedState, b.GetState(), b.GetModels()) {
			list = append(list, &pb.EndpointUpdate{
				Name:        b.GetName(),
				Incarnation: b.GetIncarnation(),
				State:       b.GetState(),
				Models:      b.GetModels(),
			})
		}
	}
	clear(l.latestHeartbeats)
	return list
}

// needsUpdate reports whether the directory entry e differs from a heartbeat with this
// state and these models. An endpoint should be draining if the heartbeat or an operator
// (wanted) says so.
func needsUpdate(e *pb.Endpoint, wanted, state pb.EndpointState, models []string) bool {
	stateDraining := pb.EndpointState_ENDPOINT_STATE_DRAINING
	shouldDrain := state == stateDraining || wanted == stateDraining
	if shouldDrain != (e.GetState() == stateDraining) {
		return true
	}
	return !slices.Equal(e.GetModels(), models)
}

// reportHeartbeats processes the collected heartbeats if this host is the
// leader, otherwise sends them to the leader in one message.
func (s *Server) reportHeartbeats(ctx context.Context) {
	now := s.now()
	term, leading := s.leaderTerm()
	if !leading {
		s.leaderState.endTerm()
		s.forwardHeartbeats(ctx, now)
		return
	}
	s.leaderState.beginTerm(term)
	for _, b := range s.heartbeats.takeAll(now) {
		s.leaderState.recordHeartbeat(now.Add(-time.Duration(b.GetAgeMs())*time.Millisecond), b)
	}
	s.updateMembership(ctx, now)
}

// updateMembership records the endpoints that changed and removes those whose
// leases have expired.
func (s *Server) updateMembership(ctx context.Context, now time.Time) {
	members := s.machine.Members()
	if updates := s.leaderState.takeUpdates(members); len(updates) > 0 {
		update := &pb.UpdateCommand{Updates: updates}
		s.proposeInternal(ctx, &pb.Command{Command: &pb.Command_Update{Update: update}}, "update endpoints")
	}
	endpoints, _ := s.machine.Endpoints()
	expired := s.leaderState.expireLeases(now, endpoints)
	if len(expired) == 0 {
		return
	}
	for _, i := range expired {
		s.logger.Warn("lease ran out", "endpoint", i.GetName(), "incarnation", i.GetIncarnation())
	}
	leave := &pb.LeaveCommand{Incarnations: expired, Expired: true}
	s.proposeInternal(ctx, &pb.Command{Command: &pb.Command_Leave{Leave: leave}}, "end leases")
}

// forwardHeartbeats sends the collected heartbeats to the leader. Heartbeats
// that it does not accept are kept for the next report.
func (s *Server) forwardHeartbeats(ctx context.Context, now time.Time) {
	heartbeats := s.heartbeats.takeAll(now)
	response, err := s.sendReport(ctx, now, heartbeats)
	if err != nil || !response.GetLeading() {
		s.heartbeats.restore(now, heartbeats)
		return
	}
	s.leaderProgress.update(now, response.GetRevision(), response.GetDirectoryVersion())
	for _, load := range response.GetLoads() {
		s.loads.record(load.GetName(), load.GetIncarnation(), load.GetLoad())
	}
}

// sendReport sends a report to the leader. The response is empty if no leader
// is known or this host is the leader.
func (s *Server) sendReport(ctx context.Context, now time.Time, heartbeats []*pb.Beat) (*pb.ReportResponse, error) {
	status := s.log.Status()
	if status.LeaderURL == "" || status.IsLeader {
		return &pb.ReportResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.ProposeTimeout)
	defer cancel()
	client := trefoilkeelv1connect.NewDirectoryServiceClient(s.httpClient, status.LeaderURL,
		connect.WithReadMaxBytes(rpc.MaxMessageBytes))
	response, err := client.Report(ctx, connect.NewRequest(&pb.ReportRequest{
		Reporter:    status.ID,
		Beats:       heartbeats,
		Subscribers: s.subscribers.local(now),
	}))
	if err != nil {
		s.logger.Warn("report to the leader failed", "leader", status.LeaderURL, "error", err)
		return nil, err
	}
	return response.Msg, nil
}
