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

// NotAcceptedError says that a ticket was not accepted.
type NotAcceptedError struct {
	File   string
	Answer *trefoilkeelv1.SubmitTicketResponse
}

// Error gives the verdict and the faults.
func (e *NotAcceptedError) Error() string { return e.File + ": " + e.Answer.String() }

// Submit sends the ticket in a TOML file and waits until every process works
// under it. It returns the ticket's revision; an error of type
// *NotAcceptedError holds the verdict.
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
		return 0, errors.WithStack(&NotAcceptedError{File: file, Answer: response.Msg})
	}
	return response.Msg.GetRevision(), e.WaitReady(ctx, response.Msg.GetRevision())
}
