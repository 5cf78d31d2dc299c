package consensus

// snapshotRetry is after how many election timeouts a snapshot is sent again.
const snapshotRetry = 8

// syncProgress follows the membership: one progress per registered data folder.
func (n *Node) syncProgress() {
	m, _ := n.log.membership()
	for id, p := range n.progress {
		if !m.isRegistered(id, p.disk) {
			delete(n.progress, id)
		}
	}
	for _, member := range m.Members {
		if member.ID == n.cfg.ID || member.Disk == 0 || n.progress[member.ID] != nil {
			continue
		}
		n.progress[member.ID] = &progress{disk: member.Disk, next: n.log.last() + 1, probing: true,
			acked: never, heard: n.now, snapshotAt: never}
	}
}

// replicate sends each follower what it lacks, and a heartbeat when due.
func (n *Node) replicate() {
	due := n.now >= n.heartbeatAt
	if due {
		n.heartbeatAt = n.now + n.cfg.Heartbeat
	}
	m, _ := n.log.membership()
	for _, member := range m.Members {
		p := n.progress[member.ID]
		if p == nil {
			continue
		}
		if due {
			p.probeSent = false
		}
		n.replicateTo(member.ID, p, due)
	}
}

// replicateTo sends one follower what it lacks within the bounds in flight.
func (n *Node) replicateTo(id uint64, p *progress, due bool) {
	if p.next <= n.log.offset {
		n.sendSnapshot(id, p)
		if due {
			n.sendAppend(id, p, n.log.offset, nil)
		}
		return
	}
	sent := false
	for p.next <= n.log.last() && n.mayPipeline(p) {
		entries := n.log.slice(p.next, n.log.last(), maxMessageEntries, maxMessageBytes)
		n.sendAppend(id, p, p.next-1, entries)
		sent = true
		if p.probing {
			p.probeSent = true
			break
		}
		p.next += uint64(len(entries))
	}
	if due && !sent {
		n.sendAppend(id, p, p.next-1, nil)
	}
}

// mayPipeline reports whether more entries may be in flight to a follower.
func (n *Node) mayPipeline(p *progress) bool {
	if p.probing {
		return !p.probeSent
	}
	return p.next-1-p.match < maxInFlight
}

// sendAppend sends entries that follow the one at previous.
func (n *Node) sendAppend(id uint64, p *progress, previous uint64, entries []Entry) {
	term, _ := n.log.term(previous)
	n.sendNow(Message{Type: MsgAppend, To: id, ToDisk: p.disk, Term: n.hard.Term, Index: previous,
		LogTerm: term, Commit: n.commit, Sent: n.now, Entries: entries})
}

// sendSnapshot sends the newest snapshot, not more often than the retry time.
func (n *Node) sendSnapshot(id uint64, p *progress) {
	if p.snapshotAt != never && n.now-p.snapshotAt < snapshotRetry*n.cfg.ElectionTimeout {
		return
	}
	p.snapshotAt = n.now
	s := n.log.snapshot
	n.sendNow(Message{Type: MsgSnapshot, To: id, ToDisk: p.disk, Term: n.hard.Term, Commit: n.commit,
		Sent: n.now, Snapshot: &s})
}

// followLeader notes contact with the leader of a term that is not older.
func (n *Node) followLeader(m Message) bool {
	if m.Term < n.hard.Term {
		n.sendAfter(Message{Type: MsgAppendReply, To: m.From, ToDisk: m.Disk, Term: n.hard.Term, Reject: true})
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.resetElection()
	n.promiseUntil = n.now + n.cfg.ElectionTimeout
	return true
}

// reply answers an append or a snapshot once everything so far is synced.
func (n *Node) reply(m, r Message) {
	n.sequence++
	r.Type, r.To, r.ToDisk, r.Term, r.Sent = MsgAppendReply, m.From, m.Disk, n.hard.Term, m.Sent
	r.Run, r.Sequence, r.Last = n.cfg.Run, n.sequence, n.log.last()
	n.sendAfter(r)
}

func (n *Node) handleAppend(m Message) {
	if !n.followLeader(m) {
		return
	}
	if m.Index < n.commit {
		n.reply(m, Message{Index: n.commit})
		return
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		n.reply(m, Message{Index: n.hint(m.Index), Reject: true, Rejected: m.Index})
		return
	}
	if err := n.merge(m.Entries); err != nil {
		return
	}
	last := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	n.reply(m, Message{Index: last})
}

// hint returns an entry at which the logs may meet, below a mismatch.
func (n *Node) hint(index uint64) uint64 {
	if n.log.last() < index {
		return n.log.last()
	}
	conflict, _ := n.log.term(index)
	for index > n.commit {
		if term, ok := n.log.term(index); !ok || term != conflict {
			break
		}
		index--
	}
	return index
}

// merge appends the entries that are not held yet.
func (n *Node) merge(entries []Entry) error {
	for i, e := range entries {
		if term, ok := n.log.term(e.Index); !ok || term != e.Term {
			return n.log.append(entries[i:]...)
		}
	}
	return nil
}

func (n *Node) handleSnapshot(m Message) {
	if m.Snapshot == nil || !n.followLeader(m) {
		return
	}
	s := *m.Snapshot
	if s.Index <= n.commit {
		n.reply(m, Message{Index: n.commit})
		return
	}
	if term, ok := n.log.term(s.Index); ok && term == s.Term {
		n.commit = s.Index
		n.reply(m, Message{Index: s.Index})
		return
	}
	n.log.reset(s)
	n.commit = s.Index
	n.installing = &s
	n.reply(m, Message{Index: s.Index})
}

func (n *Node) handleAppendReply(m Message) {
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, 0)
		return
	}
	if n.role != Leader || m.Term != n.hard.Term {
		return
	}
	p := n.progress[m.From]
	if p == nil || p.disk != m.Disk {
		return
	}
	p.heard = n.now
	p.acked = max(p.acked, m.Sent)
	n.noteOrder(p, m)
	if p.wentBack {
		return
	}
	if m.Reject {
		n.handleMismatch(p, m)
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.probing, p.snapshotAt = false, never
	n.advanceCommit()
}

// noteOrder finds a data folder that went back: a later reply that holds less
// than was acknowledged before.
func (n *Node) noteOrder(p *progress, m Message) {
	if m.Run < p.run || (m.Run == p.run && m.Sequence <= p.sequence) {
		return
	}
	p.run, p.sequence = m.Run, m.Sequence
	if m.Last < p.match {
		p.wentBack = true
		p.match, p.next, p.probing = 0, m.Last+1, true
	}
}

// handleMismatch moves back to where the logs may meet. Answers to anything
// but the newest probe are out of date.
func (n *Node) handleMismatch(p *progress, m Message) {
	if m.Index < p.match || (p.probing && m.Rejected != p.next-1 && m.Rejected != n.log.offset) {
		return
	}
	p.next = m.Index + 1
	p.probing, p.probeSent = true, false
}

// advanceCommit commits what a quorum has synced, if it is of this term.
func (n *Node) advanceCommit() {
	m, _ := n.log.membership()
	var synced []uint64
	for _, member := range m.Members {
		if member.Voter {
			synced = append(synced, n.memberSynced(member))
		}
	}
	if len(synced) == 0 {
		return
	}
	index := kthLargest(synced, m.quorum())
	if term, ok := n.log.term(index); !ok || term != n.hard.Term || index <= n.commit {
		return
	}
	for _, e := range n.log.slice(n.commit+1, index, 1<<30, 1<<62) {
		if e.Kind == EntryCommand {
			n.uncommitted = max(0, n.uncommitted-len(e.Data))
		}
	}
	n.commit = index
	n.heartbeatAt = min(n.heartbeatAt, n.now+commitDelay)
}

// memberSynced returns the newest entry known to be synced on one voter.
func (n *Node) memberSynced(member Member) uint64 {
	if member.ID == n.cfg.ID {
		if member.Disk != n.cfg.Disk {
			return 0
		}
		return n.log.synced
	}
	if p := n.progress[member.ID]; p != nil && p.disk == member.Disk && !p.wentBack {
		return p.match
	}
	return 0
}
