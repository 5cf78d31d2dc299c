// Package state is the state machine of the replicated log: the ticket book,
// the membership of endpoints and the ledger of protected requests.
package state

import (
	"encoding/json"
	"sync"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/ledger"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
	"google.golang.org/protobuf/proto"
)

var _ replica.StateMachine = (*Machine)(nil)

// Options configure a machine. Everything that decides a result travels in
// the commands, so there is nothing to set yet.
type Options struct{}

// Machine applies commands and answers reads. Its methods are safe for
// concurrent use.
type Machine struct {
	mu      sync.RWMutex
	book    *ticket.Book
	table   *lease.Table
	ledger  *ledger.Ledger
	nowMs   int64
	changed chan struct{}
}

// New returns an empty machine.
func New(Options) *Machine {
	return &Machine{
		book:    ticket.NewBook(),
		table:   lease.NewTable(),
		ledger:  ledger.New(),
		changed: make(chan struct{}),
	}
}

// Apply carries out one encoded pb.Command and returns the encoded
// pb.CommandResult; an unreadable command changes nothing and has an empty result.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	c := &pb.Command{}
	if proto.Unmarshal(command, c) != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nowMs = max(m.nowMs, c.GetNowUnixMs())
	result, err := proto.Marshal(m.apply(index, c))
	if err != nil {
		return nil
	}
	return result
}

func (m *Machine) apply(index uint64, c *pb.Command) *pb.CommandResult {
	switch v := c.GetCommand().(type) {
	case *pb.Command_Submit:
		return m.submit(v.Submit)
	case *pb.Command_Join:
		version := m.table.Version()
		joined := m.table.Join(index, c.GetTerm(), v.Join)
		m.notify(m.table.Version() != version)
		return &pb.CommandResult{Result: &pb.CommandResult_Join{Join: joined}}
	case *pb.Command_Leave:
		return m.change(m.table.Leave(index, v.Leave))
	case *pb.Command_Update:
		return m.change(m.table.Update(index, v.Update))
	case *pb.Command_Want:
		return m.change(m.table.Want(index, v.Want))
	case *pb.Command_Order:
		return m.change(m.table.Order(c.GetTerm(), v.Order))
	case *pb.Command_Ledger:
		return m.applyLedger(v.Ledger)
	default:
		return &pb.CommandResult{}
	}
}

func (m *Machine) submit(c *pb.SubmitCommand) *pb.CommandResult {
	v := m.book.Submit(c.GetTicket(), m.nowMs)
	m.notify(v.Kind == pb.Verdict_VERDICT_ACCEPTED && !v.Repeated)
	encoded, err := json.Marshal(v)
	if err != nil {
		encoded = nil
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Submit{Submit: &pb.SubmitResult{Verdict: encoded}}}
}

func (m *Machine) change(n int) *pb.CommandResult {
	m.notify(n > 0)
	return &pb.CommandResult{Result: &pb.CommandResult_Change{Change: &pb.ChangeResult{Changed: uint32(n)}}}
}

// notify wakes those who wait on Changed.
func (m *Machine) notify(changed bool) {
	if !changed {
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Machine) applyLedger(c *pb.LedgerCommand) *pb.CommandResult {
	bounds := ledger.Bounds{
		RetentionMs:    int64(c.GetBounds().GetRetentionMs()),
		MaxEntries:     int(c.GetBounds().GetMaxEntries()),
		MaxBytes:       int64(c.GetBounds().GetMaxBytes()),
		MaxAnswerBytes: int(c.GetBounds().GetMaxAnswerBytes()),
	}
	r := &pb.LedgerResult{Answers: make([]*pb.ClaimResponse, 0, len(c.GetOperations()))}
	for _, o := range c.GetOperations() {
		r.Answers = append(r.Answers, m.operate(o, bounds))
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Ledger{Ledger: r}}
}

func (m *Machine) operate(o *pb.LedgerOperation, b ledger.Bounds) *pb.ClaimResponse {
	switch v := o.GetOperation().(type) {
	case *pb.LedgerOperation_Claim:
		return m.ledger.Claim(m.nowMs, v.Claim, b)
	case *pb.LedgerOperation_Settle:
		return &pb.ClaimResponse{State: m.ledger.Settle(m.nowMs, v.Settle, b).GetState()}
	case *pb.LedgerOperation_Lookup:
		return m.ledger.Lookup(m.nowMs, v.Lookup)
	default:
		return &pb.ClaimResponse{}
	}
}
