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
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// Defaults and bounds.
const (
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 8 << 20
	MaxCommandBytes        = 8 << 20

	tickInterval   = 50 * time.Millisecond
	proposalSlots  = 4096
	messageSlots   = 1024
	applySlots     = 16
	peerSlots      = 256
	controlSlots   = 16
	snapshotSlots  = 4
	trailingShare  = 4       // one in so many entries is kept behind a snapshot
	maxApplyCount  = 1024    // entries handed to the state machine at once
	maxApplyBytes  = 4 << 20 // bytes of them
	maxDrain       = 1024    // inputs taken before output is sent
	maxPeerBytes   = 256 << 20
	stepTimeout    = 2 * time.Second
	installTimeout = time.Minute
	leaderWait     = 3 * time.Second
	retryInterval  = 20 * time.Millisecond
)

// Options sets up a replica.
type Options struct {
	ID        uint64
	ClusterID string
	Dir       string // data folder; "" for an ephemeral host, which keeps its log in memory
	SelfURL   string
	// Members are the initial hosts of the settings, this one included.
	Members []Member
	// Bootstrap lets the initial hosts form a new cluster once every one of
	// them says that its data folder is empty. A host with an empty folder
	// joins an existing cluster as a learner in any case.
	Bootstrap bool
	// Ephemeral says that the host has no disk: it follows and does not vote.
	Ephemeral bool
	// Leaseless says that reads are confirmed and Leading is not asked: see
	// consensus.Config.
	Leaseless bool
	// Open admits every host that asks to join.
	Open bool
	// MinVoters is how many voters there are meant to be at least; see
	// consensus.Config.
	MinVoters int
	Machine   StateMachine
	HTTP      *http.Client // nil for the default client
	Logger    *slog.Logger

	Heartbeat       time.Duration // 0 for the default
	ElectionTimeout time.Duration // 0 for the default
	SnapshotEntries uint64        // entries between snapshots, 0 for the default
	SnapshotBytes   int           // bytes of commands between snapshots, 0 for the default
	StepTimeout     time.Duration // of one delivery to another host, 0 for the default
}

// withDefaults fills in what is not set.
func (o Options) withDefaults() Options {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.StepTimeout == 0 {
		o.StepTimeout = stepTimeout
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	return o
}

// OptionsError says that a replica can't be set up as asked.
type OptionsError struct {
	Field  string
	Reason string
}

// Error names the field.
func (e *OptionsError) Error() string { return "replica option " + e.Field + ": " + e.Reason }

// check refuses options that can't work.
func (o Options) check() error {
	self := slices.IndexFunc(o.Members, func(m Member) bool { return m.ID == o.ID })
	switch {
	case o.ID == 0:
		return &OptionsError{Field: "ID", Reason: "must not be 0"}
	case o.Dir == "" && !o.Ephemeral:
		return &OptionsError{Field: "Dir", Reason: "must name the data folder"}
	case o.Machine == nil:
		return &OptionsError{Field: "Machine", Reason: "is missing"}
	case o.Bootstrap && self < 0:
		return &OptionsError{Field: "Members", Reason: "must list this host to form a cluster"}
	}
	return nil
}

// Replica is one replica of the log. Run drives it.
type Replica struct {
	options Options
	logger  *slog.Logger
	journal store
	node    *consensus.Node // owned by the step duty after Run
	epoch   time.Time       // zero of the node's clock
	stop    chan struct{}   // closed when Run has returned
	started atomic.Bool     // Run was called

	messages  *ring.Ring[[]consensus.Message]
	proposals *ring.Ring[*proposal]
	controls  *ring.Ring[*control]
	writes    *ring.Ring[journalJob]
	written   *ring.Ring[journalJob]
	applies   *ring.Ring[applyJob]
	snapshots *ring.Ring[machineSnapshot]
	installs  *ring.Ring[consensus.Message]

	view    atomic.Pointer[consensus.View]
	applied atomic.Uint64
	waiting waiters
	seeds   atomic.Pointer[[]Member]
	learned sync.Map // id to base URL, as told by the host itself
	clients sync.Map // base URL to client

	stats Stats
}

// Stats counts what a replica did since its start.
type Stats struct {
	Syncs        atomic.Uint64 // synced writes of the journal
	Entries      atomic.Uint64 // entries in them
	StepsSent    atomic.Uint64 // requests to other hosts
	MessagesSent atomic.Uint64 // messages in them
	Dropped      atomic.Uint64 // messages dropped because a host did not keep up
	Snapshots    atomic.Uint64 // snapshots taken of the state machine
}

// store keeps what a replica must not lose; see package journal.
type store interface {
	Identity() journal.Identity
	BytesRead() int64
	Write(s *consensus.Save) error
	WriteSnapshot(s consensus.Snapshot, compactTo uint64) error
	ReadSnapshot() (consensus.Snapshot, error)
	Close() error
}

// openStore opens the data folder, or a journal in memory without a disk.
func openStore(o Options) (store, consensus.Stored, error) {
	if !o.Ephemeral {
		return journal.Open(o.Dir, o.ClusterID, o.ID)
	}
	memory, err := journal.OpenMemory(o.ClusterID, o.ID)
	return memory, consensus.Stored{}, err
}

// Open opens the data folder and restores the state machine from the newest
// snapshot. Errors are *OptionsError or those of package journal.
func Open(options Options) (*Replica, error) {
	o := options.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	j, stored, err := openStore(o)
	if err != nil {
		return nil, err
	}
	r, err := assemble(o, j, stored)
	if err != nil {
		return nil, errors.CombineErrors(err, j.Close())
	}
	o.Logger.Info("replica opened", "id", o.ID, "disk", j.Identity().Disk, "term", stored.Hard.Term,
		"snapshot", stored.Snapshot.Index, "entries", len(stored.Entries), "bytes", j.BytesRead(),
		"empty", stored.Hard.Formation == 0)
	return r, nil
}

// assemble builds the replica over an open journal.
func assemble(o Options, j store, stored consensus.Stored) (*Replica, error) {
	if stored.Snapshot.Index > 0 {
		if err := o.Machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "restore the state machine")
		}
	}
	identity := j.Identity()
	config := consensus.Config{ID: o.ID, Disk: identity.Disk, Run: identity.Run, URL: o.SelfURL,
		Bootstrap: o.Bootstrap, Ephemeral: o.Ephemeral, Leaseless: o.Leaseless, Open: o.Open, MinVoters: o.MinVoters, Heartbeat: o.Heartbeat, ElectionTimeout: o.ElectionTimeout,
		Seed: identity.Disk ^ identity.Run}
	for _, m := range o.Members {
		config.Peers = append(config.Peers, consensus.Member{ID: m.ID, URL: m.URL})
	}
	node, err := consensus.New(config, stored, 0)
	if err != nil {
		return nil, err
	}
	r := &Replica{options: o, logger: o.Logger, journal: j, node: node, epoch: time.Now(),
		stop:      make(chan struct{}),
		messages:  ring.New[[]consensus.Message]("messages", messageSlots),
		proposals: ring.New[*proposal]("proposals", proposalSlots),
		controls:  ring.New[*control]("controls", controlSlots),
		writes:    ring.New[journalJob]("writes", 1),
		written:   ring.New[journalJob]("written", 1),
		applies:   ring.New[applyJob]("applies", applySlots),
		snapshots: ring.New[machineSnapshot]("snapshots", 1),
		installs:  ring.New[consensus.Message]("installs", snapshotSlots),
	}
	r.seeds.Store(&o.Members)
	r.applied.Store(stored.Snapshot.Index)
	view := node.View()
	r.view.Store(&view)
	return r, nil
}

// Stats returns the counters.
func (r *Replica) Stats() *Stats { return &r.stats }

// BytesRead is how many bytes of the journal were read at the start.
func (r *Replica) BytesRead() int64 { return r.journal.BytesRead() }
