package replica

import (
	"context"
	"sync"
	"time"
)

// memoryLogLease is the remaining lease time that a single-replica log reports.
const memoryLogLease = time.Hour

// Solo is an in-memory log of a single replica, for tests and for the embedded
// control host without a data folder. Its content is lost at a restart.
type Solo struct {
	mu      sync.Mutex
	machine StateMachine
	index   uint64
}

// NewSolo returns an empty log that drives the state machine.
func NewSolo(machine StateMachine) *Solo { return &Solo{machine: machine} }

// Propose applies the command and returns the result.
func (s *Solo) Propose(_ context.Context, command []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.machine.Apply(s.index, command), nil
}

// Leading always reports true, with a lease of an hour.
func (s *Solo) Leading() (uint64, time.Time, bool) { return 1, time.Now().Add(memoryLogLease), true }

// Status returns the state of the only replica.
func (s *Solo) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{ID: 1, Term: 1, Leader: 1, IsLeader: true, CommitIndex: s.index, AppliedIndex: s.index,
		Members: []Member{{ID: 1, Voter: true, Match: s.index}}}
}

// AddMember always fails with *NotRecorded.
func (s *Solo) AddMember(context.Context, uint64, string) error {
	return &NotRecorded{Reason: "a log in memory has one host"}
}

// RemoveMember always fails with *NotRecorded.
func (s *Solo) RemoveMember(context.Context, uint64) error {
	return &NotRecorded{Reason: "a log in memory has one host"}
}

// TransferLeadership does nothing, since there is no other replica.
func (s *Solo) TransferLeadership(context.Context) error { return nil }
