package replica

import (
	"context"
	"sync"
	"time"
)

// memoryLogLease is the remaining lease time that a single-replica log reports.
const memoryLogLease = time.Hour

// MemoryLog is an in-memory log of a single replica, for tests and for the embedded
// control host without a data folder. Its content is lost at a restart.
type MemoryLog struct {
	mu      sync.Mutex
	machine StateMachine
	index   uint64
}

// NewMemoryLog returns an empty log that drives the state machine.
func NewMemoryLog(machine StateMachine) *MemoryLog { return &MemoryLog{machine: machine} }

// Propose applies the command and returns the result.
func (l *MemoryLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, command), nil
}

// LeaderLease always reports true, with a lease of an hour.
func (l *MemoryLog) LeaderLease() (uint64, time.Time, bool) {
	return 1, time.Now().Add(memoryLogLease), true
}

// Status returns the state of the only replica.
func (l *MemoryLog) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{ID: 1, Term: 1, LeaderID: 1, IsLeader: true, CommitIndex: l.index, AppliedIndex: l.index, IsVoter: true,
		Members: []Member{{ID: 1, IsVoter: true, MatchIndex: l.index}}}
}

// AddMember always fails with *NotRecordedError.
func (l *MemoryLog) AddMember(context.Context, uint64, string) error {
	return &NotRecordedError{Reason: "a log in memory has one host"}
}

// RemoveMember always fails with *NotRecordedError.
func (l *MemoryLog) RemoveMember(context.Context, uint64) error {
	return &NotRecordedError{Reason: "a log in memory has one host"}
}

// TransferLeadership does nothing, since there is no other replica.
func (l *MemoryLog) TransferLeadership(context.Context) error { return nil }
