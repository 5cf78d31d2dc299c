package flow

import (
	"math"
	"time"
)

// Constants of the headroom.
const (
	headroomHalfLife = 20 * time.Second // a past peak counts half after so long
	maxHeadroomPart  = 2                // of the slots: at most one in so many is kept free
)

// peak is the concurrency that a tier needed lately.
type peak struct {
	value float64
	at    time.Time
}

// see takes the present need and returns the decayed peak.
func (p *peak) see(now time.Time, need int) float64 {
	if since := now.Sub(p.at); since > 0 {
		p.value *= math.Exp2(-float64(since) / float64(headroomHalfLife))
		p.at = now
	}
	p.value = math.Max(p.value, float64(need))
	return p.value
}

// roomFor is how many requests may run for one of the tier to start: all
// slots but those that the higher tiers needed lately and do not use now.
// Without it a higher tier finds every slot taken by long answers.
func (q *Queue) roomFor(now time.Time, tier int) int {
	kept := 0.0
	for t := highestTier; t < tier; t++ {
		present := q.tiers[t]
		need := present.peak.see(now, present.running)
		kept += math.Max(need-float64(present.running), 0)
	}
	slots := q.limit.slots()
	return slots - min(int(kept*q.config.headroom()), slots/maxHeadroomPart)
}
