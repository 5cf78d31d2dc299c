package control

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/admin"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

var _ admin.Backend = (*backend)(nil)

// backend implements admin.Backend on this control host.
type backend struct{ server *Server }

// SubmitTicket proposes an encoded ticket to the replicated log and returns the
// verdict. Errors are of type *ProposeError.
func (b *backend) SubmitTicket(ctx context.Context, encoded []byte) (ticket.Verdict, error) {
	submit := &pb.SubmitCommand{Ticket: encoded}
	result, err := b.server.propose(ctx, &pb.Command{Command: &pb.Command_Submit{Submit: submit}})
	if err != nil {
		return ticket.Verdict{}, err
	}
	var v ticket.Verdict
	if err := json.Unmarshal(result.GetSubmit().GetVerdict(), &v); err != nil {
		return v, errors.WithStack(&ProposeError{MaybeApplied: true, Cause: &UnreadableResultError{}})
	}
	return v, nil
}

// TicketStore returns the ticket store, which the caller must not modify.
func (b *backend) TicketStore() *ticket.Store { return b.server.machine.TicketStore() }

// Status describes the control hosts, subscribers and endpoints.
func (b *backend) Status(ctx context.Context) (*pb.StatusResponse, error) {
	logStatus := b.server.log.Status()
	entries, bytes := b.server.machine.LedgerSize()
	status := &pb.StatusResponse{
		Revision:      b.server.machine.Configuration().Revision,
		Leader:        logStatus.LeaderURL,
		Term:          logStatus.Term,
		Subscribers:   b.subscribers(ctx),
		Endpoints:     b.endpoints(),
		LedgerEntries: uint64(entries),
		LedgerBytes:   uint64(bytes),
	}
	for _, m := range logStatus.Members {
		status.Hosts = append(status.Hosts, &pb.ControlHost{
			Id: m.ID, Url: m.URL, Voter: m.IsVoter, MatchIndex: m.MatchIndex,
		})
	}
	return status, nil
}

// subscribers lists the subscribers of every control host if the leader
// answers, otherwise only those of this host.
func (b *backend) subscribers(ctx context.Context) []*pb.SubscriberStatus {
	now := b.server.now()
	list := b.server.subscribers.all(now)
	if _, ok := b.server.leaderTerm(); !ok {
		if response, err := b.server.sendReport(ctx, now, nil); err == nil && response.GetLeading() {
			list = response.GetSubscribers()
		}
	}
	statuses := make([]*pb.SubscriberStatus, 0, len(list))
	for _, r := range list {
		statuses = append(statuses, &pb.SubscriberStatus{
			Name:     r.GetName(),
			Kind:     r.GetKind(),
			Revision: r.GetRevision(),
			AgeMs:    r.GetAgeMs(),
		})
	}
	return statuses
}

// endpoints lists the directory, with the newest load of each endpoint.
func (b *backend) endpoints() []*pb.Endpoint {
	endpoints, _ := b.server.machine.Endpoints()
	return b.server.loads.withLoads(endpoints)
}

// Drain marks an endpoint as draining, so that it gets no new work, or reverts
// that if undo is set. It returns an *admin.NotFoundError for an unknown
// endpoint.
func (b *backend) Drain(ctx context.Context, endpoint string, undo bool) (pb.EndpointState, error) {
	wanted := pb.EndpointState_ENDPOINT_STATE_DRAINING
	if undo {
		wanted = pb.EndpointState_ENDPOINT_STATE_ACTIVE
	}
	want := &pb.WantCommand{Name: endpoint, Wanted: wanted}
	result, err := b.server.propose(ctx, &pb.Command{Command: &pb.Command_Want{Want: want}})
	if err != nil {
		return pb.EndpointState_ENDPOINT_STATE_UNSPECIFIED, err
	}
	if result.GetChange().GetChanged() == 0 {
		return pb.EndpointState_ENDPOINT_STATE_UNSPECIFIED, errors.WithStack(&admin.NotFoundError{Object: "endpoint " + endpoint})
	}
	return wanted, nil
}

// AddHost adds a control host as a learner, which becomes a voter once it has
// caught up.
func (b *backend) AddHost(ctx context.Context, id uint64, url string) error {
	return b.server.log.AddMember(ctx, id, url)
}

// RemoveHost removes a control host from the voting set.
func (b *backend) RemoveHost(ctx context.Context, id uint64) error {
	return b.server.log.RemoveMember(ctx, id)
}

// WaitForRevision blocks until the revision of the configuration exceeds after, and
// returns it. It fails with a *StoppingError when the host stops.
func (b *backend) WaitForRevision(ctx context.Context, after uint64) (uint64, error) {
	for {
		changed := b.server.machine.Changed()
		if revision := b.server.machine.Configuration().Revision; revision > after {
			return revision, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-b.server.stopping:
			return 0, errors.WithStack(&StoppingError{})
		}
	}
}
