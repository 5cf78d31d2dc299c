package consensus

import (
	"slices"
	"time"
)

// find returns the member with the given host ID.
func (m *Membership) find(id uint64) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// isVoter reports whether a host votes with this data folder.
func (m *Membership) isVoter(id, diskID uint64) bool {
	member, ok := m.find(id)
	return ok && member.IsVoter && diskID != 0 && member.DiskID == diskID
}

// isRegistered reports whether a host is a member with this data folder.
func (m *Membership) isRegistered(id, diskID uint64) bool {
	member, ok := m.find(id)
	return ok && diskID != 0 && member.DiskID == diskID
}

func (m *Membership) voterCount() int {
	n := 0
	for _, member := range m.Members {
		if member.IsVoter {
			n++
		}
	}
	return n
}

// persistentVoterCount counts the voters that are not ephemeral.
func (m *Membership) persistentVoterCount() int {
	n := 0
	for _, member := range m.Members {
		if member.IsVoter && !member.Ephemeral {
			n++
		}
	}
	return n
}

// voterRank is the number of voters with a lower host ID.
func (m *Membership) voterRank(id uint64) int {
	rank := 0
	for _, member := range m.Members {
		if member.IsVoter && member.ID < id {
			rank++
		}
	}
	return rank
}

// quorumSize is the number of voters in a majority.
func (m *Membership) quorumSize() int { return m.voterCount()/2 + 1 }

// withMember returns a copy in which a member is added or replaced. If its disk ID
// changes, the old one is retired.
func (m *Membership) withMember(changed Member) Membership {
	next := m.withoutMember(changed.ID)
	if old, ok := m.find(changed.ID); ok && old.DiskID == changed.DiskID {
		next.RetiredDiskIDs = slices.Clone(m.RetiredDiskIDs)
	}
	next.Members = append(next.Members, changed)
	slices.SortFunc(next.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return next
}

// withoutMember returns a copy without a member, whose disk ID is retired.
func (m *Membership) withoutMember(id uint64) Membership {
	next := Membership{RetiredDiskIDs: slices.Clone(m.RetiredDiskIDs)}
	for _, member := range m.Members {
		if member.ID != id {
			next.Members = append(next.Members, member)
			continue
		}
		if member.DiskID != 0 {
			next.RetiredDiskIDs = append(next.RetiredDiskIDs, member.DiskID)
		}
	}
	return next
}

// progress is the leader's view of the replication to one follower's data folder.
// Times are on the leader's clock.
type progress struct {
	diskID            uint64
	matchIndex        uint64        // newest entry known to be synced on the follower
	nextIndex         uint64        // next entry to send
	probing           bool          // the index at which the logs match is not known
	probeSent         bool          // a probe is in flight
	ackedSentAt       time.Duration // latest send time that the follower has echoed, or distantPast
	lastReplyAt       time.Duration // time of the latest reply
	snapshotSentAt    time.Duration // when the latest snapshot was sent, or distantPast
	lastRunNumber     uint64        // run number and sequence number of the latest reply
	lastReplySequence uint64
	lostEntries       bool // the data folder lost entries that it had acknowledged
}

// distantPast is a time before any other.
const distantPast = time.Duration(-1 << 62)

const unlimitedDuration = time.Duration(1 << 62)

// kthLargest returns the k-th largest value, counted from 1.
func kthLargest[T ~int64 | ~uint64](values []T, k int) T {
	slices.Sort(values)
	return values[len(values)-k]
}
