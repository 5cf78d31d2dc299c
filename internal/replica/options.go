package replica

import (
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/journal"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// Defaults, limits and intervals.
const (
	DefaultSnapshotIntervalEntries = 4096
	DefaultSnapshotIntervalBytes   = 8 << 20
	MaxCommandBytes                = 8 << 20

	tickInterval              = 50 * time.Millisecond
	proposalQueueCapacity     = 4096
	messageQueueCapacity      = 1024
	applyQueueCapacity        = 16
	peerQueueCapacity         = 256
	controlQueueCapacity      = 16
	snapshotSendQueueCapacity = 1
	trailingLogDivisor        = 4       // 1/4 of the entries and bytes between snapshots may be kept below a snapshot
	maxApplyEntries           = 1024    // entries of one job for the state machine
	maxApplyBytes             = 4 << 20 // command bytes of one job for the state machine
	maxInputsPerFlush         = 1024    // inputs handled before output is sent
	maxPeerMessageBytes       = 256 << 20
	defaultStepTimeout        = 2 * time.Second
	leaderWaitTimeout         = 3 * time.Second
	retryInterval             = 20 * time.Millisecond
	// strandedTimeout is how long after its end the proposals of a leadership wait for the next leader to commit them.
	strandedTimeout = 500 * time.Millisecond
)

// Options configures a replica.
type Options struct {
	ID          uint64
	ClusterName string
	DataDir     string // data folder; "" for an ephemeral host, which keeps its log in memory
	SelfURL     string
	// Bootstrap lets the initial hosts form a new cluster once all of them
	// report that their data folder is empty. With or without it, a host with
	// an empty folder joins an existing cluster as a learner.
	Bootstrap bool
	// InitialMembers are the hosts that form the cluster with Bootstrap, including this one. They are the same for
	// all openings of a data folder, and have no meaning once it belongs to a cluster.
	InitialMembers []Member
	// FormerMember means that an earlier data folder of this host has belonged to a cluster: it takes no part in
	// forming one. See Replica.BelongsToCluster.
	FormerMember bool
	// JoinMembers are the hosts that this one asks for admission to a cluster; see SetJoinMembers.
	JoinMembers []Member
	// Ephemeral marks a host without a disk, which follows and never votes.
	Ephemeral bool
	// DisableLease turns off the leader lease, for a log whose reads wait for a
	// read index instead; see consensus.Config.
	DisableLease bool
	// AdmitUnknownHosts admits every host that asks to join the cluster.
	AdmitUnknownHosts bool
	// MinVoters is the smallest intended number of voters; see
	// consensus.Config.
	MinVoters int
	// NewStateMachine returns a state machine in the state before the first command. Each opening
	// of the data folder has its own: it applies the log from the stored snapshot on, so one that
	// an earlier opening has used would apply commands twice.
	NewStateMachine func() StateMachine
	// OnState is called when this replica stops acting on its state, with nil, and when it acts on a
	// state that replaces that one. It must not call the replica. nil for none.
	OnState func(StateMachine)
	// Repairs is the same for all openings of the data folder in a process; nil for a single one.
	Repairs    *Repairs
	HTTPClient *http.Client // nil for the default client
	Logger     *slog.Logger
	Metrics    *metrics.Registry // nil for none

	HeartbeatInterval       time.Duration // 0 for the default
	ElectionTimeout         time.Duration // 0 for the default
	SnapshotIntervalEntries uint64        // applied entries between snapshots, 0 for the default
	SnapshotIntervalBytes   int           // applied command bytes between snapshots, 0 for the default
	StepTimeout             time.Duration // of one Step request to another host, 0 for the default
	DigestInterval          time.Duration // shortest time between two indexes whose digests are compared, 0 for the default
}

// withDefaults replaces zero values by the defaults.
func (o Options) withDefaults() Options {
	if o.HTTPClient == nil {
		o.HTTPClient = http.DefaultClient
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.OnState == nil {
		o.OnState = func(StateMachine) {}
	}
	if o.Repairs == nil {
		o.Repairs = &Repairs{}
	}
	if o.DigestInterval == 0 {
		o.DigestInterval = defaultDigestInterval
	}
	if o.StepTimeout == 0 {
		o.StepTimeout = defaultStepTimeout
	}
	if o.SnapshotIntervalEntries == 0 {
		o.SnapshotIntervalEntries = DefaultSnapshotIntervalEntries
	}
	if o.SnapshotIntervalBytes == 0 {
		o.SnapshotIntervalBytes = DefaultSnapshotIntervalBytes
	}
	return o
}

// OptionsError reports an invalid option.
type OptionsError struct {
	Field  string
	Reason string
}

func (e *OptionsError) Error() string { return "replica option " + e.Field + ": " + e.Reason }

// NeedsOperator reports whether an error of Open lasts until an operator changes the settings or the data folder.
func NeedsOperator(err error) bool {
	var options *OptionsError
	var identity *journal.IdentityError
	var corruptFile *journal.CorruptError
	var corruptLog *consensus.CorruptLogError
	return errors.As(err, &options) || errors.As(err, &identity) || errors.As(err, &corruptFile) || errors.As(err, &corruptLog)
}

func (o Options) validate() error {
	switch {
	case o.ID == 0:
		return &OptionsError{Field: "ID", Reason: "must not be 0"}
	case o.DataDir == "" && !o.Ephemeral:
		return &OptionsError{Field: "DataDir", Reason: "must name the data folder"}
	case o.NewStateMachine == nil:
		return &OptionsError{Field: "NewStateMachine", Reason: "is missing"}
	}
	return nil
}

// validateBootstrap checks the options that have a meaning for an empty data folder alone.
func (o Options) validateBootstrap() error {
	if o.Bootstrap && !slices.ContainsFunc(o.InitialMembers, func(m Member) bool { return m.ID == o.ID }) {
		return &OptionsError{Field: "InitialMembers", Reason: "must list this host to form a cluster"}
	}
	return nil
}

// Replica is one replica of the log. It is active while Run is running.
type Replica struct {
	options    Options
	logger     *slog.Logger
	journal    store
	machine    StateMachine    // of this opening alone
	node       *consensus.Node // used by the node loop alone once Run is called
	clockStart time.Time       // time 0 of the node's clock
	stopped    chan struct{}   // closed when Run has returned
	started    atomic.Bool     // Run was called
	// belongsToCluster is whether the synced data folder does.
	belongsToCluster atomic.Bool

	messages       *ring.Ring[[]consensus.Message]
	proposals      *ring.Ring[*proposal]
	controls       *ring.Ring[*controlRequest]
	journalJobs    *ring.Ring[journalJob]
	journalDone    *ring.Ring[journalJob]
	applyJobs      *ring.Ring[applyJob]
	stateSnapshots *ring.Ring[stateSnapshot]

	nodeStatus        atomic.Pointer[consensus.Status]
	appliedIndex      atomic.Uint64
	pendingProposals  pendingProposals
	joinMembers       atomic.Pointer[[]Member]
	learnedURLs       sync.Map // host ID to base URL, as the host itself reported it
	digestJobs        *ring.Ring[digestJob]
	digests           *digests
	copyOdd           atomic.Pointer[CopyOddError] // nil while this replica acts on its state
	repairWanted      chan struct{}
	replaceSnapshot   bool // see replaceOddSnapshot; used by the goroutine that applies entries alone, as all below
	snapshotToReplace uint64
	// appliedMembership is that of the applied entries.
	appliedMembership consensus.Membership
	clients           sync.Map // base URL to client
	snapshotReceiver  snapshotReceiver

	stats Stats
}

// Stats counts the work of a replica since its start.
type Stats struct {
	JournalSyncs     atomic.Uint64 // synced writes to the journal
	EntriesWritten   atomic.Uint64 // log entries in these writes
	StepRequestsSent atomic.Uint64 // Step requests to other hosts
	MessagesSent     atomic.Uint64 // messages in these requests
	MessagesDropped  atomic.Uint64 // messages dropped because the queue of their host was full
	SnapshotsTaken   atomic.Uint64 // snapshots taken of the state machine
	DigestBytesSent  atomic.Uint64 // encoded digests in requests that other hosts received
}

// store persists the log, the vote and the snapshot; see package journal.
type store interface {
	Identity() journal.Identity
	BytesRead() int64
	Write(s *consensus.WriteBatch) error
	WriteSnapshot(s consensus.Snapshot, compactIndex uint64) error
	ReadSnapshot() (consensus.Snapshot, error)
	Close() error
}

// openStore opens the data folder, or an in-memory journal for an ephemeral host.
func openStore(o Options) (store, consensus.PersistedState, error) {
	if !o.Ephemeral {
		return journal.Open(o.DataDir, o.ClusterName, o.ID)
	}
	memoryJournal, err := journal.OpenMemory(o.ClusterName, o.ID)
	return memoryJournal, consensus.PersistedState{}, err
}

// Open opens the data folder and restores a new state machine from the newest
// snapshot. Errors are *OptionsError or those of package journal.
func Open(options Options) (*Replica, error) {
	o := options.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	j, stored, err := openStore(o)
	if err != nil {
		return nil, err
	}
	r, err := newReplica(o, j, stored)
	if err != nil {
		return nil, errors.CombineErrors(err, j.Close())
	}
	o.Logger.Info("replica opened", "id", o.ID, "disk", j.Identity().DiskID, "term", stored.HardState.Term,
		"snapshot", stored.Snapshot.Index, "entries", len(stored.Entries), "bytes", j.BytesRead(),
		"empty", stored.HardState.ClusterID == 0)
	return r, nil
}

// newReplica creates the replica on an open journal.
func newReplica(o Options, j store, stored consensus.PersistedState) (*Replica, error) {
	if stored.HardState.ClusterID == 0 {
		if err := o.validateBootstrap(); err != nil {
			return nil, err
		}
	}
	machine := o.NewStateMachine()
	if stored.Snapshot.Index > 0 {
		if err := machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "restore the state machine")
		}
	}
	identity := j.Identity()
	config := consensus.Config{ID: o.ID, DiskID: identity.DiskID, RunNumber: identity.RunNumber, URL: o.SelfURL,
		Bootstrap: o.Bootstrap, FormerMember: o.FormerMember, Ephemeral: o.Ephemeral, DisableLease: o.DisableLease,
		AdmitUnknownHosts: o.AdmitUnknownHosts, MinVoters: o.MinVoters, HeartbeatInterval: o.HeartbeatInterval,
		ElectionTimeout: o.ElectionTimeout, Seed: identity.DiskID ^ identity.RunNumber,
		InitialMembers: toConsensusMembers(o.InitialMembers), JoinMembers: toConsensusMembers(o.JoinMembers)}
	node, err := consensus.New(config, stored, 0)
	if err != nil {
		return nil, err
	}
	r := &Replica{options: o, logger: o.Logger, journal: j, machine: machine, node: node, clockStart: time.Now(),
		stopped:        make(chan struct{}),
		messages:       ring.New[[]consensus.Message]("messages", messageQueueCapacity),
		proposals:      ring.New[*proposal]("proposals", proposalQueueCapacity),
		controls:       ring.New[*controlRequest]("controls", controlQueueCapacity),
		journalJobs:    ring.New[journalJob]("writes", 1),
		journalDone:    ring.New[journalJob]("written", 1),
		applyJobs:      ring.New[applyJob]("applies", applyQueueCapacity),
		stateSnapshots: ring.New[stateSnapshot]("snapshots", 1),
		digestJobs:     ring.New[digestJob]("digests", digestQueueCapacity),
		digests:        newDigests(o.ID), appliedMembership: stored.Snapshot.Membership,
		repairWanted: make(chan struct{}, 2),
	}
	r.belongsToCluster.Store(stored.HardState.ClusterID != 0)
	r.joinMembers.Store(&o.JoinMembers)
	if odd := o.Repairs.beginOpening(stored.Snapshot.Index); odd != nil {
		o.Logger.Warn("stored copy of the state not used, it differs from the majority's", "id", o.ID, "snapshot", stored.Snapshot.Index,
			"index", odd.Index, "restored", odd.Restored)
		r.setGauge(metrics.StateOdd, 1)
		r.copyOdd.Store(odd)
		r.repairWanted <- struct{}{}
	}
	r.appliedIndex.Store(stored.Snapshot.Index)
	nodeStatus := node.Status()
	r.nodeStatus.Store(&nodeStatus)
	return r, nil
}

// toConsensusMembers converts members to those of the consensus node.
func toConsensusMembers(members []Member) []consensus.Member {
	var converted []consensus.Member
	for _, m := range members {
		converted = append(converted, consensus.Member{ID: m.ID, URL: m.URL})
	}
	return converted
}

// BelongsToCluster reports whether the data folder belongs to a cluster. What was not synced does not count.
func (r *Replica) BelongsToCluster() bool { return r.belongsToCluster.Load() }

func (r *Replica) Stats() *Stats { return &r.stats }

// BytesRead returns how many bytes of the journal were read at the start.
func (r *Replica) BytesRead() int64 { return r.journal.BytesRead() }
