package balance

import (
	"math"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// Limits of a wait factor.
const (
	waitFactorWeight    = 0.12 // of one measurement
	maxWaitRatio        = 3.0  // by which one measurement may differ from its estimate, up or down
	maxWaitFactor       = 10.0
	waitFactorDecayTime = 4 * time.Second // time constant: about two thirds of what was learned are gone after it
)

// waitFactor is how much longer than estimated the endpoints of a service take to
// the first event, because load put on them by other entries is known late or not
// at all. It scales the expected wait but not the cost, so that it affects
// admission and not which endpoint is chosen.
type waitFactor struct {
	value     float64
	updatedAt time.Time
}

// currentWaitFactor returns the wait factor of a service, which decays towards 1.
func (t *Table) currentWaitFactor(now time.Time, service string) float64 {
	known := t.waitFactors[service]
	if known == nil || t.config.Off.Has(mechanism.WaitFactor) {
		return 1
	}
	return 1 + (known.value-1)*decay(now.Sub(known.updatedAt), waitFactorDecayTime)
}

// updateWaitFactor compares the time that an attempt took with its estimate, which
// includes the wait factor at the time.
func (t *Table) updateWaitFactor(now time.Time, e *endpoint, took, expected time.Duration) {
	ratio := float64(max(took, minLearnedWait)) / float64(max(expected, minLearnedWait))
	ratio = min(max(ratio, 1/maxWaitRatio), maxWaitRatio)
	factor := t.currentWaitFactor(now, e.Service) * math.Pow(ratio, waitFactorWeight)
	t.waitFactors[e.Service] = &waitFactor{value: min(max(factor, 1), maxWaitFactor), updatedAt: now}
}
