package consensus

import (
	"slices"
	"time"
)

// commitBroadcastDelay is the longest time until followers are told a new commit
// index if nothing else is sent.
const commitBroadcastDelay = 5 * time.Millisecond

// recentContactElectionTimeouts is how long a join reply from an empty host, or
// an append reply from a registered data folder, counts as recent.
const recentContactElectionTimeouts = 2

// ChangeMember adds a host as a learner, or removes one. The error is a
// *NotLeaderError, a *BusyError or an *InvalidMemberError.
func (n *Node) ChangeMember(now time.Duration, changed Member, remove bool) (index, term uint64, err error) {
	n.now = now
	if n.role != Leader {
		return 0, 0, &NotLeaderError{LeaderID: n.leaderID}
	}
	m, _ := n.log.latestMembership()
	_, isMember := m.find(changed.ID)
	switch {
	case remove && changed.ID == n.cfg.ID:
		return 0, 0, &InvalidMemberError{ID: changed.ID, Reason: "leads; hand over the leadership first"}
	case remove && !isMember:
		return 0, 0, &InvalidMemberError{ID: changed.ID, Reason: "is not a member"}
	case !remove && isMember:
		return 0, 0, &InvalidMemberError{ID: changed.ID, Reason: "is a member already"}
	case remove:
		return n.proposeMembership(m.withoutMember(changed.ID))
	}
	return n.proposeMembership(m.withMember(Member{ID: changed.ID, URL: changed.URL}))
}

// proposeMembership appends a membership entry. Only one change may be uncommitted,
// and this leader must have committed an entry of its own term first.
func (n *Node) proposeMembership(next Membership) (index, term uint64, err error) {
	if n.membershipChangeBlocked() {
		return 0, 0, &BusyError{Reason: "another change of the hosts is under way"}
	}
	data, err := EncodeMembership(next)
	if err != nil {
		return 0, 0, &InvalidMemberError{Reason: err.Error()}
	}
	index = n.appendEntry(EntryMembership, data)
	n.refreshProgress()
	return index, n.hardState.Term, nil
}

func (n *Node) membershipChangeBlocked() bool {
	_, index := n.log.latestMembership()
	return index > n.commitIndex || n.commitIndex < n.termStartIndex || n.pendingTransfer != nil
}

// tickMembership makes at most one automatic membership change. Changes for
// ephemeral voters and silent members come first; then a voter whose data folder
// lost entries is demoted, or a learner that has caught up is promoted.
func (n *Node) tickMembership() {
	if n.membershipChangeBlocked() {
		return
	}
	m, _ := n.log.latestMembership()
	if n.demoteEphemeralVoter(m) || n.demoteOrRemoveSilentMember(m) {
		return
	}
	for _, member := range m.Members {
		p := n.progress[member.ID]
		if p == nil {
			continue
		}
		if p.lostEntries && member.IsVoter {
			member.IsVoter = false
			_, _, _ = n.proposeMembership(m.withMember(member))
			return
		}
		p.lostEntries = false
		if !member.IsVoter && !member.Ephemeral && n.isCaughtUp(p) {
			member.IsVoter = true
			_, _, _ = n.proposeMembership(m.withMember(member))
			return
		}
	}
}

// unreachableElectionTimeouts is the silence after which a voter may be demoted to
// a learner, and after which a member without a leader asks to join again.
const unreachableElectionTimeouts = 3

// removeEphemeralElectionTimeouts is the silence after which an ephemeral member
// is removed; most of them return with another data folder.
// removePersistentElectionTimeouts applies to learners with a persistent folder.
const (
	removeEphemeralElectionTimeouts  = 10
	removePersistentElectionTimeouts = 60
)

// demoteEphemeralVoter demotes an ephemeral voter once enough persistent members
// vote. If it is this leader, it transfers the leadership first. It reports whether
// it has started a change.
func (n *Node) demoteEphemeralVoter(m Membership) bool {
	if persistent := m.persistentVoterCount(); persistent == 0 || persistent < n.cfg.MinVoters {
		return false
	}
	for _, member := range m.Members {
		if !member.IsVoter || !member.Ephemeral {
			continue
		}
		if member.ID == n.cfg.ID {
			return n.TransferLeadership(n.now, 0) == nil
		}
		member.IsVoter = false
		_, _, err := n.proposeMembership(m.withMember(member))
		return err == nil
	}
	return false
}

// demoteOrRemoveSilentMember demotes a silent voter while at least MinVoters
// persistent voters are reachable, and removes learners after a longer silence. It
// reports whether it has started a change.
func (n *Node) demoteOrRemoveSilentMember(m Membership) bool {
	reachableVoters := 0
	for _, member := range m.Members {
		if member.IsVoter && !member.Ephemeral && n.timeSinceReply(member) < n.cfg.ElectionTimeout {
			reachableVoters++
		}
	}
	for _, member := range m.Members {
		silence := n.timeSinceReply(member)
		switch {
		case member.IsVoter && n.cfg.MinVoters > 0 && reachableVoters >= n.cfg.MinVoters && silence > unreachableElectionTimeouts*n.cfg.ElectionTimeout:
			member.IsVoter = false
			_, _, err := n.proposeMembership(m.withMember(member))
			return err == nil
		case !member.IsVoter && silence > n.removalTimeout(member):
			next := m.withoutMember(member.ID)
			// The member may only be partitioned, so its disk ID may join again.
			next.RetiredDiskIDs = slices.Clone(m.RetiredDiskIDs)
			_, _, err := n.proposeMembership(next)
			return err == nil
		}
	}
	return false
}

// removalTimeout is the silence after which a learner is removed. One with a
// persistent data folder is removed only where it may join again by itself.
func (n *Node) removalTimeout(member Member) time.Duration {
	switch {
	case member.Ephemeral:
		return removeEphemeralElectionTimeouts * n.cfg.ElectionTimeout
	case n.cfg.AdmitUnknownHosts:
		return removePersistentElectionTimeouts * n.cfg.ElectionTimeout
	}
	return unlimitedDuration
}

func (n *Node) timeSinceReply(member Member) time.Duration {
	p := n.progress[member.ID]
	if member.ID == n.cfg.ID || p == nil {
		return 0
	}
	return n.now - p.lastReplyAt
}

// isCaughtUp reports whether a learner may become a voter.
func (n *Node) isCaughtUp(p *progress) bool {
	return !p.probing && p.matchIndex >= n.commitIndex && n.now-p.lastReplyAt < n.cfg.ElectionTimeout
}

// tickJoin asks to join while this data folder is not registered, or may have been
// removed from the membership during a partition. It bootstraps the cluster instead
// if this host may do so.
func (n *Node) tickJoin() {
	if n.now < n.nextJoinAt {
		return
	}
	m, _ := n.log.latestMembership()
	leaderSilence := n.now - n.withholdVoteUntil
	registered := n.hardState.ClusterID != 0 && m.isRegistered(n.cfg.ID, n.cfg.DiskID)
	if registered && (n.role == Leader || leaderSilence < unreachableElectionTimeouts*n.cfg.ElectionTimeout) {
		return
	}
	if n.mayBootstrap() && len(n.bootstrapBlockers()) == 0 {
		n.bootstrap()
		return
	}
	n.nextJoinAt = n.now + 2*n.cfg.HeartbeatInterval
	for _, id := range n.joinTargets(m) {
		n.sendNow(Message{Type: MsgJoin, To: id, URL: n.cfg.URL, Ephemeral: n.cfg.Ephemeral})
	}
}

// joinTargets returns the IDs of the hosts to ask for admission, without this host. The
// initial members are among them until this data folder belongs to a cluster.
func (n *Node) joinTargets(m Membership) []uint64 {
	var initial []Member
	if n.canBootstrap() {
		initial = n.cfg.InitialMembers
	}
	var ids []uint64
	for _, member := range slices.Concat(initial, n.cfg.JoinMembers, m.Members) {
		if member.ID != n.cfg.ID && !slices.Contains(ids, member.ID) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// mayBootstrap reports whether this host may form the cluster: it has the lowest
// ID of the initial hosts and an empty data folder.
func (n *Node) mayBootstrap() bool {
	return n.canBootstrap() && n.lowestInitialID() == n.cfg.ID
}

// canBootstrap reports whether this host is one of those that may form the cluster together.
func (n *Node) canBootstrap() bool {
	return n.cfg.Bootstrap && !n.cfg.FormerMember && n.hardState.ClusterID == 0
}

// agreesToBootstrap reports whether this host, whose data folder is empty, agrees that another one forms the
// cluster. One that may form it itself agrees to the host that its own initial members name alone: else two
// hosts with different initial members could each form a cluster.
func (n *Node) agreesToBootstrap(id uint64) bool {
	return !n.cfg.FormerMember && (!n.cfg.Bootstrap || n.lowestInitialID() == id)
}

// lowestInitialID returns the lowest ID of the initial members, 0 if there are none.
func (n *Node) lowestInitialID() uint64 {
	lowest := uint64(0)
	for _, member := range n.cfg.InitialMembers {
		if lowest == 0 || member.ID < lowest {
			lowest = member.ID
		}
	}
	return lowest
}

// bootstrapBlockers returns the initial hosts that have not recently agreed that this
// host forms the cluster.
func (n *Node) bootstrapBlockers() []uint64 {
	var blockers []uint64
	for _, peer := range n.cfg.InitialMembers {
		seenAt, ok := n.bootstrapAgreedAt[peer.ID]
		recent := ok && n.now-seenAt < recentContactElectionTimeouts*n.cfg.ElectionTimeout
		if peer.ID != n.cfg.ID && !recent {
			blockers = append(blockers, peer.ID)
		}
	}
	return blockers
}

// bootstrap forms a cluster with this host as the only voter; the other initial
// hosts become learners when they join.
func (n *Node) bootstrap() {
	n.hardState = HardState{Term: 1, VotedFor: n.cfg.DiskID, ClusterID: n.cfg.DiskID}
	n.hardStateDirty = true
	var m Membership
	for _, peer := range n.cfg.InitialMembers {
		if peer.ID == n.cfg.ID {
			m = m.withMember(Member{ID: peer.ID, DiskID: n.cfg.DiskID, URL: peer.URL, IsVoter: true, Ephemeral: n.cfg.Ephemeral})
			continue
		}
		m = m.withMember(Member{ID: peer.ID, URL: peer.URL})
	}
	data, err := EncodeMembership(m)
	if err != nil {
		return
	}
	n.appendEntry(EntryMembership, data)
	n.withholdVoteUntil, n.nextElectionAt = n.now, n.now
}

// adoptClusterID makes this empty data folder part of the cluster whose leader has
// registered it.
func (n *Node) adoptClusterID(m Message) {
	fromLeader := m.Type == MsgAppend || m.Type == MsgSnapshot
	if !fromLeader || m.ToDiskID != n.cfg.DiskID || m.ClusterID == 0 {
		return
	}
	n.hardState.ClusterID = m.ClusterID
	n.hardStateDirty = true
}

// handleJoin registers a data folder as a learner, or forwards the join to the
// leader. If this host's own folder is empty, it replies that it agrees to a new
// cluster, since the bootstrapping host waits for such replies.
func (n *Node) handleJoin(m Message) {
	if n.hardState.ClusterID == 0 {
		if m.ClusterID == 0 && n.agreesToBootstrap(m.From) {
			n.sendNow(Message{Type: MsgJoinReply, To: m.From, ToDiskID: m.DiskID, RequesterOrForwarderDiskID: m.DiskID})
		}
		return
	}
	if m.ClusterID != 0 && m.ClusterID != n.hardState.ClusterID {
		return
	}
	if n.role != Leader {
		n.forwardJoin(m)
		return
	}
	members, _ := n.log.latestMembership()
	member, isMember := members.find(m.From)
	if !isMember {
		member.ID = m.From
	}
	if (!isMember && !n.cfg.AdmitUnknownHosts) || member.DiskID == m.DiskID || slices.Contains(members.RetiredDiskIDs, m.DiskID) {
		return
	}
	if p := n.progress[m.From]; p != nil && !n.answersUnacknowledgedAppend(m, p) && n.now-p.lastReplyAt < recentContactElectionTimeouts*n.cfg.ElectionTimeout {
		return
	}
	if m.URL != "" {
		member.URL = m.URL
	}
	member.DiskID, member.IsVoter, member.Ephemeral = m.DiskID, false, m.Ephemeral
	// If another change is uncommitted, this one fails and the host asks again.
	_, _, _ = n.proposeMembership(members.withMember(member))
}

// answersUnacknowledgedAppend reports whether a join answers an append of this leader that is newer
// than any that the registered data folder has answered: the host has another folder now. A join
// from before such an append must not replace the folder.
func (n *Node) answersUnacknowledgedAppend(join Message, p *progress) bool {
	return join.Term == n.hardState.Term && join.SentAt > p.ackedSentAt
}

// forwardJoin sends a join to the leader, which the joining host may not know. A
// join that was forwarded once is not forwarded again.
func (n *Node) forwardJoin(m Message) {
	if n.leaderID == 0 || n.leaderID == m.From || m.RequesterOrForwarderDiskID != 0 {
		return
	}
	m.To, m.RequesterOrForwarderDiskID = n.leaderID, n.cfg.DiskID
	n.outbox = append(n.outbox, m)
}

// handleWrongDiskID handles a message for an earlier data folder of this host. If it
// is an append and the present folder is not registered, this host asks the sender
// to join: the settings may list no host that is still a member.
func (n *Node) handleWrongDiskID(m Message) {
	members, _ := n.log.latestMembership()
	if m.Type != MsgAppend || (n.hardState.ClusterID != 0 && members.isRegistered(n.cfg.ID, n.cfg.DiskID)) {
		return
	}
	n.sendNow(Message{Type: MsgJoin, To: m.From, URL: n.cfg.URL, Ephemeral: n.cfg.Ephemeral, Term: m.Term, SentAt: m.SentAt})
}

// handleJoinReply records that another host agrees to a new cluster. Replies to
// a request from an earlier folder of this host don't count.
func (n *Node) handleJoinReply(m Message) {
	if n.hardState.ClusterID == 0 && m.ClusterID == 0 && m.RequesterOrForwarderDiskID == n.cfg.DiskID {
		n.bootstrapAgreedAt[m.From] = n.now
	}
}
