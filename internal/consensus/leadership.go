package consensus

import "time"

// leadershipTransfer is a transfer in progress. The target may campaign only after
// the lease that was last reported has ended.
type leadershipTransfer struct {
	target   uint64
	leaseEnd time.Duration
	deadline time.Duration
}

// reportLeaseEnd returns the time, on this host's clock, until which no other
// replica can become the leader, and whether that time is in the future. It records
// the latest end that was reported: a membership change may lead to an earlier one,
// but callers rely on what they were told.
func (n *Node) reportLeaseEnd() (time.Duration, bool) {
	if n.cfg.DisableLease || n.role != Leader || n.commitIndex < n.termStartIndex {
		return 0, false
	}
	end := n.quorumContactAt() + n.cfg.leaseDuration()
	if n.pendingTransfer != nil {
		end = min(end, n.pendingTransfer.leaseEnd)
	}
	n.reportedLeaseEnd = max(n.reportedLeaseEnd, end)
	return end, n.now < end
}

// quorumContactAt returns the latest time at which a quorum is known to have
// followed this leader.
func (n *Node) quorumContactAt() time.Duration {
	m, _ := n.log.latestMembership()
	var contacts []time.Duration
	for _, member := range m.Members {
		if !member.IsVoter {
			continue
		}
		contacts = append(contacts, n.memberContactAt(member))
	}
	if len(contacts) == 0 {
		return distantPast
	}
	return kthLargest(contacts, m.quorumSize())
}

// memberContactAt returns the latest time at which a voter is known to have
// followed this leader.
func (n *Node) memberContactAt(member Member) time.Duration {
	if member.ID == n.cfg.ID {
		return n.now
	}
	if p := n.progress[member.ID]; p != nil && p.diskID == member.DiskID && !p.lostEntries {
		return p.ackedSentAt
	}
	return distantPast
}

// TransferLeadership starts to transfer the leadership to a voter; 0 selects the
// reachable persistent voter with the longest log. The error is a *NotLeaderError,
// a *BusyError or an *InvalidMemberError.
func (n *Node) TransferLeadership(now time.Duration, target uint64) error {
	n.now = now
	if n.role != Leader {
		return &NotLeaderError{LeaderID: n.leaderID}
	}
	if n.pendingTransfer != nil {
		return &BusyError{Reason: "leadership is being handed over"}
	}
	if target == 0 {
		target = n.bestSuccessor()
	}
	m, _ := n.log.latestMembership()
	member, ok := m.find(target)
	if !ok || !member.IsVoter || target == n.cfg.ID {
		return &InvalidMemberError{ID: target, Reason: "is no other voter"}
	}
	n.reportLeaseEnd()
	n.pendingTransfer = &leadershipTransfer{target: target, leaseEnd: max(n.reportedLeaseEnd, n.now),
		deadline: n.now + 3*n.cfg.ElectionTimeout}
	return nil
}

// bestSuccessor returns the reachable persistent voter, other than this host,
// with the longest log, or 0 if there is none.
func (n *Node) bestSuccessor() uint64 {
	best, bestMatch := uint64(0), uint64(0)
	for _, member := range n.otherVoters() {
		p := n.progress[member.ID]
		if member.Ephemeral || p == nil || n.now-p.lastReplyAt > n.cfg.ElectionTimeout {
			continue
		}
		if best == 0 || p.matchIndex > bestMatch {
			best, bestMatch = member.ID, p.matchIndex
		}
	}
	return best
}

// tickTransfer lets the target campaign once it holds the whole log and the lease
// has ended. This replica steps down at the same time, because the permission to
// campaign can't be revoked.
func (n *Node) tickTransfer() {
	transfer := n.pendingTransfer
	if transfer == nil {
		return
	}
	p := n.progress[transfer.target]
	if p == nil || n.now >= transfer.deadline {
		n.pendingTransfer = nil
		return
	}
	if n.now < transfer.leaseEnd || p.matchIndex < n.log.lastIndex() {
		return
	}
	n.sendNow(Message{Type: MsgTimeoutNow, To: transfer.target, ToDiskID: p.diskID, Term: n.hardState.Term})
	n.becomeFollower(n.hardState.Term, 0)
}

// ReadIndex starts a linearizable read on the leader. Everything acknowledged before
// the call is at or below index; the read is valid once LastQuorumContact returns a
// time of at least requestedAt. The error is a *NotLeaderError or a *BusyError.
func (n *Node) ReadIndex(now time.Duration) (index uint64, requestedAt time.Duration, err error) {
	n.now = now
	if n.role != Leader {
		return 0, 0, &NotLeaderError{LeaderID: n.leaderID}
	}
	if n.commitIndex < n.termStartIndex {
		return 0, 0, &BusyError{Reason: "the leader has committed nothing in its term"}
	}
	n.nextHeartbeatAt = n.now
	return n.commitIndex, n.now, nil
}

// LastQuorumContact returns the latest time, on this host's clock, at which a
// quorum is known to have followed this leader, or false if this replica is not
// the leader.
func (n *Node) LastQuorumContact() (time.Duration, bool) {
	if n.role != Leader {
		return 0, false
	}
	return n.quorumContactAt(), true
}

// SetJoinMembers replaces Config.JoinMembers.
func (n *Node) SetJoinMembers(members []Member) { n.cfg.JoinMembers = members }

// tickLeader steps down if no quorum answers, and otherwise advances membership
// changes and the leadership transfer.
func (n *Node) tickLeader() {
	if max(n.quorumContactAt(), n.leaderSince)+n.cfg.ElectionTimeout < n.now {
		n.becomeFollower(n.hardState.Term, 0)
		return
	}
	n.tickMembership()
	n.tickTransfer()
}
