package fleet

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Delays before a data folder is reopened after its disk failed.
const (
	minReopenDelay = 200 * time.Millisecond
	maxReopenDelay = time.Second
)

// blockedLogInterval is how often an error that lasts until an operator acts is logged again.
const blockedLogInterval = time.Minute

// Timing of the replicated log.
const (
	// electionTimeout is how long a leader may be silent: several times the slowest
	// sync of a slow disk, and much shorter than the callers' deadlines.
	electionTimeout   = 320 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// stepTimeout limits one request that delivers log messages to another host.
	stepTimeout = 800 * time.Millisecond
)

// ReplicaSupervisor runs a replica and reopens it after its disk failed, while the
// process goes on with the work that needs no disk. Each opening has a state machine of its own. A
// ReplicaSupervisor is a ReplicatedLog and its StateSource.
type ReplicaSupervisor struct {
	options     replica.Options
	logger      *slog.Logger
	publishing  sync.Mutex // of current
	current     atomic.Pointer[opening]
	joinMembers atomic.Pointer[[]replica.Member] // hosts to request admission from
	// formerMember is whether the data folder of an earlier opening belonged to a cluster. Only Run uses it.
	formerMember bool
}

// opening is an open replica with its handler and state machine, or none of them while the data
// folder is not open. It has no state machine while that differs from the majority's.
type opening struct {
	*replica.Replica
	handler  http.Handler
	machine  *document.StateMachine
	upToDate bool          // see StateView
	replaced chan struct{} // closed once another opening takes its place
}

// NewReplicaSupervisor returns a supervisor for a replica with the options; it sets
// NewStateMachine itself. Each read is confirmed by a quorum, so no leader lease is used.
func NewReplicaSupervisor(o replica.Options) *ReplicaSupervisor {
	o.AdmitUnknownHosts, o.DisableLease, o.Repairs = true, true, &replica.Repairs{}
	o.HeartbeatInterval, o.ElectionTimeout, o.StepTimeout = heartbeatInterval, electionTimeout, stepTimeout
	s := &ReplicaSupervisor{options: o, logger: o.Logger}
	s.joinMembers.Store(&o.JoinMembers)
	s.current.Store(&opening{replaced: make(chan struct{})})
	return s
}

// DataFolderClosedError reports that the data folder is not open at present.
type DataFolderClosedError struct{}

func (e *DataFolderClosedError) Error() string { return "the data folder is not open" }

// Run runs the replica, and reopens it after each failure, until ctx ends.
func (s *ReplicaSupervisor) Run(ctx context.Context) error {
	delay := minReopenDelay
	closedAt := time.Now()
	var blocked blockedLog
	for ctx.Err() == nil {
		began := time.Now()
		opened, err := s.runOnce(ctx, closedAt)
		if ctx.Err() != nil {
			return nil
		}
		if opened {
			closedAt = time.Now()
		}
		if time.Since(began) > maxReopenDelay {
			delay = minReopenDelay
		}
		s.countFailure()
		if !opened && replica.NeedsOperator(err) {
			s.setGauge(metrics.LogBlocked, 1)
			if blocked.isDue(err, time.Now()) {
				s.logger.Error("data folder can't be opened until an operator acts", "folder", s.options.DataDir, "error", err)
			}
		} else {
			s.setGauge(metrics.LogBlocked, 0)
			s.logger.Error("data folder failed, opening it again", "folder", s.options.DataDir, "error", err, "pause_ms", delay.Milliseconds())
		}
		if !wait.For(ctx, delay) {
			return nil
		}
		delay = min(2*delay, maxReopenDelay)
	}
	return nil
}

// countFailure counts a failure of the data folder.
func (s *ReplicaSupervisor) countFailure() {
	if s.options.Metrics != nil {
		s.options.Metrics.AddToCounter(metrics.LogFailures, 1)
	}
}

func (s *ReplicaSupervisor) setGauge(name string, value int64) {
	if s.options.Metrics != nil {
		s.options.Metrics.SetGauge(name, value)
	}
}

// blockedLog keeps an error that every opening returns from filling the log.
type blockedLog struct {
	message  string
	loggedAt time.Time
}

// isDue reports whether an error is to be logged now, which it is if it is another one than the last or that was logged long ago.
func (l *blockedLog) isDue(err error, now time.Time) bool {
	if err.Error() == l.message && now.Sub(l.loggedAt) < blockedLogInterval {
		return false
	}
	l.message, l.loggedAt = err.Error(), now
	return true
}

// runOnce opens the replica and runs it until it fails. It reports whether the data folder was opened, which was closed
// at closedAt.
func (s *ReplicaSupervisor) runOnce(ctx context.Context, closedAt time.Time) (opened bool, err error) {
	options := s.options
	options.JoinMembers, options.FormerMember = *s.joinMembers.Load(), s.formerMember
	var restored *document.StateMachine // by Open
	options.NewStateMachine = func() replica.StateMachine {
		machine := document.New()
		if restored == nil {
			restored = machine
		}
		return machine
	}
	var publish func(machine *document.StateMachine)
	options.OnState = func(m replica.StateMachine) {
		machine, _ := m.(*document.StateMachine)
		publish(machine)
	}
	r, err := replica.Open(options)
	if err != nil {
		return false, err
	}
	s.logger.Info("data folder open", "folder", s.options.DataDir, "closed_ms", time.Since(closedAt).Milliseconds())
	s.setGauge(metrics.LogBlocked, 0)
	s.setGauge(metrics.LogOpen, 1)
	_, handler := r.Handler()
	ctx, cancel := context.WithCancel(ctx)
	var confirms sync.WaitGroup
	closed := false // guarded by publishing
	publish = func(machine *document.StateMachine) {
		s.publishing.Lock()
		defer s.publishing.Unlock()
		if closed { // the copy was given up in a request that outlives this opening
			return
		}
		o := s.replace(opening{Replica: r, handler: handler, machine: machine})
		if machine != nil {
			confirms.Go(func() { s.confirm(ctx, o) })
		}
	}
	if r.CopyOdd() == nil {
		publish(restored)
	} else {
		publish(nil)
	}
	s.publishing.Lock()
	r.SetJoinMembers(*s.joinMembers.Load()) // which may have changed before this opening was published
	s.publishing.Unlock()
	defer func() {
		s.publishing.Lock()
		closed = true
		s.replace(opening{})
		s.publishing.Unlock()
		cancel()
		confirms.Wait()
		s.formerMember = s.formerMember || r.BelongsToCluster()
		s.setGauge(metrics.LogOpen, 0)
	}()
	return true, r.Run(ctx)
}

// confirm marks an opening as up to date once its read barrier has succeeded.
func (s *ReplicaSupervisor) confirm(ctx context.Context, o *opening) {
	if !retryBarrier(ctx, o.ReadBarrier) {
		return
	}
	s.publishing.Lock()
	defer s.publishing.Unlock()
	if s.current.Load() == o {
		s.replace(opening{Replica: o.Replica, handler: o.handler, machine: o.machine, upToDate: true})
	}
}

// replace makes an opening take the place of the present one. The caller holds the lock publishing.
func (s *ReplicaSupervisor) replace(o opening) *opening {
	o.replaced = make(chan struct{})
	old := s.current.Load()
	s.current.Store(&o)
	close(old.replaced)
	return &o
}

// running returns the present opening, nil while the data folder is not open.
func (s *ReplicaSupervisor) running() *opening {
	if o := s.current.Load(); o.Replica != nil {
		return o
	}
	return nil
}

// State returns the state machine of the present opening.
func (s *ReplicaSupervisor) State() StateView {
	o := s.current.Load()
	view := StateView{Machine: o.machine, UpToDate: o.upToDate, Replaced: o.replaced}
	if o.machine == nil && o.Replica != nil {
		view.Reason = o.CopyOdd()
	}
	return view
}

// Handler serves the requests of the other hosts on every path; the argument is ignored. While the data folder is not
// open, it tells them that a request had no effect and may be repeated at once.
func (s *ReplicaSupervisor) Handler(path string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if running := s.running(); running != nil {
			running.handler.ServeHTTP(w, r)
			return
		}
		replica.Refuse(w, &DataFolderClosedError{})
	})
}

// SetJoinMembers replaces the hosts to request admission from, also when the replica is
// reopened later.
func (s *ReplicaSupervisor) SetJoinMembers(members []replica.Member) {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.joinMembers.Store(&members)
	if running := s.running(); running != nil {
		running.SetJoinMembers(members)
	}
}

// Propose appends a command; see replica.Replica.Propose.
func (s *ReplicaSupervisor) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if running := s.running(); running != nil {
		return running.Propose(ctx, command)
	}
	return nil, &DataFolderClosedError{}
}

// ReadBarrier waits until this host has applied everything that was acknowledged before
// the call; see replica.Replica.ReadBarrier.
func (s *ReplicaSupervisor) ReadBarrier(ctx context.Context) error {
	if running := s.running(); running != nil {
		return running.ReadBarrier(ctx)
	}
	return &DataFolderClosedError{}
}

// Status returns the status of the replica, or why there is none.
func (s *ReplicaSupervisor) Status() replica.Status {
	if running := s.running(); running != nil {
		return running.Status()
	}
	return replica.Status{ID: s.options.ID, UnavailableReason: (&DataFolderClosedError{}).Error()}
}

// TransferLeadership hands leadership to another host before a planned stop.
func (s *ReplicaSupervisor) TransferLeadership(ctx context.Context) error {
	if running := s.running(); running != nil {
		return running.TransferLeadership(ctx)
	}
	return nil
}
