package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"google.golang.org/protobuf/proto"
)

// digestRefresh is how often an unchanged load is sent again.
const digestRefresh = 15 * time.Second

// digests holds the newest load digest of each failure domain. Subscribers of
// a failure domain get its digest each time, and one of the others in turn.
type digests struct {
	maxBytes int

	mu      sync.Mutex
	round   int
	domains []string
	events  map[string]*pb.FollowEvent
	changed chan struct{}

	sent map[string]sentLoad // used by the building goroutine alone
}

// sentLoad is what a digest last told of an endpoint.
type sentLoad struct {
	load *pb.Load
	at   time.Time
}

func newDigests(maxBytes int) *digests {
	return &digests{
		maxBytes: maxBytes,
		events:   map[string]*pb.FollowEvent{},
		changed:  make(chan struct{}),
		sent:     map[string]sentLoad{},
	}
}

// digest builds the next round.
func (s *Server) digest(context.Context) {
	endpoints, _ := s.machine.Endpoints()
	s.loads.retain(endpoints)
	s.digests.build(s.now(), endpoints, s.loads)
}

// build makes the digests of one round: the loads that changed or are due for
// a refresh, the longest unsent first, up to the byte bound per failure domain.
func (d *digests) build(now time.Time, endpoints []*pb.Endpoint, l *loads) {
	due := map[string][]*pb.EndpointLoad{}
	kept := make(map[string]sentLoad, len(endpoints))
	for _, e := range endpoints {
		sent := d.sent[e.GetName()]
		kept[e.GetName()] = sent
		held := l.get(e.GetName(), e.GetIncarnation())
		if held == nil {
			continue
		}
		fresh := now.Sub(sent.at) < digestRefresh && sameLoad(held.GetLoad(), sent.load)
		if !fresh {
			due[e.GetFailureDomain()] = append(due[e.GetFailureDomain()], held)
		}
	}
	d.sent = kept
	events := make(map[string]*pb.FollowEvent, len(due))
	for domain, list := range due {
		events[domain] = d.pack(now, domain, list)
	}
	d.publish(events)
}

// pack fills one digest up to its bound.
func (d *digests) pack(now time.Time, domain string, due []*pb.EndpointLoad) *pb.FollowEvent {
	slices.SortStableFunc(due, func(a, b *pb.EndpointLoad) int {
		return d.sent[a.GetName()].at.Compare(d.sent[b.GetName()].at)
	})
	digest := &pb.Digest{FailureDomain: domain}
	size := 0
	for _, load := range due {
		size += proto.Size(load)
		if size > d.maxBytes && len(digest.Loads) > 0 {
			break
		}
		digest.Loads = append(digest.Loads, load)
		d.sent[load.GetName()] = sentLoad{load: load.GetLoad(), at: now}
	}
	return &pb.FollowEvent{Event: &pb.FollowEvent_Digest{Digest: digest}}
}

func (d *digests) publish(events map[string]*pb.FollowEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.round++
	d.events = events
	d.domains = slices.Sorted(maps.Keys(events))
	close(d.changed)
	d.changed = make(chan struct{})
}

// next returns a channel that is closed at the next round.
func (d *digests) next() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// pick returns what a subscriber of a failure domain gets in this round.
func (d *digests) pick(domain string) []*pb.FollowEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*pb.FollowEvent
	if own := d.events[domain]; own != nil {
		list = append(list, own)
	}
	others := slices.DeleteFunc(slices.Clone(d.domains), func(name string) bool { return name == domain })
	if len(others) > 0 {
		list = append(list, d.events[others[d.round%len(others)]])
	}
	return list
}

// sameLoad compares loads apart from their sequence numbers.
func sameLoad(a, b *pb.Load) bool {
	if a == nil || b == nil {
		return a == b
	}
	if len(a.GetTiers()) != len(b.GetTiers()) || a.GetRunning() != b.GetRunning() || a.GetSlots() != b.GetSlots() {
		return false
	}
	for i, tier := range a.GetTiers() {
		other := b.GetTiers()[i]
		if tier.GetTier() != other.GetTier() || tier.GetWaiting() != other.GetWaiting() || tier.GetRunning() != other.GetRunning() {
			return false
		}
	}
	return true
}
