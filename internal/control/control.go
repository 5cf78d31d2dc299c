// Package control implements a control host. It serves the directory, ledger,
// usage and administration APIs from the replicated log, collects heartbeats,
// and performs the duties of the leader while it holds the leader lease.
package control

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/admin"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/state"
	"golang.org/x/sync/errgroup"
)

// Options configure a control host.
type Options struct {
	StateMachine *state.Machine
	Log          replica.Log
	Logger       *slog.Logger
	Settings     Settings
	// Auth decides who may call the administration API; its zero value refuses
	// every caller.
	Auth admin.Auth
	// HTTPClient calls the leader; nil means unencrypted HTTP/2.
	HTTPClient *http.Client
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Server is one control host.
type Server struct {
	machine        *state.Machine
	log            replica.Log
	logger         *slog.Logger
	settings       Settings
	auth           admin.Auth
	httpClient     *http.Client
	now            func() time.Time
	ledgerQueue    *ring.Ring[*pendingOperation]
	loads          *loadTable
	heartbeats     *heartbeatBuffer
	loadChanges    *loadChangeLog
	checkpoints    checkpointCache
	subscribers    *subscriberRegistry
	leaderState    *leaderState
	leaderProgress *leaderProgress
	stopping       chan struct{}
	stopOnce       sync.Once
}

// New returns a control host. Its background tasks start with Run.
func New(o Options) *Server {
	settings := o.Settings.withDefaults()
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.HTTPClient == nil {
		o.HTTPClient = rpc.Client(nil)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Server{
		machine:        o.StateMachine,
		log:            o.Log,
		logger:         o.Logger,
		settings:       settings,
		auth:           o.Auth,
		httpClient:     o.HTTPClient,
		now:            o.Now,
		ledgerQueue:    ring.New[*pendingOperation]("ledger operations", settings.LedgerMaxQueuedOperations),
		loads:          newLoadTable(),
		heartbeats:     newHeartbeatBuffer(),
		loadChanges:    newLoadChangeLog(),
		subscribers:    newSubscriberRegistry(settings.MaxSubscribers),
		leaderState:    newLeaderState(settings),
		leaderProgress: newLeaderProgress(),
		stopping:       make(chan struct{}),
	}
}

// Handler serves the Directory, Ledger, Usage and Admin services.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	readLimit := connect.WithReadMaxBytes(rpc.MaxMessageBytes)
	mux.Handle(trefoilkeelv1connect.NewDirectoryServiceHandler(&directoryService{s}, readLimit))
	mux.Handle(trefoilkeelv1connect.NewLedgerServiceHandler(&ledgerService{s}, readLimit))
	mux.Handle(trefoilkeelv1connect.NewUsageServiceHandler(newUsageService(s), readLimit))
	mux.Handle(admin.NewHandler(&backend{s}, s.auth, s.logger))
	return mux
}

// Run runs the background tasks until ctx ends, then ends every open stream.
func (s *Server) Run(ctx context.Context) error {
	defer s.stopOnce.Do(func() { close(s.stopping) })
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runLedgerBatches(ctx) })
	group.Go(func() error {
		return s.runPeriodically(ctx, s.settings.ReportInterval, s.heartbeats.reportRequested, s.reportHeartbeats)
	})
	group.Go(func() error { return s.runPeriodically(ctx, s.settings.DigestInterval, nil, s.recordLoadChanges) })
	if s.settings.Placement != nil {
		group.Go(func() error { return s.runPeriodically(ctx, s.settings.PlacementInterval, nil, s.issuePlacementOrders) })
	}
	return group.Wait()
}

// runPeriodically runs task at each interval and on every receive from wake,
// until ctx ends.
func (s *Server) runPeriodically(ctx context.Context, interval time.Duration, wake <-chan struct{}, task func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-wake:
		}
		task(ctx)
	}
}

// leaderTerm returns the current term; ok reports whether this host is the
// leader with an unexpired leader lease.
func (s *Server) leaderTerm() (term uint64, ok bool) {
	term, until, ok := s.log.LeaderLease()
	return term, ok && s.now().Before(until)
}
