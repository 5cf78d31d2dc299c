package consensus

// preCampaign asks whether a campaign could succeed, without a new term.
func (n *Node) preCampaign() {
	n.role = PreCandidate
	n.leader = 0
	n.resetElection()
	n.votes = map[uint64]uint64{n.cfg.ID: n.cfg.Disk}
	if n.won() {
		n.campaign(false)
		return
	}
	for _, member := range n.otherVoters() {
		n.sendNow(Message{Type: MsgPreVote, To: member.ID, ToDisk: member.Disk, Term: n.hard.Term + 1,
			Index: n.log.last(), LogTerm: n.log.lastTerm()})
	}
}

// campaign starts a new term. The own vote counts once it is synced.
func (n *Node) campaign(transfer bool) {
	n.role = Candidate
	n.leader = 0
	n.hard.Term++
	n.hard.Vote = n.cfg.Disk
	n.hardDirty = true
	n.resetElection()
	n.votes = map[uint64]uint64{}
	n.sendAfter(Message{Type: MsgVoteReply, To: n.cfg.ID, Term: n.hard.Term})
	for _, member := range n.otherVoters() {
		n.sendAfter(Message{Type: MsgVote, To: member.ID, ToDisk: member.Disk, Term: n.hard.Term,
			Transfer: transfer, Index: n.log.last(), LogTerm: n.log.lastTerm()})
	}
}

// otherVoters returns the voting members but this one.
func (n *Node) otherVoters() []Member {
	m, _ := n.log.membership()
	var others []Member
	for _, member := range m.Members {
		if member.Voter && member.ID != n.cfg.ID {
			others = append(others, member)
		}
	}
	return others
}

// won reports whether a quorum of registered data folders voted for this one.
func (n *Node) won() bool {
	m, _ := n.log.membership()
	count := 0
	for id, disk := range n.votes {
		if m.isVoter(id, disk) {
			count++
		}
	}
	return count >= m.quorum()
}

// becomeFollower joins a term, whose leader may be unknown (0).
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, 0
		n.hardDirty = true
	}
	if n.role != Follower {
		n.resetElection()
	}
	if n.role == Leader {
		// A lease that was told holds although this replica leads no more.
		n.promiseUntil = max(n.promiseUntil, n.leaseTold)
	}
	n.role, n.leader = Follower, leader
	n.handOver, n.progress, n.votes = nil, nil, nil
	n.termStart, n.uncommitted = 0, 0
}

// becomeLeader starts to replicate, with an empty entry of the new term.
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.votes = nil
	n.leaderSince, n.heartbeatAt = n.now, n.now
	n.progress = map[uint64]*progress{}
	n.uncommitted = 0
	n.syncProgress()
	n.termStart = n.appendOwn(EntryEmpty, nil)
}

// promised reports whether a leader may still rely on this replica.
func (n *Node) promised() bool { return n.now < n.promiseUntil || n.role == Leader }

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.hard.Term && !n.promised() && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Type: MsgPreVoteReply, To: m.From, ToDisk: m.Disk, Term: n.hard.Term, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.sendAfter(reply)
}

func (n *Node) handlePreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.hard.Term {
			n.becomeFollower(m.Term, 0)
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = m.Disk
	if n.won() {
		n.campaign(false)
	}
}

func (n *Node) handleVote(m Message) {
	if m.Term >= n.hard.Term && !m.Transfer && n.promised() {
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, 0)
	}
	free := n.hard.Vote == 0 || n.hard.Vote == m.Disk
	grant := m.Term == n.hard.Term && free && n.leader == 0 && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.hard.Vote = m.Disk
		n.hardDirty = true
		n.resetElection()
	}
	n.sendAfter(Message{Type: MsgVoteReply, To: m.From, ToDisk: m.Disk, Term: n.hard.Term, Reject: !grant})
}

func (n *Node) handleVoteReply(m Message) {
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, 0)
		return
	}
	if n.role != Candidate || m.Term != n.hard.Term || m.Reject {
		return
	}
	n.votes[m.From] = m.Disk
	if n.won() {
		n.becomeLeader()
	}
}

// handleTimeoutNow campaigns at once: the leader of this term has given up
// its lease and waits for us.
func (n *Node) handleTimeoutNow(m Message) {
	if m.Term != n.hard.Term || n.role == Leader || !n.isVoter() {
		return
	}
	n.campaign(true)
}
