package control

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/placement"
)

// Settings are the limits and intervals of a control host; a zero field means
// its default.
type Settings struct {
	// LeaseDuration is how long an endpoint may send no heartbeat before it is
	// removed.
	LeaseDuration time.Duration
	// DomainOutageGrace replaces LeaseDuration while most endpoints of a
	// failure domain, or of all, send no heartbeats, which is taken as a fault
	// of the control hosts.
	DomainOutageGrace time.Duration
	// ReportInterval is the time between two heartbeat reports to the leader.
	ReportInterval time.Duration
	// DigestInterval is the time between two load digests to a subscriber.
	DigestInterval time.Duration
	// MaxDigestBytes limits the load digest of one failure domain.
	MaxDigestBytes int
	// KeepaliveInterval is the time between two keepalives on a stream.
	KeepaliveInterval time.Duration
	// ConfirmTimeout is how long a subscriber without a configuration waits for
	// this host to confirm that its own state is up to date.
	ConfirmTimeout time.Duration
	MaxEndpoints   int
	MaxSubscribers int
	// ProposeTimeout limits the host's own commands, ledger batches and reports
	// to the leader.
	ProposeTimeout time.Duration

	// LedgerRetention is how long a claim is kept after its last change.
	LedgerRetention      time.Duration
	LedgerMaxEntries     int
	LedgerMaxBytes       int64
	LedgerMaxAnswerBytes int
	// LedgerMaxBatchOperations limits the operations in one command.
	LedgerMaxBatchOperations int
	// LedgerMaxQueuedOperations limits the operations that wait for a command.
	LedgerMaxQueuedOperations int

	// Placement is nil if models are loaded by other means.
	Placement         *placement.Settings
	PlacementInterval time.Duration
}

// Defaults of Settings.
const (
	DefaultLeaseDuration             = 9 * time.Second
	DefaultDomainOutageGrace         = 60 * time.Second
	DefaultReportInterval            = time.Second
	DefaultDigestInterval            = time.Second
	DefaultMaxDigestBytes            = 2 << 10
	DefaultKeepaliveInterval         = 5 * time.Second
	DefaultConfirmTimeout            = 5 * time.Second
	DefaultMaxEndpoints              = 20_000
	DefaultMaxSubscribers            = 10_000
	DefaultProposeTimeout            = 5 * time.Second
	DefaultLedgerRetention           = 24 * time.Hour
	DefaultLedgerMaxEntries          = 400_000
	DefaultLedgerMaxBytes            = 240 << 20
	DefaultLedgerMaxAnswerBytes      = 64 << 10
	DefaultLedgerMaxBatchOperations  = 100
	DefaultLedgerMaxQueuedOperations = 4096
	DefaultPlacementInterval         = time.Second
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.LeaseDuration, DefaultLeaseDuration)
	setDefault(&s.DomainOutageGrace, DefaultDomainOutageGrace)
	setDefault(&s.ReportInterval, DefaultReportInterval)
	setDefault(&s.DigestInterval, DefaultDigestInterval)
	setDefault(&s.MaxDigestBytes, DefaultMaxDigestBytes)
	setDefault(&s.KeepaliveInterval, DefaultKeepaliveInterval)
	setDefault(&s.ConfirmTimeout, DefaultConfirmTimeout)
	setDefault(&s.MaxEndpoints, DefaultMaxEndpoints)
	setDefault(&s.MaxSubscribers, DefaultMaxSubscribers)
	setDefault(&s.ProposeTimeout, DefaultProposeTimeout)
	setDefault(&s.LedgerRetention, DefaultLedgerRetention)
	setDefault(&s.LedgerMaxEntries, DefaultLedgerMaxEntries)
	setDefault(&s.LedgerMaxBytes, DefaultLedgerMaxBytes)
	setDefault(&s.LedgerMaxAnswerBytes, DefaultLedgerMaxAnswerBytes)
	setDefault(&s.LedgerMaxBatchOperations, DefaultLedgerMaxBatchOperations)
	setDefault(&s.LedgerMaxQueuedOperations, DefaultLedgerMaxQueuedOperations)
	setDefault(&s.PlacementInterval, DefaultPlacementInterval)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
