package flow

import "time"

// agedPart of the patience is what a request waits before it counts as aged.
const agedPart = 2

// starvingIn bounds the starts of starving classes to one in so many.
const starvingIn = 20

// aged returns a request that starts out of the tier order; nil for none.
// It changes who starts next, never who is shed or preempted. At most one
// start in AgedOneIn goes to a request of a lower tier that has waited half
// of its patience, and only if every waiting request of a higher tier is
// still expected to start within its own. At most one start in starvingIn
// goes, without that condition, to such a request of a class that has had no
// start here for half of its patience; that request is not preempted.
func (q *Queue) aged(now time.Time) *item {
	if q.config.AgedOneIn < 0 || q.sinceAged+1 < q.config.AgedOneIn {
		return nil
	}
	top := q.topWaiting()
	for tier := lowestTier; tier > 0 && tier >= top; tier-- {
		it := q.tiers[tier].expiry.head()
		if it == nil || q.hopeless(now, it) {
			continue
		}
		if !waitedLong(now, it) {
			continue
		}
		if q.starving(now, it) {
			it.shielded = true
			return it
		}
		if tier > top && q.higherCanWait(now, tier) {
			return it
		}
	}
	return nil
}

// topWaiting is the highest tier with a waiting request, or one beyond the
// lowest.
func (q *Queue) topWaiting() int {
	for tier := highestTier; tier <= lowestTier; tier++ {
		if q.tiers[tier].waiting() > 0 {
			return tier
		}
	}
	return lowestTier + 1
}

func waitedLong(now time.Time, it *item) bool {
	return now.Sub(it.Arrived) >= it.StartBy.Sub(it.Arrived)/agedPart
}

// higherCanWait says that all waiting requests above the tier are expected to
// start within their patience also if one more request goes first.
func (q *Queue) higherCanWait(now time.Time, tier int) bool {
	ahead := 0
	for t := highestTier; t < tier; t++ {
		ahead += q.tiers[t].waiting()
	}
	last := now.Add(time.Duration(ahead+1) * q.startInterval())
	for t := highestTier; t < tier; t++ {
		if it := q.tiers[t].expiry.head(); it != nil && last.After(it.StartBy) {
			return false
		}
	}
	return true
}

// starving says that the class of a request has had no start for half of its
// patience, and that the share of such classes allows one.
func (q *Queue) starving(now time.Time, it *item) bool {
	if q.sinceAged+1 < starvingIn {
		return false
	}
	return now.Sub(q.class(it.Class).lastStart) >= it.StartBy.Sub(it.Arrived)/agedPart
}
