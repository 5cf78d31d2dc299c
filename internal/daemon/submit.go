package daemon

import (
	"context"
	"os"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// TicketNotAcceptedError reports that control did not accept a ticket.
type TicketNotAcceptedError struct {
	File     string
	Response *trefoilkeelv1.SubmitTicketResponse
}

// Error includes the verdict and the faults that control found.
func (e *TicketNotAcceptedError) Error() string { return e.File + ": " + e.Response.String() }

// Submit submits the ticket in a TOML file, waits until every process has
// applied it, and returns its revision. It returns a *TicketNotAcceptedError
// unless the verdict is accepted.
func (e *Embedded) Submit(ctx context.Context, file string) (revision uint64, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, errors.WithStack(&StartError{Problems: []error{err}})
	}
	t, err := ticket.DecodeTOML(text)
	if err != nil {
		return 0, err
	}
	encoded, err := ticket.Encode(t)
	if err != nil {
		return 0, err
	}
	client := trefoilkeelv1connect.NewAdminServiceClient(rpc.Client(nil), e.Control.ControlURL())
	response, err := client.SubmitTicket(ctx, connect.NewRequest(&trefoilkeelv1.SubmitTicketRequest{Ticket: encoded}))
	if err != nil {
		return 0, err
	}
	if response.Msg.GetVerdict() != trefoilkeelv1.Verdict_VERDICT_ACCEPTED {
		return 0, errors.WithStack(&TicketNotAcceptedError{File: file, Response: response.Msg})
	}
	return response.Msg.GetRevision(), e.WaitReady(ctx, response.Msg.GetRevision())
}
