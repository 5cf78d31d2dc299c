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

// ticketCommand groups the commands for tickets, which change the configuration.
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

// Run submits the ticket and prints the verdict on it.
func (c *submitCommand) Run(out io.Writer) error {
	t, encoded, err := readTicket(c.File)
	if err != nil {
		return err
	}
	var result *pb.SubmitTicketResponse
	err = c.callWithFailover(idempotentCall, func(ctx context.Context, client adminClient) error {
		resp, err := client.SubmitTicket(ctx, connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encoded}))
		if err == nil {
			result = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(out, result); err != nil {
			return err
		}
	} else if err := printLine(out, formatVerdict(t.Number, result)); err != nil {
		return err
	}
	if result.GetVerdict() != pb.Verdict_VERDICT_ACCEPTED {
		return &refusedError{Reason: "ticket " + strconv.FormatUint(t.Number, 10)}
	}
	return nil
}

// formatVerdict describes a verdict and, unless the ticket was accepted, the
// next free ticket number.
func formatVerdict(number uint64, v *pb.SubmitTicketResponse) string {
	name := "ticket " + strconv.FormatUint(number, 10)
	nextFree := "the next free number is " + strconv.FormatUint(v.GetNextNumber(), 10)
	repeatNote := ""
	if v.GetRepeated() {
		repeatNote = " (decided before; this is the first verdict again)"
	}
	switch v.GetVerdict() {
	case pb.Verdict_VERDICT_ACCEPTED:
		return name + " accepted, in force from revision " + strconv.FormatUint(v.GetRevision(), 10) + repeatNote
	case pb.Verdict_VERDICT_CONFLICT:
		return name + " not taken: another ticket with this number was decided before; " + nextFree
	case pb.Verdict_VERDICT_STALE:
		return name + " not taken: ticket " + strconv.FormatUint(v.GetLastNumber(), 10) +
			" was accepted already and numbers only grow; " + nextFree
	}
	text := name + " refused as a whole" + repeatNote + ", faults: " + strconv.Itoa(len(v.GetFaults())) + "\n" + formatFaults(v.GetFaults())
	if v.GetNextNumber() > 0 {
		text += "correct the file; " + nextFree
	}
	return text
}

// checkCommand checks a ticket file without submitting it.
type checkCommand struct {
	controlFlags
	File string `arg:"" help:"Ticket file in TOML, - for standard input."`
}

// Run prints the verdict and the changes that submitting the ticket would give.
func (c *checkCommand) Run(out io.Writer) error {
	t, encoded, err := readTicket(c.File)
	if err != nil {
		return err
	}
	var result *pb.CheckTicketResponse
	err = c.callWithFailover(readOnlyCall, func(ctx context.Context, client adminClient) error {
		resp, err := client.CheckTicket(ctx, connect.NewRequest(&pb.CheckTicketRequest{Ticket: encoded}))
		if err == nil {
			result = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(out, result); err != nil {
			return err
		}
	} else if err := printLine(out, formatCheckResult(t.Number, result)); err != nil {
		return err
	}
	if result.GetVerdict() != pb.Verdict_VERDICT_ACCEPTED {
		return &refusedError{Reason: "ticket " + strconv.FormatUint(t.Number, 10) + " would not be accepted"}
	}
	return nil
}

func formatCheckResult(number uint64, v *pb.CheckTicketResponse) string {
	if v.GetVerdict() == pb.Verdict_VERDICT_ACCEPTED && !v.GetRepeated() {
		return "ticket " + strconv.FormatUint(number, 10) + " would be accepted, changes: " +
			strconv.Itoa(len(v.GetChanges())) + "\n" + formatChanges(v.GetChanges())
	}
	return "a submit would be answered: " + formatVerdict(number, &pb.SubmitTicketResponse{
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

// Run prints the configuration as a ticket file that, if submitted, would change
// nothing.
func (c *showCommand) Run(out io.Writer) error {
	var result *pb.ShowStateResponse
	err := c.callWithFailover(readOnlyCall, func(ctx context.Context, client adminClient) error {
		resp, err := client.ShowState(ctx, connect.NewRequest(&pb.ShowStateRequest{}))
		if err == nil {
			result = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	configuration, err := ticket.DecodeConfiguration(result.GetConfiguration())
	if err != nil {
		return err
	}
	t := configuration.ExportTicket(c.Prefix)
	t.Number = result.GetNextNumber()
	encode := ticket.EncodeTOML
	if c.JSON {
		encode = ticket.Encode
	}
	text, err := encode(t)
	if err != nil {
		return err
	}
	if !c.JSON {
		comment := fmt.Sprintf("# in force: revision %d, last ticket %d", configuration.Revision, configuration.LastNumber)
		if err := printLine(out, comment); err != nil {
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

// Run lists the tickets or, with --watch, prints them as they are accepted.
func (c *historyCommand) Run(out io.Writer) error {
	if c.Watch {
		return c.watch(out)
	}
	var result *pb.ListTicketsResponse
	err := c.callWithFailover(readOnlyCall, func(ctx context.Context, client adminClient) error {
		request := &pb.ListTicketsRequest{AfterRevision: c.After, Limit: c.Limit}
		resp, err := client.ListTickets(ctx, connect.NewRequest(request))
		if err == nil {
			result = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, result)
	}
	rows := []string{"REVISION\tNUMBER\tACCEPTED\tAUTHOR\tSUMMARY"}
	for _, r := range result.GetTickets() {
		rows = append(rows, formatRecordRow(r))
	}
	return printTable(out, rows)
}

// watch prints new tickets from one control host. If the stream ends, it
// continues at the next host after the last revision printed.
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
		stream, err := c.newAdminClient(client, url).Watch(ctx, connect.NewRequest(&pb.WatchRequest{AfterRevision: after}))
		if err == nil {
			after, err = c.printRecords(out, stream, after)
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

func (c *historyCommand) printRecords(out io.Writer, stream *connect.ServerStreamForClient[pb.TicketRecord], after uint64) (uint64, error) {
	for stream.Receive() {
		r := stream.Msg()
		after = r.GetRevision()
		var err error
		if c.JSON {
			err = printJSON(out, r)
		} else {
			err = printLine(out, formatRecordRow(r))
		}
		if err != nil {
			return after, err
		}
	}
	return after, stream.Err()
}

func formatRecordRow(r *pb.TicketRecord) string {
	accepted := time.UnixMilli(r.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%d\t%d\t%s\t%s\t%s", r.GetRevision(), r.GetNumber(), accepted, r.GetAuthor(), r.GetSummary())
}

// readTicket reads and encodes a ticket file. A file that can't be decoded gives
// a *refusedError.
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
