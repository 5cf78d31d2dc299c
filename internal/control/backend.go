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

// backend answers the administration API from this host.
type backend struct{ s *Server }

// SubmitTicket decides an encoded ticket through the replicated log. An error
// is a *ProposeError.
func (b *backend) SubmitTicket(ctx context.Context, encoded []byte) (ticket.Verdict, error) {
	submit := &pb.SubmitCommand{Ticket: encoded}
	result, err := b.s.propose(ctx, &pb.Command{Command: &pb.Command_Submit{Submit: submit}})
	if err != nil {
		return ticket.Verdict{}, err
	}
	var v ticket.Verdict
	if err := json.Unmarshal(result.GetSubmit().GetVerdict(), &v); err != nil {
		return v, errors.WithStack(&ProposeError{Recorded: true, Cause: &ResultError{}})
	}
	return v, nil
}

// Book is a read view of the decided tickets.
func (b *backend) Book() *ticket.Book { return b.s.machine.Book() }

// Status describes the control hosts, subscribers and endpoints.
func (b *backend) Status(ctx context.Context) (*pb.StatusResponse, error) {
	log := b.s.log.Status()
	entries, bytes := b.s.machine.LedgerSize()
	status := &pb.StatusResponse{
		Revision:      b.s.machine.Configuration().Revision,
		Leader:        log.LeaderURL,
		Term:          log.Term,
		Subscribers:   b.subscribers(ctx),
		Endpoints:     b.endpoints(),
		LedgerEntries: uint64(entries),
		LedgerBytes:   uint64(bytes),
	}
	for _, m := range log.Members {
		status.Hosts = append(status.Hosts, &pb.ControlHost{Id: m.ID, Url: m.URL, Voter: m.Voter, MatchIndex: m.Match})
	}
	return status, nil
}

// subscribers lists those of every control host if the leader is in reach,
// and those of this host otherwise.
func (b *backend) subscribers(ctx context.Context) []*pb.SubscriberStatus {
	now := b.s.now()
	list := b.s.subscribers.all(now)
	if _, ok := b.s.leading(); !ok {
		if response, err := b.s.sendReport(ctx, now, nil); err == nil && response.GetLeading() {
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

// endpoints lists the directory with the newest loads.
func (b *backend) endpoints() []*pb.Endpoint {
	endpoints, _ := b.s.machine.Endpoints()
	return b.s.loads.attach(endpoints)
}

// Drain asks an endpoint to take no new work, or takes that back. An unknown
// endpoint is an *admin.NotFoundError.
func (b *backend) Drain(ctx context.Context, endpoint string, undo bool) (pb.EndpointState, error) {
	wanted := pb.EndpointState_ENDPOINT_STATE_DRAINING
	if undo {
		wanted = pb.EndpointState_ENDPOINT_STATE_ACTIVE
	}
	want := &pb.WantCommand{Name: endpoint, Wanted: wanted}
	result, err := b.s.propose(ctx, &pb.Command{Command: &pb.Command_Want{Want: want}})
	if err != nil {
		return pb.EndpointState_ENDPOINT_STATE_UNSPECIFIED, err
	}
	if result.GetChange().GetChanged() == 0 {
		return pb.EndpointState_ENDPOINT_STATE_UNSPECIFIED, errors.WithStack(&admin.NotFoundError{Object: "endpoint " + endpoint})
	}
	return wanted, nil
}

// AddHost adds a control host as a learner that becomes a voter.
func (b *backend) AddHost(ctx context.Context, id uint64, url string) error {
	return b.s.log.AddMember(ctx, id, url)
}

// RemoveHost takes a control host out of the voting set.
func (b *backend) RemoveHost(ctx context.Context, id uint64) error {
	return b.s.log.RemoveMember(ctx, id)
}

// Revisions waits for a revision newer than after and returns it. It fails
// with a *StoppingError when the host stops.
func (b *backend) Revisions(ctx context.Context, after uint64) (uint64, error) {
	for {
		changed := b.s.machine.Changed()
		if revision := b.s.machine.Configuration().Revision; revision > after {
			return revision, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-b.s.stopping:
			return 0, errors.WithStack(&StoppingError{})
		}
	}
}
