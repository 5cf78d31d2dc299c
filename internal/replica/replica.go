// Package replica joins the agreement protocol, the journal and the peers
// into a replicated log of commands with one state machine on top.
package replica

import (
	"context"
	"time"
)

// StateMachine is what the log drives. The methods are called by one
// goroutine at a time. Apply must depend on its arguments alone: every
// replica gets the same commands in the same order.
type StateMachine interface {
	// Apply carries out one command and returns its result for the proposer.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Status describes a replica.
type Status struct {
	ID        uint64
	Term      uint64
	Leader    uint64 // 0 if unknown
	LeaderURL string
	IsLeader  bool // holds the leader lease now
	Commit    uint64
	Applied   uint64
	Members   []Member
	Voter     bool   // the data folder of this replica counts
	Reason    string // why this replica can't take proposals now, "" if it can
}

// Member is one control host of the log.
type Member struct {
	ID    uint64
	URL   string
	Voter bool
	Match uint64 // newest entry known to be synced there; leader only
}

// Log is the replicated log as the control services use it.
type Log interface {
	// Propose appends a command, through the leader if this replica follows,
	// and returns the result of applying it. An error of type *NotRecorded
	// says that the command will never be applied; any other error leaves
	// that open.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// Leading reports whether this replica holds the leader lease, and until when.
	Leading() (term uint64, until time.Time, ok bool)
	// Status describes the replica.
	Status() Status
	// AddMember and RemoveMember change the set of hosts one at a time. A new
	// host is a learner until it has caught up.
	AddMember(ctx context.Context, id uint64, url string) error
	RemoveMember(ctx context.Context, id uint64) error
	// TransferLeadership hands over before a planned stop.
	TransferLeadership(ctx context.Context) error
}

// NotRecorded says that a command was refused before it entered the log.
type NotRecorded struct {
	Reason string
}

// Error gives the reason.
func (e *NotRecorded) Error() string { return "command not recorded: " + e.Reason }
