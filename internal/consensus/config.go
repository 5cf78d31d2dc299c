package consensus

import (
	"fmt"
	"time"
)

// Bounds of the protocol.
const (
	DefaultHeartbeat       = 200 * time.Millisecond
	DefaultElectionTimeout = time.Second
	// MaxClockDrift is the largest rate error of one host's clock, in parts
	// of a thousand, that the leader lease allows for.
	MaxClockDrift = 50

	maxMessageBytes    = 256 << 10 // entries in one append
	maxMessageEntries  = 1024
	maxInFlight        = 4096 // entries sent to one follower and not acknowledged
	maxUncommitted     = 16384
	maxUncommittedSize = 64 << 20 // bytes
)

// Config sets up a replica.
type Config struct {
	ID              uint64
	Disk            uint64 // identity of the data folder, never 0
	Run             uint64 // grows with each start of the process
	URL             string
	Peers           []Member // initial hosts from the settings, this one included
	Bootstrap       bool     // the initial hosts may form a new cluster
	Heartbeat       time.Duration
	ElectionTimeout time.Duration // shortest; the longest is twice that
	Seed            uint64        // of the jitter of elections
	// Leaseless says that nobody relies on the leader lease: none is told, and a
	// host that has restarted need not keep the promise of its life before.
	Leaseless bool
	// Ephemeral says that the data folder ends with the process.
	Ephemeral bool
	// Open admits every host that asks to join, not only known ones.
	Open bool
	// MinVoters is how many voters with a lasting folder the system is meant
	// to have at least. While more than that many are heard, one that is
	// silent becomes a learner. 0 keeps silent voters.
	MinVoters int
}

// withDefaults fills in the times that are not set.
func (c Config) withDefaults() Config {
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	return c
}

// lease is how long a leader may rely on a round of acknowledgements: the
// promise of the followers, less the drift of both clocks.
func (c Config) lease() time.Duration {
	return c.ElectionTimeout * (1000 - MaxClockDrift) / (1000 + MaxClockDrift)
}

// NotLeaderError says that this replica can't take a proposal.
type NotLeaderError struct {
	Leader uint64 // 0 if unknown
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader, which is host %d", e.Leader)
}

// BusyError says that a proposal must wait for something else.
type BusyError struct {
	Reason string
}

// Error gives the reason.
func (e *BusyError) Error() string { return e.Reason }

// MemberError says that a membership change makes no sense.
type MemberError struct {
	ID     uint64
	Reason string
}

// Error gives the host and the reason.
func (e *MemberError) Error() string { return fmt.Sprintf("host %d: %s", e.ID, e.Reason) }

// CorruptLogError says that the stored log contradicts itself.
type CorruptLogError struct {
	Index  uint64
	Reason string
}

// Error gives the place and the reason.
func (e *CorruptLogError) Error() string {
	return fmt.Sprintf("stored log at index %d: %s", e.Index, e.Reason)
}
