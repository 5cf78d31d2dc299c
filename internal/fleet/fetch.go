package fleet

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
)

// Timing of document fetches.
const (
	// ownDomainFetchDelay is how long a newer document may take to reach a control
	// host of this entry's failure domain before it is fetched from another domain.
	ownDomainFetchDelay = 60 * time.Millisecond
	// fetchTimeout limits a fetch. The limit doubles, up to maxFetchTimeout, each time that fetches from all
	// hosts have failed and one of them reached it, and halves with each fetch that takes under half of it.
	fetchTimeout    = 700 * time.Millisecond
	maxFetchTimeout = 8 * fetchTimeout
	// minFetchRetryDelay and maxFetchRetryDelay bound the pause after fetches from all hosts that have
	// announced a newer document have failed. It doubles each time.
	minFetchRetryDelay = 50 * time.Millisecond
	maxFetchRetryDelay = time.Second
	// minUnusableRetryDelay and maxUnusableRetryDelay bound the pause before a version of the document that
	// could not be applied is fetched again. It doubles each time.
	minUnusableRetryDelay = 200 * time.Millisecond
	maxUnusableRetryDelay = 10 * time.Second
	// parallelFetchDelay is how long a fetch may go without the head of its response before the document is
	// also fetched from another host, and maxParallelFetches limits the fetches that run at the same time.
	// A response that has begun is given begunFetchDelay: further ones over the same link would slow it down.
	// It is shorter than fetchTimeout, so that the next fetch starts before a stalled one reaches its limit.
	// Once maxParallelFetches run, one that has had fetchTimeout ends if a host has not been asked yet.
	parallelFetchDelay = 150 * time.Millisecond
	begunFetchDelay    = 600 * time.Millisecond
	maxParallelFetches = 3
)

// fetchSource is a host with a newer document, as known when it was chosen.
type fetchSource struct {
	host      *host
	announced fetchAnnouncement
	live      bool
	local     bool // in the entry's failure domain
	rank      uint64
}

// fetchAnnouncement tells whether anything has changed at a host since a fetch from it failed.
type fetchAnnouncement struct {
	version       uint64
	liveChangedAt time.Time
}

// fetchResult is the outcome of a fetch.
type fetchResult struct {
	source    fetchSource
	version   uint64
	content   []byte
	bytes     int // compressed
	startedAt time.Time
	err       error
}

// DocumentOutdatedError reports that a control host answered a fetch with an older document than it had
// announced, and than the entry needs.
type DocumentOutdatedError struct {
	Version, CurrentVersion uint64 // of the response, and of the entry
}

func (e *DocumentOutdatedError) Error() string {
	return fmt.Sprintf("the control host has version %d, which is not above %d", e.Version, e.CurrentVersion)
}

// FetchDisplacedError reports that a fetch was ended to make room for one from another control host.
type FetchDisplacedError struct {
	BodyBytes  int64         // received
	SilentTime time.Duration // since the last ones, or the start of the fetch
}

func (e *FetchDisplacedError) Error() string {
	return fmt.Sprintf("the fetch made room for another control host: %d bytes received, nothing for %v", e.BodyBytes, e.SilentTime)
}

// fetcher fetches newer documents. It is not safe for concurrent use.
type fetcher struct {
	follower   *Follower
	fetches    sync.WaitGroup
	results    chan fetchResult
	running    map[*host]runningFetch
	failed     map[*host]fetchAnnouncement // since the last pause
	searchedAt time.Time                   // when a newer document was first seen, zero if there is none
	startedAt  time.Time                   // of the newest fetch that has not failed
	// displacedAt is when a fetch that was receiving its response was cancelled for another one.
	displacedAt time.Time
	retryAt     time.Time // end of the pause, zero without one
	retryDelay  time.Duration
	timeout     time.Duration // of a fetch
	timedOut    bool          // a fetch since the last pause

	unusableVersion    uint64    // the highest that could not be applied
	unusableRetryAt    time.Time // when it and older ones may be fetched again
	unusableRetryDelay time.Duration
}

// runningFetch is a fetch without a result.
type runningFetch struct {
	version  uint64 // that the host has announced
	progress *fetchProgress
	cancel   context.CancelCauseFunc
}

// fetchDocuments fetches newer documents until ctx ends.
func (f *Follower) fetchDocuments(ctx context.Context) {
	x := &fetcher{follower: f, results: make(chan fetchResult), running: map[*host]runningFetch{}, failed: map[*host]fetchAnnouncement{}, retryDelay: minFetchRetryDelay, timeout: fetchTimeout, unusableRetryDelay: minUnusableRetryDelay}
	defer x.fetches.Wait()
	for ctx.Err() == nil {
		var timer <-chan time.Time
		if nextAt := x.startFetches(ctx, time.Now()); !nextAt.IsZero() {
			timer = time.After(time.Until(nextAt))
		}
		select {
		case <-ctx.Done():
		case <-f.documentAvailable:
		case <-timer:
		case r := <-x.results:
			x.finish(r)
		}
	}
}

// startFetches starts the fetches that are due. It returns when it must be called again at the latest, the zero
// time if not before the next result or event.
func (x *fetcher) startFetches(ctx context.Context, now time.Time) time.Time {
	sources := x.follower.fetchSources()
	if len(sources) == 0 {
		x.endSearch()
		return time.Time{}
	}
	if now.Before(x.unusableRetryAt) {
		sources = slices.DeleteFunc(sources, func(s fetchSource) bool { return s.announced.version <= x.unusableVersion })
		if len(sources) == 0 {
			return x.unusableRetryAt
		}
	}
	if x.searchedAt.IsZero() {
		x.searchedAt = now
	}
	anyDomainAt := x.searchedAt.Add(ownDomainFetchDelay)
	anyDomain := !now.Before(anyDomainAt)
	if !x.retryAt.IsZero() && !now.Before(x.retryAt) {
		x.retryAt = time.Time{}
		clear(x.failed)
	}
	for _, s := range sources {
		_, isRunning := x.running[s.host]
		switch {
		case isRunning || x.failed[s.host] == s.announced || !anyDomain && !(s.live && s.local):
		case len(x.running) == maxParallelFetches:
			return x.makeRoom(now)
		case len(x.running) > 0 && now.Before(x.nextStartAt()):
			return x.nextStartAt()
		default:
			x.start(ctx, s)
		}
	}
	switch {
	case !anyDomain:
		return anyDomainAt
	case len(x.running) > 0:
		return time.Time{}
	case x.retryAt.IsZero():
		x.retryAt = now.Add(x.retryDelay)
		x.retryDelay = min(2*x.retryDelay, maxFetchRetryDelay)
		if x.timedOut {
			x.timeout, x.timedOut = min(2*x.timeout, maxFetchTimeout), false
		}
	}
	return x.retryAt
}

// makeRoom makes room for a fetch from another host: of the fetches that have had fetchTimeout it cancels the
// one that has received nothing for longest. If all have received something within fetchTimeout, it cancels the slowest
// one, but never the one with most bytes, and no other one for fetchTimeout: over slow links all would end for one
// another. It returns when a fetch can be cancelled, the zero time if one has been.
func (x *fetcher) makeRoom(now time.Time) (nextAt time.Time) {
	var due []runningFetch
	for _, r := range x.running {
		if dueAt := r.progress.startedAt.Add(fetchTimeout); !now.Before(dueAt) {
			due = append(due, r)
		} else if nextAt.IsZero() || dueAt.Before(nextAt) {
			nextAt = dueAt
		}
	}
	if len(due) == 0 {
		return nextAt
	}
	isWorse := func(a, b runningFetch) int {
		return compareBool(b.progress.isWorse(a.progress, now), a.progress.isWorse(b.progress, now))
	}
	worst := slices.MinFunc(due, isWorse)
	if worst.progress.isReceiving(now) {
		if mayCancelAt := x.displacedAt.Add(fetchTimeout); now.Before(mayCancelAt) {
			return mayCancelAt
		}
		if len(due) > 1 {
			slices.SortFunc(due, func(a, b runningFetch) int {
				return cmp.Compare(a.progress.bodyBytes.Load(), b.progress.bodyBytes.Load())
			})
			worst = slices.MinFunc(due[:len(due)-1], isWorse)
		}
		x.displacedAt = now
	}
	worst.cancel(errors.WithStack(&FetchDisplacedError{BodyBytes: worst.progress.bodyBytes.Load(), SilentTime: now.Sub(worst.progress.receivedAt())}))
	return time.Time{}
}

// nextStartAt returns when another fetch may start beside those that run.
func (x *fetcher) nextStartAt() time.Time {
	nextAt, latest := x.startedAt.Add(parallelFetchDelay), x.startedAt.Add(begunFetchDelay)
	for _, r := range x.running {
		if silentAt := r.progress.receivedAt().Add(begunFetchDelay); r.progress.headReceived.Load() && silentAt.After(nextAt) {
			nextAt = silentAt
		}
	}
	if nextAt.After(latest) {
		return latest
	}
	return nextAt
}

// endSearch is called when no host has a newer document.
func (x *fetcher) endSearch() {
	for _, r := range x.running {
		r.cancel(nil)
	}
	clear(x.failed)
	x.searchedAt, x.retryAt, x.retryDelay = time.Time{}, time.Time{}, minFetchRetryDelay
}

// start starts a fetch.
func (x *fetcher) start(ctx context.Context, s fetchSource) {
	timeoutCtx, cancelTimeout := context.WithTimeout(ctx, x.timeout)
	fetchCtx, cancel := context.WithCancelCause(timeoutCtx)
	x.startedAt = time.Now()
	progress := &fetchProgress{startedAt: x.startedAt}
	x.running[s.host] = runningFetch{version: s.announced.version, progress: progress, cancel: cancel}
	x.fetches.Go(func() {
		defer cancelTimeout()
		defer cancel(nil)
		r := fetchDocument(withProgress(fetchCtx, progress), s)
		select {
		case x.results <- r:
		case <-ctx.Done():
		}
	})
}

// finish takes the result of a fetch: it passes on a newer document.
func (x *fetcher) finish(r fetchResult) {
	f := x.follower
	delete(x.running, r.source.host)
	current := f.Status().DocumentVersion
	if r.source.announced.version <= current {
		return // another fetch was faster
	}
	if r.err == nil && r.version <= current {
		r.err = errors.WithStack(&DocumentOutdatedError{Version: r.version, CurrentVersion: current})
	}
	if r.err != nil {
		f.options.Logger.Warn("configuration not fetched", "version", r.source.announced.version, "url", r.source.host.url, "live", r.source.live,
			"took_ms", time.Since(r.startedAt).Milliseconds(), "error", r.err)
		x.failed[r.source.host] = r.source.announced
		x.timedOut = x.timedOut || time.Since(r.startedAt) >= x.timeout
		x.startedAt = time.Time{} // the next host is asked at once
		return
	}
	f.options.Logger.Info("configuration fetched", "version", r.version, "url", r.source.host.url, "live", r.source.live,
		"bytes", r.bytes, "took_ms", time.Since(r.startedAt).Milliseconds())
	if err := f.options.Consumer.ApplyDocument(r.version, r.content); err != nil {
		x.failed[r.source.host] = r.source.announced
		x.holdUnusable(r.version)
		return
	}
	x.unusableRetryAt, x.unusableRetryDelay = time.Time{}, minUnusableRetryDelay
	f.setDocumentVersion(r.version, r.startedAt)
	x.retryDelay, x.timedOut = minFetchRetryDelay, false
	if time.Since(r.startedAt) < x.timeout/2 {
		x.timeout = max(x.timeout/2, fetchTimeout)
	}
	for _, other := range x.running {
		if other.version <= r.version {
			other.cancel(nil)
		}
	}
}

// holdUnusable keeps a version that could not be applied, and older ones, from being fetched for a while.
func (x *fetcher) holdUnusable(version uint64) {
	if version > x.unusableVersion {
		x.unusableVersion, x.unusableRetryDelay = version, minUnusableRetryDelay
	}
	x.unusableRetryAt = time.Now().Add(x.unusableRetryDelay)
	x.unusableRetryDelay = min(2*x.unusableRetryDelay, maxUnusableRetryDelay)
	for _, r := range x.running {
		if r.version <= version {
			r.cancel(nil)
		}
	}
}

// setDocumentVersion records the version of the document that the consumer has, and when a host last confirmed it.
func (f *Follower) setDocumentVersion(version uint64, confirmedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.documentVersion = version
	f.setConfirmedAt(confirmedAt)
}

// fetchSources returns the hosts with a newer document, the best first: live hosts, then those with a newer
// document, then those of the entry's failure domain. Ties are broken by a hash, which spreads the entries
// over the hosts.
func (f *Follower) fetchSources() []fetchSource {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sources []fetchSource
	for _, h := range f.hosts {
		if h.documentVersion > f.documentVersion {
			sources = append(sources, fetchSource{host: h, announced: fetchAnnouncement{h.documentVersion, h.liveChangedAt}, live: h.live,
				local: h.failureDomain == f.options.FailureDomain, rank: f.fetchRank(h)})
		}
	}
	slices.SortFunc(sources, func(a, b fetchSource) int {
		return cmp.Or(-compareBool(a.live, b.live), -cmp.Compare(a.announced.version, b.announced.version), -compareBool(a.local, b.local), cmp.Compare(a.rank, b.rank))
	})
	return sources
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// fetchRank returns a number that is the same for every choice between a host and others, and
// differs between entries.
func (f *Follower) fetchRank(h *host) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(f.options.EntryName + " " + h.url)) // never fails
	return hash.Sum64()
}

// fetchDocument fetches a host's document. The error of the result is that of the call or of decompression.
func fetchDocument(ctx context.Context, s fetchSource) fetchResult {
	r := fetchResult{source: s, startedAt: time.Now()}
	response, err := s.host.client.Document(ctx, connect.NewRequest(&pb.DocumentRequest{}))
	if err != nil {
		r.err = err
		if displaced := (*FetchDisplacedError)(nil); errors.As(context.Cause(ctx), &displaced) {
			r.err = displaced
		}
		return r
	}
	r.version, r.bytes = response.Msg.Version, len(response.Msg.Content)
	r.content, r.err = document.Decompress(response.Msg.Content)
	return r
}
