package control

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/placement"
)

// Settings are the bounds and intervals of a control host; a zero field means
// its default.
type Settings struct {
	// Lease is the longest silence of one endpoint.
	Lease time.Duration
	// GroupGrace is the longest silence while most of a failure domain is silent.
	GroupGrace time.Duration
	// ReportInterval is the time between two aggregates of heartbeats.
	ReportInterval time.Duration
	// DigestInterval is the time between two load digests to a subscriber.
	DigestInterval time.Duration
	// DigestBytes bounds the load digest of one failure domain.
	DigestBytes int
	// AliveInterval is the time between two signs of life on an idle stream.
	AliveInterval time.Duration
	// ConfirmTimeout is how long a subscriber without a state waits until this
	// host has confirmed that it is not behind.
	ConfirmTimeout time.Duration
	MaxEndpoints   int
	MaxSubscribers int
	// ProposeTimeout bounds a command that no caller waits for.
	ProposeTimeout time.Duration

	// LedgerRetention is how long a claim is kept after its last change.
	LedgerRetention      time.Duration
	LedgerMaxEntries     int
	LedgerMaxBytes       int64
	LedgerMaxAnswerBytes int
	// LedgerBatch is the most operations in one command.
	LedgerBatch int
	// LedgerQueue is the most operations that wait for a command.
	LedgerQueue int

	// Placement is nil where engines are loaded by other means.
	Placement         *placement.Settings
	PlacementInterval time.Duration
}

// Defaults of Settings.
const (
	DefaultLease                = 9 * time.Second
	DefaultGroupGrace           = 60 * time.Second
	DefaultReportInterval       = time.Second
	DefaultDigestInterval       = time.Second
	DefaultDigestBytes          = 2 << 10
	DefaultAliveInterval        = 5 * time.Second
	DefaultConfirmTimeout       = 5 * time.Second
	DefaultMaxEndpoints         = 20_000
	DefaultMaxSubscribers       = 10_000
	DefaultProposeTimeout       = 5 * time.Second
	DefaultLedgerRetention      = 24 * time.Hour
	DefaultLedgerMaxEntries     = 400_000
	DefaultLedgerMaxBytes       = 240 << 20
	DefaultLedgerMaxAnswerBytes = 64 << 10
	DefaultLedgerBatch          = 100
	DefaultLedgerQueue          = 4096
	DefaultPlacementInterval    = time.Second
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.Lease, DefaultLease)
	setDefault(&s.GroupGrace, DefaultGroupGrace)
	setDefault(&s.ReportInterval, DefaultReportInterval)
	setDefault(&s.DigestInterval, DefaultDigestInterval)
	setDefault(&s.DigestBytes, DefaultDigestBytes)
	setDefault(&s.AliveInterval, DefaultAliveInterval)
	setDefault(&s.ConfirmTimeout, DefaultConfirmTimeout)
	setDefault(&s.MaxEndpoints, DefaultMaxEndpoints)
	setDefault(&s.MaxSubscribers, DefaultMaxSubscribers)
	setDefault(&s.ProposeTimeout, DefaultProposeTimeout)
	setDefault(&s.LedgerRetention, DefaultLedgerRetention)
	setDefault(&s.LedgerMaxEntries, DefaultLedgerMaxEntries)
	setDefault(&s.LedgerMaxBytes, DefaultLedgerMaxBytes)
	setDefault(&s.LedgerMaxAnswerBytes, DefaultLedgerMaxAnswerBytes)
	setDefault(&s.LedgerBatch, DefaultLedgerBatch)
	setDefault(&s.LedgerQueue, DefaultLedgerQueue)
	setDefault(&s.PlacementInterval, DefaultPlacementInterval)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
