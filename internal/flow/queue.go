package flow

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Queue is the queue of one agent.
type Queue struct {
	config       Config
	tiers        [lowestTier + 1]*tier // index 0 is unused
	waiting      map[string]*item
	running      map[string]*item
	active       int // running requests that have had their first token
	waitingBytes int
	classes      map[string]*classEstimate
	service      mean
	firstToken   mean
	between      mean
	limit        limiter
	sinceAged    int // starts since the last aged one
	sequence     uint64
	actions      []Action
}

// New returns an empty queue.
func New(config Config) *Queue {
	config = config.withDefaults()
	q := &Queue{
		config:  config,
		waiting: map[string]*item{},
		running: map[string]*item{},
		classes: map[string]*classEstimate{},
		limit:   newLimiter(config),
	}
	for i := range q.tiers {
		q.tiers[i] = newTier()
	}
	return q
}

// Waiting is the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running is the number of requests at the endpoint.
func (q *Queue) Running() int { return len(q.running) }

// Arrive takes a request in.
func (q *Queue) Arrive(now time.Time, r Request) []Action {
	q.begin()
	if q.waiting[r.ID] != nil || q.running[r.ID] != nil {
		q.do(Refuse{ID: r.ID, Reason: Duplicate})
		return q.actions
	}
	r.Tier = min(max(r.Tier, highestTier), lowestTier)
	it := &item{Request: r}
	q.limit.present(now, it)
	q.enqueue(now, it)
	q.settle(now)
	q.shed(now)
	return q.actions
}

// FirstToken says that the endpoint sent the first token, or the answer's
// first byte.
func (q *Queue) FirstToken(now time.Time, id string) []Action {
	q.begin()
	it := q.running[id]
	if it == nil || !it.tokenAt.IsZero() {
		return q.actions
	}
	it.tokenAt = now
	q.active++
	took := now.Sub(it.startedAt)
	q.firstToken.add(took)
	q.class(it.Class).firstToken.add(took)
	q.limit.firstToken(now, it, took, len(q.running))
	q.settle(now)
	return q.actions
}

// Token says that n more tokens came since the last call.
func (q *Queue) Token(now time.Time, id string, n int) []Action {
	q.begin()
	it := q.running[id]
	if it == nil || it.tokenAt.IsZero() || n <= 0 {
		return q.actions
	}
	between := now.Sub(it.tokenAt) / time.Duration(n)
	it.tokenAt = now
	q.between.add(between)
	q.limit.token(now, between, len(q.running), q.active)
	q.settle(now)
	return q.actions
}

// Finish says that a started request has ended.
func (q *Queue) Finish(now time.Time, id string, outcome Outcome) []Action {
	q.begin()
	it := q.running[id]
	if it == nil {
		return q.actions
	}
	q.stopped(it)
	if outcome == Whole {
		took := now.Sub(it.startedAt)
		q.service.add(took)
		q.class(it.Class).observe(took)
		if it.tokenAt.IsZero() {
			q.limit.finished(now, took, len(q.running)+1)
		}
	}
	q.settle(now)
	return q.actions
}

// Cancel forgets a request that waits or runs, because its caller left.
func (q *Queue) Cancel(now time.Time, id string) []Action {
	if q.running[id] != nil {
		return q.Finish(now, id, Gone)
	}
	q.begin()
	if it := q.waiting[id]; it != nil {
		q.dequeue(it)
	}
	q.settle(now)
	return q.actions
}

// Tick does what is due at now; see NextTick.
func (q *Queue) Tick(now time.Time) []Action {
	q.begin()
	q.settle(now)
	return q.actions
}

// RefuseWaiting refuses everything that waits, for a drain or a lost lease.
func (q *Queue) RefuseWaiting(now time.Time, reason Reason) []Action {
	q.begin()
	for tier := lowestTier; tier >= highestTier; tier-- {
		t := q.tiers[tier]
		for t.expiry.len() > 0 {
			q.refuse(t.expiry.items[t.expiry.len()-1], reason)
		}
	}
	return q.actions
}

// NextTick is when Tick is next needed; false if nothing waits.
func (q *Queue) NextTick(now time.Time) (time.Time, bool) {
	next := int64(0)
	earlier := func(at int64) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, t := range q.tiers[highestTier:] {
		if it := t.expiry.head(); it != nil {
			earlier(it.key[byExpiry])
		}
		if it := t.target.head(); it != nil {
			earlier(it.key[byTarget])
		}
	}
	if next == 0 {
		return time.Time{}, false
	}
	return later(now, time.Unix(0, next)), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Load is the exact view of the queue that answers and heartbeats carry.
func (q *Queue) Load(now time.Time) *pb.Load {
	q.sequence++
	load := &pb.Load{
		Running:         uint32(len(q.running)),
		Slots:           uint32(q.limit.slots()),
		ServiceTimeUs:   micros(q.service.value),
		FirstTokenUs:    micros(q.firstToken.value),
		Sequence:        q.sequence,
		BetweenTokensUs: micros(q.between.value),
	}
	for tier := highestTier; tier <= lowestTier; tier++ {
		t := q.tiers[tier]
		if t.waiting() == 0 && t.running == 0 {
			continue
		}
		tierLoad := &pb.TierLoad{Tier: uint32(tier), Waiting: uint32(t.waiting()), Running: uint32(t.running)}
		if first, ok := t.oldest(); ok {
			tierLoad.OldestWaitUs = micros(now.Sub(first))
		}
		load.Tiers = append(load.Tiers, tierLoad)
	}
	return load
}

func micros(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }

func (q *Queue) begin() { q.actions = nil }

func (q *Queue) do(a Action) { q.actions = append(q.actions, a) }

func (q *Queue) enqueue(now time.Time, it *item) {
	q.waiting[it.ID] = it
	q.waitingBytes += it.Bytes
	q.tiers[it.Tier].add(now, it, q.expectedFirstToken(it.Class))
}

// stopped takes a request out of those that run.
func (q *Queue) stopped(it *item) {
	delete(q.running, it.ID)
	q.tiers[it.Tier].running--
	if !it.tokenAt.IsZero() {
		q.active--
	}
}

func (q *Queue) dequeue(it *item) {
	q.tiers[it.Tier].remove(it)
	q.forget(it)
}

func (q *Queue) forget(it *item) {
	delete(q.waiting, it.ID)
	q.waitingBytes -= it.Bytes
}

func (q *Queue) refuse(it *item, reason Reason) {
	q.dequeue(it)
	q.answer(it, reason)
}
