package flow

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Queue is the queue of one agent.
type Queue struct {
	config            Config
	tiers             [lowestTier + 1]*tierQueue // index 0 is unused
	waiting           map[string]*item
	running           map[string]*item
	streaming         int // running requests that have had their first token
	waitingBytes      int
	classes           map[string]*classEstimates
	serviceTime       movingMean
	firstTokenLatency movingMean
	betweenTokens     movingMean
	limiter           concurrencyLimiter
	startsSinceAged   int // starts since the last one out of tier order
	sequence          uint64
	actions           []Action
}

// New returns an empty queue.
func New(config Config) *Queue {
	config = config.withDefaults()
	q := &Queue{
		config:  config,
		waiting: map[string]*item{},
		running: map[string]*item{},
		classes: map[string]*classEstimates{},
		limiter: newConcurrencyLimiter(config),
	}
	for i := range q.tiers {
		q.tiers[i] = newTierQueue()
	}
	return q
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of requests at the endpoint.
func (q *Queue) Running() int { return len(q.running) }

// Enqueue adds a request, which may start at once or be refused.
func (q *Queue) Enqueue(now time.Time, r Request) []Action {
	q.resetActions()
	if q.waiting[r.ID] != nil || q.running[r.ID] != nil {
		q.emit(Refuse{ID: r.ID, Reason: Duplicate})
		return q.actions
	}
	r.Tier = min(max(r.Tier, highestTier), lowestTier)
	it := &item{Request: r}
	q.limiter.observeTargets(now, it)
	q.addWaiting(now, it)
	q.schedule(now)
	q.shed(now)
	return q.actions
}

// RecordFirstToken records that the endpoint sent the first token, or the first byte of
// an answer without tokens.
func (q *Queue) RecordFirstToken(now time.Time, id string) []Action {
	q.resetActions()
	it := q.running[id]
	if it == nil || !it.lastTokenAt.IsZero() {
		return q.actions
	}
	it.lastTokenAt = now
	q.streaming++
	took := now.Sub(it.startedAt)
	q.firstTokenLatency.add(took)
	q.estimatesOf(it.Class).firstTokenLatency.add(took)
	q.limiter.observeFirstToken(now, it, took, len(q.running))
	q.schedule(now)
	return q.actions
}

// RecordTokens records n more tokens of a request since those recorded last.
func (q *Queue) RecordTokens(now time.Time, id string, n int) []Action {
	q.resetActions()
	it := q.running[id]
	if it == nil || it.lastTokenAt.IsZero() || n <= 0 {
		return q.actions
	}
	between := now.Sub(it.lastTokenAt) / time.Duration(n)
	it.lastTokenAt = now
	q.betweenTokens.add(between)
	q.limiter.observeBetweenTokens(now, between, len(q.running), q.streaming)
	q.schedule(now)
	return q.actions
}

// Finish records the end of a started request and frees its slot.
func (q *Queue) Finish(now time.Time, id string, outcome Outcome) []Action {
	q.resetActions()
	it := q.running[id]
	if it == nil {
		return q.actions
	}
	q.removeRunning(it)
	if outcome == Completed {
		took := now.Sub(it.startedAt)
		q.serviceTime.add(took)
		q.estimatesOf(it.Class).observeServiceTime(took)
		if it.lastTokenAt.IsZero() {
			q.limiter.observeServiceLatency(now, took, len(q.running)+1)
		}
	}
	q.schedule(now)
	return q.actions
}

// Cancel removes a waiting or running request whose caller has disconnected.
func (q *Queue) Cancel(now time.Time, id string) []Action {
	if q.running[id] != nil {
		return q.Finish(now, id, Cancelled)
	}
	q.resetActions()
	if it := q.waiting[id]; it != nil {
		q.removeWaiting(it)
	}
	q.schedule(now)
	return q.actions
}

// Tick carries out what is due at now; see NextTick.
func (q *Queue) Tick(now time.Time) []Action {
	q.resetActions()
	q.schedule(now)
	return q.actions
}

// RefuseWaiting refuses all waiting requests, for a drain or a lost lease.
func (q *Queue) RefuseWaiting(now time.Time, reason Reason) []Action {
	q.resetActions()
	for tier := lowestTier; tier >= highestTier; tier-- {
		t := q.tiers[tier]
		for t.expiry.len() > 0 {
			q.refuse(t.expiry.items[t.expiry.len()-1], reason)
		}
	}
	return q.actions
}

// NextTick returns when to call Tick next; false if nothing waits.
func (q *Queue) NextTick(now time.Time) (time.Time, bool) {
	next := int64(0)
	keepEarliest := func(at int64) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, t := range q.tiers[highestTier:] {
		if it := t.expiry.head(); it != nil {
			keepEarliest(it.keyUnixNano[byExpiry])
		}
		if it := t.target.head(); it != nil {
			keepEarliest(it.keyUnixNano[byTargetStart])
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

// Load returns the exact state of the queue for answers and heartbeats, with a new
// sequence number.
func (q *Queue) Load(now time.Time) *pb.Load {
	q.sequence++
	load := &pb.Load{
		Running:         uint32(len(q.running)),
		Slots:           uint32(q.limiter.slots()),
		ServiceTimeUs:   micros(q.serviceTime.value),
		FirstTokenUs:    micros(q.firstTokenLatency.value),
		Sequence:        q.sequence,
		BetweenTokensUs: micros(q.betweenTokens.value),
	}
	for tier := highestTier; tier <= lowestTier; tier++ {
		t := q.tiers[tier]
		if t.waiting() == 0 && t.running == 0 {
			continue
		}
		tierLoad := &pb.TierLoad{Tier: uint32(tier), Waiting: uint32(t.waiting()), Running: uint32(t.running)}
		if arrival, ok := t.oldestArrival(); ok {
			tierLoad.OldestWaitUs = micros(now.Sub(arrival))
		}
		load.Tiers = append(load.Tiers, tierLoad)
	}
	return load
}

func micros(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }

func (q *Queue) resetActions() { q.actions = nil }

func (q *Queue) emit(a Action) { q.actions = append(q.actions, a) }

func (q *Queue) addWaiting(now time.Time, it *item) {
	q.waiting[it.ID] = it
	q.waitingBytes += it.BodyBytes
	q.tiers[it.Tier].add(now, it, q.firstTokenEstimate(it.Class))
}

func (q *Queue) removeRunning(it *item) {
	delete(q.running, it.ID)
	q.tiers[it.Tier].running--
	if !it.lastTokenAt.IsZero() {
		q.streaming--
	}
}

// removeWaiting removes a request from its tier and from the waiting ones.
func (q *Queue) removeWaiting(it *item) {
	q.tiers[it.Tier].remove(it)
	q.untrackWaiting(it)
}

// untrackWaiting removes a request from the waiting ones, after its tier has.
func (q *Queue) untrackWaiting(it *item) {
	delete(q.waiting, it.ID)
	q.waitingBytes -= it.BodyBytes
}

func (q *Queue) refuse(it *item, reason Reason) {
	q.removeWaiting(it)
	q.emitRefusal(it, reason)
}
