package lease

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// minEndpointsForGrace is the least number of endpoints of a failure domain, or in all,
// for which the silence of most is attributed to the control host rather than to them.
const minEndpointsForGrace = 3

// allEndpoints is the key for all endpoints in maps by failure domain.
const allEndpoints = ""

// TrackerSettings sets how long an endpoint may be silent, that is, send no heartbeat,
// before its lease expires.
type TrackerSettings struct {
	LeaseDuration time.Duration
	// DomainOutageGrace applies instead of LeaseDuration while most endpoints of the failure
	// domain, or most of all endpoints, are silent.
	DomainOutageGrace time.Duration
}

// Tracker is the leader's record of the last heartbeats, by its own clock. It is not
// replicated: a new leader starts with a full lease for every endpoint. It is not
// safe for concurrent use.
type Tracker struct {
	settings       TrackerSettings
	lastHeartbeats map[string]heartbeat
	inGrace        map[string]bool // by failure domain or allEndpoints
	lastExpire     time.Time
	renewedAt      time.Time // every lease counts as renewed at this time or later
}

// heartbeat is the last heartbeat of one incarnation.
type heartbeat struct {
	incarnation uint64
	at          time.Time
}

// silenceCount counts the silent endpoints of one failure domain, or of all.
type silenceCount struct {
	total  int
	silent int
}

func NewTracker(s TrackerSettings) *Tracker {
	return &Tracker{settings: s, lastHeartbeats: map[string]heartbeat{}, inGrace: map[string]bool{}}
}

// Reset discards all heartbeats, so that the next Expire gives every endpoint a full
// lease. It must be called when this host becomes the leader.
func (t *Tracker) Reset() {
	clear(t.lastHeartbeats)
	clear(t.inGrace)
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
// If most endpoints of a failure domain, or most of all endpoints, are silent at once,
// the fault is assumed to be on the side of the control host, and they get the longer
// grace instead of the lease duration. While every endpoint is silent, none expires.
// When most are heard again, those that are still silent get one new lease.
func (t *Tracker) Expire(now time.Time, endpoints []*pb.Endpoint) []*pb.Incarnation {
	if t.lastExpire.IsZero() || now.Sub(t.lastExpire) > t.settings.LeaseDuration/2 {
		t.renewedAt = now
	}
	t.lastExpire = now
	t.syncIncarnations(now, endpoints)
	counts := t.countSilent(now, endpoints)
	t.updateGrace(now, endpoints, counts)
	all := counts[allEndpoints]
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

func (t *Tracker) countSilent(now time.Time, endpoints []*pb.Endpoint) map[string]*silenceCount {
	counts := map[string]*silenceCount{}
	for _, e := range endpoints {
		silent := t.silence(now, e) > t.settings.LeaseDuration
		countEndpoint(counts, allEndpoints, silent)
		if e.GetFailureDomain() != allEndpoints {
			countEndpoint(counts, e.GetFailureDomain(), silent)
		}
	}
	return counts
}

func countEndpoint(counts map[string]*silenceCount, domain string, silent bool) {
	c := counts[domain]
	if c == nil {
		c = &silenceCount{}
		counts[domain] = c
	}
	c.total++
	if silent {
		c.silent++
	}
}

// updateGrace marks the failure domains that are in grace and renews the leases of the
// silent endpoints of those that no longer are.
func (t *Tracker) updateGrace(now time.Time, endpoints []*pb.Endpoint, counts map[string]*silenceCount) {
	recovered := map[string]bool{}
	for domain, c := range counts {
		inGrace := c.mostlySilent()
		if t.inGrace[domain] && !inGrace {
			recovered[domain] = true
		}
		t.inGrace[domain] = inGrace
	}
	for _, e := range endpoints {
		expired := t.silence(now, e) > t.settings.LeaseDuration
		if expired && (recovered[allEndpoints] || recovered[e.GetFailureDomain()]) {
			t.lastHeartbeats[e.GetName()] = heartbeat{incarnation: e.GetIncarnation(), at: now}
		}
	}
}

// mostlySilent reports whether enough endpoints are silent at once to attribute the
// silence to the control host.
func (c *silenceCount) mostlySilent() bool {
	return c.total >= minEndpointsForGrace && 2*c.silent > c.total
}

func (t *Tracker) leaseExpired(now time.Time, e *pb.Endpoint) bool {
	silence := t.silence(now, e)
	if silence <= t.settings.LeaseDuration {
		return false
	}
	inGrace := t.inGrace[allEndpoints] || t.inGrace[e.GetFailureDomain()]
	return !inGrace || silence > t.settings.DomainOutageGrace
}

func (t *Tracker) silence(now time.Time, e *pb.Endpoint) time.Duration {
	last := t.lastHeartbeats[e.GetName()].at
	if last.Before(t.renewedAt) {
		last = t.renewedAt
	}
	return now.Sub(last)
}
