// Package forward is a reverse proxy that sends requests to endpoints directly.
// Package balance selects the endpoint of each attempt, package retry decides
// what follows a failed one. Bodies are passed through without being parsed;
// only the route's settings and the token counts of the request are used.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/admission"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/retry"
	"github.com/trefoilkeel/trefoilkeel/internal/upstream"
)

// Request is a caller's request.
type Request struct {
	ID                   string
	Workspace            string // "" on a public route
	Route                *catalog.Route
	Service              string
	Method               string
	RequestURI           string // path and query, byte for byte as received
	Host                 string
	Header               http.Header // forwarded to the endpoint
	Body                 []byte
	ReceivedAt           time.Time
	Deadline             time.Time            // earlier of the caller's time budget and the route's timeout
	PromptTokens         int                  // prompt length in tokens, 0 if not known
	PromptParts          []balance.PromptPart // in the order of the prompt
	ExpectedOutputTokens int                  // 0 if not known
	Urgency              int                  // priority at the endpoint, 0 is served first
	LastEventID          string               // id of the last stream event that the caller received, "" for none
	ResumedID            string               // ID of the request that brought the first event of the stream that the caller takes up, "" for none
}

// ResponseMetadata is decoded from the status and header of an endpoint's response.
type ResponseMetadata struct {
	RequestID    string        // of the request that was answered
	HasSignature bool          // the signature header is present; the signature is not verified here
	NotRun       bool          // the endpoint states that it did not run the request
	Leaving      bool          // the endpoint states that it leaves
	Hold         time.Duration // how long the endpoint wants no requests, 0 if it does not say
	Limit        EndpointLimit
	Load         balance.ReportedLoad
}

// EndpointLimit is what a response says of the rate of requests that its endpoint takes from
// all entry hosts together.
type EndpointLimit struct {
	Stated            bool // false if the response says nothing that can be read
	Limited           bool
	RequestsPerSecond float64
}

// Dialect maps requests and responses to the headers that endpoints use.
type Dialect interface {
	// AttemptHeader returns the header of the request that an attempt sends.
	AttemptHeader(r *Request, a Attempt) http.Header
	// DecodeResponse decodes the status and header of a response.
	DecodeResponse(response *http.Response) ResponseMetadata
}

// Attempt holds what an endpoint receives with the request and what differs
// between its attempts.
type Attempt struct {
	Endpoint          string        // id of the selected endpoint
	TimeRemaining     time.Duration // until the deadline
	LastEventID       string        // id of the event after which the stream resumes, "" for the start
	CopySourceAddress string        // address of an endpoint to copy cached prompt parts from, "" for none
}

// RequestError is the error of a request of which nothing was written to the caller.
// The entry host answers it itself.
type RequestError struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // 0 for none
}

// Reason classifies a failed request, and tells whether it can have run.
type Reason string

// With the first five reasons the request did not run and will not run.
const (
	NoEndpoint         Reason = "no_endpoint"     // no endpoint is known or has capacity
	ExpiredBeforeStart Reason = "not_started"     // the deadline passed before any endpoint ran it
	Quarantined        Reason = "quarantined"     // it, or a part of its prompt, crashes endpoints
	UnknownOrigin      Reason = "unknown_origin"  // it takes a stream up that may have begun at any version
	Unavailable        Reason = "unavailable"     // this entry host can't serve it
	OutcomeUnknown     Reason = "outcome_unknown" // an endpoint may have run it
	TimedOut           Reason = "timed_out"       // the deadline passed after an endpoint may have run it
)

func (e *RequestError) Error() string { return string(e.Reason) + ": " + e.Detail }

// NotRun reports whether the request is certain not to have run.
func (e *RequestError) NotRun() bool { return e.Reason != OutcomeUnknown && e.Reason != TimedOut }

// Options configures a Router.
type Options struct {
	Balance      balance.Config
	RetryBudget  *retry.Budget
	Dialect      Dialect
	StreamFinder StreamFinder // nil if no other entry can have begun a stream
	// OnBegan is called once for each attempt of a workspace's request when its endpoint has begun
	// to run it: at the first event of a stream, or the head of another answer. An attempt whose
	// answer was lost before counts too. It may be nil.
	OnBegan func(workspace string)
	Logger  *slog.Logger
	Metrics *metrics.Registry
}

// Router forwards requests. It is safe for concurrent use.
type Router struct {
	options Options
	client  *upstream.Client

	quarantined atomic.Pointer[map[uint64]bool] // keys of prompt parts and requests that are kept from endpoints
	stop        atomic.Pointer[Stop]            // nil until a stop begins

	mu             sync.Mutex // guards table, options.RetryBudget, and the fields below
	outcomes       AttemptOutcomes
	unconfirmed    map[uint64][]unconfirmedResponse // by the endpoint's incarnation
	seen           fingerprintMemory                // of requests that were served or broken off
	origins        *streamOrigins
	shares         *workspaceShares
	table          *balance.Table
	admission      *admission.Controller
	maxRequests    map[string]int // by service: concurrent requests of this router at each endpoint, 0 for no limit
	tokensPerEvent map[string]int // of a stream, by service
}

// New returns a router without endpoints.
func New(o Options) *Router {
	return &Router{options: o, client: upstream.New(), origins: newStreamOrigins(), shares: newWorkspaceShares(), table: balance.New(o.Balance), admission: admission.New(), maxRequests: map[string]int{}, tokensPerEvent: map[string]int{}, unconfirmed: map[uint64][]unconfirmedResponse{}}
}

// UpdateEndpoints applies changes of the directory.
func (rt *Router) UpdateEndpoints(changed []directory.Endpoint) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, e := range changed {
		rt.table.Update(e, rt.maxRequests[e.Service])
	}
	rt.origins.update(time.Now(), changed)
}

// entryConnectionFraction is the fraction of an endpoint's connection limit that
// the entry hosts divide among them. The rest is left to clients that reach the
// endpoint without an entry host.
const entryConnectionFraction = 0.85

// Configure applies a configuration and the number of entry hosts that share the retry
// budget and the endpoints' connection limits.
func (rt *Router) Configure(document *catalog.Document, entries int) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.options.RetryBudget.SetEntries(entries)
	for _, s := range document.Services {
		rt.table.SetShortestGapTarget(s.Name, document.ShortestGapTarget(s.Name))
		limit := 0
		if s.MaxConnectionsPerEndpoint > 0 {
			limit = max(int(entryConnectionFraction*float64(s.MaxConnectionsPerEndpoint))/max(entries, 1), 1)
		}
		rt.maxRequests[s.Name] = limit
		rt.table.SetMaxRequests(s.Name, limit)
		engine := s.Engine
		if engine == nil {
			engine = &catalog.Engine{} // drops that of the configuration before
		}
		rt.table.SetCacheCapacity(s.Name, engine.CacheCapacityTokens)
		rt.table.SetCopyTimePerToken(s.Name, engine.CopyTimePerToken)
		rt.table.SetTokensPerEvent(s.Name, engine.TokensPerEvent)
		rt.tokensPerEvent[s.Name] = engine.TokensPerEvent
	}
}

// InFlightByEndpoint returns the load that this router has in flight, by endpoint.
func (rt *Router) InFlightByEndpoint() map[balance.EndpointKey]balance.InFlightLoad {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.table.InFlightByEndpoint(time.Now())
}

// SetPeerLoads replaces the loads that other entry hosts have in flight, by endpoint.
// domains are the failure domains whose entry hosts report their load.
func (rt *Router) SetPeerLoads(domains []string, loads map[balance.EndpointKey]balance.InFlightLoad) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.table.SetPeerLoads(time.Now(), domains, loads)
}

// TakeNewPlacements returns and clears the prompt parts that endpoints have newly cached
// from requests of this router.
func (rt *Router) TakeNewPlacements() []balance.PartPlacement {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.table.TakeNewPlacements()
}

// AddPeerPlacements adds prompt parts that endpoints have cached from requests of other
// entry hosts.
func (rt *Router) AddPeerPlacements(placements []balance.PartPlacement) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.table.AddPeerPlacements(time.Now(), placements)
}

// TakeLimitWishes returns the limits of endpoints that this router knows, and the permits that
// it wants. Unless all is set, it leaves out limits of which there is nothing new to tell.
func (rt *Router) TakeLimitWishes(all bool) []balance.LimitWish {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.table.TakeLimitWishes(time.Now(), all)
}

// HasLimitWishes reports whether there are requests for endpoints with a limit.
func (rt *Router) HasLimitWishes() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.table.HasLimitWishes()
}

// ApplyLimitGrants applies the limits and permits that a control host has returned.
func (rt *Router) ApplyLimitGrants(grants []balance.LimitGrant) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.table.ApplyLimitGrants(time.Now(), grants)
}

// GrantFallbackPermits is called from time to time while no control host is reachable.
func (rt *Router) GrantFallbackPermits(entries int) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.table.GrantFallbackPermits(time.Now(), entries)
}

// HasEndpoints reports whether any endpoint of a service is known.
func (rt *Router) HasEndpoints(service string) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.table.HasEndpoints(service)
}

// CloseUnusedConnections closes idle connections that have expired or whose address is no
// longer in the directory.
func (rt *Router) CloseUnusedConnections(now time.Time) {
	rt.expireUnconfirmed(now)
	rt.mu.Lock()
	addresses := rt.table.Addresses()
	rt.mu.Unlock()
	rt.client.CloseUnused(now, addresses)
}

// ConnectionStats returns the connection counters of the client to the endpoints.
func (rt *Router) ConnectionStats() upstream.Stats { return rt.client.Stats() }

// creditRetryBudget counts a request towards the retry budget.
func (rt *Router) creditRetryBudget(now time.Time, service string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.options.RetryBudget.AddRequest(now, service)
}

// spendRetryBudget takes an attempt from the retry budget, and reports whether
// there was one.
func (rt *Router) spendRetryBudget(now time.Time, service string) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.options.RetryBudget.TryTake(now, service)
}

// Serve forwards a request and writes the response of an endpoint to w. If the request
// fails it returns a *RequestError if nothing has been written to w, and otherwise a
// *TruncatedResponseError.
func (rt *Router) Serve(ctx context.Context, w http.ResponseWriter, r *Request) error {
	if stop, now := rt.stop.Load(), time.Now(); stop != nil && stop.mayOutlast(now, r) {
		rt.options.Logger.Info("request declined at stop", "request", r.ID, "route", r.Route.Name, "left_ms", stop.Deadline.Sub(now).Milliseconds())
		return NotRunAtStop()
	}
	ctx, cancel := context.WithDeadlineCause(ctx, r.Deadline, errTimedOut)
	defer cancel()
	limitWriting(w, r.Deadline)
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	rt.creditRetryBudget(r.ReceivedAt, r.Service)
	rt.options.Metrics.AddToCounter(metrics.ClassOfferedPrefix+r.Route.Name, 1)
	a := &activeRequest{Router: rt, request: r, fingerprint: fingerprint(r), writer: w, attempts: retry.Attempts{
		Repeatable: r.Route.SafeToRetry(), MaxRuns: max(r.Route.MaxAttempts, 1)}}
	a.recordOffered(r.ReceivedAt)
	err := a.run(ctx)
	a.recordMetrics(err)
	a.logEnd(ctx, err)
	return err
}

// writeGrace is how long past the deadline the last bytes of a response may be
// written.
const writeGrace = time.Second

// limitWriting limits how long the response may be written: a caller that stops reading must not keep its
// request open past the deadline. Writers without deadlines, as in tests, return an error that is ignored.
func limitWriting(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
}

// errTimedOut is the cancellation cause of a context whose deadline has passed.
var errTimedOut = &RequestError{Reason: TimedOut, Detail: "the request's time is over"}
