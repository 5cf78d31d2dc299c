// Package control is the shell of a control host: it serves the directory,
// the ledger and the administration API over the replicated log, gathers
// heartbeats, and acts as the leader while it holds the leader lease.
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
	Machine  *state.Machine
	Log      replica.Log
	Logger   *slog.Logger
	Settings Settings
	// Auth tells who may call the administration API; its zero value refuses
	// everyone.
	Auth admin.Auth
	// HTTP reaches the leader; nil means unencrypted HTTP/2.
	HTTP *http.Client
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Server is one control host.
type Server struct {
	machine     *state.Machine
	log         replica.Log
	logger      *slog.Logger
	settings    Settings
	auth        admin.Auth
	http        *http.Client
	now         func() time.Time
	operations  *ring.Ring[*operation]
	loads       *loads
	beats       *beats
	digests     *digests
	checkpoints checkpoints
	subscribers *subscribers
	leader      *leader
	fresh       *freshness
	stopping    chan struct{}
	stopOnce    sync.Once
}

// New returns a control host; Run does its duties.
func New(o Options) *Server {
	settings := o.Settings.withDefaults()
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.HTTP == nil {
		o.HTTP = rpc.Client(nil)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Server{
		machine:     o.Machine,
		log:         o.Log,
		logger:      o.Logger,
		settings:    settings,
		auth:        o.Auth,
		http:        o.HTTP,
		now:         o.Now,
		operations:  ring.New[*operation]("ledger operations", settings.LedgerQueue),
		loads:       newLoads(),
		beats:       newBeats(),
		digests:     newDigests(),
		subscribers: newSubscribers(settings.MaxSubscribers),
		leader:      newLeader(settings),
		fresh:       newFreshness(),
		stopping:    make(chan struct{}),
	}
}

// Handler serves the Directory, Ledger, Usage and Admin services.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	bound := connect.WithReadMaxBytes(rpc.MaxMessageBytes)
	mux.Handle(trefoilkeelv1connect.NewDirectoryServiceHandler(&directoryService{s}, bound))
	mux.Handle(trefoilkeelv1connect.NewLedgerServiceHandler(&ledgerService{s}, bound))
	mux.Handle(trefoilkeelv1connect.NewUsageServiceHandler(newUsageService(s), bound))
	mux.Handle(admin.NewHandler(&backend{s}, s.auth, s.logger))
	return mux
}

// Run does the duties of the host until ctx ends; then every stream is ended.
func (s *Server) Run(ctx context.Context) error {
	defer s.stopOnce.Do(func() { close(s.stopping) })
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.batchLedger(ctx) })
	group.Go(func() error { return s.every(ctx, s.settings.ReportInterval, s.beats.wake, s.report) })
	group.Go(func() error { return s.every(ctx, s.settings.DigestInterval, nil, s.digest) })
	if s.settings.Placement != nil {
		group.Go(func() error { return s.every(ctx, s.settings.PlacementInterval, nil, s.place) })
	}
	return group.Wait()
}

// every does a duty at each interval, and at once when woken, until ctx ends.
func (s *Server) every(ctx context.Context, d time.Duration, wake <-chan struct{}, duty func(context.Context)) error {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-wake:
		}
		duty(ctx)
	}
}

// leading tells whether this host may act as the leader now, and in which term.
func (s *Server) leading() (term uint64, ok bool) {
	term, until, ok := s.log.Leading()
	return term, ok && s.now().Before(until)
}
