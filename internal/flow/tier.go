package flow

import "time"

// movePart of the time to its target is what a request that may move waits.
const movePart = 2

// marginPart bounds the time kept for the first token to a part of the target,
// so that a slow endpoint does not make everything late on arrival.
const marginPart = 2

// tier holds the waiting requests of one tier.
type tier struct {
	onTime, late *fair
	expiry       heap
	arrival      heap
	target       heap // of the requests on time that have a target
	running      int
	peak         peak
}

func newTier() *tier {
	return &tier{
		onTime: newFair(), late: newFair(),
		expiry: heap{kind: byExpiry}, arrival: heap{kind: byArrival}, target: heap{kind: byTarget},
	}
}

func (t *tier) waiting() int { return t.onTime.count + t.late.count }

// add puts a request in line. firstToken is the expected time from its start
// to its first token.
func (t *tier) add(now time.Time, it *item, firstToken time.Duration) {
	for kind := range it.index {
		it.index[kind] = -1
	}
	it.key[byExpiry] = it.StartBy.UnixNano()
	t.expiry.push(it)
	it.key[byArrival] = it.Arrived.UnixNano()
	t.arrival.push(it)
	if it.FirstTokenTarget <= 0 {
		it.late = false
		it.key[byOrder] = it.StartBy.UnixNano()
		t.onTime.add(it)
		return
	}
	slack := it.FirstTokenTarget - min(firstToken, it.FirstTokenTarget/marginPart)
	if it.MayMove {
		slack /= movePart
	}
	startBy := it.Arrived.Add(slack)
	it.key[byTarget] = startBy.UnixNano()
	it.late = !startBy.After(now)
	if it.late {
		it.key[byOrder] = it.StartBy.UnixNano()
		t.late.add(it)
		return
	}
	it.key[byOrder] = startBy.UnixNano()
	t.onTime.add(it)
	t.target.push(it)
}

func (t *tier) remove(it *item) {
	t.expiry.remove(it)
	t.arrival.remove(it)
	t.target.remove(it)
	if it.late {
		t.late.remove(it)
		return
	}
	t.onTime.remove(it)
}

// overdue takes a request that can no longer meet its target out of those on
// time; nil if there is none. The caller adds it to the late ones or refuses it.
func (t *tier) overdue(now time.Time) *item {
	it := t.target.head()
	if !due(it, byTarget, now) {
		return nil
	}
	t.target.remove(it)
	t.onTime.remove(it)
	return it
}

// addLate puts a request that overdue returned among the late ones.
func (t *tier) addLate(it *item) {
	it.late = true
	it.key[byOrder] = it.StartBy.UnixNano()
	t.late.add(it)
}

// take removes the request that is to start next; nil if none waits.
func (t *tier) take() *item {
	from := t.onTime
	if from.count == 0 {
		from = t.late
	}
	it := from.take()
	if it == nil {
		return nil
	}
	t.expiry.remove(it)
	t.arrival.remove(it)
	t.target.remove(it)
	return it
}

// victim returns the request to shed first.
func (t *tier) victim() *item {
	if it := t.late.victim(); it != nil {
		return it
	}
	return t.onTime.victim()
}

// oldest returns the earliest arrival among the waiting requests.
func (t *tier) oldest() (time.Time, bool) {
	it := t.arrival.head()
	if it == nil {
		return time.Time{}, false
	}
	return it.Arrived, true
}
