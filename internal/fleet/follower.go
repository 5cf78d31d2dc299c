package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/share"
	"github.com/trefoilkeel/trefoilkeel/internal/usage"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// hostForgetDelay is how long the follower retries a lost host that no control host
	// lists. It is longer than a restart or the formation of the cluster takes.
	hostForgetDelay = 6 * time.Second
	// MaxControlHosts limits the control hosts that an entry follows. An entry misses what
	// endpoints report to a host that it does not follow, so the limit exceeds the hosts of
	// any deployment: two in each failure domain.
	MaxControlHosts = 32
)

// Consumer receives the updates of a Follower. All methods but ApplyDocument are
// called one at a time under the lock of the Follower, and must not call it. Calls of
// ApplyDocument don't overlap each other, but may overlap one of the other methods.
type Consumer interface {
	// ApplyDocument receives a newer configuration, in the encoding in which it was stored. After an error,
	// the one before counts as the newest that was received.
	ApplyDocument(version uint64, content []byte) error
	// UpdateEndpoints receives the endpoints whose merged state has changed.
	UpdateEndpoints(changed []directory.Endpoint)
	// SetQuarantinedParts receives the prompt parts that must be kept from endpoints.
	SetQuarantinedParts(parts map[uint64]bool)
	// SetServedVersions receives the versions that control hosts have recorded, before the first
	// configuration; true is one that a majority has recorded.
	SetServedVersions(versions map[origin.Origin]bool)
	// SetEntryCount receives the number of entries among which limits are divided.
	SetEntryCount(count int)
}

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	EntryName     string
	FailureDomain string   // failure domain of the entry
	SeedURLs      []string // base URLs of the first control hosts to contact
	HTTPClient    *http.Client
	Consumer      Consumer
	Logger        *slog.Logger
}

// Follower watches every known control host, merges the endpoints that they report and
// fetches newer documents. It knows the seeds and the control hosts that a host lists.
type Follower struct {
	options FollowerOptions

	mu                sync.Mutex
	seedURLs          []string         // from the settings
	seedsChanged      bool             // since Run last read seedURLs
	advertisedURLs    []string         // control hosts as listed by one of them
	hosts             map[string]*host // by base URL
	directory         *directory.Directory
	directoryRevision uint64
	documentVersion   uint64
	announcedVersion  uint64        // the highest that any host has announced
	confirmedAt       time.Time     // when a host last confirmed that documentVersion is its newest
	documentChecked   chan struct{} // closed when confirmedAt or documentVersion next changes
	confirmed         bool          // see FollowerStatus
	entryCount        int
	quarantined       map[uint64]bool
	served            map[origin.Origin]bool // nil before the first event with it
	wake              chan struct{}          // makes Run update the set of followed hosts
	documentAvailable chan struct{}          // a control host has a newer document
}

// host is one control host that is followed.
type host struct {
	url             string
	client          trefoilkeelv1connect.FleetServiceClient
	live            bool   // its watch has sent an event within watchSilenceTimeout
	documentVersion uint64 // of the newest confirmed document on the host
	failureDomain   string
	confirmed       bool // its watch has reported that it is up to date
	quarantined     []uint64
	served          []origin.Origin // versions that it has recorded
	vote            *origin.Vote    // sent with served; nil before, and from a host of an older build
	counts          bool            // towards a majority, as sent with served
	entryCount      int             // entries that watch it
	liveChangedAt   time.Time
	cancel          context.CancelFunc
	// failedExchanges counts the exchanges of load that failed in a row. Others are preferred until
	// avoidedUntil.
	failedExchanges int
	avoidedUntil    time.Time
	// ready holds the endpoints that the host shows as ready on its watch: the start of the incarnation, by ID.
	ready map[string]int64
	// deferred holds, by ID, what the host shows and the follower doesn't use at present: endpoints that are ready,
	// outranked by one of a later start with that ID or address, and silent ones that another host shows as ready.
	deferred map[string]directory.Endpoint
}

// NewFollower returns a follower that contacts the seeds once it runs.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{options: o, seedURLs: o.SeedURLs, hosts: map[string]*host{}, directory: directory.New(), documentChecked: make(chan struct{}), wake: make(chan struct{}, 1), documentAvailable: make(chan struct{}, 1)}
}

// SetSeedURLs replaces the base URLs of the control hosts to contact first.
func (f *Follower) SetSeedURLs(seedURLs []string) {
	f.mu.Lock()
	f.seedURLs, f.seedsChanged = seedURLs, true
	f.mu.Unlock()
	f.wakeRun()
}

// SetServices sets the services of the configuration in force, see directory.Directory. A Consumer may call it from
// ApplyDocument.
func (f *Follower) SetServices(services map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.SetServices(services)
}

// wakeRun makes Run update the set of followed hosts.
func (f *Follower) wakeRun() {
	select {
	case f.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Run follows the control hosts until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	f.startFollowing(ctx, group, f.options.SeedURLs)
	group.Go(func() error { f.fetchDocuments(ctx); return nil })
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-f.wake:
		}
		f.mu.Lock()
		f.forgetLostHosts(time.Now())
		urls := f.advertisedURLs
		if f.seedsChanged || !f.anyHostLive() {
			urls, f.seedsChanged = slices.Concat(f.advertisedURLs, f.seedURLs), false
		}
		f.mu.Unlock()
		f.startFollowing(ctx, group, urls)
	}
}

// startFollowing follows the hosts that are not followed yet.
func (f *Follower) startFollowing(ctx context.Context, group *errgroup.Group, urls []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, url := range urls {
		if url == "" || f.hosts[url] != nil {
			continue
		}
		if len(f.hosts) >= MaxControlHosts {
			f.options.Logger.Error("control host not followed, its reports will be missed", "url", url, "followed", len(f.hosts))
			continue
		}
		hostCtx, cancel := context.WithCancel(ctx)
		client := trefoilkeelv1connect.NewFleetServiceClient(progressClient{f.options.HTTPClient}, url, connect.WithReadMaxBytes(rpc.MaxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
		h := &host{url: url, client: client, cancel: cancel, liveChangedAt: time.Now()}
		f.hosts[url] = h
		group.Go(func() error { f.followHost(hostCtx, h); return nil })
	}
}

// followHost watches one host until ctx ends, and retries after each failure.
func (f *Follower) followHost(ctx context.Context, h *host) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		received, err := f.watchHost(ctx, h)
		if ctx.Err() != nil {
			return // this entry stops or has dropped the host: don't log a loss
		}
		f.setLive(h, false, err)
		if received {
			delay = minRetryDelay
		}
		if !wait.For(ctx, delay) {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// watchHost applies the events of one host until the stream fails or is silent for
// too long. received reports whether any event came.
func (f *Follower) watchHost(ctx context.Context, h *host) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(watchSilenceTimeout, func() { cancel(&SilentError{After: watchSilenceTimeout}) })
	defer silenceTimer.Stop()
	stream, err := h.client.Watch(rpc.Unshared(ctx), connect.NewRequest(&pb.WatchFleetRequest{Entry: f.options.EntryName}))
	if err != nil {
		return false, err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		silenceTimer.Reset(watchSilenceTimeout)
		if !received {
			f.forgetEndpoints(h)
			f.setLive(h, true, nil)
			received = true
		}
		f.applyEvent(h, stream.Msg())
	}
	if ctx.Err() != nil {
		return received, context.Cause(ctx)
	}
	return received, stream.Err()
}

// SilentError reports that a control host sent no event within a timeout.
type SilentError struct {
	After time.Duration
}

func (e *SilentError) Error() string { return "the control host was silent for " + e.After.String() }

// Timeout makes the error one of a timeout, as those of package net.
func (e *SilentError) Timeout() bool { return true }

// setLive records whether a host is live, and logs a change.
func (f *Follower) setLive(h *host, live bool, err error) {
	f.mu.Lock()
	changed := h.live != live
	if changed {
		h.live, h.liveChangedAt = live, time.Now()
		h.confirmed = false
		if f.served != nil {
			f.updateServed()
		}
	}
	f.mu.Unlock()
	if !changed {
		return
	}
	if live {
		f.options.Logger.Info("control host regained", "url", h.url)
		return
	}
	f.options.Logger.Warn("control host lost", "url", h.url, "error", err)
}

// applyEvent merges an event of a control host.
func (f *Follower) applyEvent(h *host, event *pb.FleetEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, p := range event.Endpoints {
		e, err := endpointFromProto(p, now)
		if err != nil {
			f.options.Logger.Warn("endpoint of a control host left out", "url", h.url, "endpoint", p.Id[:min(len(p.Id), directory.MaxNameBytes)], "error", err)
			continue
		}
		f.mergeEndpoint(h, e)
	}
	f.retryDeferred(h, now)
	var changed []directory.Endpoint
	changed, f.directoryRevision = f.directory.ChangedSince(f.directoryRevision)
	if changed = append(f.directory.TakeDropped(), changed...); len(changed) > 0 {
		f.options.Consumer.UpdateEndpoints(changed)
	}
	f.confirmed = f.confirmed || event.Confirmed
	h.confirmed = event.Confirmed
	if event.Quarantine != nil {
		h.quarantined = event.Quarantine.Parts
	}
	f.updateQuarantine()
	if event.Served != nil {
		h.served = servedFromProto(event.Served)
		if event.Served.Vote != nil {
			vote := voteFromProto(event.Served.Vote)
			h.vote, h.counts = &vote, event.Served.Vote.Counts
		}
		f.updateServed()
	}
	h.documentVersion, h.failureDomain = event.Version, event.FailureDomain
	f.announcedVersion = max(f.announcedVersion, event.Version)
	if event.Confirmed && event.Version == f.documentVersion {
		f.setConfirmedAt(now)
	}
	if event.Version > f.documentVersion {
		select {
		case f.documentAvailable <- struct{}{}:
		default: // a fetch is already pending, and it looks at every host
		}
	}
	if event.Entries > 0 {
		h.entryCount = int(event.Entries)
		f.updateEntryCount()
	}
	if len(event.ControlUrls) > 0 {
		f.advertisedURLs = append([]string(nil), event.ControlUrls...)
		f.wakeRun()
	}
}

// mergeEndpoint merges an endpoint of a control host, or defers that. The caller holds the lock.
func (f *Follower) mergeEndpoint(h *host, e directory.Endpoint) {
	if h.ready == nil {
		h.ready, h.deferred = map[string]int64{}, map[string]directory.Endpoint{}
	}
	delete(h.deferred, e.ID)
	if delete(h.ready, e.ID); e.State == directory.Ready {
		h.ready[e.ID] = e.StartedUnixMS
	}
	if e.State == directory.Silent && f.isReadyElsewhere(h, e) {
		h.deferred[e.ID] = e
		return
	}
	f.directory.MergeReport(e)
	if e.State == directory.Ready && f.directory.IsOutranked(e) {
		h.deferred[e.ID] = e
	}
}

// isReadyElsewhere reports whether another live host shows an incarnation as ready. Hosts send no event for
// repeated reports, so the sequence numbers don't tell which host has the newest one. The caller holds the lock.
func (f *Follower) isReadyElsewhere(h *host, e directory.Endpoint) bool {
	for _, other := range f.hosts {
		if started, ready := other.ready[e.ID]; ready && other != h && other.live && started == e.StartedUnixMS {
			return true
		}
	}
	return false
}

// retryDeferred merges what was deferred and no longer needs to be: a control host sends an endpoint again
// only when that changes. While it shows one as ready, that one has reported within SilenceTimeout. The
// caller holds the lock.
func (f *Follower) retryDeferred(h *host, now time.Time) {
	for _, e := range slices.Collect(maps.Values(h.deferred)) {
		if e.State == directory.Ready {
			e.LastReportAt = now.Add(-directory.SilenceTimeout)
		}
		f.mergeEndpoint(h, e)
	}
}

// forgetEndpoints forgets what a host has sent on a watch that has ended.
func (f *Follower) forgetEndpoints(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.ready, h.deferred = nil, nil
}

// setConfirmedAt records when a host last confirmed that documentVersion is its newest. The caller holds the lock.
func (f *Follower) setConfirmedAt(at time.Time) {
	f.confirmedAt = at
	close(f.documentChecked)
	f.documentChecked = make(chan struct{})
}

// DocumentChecked returns a channel that is closed at the next confirmation of the document, or change of it.
func (f *Follower) DocumentChecked() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.documentChecked
}

// anyHostLive reports whether any host is live. The caller holds the lock.
func (f *Follower) anyHostLive() bool {
	for _, h := range f.hosts {
		if h.live {
			return true
		}
	}
	return false
}

// forgetLostHosts stops following hosts that have been lost for hostForgetDelay and
// that no control host lists any more. Otherwise replaced hosts would use up
// MaxControlHosts. The caller holds the lock.
func (f *Follower) forgetLostHosts(now time.Time) {
	for url, h := range f.hosts {
		if !h.live && now.Sub(h.liveChangedAt) > hostForgetDelay && !slices.Contains(f.advertisedURLs, url) {
			h.cancel()
			delete(f.hosts, url)
		}
	}
}

// updateEntryCount sets the entry count to the largest one that any host reports.
// The caller holds the lock.
func (f *Follower) updateEntryCount() {
	largest := 1
	for _, h := range f.hosts {
		largest = max(largest, h.entryCount)
	}
	if largest != f.entryCount {
		f.entryCount = largest
		f.options.Consumer.SetEntryCount(largest)
	}
}

// updateQuarantine merges the quarantined parts of the live hosts. A part is dropped only if a
// host that is up to date no longer lists it, so that restarts of all control hosts release
// none. The caller holds the lock.
func (f *Follower) updateQuarantine() {
	parts, upToDate := map[uint64]bool{}, false
	for _, h := range f.hosts {
		if !h.live {
			continue
		}
		upToDate = upToDate || h.confirmed
		for _, part := range h.quarantined {
			parts[part] = true
		}
	}
	if !upToDate {
		maps.Copy(parts, f.quarantined)
	}
	if !maps.Equal(parts, f.quarantined) {
		f.quarantined = parts
		f.options.Consumer.SetQuarantinedParts(parts)
	}
}

// FollowerStatus describes what a follower knows.
type FollowerStatus struct {
	DocumentVersion   uint64    // of the newest document that was applied
	AnnouncedVersion  uint64    // the highest version that any control host has announced
	ConfirmedAt       time.Time // when a control host last confirmed that DocumentVersion is its newest, zero if none has
	Confirmed         bool      // since the start, a control host has confirmed with a quorum that it is up to date
	LiveHostCount     int
	FollowedHostCount int // followed control hosts, live or not
	EndpointCount     int
}

// DocumentIsCurrent reports whether a control host has lately confirmed that the document is its newest, and none has
// announced a newer one.
func (s FollowerStatus) DocumentIsCurrent(now time.Time) bool {
	return s.DocumentVersion > 0 && s.AnnouncedVersion <= s.DocumentVersion && now.Sub(s.ConfirmedAt) <= watchSilenceTimeout
}

func (f *Follower) Status() FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := FollowerStatus{DocumentVersion: f.documentVersion, AnnouncedVersion: f.announcedVersion, ConfirmedAt: f.confirmedAt, Confirmed: f.confirmed, FollowedHostCount: len(f.hosts), EndpointCount: f.directory.Len()}
	for _, h := range f.hosts {
		if h.live {
			s.LiveHostCount++
		}
	}
	return s
}

// NoLiveHostError reports that there is no live control host to exchange load with.
type NoLiveHostError struct {
	FailureDomain string // of the entry
}

func (e *NoLiveHostError) Error() string {
	return "no control host is live for failure domain " + e.FailureDomain
}

// LoadReport is the load that entries exchange through a control host: in a request that
// of one entry, in a response that of the other entries.
type LoadReport struct {
	Loads          EndpointLoads           // load in flight: of the sending entry, or summed over the others
	Placements     []balance.PartPlacement // cached prompt parts that the recipient has not received yet
	Outcomes       AttemptOutcomes         // of the attempts of the sending entry since its last request that succeeded
	StreamStarts   []origin.Start          // of the sending entry since its last request that succeeded
	Urgent         bool                    // a request without load and placements, whose response has none either
	LimitWishes    []balance.LimitWish     // of the sending entry
	LimitGrants    []balance.LimitGrant    // to the sending entry, in a response
	Cursor         ExchangeCursor          // end of the placements received so far, to be sent with the next request
	Usage          []usage.Report          // of the sending entry, that the control host has not acknowledged
	UsageLife      uint64                  // in a response, start of the control host that has received the usage; 0 if it didn't
	FailureDomains []string                // failure domains whose load is included, in a response
	ClassUses      []share.Row             // recent work of workspaces at the sending entry, if it is due
	ClassShares    ClassShares             // for the recipient, in a response; empty if none are due
}

// ExchangeLoad sends the load of this entry to one live control host and returns that of the
// other entries. The error is a *NoLiveHostError or that of the call.
func (f *Follower) ExchangeLoad(ctx context.Context, own LoadReport) (LoadReport, error) {
	h := f.exchangeHost()
	if h == nil {
		return LoadReport{}, errors.WithStack(&NoLiveHostError{FailureDomain: f.options.FailureDomain})
	}
	response, err := h.client.Share(ctx, connect.NewRequest(&pb.ShareRequest{Entry: f.options.EntryName, FailureDomain: f.options.FailureDomain, Urgent: own.Urgent, Usage: usageToProto(own.Usage),
		Outcomes: outcomesToProto(time.Now(), own.Outcomes), StreamStarts: streamStartsToProto(own.StreamStarts), Limits: limitWishesToProto(time.Now(), own.LimitWishes), Loads: endpointLoadsToProto(own.Loads), Placed: placementsToProto(own.Placements), Mark: cursorToProto(own.Cursor), ClassUses: classUsesToProto(share.Report{Rows: own.ClassUses})}))
	f.recordExchange(h, err)
	if err != nil {
		return LoadReport{}, err
	}
	m := response.Msg
	return LoadReport{Loads: endpointLoadsFromProto(m.Loads), Placements: placementsFromProto(m.Placed), LimitGrants: limitGrantsFromProto(time.Now(), m.Limits), Cursor: cursorFromProto(m.Mark), UsageLife: m.UsageLife, FailureDomains: m.FailureDomains, ClassShares: classSharesFromProto(m.ClassShares)}, nil
}

// ExchangeInterval returns the time between two exchanges of load.
func (f *Follower) ExchangeInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return LoadExchangeInterval(f.directory.Len())
}

// maxFailedExchanges is the number of exchanges with a host that fail in a row before other hosts are
// preferred to it for exchangeAvoidTime.
const (
	maxFailedExchanges = 2
	exchangeAvoidTime  = 5 * time.Second
)

// recordExchange records whether an exchange with a host failed: one that sends events may still
// answer none.
func (f *Follower) recordExchange(h *host, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		h.failedExchanges, h.avoidedUntil = 0, time.Time{}
		return
	}
	if h.failedExchanges++; h.failedExchanges >= maxFailedExchanges {
		h.failedExchanges, h.avoidedUntil = 0, time.Now().Add(exchangeAvoidTime)
		f.options.Logger.Warn("load not exchanged, another control host is preferred", "url", h.url, "error", err)
	}
}

// exchangeHost returns the live host to exchange load with, nil if there is none. All
// entries of a failure domain choose the same host: the one with the lowest URL, with
// hosts of their own failure domain first. Hosts with which exchanges failed come last.
func (f *Follower) exchangeHost() *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	compare := func(a, b *host) int {
		return cmp.Or(compareBool(now.Before(a.avoidedUntil), now.Before(b.avoidedUntil)),
			-compareBool(a.failureDomain == f.options.FailureDomain, b.failureDomain == f.options.FailureDomain), cmp.Compare(a.url, b.url))
	}
	var chosen *host
	for _, h := range f.hosts {
		if h.live && (chosen == nil || compare(h, chosen) < 0) {
			chosen = h
		}
	}
	return chosen
}
