package forward

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	// maxPendingStarts limits the starts of streams that are to be reported; the oldest are dropped.
	maxPendingStarts = 8192
	// A request that takes a stream up waits for its origin for maxOriginWait, since reports of
	// other entries may be under way, and at most for its time left divided by originWaitDivisor.
	// While control hosts answer that have just started it waits for maxCatchUpWait.
	maxOriginWait      = 300 * time.Millisecond
	maxCatchUpWait     = 2 * time.Second
	originWaitDivisor  = 3
	originPollInterval = 50 * time.Millisecond
)

// StreamFinder finds the origin of streams that began at other entries.
type StreamFinder interface {
	// FindStream asks the control hosts for the origin of a stream and the versions of its service.
	FindStream(ctx context.Context, service string, stream uint64) origin.Finding
}

// UnknownOriginError reports that a caller takes a stream up of which no host knows the software
// version that began it, and that several versions may serve.
type UnknownOriginError struct {
	ResumedID string // ID of the request that brought the first event, "" if the caller named none
}

func (e *UnknownOriginError) Error() string {
	return "it is not known which version began the stream of request " + e.ResumedID
}

// streamKey identifies the stream that a request began, on all hosts alike.
func streamKey(workspace, requestID string) uint64 {
	h := sha256.New()
	writeNumber(h, uint64(len(workspace)))
	_, _ = h.Write([]byte(workspace + requestID)) // a hash returns no error
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// streamOrigins is what a Router knows of the origins of streams. The Router's lock guards it.
type streamOrigins struct {
	memory   origin.Memory
	versions *origin.Versions
	mixed    map[string]bool // services of which several versions serve
	pending  []origin.Start  // to be reported
	reports  uint64          // number of times that starts were taken to be reported; at least 1
}

func newStreamOrigins() *streamOrigins {
	return &streamOrigins{versions: origin.NewVersions(), mixed: map[string]bool{}, reports: 1}
}

// update applies changes of the directory. Starts are reported only while several versions serve,
// then also the earlier ones.
func (s *streamOrigins) update(now time.Time, changed []directory.Endpoint) {
	for _, e := range changed {
		s.versions.Update(now, e.ID, origin.Origin{Service: e.Service, Version: e.Version}, e.State == directory.Gone)
	}
	for _, e := range changed {
		s.reportIfMixed(now, e.Service)
	}
}

// setRecorded applies the versions that control hosts have recorded.
func (s *streamOrigins) setRecorded(now time.Time, versions map[origin.Origin]bool) {
	s.versions.SetRecorded(now, versions)
	for o := range versions {
		s.reportIfMixed(now, o.Service)
	}
}

// reportIfMixed reports the streams of a service once another version has joined its only one.
func (s *streamOrigins) reportIfMixed(now time.Time, service string) {
	if s.updateMixed(now, service) {
		s.report(s.memory.All(service)...)
	}
}

// updateMixed reports whether another version has joined the only one of a service.
func (s *streamOrigins) updateMixed(now time.Time, service string) (joined bool) {
	mixed := s.versions.Mixed(now, service)
	joined = mixed && !s.mixed[service]
	s.mixed[service] = mixed
	return joined
}

func (s *streamOrigins) report(starts ...origin.Start) {
	s.pending = append(s.pending, starts...)
	s.pending = s.pending[max(len(s.pending)-maxPendingStarts, 0):]
}

// add records that an attempt may begin a stream.
func (s *streamOrigins) add(now time.Time, start origin.Start) {
	s.memory.Add(now, start)
	s.updateMixed(now, start.Origin.Service)
	if s.mixed[start.Origin.Service] {
		s.report(start)
	}
}

// SetServedVersions replaces the versions that control hosts have recorded: they serve, or did so short ago.
// true is one that a majority has recorded.
func (rt *Router) SetServedVersions(versions map[origin.Origin]bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.origins.setRecorded(time.Now(), versions)
}

// TakeStreamStarts returns and clears the starts of streams to be reported. With all it returns
// all that are remembered, for a control host that has none of them.
func (rt *Router) TakeStreamStarts(all bool) []origin.Start {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	taken := rt.origins.pending
	rt.origins.pending = nil
	rt.origins.reports++
	if !all {
		return taken
	}
	taken = nil
	for service, mixed := range rt.origins.mixed {
		if mixed {
			taken = append(taken, rt.origins.memory.All(service)...)
		}
	}
	return taken
}

// HasStreamStarts reports whether there are starts of streams to be reported.
func (rt *Router) HasStreamStarts() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.origins.pending) > 0
}

// isResumable reports whether the request is for a stream that may be taken up.
func (a *activeRequest) isResumable() bool {
	return a.request.Route.Kind == catalog.EventStream && a.request.Route.Resumable
}

// findOrigin finds the origin of a stream that the caller takes up. If only one version serves,
// an unknown stream began there. What this entry knows of the versions may be old, without a sign of it, so
// control hosts are asked. An error is an *UnknownOriginError.
func (a *activeRequest) findOrigin(ctx context.Context) error {
	if a.request.LastEventID == "" || !a.isResumable() {
		return nil
	}
	started, key := time.Now(), streamKey(a.request.Workspace, a.request.ResumedID)
	for {
		k := a.lookUpOrigin(ctx, key)
		if k.known {
			a.setOrigin(k.origin)
			return nil
		}
		if time.Since(started) <= a.originWait(k) && wait.For(ctx, originPollInterval) {
			continue
		}
		return errors.WithStack(&UnknownOriginError{ResumedID: a.request.ResumedID})
	}
}

// originKnowledge is what hosts know of a stream and of the versions of its service.
type originKnowledge struct {
	origin     origin.Origin
	known      bool
	catchingUp bool // control hosts answer, and too few know all versions yet
}

// lookUpOrigin returns what this entry knows or, where that does not suffice, the control hosts.
func (a *activeRequest) lookUpOrigin(ctx context.Context, key uint64) originKnowledge {
	now, service := time.Now(), a.request.Service
	a.mu.Lock()
	o, known := a.origins.memory.Find(key)
	versions := a.origins.versions.Known(now, service)
	a.mu.Unlock()
	if known {
		return originKnowledge{origin: o, known: true}
	}
	complete, catchingUp := true, false
	if a.options.StreamFinder != nil {
		finding := a.options.StreamFinder.FindStream(ctx, service, key)
		if finding.Known {
			return originKnowledge{origin: finding.Origin, known: true}
		}
		maps.Copy(versions, finding.Versions)
		complete, catchingUp = finding.Complete, finding.Answered && !finding.Complete
	}
	if complete && len(versions) == 1 {
		for version := range versions {
			return originKnowledge{origin: origin.Origin{Service: service, Version: version}, known: true}
		}
	}
	return originKnowledge{catchingUp: catchingUp && len(versions) <= 1}
}

// originWait returns how long to wait for the origin of a stream.
func (a *activeRequest) originWait(k originKnowledge) time.Duration {
	limit := maxOriginWait
	if k.catchingUp {
		limit = maxCatchUpWait
	}
	return min(limit, a.request.Deadline.Sub(a.request.ReceivedAt)/originWaitDivisor)
}

// setOrigin restricts the request to endpoints of the version that began its stream, at the same
// service if the route still leads there.
func (a *activeRequest) setOrigin(o origin.Origin) {
	a.origin.Store(&o)
	if slices.ContainsFunc(a.request.Route.Backends, func(b catalog.Backend) bool { return b.Service == o.Service && b.Weight > 0 }) {
		a.request.Service = o.Service
	}
}

// restrictVersion restricts the request to the endpoints that may begin or continue its stream. An attempt that
// may have been reported binds the next ones: other hosts may never hear of a later start, or some of them
// late, and where the caller takes the stream up the earlier one counts. The caller holds the lock.
func (a *activeRequest) restrictVersion(request *balance.Request) {
	switch o := a.origin.Load(); {
	case o != nil:
		request.OnlyVersion, request.Version = true, o.Version
	case a.startReports != 0 && a.startReports != a.origins.reports:
		request.OnlyVersion, request.Version = true, a.startVersion
	case a.isResumable():
		request.UnrecordedVersions = a.origins.versions.Unrecorded(a.request.Service)
	}
}

// recordStart records where the stream of the request begins, or goes on, with the chosen
// endpoint. The caller holds the lock.
func (a *activeRequest) recordStart(now time.Time, version string) {
	if a.isResumable() {
		if a.startReports == 0 || a.startVersion != version {
			a.startVersion, a.startReports = version, a.origins.reports
		}
		a.origins.add(now, origin.Start{Stream: streamKey(a.request.Workspace, a.request.ID), Origin: origin.Origin{Service: a.request.Service, Version: version}})
	}
}
