package flow

import (
	"math"
	"time"
)

// Parameters of the headroom that lower tiers leave to higher ones.
const (
	headroomHalfLife   = 20 * time.Second // time in which a past peak decays by half
	maxHeadroomDivisor = 2                // at most the slots divided by this are kept free
)

// decayingPeak is the recent peak of a tier's running requests. It decays exponentially.
type decayingPeak struct {
	value     float64
	updatedAt time.Time
}

// observe records the present number of running requests and returns the peak.
func (p *decayingPeak) observe(now time.Time, running int) float64 {
	if since := now.Sub(p.updatedAt); since > 0 {
		p.value *= math.Exp2(-float64(since) / float64(headroomHalfLife))
		p.updatedAt = now
	}
	p.value = math.Max(p.value, float64(running))
	return p.value
}

// maxRunningFor is the number of running requests below which one of the tier may
// start: the slots less the headroom for higher tiers. The headroom is
// Config.HeadroomPercent of what those tiers recently used and do not use now, at
// most half of the slots. Without it a request of a higher tier would find every
// slot taken by long answers of lower tiers.
func (q *Queue) maxRunningFor(now time.Time, tier int) int {
	unusedPeak := 0.0
	for t := highestTier; t < tier; t++ {
		higher := q.tiers[t]
		peak := higher.runningPeak.observe(now, higher.running)
		unusedPeak += math.Max(peak-float64(higher.running), 0)
	}
	slots := q.limiter.slots()
	return slots - min(int(unusedPeak*q.config.headroomFactor()), slots/maxHeadroomDivisor)
}
