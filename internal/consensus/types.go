// Package consensus implements the replicated log of the control hosts, a
// variant of Raft, as a deterministic state machine: it takes messages, clock
// readings and proposals, and returns messages, writes to sync and committed
// entries. It has no clock, goroutine, I/O or randomness of its own; the caller
// passes its monotonic clock and a seed.
//
// The protocol has pre-vote, learners, single-host membership changes,
// snapshots and a leader lease. A voter is identified by its host ID and its disk
// ID, the identity of its data folder: a host whose folder was emptied has a new
// disk ID, no vote under it, and joins again as a learner.
package consensus

import "time"

// Role is the role of a replica in its current term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// EntryKind is the type of the data in a log entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand    EntryKind = iota + 1 // a command for the state machine
	EntryNoOp                            // appended by a new leader, to commit in its term
	EntryMembership                      // an encoded Membership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Member is one host of the cluster.
type Member struct {
	ID      uint64
	DiskID  uint64 // registered data folder; 0 until the host has joined
	URL     string
	IsVoter bool
	// Ephemeral members lose their data folder when their process ends. They are
	// learners, except that the host that bootstraps the cluster votes until enough
	// persistent hosts do.
	Ephemeral bool
}

// Membership is the set of all voters and learners.
type Membership struct {
	Members        []Member
	RetiredDiskIDs []uint64 // disk IDs that were replaced; they can never join again
}

// HardState is the part of the state that must be synced before any message that
// depends on it is sent.
type HardState struct {
	Term      uint64
	VotedFor  uint64 // disk ID of the candidate that got the vote in Term; 0 if none
	ClusterID uint64 // disk ID of the host that bootstrapped the cluster; 0 for an empty data folder
}

// Snapshot is the state of the state machine at a log index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageType is the type of a protocol message.
type MessageType uint8

// Message types.
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

// Message is sent from one replica to another. The leader emits a snapshot message
// without the snapshot's Data; the caller fills in its newest synced snapshot.
type Message struct {
	Type                       MessageType
	From                       uint64
	To                         uint64
	DiskID                     uint64 // data folder of the sender
	ToDiskID                   uint64 // data folder of the receiver; 0 for any
	ClusterID                  uint64 // cluster of the sender; 0 if its data folder is empty
	Term                       uint64 // join: of the append that it answers, or 0
	Index                      uint64 // append: entry before Entries; append reply: newest match or conflict hint; vote: last entry
	LogTerm                    uint64 // term of the entry at Index
	CommitIndex                uint64
	Reject                     bool
	LeadershipTransfer         bool          // vote: the lease of the old leader has ended, so voters need not withhold their votes
	SentAt                     time.Duration // leader's clock at sending, echoed by the follower; join: of the append that it answers, or 0
	RunNumber                  uint64        // of the sender's process; increases with each start
	ReplySequence              uint64        // append reply: increases with each reply under one RunNumber
	RequesterOrForwarderDiskID uint64        // join reply: DiskID of the joining host; join: DiskID of the host that forwarded it, or 0
	RejectedIndex              uint64        // append reply: Index of the append that did not match
	LastIndex                  uint64        // append reply: last entry in the follower's log
	URL                        string
	Ephemeral                  bool // join: the sender loses its data folder when its process ends
	Entries                    []Entry
	Snapshot                   *Snapshot
}

// WriteBatch is what the journal must sync next, and the messages to send once that
// is done. Entries overwrite the stored entries from their first index on. Snapshot
// replaces the whole stored log and is written before Entries.
type WriteBatch struct {
	HardState         *HardState
	Snapshot          *Snapshot
	Entries           []Entry
	MessagesAfterSync []Message
}

// NeedsSync reports whether there is anything to sync.
func (b *WriteBatch) NeedsSync() bool {
	return b.HardState != nil || b.Snapshot != nil || len(b.Entries) > 0
}

// PersistedState is what a replica finds in its data folder at startup.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0 if there is none
	Entries   []Entry  // contiguous; may begin at or before Snapshot.Index
}
