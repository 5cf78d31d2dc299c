package consensus

import (
	"slices"
	"time"
)

// commitDelay is how soon followers hear of a commit when nothing else is sent.
const commitDelay = 5 * time.Millisecond

// joinAnswerAge is how many election timeouts an answer of an empty host counts.
const joinAnswerAge = 2

// ChangeMember adds a host as a learner, or removes one. The error is a
// *NotLeaderError, *BusyError or *MemberError.
func (n *Node) ChangeMember(now time.Duration, changed Member, remove bool) (index, term uint64, err error) {
	n.now = now
	if n.role != Leader {
		return 0, 0, &NotLeaderError{Leader: n.leader}
	}
	m, _ := n.log.membership()
	_, known := m.find(changed.ID)
	switch {
	case remove && changed.ID == n.cfg.ID:
		return 0, 0, &MemberError{ID: changed.ID, Reason: "leads; hand over the leadership first"}
	case remove && !known:
		return 0, 0, &MemberError{ID: changed.ID, Reason: "is not a member"}
	case !remove && known:
		return 0, 0, &MemberError{ID: changed.ID, Reason: "is a member already"}
	case remove:
		return n.proposeMembership(m.without(changed.ID))
	}
	return n.proposeMembership(m.with(Member{ID: changed.ID, URL: changed.URL}))
}

// proposeMembership appends a membership, one at a time, and only after this
// term has committed an entry.
func (n *Node) proposeMembership(next Membership) (index, term uint64, err error) {
	if n.changing() {
		return 0, 0, &BusyError{Reason: "another change of the hosts is under way"}
	}
	data, err := EncodeMembership(next)
	if err != nil {
		return 0, 0, &MemberError{Reason: err.Error()}
	}
	index = n.appendOwn(EntryMembership, data)
	n.syncProgress()
	return index, n.hard.Term, nil
}

// changing reports whether a membership change must wait.
func (n *Node) changing() bool {
	_, placed := n.log.membership()
	return placed > n.commit || n.commit < n.termStart || n.handOver != nil
}

// tickMembership makes the next change that the members need: a folder that
// went back becomes a learner, a learner that has caught up becomes a voter.
func (n *Node) tickMembership() {
	if n.changing() {
		return
	}
	m, _ := n.log.membership()
	if n.handOverTemporary(m) || n.dropAbsent(m) {
		return
	}
	for _, member := range m.Members {
		p := n.progress[member.ID]
		if p == nil {
			continue
		}
		if p.wentBack && member.Voter {
			member.Voter = false
			_, _, _ = n.proposeMembership(m.with(member))
			return
		}
		p.wentBack = false
		if !member.Voter && !member.Ephemeral && n.caughtUp(p) {
			member.Voter = true
			_, _, _ = n.proposeMembership(m.with(member))
			return
		}
	}
}

// absentTimeouts is after how many election timeouts of silence a voter may
// become a learner.
const absentTimeouts = 3

// forgetTimeouts is after how many election timeouts of silence an ephemeral
// member is forgotten; most of them come back with another folder. forgetLasting
// is that of a member with a lasting folder.
const (
	forgetTimeouts = 10
	forgetLasting  = 60
)

// handOverTemporary ends the vote of ephemeral members once enough lasting
// folders vote. A leader among them hands over first.
func (n *Node) handOverTemporary(m Membership) bool {
	if lasting := m.lastingVoters(); lasting == 0 || lasting < n.cfg.MinVoters {
		return false
	}
	for _, member := range m.Members {
		if !member.Voter || !member.Ephemeral {
			continue
		}
		if member.ID == n.cfg.ID {
			return n.Transfer(n.now, 0) == nil
		}
		member.Voter = false
		_, _, err := n.proposeMembership(m.with(member))
		return err == nil
	}
	return false
}

// dropAbsent makes a silent voter a learner while at least MinVoters others
// are heard, and forgets ephemeral members that are long silent.
func (n *Node) dropAbsent(m Membership) bool {
	heard := 0
	for _, member := range m.Members {
		if member.Voter && !member.Ephemeral && n.silence(member) < n.cfg.ElectionTimeout {
			heard++
		}
	}
	for _, member := range m.Members {
		silence := n.silence(member)
		switch {
		case member.Voter && n.cfg.MinVoters > 0 && heard >= n.cfg.MinVoters && silence > absentTimeouts*n.cfg.ElectionTimeout:
			member.Voter = false
			_, _, err := n.proposeMembership(m.with(member))
			return err == nil
		case !member.Voter && silence > n.forgetAfter(member):
			next := m.without(member.ID)
			// It may only have been cut off: its folder may join again.
			next.Retired = slices.Clone(m.Retired)
			_, _, err := n.proposeMembership(next)
			return err == nil
		}
	}
	return false
}

// forgetAfter is how long a member that doesn't vote may be silent. One with a
// lasting folder is forgotten only where it may join again.
func (n *Node) forgetAfter(member Member) time.Duration {
	switch {
	case member.Ephemeral:
		return forgetTimeouts * n.cfg.ElectionTimeout
	case n.cfg.Open:
		return forgetLasting * n.cfg.ElectionTimeout
	}
	return forever
}

// silence is how long the leader has not heard a member.
func (n *Node) silence(member Member) time.Duration {
	p := n.progress[member.ID]
	if member.ID == n.cfg.ID || p == nil {
		return 0
	}
	return n.now - p.heard
}

// caughtUp reports whether a learner may vote.
func (n *Node) caughtUp(p *progress) bool {
	return !p.probing && p.match >= n.commit && n.now-p.heard < n.cfg.ElectionTimeout
}

// tickJoin asks to be admitted while this data folder is unknown, or may have
// been forgotten while it was cut off.
func (n *Node) tickJoin() {
	if n.now < n.joinAt {
		return
	}
	m, _ := n.log.membership()
	silent := n.now - n.promiseUntil
	registered := n.hard.Formation != 0 && m.isRegistered(n.cfg.ID, n.cfg.Disk)
	if registered && (n.role == Leader || silent < absentTimeouts*n.cfg.ElectionTimeout) {
		return
	}
	if n.founder() && len(n.missingPeers()) == 0 {
		n.found()
		return
	}
	n.joinAt = n.now + 2*n.cfg.Heartbeat
	for _, id := range n.knownHosts(m) {
		n.sendNow(Message{Type: MsgJoin, To: id, URL: n.cfg.URL, Ephemeral: n.cfg.Ephemeral})
	}
}

// knownHosts returns the ids of the settings and of the members, but the own.
func (n *Node) knownHosts(m Membership) []uint64 {
	var ids []uint64
	for _, member := range slices.Concat(n.cfg.Peers, m.Members) {
		if member.ID != n.cfg.ID && !slices.Contains(ids, member.ID) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// founder reports whether this host is the one that may form the cluster: the
// one with the lowest id of the initial hosts, with an empty data folder.
func (n *Node) founder() bool {
	if !n.cfg.Bootstrap || n.hard.Formation != 0 {
		return false
	}
	lowest := slices.MinFunc(n.cfg.Peers, func(a, b Member) int { return int(a.ID) - int(b.ID) })
	return lowest.ID == n.cfg.ID
}

// missingPeers returns the initial hosts that have not said lately that their
// data folder is empty.
func (n *Node) missingPeers() []uint64 {
	var missing []uint64
	for _, peer := range n.cfg.Peers {
		at, ok := n.emptyPeers[peer.ID]
		fresh := ok && n.now-at < joinAnswerAge*n.cfg.ElectionTimeout
		if peer.ID != n.cfg.ID && !fresh {
			missing = append(missing, peer.ID)
		}
	}
	return missing
}

// found forms a cluster of this voter; the other initial hosts are admitted
// as learners when they join.
func (n *Node) found() {
	n.hard = HardState{Term: 1, Vote: n.cfg.Disk, Formation: n.cfg.Disk}
	n.hardDirty = true
	var m Membership
	for _, peer := range n.cfg.Peers {
		if peer.ID == n.cfg.ID {
			m = m.with(Member{ID: peer.ID, Disk: n.cfg.Disk, URL: peer.URL, Voter: true, Ephemeral: n.cfg.Ephemeral})
			continue
		}
		m = m.with(Member{ID: peer.ID, URL: peer.URL})
	}
	data, err := EncodeMembership(m)
	if err != nil {
		return
	}
	n.appendOwn(EntryMembership, data)
	n.promiseUntil, n.electionAt = n.now, n.now
}

// adopt takes the formation of a leader that has registered this empty folder.
func (n *Node) adopt(m Message) {
	fromLeader := m.Type == MsgAppend || m.Type == MsgSnapshot
	if !fromLeader || m.ToDisk != n.cfg.Disk || m.Formation == 0 {
		return
	}
	n.hard.Formation = m.Formation
	n.hardDirty = true
}

// handleJoin admits a data folder as a learner, or passes the join on to the
// leader. A host with an empty folder says so, for the sake of the founder.
func (n *Node) handleJoin(m Message) {
	if n.hard.Formation == 0 {
		if m.Formation == 0 {
			n.sendNow(Message{Type: MsgJoinReply, To: m.From, ToDisk: m.Disk, Echo: m.Disk})
		}
		return
	}
	if m.Formation != 0 && m.Formation != n.hard.Formation {
		return
	}
	if n.role != Leader {
		n.passJoinOn(m)
		return
	}
	members, _ := n.log.membership()
	member, known := members.find(m.From)
	if !known {
		member.ID = m.From
	}
	if (!known && !n.cfg.Open) || member.Disk == m.Disk || slices.Contains(members.Retired, m.Disk) {
		return
	}
	if p := n.progress[m.From]; p != nil && n.now-p.heard < joinAnswerAge*n.cfg.ElectionTimeout {
		return
	}
	if m.URL != "" {
		member.URL = m.URL
	}
	member.Disk, member.Voter, member.Ephemeral = m.Disk, false, m.Ephemeral
	// A change under way puts this one off; the host asks again.
	_, _, _ = n.proposeMembership(members.with(member))
}

// passJoinOn sends a join to the leader, which the host may not know. Echo
// marks one that was passed on already.
func (n *Node) passJoinOn(m Message) {
	if n.leader == 0 || n.leader == m.From || m.Echo != 0 {
		return
	}
	m.To, m.Echo = n.leader, n.cfg.Disk
	n.send = append(n.send, m)
}

// handleStray answers a leader that writes to the data folder this host had
// before: the settings may list no host that is still a member.
func (n *Node) handleStray(m Message) {
	members, _ := n.log.membership()
	if m.Type != MsgAppend || (n.hard.Formation != 0 && members.isRegistered(n.cfg.ID, n.cfg.Disk)) {
		return
	}
	n.sendNow(Message{Type: MsgJoin, To: m.From, URL: n.cfg.URL, Ephemeral: n.cfg.Ephemeral})
}

// handleJoinReply notes that another host has an empty folder, as of a
// question of this very folder.
func (n *Node) handleJoinReply(m Message) {
	if n.hard.Formation == 0 && m.Formation == 0 && m.Echo == n.cfg.Disk {
		n.emptyPeers[m.From] = n.now
	}
}
