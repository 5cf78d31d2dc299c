package flow

import "time"

// Bounds of the time that a refused caller is told to wait.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// settle expires what is due and starts what fits.
func (q *Queue) settle(now time.Time) {
	for tier := lowestTier; tier >= highestTier; tier-- {
		q.tiers[tier].age(now)
	}
	q.expire(now)
	for len(q.running) < q.limit.slots() {
		it := q.pick(now)
		if it == nil {
			return
		}
		if q.hopeless(now, it) {
			q.refuseTaken(it, DeadlineExceeded)
			continue
		}
		q.start(now, it)
	}
}

// expire refuses what has waited out its patience.
func (q *Queue) expire(now time.Time) {
	for tier := lowestTier; tier >= highestTier; tier-- {
		t := q.tiers[tier]
		for it := t.expiry.head(); it != nil && it.key[byExpiry] <= now.UnixNano(); it = t.expiry.head() {
			q.refuse(now, it, PatienceExceeded)
		}
	}
}

// shed brings the queue back under its bounds, lowest tier first.
func (q *Queue) shed(now time.Time) {
	for len(q.waiting) > q.config.MaxWaiting || q.waitingBytes > q.config.MaxWaitingBytes {
		if len(q.running) < q.limit.slots() {
			q.settle(now)
			if len(q.running) < q.limit.slots() {
				return
			}
			continue
		}
		q.refuse(now, q.victim(), Overloaded)
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
	for tier := highestTier; tier <= lowestTier; tier++ {
		if it := q.tiers[tier].take(); it != nil {
			return it
		}
	}
	return nil
}

// hopeless says that an answer cannot be whole before the deadline.
func (q *Queue) hopeless(now time.Time, it *item) bool {
	return !it.Deadline.IsZero() && now.Add(q.shortest(it.Class)).After(it.Deadline)
}

func (q *Queue) refuseTaken(it *item, reason Reason) {
	q.forget(it)
	if it.ran {
		reason = Preempted
	}
	q.do(Refuse{ID: it.ID, Reason: reason, RetryAfter: q.retryAfter(it.Tier), Ran: it.ran})
}

func (q *Queue) start(now time.Time, it *item) {
	q.forget(it)
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
