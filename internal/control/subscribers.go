package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// reportLifetime is how long the subscribers of another host are shown after
// its last report.
const reportLifetime = 30 * time.Second

// subscriber is one open stream.
type subscriber struct {
	name     string
	kind     string
	mu       sync.Mutex
	revision uint64
	sentAt   time.Time
}

// sent notes the revision that the subscriber has been brought to.
func (u *subscriber) sent(now time.Time, revision uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.revision = max(u.revision, revision)
	u.sentAt = now
}

func (u *subscriber) describe(now time.Time) *pb.SubscriberReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &pb.SubscriberReport{
		Name:     u.name,
		Kind:     u.kind,
		Revision: u.revision,
		AgeMs:    uint64(max(0, now.Sub(u.sentAt).Milliseconds())),
	}
}

// subscribers holds the open streams of this host and what others reported.
type subscribers struct {
	bound int

	mu       sync.Mutex
	open     map[*subscriber]struct{}
	reported map[uint64]reportedSubscribers
}

// reportedSubscribers are the open streams of another host.
type reportedSubscribers struct {
	at   time.Time
	list []*pb.SubscriberReport
}

func newSubscribers(bound int) *subscribers {
	return &subscribers{
		bound:    bound,
		open:     map[*subscriber]struct{}{},
		reported: map[uint64]reportedSubscribers{},
	}
}

// add registers a stream; ok is false at the bound.
func (u *subscribers) add(now time.Time, name, kind string, revision uint64) (s *subscriber, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.open) >= u.bound {
		return nil, false
	}
	s = &subscriber{name: name, kind: kind, revision: revision, sentAt: now}
	u.open[s] = struct{}{}
	return s, true
}

func (u *subscribers) remove(s *subscriber) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.open, s)
}

// own lists the streams of this host.
func (u *subscribers) own(now time.Time) []*pb.SubscriberReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := make([]*pb.SubscriberReport, 0, len(u.open))
	for s := range u.open {
		list = append(list, s.describe(now))
	}
	return list
}

// report keeps the streams of another host.
func (u *subscribers) report(now time.Time, reporter uint64, list []*pb.SubscriberReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reported[reporter] = reportedSubscribers{at: now, list: list}
}

// all lists the streams of this host and of those that reported lately, by name.
func (u *subscribers) all(now time.Time) []*pb.SubscriberReport {
	list := u.own(now)
	u.mu.Lock()
	defer u.mu.Unlock()
	for reporter, r := range u.reported {
		if now.Sub(r.at) > reportLifetime {
			delete(u.reported, reporter)
			continue
		}
		list = append(list, r.list...)
	}
	slices.SortFunc(list, func(a, b *pb.SubscriberReport) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}
