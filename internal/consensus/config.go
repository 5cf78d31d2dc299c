package consensus

import (
	"fmt"
	"time"
)

// Protocol limits and defaults.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultElectionTimeout   = time.Second
	// MaxClockDriftPerMille is the largest rate error of one host's clock that the
	// leader lease allows for.
	MaxClockDriftPerMille = 50

	maxAppendBytes        = 256 << 10 // entries in one append message
	maxAppendEntries      = 1024
	maxInFlightEntries    = 4096 // sent to one follower and not acknowledged
	maxUncommittedEntries = 16384
	maxUncommittedBytes   = 64 << 20
)

// Config configures a replica.
type Config struct {
	ID        uint64
	DiskID    uint64 // identity of the data folder; never 0
	RunNumber uint64 // number of the process run; increases with each start
	URL       string
	// Bootstrap lets this host and the other InitialMembers form a new cluster while its data folder is
	// empty. In a data folder that belongs to a cluster both have no meaning.
	Bootstrap bool
	// InitialMembers are the hosts that form the cluster, including this one. They never change.
	InitialMembers []Member
	// FormerMember means that this host has belonged to a cluster with a data folder that it lost. It forms
	// none, and does not count as empty for a host that would.
	FormerMember bool
	// JoinMembers are the hosts that this one asks to admit it to the cluster; see SetJoinMembers.
	JoinMembers       []Member
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // minimum; the maximum is twice that
	Seed              uint64        // for the election jitter
	// DisableLease turns the leader lease off: none is reported, and a restarted host
	// may vote at once, since no leader counts on acknowledgements from before
	// the restart.
	DisableLease bool
	// Ephemeral means that the data folder is lost when the process ends.
	Ephemeral bool
	// AdmitUnknownHosts lets any host join, not only members.
	AdmitUnknownHosts bool
	// MinVoters is the smallest number of persistent (not ephemeral) voters that
	// the cluster should have. While at least that many are reachable, a silent
	// voter is demoted to a learner. 0 never demotes silent voters.
	MinVoters int
}

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	return c
}

// leaseDuration is how long a leader may rely on a round of acknowledgements.
// Followers withhold their votes for one election timeout; the clocks of the
// leader and of a follower may drift apart by the maximum in opposite directions.
func (c Config) leaseDuration() time.Duration {
	return c.ElectionTimeout * (1000 - MaxClockDriftPerMille) / (1000 + MaxClockDriftPerMille)
}

// NotLeaderError means that only the leader can serve the call.
type NotLeaderError struct {
	LeaderID uint64 // 0 if unknown
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader, which is host %d", e.LeaderID)
}

// BusyError means that the call must be retried later.
type BusyError struct {
	Reason string
}

// Error implements error.
func (e *BusyError) Error() string { return e.Reason }

// InvalidMemberError means that a membership change or a leadership transfer is
// not possible for this host.
type InvalidMemberError struct {
	ID     uint64
	Reason string
}

// Error implements error.
func (e *InvalidMemberError) Error() string { return fmt.Sprintf("host %d: %s", e.ID, e.Reason) }

// CorruptLogError means that the stored log is inconsistent.
type CorruptLogError struct {
	Index  uint64
	Reason string
}

// Error implements error.
func (e *CorruptLogError) Error() string {
	return fmt.Sprintf("stored log at index %d: %s", e.Index, e.Reason)
}
