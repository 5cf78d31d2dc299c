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

// leader is what a host remembers while it leads. None of it is replicated.
type leader struct {
	mu      sync.Mutex
	term    uint64
	tracker *lease.Tracker
	said    map[string]*pb.Beat // newest state and models by endpoint
	planner *placement.Planner  // nil without placement
	place   *placement.Settings
}

func newLeader(s Settings) *leader {
	l := &leader{
		tracker: lease.NewTracker(lease.TrackerSettings{Lease: s.Lease, GroupGrace: s.GroupGrace}),
		said:    map[string]*pb.Beat{},
		place:   s.Placement,
	}
	l.reset()
	return l
}

// enter begins a term; a new one forgets what the last one remembered.
func (l *leader) enter(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		return
	}
	l.term = term
	l.reset()
}

// resign ends the term, so that the next one begins afresh.
func (l *leader) resign() { l.enter(0) }

func (l *leader) reset() {
	l.tracker.Reset()
	clear(l.said)
	if l.place != nil {
		l.planner = placement.New(*l.place)
	}
}

// heard takes one heartbeat.
func (l *leader) heard(at time.Time, b *pb.Beat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Heard(at, b.GetName(), b.GetIncarnation())
	if l.said[b.GetName()].GetIncarnation() <= b.GetIncarnation() {
		l.said[b.GetName()] = b
	}
}

// expire returns the incarnations whose lease has run out.
func (l *leader) expire(now time.Time, endpoints []*pb.Endpoint) []*pb.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Expire(now, endpoints)
}

// updates lists what endpoints say of themselves that the table does not know,
// and forgets the rest.
func (l *leader) updates(members []lease.Member) []*pb.EndpointUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*pb.EndpointUpdate
	for _, m := range members {
		b := l.said[m.Endpoint.GetName()]
		if b.GetIncarnation() != m.Endpoint.GetIncarnation() {
			continue
		}
		if differs(m.Endpoint, m.Wanted, b.GetState(), b.GetModels()) {
			list = append(list, &pb.EndpointUpdate{
				Name:        b.GetName(),
				Incarnation: b.GetIncarnation(),
				State:       b.GetState(),
				Models:      b.GetModels(),
			})
		}
	}
	clear(l.said)
	return list
}

// differs tells whether the table needs an update.
func differs(e *pb.Endpoint, wanted, state pb.EndpointState, models []string) bool {
	draining := pb.EndpointState_ENDPOINT_STATE_DRAINING
	isDraining := state == draining || wanted == draining
	if isDraining != (e.GetState() == draining) {
		return true
	}
	return !slices.Equal(e.GetModels(), models)
}

// report hands the gathered heartbeats on: to itself on the leader, in one
// message to the leader elsewhere.
func (s *Server) report(ctx context.Context) {
	now := s.now()
	term, leading := s.leading()
	if !leading {
		s.leader.resign()
		s.forward(ctx, now)
		return
	}
	s.leader.enter(term)
	for _, b := range s.beats.take(now) {
		s.leader.heard(now.Add(-time.Duration(b.GetAgeMs())*time.Millisecond), b)
	}
	s.keepLeases(ctx, now)
}

// keepLeases records what changed and ends the leases that ran out.
func (s *Server) keepLeases(ctx context.Context, now time.Time) {
	members := s.machine.Members()
	if updates := s.leader.updates(members); len(updates) > 0 {
		update := &pb.UpdateCommand{Updates: updates}
		s.proposeOwn(ctx, &pb.Command{Command: &pb.Command_Update{Update: update}}, "update endpoints")
	}
	endpoints, _ := s.machine.Endpoints()
	expired := s.leader.expire(now, endpoints)
	if len(expired) == 0 {
		return
	}
	for _, i := range expired {
		s.logger.Warn("lease ran out", "endpoint", i.GetName(), "incarnation", i.GetIncarnation())
	}
	leave := &pb.LeaveCommand{Incarnations: expired, Expired: true}
	s.proposeOwn(ctx, &pb.Command{Command: &pb.Command_Leave{Leave: leave}}, "end leases")
}

// forward sends the aggregate to the leader. What it does not take is kept
// for the next time.
func (s *Server) forward(ctx context.Context, now time.Time) {
	beats := s.beats.take(now)
	response, err := s.sendReport(ctx, now, beats)
	if err != nil || !response.GetLeading() {
		s.beats.restore(now, beats)
		return
	}
	s.fresh.confirm(now, response.GetRevision(), response.GetDirectoryVersion())
	for _, load := range response.GetLoads() {
		s.loads.put(load.GetName(), load.GetIncarnation(), load.GetLoad())
	}
}

// sendReport calls the leader, if it is known.
func (s *Server) sendReport(ctx context.Context, now time.Time, beats []*pb.Beat) (*pb.ReportResponse, error) {
	status := s.log.Status()
	if status.LeaderURL == "" || status.IsLeader {
		return &pb.ReportResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.ProposeTimeout)
	defer cancel()
	client := trefoilkeelv1connect.NewDirectoryServiceClient(s.http, status.LeaderURL,
		connect.WithReadMaxBytes(rpc.MaxMessageBytes))
	response, err := client.Report(ctx, connect.NewRequest(&pb.ReportRequest{
		Reporter:    status.ID,
		Beats:       beats,
		Subscribers: s.subscribers.own(now),
	}))
	if err != nil {
		s.logger.Warn("report to the leader failed", "leader", status.LeaderURL, "error", err)
		return nil, err
	}
	return response.Msg, nil
}
