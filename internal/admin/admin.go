// Package admin serves the administration API: tickets, status, draining of
// endpoints, and membership of the control hosts. It authenticates callers,
// checks their roles and logs each call.
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

// Limits of the API.
const (
	maxRequestBytes   = ticket.MaxEncodedBytes + 64<<10
	maxWatches        = 64
	watchBatchRecords = 100
)

// Backend carries out the calls of the API. A *replica.NotRecordedError means that
// the call changed nothing and never will, a *NotFoundError that the named object
// does not exist. After any other error the outcome is unknown.
type Backend interface {
	// SubmitTicket appends an encoded ticket to the replicated log and returns
	// the verdict on it.
	SubmitTicket(ctx context.Context, encoded []byte) (ticket.Verdict, error)
	// TicketStore returns this host's replicated ticket store. Callers must only read it:
	// tickets enter it through the replicated log.
	TicketStore() *ticket.Store
	// Status returns the state of the control hosts, subscribers and endpoints.
	Status(ctx context.Context) (*pb.StatusResponse, error)
	// Drain asks an endpoint to accept no new requests; undo lets it accept
	// them again.
	Drain(ctx context.Context, endpoint string, undo bool) (pb.EndpointState, error)
	// AddHost adds a control host as a non-voting member, which becomes a voter
	// once it has caught up.
	AddHost(ctx context.Context, id uint64, url string) error
	// RemoveHost removes a control host from the voting members.
	RemoveHost(ctx context.Context, id uint64) error
	// WaitForRevision blocks until the revision of the configuration is newer than
	// after and returns it.
	WaitForRevision(ctx context.Context, after uint64) (uint64, error)
}

// NotFoundError reports that the object named in a call does not exist.
type NotFoundError struct {
	Object string
}

// Error implements error.
func (e *NotFoundError) Error() string { return e.Object + " does not exist" }

// TooManyWatchesError reports that maxWatches watches are already open.
type TooManyWatchesError struct{}

// Error implements error.
func (*TooManyWatchesError) Error() string {
	return "more than " + strconv.Itoa(maxWatches) + " watches are open"
}

// NewHandler returns the URL path of AdminService and a handler that serves it
// from the backend.
func NewHandler(backend Backend, auth Auth, logger *slog.Logger) (path string, h http.Handler) {
	s := &service{backend: backend}
	path, h = trefoilkeelv1connect.NewAdminServiceHandler(s,
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithInterceptors(&callLogger{logger: logger}),
	)
	return path, &authHandler{auth: auth, next: h, logger: logger, errors: connect.NewErrorWriter()}
}

// service implements AdminService.
type service struct {
	backend     Backend
	openWatches atomic.Int32
}

// SubmitTicket submits a ticket with the caller as its author.
func (s *service) SubmitTicket(ctx context.Context, req *connect.Request[pb.SubmitTicketRequest]) (*connect.Response[pb.SubmitTicketResponse], error) {
	t, encoded, faults := assignAuthor(req.Msg.GetTicket(), callerFromContext(ctx))
	if len(faults) > 0 {
		return submitResponse(s.refusedVerdict(faults)), nil
	}
	if t.MayExposeKey() {
		// A ticket that may contain a plain key is never accepted. It gets its
		// verdict here so that the key does not enter the replicated log.
		return submitResponse(s.backend.TicketStore().Check(encoded).Verdict), nil
	}
	verdict, err := s.backend.SubmitTicket(ctx, encoded)
	if err != nil {
		return nil, connectError(err)
	}
	recordVerdict(ctx, verdict)
	return submitResponse(verdict), nil
}

// refusedVerdict returns the verdict on a ticket that is refused before it
// reaches the replicated log.
func (s *service) refusedVerdict(faults []ticket.Fault) ticket.Verdict {
	store := s.backend.TicketStore()
	return ticket.Verdict{
		Kind:       pb.Verdict_VERDICT_REFUSED,
		Faults:     faults,
		LastNumber: store.Configuration().LastNumber,
		NextNumber: store.NextNumber(),
	}
}

func submitResponse(v ticket.Verdict) *connect.Response[pb.SubmitTicketResponse] {
	return connect.NewResponse(&pb.SubmitTicketResponse{
		Verdict:    v.Kind,
		Revision:   v.Revision,
		Faults:     protoFaults(v.Faults),
		Repeated:   v.Repeated,
		LastNumber: v.LastNumber,
		NextNumber: v.NextNumber,
	})
}

// CheckTicket returns the verdict and the changes that submitting a ticket would
// give, based on the newest configuration at this host.
func (s *service) CheckTicket(ctx context.Context, req *connect.Request[pb.CheckTicketRequest]) (*connect.Response[pb.CheckTicketResponse], error) {
	_, encoded, faults := assignAuthor(req.Msg.GetTicket(), callerFromContext(ctx))
	result := ticket.CheckResult{Verdict: s.refusedVerdict(faults)}
	if len(faults) == 0 {
		result = s.backend.TicketStore().Check(encoded)
	}
	return connect.NewResponse(&pb.CheckTicketResponse{
		Verdict:    result.Verdict.Kind,
		Faults:     protoFaults(result.Verdict.Faults),
		Changes:    protoChanges(result.Changes),
		Repeated:   result.Verdict.Repeated,
		LastNumber: result.Verdict.LastNumber,
		NextNumber: result.Verdict.NextNumber,
	}), nil
}

// ShowState returns the current configuration at this host.
func (s *service) ShowState(context.Context, *connect.Request[pb.ShowStateRequest]) (*connect.Response[pb.ShowStateResponse], error) {
	store := s.backend.TicketStore()
	configuration := store.Configuration()
	encoded, err := ticket.EncodeConfiguration(configuration)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&pb.ShowStateResponse{
		Revision:      configuration.Revision,
		Configuration: encoded,
		NextNumber:    store.NextNumber(),
	}), nil
}

// ListTickets returns accepted tickets, oldest first.
func (s *service) ListTickets(_ context.Context, req *connect.Request[pb.ListTicketsRequest]) (*connect.Response[pb.ListTicketsResponse], error) {
	records := s.backend.TicketStore().History(req.Msg.GetAfterRevision(), int(req.Msg.GetLimit()))
	resp := &pb.ListTicketsResponse{}
	for _, r := range records {
		resp.Tickets = append(resp.Tickets, protoRecord(r))
	}
	return connect.NewResponse(resp), nil
}

// Watch streams the tickets accepted after a revision until the caller
// disconnects.
func (s *service) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest], stream *connect.ServerStream[pb.TicketRecord]) error {
	if s.openWatches.Add(1) > maxWatches {
		s.openWatches.Add(-1)
		return connect.NewError(connect.CodeResourceExhausted, &TooManyWatchesError{})
	}
	defer s.openWatches.Add(-1)
	after := req.Msg.GetAfterRevision()
	for {
		records := s.backend.TicketStore().History(after, watchBatchRecords)
		for _, r := range records {
			if err := stream.Send(protoRecord(r)); err != nil {
				return err
			}
			after = r.Revision
		}
		if len(records) > 0 {
			continue
		}
		if _, err := s.backend.WaitForRevision(ctx, after); err != nil {
			return connectError(err)
		}
	}
}

// Status returns the state of the control hosts, subscribers and endpoints.
func (s *service) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	status, err := s.backend.Status(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(status), nil
}

// Drain asks an endpoint to accept no new requests, or to accept them again.
func (s *service) Drain(ctx context.Context, req *connect.Request[pb.DrainRequest]) (*connect.Response[pb.DrainResponse], error) {
	state, err := s.backend.Drain(ctx, req.Msg.GetEndpoint(), req.Msg.GetUndo())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&pb.DrainResponse{State: state}), nil
}

// AddHost adds a control host to the cluster.
func (s *service) AddHost(ctx context.Context, req *connect.Request[pb.AddHostRequest]) (*connect.Response[pb.AddHostResponse], error) {
	if err := s.backend.AddHost(ctx, req.Msg.GetId(), req.Msg.GetUrl()); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&pb.AddHostResponse{}), nil
}

// RemoveHost removes a control host from the cluster.
func (s *service) RemoveHost(ctx context.Context, req *connect.Request[pb.RemoveHostRequest]) (*connect.Response[pb.RemoveHostResponse], error) {
	if err := s.backend.RemoveHost(ctx, req.Msg.GetId()); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&pb.RemoveHostResponse{}), nil
}

// connectError adds a connect code to an error. Aborted and not found tell the
// client that nothing was changed; after any other code the outcome is unknown.
func connectError(err error) error {
	var notRecorded *replica.NotRecordedError
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
