package flow

import "time"

// worthFactor of the time of an answer is how much work of lower tiers may be
// thrown away for it to start in time.
const worthFactor = 2

// rescue preempts lower tiers for requests that are about to miss their
// target or to pass their patience.
func (q *Queue) rescue(now time.Time) {
	if q.config.MaxPreemptions < 0 {
		return
	}
	for tier := highestTier; tier < lowestTier; tier++ {
		t := q.tiers[tier]
		for due(t.expiry.head(), byExpiry, now) && q.preemptFor(now, tier, 0) {
		}
		for due(t.target.head(), byTarget, now) && q.preemptFor(now, tier, q.worth(t.target.head())) {
		}
	}
}

// worth is how much work of a lower tier may be thrown away for a request to
// meet its target: a multiple of the time that its own answer takes.
func (q *Queue) worth(it *item) time.Duration {
	return max(worthFactor*q.class(it.Class).service.value, time.Millisecond)
}

func due(it *item, kind int, now time.Time) bool {
	return it != nil && it.key[kind] <= now.UnixNano()
}

// preemptFor frees one slot of a tier below the given one and starts the
// request that is next; false if there is no such slot.
func (q *Queue) preemptFor(now time.Time, tier int, lost time.Duration) bool {
	it := q.preemptible(now, tier, lost)
	if it == nil {
		return false
	}
	q.stopped(it)
	it.preemptions++
	q.do(Preempt{ID: it.ID})
	if next := q.strict(now, tier); next != nil {
		q.start(now, next)
	}
	q.enqueue(now, it)
	return true
}

// preemptible returns the running request to preempt first: of the lowest
// tier below the given one, the one that started last; nil if there is none.
// lost bounds how long it has run for each tier of distance, 0 for no bound; a
// request of another tier is never taken in place of one that has run too long.
// A resumable request loses nothing.
func (q *Queue) preemptible(now time.Time, above int, lost time.Duration) *item {
	var best *item
	for _, it := range q.running {
		if it.Tier <= above || !q.mayPreempt(now, it) {
			continue
		}
		if best == nil || it.Tier > best.Tier || it.Tier == best.Tier && startedAfter(it, best) {
			best = it
		}
	}
	if best != nil && lost > 0 && !best.Resumable && now.Sub(best.startedAt) > lost*time.Duration(best.Tier-above) {
		return nil
	}
	return best
}

func startedAfter(a, b *item) bool {
	if !a.startedAt.Equal(b.startedAt) {
		return a.startedAt.After(b.startedAt)
	}
	return a.ID < b.ID
}

// restartBy is when a preempted request must have started again. A stream that
// has begun has met its patience: its deadline is what is left.
func (it *item) restartBy() time.Time {
	if it.Resumable && !it.tokenAt.IsZero() {
		return it.Deadline
	}
	return it.StartBy
}

// mayPreempt says that a running request can still be stopped and wait again.
func (q *Queue) mayPreempt(now time.Time, it *item) bool {
	return it.Preemptible && !it.shielded && (it.tokenAt.IsZero() || it.PreemptibleAfterToken) &&
		it.preemptions < q.config.MaxPreemptions && it.restartBy().After(now)
}
