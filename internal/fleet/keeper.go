package fleet

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Bounds of opening a data folder again after its disk failed.
const (
	firstReopen = 200 * time.Millisecond
	maxReopen   = time.Second
)

// Times of the log.
const (
	// electionTimeout is how long a leader may be silent: several times the
	// slowest sync of a slow disk, and short beside the callers' deadlines.
	electionTimeout = 320 * time.Millisecond
	heartbeat       = 100 * time.Millisecond
	// deliverTimeout is after how long a silent connection to another host is
	// given up.
	deliverTimeout = 800 * time.Millisecond
)

// Keeper keeps a replica open: one whose disk failed is opened again, while the
// process goes on with what needs no disk. It is a Log.
type Keeper struct {
	options replica.Options
	logger  *slog.Logger
	current atomic.Pointer[opened]
	members atomic.Pointer[[]replica.Member]
}

// opened is a replica with its handler.
type opened struct {
	*replica.Replica
	path    string
	handler http.Handler
}

// NewKeeper returns a keeper of a replica with the options. Hosts join through
// the members of the options, which need not list them; reads are confirmed, so
// that no leader lease is kept.
func NewKeeper(o replica.Options) *Keeper {
	o.Open, o.Leaseless = true, true
	o.Heartbeat, o.ElectionTimeout, o.StepTimeout = heartbeat, electionTimeout, deliverTimeout
	k := &Keeper{options: o, logger: o.Logger}
	k.members.Store(&o.Members)
	return k
}

// ClosedError says that the data folder is not open now.
type ClosedError struct{}

// Error says so.
func (e *ClosedError) Error() string { return "the data folder is not open" }

// Run keeps the replica open until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	pause := firstReopen
	for ctx.Err() == nil {
		began := time.Now()
		err := k.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(began) > maxReopen {
			pause = firstReopen
		}
		k.logger.Error("data folder failed, opening it again", "folder", k.options.Dir, "error", err, "pause_ms", pause.Milliseconds())
		if !wait.For(ctx, pause) {
			return nil
		}
		pause = min(2*pause, maxReopen)
	}
	return nil
}

// runOnce opens the replica and drives it until it fails.
func (k *Keeper) runOnce(ctx context.Context) error {
	options := k.options
	options.Members = *k.members.Load()
	r, err := replica.Open(options)
	if err != nil {
		return err
	}
	path, handler := r.Handler()
	k.current.Store(&opened{Replica: r, path: path, handler: handler})
	defer k.current.Store(nil)
	return r.Run(ctx)
}

// Handler serves the other hosts at the path.
func (k *Keeper) Handler(path string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if open := k.current.Load(); open != nil {
			open.handler.ServeHTTP(w, r)
			return
		}
		http.Error(w, (&ClosedError{}).Error(), http.StatusServiceUnavailable)
	})
}

// SetMembers replaces the hosts to join through.
func (k *Keeper) SetMembers(ctx context.Context, members []replica.Member) error {
	k.members.Store(&members)
	if open := k.current.Load(); open != nil {
		return open.SetMembers(ctx, members)
	}
	return nil
}

// Propose appends a command; see replica.Replica.
func (k *Keeper) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if open := k.current.Load(); open != nil {
		return open.Propose(ctx, command)
	}
	return nil, &ClosedError{}
}

// Confirm waits until this host has applied all that was acknowledged.
func (k *Keeper) Confirm(ctx context.Context) error {
	if open := k.current.Load(); open != nil {
		return open.Confirm(ctx)
	}
	return &ClosedError{}
}

// Status describes the replica.
func (k *Keeper) Status() replica.Status {
	if open := k.current.Load(); open != nil {
		return open.Status()
	}
	return replica.Status{ID: k.options.ID, Reason: (&ClosedError{}).Error()}
}

// TransferLeadership hands over before a planned stop.
func (k *Keeper) TransferLeadership(ctx context.Context) error {
	if open := k.current.Load(); open != nil {
		return open.TransferLeadership(ctx)
	}
	return nil
}
