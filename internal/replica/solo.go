package replica

import (
	"context"
	"sync"
	"time"
)

// soloLease is how far ahead a Solo log reports its leadership.
const soloLease = time.Hour

// Solo is a log of one replica kept in memory, for tests and for the embedded
// default without a data folder. Nothing survives a restart.
type Solo struct {
	mu      sync.Mutex
	machine StateMachine
	index   uint64
}

// NewSolo returns an empty log over the machine.
func NewSolo(machine StateMachine) *Solo { return &Solo{machine: machine} }

// Propose applies the command at once.
func (s *Solo) Propose(_ context.Context, command []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.machine.Apply(s.index, command), nil
}

// Leading is always true.
func (s *Solo) Leading() (uint64, time.Time, bool) { return 1, time.Now().Add(soloLease), true }

// Status describes the only replica.
func (s *Solo) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{ID: 1, Term: 1, Leader: 1, IsLeader: true, Commit: s.index, Applied: s.index,
		Members: []Member{{ID: 1, Voter: true, Match: s.index}}}
}

// AddMember is refused with *NotRecorded.
func (s *Solo) AddMember(context.Context, uint64, string) error {
	return &NotRecorded{Reason: "a log in memory has one host"}
}

// RemoveMember is refused with *NotRecorded.
func (s *Solo) RemoveMember(context.Context, uint64) error {
	return &NotRecorded{Reason: "a log in memory has one host"}
}

// TransferLeadership does nothing.
func (s *Solo) TransferLeadership(context.Context) error { return nil }
