// Package replica implements a replicated log of commands that drives a state
// machine. It connects the consensus node to the journal and to the other
// control hosts.
package replica

import (
	"context"
	"time"
)

// StateMachine holds the state that the committed commands build up. Its
// methods are called by one goroutine at a time. Apply must be deterministic:
// every replica applies the same commands in the same order.
type StateMachine interface {
	// Apply applies one command and returns the result for its proposer.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(snapshot []byte) error
}

// Status is the state of a replica at one moment.
type Status struct {
	ID                uint64
	Term              uint64
	LeaderID          uint64 // 0 if unknown
	LeaderURL         string
	IsLeader          bool // holds the leader lease and has applied all entries of earlier terms
	CommitIndex       uint64
	AppliedIndex      uint64
	Members           []Member
	IsVoter           bool   // this replica votes with its present data folder
	UnavailableReason string // why this replica can't accept proposals now, "" if it can
}

// Member is a control host that replicates the log.
type Member struct {
	ID         uint64
	URL        string
	IsVoter    bool
	MatchIndex uint64 // index of the last entry known to be synced on the member; set on the leader only
}

// Log is the interface of the replicated log to the control services.
type Log interface {
	// Propose appends a command and returns the result of applying it. A
	// follower forwards it to the leader. An error of type *NotRecordedError
	// means that the command will never be applied; after any other error it
	// may or may not be applied.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// LeaderLease reports whether this replica holds the leader lease and has
	// applied all entries of earlier terms, and when the lease ends.
	LeaderLease() (term uint64, until time.Time, ok bool)
	// Status returns the current state of the replica.
	Status() Status
	// AddMember and RemoveMember change the membership by one host. A new
	// host is a learner until it has caught up.
	AddMember(ctx context.Context, id uint64, url string) error
	RemoveMember(ctx context.Context, id uint64) error
	// TransferLeadership makes another voter the leader, for a planned stop.
	TransferLeadership(ctx context.Context) error
}

// NotRecordedError reports that a command was not committed and never will be.
type NotRecordedError struct {
	Reason string
}

func (e *NotRecordedError) Error() string { return "command not recorded: " + e.Reason }
