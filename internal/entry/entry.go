// Package entry implements an entry host, which forwards the requests of callers directly
// to endpoints. It follows the control hosts, holds the newest configuration, and
// reports whether it is ready for callers.
package entry

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/fleet"
	"github.com/trefoilkeel/trefoilkeel/internal/forward"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/retry"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Timing of an entry's background tasks and waits.
const (
	maintenanceInterval = time.Second
	// maxEndpointWait is how long after its first configuration a new entry waits until
	// each service has an endpoint and each control host is live. Then it counts as
	// ready without them.
	maxEndpointWait   = 1500 * time.Millisecond
	readyPollInterval = 50 * time.Millisecond
	// firstConfigurationTimeout is how long a request waits for the first configuration,
	// which arrives once the control hosts have elected a leader.
	firstConfigurationTimeout = 900 * time.Millisecond
	// maxRefusalWait is how long a request that the configuration in force doesn't allow waits for a control host to
	// confirm it or for a newer one: longer than the time between two events of a watch. maxRefusalWaiters limits the
	// requests that wait so; callers need no key for it.
	maxRefusalWait    = 500 * time.Millisecond
	maxRefusalWaiters = 256
)

// Options configures an Entry.
type Options struct {
	Name          string
	FailureDomain string
	ControlURLs   []string     // base URLs of the first control hosts to contact
	HTTPClient    *http.Client // to the control hosts
	Dialect       forward.Dialect
	Balance       balance.Config
	RetryBudget   *retry.Budget
	// DecodeDocument parses a configuration from the encoding in which it was stored.
	DecodeDocument func(content []byte) (*catalog.Document, error)
	Logger         *slog.Logger
	Metrics        *metrics.Registry // nil for one that is not published
	// MaxConnections is the number of callers' connections at most, and HeadMemoryBytes the memory that the heads of their
	// requests may take together. 0: the defaults.
	MaxConnections  int
	HeadMemoryBytes int64
	// UsageWindow is the length of the windows in which requests that began to run are counted,
	// and UsageRetention how long after its end a window is kept for the control hosts. 0: usage
	// is not counted.
	UsageWindow, UsageRetention time.Duration
}

// Entry forwards the requests of callers. It is safe for concurrent use.
type Entry struct {
	options  Options
	router   *forward.Router
	follower *fleet.Follower
	index    atomic.Pointer[catalog.Index]
	stopping atomic.Bool
	ready    atomic.Bool
	refusals chan struct{} // has an element for each request that waits in ConfirmIndex

	configuring sync.Mutex                                       // held while the configuration or the number of entries changes
	configure   func(document *catalog.Document, entryCount int) // applies both to the router

	mu           sync.Mutex
	entryCount   int
	configuredAt time.Time     // when the first configuration was applied
	configured   chan struct{} // closed with the first configuration

	usage              *usageCounter   // nil if usage is not counted
	quarantined        map[uint64]bool // prompt parts, by the control hosts
	isolatedQuarantine map[uint64]bool // prompt parts, by this entry alone
}

// New returns an entry without a configuration.
func New(o Options) *Entry {
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	e := &Entry{options: o, entryCount: 1, configured: make(chan struct{}), refusals: make(chan struct{}, maxRefusalWaiters)}
	e.follower = fleet.NewFollower(fleet.FollowerOptions{EntryName: o.Name, FailureDomain: o.FailureDomain, SeedURLs: o.ControlURLs, HTTPClient: o.HTTPClient, Consumer: e, Logger: o.Logger})
	routerOptions := forward.Options{Balance: o.Balance, RetryBudget: o.RetryBudget, Dialect: o.Dialect, StreamFinder: e.follower, Logger: o.Logger, Metrics: o.Metrics}
	if o.UsageWindow > 0 {
		e.usage = newUsageCounter(o.UsageWindow, o.UsageRetention, o.Logger)
		routerOptions.OnBegan = e.usage.add
	}
	e.router = forward.New(routerOptions)
	e.configure = e.router.Configure
	return e
}

// ApplyDocument applies a newer configuration. It was validated before it was stored, perhaps by another build.
// An error, that of decoding it, means that the previous one is still in force.
func (e *Entry) ApplyDocument(version uint64, content []byte) error {
	d, err := e.options.DecodeDocument(content)
	if err != nil {
		e.options.Logger.Error("configuration not decoded, keeping the previous one", "version", version, "error", err)
		return errors.Wrapf(err, "decode configuration %d", version)
	}
	index := catalog.NewIndex(d)
	e.follower.SetServices(d.ServiceNames()) // not under configuring: the follower calls SetEntryCount under its lock
	e.configuring.Lock()
	defer e.configuring.Unlock()
	e.configure(d, e.EntryCount()) // before a request can be forwarded by the index
	e.index.Store(index)
	e.mu.Lock()
	if e.configuredAt.IsZero() {
		e.configuredAt = time.Now()
		close(e.configured)
	}
	e.mu.Unlock()
	e.options.Metrics.SetGauge(metrics.Revision, int64(version))
	e.options.Logger.Info("configuration in force", "version", version, "routes", len(d.Routes), "services", len(d.Services), "workspaces", len(d.Workspaces), "idle_timeout_ms", d.Limits.IdleTimeout.Milliseconds())
	return nil
}

// UpdateEndpoints applies changes of the endpoint directory.
func (e *Entry) UpdateEndpoints(changed []directory.Endpoint) {
	e.router.UpdateEndpoints(changed)
	for _, c := range changed {
		e.options.Logger.Info("endpoint known", "endpoint", c.ID, "state", c.State.String(), "service", c.Service,
			"address", c.Address, "born", c.StartedUnixMS, "sequence", c.Sequence)
	}
}

// SetServedVersions replaces the software versions that control hosts have recorded; true is one that a
// majority has.
func (e *Entry) SetServedVersions(versions map[origin.Origin]bool) {
	e.router.SetServedVersions(versions)
}

// SetQuarantinedParts replaces the prompt parts that the control hosts keep from endpoints.
func (e *Entry) SetQuarantinedParts(parts map[uint64]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quarantined = parts
	e.updateQuarantine()
}

// setIsolatedQuarantine replaces the prompt parts that this entry keeps from endpoints by itself.
func (e *Entry) setIsolatedQuarantine(parts map[uint64]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !maps.Equal(parts, e.isolatedQuarantine) {
		e.isolatedQuarantine = maps.Clone(parts)
		e.updateQuarantine()
	}
}

// updateQuarantine requires the lock.
func (e *Entry) updateQuarantine() {
	parts := map[uint64]bool{}
	maps.Copy(parts, e.quarantined)
	maps.Copy(parts, e.isolatedQuarantine)
	e.router.SetQuarantinedParts(parts)
	e.options.Metrics.SetGauge(metrics.QuarantinedParts, int64(len(parts)))
	e.options.Logger.Info("quarantined prompt parts known", "count", len(parts), "isolated", len(e.isolatedQuarantine))
}

// SetEntryCount sets the number of entries among which the retry budget and the limits of
// connections are divided.
func (e *Entry) SetEntryCount(count int) {
	e.configuring.Lock()
	defer e.configuring.Unlock()
	e.mu.Lock()
	e.entryCount = count
	e.mu.Unlock()
	if index := e.index.Load(); index != nil {
		e.configure(index.Document, count)
	}
}

// EntryCount returns the number of entries among which limits are divided.
func (e *Entry) EntryCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entryCount
}

// Index returns the configuration in force, or nil.
func (e *Entry) Index() *catalog.Index { return e.index.Load() }

// AwaitIndex returns the configuration in force. Without one it waits for the first, and
// returns nil after firstConfigurationTimeout.
func (e *Entry) AwaitIndex(ctx context.Context) *catalog.Index {
	if index := e.index.Load(); index != nil {
		return index
	}
	timer := time.NewTimer(firstConfigurationTimeout)
	defer timer.Stop()
	select {
	case <-e.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.index.Load()
}

// Serve answers a request; see forward.Router.
func (e *Entry) Serve(ctx context.Context, w http.ResponseWriter, r *forward.Request) error {
	return e.router.Serve(ctx, w, r)
}

// SetControlURLs replaces the base URLs of the control hosts to contact first.
func (e *Entry) SetControlURLs(urls []string) { e.follower.SetSeedURLs(urls) }

// balancerNoticeTime is how long a load balancer takes to turn new connections away from a stopping
// entry: two checks a second apart. It is limited to the time until the deadline divided by
// noticeTimeDivisor.
const (
	balancerNoticeTime = 2 * time.Second
	noticeTimeDivisor  = 3
)

// Stop marks the entry as stopping and not ready. It still serves until the deadline, but no requests
// that may outlast it; see forward.Stop.
func (e *Entry) Stop(deadline time.Time) {
	now := time.Now()
	e.router.SetStop(forward.Stop{NoticedAt: now.Add(min(balancerNoticeTime, deadline.Sub(now)/noticeTimeDivisor)), Deadline: deadline})
	e.stopping.Store(true)
}

// Stopping reports whether a stop has begun.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// Ready reports whether callers may be sent here. An entry that was ready stays so when
// it loses the control hosts, and uses its last configuration.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.Stopping() }

// Run follows the control hosts and exchanges load until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.follower.Run(ctx) })
	group.Go(func() error { return e.awaitReady(ctx) })
	group.Go(func() error {
		wait.Every(ctx, maintenanceInterval, func() { e.router.CloseUnusedConnections(time.Now()); e.updateMetrics() })
		return nil
	})
	x := &loadExchange{exchanger: e.follower, entry: e, usage: e.usage}
	group.Go(func() error { return x.run(ctx) })
	return group.Wait()
}

// awaitReady marks the entry as ready once it has a confirmed configuration and the
// endpoints, see maxEndpointWait.
func (e *Entry) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		e.mu.Lock()
		configuredAt := e.configuredAt
		e.mu.Unlock()
		status := e.follower.Status()
		if configuredAt.IsZero() || !status.Confirmed {
			continue
		}
		if age := time.Since(configuredAt); e.allServicesHaveEndpoints() && status.LiveHostCount == status.FollowedHostCount || age > maxEndpointWait {
			e.ready.Store(true)
			e.options.Logger.Info("ready", "version", status.DocumentVersion, "endpoints", status.EndpointCount,
				"control_hosts", status.LiveHostCount, "control_hosts_known", status.FollowedHostCount, "waited_ms", age.Milliseconds())
			return nil
		}
	}
}

// allServicesHaveEndpoints reports whether every service has an endpoint.
func (e *Entry) allServicesHaveEndpoints() bool {
	for _, s := range e.index.Load().Document.Services {
		if !e.router.HasEndpoints(s.Name) {
			return false
		}
	}
	return true
}

// updateMetrics sets the metrics of the follower and of the connections to endpoints.
func (e *Entry) updateMetrics() {
	status := e.follower.Status()
	e.options.Metrics.SetGauge(metrics.Endpoints, int64(status.EndpointCount))
	e.options.Metrics.SetGauge(metrics.LiveControlHosts, int64(status.LiveHostCount))
	e.options.Metrics.SetGauge(metrics.RevisionAnnounced, int64(status.AnnouncedVersion))
	if !status.ConfirmedAt.IsZero() {
		e.options.Metrics.SetGauge(metrics.RevisionAgeMS, time.Since(status.ConfirmedAt).Milliseconds())
	}
	connections := e.router.ConnectionStats()
	e.options.Metrics.SetGauge(metrics.UpstreamDials, connections.Dials)
	e.options.Metrics.SetGauge(metrics.UpstreamReuses, connections.Reuses)
}
