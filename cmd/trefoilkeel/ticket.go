package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// ticketCommand groups the commands on change tickets.
type ticketCommand struct {
	Submit  submitCommand  `cmd:"" help:"Submit a ticket; it is accepted or refused as a whole."`
	Check   checkCommand   `cmd:"" help:"Say what a submit would answer and change, and change nothing."`
	Show    showCommand    `cmd:"" help:"Print the configuration in force as a ticket file."`
	History historyCommand `cmd:"" help:"List accepted tickets, oldest first."`
}

// submitCommand submits a ticket file.
type submitCommand struct {
	controlFlags
	File string `arg:"" help:"Ticket file in TOML, - for standard input."`
}

// Run submits the ticket until a control host gives its verdict.
func (c *submitCommand) Run(out io.Writer) error {
	t, encoded, err := readTicket(c.File)
	if err != nil {
		return err
	}
	var answer *pb.SubmitTicketResponse
	err = c.try(repeatableCall, func(ctx context.Context, client adminClient) error {
		resp, err := client.SubmitTicket(ctx, connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encoded}))
		if err == nil {
			answer = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(out, answer); err != nil {
			return err
		}
	} else if err := printLine(out, verdictText(t.Number, answer)); err != nil {
		return err
	}
	if answer.GetVerdict() != pb.Verdict_VERDICT_ACCEPTED {
		return &refusedError{Reason: "ticket " + strconv.FormatUint(t.Number, 10)}
	}
	return nil
}

// verdictText says what a verdict means for the operator.
func verdictText(number uint64, v *pb.SubmitTicketResponse) string {
	name := "ticket " + strconv.FormatUint(number, 10)
	free := "the next free number is " + strconv.FormatUint(v.GetNextNumber(), 10)
	again := ""
	if v.GetRepeated() {
		again = " (decided before; this is the first verdict again)"
	}
	switch v.GetVerdict() {
	case pb.Verdict_VERDICT_ACCEPTED:
		return name + " accepted, in force from revision " + strconv.FormatUint(v.GetRevision(), 10) + again
	case pb.Verdict_VERDICT_CONFLICT:
		return name + " not taken: another ticket with this number was decided before; " + free
	case pb.Verdict_VERDICT_STALE:
		return name + " not taken: ticket " + strconv.FormatUint(v.GetLastNumber(), 10) +
			" was accepted already and numbers only grow; " + free
	}
	text := name + " refused as a whole" + again + ", faults: " + strconv.Itoa(len(v.GetFaults())) + "\n" + faultLines(v.GetFaults())
	if v.GetNextNumber() > 0 {
		text += "correct the file; " + free
	}
	return text
}

// checkCommand is a dry run.
type checkCommand struct {
	controlFlags
	File string `arg:"" help:"Ticket file in TOML, - for standard input."`
}

// Run prints the verdict that a submit would get, and the differences.
func (c *checkCommand) Run(out io.Writer) error {
	t, encoded, err := readTicket(c.File)
	if err != nil {
		return err
	}
	var answer *pb.CheckTicketResponse
	err = c.try(readCall, func(ctx context.Context, client adminClient) error {
		resp, err := client.CheckTicket(ctx, connect.NewRequest(&pb.CheckTicketRequest{Ticket: encoded}))
		if err == nil {
			answer = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(out, answer); err != nil {
			return err
		}
	} else if err := printLine(out, checkText(t.Number, answer)); err != nil {
		return err
	}
	if answer.GetVerdict() != pb.Verdict_VERDICT_ACCEPTED {
		return &refusedError{Reason: "ticket " + strconv.FormatUint(t.Number, 10) + " would not be accepted"}
	}
	return nil
}

func checkText(number uint64, v *pb.CheckTicketResponse) string {
	if v.GetVerdict() == pb.Verdict_VERDICT_ACCEPTED && !v.GetRepeated() {
		return "ticket " + strconv.FormatUint(number, 10) + " would be accepted, changes: " +
			strconv.Itoa(len(v.GetChanges())) + "\n" + changeLines(v.GetChanges())
	}
	return "a submit would be answered: " + verdictText(number, &pb.SubmitTicketResponse{
		Verdict:    v.GetVerdict(),
		Faults:     v.GetFaults(),
		Repeated:   v.GetRepeated(),
		LastNumber: v.GetLastNumber(),
		NextNumber: v.GetNextNumber(),
	})
}

// showCommand prints the configuration.
type showCommand struct {
	controlFlags
	Prefix string `arg:"" optional:"" help:"Only objects whose name begins so, for example class/ or workspace/talca."`
}

// Run prints a ticket file that would restate the configuration.
func (c *showCommand) Run(out io.Writer) error {
	var answer *pb.ShowStateResponse
	err := c.try(readCall, func(ctx context.Context, client adminClient) error {
		resp, err := client.ShowState(ctx, connect.NewRequest(&pb.ShowStateRequest{}))
		if err == nil {
			answer = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	state, err := ticket.DecodeState(answer.GetConfiguration())
	if err != nil {
		return err
	}
	t := state.AsTicket(c.Prefix)
	t.Number = answer.GetNextNumber()
	encode := ticket.EncodeTOML
	if c.JSON {
		encode = ticket.Encode
	}
	text, err := encode(t)
	if err != nil {
		return err
	}
	if !c.JSON {
		header := fmt.Sprintf("# in force: revision %d, last ticket %d", state.Revision, state.LastNumber)
		if err := printLine(out, header); err != nil {
			return err
		}
	}
	return printLine(out, string(text))
}

// historyCommand lists accepted tickets.
type historyCommand struct {
	controlFlags
	After uint64 `help:"Only tickets after this revision."`
	Limit uint32 `default:"100" help:"Longest list."`
	Watch bool   `help:"Go on with each new ticket until interrupted."`
}

// Run lists the tickets, or follows them.
func (c *historyCommand) Run(out io.Writer) error {
	if c.Watch {
		return c.watch(out)
	}
	var answer *pb.ListTicketsResponse
	err := c.try(readCall, func(ctx context.Context, client adminClient) error {
		request := &pb.ListTicketsRequest{AfterRevision: c.After, Limit: c.Limit}
		resp, err := client.ListTickets(ctx, connect.NewRequest(request))
		if err == nil {
			answer = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, answer)
	}
	rows := []string{"REVISION\tNUMBER\tACCEPTED\tAUTHOR\tSUMMARY"}
	for _, r := range answer.GetTickets() {
		rows = append(rows, recordRow(r))
	}
	return printTable(out, rows)
}

// watch follows one control host after the other from the last revision seen.
func (c *historyCommand) watch(out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	client, err := c.httpClient()
	if err != nil {
		return err
	}
	after := c.After
	var reasons []string
	for _, url := range c.Control {
		stream, err := c.admin(client, url).Watch(ctx, connect.NewRequest(&pb.WatchRequest{AfterRevision: after}))
		if err == nil {
			after, err = c.follow(out, stream, after)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			reasons = append(reasons, url+": "+err.Error())
		}
	}
	return &unreachableError{Reasons: reasons}
}

func (c *historyCommand) follow(out io.Writer, stream *connect.ServerStreamForClient[pb.TicketRecord], after uint64) (uint64, error) {
	for stream.Receive() {
		r := stream.Msg()
		after = r.GetRevision()
		var err error
		if c.JSON {
			err = printJSON(out, r)
		} else {
			err = printLine(out, recordRow(r))
		}
		if err != nil {
			return after, err
		}
	}
	return after, stream.Err()
}

func recordRow(r *pb.TicketRecord) string {
	accepted := time.UnixMilli(r.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%d\t%d\t%s\t%s\t%s", r.GetRevision(), r.GetNumber(), accepted, r.GetAuthor(), r.GetSummary())
}

// readTicket reads a ticket file; faults of its form are a *refusedError.
func readTicket(file string) (*ticket.Ticket, []byte, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = io.ReadAll(io.LimitReader(os.Stdin, ticket.MaxEncodedBytes))
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	t, err := ticket.DecodeTOML(text)
	if err != nil {
		return nil, nil, &refusedError{Reason: file + ": " + err.Error()}
	}
	encoded, err := ticket.Encode(t)
	return t, encoded, err
}
