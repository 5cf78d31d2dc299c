package control

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// hostReportLifetime is how long the subscribers of another host are listed
// after its last report.
const hostReportLifetime = 30 * time.Second

// subscriberStream is one open stream of a subscriber.
type subscriberStream struct {
	name      string
	kind      string
	openOrder uint64 // ascending in the order of opening
	mu        sync.Mutex
	revision  uint64
	sentAt    time.Time
}

// recordSent records that an event was sent, with the revision that it carried or
// 0 for a keepalive.
func (s *subscriberStream) recordSent(now time.Time, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	s.sentAt = now
}

func (s *subscriberStream) toReport(now time.Time) *pb.SubscriberReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &pb.SubscriberReport{
		Name:     s.name,
		Kind:     s.kind,
		Revision: s.revision,
		AgeMs:    uint64(max(0, now.Sub(s.sentAt).Milliseconds())),
	}
}

// subscriberRegistry holds the open streams of this host and those reported by
// other hosts.
type subscriberRegistry struct {
	maxOpen int

	mu          sync.Mutex
	open        map[*subscriberStream]struct{}
	openedCount uint64
	hostReports map[uint64]hostReport // by control host id
}

// hostReport lists the subscribers of another host.
type hostReport struct {
	receivedAt  time.Time
	subscribers []*pb.SubscriberReport
}

func newSubscriberRegistry(maxOpen int) *subscriberRegistry {
	return &subscriberRegistry{
		maxOpen:     maxOpen,
		open:        map[*subscriberStream]struct{}{},
		hostReports: map[uint64]hostReport{},
	}
}

// add registers a stream; ok is false if maxOpen streams are open.
func (reg *subscriberRegistry) add(now time.Time, name, kind string, revision uint64) (s *subscriberStream, ok bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if len(reg.open) >= reg.maxOpen {
		return nil, false
	}
	reg.openedCount++
	s = &subscriberStream{name: name, kind: kind, openOrder: reg.openedCount, revision: revision, sentAt: now}
	reg.open[s] = struct{}{}
	return s, true
}

func (reg *subscriberRegistry) remove(s *subscriberStream) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	delete(reg.open, s)
}

// subscriberKey identifies a subscriber across its streams.
type subscriberKey struct {
	kind, name string
}

// local lists the subscribers of this host. A subscriber that has reconnected
// may still have its earlier stream open; only its newest stream is listed.
func (reg *subscriberRegistry) local(now time.Time) []*pb.SubscriberReport {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	newest := map[subscriberKey]*subscriberStream{}
	for s := range reg.open {
		key := subscriberKey{s.kind, s.name}
		if other := newest[key]; other == nil || s.openOrder > other.openOrder {
			newest[key] = s
		}
	}
	list := make([]*pb.SubscriberReport, 0, len(newest))
	for _, s := range newest {
		list = append(list, s.toReport(now))
	}
	return list
}

// recordReport stores the subscribers of another host.
func (reg *subscriberRegistry) recordReport(now time.Time, reporter uint64, list []*pb.SubscriberReport) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.hostReports[reporter] = hostReport{receivedAt: now, subscribers: list}
}

// all lists the subscribers of this host and of the hosts that reported
// recently, by name. A subscriber that has moved between hosts is on both lists
// for a while; the host that sent to it last is the one listed.
func (reg *subscriberRegistry) all(now time.Time) []*pb.SubscriberReport {
	latest := map[subscriberKey]*pb.SubscriberReport{}
	keepLatest := func(r *pb.SubscriberReport) {
		key := subscriberKey{r.GetKind(), r.GetName()}
		if other := latest[key]; other == nil || r.GetAgeMs() < other.GetAgeMs() {
			latest[key] = r
		}
	}
	for _, r := range reg.local(now) {
		keepLatest(r)
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for reporter, r := range reg.hostReports {
		reportAge := now.Sub(r.receivedAt)
		if reportAge > hostReportLifetime {
			delete(reg.hostReports, reporter)
			continue
		}
		for _, s := range r.subscribers {
			keepLatest(&pb.SubscriberReport{
				Name:     s.GetName(),
				Kind:     s.GetKind(),
				Revision: s.GetRevision(),
				AgeMs:    s.GetAgeMs() + uint64(max(0, reportAge.Milliseconds())),
			})
		}
	}
	list := slices.Collect(maps.Values(latest))
	slices.SortFunc(list, func(a, b *pb.SubscriberReport) int {
		return cmp.Or(strings.Compare(a.GetName(), b.GetName()), strings.Compare(a.GetKind(), b.GetKind()))
	})
	return list
}
