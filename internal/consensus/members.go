package consensus

import (
	"slices"
	"time"
)

// find returns the member with an id.
func (m *Membership) find(id uint64) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// isVoter reports whether the data folder of a host counts.
func (m *Membership) isVoter(id, disk uint64) bool {
	member, ok := m.find(id)
	return ok && member.Voter && disk != 0 && member.Disk == disk
}

// isRegistered reports whether the data folder of a host is known.
func (m *Membership) isRegistered(id, disk uint64) bool {
	member, ok := m.find(id)
	return ok && disk != 0 && member.Disk == disk
}

// voters counts the hosts that vote.
func (m *Membership) voters() int {
	n := 0
	for _, member := range m.Members {
		if member.Voter {
			n++
		}
	}
	return n
}

// lastingVoters counts the voters whose folder outlives their process.
func (m *Membership) lastingVoters() int {
	n := 0
	for _, member := range m.Members {
		if member.Voter && !member.Ephemeral {
			n++
		}
	}
	return n
}

// turn is the place of a voter in the order of ids.
func (m *Membership) turn(id uint64) int {
	turn := 0
	for _, member := range m.Members {
		if member.Voter && member.ID < id {
			turn++
		}
	}
	return turn
}

// quorum is the number of voters that decides.
func (m *Membership) quorum() int { return m.voters()/2 + 1 }

// with returns a copy in which one member is added or replaced. A data folder
// that is replaced is retired.
func (m *Membership) with(changed Member) Membership {
	next := m.without(changed.ID)
	if old, ok := m.find(changed.ID); ok && old.Disk == changed.Disk {
		next.Retired = slices.Clone(m.Retired)
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

// without returns a copy that lacks one member, whose data folder is retired.
func (m *Membership) without(id uint64) Membership {
	next := Membership{Retired: slices.Clone(m.Retired)}
	for _, member := range m.Members {
		if member.ID != id {
			next.Members = append(next.Members, member)
			continue
		}
		if member.Disk != 0 {
			next.Retired = append(next.Retired, member.Disk)
		}
	}
	return next
}

// progress is what the leader knows of one follower's data folder. Times are
// of the leader's clock.
type progress struct {
	disk       uint64
	match      uint64        // newest entry known to be synced there
	next       uint64        // next entry to send
	probing    bool          // where the logs meet is not known
	probeSent  bool          // a probe is on its way
	acked      time.Duration // newest Sent echoed, or never
	heard      time.Duration // newest reply
	snapshotAt time.Duration // newest snapshot sent, or never
	run        uint64        // order of the newest reply
	sequence   uint64
	wentBack   bool // the data folder lost entries it had acknowledged
}

// never is a time before any other.
const never = time.Duration(-1 << 62)

// forever is longer than any time.
const forever = time.Duration(1 << 62)

// kthLargest returns the k-th largest value, counted from 1.
func kthLargest[T ~int64 | ~uint64](values []T, k int) T {
	slices.Sort(values)
	return values[len(values)-k]
}
