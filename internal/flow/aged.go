package flow

import "time"

// agedPatienceDivisor sets when a request counts as aged: once it has waited its
// patience divided by this.
const agedPatienceDivisor = 2

// startsPerStarvedStart limits starts of requests of starved classes to one in
// this many starts.
const startsPerStarvedStart = 20

// nextAged returns an aged request that may start out of tier order; nil if
// there is none. Which waiting request is shed does not depend on it.
//
// At most one start in Config.StartsPerAgedStart goes to an aged request of a
// lower tier, and only if every waiting request of a higher tier is still expected
// to start within its patience. At most one start in startsPerStarvedStart goes,
// without that condition, to an aged request of a starved class: one that has
// had no start in this queue for half of the request's patience. Such a request
// is exempt from preemption.
func (q *Queue) nextAged(now time.Time) *item {
	if q.config.StartsPerAgedStart < 0 || q.startsSinceAged+1 < q.config.StartsPerAgedStart {
		return nil
	}
	highestWaiting := q.highestWaitingTier()
	for tier := lowestTier; tier > 0 && tier >= highestWaiting; tier-- {
		it := q.tiers[tier].expiry.head()
		if it == nil || q.cannotMeetDeadline(now, it) {
			continue
		}
		if !isAged(now, it) {
			continue
		}
		if q.starvedStartAllowed(now, it) {
			it.preemptionExempt = true
			return it
		}
		if tier > highestWaiting && q.higherTiersCanWait(now, tier) {
			return it
		}
	}
	return nil
}

// highestWaitingTier returns the highest tier with a waiting request, or
// lowestTier + 1 if nothing waits.
func (q *Queue) highestWaitingTier() int {
	for tier := highestTier; tier <= lowestTier; tier++ {
		if q.tiers[tier].waiting() > 0 {
			return tier
		}
	}
	return lowestTier + 1
}

func isAged(now time.Time, it *item) bool {
	return now.Sub(it.Arrived) >= it.StartBy.Sub(it.Arrived)/agedPatienceDivisor
}

// higherTiersCanWait reports whether all waiting requests of the tiers above are
// still expected to start within their patience if one more request starts first.
func (q *Queue) higherTiersCanWait(now time.Time, tier int) bool {
	ahead := 0
	for t := highestTier; t < tier; t++ {
		ahead += q.tiers[t].waiting()
	}
	lastStart := now.Add(time.Duration(ahead+1) * q.startInterval())
	for t := highestTier; t < tier; t++ {
		if it := q.tiers[t].expiry.head(); it != nil && lastStart.After(it.StartBy) {
			return false
		}
	}
	return true
}

// starvedStartAllowed reports whether the class of a request is starved (no
// start for half of the request's patience) and the last start out of tier order
// is at least startsPerStarvedStart starts ago.
func (q *Queue) starvedStartAllowed(now time.Time, it *item) bool {
	if q.startsSinceAged+1 < startsPerStarvedStart {
		return false
	}
	return now.Sub(q.estimatesOf(it.Class).lastStart) >= it.StartBy.Sub(it.Arrived)/agedPatienceDivisor
}
