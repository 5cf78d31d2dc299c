package flow

import (
	"math"
	"time"
)

// Constants of the adaptive concurrency.
const (
	limitWindow   = 100 * time.Millisecond // observations of one adjustment
	recentClass   = 30 * time.Second       // a class counts as present for so long
	targetMargin  = 0.85                   // part of a between-tokens target aimed at
	firstPart     = 0.5                    // part of a first-token target that the endpoint may use
	latencyRise   = 2.0                    // a plain service may take so much longer than unloaded
	unloadedTwice = 5 * time.Minute        // without a lower one, the unloaded latency doubles in so long
	fewSlots      = 2                      // at so few, the latency seen is taken as unloaded
	decrease      = 0.9                    // per window over its bound
	growBelow     = 0.7                    // of its bound, for the limit to grow
	forget        = 0.98                   // weight of past windows in the slope
	firstSlope    = 0.05                   // slope per request before it is learnt
	minSlope      = 0.002
	maxSlope      = 1.0
	minVariance   = 4.0 // of the running requests, to learn the slope from them
	pendingPart   = 4.0 // of the requests with tokens may wait for their first one
	minPending    = 2.0 // so many may always, unless first tokens are late
	latePending   = 0.5 // may wait while first tokens are late
	pendingShare  = 4.0 // one window moves the smoothed figures by 1 in so many
	kneeRise      = 1.0 // never fewer slots than double the time of an empty engine
)

// limiter decides how many requests run at the endpoint at once. The time
// between tokens is modelled as base * (1 + slope * running): slope is learnt
// slowly, base follows each window, so that a change of the classes present
// or of the engine's speed moves the limit at once. The time to first token,
// or the whole latency of a plain service, lowers a second limit by a factor
// and raises it by steps.
type limiter struct {
	adaptive bool
	min, max int
	limit    int
	targets  map[string]*classTargets
	window   window
	model    stepModel
	ceiling  float64
	active   float64 // smoothed requests that get tokens
	pending  float64 // smoothed requests that wait for their first
	// lateFirst says that first tokens took longer than their part of the
	// target when any came last.
	lateFirst bool
	unloaded  float64   // least latency of a plain service, ns
	finishAt  time.Time // of the last answer without tokens
}

// classTargets are the targets of a class that was present lately.
type classTargets struct {
	between, first time.Duration
	seen           time.Time
}

// window sums the observations since began.
type window struct {
	began           time.Time
	tokens, running float64
	active          float64
	between         float64 // ns, over tokens
	firsts, ratio   float64 // latencies over their bound
	full            bool    // the limit was reached
}

// stepModel is base * (1 + slope * running), learnt from means of windows.
type stepModel struct {
	base, slope     float64
	n, x, y, xx, xy float64
}

func newLimiter(c Config) limiter {
	return limiter{
		adaptive: c.Adaptive, min: c.MinSlots, max: c.MaxSlots, limit: c.Slots,
		targets: map[string]*classTargets{}, model: stepModel{slope: firstSlope}, ceiling: float64(c.Slots),
	}
}

func (l *limiter) slots() int { return l.limit }

// present notes that a class with these targets is in use.
func (l *limiter) present(now time.Time, it *item) {
	if !l.adaptive {
		return
	}
	t := l.targets[it.Class]
	if t == nil {
		t = &classTargets{}
		l.targets[it.Class] = t
	}
	t.between, t.first, t.seen = it.BetweenTokensTarget, it.FirstTokenTarget, now
}

// firstToken takes the time from start to first token.
func (l *limiter) firstToken(now time.Time, it *item, took time.Duration, running int) {
	if !l.adaptive || it.FirstTokenTarget <= 0 {
		return
	}
	l.latency(now, float64(took)/(firstPart*float64(it.FirstTokenTarget)), running)
}

// token takes a time between tokens.
func (l *limiter) token(now time.Time, between time.Duration, running, active int) {
	if !l.adaptive {
		return
	}
	l.window.tokens++
	l.window.between += float64(between)
	l.window.running += float64(running)
	l.window.active += float64(active)
	l.adjust(now, running)
}

// finished takes the latency of an answer without tokens.
func (l *limiter) finished(now time.Time, took time.Duration, running int) {
	if !l.adaptive {
		return
	}
	latency := float64(took)
	if since := now.Sub(l.finishAt); l.unloaded > 0 && since > 0 {
		l.unloaded *= math.Exp2(float64(since) / float64(unloadedTwice))
	}
	l.finishAt = now
	if l.unloaded == 0 || latency < l.unloaded || l.limit <= fewSlots {
		l.unloaded = latency
	}
	l.latency(now, latency/(latencyRise*l.unloaded), running)
}

func (l *limiter) latency(now time.Time, ratio float64, running int) {
	l.window.firsts++
	l.window.ratio += ratio
	l.adjust(now, running)
}

// adjust moves the limit at the end of a window.
func (l *limiter) adjust(now time.Time, running int) {
	l.window.full = l.window.full || running >= l.limit
	if l.window.began.IsZero() {
		l.window.began = now
	}
	if now.Sub(l.window.began) < limitWindow {
		return
	}
	l.moveCeiling(running)
	l.lowerToActive()
	limit := l.ceiling
	if l.window.tokens > 0 {
		l.model.observe(l.window.running/l.window.tokens, l.window.between/l.window.tokens)
	}
	if target := l.betweenTarget(now); target > 0 && l.model.base > 0 {
		limit = math.Min(limit, l.model.room(float64(target)*targetMargin))
	}
	l.limit = min(max(int(limit), l.min), l.max)
	l.window = window{began: now}
}

// moveCeiling follows the latencies of the window.
func (l *limiter) moveCeiling(running int) {
	ratio := 0.0
	if l.window.firsts > 0 {
		ratio = l.window.ratio / l.window.firsts
		l.lateFirst = ratio > 1
	}
	switch {
	case ratio > 1:
		lower := math.Max(decrease*math.Min(l.ceiling, float64(max(running, l.limit))), l.floor())
		l.ceiling = math.Min(l.ceiling, lower)
	case ratio < growBelow && l.window.full && l.pending <= l.mayPend()/2 && l.ceiling <= float64(l.limit)+1:
		l.ceiling = math.Min(l.ceiling+1, float64(l.max))
	}
}

// lowerToActive keeps the queue out of the engine: where many requests wait
// there for their first token while others get theirs, it has fewer slots than
// the limit, about as many as get tokens.
func (l *limiter) lowerToActive() {
	if l.window.tokens == 0 {
		return
	}
	active := l.window.active / l.window.tokens
	l.active += (active - l.active) / pendingShare
	l.pending += (l.window.running/l.window.tokens - active - l.pending) / pendingShare
	if l.pending > l.mayPend() || l.lateFirst && l.pending > latePending {
		l.ceiling = math.Max(math.Min(l.ceiling, math.Ceil(l.active)), float64(l.min))
	}
}

// mayPend is how many requests may wait in the engine for their first token.
func (l *limiter) mayPend() float64 { return math.Max(minPending, l.active/pendingPart) }

// floor is the limit below which latency hardly falls any further.
func (l *limiter) floor() float64 {
	if l.model.base > 0 {
		return math.Max(kneeRise/l.model.slope, float64(l.min))
	}
	return float64(l.min)
}

// betweenTarget is the tightest of the classes present; 0 if there is none.
func (l *limiter) betweenTarget(now time.Time) time.Duration {
	var least time.Duration
	for _, t := range l.targets {
		if t.between > 0 && now.Sub(t.seen) < recentClass && (least == 0 || t.between < least) {
			least = t.between
		}
	}
	return least
}

// observe learns from the mean of a window.
func (m *stepModel) observe(running, between float64) {
	m.n, m.x, m.y = forget*m.n+1, forget*m.x+running, forget*m.y+between
	m.xx, m.xy = forget*m.xx+running*running, forget*m.xy+running*between
	meanX, meanY := m.x/m.n, m.y/m.n
	variance := m.xx/m.n - meanX*meanX
	if variance >= minVariance {
		rise := (m.xy/m.n - meanX*meanY) / variance
		if empty := meanY - rise*meanX; empty > 0 && rise > 0 {
			m.slope += (math.Min(math.Max(rise/empty, minSlope), maxSlope) - m.slope) / meanWeight
		}
	}
	base := between / (1 + m.slope*running)
	if m.base == 0 {
		m.base = base
	}
	m.base += (base - m.base) / 2
}

// room is how many requests may run within a time between tokens, and at
// least those that double the time of an empty engine: below, a target out of
// reach would cost throughput for nothing.
func (m *stepModel) room(between float64) float64 {
	return math.Max((between/m.base-1)/m.slope, kneeRise/m.slope)
}
