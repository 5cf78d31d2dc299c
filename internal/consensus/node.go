package consensus

import (
	"slices"
	"time"
)

// Node is one replica of the log. It is not safe for concurrent use.
type Node struct {
	cfg       Config
	rngState  uint64
	now       time.Duration
	hardState HardState
	log       entryLog

	commitIndex  uint64
	appliedIndex uint64 // newest entry returned for applying
	role         Role
	leaderID     uint64 // 0 if unknown

	nextElectionAt    time.Duration     // when to start the next campaign
	withholdVoteUntil time.Duration     // a leader may hold a lease until then
	grantedVotes      map[uint64]uint64 // host ID to disk ID
	nextJoinAt        time.Duration
	bootstrapAgreedAt map[uint64]time.Duration // by host ID

	progress         map[uint64]*progress
	termStartIndex   uint64 // leader only: first entry of its term
	leaderSince      time.Duration
	reportedLeaseEnd time.Duration // latest lease end that a caller was told
	nextHeartbeatAt  time.Duration
	pendingTransfer  *leadershipTransfer
	uncommittedBytes int
	barred           bool // from leading

	hardStateDirty   bool
	receivedSnapshot *Snapshot // installed in the log, not yet returned in a WriteBatch
	replySequence    uint64
	outbox           []Message
	outboxAfterSync  []Message
}

// New returns a replica with the given stored state. The error is a
// *CorruptLogError.
func New(cfg Config, stored PersistedState, now time.Duration) (*Node, error) {
	log, err := loadLog(stored)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg.withDefaults(), rngState: cfg.Seed | 1, now: now, hardState: stored.HardState, log: log,
		commitIndex: stored.Snapshot.Index, appliedIndex: stored.Snapshot.Index,
		bootstrapAgreedAt: map[uint64]time.Duration{}}
	n.withholdVoteUntil = now + n.cfg.ElectionTimeout
	n.reportedLeaseEnd = distantPast
	n.resetElectionTimer()
	if cfg.DisableLease {
		n.withholdVoteUntil = now
		n.nextElectionAt -= n.cfg.ElectionTimeout
	}
	if m, _ := n.log.latestMembership(); m.voterCount() == 1 && m.isVoter(cfg.ID, cfg.DiskID) {
		n.withholdVoteUntil, n.nextElectionAt = now, now
	}
	return n, nil
}

// jitter returns a pseudo-random duration below limit (xorshift).
func (n *Node) jitter(limit time.Duration) time.Duration {
	n.rngState ^= n.rngState << 13
	n.rngState ^= n.rngState >> 7
	n.rngState ^= n.rngState << 17
	return time.Duration(n.rngState % uint64(limit))
}

// resetElectionTimer postpones the next campaign. Within one election timeout each
// voter has its own slot, so that two voters rarely campaign at once after all
// hosts have restarted; the jitter separates those that disagree about the
// membership.
func (n *Node) resetElectionTimer() {
	m, _ := n.log.latestMembership()
	slot := n.cfg.ElectionTimeout / time.Duration(max(m.voterCount(), 1))
	n.nextElectionAt = n.now + n.cfg.ElectionTimeout + time.Duration(m.voterRank(n.cfg.ID))*slot + n.jitter(max(slot/2, 1))
}

// Tick advances the clock and runs the timers.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	n.tickJoin()
	if n.barred && n.role != Follower {
		n.becomeFollower(n.hardState.Term, 0)
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.barred && n.now >= n.nextElectionAt && n.now >= n.withholdVoteUntil && n.isVoter() {
		n.preCampaign()
	}
}

// isVoter reports whether this data folder votes according to its own newest
// membership.
func (n *Node) isVoter() bool {
	m, _ := n.log.latestMembership()
	return n.hardState.ClusterID != 0 && m.isVoter(n.cfg.ID, n.cfg.DiskID)
}

// Step processes a message. Messages from another cluster are ignored; a join may
// come from a host that is in no cluster yet. So are messages for another data
// folder, except that an append may make this host ask to join.
func (n *Node) Step(now time.Duration, m Message) {
	n.now = now
	if m.To != n.cfg.ID {
		return
	}
	if m.ToDiskID != 0 && m.ToDiskID != n.cfg.DiskID {
		n.handleWrongDiskID(m)
		return
	}
	switch m.Type {
	case MsgJoin:
		n.handleJoin(m)
		return
	case MsgJoinReply:
		n.handleJoinReply(m)
		return
	}
	if n.hardState.ClusterID == 0 {
		n.adoptClusterID(m)
	}
	if m.ClusterID == 0 || m.ClusterID != n.hardState.ClusterID {
		return
	}
	switch m.Type {
	case MsgAppend:
		n.handleAppend(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgPreVoteReply:
		n.handlePreVoteReply(m)
	case MsgVote:
		n.handleVote(m)
	case MsgVoteReply:
		n.handleVoteReply(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	}
}

// withSender fills in the fields that identify the sender.
func (n *Node) withSender(m Message) Message {
	m.From, m.DiskID, m.ClusterID = n.cfg.ID, n.cfg.DiskID, n.hardState.ClusterID
	return m
}

// sendNow sends a message that does not depend on unsynced state.
func (n *Node) sendNow(m Message) { n.outbox = append(n.outbox, n.withSender(m)) }

// sendAfterSync sends a message once all changes so far are synced.
func (n *Node) sendAfterSync(m Message) {
	n.outboxAfterSync = append(n.outboxAfterSync, n.withSender(m))
}

// TakeMessages returns the messages that can be sent without waiting for a sync.
func (n *Node) TakeMessages() []Message {
	if n.role == Leader {
		n.replicate()
	}
	messages := n.outbox
	n.outbox = nil
	return messages
}

// TakeWriteBatch returns what to sync next, or nil. The caller syncs one batch at a
// time, in order, and reports each to WriteBatchSynced.
func (n *Node) TakeWriteBatch() *WriteBatch {
	entries := n.log.slice(n.log.nextWriteIndex, n.log.lastIndex(), len(n.log.entries), 1<<62)
	if !n.hardStateDirty && n.receivedSnapshot == nil && len(entries) == 0 && len(n.outboxAfterSync) == 0 {
		return nil
	}
	batch := &WriteBatch{Snapshot: n.receivedSnapshot, Entries: entries, MessagesAfterSync: n.outboxAfterSync}
	if n.hardStateDirty {
		hardState := n.hardState
		batch.HardState = &hardState
	}
	n.hardStateDirty, n.receivedSnapshot, n.outboxAfterSync = false, nil, nil
	n.log.nextWriteIndex = n.log.lastIndex() + 1
	return batch
}

// WriteBatchSynced reports that a batch is synced and returns the messages to send now.
func (n *Node) WriteBatchSynced(now time.Duration, batch *WriteBatch) []Message {
	n.now = now
	if batch.Snapshot != nil {
		n.markSynced(batch.Snapshot.Index, batch.Snapshot.Term)
		n.appliedIndex = max(n.appliedIndex, batch.Snapshot.Index)
	}
	if count := len(batch.Entries); count > 0 {
		n.markSynced(batch.Entries[count-1].Index, batch.Entries[count-1].Term)
	}
	messages := make([]Message, 0, len(batch.MessagesAfterSync))
	for _, m := range batch.MessagesAfterSync {
		if m.To == n.cfg.ID {
			n.Step(now, m)
			continue
		}
		messages = append(messages, m)
	}
	return messages
}

// markSynced advances the synced index, unless the entry was replaced while it was
// being written.
func (n *Node) markSynced(index, term uint64) {
	if heldTerm, ok := n.log.term(index); !ok || heldTerm != term || index <= n.log.syncedIndex {
		return
	}
	n.log.syncedIndex = index
	if n.role == Leader {
		n.advanceCommit()
	}
}

// TakeCommitted returns the next entries to apply, up to the limits. They are
// synced on this host and on a quorum.
func (n *Node) TakeCommitted(maxCount, maxBytes int) []Entry {
	last := min(n.commitIndex, n.log.syncedIndex)
	entries := n.log.slice(n.appliedIndex+1, last, maxCount, maxBytes)
	n.appliedIndex += uint64(len(entries))
	return entries
}

// SnapshotMetadata returns a snapshot without Data for an applied index, or false if
// the index is not applied, no longer in the log, or not newer than the last snapshot.
func (n *Node) SnapshotMetadata(index uint64) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index <= n.log.snapshot.Index || index > n.appliedIndex {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Membership: n.log.membershipAt(index)}, true
}

// CompactionIndex returns the index up to which the entries that a snapshot covers can be dropped, so that at most
// maxEntries of them with maxBytes of data are kept for followers.
func (n *Node) CompactionIndex(s Snapshot, maxEntries uint64, maxBytes int) uint64 {
	return n.log.compactionIndex(s.Index, maxEntries, maxBytes)
}

// SetSnapshot records that a local snapshot is synced, and drops the entries up to
// compactIndex that it covers.
func (n *Node) SetSnapshot(s Snapshot, compactIndex uint64) {
	if s.Index <= n.log.snapshot.Index {
		return
	}
	n.log.setSnapshot(s)
	n.log.compact(min(compactIndex, s.Index))
}

// Propose appends a command on the leader. If it returns an error, a
// *NotLeaderError or a *BusyError, the command was not appended.
func (n *Node) Propose(now time.Duration, command []byte) (index, term uint64, err error) {
	n.now = now
	if n.role != Leader {
		return 0, 0, &NotLeaderError{LeaderID: n.leaderID}
	}
	if n.pendingTransfer != nil {
		return 0, 0, &BusyError{Reason: "leadership is being handed over"}
	}
	if n.log.lastIndex()-n.commitIndex >= maxUncommittedEntries || n.uncommittedBytes+len(command) > maxUncommittedBytes {
		return 0, 0, &BusyError{Reason: "too many commands wait for a quorum"}
	}
	n.uncommittedBytes += len(command)
	index = n.appendEntry(EntryCommand, command)
	return index, n.hardState.Term, nil
}

// appendEntry appends an entry of this leader's term and returns its index.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	// append fails only on a membership that can't be decoded; this one was just
	// encoded.
	_ = n.log.append(e)
	return e.Index
}

// Status is a copy of the state of a replica.
type Status struct {
	Role              Role
	Term              uint64
	LeaderID          uint64
	CommitIndex       uint64
	AppliedIndex      uint64 // newest entry returned for applying
	LastIndex         uint64
	SyncedIndex       uint64
	FirstIndex        uint64 // first entry that is not compacted
	TermStartIndex    uint64 // leader only: first entry of its term
	LeaseEnd          time.Duration
	HasLease          bool
	QuorumContactAt   time.Duration // leader only: latest time at which a quorum followed
	ClusterID         uint64
	IsVoter           bool
	IsRegistered      bool // the membership contains this data folder
	Membership        Membership
	MatchIndex        map[uint64]uint64 // leader only: newest synced entry by host ID
	BootstrapBlockers []uint64          // initial hosts that this host waits for before it forms a cluster
}

// Status returns a copy of the replica's state.
func (n *Node) Status() Status {
	m, _ := n.log.latestMembership()
	status := Status{Role: n.role, Term: n.hardState.Term, LeaderID: n.leaderID, CommitIndex: n.commitIndex, AppliedIndex: n.appliedIndex,
		LastIndex: n.log.lastIndex(), SyncedIndex: n.log.syncedIndex, FirstIndex: n.log.compactedIndex + 1, TermStartIndex: n.termStartIndex,
		ClusterID: n.hardState.ClusterID, IsVoter: n.isVoter(), IsRegistered: m.isRegistered(n.cfg.ID, n.cfg.DiskID),
		Membership: Membership{Members: slices.Clone(m.Members), RetiredDiskIDs: m.RetiredDiskIDs}}
	status.LeaseEnd, status.HasLease = n.reportLeaseEnd()
	status.QuorumContactAt, _ = n.LastQuorumContact()
	if n.role == Leader {
		status.MatchIndex = map[uint64]uint64{n.cfg.ID: n.log.syncedIndex}
		for id, p := range n.progress {
			status.MatchIndex[id] = p.matchIndex
		}
	}
	if n.mayBootstrap() {
		status.BootstrapBlockers = n.bootstrapBlockers()
	}
	return status
}
