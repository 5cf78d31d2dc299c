package balance

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

const (
	// pauseRateDecayTime is the time constant with which gaps between events are forgotten: a lossy
	// link or a slow host is soon sound again.
	pauseRateDecayTime = 3 * time.Second
	// pauseRatePrior is how many gaps at the rate of the service an endpoint or failure domain is
	// credited with.
	pauseRatePrior = 50.0
)

// pauseRate is the fraction of the gaps between events of urgent streams that missed the gap
// target, of which older ones count less.
type pauseRate struct {
	gaps, missed float64
	updatedAt    time.Time
}

func (r *pauseRate) add(now time.Time, missed bool) {
	left := decay(now.Sub(r.updatedAt), pauseRateDecayTime)
	r.gaps, r.missed, r.updatedAt = r.gaps*left+1, r.missed*left, now
	if missed {
		r.missed++
	}
}

// at returns the rate at a time, 0 without gaps.
func (r *pauseRate) at(now time.Time) float64 { return r.atWithPrior(now, 0, 0) }

// atWithPrior returns the rate at a time with a number of further gaps at another rate.
func (r *pauseRate) atWithPrior(now time.Time, prior, rate float64) float64 {
	left := decay(now.Sub(r.updatedAt), pauseRateDecayTime)
	gaps := r.gaps*left + prior
	if gaps == 0 {
		return 0
	}
	return (r.missed*left + prior*rate) / gaps
}

// pathKey is the way of a service's streams from the endpoints of a failure domain to this entry.
type pathKey struct {
	service, failureDomain string
}

// recordPause records a gap between two events of an urgent stream, at its endpoint, its path and
// its service.
func (t *Table) recordPause(now time.Time, a *Attempt, gap time.Duration) {
	if !a.request.urgent {
		return
	}
	missed := gap > a.request.GapTarget
	a.endpoint.pauses.add(now, missed)
	t.model(a.endpoint.Service).pauses.add(now, missed)
	key := pathKey{a.endpoint.Service, a.endpoint.FailureDomain}
	if t.pathPauses[key] == nil {
		t.pathPauses[key] = &pauseRate{}
	}
	t.pathPauses[key].add(now, missed)
}

// pauseCost returns the cost of the pauses that an urgent stream is expected to meet beyond those of
// the service, at the endpoint and on its path. A stream that misses its gap target is as bad as one
// whose first event comes at its latency target.
func (t *Table) pauseCost(e *endpoint, in *choiceInputs) time.Duration {
	r := in.request
	if !r.urgent || t.config.Off.Has(mechanism.PauseRate) {
		return 0
	}
	usual := in.model.pauses.at(in.now)
	excess := max(e.pauses.atWithPrior(in.now, pauseRatePrior, usual)-usual, 0)
	if path := t.pathPauses[pathKey{e.Service, e.FailureDomain}]; path != nil {
		excess += max(path.atWithPrior(in.now, pauseRatePrior, usual)-usual, 0)
	}
	gaps := float64(r.ExpectedOutputTokens) / float64(in.model.stepsPerEvent())
	return time.Duration(min(gaps*excess, 1) * float64(r.LatencyTarget))
}
