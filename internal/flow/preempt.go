package flow

import "time"

// maxLostWorkFactor bounds the work of lower tiers that may be lost for a request to
// meet its target, as a multiple of its own service time.
const maxLostWorkFactor = 2

// preemptForDue preempts requests of lower tiers for requests whose patience ends, or
// that must start now to meet their target.
func (q *Queue) preemptForDue(now time.Time) {
	if q.config.MaxPreemptions < 0 {
		return
	}
	for tier := highestTier; tier < lowestTier; tier++ {
		t := q.tiers[tier]
		for due(t.expiry.head(), byExpiry, now) && q.preemptFor(now, tier, 0) {
		}
		for due(t.target.head(), byTargetStart, now) && q.preemptFor(now, tier, q.maxLostWork(t.target.head())) {
		}
	}
}

// maxLostWork is the work of a lower tier that may be lost for a request to meet
// its target.
func (q *Queue) maxLostWork(it *item) time.Duration {
	return max(maxLostWorkFactor*q.estimatesOf(it.Class).serviceTime.value, time.Millisecond)
}

// due reports whether the key of an item has been reached; false for nil.
func due(it *item, kind int, now time.Time) bool {
	return it != nil && it.keyUnixNano[kind] <= now.UnixNano()
}

// preemptFor preempts a request of a tier below the given one, starts the next
// request and lets the preempted one wait again. It returns false if there is no
// request to preempt. maxLost is as for preemptionVictim.
func (q *Queue) preemptFor(now time.Time, tier int, maxLost time.Duration) bool {
	victim := q.preemptionVictim(now, tier, maxLost)
	if victim == nil {
		return false
	}
	q.removeRunning(victim)
	victim.preemptions++
	q.emit(Preempt{ID: victim.ID})
	if next := q.takeInTierOrder(now, tier); next != nil {
		q.start(now, next)
	}
	q.addWaiting(now, victim)
	return true
}

// preemptionVictim returns the running request to preempt: the last started of the
// lowest tier below the given one; nil if there is none.
//
// maxLost bounds the time that it has run, per tier of distance; 0 is no bound. If it
// has run longer, nil is returned rather than a request of another tier. A resumable
// request loses no work and is not bounded.
func (q *Queue) preemptionVictim(now time.Time, above int, maxLost time.Duration) *item {
	var victim *item
	for _, it := range q.running {
		if it.Tier <= above || !q.mayPreempt(now, it) {
			continue
		}
		if victim == nil || it.Tier > victim.Tier || it.Tier == victim.Tier && startedAfter(it, victim) {
			victim = it
		}
	}
	if victim != nil && maxLost > 0 && !victim.Resumable && now.Sub(victim.startedAt) > maxLost*time.Duration(victim.Tier-above) {
		return nil
	}
	return victim
}

// startedAfter orders by start time, latest first; equal times go by ID.
func startedAfter(a, b *item) bool {
	if !a.startedAt.Equal(b.startedAt) {
		return a.startedAt.After(b.startedAt)
	}
	return a.ID < b.ID
}

// restartBy is when a preempted request must have started again. A resumable answer
// that has begun has met its patience, so that only its deadline remains.
func (it *item) restartBy() time.Time {
	if it.Resumable && !it.lastTokenAt.IsZero() {
		return it.Deadline
	}
	return it.StartBy
}

// mayPreempt reports whether a running request can be stopped and wait again.
func (q *Queue) mayPreempt(now time.Time, it *item) bool {
	return it.Preemptible && !it.preemptionExempt && (it.lastTokenAt.IsZero() || it.PreemptibleAfterToken) &&
		it.preemptions < q.config.MaxPreemptions && it.restartBy().After(now)
}
