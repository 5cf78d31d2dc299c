package lease

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// minGroupSize is the smallest group in which silence of most members is attributed
// to the control host rather than to the endpoints.
const minGroupSize = 3

// allEndpoints is the key of the group of all endpoints.
const allEndpoints = ""

// TrackerSettings bounds the time without heartbeats.
type TrackerSettings struct {
	// LeaseDuration is how long a single endpoint may be silent.
	LeaseDuration time.Duration
	// GroupGrace is how long an endpoint may be silent while most of its group is.
	GroupGrace time.Duration
}

// Tracker is the leader's record of the last heartbeats, by its own clock. It is not
// replicated: a new leader starts with a full lease for every endpoint. It is not
// safe for concurrent use.
type Tracker struct {
	settings       TrackerSettings
	lastHeartbeats map[string]heartbeat
	groupsInGrace  map[string]bool
	lastExpire     time.Time
	renewedAt      time.Time // lower bound of every last heartbeat
}

// heartbeat is the last heartbeat of one incarnation.
type heartbeat struct {
	incarnation uint64
	at          time.Time
}

// group counts the endpoints of one failure domain, or all.
type group struct {
	total  int
	silent int
}

func NewTracker(s TrackerSettings) *Tracker {
	return &Tracker{settings: s, lastHeartbeats: map[string]heartbeat{}, groupsInGrace: map[string]bool{}}
}

// Reset discards all heartbeats, so that the next Expire gives every endpoint a full
// lease. It must be called when this host becomes the leader.
func (t *Tracker) Reset() {
	clear(t.lastHeartbeats)
	clear(t.groupsInGrace)
	t.lastExpire = time.Time{}
}

// RecordHeartbeat records a heartbeat. The time may lie in the past.
func (t *Tracker) RecordHeartbeat(at time.Time, name string, incarnation uint64) {
	last, known := t.lastHeartbeats[name]
	if known && (last.incarnation > incarnation || (last.incarnation == incarnation && !at.After(last.at))) {
		return
	}
	t.lastHeartbeats[name] = heartbeat{incarnation: incarnation, at: at}
}

// Expire returns the incarnations whose lease has expired. It must be called several
// times per lease: after a longer pause, which is the fault of this host, every
// lease is renewed.
//
// If most of a group, or of all endpoints, is silent at once, the fault is assumed to
// be on the side of the control host. No endpoint of that group then expires before
// GroupGrace, and none at all while every endpoint is silent. When the group recovers,
// its members that are still silent get one new lease.
func (t *Tracker) Expire(now time.Time, endpoints []*pb.Endpoint) []*pb.Incarnation {
	if t.lastExpire.IsZero() || now.Sub(t.lastExpire) > t.settings.LeaseDuration/2 {
		t.renewedAt = now
	}
	t.lastExpire = now
	t.syncIncarnations(now, endpoints)
	groups := t.countSilent(now, endpoints)
	t.updateGrace(now, endpoints, groups)
	all := groups[allEndpoints]
	if all == nil || all.silent == 0 || all.silent == all.total {
		return nil
	}
	var expired []*pb.Incarnation
	for _, e := range endpoints {
		if t.leaseExpired(now, e) {
			expired = append(expired, &pb.Incarnation{Name: e.GetName(), Incarnation: e.GetIncarnation()})
		}
	}
	return expired
}

// syncIncarnations gives new incarnations a full lease and drops absent ones.
func (t *Tracker) syncIncarnations(now time.Time, endpoints []*pb.Endpoint) {
	present := make(map[string]heartbeat, len(endpoints))
	for _, e := range endpoints {
		h, known := t.lastHeartbeats[e.GetName()]
		if !known || h.incarnation < e.GetIncarnation() {
			h = heartbeat{incarnation: e.GetIncarnation(), at: now}
		}
		present[e.GetName()] = h
	}
	t.lastHeartbeats = present
}

func (t *Tracker) countSilent(now time.Time, endpoints []*pb.Endpoint) map[string]*group {
	groups := map[string]*group{}
	for _, e := range endpoints {
		silent := t.silence(now, e) > t.settings.LeaseDuration
		countEndpoint(groups, allEndpoints, silent)
		if e.GetFailureDomain() != allEndpoints {
			countEndpoint(groups, e.GetFailureDomain(), silent)
		}
	}
	return groups
}

func countEndpoint(groups map[string]*group, name string, silent bool) {
	g := groups[name]
	if g == nil {
		g = &group{}
		groups[name] = g
	}
	g.total++
	if silent {
		g.silent++
	}
}

// updateGrace marks the groups that are in grace and renews the leases of silent
// members of groups that no longer are.
func (t *Tracker) updateGrace(now time.Time, endpoints []*pb.Endpoint, groups map[string]*group) {
	recovered := map[string]bool{}
	for name, g := range groups {
		inGrace := g.mostlySilent()
		if t.groupsInGrace[name] && !inGrace {
			recovered[name] = true
		}
		t.groupsInGrace[name] = inGrace
	}
	for _, e := range endpoints {
		expired := t.silence(now, e) > t.settings.LeaseDuration
		if expired && (recovered[allEndpoints] || recovered[e.GetFailureDomain()]) {
			t.lastHeartbeats[e.GetName()] = heartbeat{incarnation: e.GetIncarnation(), at: now}
		}
	}
}

// mostlySilent reports whether enough endpoints are silent at once to attribute it to
// the control host.
func (g *group) mostlySilent() bool {
	return g.total >= minGroupSize && 2*g.silent > g.total
}

func (t *Tracker) leaseExpired(now time.Time, e *pb.Endpoint) bool {
	silence := t.silence(now, e)
	if silence <= t.settings.LeaseDuration {
		return false
	}
	inGrace := t.groupsInGrace[allEndpoints] || t.groupsInGrace[e.GetFailureDomain()]
	return !inGrace || silence > t.settings.GroupGrace
}

func (t *Tracker) silence(now time.Time, e *pb.Endpoint) time.Duration {
	last := t.lastHeartbeats[e.GetName()].at
	if last.Before(t.renewedAt) {
		last = t.renewedAt
	}
	return now.Sub(last)
}
