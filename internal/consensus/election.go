package consensus

// preCampaign asks the voters whether they would vote for this host, without
// starting a new term.
func (n *Node) preCampaign() {
	n.role = PreCandidate
	n.leaderID = 0
	n.resetElectionTimer()
	n.grantedVotes = map[uint64]uint64{n.cfg.ID: n.cfg.DiskID}
	if n.hasVoteQuorum() {
		n.campaign(false)
		return
	}
	for _, member := range n.otherVoters() {
		n.sendNow(Message{Type: MsgPreVote, To: member.ID, ToDiskID: member.DiskID, Term: n.hardState.Term + 1,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
	}
}

// campaign starts an election in a new term. This host's own vote counts once it
// is synced.
func (n *Node) campaign(transfer bool) {
	n.role = Candidate
	n.leaderID = 0
	n.hardState.Term++
	n.hardState.VotedFor = n.cfg.DiskID
	n.hardStateDirty = true
	n.resetElectionTimer()
	n.grantedVotes = map[uint64]uint64{}
	n.sendAfterSync(Message{Type: MsgVoteReply, To: n.cfg.ID, Term: n.hardState.Term})
	for _, member := range n.otherVoters() {
		n.sendAfterSync(Message{Type: MsgVote, To: member.ID, ToDiskID: member.DiskID, Term: n.hardState.Term,
			LeadershipTransfer: transfer, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
	}
}

// otherVoters returns the voters without this host.
func (n *Node) otherVoters() []Member {
	m, _ := n.log.latestMembership()
	var others []Member
	for _, member := range m.Members {
		if member.IsVoter && member.ID != n.cfg.ID {
			others = append(others, member)
		}
	}
	return others
}

// hasVoteQuorum reports whether a quorum of registered data folders has voted
// for this one.
func (n *Node) hasVoteQuorum() bool {
	m, _ := n.log.latestMembership()
	count := 0
	for id, diskID := range n.grantedVotes {
		if m.isVoter(id, diskID) {
			count++
		}
	}
	return count >= m.quorumSize()
}

// becomeFollower follows the leader of a term; leaderID is 0 if unknown.
func (n *Node) becomeFollower(term, leaderID uint64) {
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.VotedFor = term, 0
		n.hardStateDirty = true
	}
	if n.role != Follower {
		n.resetElectionTimer()
	}
	if n.role == Leader {
		// A reported lease remains valid after this replica steps down.
		n.withholdVoteUntil = max(n.withholdVoteUntil, n.reportedLeaseEnd)
	}
	n.role, n.leaderID = Follower, leaderID
	n.pendingTransfer, n.progress, n.grantedVotes = nil, nil, nil
	n.termStartIndex, n.uncommittedBytes = 0, 0
}

// becomeLeader starts replication with a no-op entry of the new term.
func (n *Node) becomeLeader() {
	n.role, n.leaderID = Leader, n.cfg.ID
	n.grantedVotes = nil
	n.leaderSince, n.nextHeartbeatAt = n.now, n.now
	n.progress = map[uint64]*progress{}
	n.uncommittedBytes = 0
	n.refreshProgress()
	n.termStartIndex = n.appendEntry(EntryNoOp, nil)
}

// withholdsVote reports whether a leader's lease may still depend on this replica.
func (n *Node) withholdsVote() bool { return n.now < n.withholdVoteUntil || n.role == Leader }

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.hardState.Term && !n.withholdsVote() && n.log.isUpToDate(m.Index, m.LogTerm)
	reply := Message{Type: MsgPreVoteReply, To: m.From, ToDiskID: m.DiskID, Term: n.hardState.Term, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.sendAfterSync(reply)
}

func (n *Node) handlePreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.hardState.Term {
			n.becomeFollower(m.Term, 0)
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.hardState.Term+1 {
		return
	}
	n.grantedVotes[m.From] = m.DiskID
	if n.hasVoteQuorum() {
		n.campaign(false)
	}
}

func (n *Node) handleVote(m Message) {
	if m.Term >= n.hardState.Term && !m.LeadershipTransfer && n.withholdsVote() {
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, 0)
	}
	voteAvailable := n.hardState.VotedFor == 0 || n.hardState.VotedFor == m.DiskID
	grant := m.Term == n.hardState.Term && voteAvailable && n.leaderID == 0 && n.log.isUpToDate(m.Index, m.LogTerm)
	if grant {
		n.hardState.VotedFor = m.DiskID
		n.hardStateDirty = true
		n.resetElectionTimer()
	}
	n.sendAfterSync(Message{Type: MsgVoteReply, To: m.From, ToDiskID: m.DiskID, Term: n.hardState.Term, Reject: !grant})
}

func (n *Node) handleVoteReply(m Message) {
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, 0)
		return
	}
	if n.role != Candidate || m.Term != n.hardState.Term || m.Reject {
		return
	}
	n.grantedVotes[m.From] = m.DiskID
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// handleTimeoutNow campaigns at once: the leader of this term has stepped down
// after the end of its lease, to transfer the leadership to this host.
func (n *Node) handleTimeoutNow(m Message) {
	if m.Term != n.hardState.Term || n.role == Leader || n.barred || !n.isVoter() {
		return
	}
	n.campaign(true)
}
