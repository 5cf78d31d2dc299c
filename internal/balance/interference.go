package balance

import (
	"cmp"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// Costs of interference between the requests of an engine. Each request makes
// every step longer, and prefill of a prompt lengthens the pauses of the streams
// that run on the same engine.
const (
	// A stream counts as urgent if its gap target is at most urgentGapRatio times the
	// shortest one of its service, and the longest pause of a full engine exceeds
	// urgentPauseFraction of it.
	urgentGapRatio      = 1.25
	urgentPauseFraction = 0.6
	// unitCostGapTarget is the gap target of a stream at which each other request of
	// the engine costs it 1 ms. The cost is inversely proportional to the target.
	unitCostGapTarget = 250 * time.Millisecond
	// prefillInterferenceFactor times its prefill time is the cost of a prompt for
	// each urgent stream of the engine.
	prefillInterferenceFactor = 1.0
	// excessStreamCost is the cost for an urgent stream of each request beyond
	// streamsIfReserved. From there on any prefill on the engine makes it
	// pause too long.
	excessStreamCost = 10 * time.Millisecond
	// urgentPrefillCostDivisor reduces the cost of prefilling shared parts again for
	// urgent streams: their prompts are short, and which engine runs them matters more.
	urgentPrefillCostDivisor = 4
	// recentPrefillFactor times the prefill time of recent prompts is the cost of an
	// urgent stream at their endpoint: more such prompts are expected while it runs.
	recentPrefillFactor    = 2
	recentPrefillDecayTime = 1500 * time.Millisecond // time constant: about two thirds are gone after it

	// errorRateCost is the cost of an endpoint that answers with nothing but errors.
	errorRateCost      = time.Second
	errorRateTolerance = 0.15            // excess over the mean rate that costs nothing
	errorRateWeight    = 0.15            // of one answer
	errorRateDecayTime = 3 * time.Second // time constant: about two thirds are gone after it

	// slowdownCost is the cost for a stream of each unit of slowdown above
	// slowdownThreshold times the mean: the pauses between its events grow too.
	slowdownCost      = 300 * time.Millisecond
	slowdownThreshold = 1.7
)

// urgentCount returns 1 for an urgent stream, which is disturbed by prefill on its
// engine, and 0 for other requests.
func (r *Request) urgentCount() int {
	if r.urgent {
		return 1
	}
	return 0
}

// isUrgent reports whether a request is a stream that is kept apart from long prompts:
// its gap target is among the shortest of the service, and long prompts would put it at risk.
func (t *Table) isUrgent(r *Request) bool {
	if r.GapTarget <= 0 {
		return false
	}
	m := t.model(r.Service)
	m.shortestGapSeen = min(cmp.Or(m.shortestGapSeen, r.GapTarget), r.GapTarget)
	if float64(r.GapTarget) > urgentGapRatio*float64(cmp.Or(m.shortestGapTarget, m.shortestGapSeen)) {
		return false
	}
	return float64(m.longestPause(t.services[r.Service])) > urgentPauseFraction*float64(r.GapTarget)
}

// interferenceCost returns what a request loses to the other requests of an
// endpoint, and what they lose to it, besides its wait.
func (e *endpoint) interferenceCost(in *choiceInputs, d demand, prefillTokens int) time.Duration {
	r := in.request
	if in.off.Has(mechanism.Interference) || r.PromptTokens == 0 || r.GapTarget <= 0 {
		return 0
	}
	cost := time.Duration(float64(d.running+d.waiting) * float64(unitCostGapTarget) / float64(r.GapTarget) * float64(time.Millisecond))
	if r.urgentCount() > 0 {
		cost += time.Duration(max(d.running+d.waiting-in.model.streamsIfReserved(e), 0)) * excessStreamCost
		return cost + time.Duration(recentPrefillFactor*float64(in.model.speed.prefillTime(e.recentPrefill.at(in.now)+e.peerLoad.RecentPrefillTokens)))
	}
	urgentStreams := float64(e.urgentRequests + e.peerLoad.UrgentRequests)
	perStream := max(time.Duration(prefillInterferenceFactor*in.model.pauseWeight(d, prefillTokens)*float64(in.model.speed.prefillTime(prefillTokens))), in.model.missedGapCost(d, prefillTokens))
	return cost + time.Duration(urgentStreams*float64(perStream))
}

// recentTokens is an exponentially decaying count of prompt tokens sent to an
// endpoint for prefill.
type recentTokens struct {
	tokens    float64
	updatedAt time.Time
}

func (r *recentTokens) at(now time.Time) int {
	if r.tokens == 0 {
		return 0
	}
	return int(r.tokens * decay(now.Sub(r.updatedAt), recentPrefillDecayTime))
}

func (r *recentTokens) add(now time.Time, tokens int) {
	r.tokens = r.tokens*decay(now.Sub(r.updatedAt), recentPrefillDecayTime) + float64(tokens)
	r.updatedAt = now
}

// errorRate is the moving average of errors among the answers of an endpoint. It
// decays while no answers arrive.
type errorRate struct {
	rate      float64
	updatedAt time.Time
}

func (r *errorRate) at(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * decay(now.Sub(r.updatedAt), errorRateDecayTime)
}

// add records an answer: value is 1 for an error, else 0.
func (r *errorRate) add(now time.Time, value float64) {
	current := r.at(now)
	r.rate, r.updatedAt = current+errorRateWeight*(value-current), now
}

// decay approximates exp(-age/timeConstant), the fraction that is left after age.
func decay(age, timeConstant time.Duration) float64 {
	x := float64(max(age, 0)) / float64(timeConstant)
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}
