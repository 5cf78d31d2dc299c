package admin

import (
	"strconv"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// unreadable is the fault of a ticket whose form is broken.
func unreadable(err error) []ticket.Fault {
	return []ticket.Fault{{Object: "ticket", Problem: err.Error(), Remedy: "correct the ticket file"}}
}

// sign gives a ticket without an author the name of its caller. A ticket with
// another author is refused: the history shall name who really made a change.
func sign(encoded []byte, c caller) (*ticket.Ticket, []byte, []ticket.Fault) {
	t, err := ticket.Decode(encoded)
	if err != nil {
		return nil, nil, unreadable(err)
	}
	switch {
	case t.Author == "":
		t.Author = c.name
	case t.Author != c.name && !c.open:
		return nil, nil, []ticket.Fault{{
			Object:  "ticket",
			Field:   "author",
			Problem: "the author is " + strconv.Quote(t.Author) + ", but the caller is " + strconv.Quote(c.name),
			Remedy:  "leave author out or write " + strconv.Quote(c.name),
		}}
	}
	signed, err := ticket.Encode(t)
	if err != nil {
		return nil, nil, unreadable(err)
	}
	return t, signed, nil
}

func faultMessages(faults []ticket.Fault) []*pb.Fault {
	var messages []*pb.Fault
	for _, f := range faults {
		messages = append(messages, &pb.Fault{Object: f.Object, Field: f.Field, Problem: f.Problem, Remedy: f.Remedy})
	}
	return messages
}

func changeMessages(changes []ticket.Change) []*pb.Change {
	var messages []*pb.Change
	for _, c := range changes {
		messages = append(messages, &pb.Change{Object: c.Object, Field: c.Field, Before: c.Before, After: c.After})
	}
	return messages
}

func recordMessage(r ticket.Record) *pb.TicketRecord {
	return &pb.TicketRecord{
		Revision:       r.Revision,
		Number:         r.Number,
		Author:         r.Author,
		Summary:        r.Summary,
		AcceptedUnixMs: r.AcceptedUnixMs,
	}
}
