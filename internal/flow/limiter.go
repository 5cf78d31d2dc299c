package flow

import (
	"math"
	"time"
)

// Parameters of the adaptive concurrency limit.
const (
	adjustInterval           = 100 * time.Millisecond // observations are averaged over at least this
	classPresenceTimeout     = 30 * time.Second       // targets of a class apply for this long after its last request
	betweenTargetFraction    = 0.85                   // part of the between-tokens target that is aimed at
	firstTokenTargetFraction = 0.5                    // part of the first-token target that the endpoint may use
	maxLatencyFactor         = 2.0                    // bound on the latency of an answer without tokens, relative to the unloaded one
	unloadedDoublingTime     = 5 * time.Minute        // the unloaded latency doubles in this time unless a lower one is observed
	unloadedSlots            = 2                      // with at most this limit, any latency counts as unloaded
	decreaseFactor           = 0.9                    // of the limit, after an interval with latencies over their bound
	growBelowRatio           = 0.7                    // the limit grows only if latencies are below this part of their bound
	slopeDecayFactor         = 0.98                   // weight of the past intervals in the regression at each new one
	initialSlope             = 0.05                   // until the regression has a result
	minSlope                 = 0.002
	maxSlope                 = 1.0
	minRunningVariance       = 4.0 // of the running requests, for the regression to have a result
	pendingDivisor           = 4.0 // streaming requests per allowed pending one
	minPendingLimit          = 2.0 // pending requests always allowed, unless latencies are over their bound
	overBoundPendingLimit    = 0.5 // pending requests allowed while latencies are over their bound
	smoothingDivisor         = 4.0 // an interval moves a smoothed count by 1/4 of its distance from it
	// The limit is at least the number of running requests at which the time between
	// tokens exceeds that of an empty engine by this fraction.
	minSlotsLatencyRise = 1.0
)

// concurrencyLimiter decides how many requests run at the endpoint at once. The
// limit is the lower of two:
//
//   - the most running requests for which the modelled time between tokens,
//     base * (1 + slope * running), meets the tightest target. slope is learnt
//     slowly and base follows each interval, so that a change of the present classes
//     or of the engine's speed takes effect at once.
//   - latencyLimit, which follows the time to first token, or the total latency of
//     an answer without tokens, by additive increase and multiplicative decrease.
//
// A running request is pending until its first token and streaming after it.
type concurrencyLimiter struct {
	adaptive      bool
	min, max      int
	limit         int
	targets       map[string]*classTargets
	window        window
	model         betweenTokensModel
	latencyLimit  float64
	meanStreaming float64 // smoothed count of streaming requests
	meanPending   float64 // smoothed count of pending requests
	// latencyOverBound is true if the mean latency was over its bound in the last
	// interval that had any.
	latencyOverBound    bool
	unloadedLatencyNano float64   // least recent latency of an answer without tokens
	lastFinishAt        time.Time // last end of an answer without tokens
}

// classTargets are the targets of a class with recent requests.
type classTargets struct {
	betweenTokens, firstToken time.Duration
	lastSeen                  time.Time
}

// window sums the observations of one interval.
type window struct {
	startedAt                     time.Time
	betweenCount, runningSum      float64
	streamingSum                  float64
	betweenSumNano                float64
	latencyCount, latencyRatioSum float64 // ratios are latencies divided by their bound
	limitReached                  bool
}

// betweenTokensModel models the time between tokens as base * (1 + slope * running).
// base is that of an empty engine, in ns. The slope is a linear regression over the
// means of the intervals, weighted by age.
type betweenTokensModel struct {
	base, slope                                                         float64
	weight, runningSum, betweenSum, runningSquareSum, runningBetweenSum float64
}

func newConcurrencyLimiter(c Config) concurrencyLimiter {
	return concurrencyLimiter{
		adaptive: c.Adaptive, min: c.MinSlots, max: c.MaxSlots, limit: c.Slots,
		targets: map[string]*classTargets{}, model: betweenTokensModel{slope: initialSlope}, latencyLimit: float64(c.Slots),
	}
}

func (l *concurrencyLimiter) slots() int { return l.limit }

// observeTargets records the targets of a request's class.
func (l *concurrencyLimiter) observeTargets(now time.Time, it *item) {
	if !l.adaptive {
		return
	}
	t := l.targets[it.Class]
	if t == nil {
		t = &classTargets{}
		l.targets[it.Class] = t
	}
	t.betweenTokens, t.firstToken, t.lastSeen = it.BetweenTokensTarget, it.FirstTokenTarget, now
}

// observeFirstToken records the time from start to first token.
func (l *concurrencyLimiter) observeFirstToken(now time.Time, it *item, took time.Duration, running int) {
	if !l.adaptive || it.FirstTokenTarget <= 0 {
		return
	}
	l.observeLatencyRatio(now, float64(took)/(firstTokenTargetFraction*float64(it.FirstTokenTarget)), running)
}

// observeBetweenTokens records a time between tokens.
func (l *concurrencyLimiter) observeBetweenTokens(now time.Time, between time.Duration, running, streaming int) {
	if !l.adaptive {
		return
	}
	l.window.betweenCount++
	l.window.betweenSumNano += float64(between)
	l.window.runningSum += float64(running)
	l.window.streamingSum += float64(streaming)
	l.adjust(now, running)
}

// observeServiceLatency records the latency of an answer without tokens.
func (l *concurrencyLimiter) observeServiceLatency(now time.Time, took time.Duration, running int) {
	if !l.adaptive {
		return
	}
	latency := float64(took)
	if elapsed := now.Sub(l.lastFinishAt); l.unloadedLatencyNano > 0 && elapsed > 0 {
		l.unloadedLatencyNano *= math.Exp2(float64(elapsed) / float64(unloadedDoublingTime))
	}
	l.lastFinishAt = now
	if l.unloadedLatencyNano == 0 || latency < l.unloadedLatencyNano || l.limit <= unloadedSlots {
		l.unloadedLatencyNano = latency
	}
	l.observeLatencyRatio(now, latency/(maxLatencyFactor*l.unloadedLatencyNano), running)
}

// observeLatencyRatio records a latency divided by its bound.
func (l *concurrencyLimiter) observeLatencyRatio(now time.Time, ratio float64, running int) {
	l.window.latencyCount++
	l.window.latencyRatioSum += ratio
	l.adjust(now, running)
}

// adjust updates the limit at the end of an interval.
func (l *concurrencyLimiter) adjust(now time.Time, running int) {
	l.window.limitReached = l.window.limitReached || running >= l.limit
	if l.window.startedAt.IsZero() {
		l.window.startedAt = now
	}
	if now.Sub(l.window.startedAt) < adjustInterval {
		return
	}
	l.adjustLatencyLimit(running)
	l.limitPending()
	limit := l.latencyLimit
	if l.window.betweenCount > 0 {
		l.model.observe(l.window.runningSum/l.window.betweenCount, l.window.betweenSumNano/l.window.betweenCount)
	}
	if target := l.minBetweenTarget(now); target > 0 && l.model.base > 0 {
		limit = math.Min(limit, l.model.maxRunning(float64(target)*betweenTargetFraction))
	}
	l.limit = min(max(int(limit), l.min), l.max)
	l.window = window{startedAt: now}
}

// adjustLatencyLimit updates the latency limit from the latencies of the interval.
func (l *concurrencyLimiter) adjustLatencyLimit(running int) {
	ratio := 0.0
	if l.window.latencyCount > 0 {
		ratio = l.window.latencyRatioSum / l.window.latencyCount
		l.latencyOverBound = ratio > 1
	}
	switch {
	case ratio > 1:
		decreased := math.Max(decreaseFactor*math.Min(l.latencyLimit, float64(max(running, l.limit))), l.minLatencyLimit())
		l.latencyLimit = math.Min(l.latencyLimit, decreased)
	case ratio < growBelowRatio && l.window.limitReached && l.meanPending <= l.maxPending()/2 && l.latencyLimit <= float64(l.limit)+1:
		l.latencyLimit = math.Min(l.latencyLimit+1, float64(l.max))
	}
}

// limitPending keeps requests from queueing inside the engine. If many are pending,
// the engine has fewer slots than the limit: the latency limit is lowered to about
// the number of streaming requests.
func (l *concurrencyLimiter) limitPending() {
	if l.window.betweenCount == 0 {
		return
	}
	streaming := l.window.streamingSum / l.window.betweenCount
	l.meanStreaming += (streaming - l.meanStreaming) / smoothingDivisor
	l.meanPending += (l.window.runningSum/l.window.betweenCount - streaming - l.meanPending) / smoothingDivisor
	if l.meanPending > l.maxPending() || l.latencyOverBound && l.meanPending > overBoundPendingLimit {
		l.latencyLimit = math.Max(math.Min(l.latencyLimit, math.Ceil(l.meanStreaming)), float64(l.min))
	}
}

// maxPending is the allowed number of pending requests.
func (l *concurrencyLimiter) maxPending() float64 {
	return math.Max(minPendingLimit, l.meanStreaming/pendingDivisor)
}

// minLatencyLimit is the lower bound of the latency limit. Below it, latency hardly
// falls any further.
func (l *concurrencyLimiter) minLatencyLimit() float64 {
	if l.model.base > 0 {
		return math.Max(minSlotsLatencyRise/l.model.slope, float64(l.min))
	}
	return float64(l.min)
}

// minBetweenTarget is the tightest between-tokens target of the present classes; 0
// if there is none.
func (l *concurrencyLimiter) minBetweenTarget(now time.Time) time.Duration {
	var least time.Duration
	for _, t := range l.targets {
		if t.betweenTokens > 0 && now.Sub(t.lastSeen) < classPresenceTimeout && (least == 0 || t.betweenTokens < least) {
			least = t.betweenTokens
		}
	}
	return least
}

// observe updates the model with the means of an interval.
func (m *betweenTokensModel) observe(running, between float64) {
	m.weight, m.runningSum, m.betweenSum = slopeDecayFactor*m.weight+1, slopeDecayFactor*m.runningSum+running, slopeDecayFactor*m.betweenSum+between
	m.runningSquareSum, m.runningBetweenSum = slopeDecayFactor*m.runningSquareSum+running*running, slopeDecayFactor*m.runningBetweenSum+running*between
	meanRunning, meanBetween := m.runningSum/m.weight, m.betweenSum/m.weight
	variance := m.runningSquareSum/m.weight - meanRunning*meanRunning
	if variance >= minRunningVariance {
		slopeNano := (m.runningBetweenSum/m.weight - meanRunning*meanBetween) / variance
		if baseNano := meanBetween - slopeNano*meanRunning; baseNano > 0 && slopeNano > 0 {
			m.slope += (math.Min(math.Max(slopeNano/baseNano, minSlope), maxSlope) - m.slope) / meanDivisor
		}
	}
	base := between / (1 + m.slope*running)
	if m.base == 0 {
		m.base = base
	}
	m.base += (base - m.base) / 2
}

// maxRunning is the number of running requests that the model allows for a time
// between tokens. It is at least the number that doubles the time of an empty
// engine: a lower limit would cost throughput and still miss an unreachable target.
func (m *betweenTokensModel) maxRunning(between float64) float64 {
	return math.Max((between/m.base-1)/m.slope, minSlotsLatencyRise/m.slope)
}
