package flow

import "time"

// busyWaitDivisor divides the time that a request may wait for its target if it may be
// refused as busy. The rest is left for the attempt at the other endpoint.
const busyWaitDivisor = 2

// firstTokenReserveDivisor bounds the time reserved for the first token to the
// first-token target divided by this. Without the bound a slow endpoint would make
// every request late on arrival.
const firstTokenReserveDivisor = 2

// tierQueue holds the waiting requests of one tier and counts the running ones.
type tierQueue struct {
	onTime, late *fairQueue
	expiry       heap
	arrival      heap
	target       heap // only requests in onTime that have a target
	running      int
	runningPeak  decayingPeak
}

func newTierQueue() *tierQueue {
	return &tierQueue{
		onTime: newFairQueue(), late: newFairQueue(),
		expiry: heap{kind: byExpiry}, arrival: heap{kind: byArrival}, target: heap{kind: byTargetStart},
	}
}

func (t *tierQueue) waiting() int { return t.onTime.count + t.late.count }

// add adds a request. firstToken is the estimated time from its start to its first
// token.
func (t *tierQueue) add(now time.Time, it *item, firstToken time.Duration) {
	for kind := range it.heapIndex {
		it.heapIndex[kind] = -1
	}
	it.keyUnixNano[byExpiry] = it.StartBy.UnixNano()
	t.expiry.push(it)
	it.keyUnixNano[byArrival] = it.Arrived.UnixNano()
	t.arrival.push(it)
	if it.FirstTokenTarget <= 0 {
		it.late = false
		it.keyUnixNano[byEffectiveDeadline] = it.StartBy.UnixNano()
		t.onTime.add(it)
		return
	}
	slack := it.FirstTokenTarget - min(firstToken, it.FirstTokenTarget/firstTokenReserveDivisor)
	if it.MayRefuseAsBusy {
		slack /= busyWaitDivisor
	}
	targetStart := it.Arrived.Add(slack)
	it.keyUnixNano[byTargetStart] = targetStart.UnixNano()
	it.late = !targetStart.After(now)
	if it.late {
		it.keyUnixNano[byEffectiveDeadline] = it.StartBy.UnixNano()
		t.late.add(it)
		return
	}
	it.keyUnixNano[byEffectiveDeadline] = targetStart.UnixNano()
	t.onTime.add(it)
	t.target.push(it)
}

func (t *tierQueue) remove(it *item) {
	t.expiry.remove(it)
	t.arrival.remove(it)
	t.target.remove(it)
	if it.late {
		t.late.remove(it)
		return
	}
	t.onTime.remove(it)
}

// takeOverdue removes from onTime, and returns, a request whose byTargetStart key has
// been reached; nil if there is none. The caller passes it to addLate.
func (t *tierQueue) takeOverdue(now time.Time) *item {
	it := t.target.head()
	if !due(it, byTargetStart, now) {
		return nil
	}
	t.target.remove(it)
	t.onTime.remove(it)
	return it
}

// addLate adds a request returned by takeOverdue to the late ones.
func (t *tierQueue) addLate(it *item) {
	it.late = true
	it.keyUnixNano[byEffectiveDeadline] = it.StartBy.UnixNano()
	t.late.add(it)
}

// pop removes and returns the request to start next; nil if none waits.
func (t *tierQueue) pop() *item {
	from := t.onTime
	if from.count == 0 {
		from = t.late
	}
	it := from.pop()
	if it == nil {
		return nil
	}
	t.expiry.remove(it)
	t.arrival.remove(it)
	t.target.remove(it)
	return it
}

// victim returns the request to shed first; nil if none waits.
func (t *tierQueue) victim() *item {
	if it := t.late.victim(); it != nil {
		return it
	}
	return t.onTime.victim()
}

// oldestArrival returns the earliest arrival among the waiting requests; false if
// none waits.
func (t *tierQueue) oldestArrival() (time.Time, bool) {
	it := t.arrival.head()
	if it == nil {
		return time.Time{}, false
	}
	return it.Arrived, true
}
