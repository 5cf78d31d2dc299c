package routing

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// endpoint is the router's state of one incarnation of an endpoint.
type endpoint struct {
	descriptor     *pb.Endpoint
	group          *group
	inOwnDomain    bool
	load           *pb.Load
	loadReceivedAt time.Time
	inFlight       int // requests sent by this router that have not ended
	sentSinceLoad  int // of inFlight, sent since the last load report

	lastCacheSequence uint64
	cacheEpoch        uint64 // incremented at each gap in the cache events
	candidateInChoice uint64 // choiceCount of the last choice that had e as a candidate

	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time
	ejected              bool
	probeInFlight        bool // a request was sent after the ejection time and has not ended
}

func (e *endpoint) recordLoad(now time.Time, load *pb.Load) {
	if load == nil || (e.load != nil && load.GetSequence() <= e.load.GetSequence()) {
		return
	}
	e.load = load
	e.loadReceivedAt = now
	e.sentSinceLoad = 0
}

func (e *endpoint) leaving() bool {
	state := e.descriptor.GetState()
	return state == pb.EndpointState_ENDPOINT_STATE_DRAINING || state == pb.EndpointState_ENDPOINT_STATE_GONE
}

// tierDemand counts the requests of the tier and above that wait or run at e, and
// all requests sent since the last load report. Reported requests of lower tiers
// are left out because they can be preempted.
func (e *endpoint) tierDemand(tier int) int {
	demand := e.sentSinceLoad
	for _, t := range e.load.GetTiers() {
		if int(t.GetTier()) <= tier {
			demand += int(t.GetWaiting()) + int(t.GetRunning())
		}
	}
	return demand
}

// expectedWait estimates the time in the agent's queue for a request of the tier.
func (e *endpoint) expectedWait(tier int) time.Duration {
	if e.load == nil {
		return 0
	}
	return max(e.queueDelay(tier), e.oldestWait(tier))
}

// oldestWait is the longest time that a queued request of the tier or above has
// waited so far.
func (e *endpoint) oldestWait(tier int) time.Duration {
	oldest := uint64(0)
	for _, t := range e.load.GetTiers() {
		if int(t.GetTier()) <= tier {
			oldest = max(oldest, t.GetOldestWaitUs())
		}
	}
	return time.Duration(oldest) * time.Microsecond
}

// queueDelay estimates the time until the requests ahead of a new one of the tier
// have been served.
func (e *endpoint) queueDelay(tier int) time.Duration {
	slots := max(int(e.load.GetSlots()), 1)
	interval := e.serviceTime() / time.Duration(slots)
	if ahead := e.tierDemand(tier) - slots; ahead >= 0 {
		return time.Duration(ahead+1) * interval
	}
	if int(e.load.GetRunning())+e.sentSinceLoad >= slots {
		return interval / preemptionDivisor
	}
	return 0
}

// preemptionDivisor accounts for preemption: a slot held by a lower tier becomes
// free this many times sooner than by finishing its request.
const preemptionDivisor = 4

// expectedFirstToken estimates the time from start to first token. It scales the
// reported time up by the share of slots that are in use or in demand.
func (e *endpoint) expectedFirstToken(tier int) time.Duration {
	if e.load == nil {
		return 0
	}
	slots := max(int(e.load.GetSlots()), 1)
	used := tierDemandWeight*e.tierDemand(tier) + runningWeight*(int(e.load.GetRunning())+e.sentSinceLoad)
	return e.reportedFirstToken() * time.Duration(slots+used) / time.Duration(slots)
}

// Weights in expectedFirstToken of the demand of the tier and of the running
// requests.
const (
	tierDemandWeight = 3
	runningWeight    = 3
)

func (e *endpoint) serviceTime() time.Duration {
	return time.Duration(e.load.GetServiceTimeUs()) * time.Microsecond
}

func (e *endpoint) reportedFirstToken() time.Duration {
	return time.Duration(e.load.GetFirstTokenUs()) * time.Microsecond
}

// betweenTokensPenalty is the cost of a time between tokens above the target.
func (e *endpoint) betweenTokensPenalty(target time.Duration) time.Duration {
	between := time.Duration(e.load.GetBetweenTokensUs()) * time.Microsecond
	if target <= 0 || between <= target {
		return 0
	}
	return betweenTokensPenaltyFactor * (between - target)
}

// betweenTokensPenaltyFactor is how much extra time to first token is acceptable
// per unit of time saved between tokens.
const betweenTokensPenaltyFactor = 10

// hasLowerTier reports whether requests of a lower tier wait or run at e.
func (e *endpoint) hasLowerTier(tier int) bool {
	for _, t := range e.load.GetTiers() {
		if int(t.GetTier()) > tier {
			return true
		}
	}
	return false
}
