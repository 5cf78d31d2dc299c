package consensus

import "time"

// handOver is a leadership transfer under way. The lease that was reported
// last must end before the successor may campaign.
type handOver struct {
	to       uint64
	leaseEnd time.Duration
	deadline time.Duration
}

// leaseEnd returns until when no other leader can exist, by the own clock. It
// notes the newest answer: a membership change may bring an earlier one, but
// the callers go by what they were told.
func (n *Node) leaseEnd() (time.Duration, bool) {
	if n.cfg.Leaseless || n.role != Leader || n.commit < n.termStart {
		return 0, false
	}
	end := n.quorumAcked() + n.cfg.lease()
	if n.handOver != nil {
		end = min(end, n.handOver.leaseEnd)
	}
	n.leaseTold = max(n.leaseTold, end)
	return end, n.now < end
}

// quorumAcked returns the newest time at which a quorum is known to have
// followed this leader.
func (n *Node) quorumAcked() time.Duration {
	m, _ := n.log.membership()
	var acked []time.Duration
	for _, member := range m.Members {
		if !member.Voter {
			continue
		}
		acked = append(acked, n.memberAcked(member))
	}
	if len(acked) == 0 {
		return never
	}
	return kthLargest(acked, m.quorum())
}

// memberAcked returns the newest time at which one voter followed.
func (n *Node) memberAcked(member Member) time.Duration {
	if member.ID == n.cfg.ID {
		return n.now
	}
	if p := n.progress[member.ID]; p != nil && p.disk == member.Disk && !p.wentBack {
		return p.acked
	}
	return never
}

// Transfer hands the leadership to a voter, 0 for the best one. The error is
// a *NotLeaderError, *BusyError or *MemberError.
func (n *Node) Transfer(now time.Duration, to uint64) error {
	n.now = now
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.handOver != nil {
		return &BusyError{Reason: "leadership is being handed over"}
	}
	if to == 0 {
		to = n.bestSuccessor()
	}
	m, _ := n.log.membership()
	member, ok := m.find(to)
	if !ok || !member.Voter || to == n.cfg.ID {
		return &MemberError{ID: to, Reason: "is no other voter"}
	}
	n.leaseEnd()
	n.handOver = &handOver{to: to, leaseEnd: max(n.leaseTold, n.now), deadline: n.now + 3*n.cfg.ElectionTimeout}
	return nil
}

// bestSuccessor returns the other voter with the longest log, or 0.
func (n *Node) bestSuccessor() uint64 {
	best, match := uint64(0), uint64(0)
	for _, member := range n.otherVoters() {
		p := n.progress[member.ID]
		if member.Ephemeral || p == nil || n.now-p.heard > n.cfg.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > match {
			best, match = member.ID, p.match
		}
	}
	return best
}

// tickHandOver lets the successor campaign once it holds the whole log and
// the lease is over. This replica stops leading at that moment, because the
// permission can't be taken back.
func (n *Node) tickHandOver() {
	h := n.handOver
	if h == nil {
		return
	}
	p := n.progress[h.to]
	if p == nil || n.now >= h.deadline {
		n.handOver = nil
		return
	}
	if n.now < h.leaseEnd || p.match < n.log.last() {
		return
	}
	n.sendNow(Message{Type: MsgTimeoutNow, To: h.to, ToDisk: p.disk, Term: n.hard.Term})
	n.becomeFollower(n.hard.Term, 0)
}

// Confirm begins a read on the leader: everything that was acknowledged
// before the call is at or below index, once Confirmed reports at. The error is
// a *NotLeaderError or a *BusyError.
func (n *Node) Confirm(now time.Duration) (index uint64, at time.Duration, err error) {
	n.now = now
	if n.role != Leader {
		return 0, 0, &NotLeaderError{Leader: n.leader}
	}
	if n.commit < n.termStart {
		return 0, 0, &BusyError{Reason: "the leader has committed nothing in its term"}
	}
	n.heartbeatAt = n.now
	return n.commit, n.now, nil
}

// Confirmed is the newest time, by this leader's clock, at which a quorum is
// known to have followed it; false on a replica that does not lead.
func (n *Node) Confirmed() (time.Duration, bool) {
	if n.role != Leader {
		return 0, false
	}
	return n.quorumAcked(), true
}

// SetPeers replaces the hosts through which an unknown folder asks to join.
func (n *Node) SetPeers(peers []Member) { n.cfg.Peers = peers }

// tickLeader keeps the followers informed, steps down without a quorum, and
// repairs the membership.
func (n *Node) tickLeader() {
	if max(n.quorumAcked(), n.leaderSince)+n.cfg.ElectionTimeout < n.now {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	n.tickMembership()
	n.tickHandOver()
}
