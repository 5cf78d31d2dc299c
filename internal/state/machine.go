// Package state implements the state machine of the replicated log. It combines
// the submitted tickets, the membership of endpoints and the ledger of protected
// requests.
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

// Options configure a Machine. There are none yet: everything that affects a result
// is part of the commands, so that all replicas agree whatever their settings.
type Options struct{}

// Machine applies commands and serves reads. Its methods are safe for concurrent
// use.
type Machine struct {
	mu          sync.RWMutex
	ticketStore *ticket.Store
	leaseTable  *lease.Table
	ledger      *ledger.Ledger
	logTimeMs   int64         // newest time of any command, in Unix milliseconds
	changed     chan struct{} // closed at the next change
}

// New returns an empty state machine.
func New(Options) *Machine {
	return &Machine{
		ticketStore: ticket.NewStore(),
		leaseTable:  lease.NewTable(),
		ledger:      ledger.New(),
		changed:     make(chan struct{}),
	}
}

// Apply executes one encoded pb.Command and returns the encoded pb.CommandResult. A
// command that can't be decoded changes nothing and has an empty result.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	c := &pb.Command{}
	if proto.Unmarshal(command, c) != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logTimeMs = max(m.logTimeMs, c.GetNowUnixMs())
	result, err := proto.Marshal(m.applyCommand(index, c))
	if err != nil {
		return nil
	}
	return result
}

func (m *Machine) applyCommand(index uint64, c *pb.Command) *pb.CommandResult {
	switch v := c.GetCommand().(type) {
	case *pb.Command_Submit:
		return m.submitTicket(v.Submit)
	case *pb.Command_Join:
		version := m.leaseTable.Version()
		joined := m.leaseTable.Join(index, c.GetTerm(), v.Join)
		m.notifyIf(m.leaseTable.Version() != version)
		return &pb.CommandResult{Result: &pb.CommandResult_Join{Join: joined}}
	case *pb.Command_Leave:
		return m.changeResult(m.leaseTable.Leave(index, v.Leave))
	case *pb.Command_Update:
		return m.changeResult(m.leaseTable.Update(index, v.Update))
	case *pb.Command_Want:
		return m.changeResult(m.leaseTable.SetWantedState(index, v.Want))
	case *pb.Command_Order:
		return m.changeResult(m.leaseTable.ReplaceOrders(c.GetTerm(), v.Order))
	case *pb.Command_Ledger:
		return m.applyLedger(v.Ledger)
	default:
		return &pb.CommandResult{}
	}
}

func (m *Machine) submitTicket(c *pb.SubmitCommand) *pb.CommandResult {
	verdict := m.ticketStore.Submit(c.GetTicket(), m.logTimeMs)
	m.notifyIf(verdict.Kind == pb.Verdict_VERDICT_ACCEPTED && !verdict.Repeated)
	encoded, err := json.Marshal(verdict)
	if err != nil {
		encoded = nil
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Submit{Submit: &pb.SubmitResult{Verdict: encoded}}}
}

func (m *Machine) changeResult(changes int) *pb.CommandResult {
	m.notifyIf(changes > 0)
	return &pb.CommandResult{Result: &pb.CommandResult_Change{Change: &pb.ChangeResult{Changed: uint32(changes)}}}
}

// notifyIf wakes the waiters on Changed if something changed.
func (m *Machine) notifyIf(changed bool) {
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
	for _, operation := range c.GetOperations() {
		r.Answers = append(r.Answers, m.applyLedgerOperation(operation, bounds))
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Ledger{Ledger: r}}
}

func (m *Machine) applyLedgerOperation(operation *pb.LedgerOperation, bounds ledger.Bounds) *pb.ClaimResponse {
	switch v := operation.GetOperation().(type) {
	case *pb.LedgerOperation_Claim:
		return m.ledger.Claim(m.logTimeMs, v.Claim, bounds)
	case *pb.LedgerOperation_Settle:
		return &pb.ClaimResponse{State: m.ledger.Settle(m.logTimeMs, v.Settle, bounds).GetState()}
	case *pb.LedgerOperation_Lookup:
		return m.ledger.Lookup(m.logTimeMs, v.Lookup)
	default:
		return &pb.ClaimResponse{}
	}
}
