package admin

import (
	"strconv"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// malformedTicketFaults reports a ticket that can't be decoded or encoded.
func malformedTicketFaults(err error) []ticket.Fault {
	return []ticket.Fault{{Object: "ticket", Problem: err.Error(), Remedy: "correct the ticket file"}}
}

// assignAuthor sets the author of a ticket without one to its caller and encodes
// the ticket again. A ticket that names another author is refused, since the
// history must name who really made a change.
func assignAuthor(encoded []byte, c caller) (*ticket.Ticket, []byte, []ticket.Fault) {
	t, err := ticket.Decode(encoded)
	if err != nil {
		return nil, nil, malformedTicketFaults(err)
	}
	switch {
	case t.Author == "":
		t.Author = c.name
	case t.Author != c.name && !c.anonymous:
		return nil, nil, []ticket.Fault{{
			Object:  "ticket",
			Field:   "author",
			Problem: "the author is " + strconv.Quote(t.Author) + ", but the caller is " + strconv.Quote(c.name),
			Remedy:  "leave author out or write " + strconv.Quote(c.name),
		}}
	}
	reencoded, err := ticket.Encode(t)
	if err != nil {
		return nil, nil, malformedTicketFaults(err)
	}
	return t, reencoded, nil
}

func protoFaults(faults []ticket.Fault) []*pb.Fault {
	var messages []*pb.Fault
	for _, f := range faults {
		messages = append(messages, &pb.Fault{Object: f.Object, Field: f.Field, Problem: f.Problem, Remedy: f.Remedy})
	}
	return messages
}

func protoChanges(changes []ticket.Change) []*pb.Change {
	var messages []*pb.Change
	for _, c := range changes {
		messages = append(messages, &pb.Change{Object: c.Object, Field: c.Field, Before: c.Before, After: c.After})
	}
	return messages
}

func protoRecord(r ticket.HistoryRecord) *pb.TicketRecord {
	return &pb.TicketRecord{
		Revision:       r.Revision,
		Number:         r.Number,
		Author:         r.Author,
		Summary:        r.Summary,
		AcceptedUnixMs: r.AcceptedUnixMs,
	}
}
