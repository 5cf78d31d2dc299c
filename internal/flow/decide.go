package flow

import "time"

// Bounds of Refuse.RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// schedule starts requests in free slots. For those that would start late, it
// refuses them as busy or preempts others. It refuses those whose patience has ended.
func (q *Queue) schedule(now time.Time) {
	q.fillSlots(now)
	q.refuseBusy(now)
	q.preemptForDue(now)
	q.demoteLate(now)
	q.expire(now)
}

// refuseBusy refuses with Busy the due requests that their router may try elsewhere.
// In each tier it stops at the first due request that must stay.
func (q *Queue) refuseBusy(now time.Time) {
	for _, t := range q.tiers[highestTier:] {
		for it := t.target.head(); due(it, byTargetStart, now) && it.MayRefuseAsBusy && !it.ran; it = t.target.head() {
			q.refuse(it, Busy)
		}
	}
}

// demoteLate moves requests whose byTargetStart key has been reached behind the others.
func (q *Queue) demoteLate(now time.Time) {
	for _, t := range q.tiers[highestTier:] {
		for it := t.takeOverdue(now); it != nil; it = t.takeOverdue(now) {
			t.addLate(it)
		}
	}
}

// fillSlots starts waiting requests while slots are free.
func (q *Queue) fillSlots(now time.Time) {
	for len(q.running) < q.limiter.slots() {
		it := q.takeNext(now)
		if it == nil {
			return
		}
		q.start(now, it)
	}
}

// expire refuses the requests whose patience has ended.
func (q *Queue) expire(now time.Time) {
	for tier := lowestTier; tier >= highestTier; tier-- {
		t := q.tiers[tier]
		for it := t.expiry.head(); it != nil && it.keyUnixNano[byExpiry] <= now.UnixNano(); it = t.expiry.head() {
			q.refuse(it, PatienceExceeded)
		}
	}
}

// shed refuses requests, lowest tier first, until the queue is within its bounds.
// If a running request of a lower tier than all waiting ones can be preempted, it
// is preempted and shed instead, and a waiting one takes its slot.
func (q *Queue) shed(now time.Time) {
	for len(q.waiting) > q.config.MaxWaiting || q.waitingBytes > q.config.MaxWaitingBytes {
		victim := q.victim()
		if q.preemptFor(now, victim.Tier, 0) {
			victim = q.victim()
		}
		q.refuse(victim, Overloaded)
	}
}

// victim returns the waiting request to shed first; nil if none waits.
func (q *Queue) victim() *item {
	for tier := lowestTier; tier >= highestTier; tier-- {
		if it := q.tiers[tier].victim(); it != nil {
			return it
		}
	}
	return nil
}

// takeNext removes and returns the request that starts next; nil if none may start.
func (q *Queue) takeNext(now time.Time) *item {
	if it := q.nextAged(now); it != nil {
		q.startsSinceAged = -1 // start increments it to 0
		q.removeWaiting(it)
		return it
	}
	return q.takeInTierOrder(now, q.lowestStartableTier(now))
}

// lowestStartableTier is the lowest tier that may start a request without using
// the headroom of higher tiers.
func (q *Queue) lowestStartableTier(now time.Time) int {
	lowest := highestTier
	for lowest < lowestTier && len(q.running) < q.maxRunningFor(now, lowest+1) {
		lowest++
	}
	return lowest
}

// takeInTierOrder removes and returns the next request of the highest tier that
// has one, down to the given tier; nil if there is none. It refuses requests that
// cannot finish before their deadline.
func (q *Queue) takeInTierOrder(now time.Time, lowest int) *item {
	for tier := highestTier; tier <= lowest; tier++ {
		for it := q.tiers[tier].pop(); it != nil; it = q.tiers[tier].pop() {
			q.untrackWaiting(it)
			if !q.cannotMeetDeadline(now, it) {
				return it
			}
			q.estimatesOf(it.Class).decayLowServiceTime()
			q.emitRefusal(it, DeadlineExceeded)
		}
	}
	return nil
}

// cannotMeetDeadline reports whether even a short answer of the request's class
// would end after the deadline.
func (q *Queue) cannotMeetDeadline(now time.Time, it *item) bool {
	return !it.Deadline.IsZero() && now.Add(q.lowServiceTime(it.Class)).After(it.Deadline)
}

// emitRefusal refuses a request that has been removed from the waiting ones. One
// that has run is refused as preempted, whatever the reason, unless the agent drains.
func (q *Queue) emitRefusal(it *item, reason Reason) {
	if it.ran && reason != Draining {
		reason = Preempted
	}
	q.emit(Refuse{ID: it.ID, Reason: reason, RetryAfter: q.retryAfter(it.Tier), Ran: it.ran})
}

func (q *Queue) start(now time.Time, it *item) {
	q.startsSinceAged++
	q.estimatesOf(it.Class).lastStart = now
	it.startedAt = now
	it.lastTokenAt = time.Time{}
	it.ran = true
	q.running[it.ID] = it
	q.tiers[it.Tier].running++
	q.emit(Start{ID: it.ID})
}

// retryAfter estimates how long the waiting requests of this tier and of those
// above take to start.
func (q *Queue) retryAfter(tier int) time.Duration {
	ahead := 0
	for t := highestTier; t <= tier; t++ {
		ahead += q.tiers[t].waiting()
	}
	wait := time.Duration(ahead+1) * q.startInterval()
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// startInterval is the expected time between two starts while all slots are in use.
func (q *Queue) startInterval() time.Duration {
	return q.serviceTime.value / time.Duration(max(q.limiter.slots(), 1))
}
