package consensus

// snapshotRetryElectionTimeouts is how long the leader waits before it sends a
// snapshot again.
const snapshotRetryElectionTimeouts = 8

// refreshProgress makes the progress map match the newest membership: one entry per
// registered data folder of the other hosts.
func (n *Node) refreshProgress() {
	m, _ := n.log.latestMembership()
	for id, p := range n.progress {
		if !m.isRegistered(id, p.diskID) {
			delete(n.progress, id)
		}
	}
	for _, member := range m.Members {
		if member.ID == n.cfg.ID || member.DiskID == 0 || n.progress[member.ID] != nil {
			continue
		}
		n.progress[member.ID] = &progress{diskID: member.DiskID, nextIndex: n.log.lastIndex() + 1, probing: true,
			ackedSentAt: distantPast, lastReplyAt: n.now, snapshotSentAt: distantPast}
	}
}

// replicate sends each follower the entries that it lacks, and a heartbeat when
// one is due.
func (n *Node) replicate() {
	heartbeatDue := n.now >= n.nextHeartbeatAt
	if heartbeatDue {
		n.nextHeartbeatAt = n.now + n.cfg.HeartbeatInterval
	}
	m, _ := n.log.latestMembership()
	for _, member := range m.Members {
		p := n.progress[member.ID]
		if p == nil {
			continue
		}
		if heartbeatDue {
			p.probeSent = false
		}
		n.replicateTo(member.ID, p, heartbeatDue)
	}
}

// replicateTo sends one follower the entries that it lacks, within the in-flight
// limit.
func (n *Node) replicateTo(id uint64, p *progress, heartbeatDue bool) {
	if p.nextIndex <= n.log.compactedIndex {
		n.sendSnapshot(id, p)
		if heartbeatDue {
			n.sendAppend(id, p, n.log.compactedIndex, nil)
		}
		return
	}
	sent := false
	for p.nextIndex <= n.log.lastIndex() && n.canSendMore(p) {
		entries := n.log.slice(p.nextIndex, n.log.lastIndex(), maxAppendEntries, maxAppendBytes)
		n.sendAppend(id, p, p.nextIndex-1, entries)
		sent = true
		if p.probing {
			p.probeSent = true
			break
		}
		p.nextIndex += uint64(len(entries))
	}
	if heartbeatDue && !sent {
		n.sendAppend(id, p, p.nextIndex-1, nil)
	}
}

// canSendMore reports whether more entries may be in flight to a follower.
func (n *Node) canSendMore(p *progress) bool {
	if p.probing {
		return !p.probeSent
	}
	return p.nextIndex-1-p.matchIndex < maxInFlightEntries
}

// sendAppend sends entries that follow the entry at previous.
func (n *Node) sendAppend(id uint64, p *progress, previous uint64, entries []Entry) {
	term, _ := n.log.term(previous)
	n.sendNow(Message{Type: MsgAppend, To: id, ToDiskID: p.diskID, Term: n.hardState.Term, Index: previous,
		LogTerm: term, CommitIndex: n.commitIndex, SentAt: n.now, Entries: entries})
}

// sendSnapshot sends the newest snapshot, at most once per retry interval.
func (n *Node) sendSnapshot(id uint64, p *progress) {
	if p.snapshotSentAt != distantPast && n.now-p.snapshotSentAt < snapshotRetryElectionTimeouts*n.cfg.ElectionTimeout {
		return
	}
	p.snapshotSentAt = n.now
	s := n.log.snapshot
	n.sendNow(Message{Type: MsgSnapshot, To: id, ToDiskID: p.diskID, Term: n.hardState.Term, CommitIndex: n.commitIndex,
		SentAt: n.now, Snapshot: &s})
}

// acceptLeader follows the sender and withholds votes for another election
// timeout, or rejects the message and returns false if its term is older.
func (n *Node) acceptLeader(m Message) bool {
	if m.Term < n.hardState.Term {
		n.sendAfterSync(Message{Type: MsgAppendReply, To: m.From, ToDiskID: m.DiskID, Term: n.hardState.Term, Reject: true})
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.resetElectionTimer()
	n.withholdVoteUntil = n.now + n.cfg.ElectionTimeout
	return true
}

// replyAfterSync answers an append or a snapshot once all changes so far are
// synced.
func (n *Node) replyAfterSync(request, reply Message) {
	n.replySequence++
	reply.Type, reply.To, reply.ToDiskID, reply.Term, reply.SentAt = MsgAppendReply, request.From, request.DiskID, n.hardState.Term, request.SentAt
	reply.RunNumber, reply.ReplySequence, reply.LastIndex = n.cfg.RunNumber, n.replySequence, n.log.lastIndex()
	n.sendAfterSync(reply)
}

func (n *Node) handleAppend(m Message) {
	if !n.acceptLeader(m) {
		return
	}
	if m.Index < n.commitIndex {
		n.replyAfterSync(m, Message{Index: n.commitIndex})
		return
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		n.replyAfterSync(m, Message{Index: n.conflictHint(m.Index), Reject: true, RejectedIndex: m.Index})
		return
	}
	if err := n.appendMissing(m.Entries); err != nil {
		return
	}
	last := m.Index + uint64(len(m.Entries))
	n.commitIndex = max(n.commitIndex, min(m.CommitIndex, last))
	n.replyAfterSync(m, Message{Index: last})
}

// conflictHint returns an index at or below a mismatch at which the logs may match,
// skipping the whole conflicting term.
func (n *Node) conflictHint(index uint64) uint64 {
	if n.log.lastIndex() < index {
		return n.log.lastIndex()
	}
	conflictTerm, _ := n.log.term(index)
	for index > n.commitIndex {
		if term, ok := n.log.term(index); !ok || term != conflictTerm {
			break
		}
		index--
	}
	return index
}

// appendMissing appends the entries that are not in the log yet.
func (n *Node) appendMissing(entries []Entry) error {
	for i, e := range entries {
		if term, ok := n.log.term(e.Index); !ok || term != e.Term {
			return n.log.append(entries[i:]...)
		}
	}
	return nil
}

func (n *Node) handleSnapshot(m Message) {
	if m.Snapshot == nil || !n.acceptLeader(m) {
		return
	}
	s := *m.Snapshot
	if s.Index <= n.commitIndex {
		n.replyAfterSync(m, Message{Index: n.commitIndex})
		return
	}
	if term, ok := n.log.term(s.Index); ok && term == s.Term {
		n.commitIndex = s.Index
		n.replyAfterSync(m, Message{Index: s.Index})
		return
	}
	n.log.replaceWithSnapshot(s)
	n.commitIndex = s.Index
	n.receivedSnapshot = &s
	n.replyAfterSync(m, Message{Index: s.Index})
}

func (n *Node) handleAppendReply(m Message) {
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, 0)
		return
	}
	if n.role != Leader || m.Term != n.hardState.Term {
		return
	}
	p := n.progress[m.From]
	if p == nil || p.diskID != m.DiskID {
		return
	}
	p.lastReplyAt = n.now
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	n.detectLostEntries(p, m)
	if p.lostEntries {
		return
	}
	if m.Reject {
		n.handleMismatch(p, m)
		return
	}
	p.matchIndex = max(p.matchIndex, m.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	p.probing, p.snapshotSentAt = false, distantPast
	n.advanceCommit()
}

// detectLostEntries detects a data folder that lost entries: a later reply has a
// shorter log than the follower acknowledged before.
func (n *Node) detectLostEntries(p *progress, m Message) {
	if m.RunNumber < p.lastRunNumber || (m.RunNumber == p.lastRunNumber && m.ReplySequence <= p.lastReplySequence) {
		return
	}
	p.lastRunNumber, p.lastReplySequence = m.RunNumber, m.ReplySequence
	if m.LastIndex < p.matchIndex {
		p.lostEntries = true
		p.matchIndex, p.nextIndex, p.probing = 0, m.LastIndex+1, true
	}
}

// handleMismatch moves the next index back to where the logs may match. It ignores
// outdated rejections: while probing, all but those of the latest probe and of the
// heartbeat that is sent along with a snapshot.
func (n *Node) handleMismatch(p *progress, m Message) {
	if m.Index < p.matchIndex || (p.probing && m.RejectedIndex != p.nextIndex-1 && m.RejectedIndex != n.log.compactedIndex) {
		return
	}
	p.nextIndex = m.Index + 1
	p.probing, p.probeSent = true, false
}

// advanceCommit commits what a quorum has synced, if that ends with an entry of
// this term.
func (n *Node) advanceCommit() {
	m, _ := n.log.latestMembership()
	var syncedIndexes []uint64
	for _, member := range m.Members {
		if member.IsVoter {
			syncedIndexes = append(syncedIndexes, n.memberSyncedIndex(member))
		}
	}
	if len(syncedIndexes) == 0 {
		return
	}
	index := kthLargest(syncedIndexes, m.quorumSize())
	if term, ok := n.log.term(index); !ok || term != n.hardState.Term || index <= n.commitIndex {
		return
	}
	for _, e := range n.log.slice(n.commitIndex+1, index, 1<<30, 1<<62) {
		if e.Kind == EntryCommand {
			n.uncommittedBytes = max(0, n.uncommittedBytes-len(e.Data))
		}
	}
	n.commitIndex = index
	n.nextHeartbeatAt = min(n.nextHeartbeatAt, n.now+commitBroadcastDelay)
}

// memberSyncedIndex returns the newest entry known to be synced on a voter.
func (n *Node) memberSyncedIndex(member Member) uint64 {
	if member.ID == n.cfg.ID {
		if member.DiskID != n.cfg.DiskID {
			return 0
		}
		return n.log.syncedIndex
	}
	if p := n.progress[member.ID]; p != nil && p.diskID == member.DiskID && !p.lostEntries {
		return p.matchIndex
	}
	return 0
}
