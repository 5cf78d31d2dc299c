// Package scaling decides how many endpoints of a service a failure domain is to have, from
// its load. It reads no clock, starts no goroutine and does no I/O.
package scaling

import (
	"math"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
)

// Occupancy is the part of the places that requests that run or wait take.
const (
	highOccupancy   = 0.85 // more endpoints are ordered above
	targetOccupancy = 0.7  // that an order up aims at
	lowOccupancy    = 0.5  // fewer endpoints are ordered if the fewer had at most this
)

const (
	// maxLoadAge is the age at which load no longer counts.
	maxLoadAge = 3 * time.Second
	// minDownDelay and downDelayBoots, in boot times, are how long the load must have been low
	// before an order down; the longer one counts.
	minDownDelay   = time.Minute
	downDelayBoots = 3
	// maxDownDelayFactor bounds how much longer that becomes with orders by turns.
	maxDownDelayFactor = 8
	// growthWhileBooting is the part by which an order must exceed the one before it while that
	// one's endpoints boot.
	growthWhileBooting = 0.25
)

// Load is what is known of a service in a failure domain at one time.
type Load struct {
	Known     bool          // false: nothing is known
	At        time.Duration // of the oldest report that it consists of
	Running   int           // requests at endpoints
	Waiting   int           // requests that wait for a place
	WaitRatio float64       // longest recent wait, as a multiple of its target
	Ready     int           // endpoints that serve
	Starting  int           // endpoints that boot
	Busy      int           // endpoints at which a request runs
	Places    int           // requests that the ready endpoints can run at the same time
}

// usable reports whether a decision can go by the load.
func (l Load) usable(now time.Duration) bool {
	return l.Known && now-l.At <= maxLoadAge && l.Ready > 0 && l.Places > 0 &&
		l.Running >= 0 && l.Waiting >= 0 && l.Starting >= 0 && l.Busy >= 0
}

// endpointsFor is the number of endpoints of whose places the requests take a part.
func (l Load) endpointsFor(requests int, occupancy float64) int {
	placesPerEndpoint := float64(l.Places) / float64(l.Ready)
	return int(math.Ceil(float64(requests) / (placesPerEndpoint * occupancy)))
}

// Reason is why a number is ordered.
type Reason uint8

// Reasons of orders. None means that nothing is ordered.
const (
	None Reason = iota
	BelowMinimum
	LateRequests
	HighOccupancy
	LowOccupancy
)

// String returns the reason for a log line.
func (r Reason) String() string {
	return [...]string{
		"none", "fewer endpoints than the minimum", "waits pass their targets",
		"high occupancy", "low occupancy",
	}[min(r, LowOccupancy)]
}

// Decision is the number of endpoints that is to be ordered, unless Reason is None.
type Decision struct {
	Desired int
	Reason  Reason
}

// Scaler decides for one service in one failure domain. It is not safe for concurrent use.
type Scaler struct {
	limits    catalog.Scaling
	ordered   int           // the last order, 0 if there was none
	changedAt time.Duration // ordered was noticed
	seen      bool          // ordered and changedAt are set
	base      int           // number of endpoints that the latest decision went by
	lastDown  bool          // the last order was one down

	downDelayFactor int
	high, low       span
}

// NewScaler returns a scaler within limits.
func NewScaler(limits catalog.Scaling) *Scaler { return &Scaler{limits: limits, downDelayFactor: 1} }

// Decide returns what to order now. Ordered is the last order that wasn't abandoned, 0 if there was
// none. All times are of one steady clock.
func (s *Scaler) Decide(now time.Duration, load Load, ordered int) Decision {
	s.noteOrder(now, ordered)
	if !load.usable(now) {
		s.high, s.low = span{}, span{}
		return Decision{}
	}
	s.base = ordered
	if ordered == 0 {
		s.base = load.Ready + load.Starting
	}
	occupancy := float64(load.Running+load.Waiting) / float64(load.Places)
	s.high.note(load.At, occupancy > highOccupancy)
	if d := s.up(now, load, s.base); d.Reason != None {
		return d
	}
	return s.down(load, s.base)
}

// noteOrder starts all conditions anew if another order was given.
func (s *Scaler) noteOrder(now time.Duration, ordered int) {
	if s.seen && ordered == s.ordered {
		return
	}
	if s.base > 0 && ordered > 0 {
		if s.lastDown && ordered > s.base {
			s.downDelayFactor = min(2*s.downDelayFactor, maxDownDelayFactor)
		}
		s.lastDown = ordered < s.base
	}
	s.ordered, s.seen, s.changedAt = ordered, true, now
	s.high, s.low = span{}, span{}
}

// up orders more endpoints than base, or nothing.
func (s *Scaler) up(now time.Duration, load Load, base int) Decision {
	booting := s.ordered > 0 && now-s.changedAt < s.limits.BootTime
	// A queue grows while ordered endpoints boot, so it counts only in part.
	needed := load.endpointsFor(load.Running+min(load.Waiting, load.Running), targetOccupancy)
	desired, reason := base, None
	switch {
	case base < s.limits.Min:
		desired, reason = s.limits.Min, BelowMinimum
	case load.WaitRatio > 1 && needed > base:
		desired, reason = needed, LateRequests
	case load.WaitRatio > 1 && load.Starting == 0 && now-s.changedAt >= s.limits.BootTime:
		desired, reason = base+1, LateRequests
	case s.high.lasted(load.At, s.limits.BootTime):
		desired, reason = max(needed, base+1), HighOccupancy
	}
	// An order below what is there would take endpoints away.
	present := load.Ready + load.Starting
	desired = min(max(desired, present), s.limits.Max)
	tooSmall := booting && reason != BelowMinimum && float64(desired) < float64(base)*(1+growthWhileBooting)
	if reason == None || desired <= base || desired < max(present, load.Busy) || tooSmall {
		return Decision{}
	}
	return Decision{Desired: desired, Reason: reason}
}

// down orders fewer endpoints than base, or nothing.
func (s *Scaler) down(load Load, base int) Decision {
	desired := min(base-1, s.limits.Max)
	low := load.WaitRatio <= 1 && load.endpointsFor(load.Running+load.Waiting, lowOccupancy) <= desired
	s.low.note(load.At, low)
	delay := time.Duration(s.downDelayFactor) * max(minDownDelay, downDelayBoots*s.limits.BootTime)
	if !s.low.lasted(load.At, delay) || desired < max(s.limits.Min, load.Busy, 1) {
		return Decision{}
	}
	return Decision{Desired: desired, Reason: LowOccupancy}
}

// span is how long a condition has held without a break, by the times of the load: a load that is
// no longer reported doesn't prolong it.
type span struct {
	since time.Duration
	holds bool
}

func (s *span) note(now time.Duration, holds bool) {
	if holds && !s.holds {
		s.since = now
	}
	s.holds = holds
}

func (s *span) lasted(now, d time.Duration) bool { return s.holds && now-s.since >= d }
