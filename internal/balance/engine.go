package balance

import (
	"cmp"
	"slices"
	"time"
)

// engineModel describes how the engines of a service produce streams, as configured and
// as measured.
type engineModel struct {
	tokensPerEvent    int           // 0 if not known
	shortestGapTarget time.Duration // among the routes of the service, 0 if none is a stream
	// residuals are the latest times to the first event beyond those that depend on the
	// load, in a ring.
	residuals    [overheadSamples]time.Duration
	sampleCount  int
	lastOverhead time.Duration
}

const (
	overheadSamples  = 32
	overheadQuantile = 4 // the lowest quarter: engines that were less loaded than assumed
)

// model returns the model of a service's engines.
func (t *Table) model(service string) *engineModel {
	m := t.engineModels[service]
	if m == nil {
		m = &engineModel{}
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
	steps := cmp.Or(m.tokensPerEvent, defaultTokensPerEvent)
	step := baseStepTime + time.Duration(running)*stepTimePerRequest
	return time.Duration(steps)*step + prefillTime(min(tokens, steps*prefillChunkTokens))
}

// longPromptsBreakGaps reports whether a prompt that takes as long to prefill as an event
// puts the shortest gap target of the service at risk, on an endpoint with as many urgent
// streams as it runs at least if it is reserved.
func (m *engineModel) longPromptsBreakGaps(e *endpoint) bool {
	pause := m.eventPause(e.slotsAt(reservedSlotFractionAtRisk), cmp.Or(m.tokensPerEvent, defaultTokensPerEvent)*prefillChunkTokens)
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
