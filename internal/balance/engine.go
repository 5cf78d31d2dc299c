package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// engineModel describes how the engines of a service produce streams, as configured and
// as measured.
type engineModel struct {
	tokensPerEvent    int           // 0 if not known
	shortestGapTarget time.Duration // among the routes of the service, 0 if none is a stream
	shortestGapSeen   time.Duration // among the requests, for while the routes are not known
	// residuals are the latest times to the first event beyond those that depend on the
	// load, in a ring.
	residuals    [overheadSamples]time.Duration
	sampleCount  int
	lastOverhead time.Duration
	speed        engineSpeed
	pauses       pauseRate // of urgent streams
	// urgentPromptRatio is the mean number of prompt tokens to be prefilled for each output
	// token of an urgent stream, 0 if not known.
	urgentPromptRatio float64
	// endpointsToPrefill is how many endpoints of each failure domain the long prompts need.
	endpointsToPrefill float64
}

// urgentPromptRatioWeight is the weight of one stream in urgentPromptRatio.
const urgentPromptRatioWeight = 0.05

// recordUrgentStream records how long the prompt and the answer of an urgent stream are.
func (m *engineModel) recordUrgentStream(prefillTokens, outputTokens int) {
	if outputTokens <= 0 {
		return
	}
	ratio := float64(prefillTokens) / float64(outputTokens)
	if m.urgentPromptRatio == 0 {
		m.urgentPromptRatio = ratio
	}
	m.urgentPromptRatio += urgentPromptRatioWeight * (ratio - m.urgentPromptRatio)
}

const (
	overheadSamples  = 32
	overheadQuantile = 4 // the lowest quarter: engines that were less loaded than assumed
)

// model returns the model of a service's engines.
func (t *Table) model(service string) *engineModel {
	m := t.engineModels[service]
	if m == nil {
		m = &engineModel{speed: newEngineSpeed()}
		t.engineModels[service] = m
	}
	return m
}

// recordOverhead records by how much a time to the first event exceeded what was expected
// of the load.
func (m *engineModel) recordOverhead(residual time.Duration) {
	m.residuals[m.sampleCount%overheadSamples] = max(residual, 0)
	m.sampleCount++
	known := m.residuals
	sorted := known[:min(m.sampleCount, overheadSamples)]
	slices.Sort(sorted)
	m.lastOverhead = sorted[len(sorted)/overheadQuantile]
}

// overhead returns the time to the first event that does not depend on the load: the
// fixed costs of the engine and of the network.
func (m *engineModel) overhead() time.Duration { return m.lastOverhead }

// SetTokensPerEvent sets how many tokens an engine of a service puts into an event of a
// stream, 0 if that is not known.
func (t *Table) SetTokensPerEvent(service string, tokens int) {
	t.model(service).tokensPerEvent = tokens
}

// SetShortestGapTarget sets the shortest gap target among the routes of a service, 0 if
// none is a stream.
func (t *Table) SetShortestGapTarget(service string, target time.Duration) {
	t.model(service).shortestGapTarget = target
}

const (
	// defaultTokensPerEvent applies where the number is not known.
	defaultTokensPerEvent = 6
	// missedGapCost is the cost of an urgent stream that misses its gap target. A pause up to
	// riskyGapFraction of the target is not at risk.
	missedGapCost    = 300 * time.Millisecond
	riskyGapFraction = 0.8
)

// eventPause returns the time between two events of a stream while an engine with
// running requests prefills tokens: one chunk is prefilled between two steps.
func (m *engineModel) eventPause(running, tokens int) time.Duration {
	steps := m.stepsPerEvent()
	return time.Duration(steps)*m.speed.step(running) + m.speed.prefillTime(min(tokens, steps*prefillChunkTokens))
}

// Limits of the pause of an urgent stream, as fractions of its gap target, between which a
// prompt at its engine begins to matter and matters in full. A pause may be several times
// the estimate on a slowed host, or with more prompts than this entry knows of.
const (
	harmlessGapFraction = 0.1
	harmfulGapFraction  = 0.25
)

// pauseWeight returns how much the pause that a prompt makes matters to the urgent streams of
// an engine: 0 for one that is harmless to 1. The costs of a prompt are those at the start
// values of the speed, where it counts in full.
func (m *engineModel) pauseWeight(d demand, prefillTokens int) float64 {
	if m.shortestGapTarget <= 0 || !m.speed.differs {
		return 1
	}
	steps := m.stepsPerEvent()
	pause := time.Duration(steps)*m.speed.step(d.running) + m.speed.prefillTime(min(d.prefillTokens+prefillTokens, steps*largestChunkTokens))
	weight := (float64(pause)/float64(m.shortestGapTarget) - harmlessGapFraction) / (harmfulGapFraction - harmlessGapFraction)
	return min(max(weight, 0), 1)
}

// longPromptsBreakGaps reports whether a prompt that takes as long to prefill as an event
// puts the shortest gap target of the service at risk, on an endpoint with as many urgent
// streams as it runs at least if it is reserved.
func (m *engineModel) longPromptsBreakGaps(e *endpoint) bool {
	pause := m.eventPause(e.slotsAt(reservedSlotFractionAtRisk), m.stepsPerEvent()*prefillChunkTokens)
	return m.shortestGapTarget > 0 && float64(pause) > riskyGapFraction*float64(m.shortestGapTarget)
}

// missedGapCost returns the expected cost for one urgent stream of an engine if a prompt
// is prefilled there.
func (m *engineModel) missedGapCost(d demand, prefillTokens int) time.Duration {
	if m.shortestGapTarget <= 0 {
		return 0
	}
	pause := m.eventPause(d.running, d.prefillTokens+prefillTokens)
	risk := (float64(pause)/float64(m.shortestGapTarget) - riskyGapFraction) / (1 - riskyGapFraction)
	return time.Duration(min(max(risk, 0), 1) * float64(missedGapCost))
}

// largestChunkTokens is the most prompt tokens that an engine is assumed to prefill
// between two steps.
const largestChunkTokens = 4096

// longestPause returns the longest time between two events of a stream on a full engine
// that prefills the largest chunk between any two steps.
func (m *engineModel) longestPause(endpoints []*endpoint) time.Duration {
	slots := 0
	for _, e := range endpoints {
		slots = max(slots, e.Slots)
	}
	step := m.speed.step(cmp.Or(slots, defaultSlots)) + m.speed.prefillTime(largestChunkTokens)
	return time.Duration(m.stepsPerEvent()) * step
}

// stepsPerEvent returns how many steps an engine takes for an event of a stream.
func (m *engineModel) stepsPerEvent() int { return cmp.Or(m.tokensPerEvent, defaultTokensPerEvent) }

// learnPrefill learns the prefill rate from the time to the first event of a prompt, if
// little else was to be prefilled at the endpoint.
func (t *Table) learnPrefill(a *Attempt, took time.Duration) {
	if t.config.Off.Has(mechanism.LearnedSpeed) || a.copiedTokens > 0 || a.load.waiting > 1 || float64(a.load.prefillTokens) > maxPendingShare*float64(a.prefillTokens) {
		return
	}
	if a.crossDomain {
		took -= t.config.CrossDomainRoundTrip
	}
	t.model(a.endpoint.Service).speed.recordPrefill(a.load.prefillTokens+a.prefillTokens, a.load.running, took)
}

// RecordEvent records an event of a stream, from whose pauses the time of a step is
// learned. The first event of an attempt has no pause before it.
func (t *Table) RecordEvent(now time.Time, a *Attempt) {
	if a == nil || a.ended || a.request.GapTarget <= 0 {
		return
	}
	e, previous := a.endpoint, a.lastEventAt
	a.lastEventAt = now
	if previous.IsZero() {
		return
	}
	t.recordPause(now, a, now.Sub(previous))
	if now.Sub(e.gapSampledAt) < gapSampleInterval {
		return
	}
	e.gapSampledAt = now
	m := t.model(e.Service)
	m.speed.recordStep(e.running+e.peerLoad.Running, now.Sub(previous)/time.Duration(m.stepsPerEvent()))
}
