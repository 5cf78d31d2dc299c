package routing

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// endpoint is what the router knows of one incarnation.
type endpoint struct {
	described *pb.Endpoint
	group     *group
	own       bool
	load      *pb.Load
	loadAt    time.Time
	inFlight  int // sent by this router and not ended
	unseen    int // of these, sent since the last load figure

	cacheSequence uint64 // of the last cache event
	cacheEpoch    uint64 // grows with each gap in the cache events
	fitAt         uint64 // number of the last choice that e was fit for

	failures     int // in a row
	ejections    int // in a row
	ejectedUntil time.Time
	ejected      bool
	probing      bool
}

func (e *endpoint) observe(now time.Time, load *pb.Load) {
	if load == nil || (e.load != nil && load.GetSequence() <= e.load.GetSequence()) {
		return
	}
	e.load = load
	e.loadAt = now
	e.unseen = 0
}

func (e *endpoint) leaving() bool {
	state := e.described.GetState()
	return state == pb.EndpointState_ENDPOINT_STATE_DRAINING || state == pb.EndpointState_ENDPOINT_STATE_GONE
}

// demand is how many requests of the tier and above wait or run there; lower
// ones give way.
func (e *endpoint) demand(tier int) int {
	demand := e.unseen
	for _, t := range e.load.GetTiers() {
		if int(t.GetTier()) <= tier {
			demand += int(t.GetWaiting()) + int(t.GetRunning())
		}
	}
	return demand
}

// wait is the expected time in the agent's queue for a request of the tier.
func (e *endpoint) wait(tier int) time.Duration {
	if e.load == nil {
		return 0
	}
	return max(e.queueTime(tier), e.oldestWait(tier))
}

// oldestWait is how long a request of the tier or above has waited there.
func (e *endpoint) oldestWait(tier int) time.Duration {
	oldest := uint64(0)
	for _, t := range e.load.GetTiers() {
		if int(t.GetTier()) <= tier {
			oldest = max(oldest, t.GetOldestWaitUs())
		}
	}
	return time.Duration(oldest) * time.Microsecond
}

// queueTime is the time to serve what is ahead of a request of the tier.
func (e *endpoint) queueTime(tier int) time.Duration {
	slots := max(int(e.load.GetSlots()), 1)
	interval := e.serviceTime() / time.Duration(slots)
	if ahead := e.demand(tier) - slots; ahead >= 0 {
		return time.Duration(ahead+1) * interval
	}
	if int(e.load.GetRunning())+e.unseen >= slots {
		return interval / giveWayPart
	}
	return 0
}

// giveWayPart is how much sooner than by itself a slot comes free that lower
// tiers hold.
const giveWayPart = 4

// firstTokenCost is the expected time from start to first token, longer the
// more of the slots are asked for.
func (e *endpoint) firstTokenCost(tier int) time.Duration {
	if e.load == nil {
		return 0
	}
	slots := max(int(e.load.GetSlots()), 1)
	used := demandWeight*e.demand(tier) + runningWeight*(int(e.load.GetRunning())+e.unseen)
	return e.firstToken() * time.Duration(slots+used) / time.Duration(slots)
}

// Weights of the slots in use in firstTokenCost.
const (
	demandWeight  = 3
	runningWeight = 3
)

func (e *endpoint) serviceTime() time.Duration {
	return time.Duration(e.load.GetServiceTimeUs()) * time.Microsecond
}

func (e *endpoint) firstToken() time.Duration {
	return time.Duration(e.load.GetFirstTokenUs()) * time.Microsecond
}

// tooSlow is what a request loses by a time between tokens over its target.
func (e *endpoint) tooSlow(target time.Duration) time.Duration {
	between := time.Duration(e.load.GetBetweenTokensUs()) * time.Microsecond
	if target <= 0 || between <= target {
		return 0
	}
	return slowWeight * (between - target)
}

// slowWeight is how much time to first token a request would give up for a
// shorter time between tokens.
const slowWeight = 10

// lowerTier says that something below the tier waits or runs there.
func (e *endpoint) lowerTier(tier int) bool {
	for _, t := range e.load.GetTiers() {
		if int(t.GetTier()) > tier {
			return true
		}
	}
	return false
}
