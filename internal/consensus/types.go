// Package consensus is the agreement protocol of the control hosts as a pure
// step function: messages, times and proposals go in, messages, writes to
// sync and committed entries come out. It has no clock, goroutine, I/O or
// randomness of its own; the caller passes its monotonic clock and a seed.
//
// The protocol is a leader-based replicated log with pre-vote, learners,
// single-host membership changes, snapshots and a leader lease. Voters are
// told apart by the identity of their data folder: a host whose folder was
// emptied has another identity, counts for nothing and is admitted as a
// learner again.
package consensus

import "time"

// Role is the part a replica plays in its term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand    EntryKind = iota + 1 // a command of the state machine
	EntryEmpty                           // the first entry of a leader's term
	EntryMembership                      // an encoded Membership
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Member is one host of the log.
type Member struct {
	ID    uint64
	Disk  uint64 // identity of the registered data folder, 0 until known
	URL   string
	Voter bool
	// Ephemeral members lose their data folder with their process. They
	// follow; one votes only while it founds the system.
	Ephemeral bool
}

// Membership is the whole set of hosts.
type Membership struct {
	Members []Member
	Retired []uint64 // data folders that were replaced and never count again
}

// HardState must be synced before the messages that follow from it are sent.
type HardState struct {
	Term      uint64
	Vote      uint64 // data folder of the candidate voted for in Term
	Formation uint64 // identity of the formed cluster, 0 for an empty data folder
}

// Snapshot is the state machine at one index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageType tells what a message asks or answers.
type MessageType uint8

// Types of messages.
const (
	MsgAppend MessageType = iota + 1
	MsgAppendReply
	MsgPreVote
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgSnapshot
	MsgTimeoutNow
	MsgJoin
	MsgJoinReply
)

// Message travels between two replicas. A snapshot message of the leader
// carries no Data: the caller fills in its newest synced snapshot.
type Message struct {
	Type      MessageType
	From      uint64
	To        uint64
	Disk      uint64 // data folder of the sender
	ToDisk    uint64 // data folder it is meant for; 0 for any
	Formation uint64
	Term      uint64
	Index     uint64 // append: entry before; reply: newest match or hint; vote: last entry
	LogTerm   uint64 // term of the entry at Index
	Commit    uint64
	Reject    bool
	Transfer  bool          // the vote follows from a hand-over by the leader
	Sent      time.Duration // clock of the leader, echoed by the follower
	Run       uint64        // start of the sender's process
	Sequence  uint64        // grows with each reply of one run
	Echo      uint64
	Rejected  uint64 // reply: the Index of the append that did not match
	Last      uint64 // reply: last entry held
	URL       string
	Ephemeral bool // the data folder of the sender ends with its process
	Entries   []Entry
	Snapshot  *Snapshot
}

// Save is what the journal must sync, and the messages to send afterwards.
// Entries replace every stored entry from the first of them on. Snapshot
// replaces the whole stored log and precedes Entries.
type Save struct {
	Hard     *HardState
	Snapshot *Snapshot
	Entries  []Entry
	After    []Message
}

// Writes reports whether anything must be synced.
func (s *Save) Writes() bool {
	return s.Hard != nil || s.Snapshot != nil || len(s.Entries) > 0
}

// Stored is what a replica finds in its data folder at its start.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot // Index 0 if there is none
	Entries  []Entry  // contiguous; may begin at or before Snapshot.Index
}
