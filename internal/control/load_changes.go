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

// loadRefreshInterval is how long a newer load of an endpoint is withheld from
// subscribers while the occupancy of the endpoint is unchanged.
const loadRefreshInterval = 15 * time.Second

// loadChangeLog holds the newest load of each endpoint, by failure domain, in
// the order of its last change. Each subscriber has a position in that order,
// so it misses no endpoint; a slow subscriber skips intermediate loads and gets
// the newest ones.
type loadChangeLog struct {
	mu          sync.Mutex
	lastVersion uint64                  // of the newest change
	latest      map[string]loadChange   // by endpoint name
	byDomain    map[string][]loadChange // by failure domain, in the order of versions
	changed     chan struct{}           // closed and replaced at each update
}

// loadChange is a load as it is sent to subscribers.
type loadChange struct {
	version       uint64
	recordedAt    time.Time
	failureDomain string
	load          *pb.EndpointLoad
}

func newLoadChangeLog() *loadChangeLog {
	return &loadChangeLog{
		latest:   map[string]loadChange{},
		byDomain: map[string][]loadChange{},
		changed:  make(chan struct{}),
	}
}

// recordLoadChanges records the loads that changed and wakes the subscriber
// streams.
func (s *Server) recordLoadChanges(context.Context) {
	endpoints, _ := s.machine.Endpoints()
	s.loads.removeAbsent(endpoints)
	s.loadChanges.update(s.now(), endpoints, s.loads)
}

// update records the loads that changed since the last update and closes the
// channel that watch returned.
func (l *loadChangeLog) update(now time.Time, endpoints []*pb.Endpoint, loads *loadTable) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := make(map[string]loadChange, len(endpoints))
	byDomain := map[string][]loadChange{}
	for _, e := range endpoints {
		current := loads.get(e.GetName(), e.GetIncarnation())
		if current == nil {
			continue
		}
		change, known := l.latest[e.GetName()]
		if !known || change.outdated(now, current) {
			l.lastVersion++
			change = loadChange{version: l.lastVersion, recordedAt: now, failureDomain: e.GetFailureDomain(), load: current}
		}
		latest[e.GetName()] = change
		byDomain[change.failureDomain] = append(byDomain[change.failureDomain], change)
	}
	for _, list := range byDomain {
		slices.SortFunc(list, func(a, b loadChange) int { return cmp.Compare(a.version, b.version) })
	}
	l.latest, l.byDomain = latest, byDomain
	close(l.changed)
	l.changed = make(chan struct{})
}

// outdated reports whether subscribers should get the current load instead of
// this one.
func (c loadChange) outdated(now time.Time, current *pb.EndpointLoad) bool {
	if c.load.GetIncarnation() != current.GetIncarnation() {
		return true
	}
	if c.load.GetLoad().GetSequence() == current.GetLoad().GetSequence() {
		return false
	}
	return now.Sub(c.recordedAt) >= loadRefreshInterval || !sameOccupancy(c.load.GetLoad(), current.GetLoad())
}

// watch returns a channel that is closed at the next update, and the version of
// the newest change.
func (l *loadChangeLog) watch() (changed <-chan struct{}, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed, l.lastVersion
}

// failureDomains lists the failure domains that have a load, sorted by name.
func (l *loadChangeLog) failureDomains() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.byDomain))
}

// since returns the loads of a failure domain that changed after a version,
// oldest change first, and the version of the last one returned. The first load
// is returned whatever its size, further ones up to maxBytes in total.
func (l *loadChangeLog) since(domain string, version uint64, maxBytes int) (*pb.Digest, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.byDomain[domain]
	first, _ := slices.BinarySearchFunc(list, version+1, func(c loadChange, target uint64) int {
		return cmp.Compare(c.version, target)
	})
	digest := &pb.Digest{FailureDomain: domain}
	size := 0
	for _, c := range list[first:] {
		size += proto.Size(c.load)
		if size > maxBytes && len(digest.Loads) > 0 {
			break
		}
		digest.Loads = append(digest.Loads, c.load)
		version = c.version
	}
	return digest, version
}

// sameOccupancy reports whether two loads have the same slots and the same numbers
// of running and waiting requests. These matter most to the choice of an endpoint.
func sameOccupancy(a, b *pb.Load) bool {
	if a.GetRunning() != b.GetRunning() || a.GetSlots() != b.GetSlots() {
		return false
	}
	return slices.EqualFunc(a.GetTiers(), b.GetTiers(), func(x, y *pb.TierLoad) bool {
		return x.GetTier() == y.GetTier() && x.GetWaiting() == y.GetWaiting() && x.GetRunning() == y.GetRunning()
	})
}

// loadCursor is the position of a subscriber in the load changes of each
// failure domain.
type loadCursor struct {
	initialVersion uint64            // the full directory included the loads up to this version
	versions       map[string]uint64 // last version sent, by failure domain
	round          int               // number of rounds so far; selects the other failure domain
}

// nextEvents returns the digests of one round: the loads of the subscriber's
// own failure domain, and those of one other domain in rotation.
func (c *loadCursor) nextEvents(changes *loadChangeLog, ownDomain string, maxBytes int) []*pb.FollowEvent {
	names := changes.failureDomains()
	others := slices.DeleteFunc(names, func(name string) bool { return name == ownDomain })
	selected := []string{ownDomain}
	if len(others) > 0 {
		selected = append(selected, others[c.round%len(others)])
	}
	c.round++
	var events []*pb.FollowEvent
	for _, name := range selected {
		version, known := c.versions[name]
		if !known {
			version = c.initialVersion
		}
		digest, newest := changes.since(name, version, maxBytes)
		c.versions[name] = newest
		if len(digest.GetLoads()) > 0 {
			events = append(events, &pb.FollowEvent{Event: &pb.FollowEvent_Digest{Digest: digest}})
		}
	}
	return events
}
