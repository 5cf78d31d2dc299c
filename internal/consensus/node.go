package consensus

import (
	"slices"
	"time"
)

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	rng  uint64
	now  time.Duration
	hard HardState
	log  entryLog

	commit  uint64
	applied uint64 // newest entry handed out for applying
	role    Role
	leader  uint64 // 0 if unknown

	electionAt   time.Duration // when to campaign
	promiseUntil time.Duration // no vote before, so that a leader may hold a lease
	votes        map[uint64]uint64
	joinAt       time.Duration
	emptyPeers   map[uint64]time.Duration

	progress    map[uint64]*progress
	termStart   uint64 // first entry of the leader's term
	leaderSince time.Duration
	leaseTold   time.Duration // newest end of the lease that a caller was told
	heartbeatAt time.Duration
	handOver    *handOver
	uncommitted int // bytes

	hardDirty  bool
	installing *Snapshot
	sequence   uint64
	send       []Message
	after      []Message
}

// New returns a replica over what was stored. The error is a *CorruptLogError.
func New(cfg Config, stored Stored, now time.Duration) (*Node, error) {
	log, err := loadLog(stored)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg.withDefaults(), rng: cfg.Seed | 1, now: now, hard: stored.Hard, log: log,
		commit: stored.Snapshot.Index, applied: stored.Snapshot.Index,
		emptyPeers: map[uint64]time.Duration{}}
	n.promiseUntil = now + n.cfg.ElectionTimeout
	n.leaseTold = never
	n.resetElection()
	if cfg.Leaseless {
		n.promiseUntil = now
		n.electionAt -= n.cfg.ElectionTimeout
	}
	if m, _ := n.log.membership(); m.voters() == 1 && m.isVoter(cfg.ID, cfg.Disk) {
		n.promiseUntil, n.electionAt = now, now
	}
	return n, nil
}

// jitter returns a value below limit from the seeded sequence.
func (n *Node) jitter(limit time.Duration) time.Duration {
	n.rng ^= n.rng << 13
	n.rng ^= n.rng >> 7
	n.rng ^= n.rng << 17
	return time.Duration(n.rng % uint64(limit))
}

// resetElection puts the next campaign off. The voters take turns within one
// election timeout, so that after a restart of all two seldom campaign at once;
// the jitter parts those that disagree about the membership.
func (n *Node) resetElection() {
	m, _ := n.log.membership()
	slot := n.cfg.ElectionTimeout / time.Duration(max(m.voters(), 1))
	n.electionAt = n.now + n.cfg.ElectionTimeout + time.Duration(m.turn(n.cfg.ID))*slot + n.jitter(max(slot/2, 1))
}

// Tick tells the time.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	n.tickJoin()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionAt && n.now >= n.promiseUntil && n.isVoter() {
		n.preCampaign()
	}
}

// isVoter reports whether this data folder votes, as far as it knows.
func (n *Node) isVoter() bool {
	m, _ := n.log.membership()
	return n.hard.Formation != 0 && m.isVoter(n.cfg.ID, n.cfg.Disk)
}

// Step takes a message. Messages of another cluster or for another data
// folder are ignored.
func (n *Node) Step(now time.Duration, m Message) {
	n.now = now
	if m.To != n.cfg.ID {
		return
	}
	if m.ToDisk != 0 && m.ToDisk != n.cfg.Disk {
		n.handleStray(m)
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
	if n.hard.Formation == 0 {
		n.adopt(m)
	}
	if m.Formation == 0 || m.Formation != n.hard.Formation {
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

// message fills in what every message carries.
func (n *Node) message(m Message) Message {
	m.From, m.Disk, m.Formation = n.cfg.ID, n.cfg.Disk, n.hard.Formation
	return m
}

// sendNow sends a message that depends on nothing unsynced.
func (n *Node) sendNow(m Message) { n.send = append(n.send, n.message(m)) }

// sendAfter sends a message once everything before it is synced.
func (n *Node) sendAfter(m Message) { n.after = append(n.after, n.message(m)) }

// TakeMessages returns the messages to send at once. They need no sync.
func (n *Node) TakeMessages() []Message {
	if n.role == Leader {
		n.replicate()
	}
	out := n.send
	n.send = nil
	return out
}

// TakeSave returns what to sync next, or nil. The caller syncs one Save at a
// time and passes each to Saved in order.
func (n *Node) TakeSave() *Save {
	entries := n.log.slice(n.log.unsaved, n.log.last(), len(n.log.entries), 1<<62)
	if !n.hardDirty && n.installing == nil && len(entries) == 0 && len(n.after) == 0 {
		return nil
	}
	s := &Save{Snapshot: n.installing, Entries: entries, After: n.after}
	if n.hardDirty {
		hard := n.hard
		s.Hard = &hard
	}
	n.hardDirty, n.installing, n.after = false, nil, nil
	n.log.unsaved = n.log.last() + 1
	return s
}

// Saved tells that a Save is synced and returns the messages to send now.
func (n *Node) Saved(now time.Duration, s *Save) []Message {
	n.now = now
	if s.Snapshot != nil {
		n.markSynced(s.Snapshot.Index, s.Snapshot.Term)
		n.applied = max(n.applied, s.Snapshot.Index)
	}
	if count := len(s.Entries); count > 0 {
		n.markSynced(s.Entries[count-1].Index, s.Entries[count-1].Term)
	}
	out := make([]Message, 0, len(s.After))
	for _, m := range s.After {
		if m.To == n.cfg.ID {
			n.Step(now, m)
			continue
		}
		out = append(out, m)
	}
	return out
}

// markSynced notes a synced entry unless it was replaced in the meantime.
func (n *Node) markSynced(index, term uint64) {
	if at, ok := n.log.term(index); !ok || at != term || index <= n.log.synced {
		return
	}
	n.log.synced = index
	if n.role == Leader {
		n.advanceCommit()
	}
}

// TakeCommitted returns the next entries to apply, within the bounds. They
// are synced here and on a quorum.
func (n *Node) TakeCommitted(maxCount, maxBytes int) []Entry {
	last := min(n.commit, n.log.synced)
	entries := n.log.slice(n.applied+1, last, maxCount, maxBytes)
	n.applied += uint64(len(entries))
	return entries
}

// SnapshotAt returns the description of a snapshot at an applied index, or
// false if a newer one makes it useless.
func (n *Node) SnapshotAt(index uint64) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index <= n.log.snapshot.Index || index > n.applied {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Membership: n.log.membershipAt(index)}, true
}

// SetSnapshot tells that a local snapshot is synced, and drops the entries up
// to compactTo, which it covers.
func (n *Node) SetSnapshot(s Snapshot, compactTo uint64) {
	if s.Index <= n.log.snapshot.Index {
		return
	}
	n.log.setSnapshot(s)
	n.log.compact(min(compactTo, s.Index))
}

// Propose appends a command on the leader. The error is a *NotLeaderError or
// a *BusyError; the command was not appended then.
func (n *Node) Propose(now time.Duration, command []byte) (index, term uint64, err error) {
	n.now = now
	if n.role != Leader {
		return 0, 0, &NotLeaderError{Leader: n.leader}
	}
	if n.handOver != nil {
		return 0, 0, &BusyError{Reason: "leadership is being handed over"}
	}
	if n.log.last()-n.commit >= maxUncommitted || n.uncommitted+len(command) > maxUncommittedSize {
		return 0, 0, &BusyError{Reason: "too many commands wait for a quorum"}
	}
	n.uncommitted += len(command)
	index = n.appendOwn(EntryCommand, command)
	return index, n.hard.Term, nil
}

// appendOwn appends an entry of the leader's term and returns its index.
func (n *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	// Only a membership that can't be decoded fails, and ours was just encoded.
	_ = n.log.append(e)
	return e.Index
}

// View is what a replica knows now.
type View struct {
	Role         Role
	Term         uint64
	Leader       uint64
	Commit       uint64
	Applied      uint64 // handed out for applying
	Last         uint64
	Synced       uint64
	FirstHeld    uint64
	TermStart    uint64 // leader only: first entry of its term
	LeaseEnd     time.Duration
	HasLease     bool
	Confirmed    time.Duration // leader only: newest time at which a quorum followed
	Formation    uint64
	Voter        bool
	Registered   bool // this data folder is known to the members
	Membership   Membership
	Match        map[uint64]uint64 // leader only
	MissingPeers []uint64          // hosts that keep a new cluster from forming
}

// View returns a copy of what the replica knows.
func (n *Node) View() View {
	m, _ := n.log.membership()
	v := View{Role: n.role, Term: n.hard.Term, Leader: n.leader, Commit: n.commit, Applied: n.applied,
		Last: n.log.last(), Synced: n.log.synced, FirstHeld: n.log.offset + 1, TermStart: n.termStart,
		Formation: n.hard.Formation, Voter: n.isVoter(), Registered: m.isRegistered(n.cfg.ID, n.cfg.Disk),
		Membership: Membership{Members: slices.Clone(m.Members), Retired: m.Retired}}
	v.LeaseEnd, v.HasLease = n.leaseEnd()
	v.Confirmed, _ = n.Confirmed()
	if n.role == Leader {
		v.Match = map[uint64]uint64{n.cfg.ID: n.log.synced}
		for id, p := range n.progress {
			v.Match[id] = p.match
		}
	}
	if n.founder() {
		v.MissingPeers = n.missingPeers()
	}
	return v
}
