// Package admin serves the administration API: tickets, status, drain and the
// set of control hosts, with authentication, roles and a log line per call.
package admin

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Bounds of the API.
const (
	maxRequestBytes = ticket.MaxEncodedBytes + 64<<10
	maxWatches      = 64
	watchBatch      = 100 // records read at a time
)

// Backend is what the API drives. A *replica.NotRecorded says that nothing
// was changed and never will be by this call; a *NotFoundError that the named
// object does not exist; any other error leaves the outcome open.
type Backend interface {
	// SubmitTicket decides an encoded ticket through the replicated log.
	SubmitTicket(ctx context.Context, encoded []byte) (ticket.Verdict, error)
	// Book is a read view of the decided tickets.
	Book() *ticket.Book
	// Status describes the control hosts, subscribers and endpoints.
	Status(ctx context.Context) (*pb.StatusResponse, error)
	// Drain asks an endpoint to take no new work, or takes that back.
	Drain(ctx context.Context, endpoint string, undo bool) (pb.EndpointState, error)
	// AddHost adds a control host as a learner that becomes a voter.
	AddHost(ctx context.Context, id uint64, url string) error
	// RemoveHost takes a control host out of the voting set.
	RemoveHost(ctx context.Context, id uint64) error
	// Revisions waits for a revision newer than after and returns it.
	Revisions(ctx context.Context, after uint64) (uint64, error)
}

// NotFoundError says that the object of a call does not exist.
type NotFoundError struct {
	Object string
}

// Error names the object.
func (e *NotFoundError) Error() string { return e.Object + " does not exist" }

// WatchesError says that too many watches are open.
type WatchesError struct{}

// Error gives the bound.
func (*WatchesError) Error() string {
	return "more than " + strconv.Itoa(maxWatches) + " watches are open"
}

// NewHandler returns the path and the handler of AdminService over a backend.
func NewHandler(backend Backend, auth Auth, logger *slog.Logger) (path string, h http.Handler) {
	s := &service{backend: backend}
	path, h = trefoilkeelv1connect.NewAdminServiceHandler(s,
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithInterceptors(&callLog{logger: logger}),
	)
	return path, &gate{auth: auth, next: h, logger: logger, errors: connect.NewErrorWriter()}
}

// service implements AdminService.
type service struct {
	backend Backend
	watches atomic.Int32
}

// SubmitTicket decides a ticket under the name of the caller.
func (s *service) SubmitTicket(ctx context.Context, req *connect.Request[pb.SubmitTicketRequest]) (*connect.Response[pb.SubmitTicketResponse], error) {
	t, encoded, faults := sign(req.Msg.GetTicket(), callerOf(ctx))
	if len(faults) > 0 {
		return submitAnswer(s.refused(faults)), nil
	}
	if t.MayExposeKey() {
		// Never accepted, and answered here so that no key enters the log.
		return submitAnswer(s.backend.Book().Check(encoded).Verdict), nil
	}
	v, err := s.backend.SubmitTicket(ctx, encoded)
	if err != nil {
		return nil, coded(err)
	}
	noteVerdict(ctx, v)
	return submitAnswer(v), nil
}

// refused is the verdict on a ticket that does not reach the log.
func (s *service) refused(faults []ticket.Fault) ticket.Verdict {
	book := s.backend.Book()
	return ticket.Verdict{
		Kind:       pb.Verdict_VERDICT_REFUSED,
		Faults:     faults,
		LastNumber: book.State().LastNumber,
		NextNumber: book.NextNumber(),
	}
}

func submitAnswer(v ticket.Verdict) *connect.Response[pb.SubmitTicketResponse] {
	return connect.NewResponse(&pb.SubmitTicketResponse{
		Verdict:    v.Kind,
		Revision:   v.Revision,
		Faults:     faultMessages(v.Faults),
		Repeated:   v.Repeated,
		LastNumber: v.LastNumber,
		NextNumber: v.NextNumber,
	})
}

// CheckTicket is a dry run on the newest configuration of this host.
func (s *service) CheckTicket(ctx context.Context, req *connect.Request[pb.CheckTicketRequest]) (*connect.Response[pb.CheckTicketResponse], error) {
	_, encoded, faults := sign(req.Msg.GetTicket(), callerOf(ctx))
	r := ticket.CheckResult{Verdict: s.refused(faults)}
	if len(faults) == 0 {
		r = s.backend.Book().Check(encoded)
	}
	return connect.NewResponse(&pb.CheckTicketResponse{
		Verdict:    r.Verdict.Kind,
		Faults:     faultMessages(r.Verdict.Faults),
		Changes:    changeMessages(r.Changes),
		Repeated:   r.Verdict.Repeated,
		LastNumber: r.Verdict.LastNumber,
		NextNumber: r.Verdict.NextNumber,
	}), nil
}

// ShowState returns the configuration in force at this host.
func (s *service) ShowState(context.Context, *connect.Request[pb.ShowStateRequest]) (*connect.Response[pb.ShowStateResponse], error) {
	book := s.backend.Book()
	state := book.State()
	configuration, err := ticket.EncodeState(state)
	if err != nil {
		return nil, coded(err)
	}
	return connect.NewResponse(&pb.ShowStateResponse{
		Revision:      state.Revision,
		Configuration: configuration,
		NextNumber:    book.NextNumber(),
	}), nil
}

// ListTickets returns accepted tickets, oldest first.
func (s *service) ListTickets(_ context.Context, req *connect.Request[pb.ListTicketsRequest]) (*connect.Response[pb.ListTicketsResponse], error) {
	records := s.backend.Book().History(req.Msg.GetAfterRevision(), int(req.Msg.GetLimit()))
	resp := &pb.ListTicketsResponse{}
	for _, r := range records {
		resp.Tickets = append(resp.Tickets, recordMessage(r))
	}
	return connect.NewResponse(resp), nil
}

// Watch sends each accepted ticket after a revision, until the caller leaves.
func (s *service) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest], stream *connect.ServerStream[pb.TicketRecord]) error {
	if s.watches.Add(1) > maxWatches {
		s.watches.Add(-1)
		return connect.NewError(connect.CodeResourceExhausted, &WatchesError{})
	}
	defer s.watches.Add(-1)
	after := req.Msg.GetAfterRevision()
	for {
		records := s.backend.Book().History(after, watchBatch)
		for _, r := range records {
			if err := stream.Send(recordMessage(r)); err != nil {
				return err
			}
			after = r.Revision
		}
		if len(records) > 0 {
			continue
		}
		if _, err := s.backend.Revisions(ctx, after); err != nil {
			return coded(err)
		}
	}
}

// Status describes the control hosts, the subscribers and the endpoints.
func (s *service) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	status, err := s.backend.Status(ctx)
	if err != nil {
		return nil, coded(err)
	}
	return connect.NewResponse(status), nil
}

// Drain asks an endpoint to take no new work, or takes that back.
func (s *service) Drain(ctx context.Context, req *connect.Request[pb.DrainRequest]) (*connect.Response[pb.DrainResponse], error) {
	state, err := s.backend.Drain(ctx, req.Msg.GetEndpoint(), req.Msg.GetUndo())
	if err != nil {
		return nil, coded(err)
	}
	return connect.NewResponse(&pb.DrainResponse{State: state}), nil
}

// AddHost adds a control host.
func (s *service) AddHost(ctx context.Context, req *connect.Request[pb.AddHostRequest]) (*connect.Response[pb.AddHostResponse], error) {
	if err := s.backend.AddHost(ctx, req.Msg.GetId(), req.Msg.GetUrl()); err != nil {
		return nil, coded(err)
	}
	return connect.NewResponse(&pb.AddHostResponse{}), nil
}

// RemoveHost takes a control host out.
func (s *service) RemoveHost(ctx context.Context, req *connect.Request[pb.RemoveHostRequest]) (*connect.Response[pb.RemoveHostResponse], error) {
	if err := s.backend.RemoveHost(ctx, req.Msg.GetId()); err != nil {
		return nil, coded(err)
	}
	return connect.NewResponse(&pb.RemoveHostResponse{}), nil
}

// coded gives an error the code by which a client tells "nothing was changed"
// (aborted, not found) from "the outcome is open" (everything else).
func coded(err error) error {
	var notRecorded *replica.NotRecorded
	var notFound *NotFoundError
	switch {
	case errors.As(err, &notRecorded):
		return connect.NewError(connect.CodeAborted, notRecorded)
	case errors.As(err, &notFound):
		return connect.NewError(connect.CodeNotFound, notFound)
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeUnknown, err)
}
