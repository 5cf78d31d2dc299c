package balance

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// Admission control: under overload the least urgent prompts are declined. A
// request that misses its target delays others that could still meet theirs, and a
// caller that is declined at once can retry when there is capacity.
const (
	// leastUrgentWaitFraction is the fraction of its target that a request of the
	// least urgent rank may wait for its prefill to start. Each more urgent rank may
	// wait waitFactorPerRank times as long.
	leastUrgentWaitFraction = 0.6
	waitFactorPerRank       = 5.0
	// outsideShareWaitFactor times the wait of other requests of its class is allowed to a
	// request outside the share of its workspace, which is thus refused before them.
	outsideShareWaitFactor = 0.6
)

// recordLeastUrgentRank updates the least urgent rank that a prompt of the service has had.
func (t *Table) recordLeastUrgentRank(r *Request) {
	if r.PromptTokens > 0 && r.RouteRank > t.leastUrgentRanks[r.Service] {
		t.leastUrgentRanks[r.Service] = r.RouteRank
	}
}

// exceedsAdmissionWait reports whether the prefill of a request would start too
// late at the chosen endpoint. The request's own prefill time and overhead do not count, so
// that long prompts are not declined for their length.
func (t *Table) exceedsAdmissionWait(r *Request, c Choice) bool {
	leastUrgent := t.leastUrgentRanks[r.Service]
	if t.config.Off.Has(mechanism.AdmissionByWait) || r.PromptTokens == 0 || r.LatencyTarget <= 0 || leastUrgent == 0 || r.RouteRank == 0 {
		return false
	}
	fraction := leastUrgentWaitFraction
	for rank := r.RouteRank; rank < leastUrgent; rank++ {
		fraction *= waitFactorPerRank
	}
	switch {
	case r.OutsideShare:
		fraction *= outsideShareWaitFactor
	case r.Waited && !t.config.Off.Has(mechanism.ReturnsFirst):
		fraction *= 1 + r.Allowance*(waitFactorPerRank-1)
	}
	return float64(c.QueueWait()) > fraction*float64(r.LatencyTarget)
}

// isDeferrable reports whether a request whose prefill would start too late now is begun once it has
// waited its turn, though its prefill starts no sooner then.
func (t *Table) isDeferrable(r *Request, c Choice) bool {
	waited := *r
	waited.Waited = true
	return !t.exceedsAdmissionWait(&waited, c)
}

// maxPromptCacheFraction is the fraction of an engine's cache that the prompts in
// flight may fill. Above it they evict cached prompt parts, every prompt is
// prefilled in full again, and the engines spend their time on repeated work.
const maxPromptCacheFraction = 0.8

// exceedsCacheLimit reports whether a prompt would evict cached parts at an
// endpoint. Urgent streams have small prompts and are always admitted.
func (t *Table) exceedsCacheLimit(e *endpoint, r *Request) bool {
	capacity := t.cacheCapacityTokens[r.Service]
	inFlight := e.promptTokens + e.peerLoad.PromptTokens
	return !t.config.Off.Has(mechanism.CacheLimit) && capacity > 0 && r.PromptTokens > 0 && r.urgentCount() == 0 && inFlight > 0 && float64(inFlight+r.PromptTokens) > maxPromptCacheFraction*float64(capacity)
}

// QueueWait returns the part of the expected wait that the request spends behind others.
func (c Choice) QueueWait() time.Duration {
	return max(c.ExpectedWait-c.Overhead-c.PrefillTime, 0)
}
