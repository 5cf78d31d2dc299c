package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"google.golang.org/protobuf/proto"
)

// loadRefresh is how often the load of an endpoint is noted anew although its
// queue has not changed.
const loadRefresh = 15 * time.Second

// digests holds the loads of each failure domain in the order in which they
// changed. Each subscriber has a place in that order, so none misses a change
// and a slow one gets fewer, newer loads.
type digests struct {
	mu      sync.Mutex
	number  uint64 // of the newest note
	noted   map[string]note
	domains map[string][]note // by number
	changed chan struct{}
}

// note is a load as subscribers are told of it.
type note struct {
	number uint64
	at     time.Time
	domain string
	load   *pb.EndpointLoad
}

func newDigests() *digests {
	return &digests{
		noted:   map[string]note{},
		domains: map[string][]note{},
		changed: make(chan struct{}),
	}
}

// digest notes the loads that changed and wakes the streams.
func (s *Server) digest(context.Context) {
	endpoints, _ := s.machine.Endpoints()
	s.loads.retain(endpoints)
	s.digests.build(s.now(), endpoints, s.loads)
}

// build makes one round.
func (d *digests) build(now time.Time, endpoints []*pb.Endpoint, l *loads) {
	d.mu.Lock()
	defer d.mu.Unlock()
	noted := make(map[string]note, len(endpoints))
	domains := map[string][]note{}
	for _, e := range endpoints {
		held := l.get(e.GetName(), e.GetIncarnation())
		if held == nil {
			continue
		}
		n, known := d.noted[e.GetName()]
		if !known || n.due(now, held) {
			d.number++
			n = note{number: d.number, at: now, domain: e.GetFailureDomain(), load: held}
		}
		noted[e.GetName()] = n
		domains[n.domain] = append(domains[n.domain], n)
	}
	for _, list := range domains {
		slices.SortFunc(list, func(a, b note) int { return cmp.Compare(a.number, b.number) })
	}
	d.noted, d.domains = noted, domains
	close(d.changed)
	d.changed = make(chan struct{})
}

// due tells whether a load is worth a new note.
func (n note) due(now time.Time, held *pb.EndpointLoad) bool {
	if n.load.GetIncarnation() != held.GetIncarnation() {
		return true
	}
	if n.load.GetLoad().GetSequence() == held.GetLoad().GetSequence() {
		return false
	}
	return now.Sub(n.at) >= loadRefresh || !sameQueue(n.load.GetLoad(), held.GetLoad())
}

// next returns a channel that is closed at the next round, and the number of
// the newest note.
func (d *digests) next() (changed <-chan struct{}, number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed, d.number
}

// names lists the failure domains with a load.
func (d *digests) names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.domains))
}

// since returns the loads of a failure domain after a note, the oldest change
// first, up to a bound in bytes, and the number of the last one.
func (d *digests) since(domain string, number uint64, maxBytes int) (*pb.Digest, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.domains[domain]
	first, _ := slices.BinarySearchFunc(list, number+1, func(n note, want uint64) int {
		return cmp.Compare(n.number, want)
	})
	digest := &pb.Digest{FailureDomain: domain}
	size := 0
	for _, n := range list[first:] {
		size += proto.Size(n.load)
		if size > maxBytes && len(digest.Loads) > 0 {
			break
		}
		digest.Loads = append(digest.Loads, n.load)
		number = n.number
	}
	return digest, number
}

// sameQueue compares what the choice of an endpoint depends on most.
func sameQueue(a, b *pb.Load) bool {
	if a.GetRunning() != b.GetRunning() || a.GetSlots() != b.GetSlots() {
		return false
	}
	return slices.EqualFunc(a.GetTiers(), b.GetTiers(), func(x, y *pb.TierLoad) bool {
		return x.GetTier() == y.GetTier() && x.GetWaiting() == y.GetWaiting() && x.GetRunning() == y.GetRunning()
	})
}

// loadPlaces are a subscriber's places in the order of each failure domain.
type loadPlaces struct {
	start  uint64 // the whole directory held the loads up to here
	places map[string]uint64
	round  int
}

// pick returns what a subscriber gets in this round: the loads of its own
// failure domain, and of one of the others in turn.
func (p *loadPlaces) pick(d *digests, own string, maxBytes int) []*pb.FollowEvent {
	names := d.names()
	others := slices.DeleteFunc(names, func(name string) bool { return name == own })
	turn := []string{own}
	if len(others) > 0 {
		turn = append(turn, others[p.round%len(others)])
	}
	p.round++
	var events []*pb.FollowEvent
	for _, name := range turn {
		place, known := p.places[name]
		if !known {
			place = p.start
		}
		digest, newest := d.since(name, place, maxBytes)
		p.places[name] = newest
		if len(digest.GetLoads()) > 0 {
			events = append(events, &pb.FollowEvent{Event: &pb.FollowEvent_Digest{Digest: digest}})
		}
	}
	return events
}
