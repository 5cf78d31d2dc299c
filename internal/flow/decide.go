package flow

import "time"

// Bounds of the time that a refused caller is told to wait.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// settle starts what fits, preempts for what cannot wait, and expires what is due.
func (q *Queue) settle(now time.Time) {
	q.fill(now)
	q.move(now)
	q.rescue(now)
	q.age(now)
	q.expire(now)
}

// move gives requests back to their routers that would start late here.
func (q *Queue) move(now time.Time) {
	for _, t := range q.tiers[highestTier:] {
		for it := t.target.head(); due(it, byTarget, now) && it.MayMove && !it.ran; it = t.target.head() {
			q.refuse(it, Busy)
		}
	}
}

// age moves the requests that can no longer meet their target to the late ones.
func (q *Queue) age(now time.Time) {
	for _, t := range q.tiers[highestTier:] {
		for it := t.overdue(now); it != nil; it = t.overdue(now) {
			t.addLate(it)
		}
	}
}

// fill starts requests while there are slots.
func (q *Queue) fill(now time.Time) {
	for len(q.running) < q.limit.slots() {
		it := q.pick(now)
		if it == nil {
			return
		}
		q.start(now, it)
	}
}

// expire refuses what has waited out its patience.
func (q *Queue) expire(now time.Time) {
	for tier := lowestTier; tier >= highestTier; tier-- {
		t := q.tiers[tier]
		for it := t.expiry.head(); it != nil && it.key[byExpiry] <= now.UnixNano(); it = t.expiry.head() {
			q.refuse(it, PatienceExceeded)
		}
	}
}

// shed brings the queue back under its bounds, lowest tier first. Running
// requests that can be preempted count: one of a lower tier than all that
// wait is stopped and shed in place of them.
func (q *Queue) shed(now time.Time) {
	for len(q.waiting) > q.config.MaxWaiting || q.waitingBytes > q.config.MaxWaitingBytes {
		victim := q.victim()
		if q.preemptFor(now, victim.Tier, 0) {
			victim = q.victim()
		}
		q.refuse(victim, Overloaded)
	}
}

// victim is the waiting request to shed first.
func (q *Queue) victim() *item {
	for tier := lowestTier; tier >= highestTier; tier-- {
		if it := q.tiers[tier].victim(); it != nil {
			return it
		}
	}
	return nil
}

// pick removes and returns the request that starts next; nil if none waits.
func (q *Queue) pick(now time.Time) *item {
	if it := q.aged(now); it != nil {
		q.sinceAged = -1 // its own start makes it 0
		q.dequeue(it)
		return it
	}
	return q.strict(now, q.lowestWithRoom(now))
}

// lowestWithRoom is the lowest tier that may start a request now.
func (q *Queue) lowestWithRoom(now time.Time) int {
	lowest := highestTier
	for lowest < lowestTier && len(q.running) < q.roomFor(now, lowest+1) {
		lowest++
	}
	return lowest
}

// strict removes and returns the next request in the order of tiers, down to
// the given one; nil if there is none. What cannot finish in time is refused.
func (q *Queue) strict(now time.Time, lowest int) *item {
	for tier := highestTier; tier <= lowest; tier++ {
		for it := q.tiers[tier].take(); it != nil; it = q.tiers[tier].take() {
			q.forget(it)
			if !q.hopeless(now, it) {
				return it
			}
			q.class(it.Class).doubt()
			q.answer(it, DeadlineExceeded)
		}
	}
	return nil
}

// hopeless says that an answer cannot be whole before the deadline.
func (q *Queue) hopeless(now time.Time, it *item) bool {
	return !it.Deadline.IsZero() && now.Add(q.shortest(it.Class)).After(it.Deadline)
}

// answer refuses a request that no longer waits.
func (q *Queue) answer(it *item, reason Reason) {
	if it.ran && reason != Draining {
		reason = Preempted
	}
	q.do(Refuse{ID: it.ID, Reason: reason, RetryAfter: q.retryAfter(it.Tier), Ran: it.ran})
}

func (q *Queue) start(now time.Time, it *item) {
	q.sinceAged++
	q.class(it.Class).lastStart = now
	it.startedAt = now
	it.tokenAt = time.Time{}
	it.ran = true
	q.running[it.ID] = it
	q.tiers[it.Tier].running++
	q.do(Start{ID: it.ID})
}

// retryAfter estimates when a request of this tier would find the queue
// ahead of it served.
func (q *Queue) retryAfter(tier int) time.Duration {
	ahead := 0
	for t := highestTier; t <= tier; t++ {
		ahead += q.tiers[t].waiting()
	}
	wait := time.Duration(ahead+1) * q.startInterval()
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// startInterval is the expected time between two starts under load.
func (q *Queue) startInterval() time.Duration {
	return q.service.value / time.Duration(max(q.limit.slots(), 1))
}
