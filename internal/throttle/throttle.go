// Package throttle divides the rate of requests that an endpoint takes among the entries of
// all failure domains. An entry sends a request to such an endpoint only with a permit. Each
// control host grants permits to the entries that report to it, at the share of the rate that
// its entries have in the demand of all.
//
// A Table has no clock, goroutine or I/O. It is not safe for concurrent use.
package throttle

import (
	"math"
	"time"
)

// Notice is what an endpoint last said of its limit. The newest notice holds. A notice that ends
// a limit is as old as the request whose response named none: a response that was on its way
// when the limit was named says nothing.
type Notice struct {
	Limited   bool
	PerSecond float64 // requests from all entries together
	At        time.Time
}

// Supersedes reports whether n replaces another notice. The same notice must be newer by
// refreshTime: hosts exchange ages, so that it gets a little newer on its way.
func (n Notice) Supersedes(other Notice) bool {
	if n.Limited == other.Limited && n.PerSecond == other.PerSecond {
		return n.At.Sub(other.At) > refreshTime
	}
	return n.At.After(other.At)
}

const (
	// PermitTTL is how long an entry may use a permit. Entries return those that expire; held
	// for longer, the permits of many entries could meet the endpoint together.
	PermitTTL = 800 * time.Millisecond
	// minPerSecond is granted of a lower limit, so that a response can end it.
	minPerSecond = 0.1
	// settleDelay is how long after it learned of a limit a control host grants nothing. By
	// then it knows the demand of the other failure domains.
	settleDelay = 500 * time.Millisecond
	// burstTime is the time for which unused permits are kept.
	burstTime = 500 * time.Millisecond
	// demandDecayTime is the time constant with which old demand is forgotten.
	demandDecayTime = time.Second
	// peerDemandTTL is how long the demand at another control host counts that does not
	// answer. It is longer than a cut or a restart usually takes: its entries may still have
	// permits.
	peerDemandTTL = 6 * time.Second
	// LiftedNoticeTTL is how long the end of a limit is passed on.
	LiftedNoticeTTL = 10 * time.Second
	// refreshTime is how often a limit is confirmed.
	refreshTime = time.Second
	// limitTTL is how long a limit holds that no response has confirmed.
	limitTTL  = 5 * time.Minute
	maxLimits = 4096
	// MaxPerSecond bounds a limit, in requests a second, so that permits can be counted.
	MaxPerSecond = 1e9
	// demandCarryover and minDemand are those of AgedDemand.
	demandCarryover = 0.5
	minDemand       = 0.05
)

// AgedDemand returns the demand of an entry that is left at its next exchange. A request that
// found no permit lets its entry ask a few times, because few permits are due at any time.
func AgedDemand(permits float64) float64 {
	if permits *= demandCarryover; permits >= minDemand {
		return permits
	}
	return 0
}

// Demand is the demand for an endpoint at one control host.
type Demand struct {
	Endpoint uint64 // key of the incarnation
	Notice   Notice
	Permits  float64 // wanted of late
}

// Table holds the limits that one control host knows.
type Table struct {
	limits map[uint64]*limit // by key of the endpoint's incarnation
}

type limit struct {
	notice     Notice
	learnedAt  time.Time
	tokens     float64 // permits that may be granted
	rate       float64 // at which they were last refilled, in permits a second
	refilledAt time.Time
	demand     float64 // at demandAt
	demandAt   time.Time
	peers      map[string]peerDemand // by URL of the control host
}

type peerDemand struct {
	permits    float64
	receivedAt time.Time
}

// New returns an empty table.
func New() *Table { return &Table{limits: map[uint64]*limit{}} }

// Observe merges a notice of an endpoint.
func (t *Table) Observe(now time.Time, endpoint uint64, n Notice) {
	l := t.limits[endpoint]
	switch {
	case l == nil && (!n.Limited || len(t.limits) >= maxLimits):
		return
	case l == nil:
		l = &limit{learnedAt: now, refilledAt: now, peers: map[string]peerDemand{}}
		t.limits[endpoint] = l
	case !n.Supersedes(l.notice):
		return
	case n.Limited && !l.notice.Limited:
		l.learnedAt, l.refilledAt, l.tokens = now, now, 0
	}
	l.notice = n
}

// Grant returns how many of the wanted permits an entry gets.
func (t *Table) Grant(now time.Time, endpoint uint64, wanted int) int {
	l := t.limits[endpoint]
	if l == nil || !l.notice.Limited || wanted <= 0 {
		return 0
	}
	l.demand, l.demandAt = l.demandAtTime(now)+float64(wanted), now
	l.refill(now)
	granted := min(wanted, int(l.tokens))
	l.tokens -= float64(granted)
	return granted
}

// Return takes back permits that an entry did not use before they expired.
func (t *Table) Return(endpoint uint64, unused int) {
	if l := t.limits[endpoint]; l != nil && unused > 0 {
		l.tokens = min(l.tokens+float64(unused), l.maxTokens())
	}
}

// demandAtTime returns the own demand, less what is forgotten.
func (l *limit) demandAtTime(now time.Time) float64 {
	return l.demand * math.Exp(-float64(max(now.Sub(l.demandAt), 0))/float64(demandDecayTime))
}

// share returns the part of the rate that this control host grants.
func (l *limit) share(now time.Time) float64 {
	own := l.demandAtTime(now)
	total := own
	for url, p := range l.peers {
		if now.Sub(p.receivedAt) > peerDemandTTL {
			delete(l.peers, url)
			continue
		}
		total += p.permits
	}
	if total <= 0 {
		return 0
	}
	return own / total
}

// refill adds the permits that have become due.
func (l *limit) refill(now time.Time) {
	l.rate = max(l.notice.PerSecond, minPerSecond) * l.share(now)
	elapsed := max(now.Sub(l.refilledAt), 0).Seconds()
	l.refilledAt = now
	if now.Sub(l.learnedAt) < settleDelay {
		return
	}
	l.tokens = min(l.tokens+l.rate*elapsed, l.maxTokens())
}

// maxTokens is the limit of tokens: one permit, or those of burstTime.
func (l *limit) maxTokens() float64 { return max(1, l.rate*burstTime.Seconds()) }

// ObservePeer replaces the demand that another control host reported, and merges its notices.
func (t *Table) ObservePeer(now time.Time, url string, demands []Demand) {
	for _, l := range t.limits {
		if _, known := l.peers[url]; known {
			l.peers[url] = peerDemand{receivedAt: now}
		}
	}
	for _, d := range demands {
		t.Observe(now, d.Endpoint, d.Notice)
		if l := t.limits[d.Endpoint]; l != nil && d.Permits >= 0 && !math.IsInf(d.Permits, 0) {
			l.peers[url] = peerDemand{permits: d.Permits, receivedAt: now}
		}
	}
}

// Demands returns the demand of the own entries and the notices, to be passed on.
func (t *Table) Demands(now time.Time) []Demand {
	var demands []Demand
	for endpoint, l := range t.limits {
		demands = append(demands, Demand{Endpoint: endpoint, Notice: l.notice, Permits: l.demandAtTime(now)})
	}
	return demands
}

// Expire forgets limits that ended, or that nothing has confirmed for long.
func (t *Table) Expire(now time.Time) {
	for endpoint, l := range t.limits {
		age := now.Sub(l.notice.At)
		if age > limitTTL || !l.notice.Limited && age > LiftedNoticeTTL {
			delete(t.limits, endpoint)
		}
	}
}
