package balance

import (
	"math"
	"time"
)

// Bounds of a pace.
const (
	paceWeight = 0.12 // of one measurement
	paceStep   = 3.0  // most by which one measurement may differ
	maxPace    = 10.0
	paceTime   = 4 * time.Second // in which two thirds of what was learned are forgotten
)

// pace is how much longer than expected the endpoints of a service take: what
// other entries send there is known late or not at all. It tells when a request
// will begin, not where it begins first.
type pace struct {
	factor float64
	at     time.Time
}

// paceNow is the present pace of a service.
func (t *Table) paceNow(now time.Time, service string) float64 {
	known := t.paces[service]
	if known == nil {
		return 1
	}
	return 1 + (known.factor-1)*decay(now.Sub(known.at), paceTime)
}

// learnPace takes the time that an attempt took against its estimate, which
// includes the pace of then.
func (t *Table) learnPace(now time.Time, e *endpoint, took, expected time.Duration) {
	ratio := float64(max(took, minExpected)) / float64(max(expected, minExpected))
	ratio = min(max(ratio, 1/paceStep), paceStep)
	factor := t.paceNow(now, e.Service) * math.Pow(ratio, paceWeight)
	t.paces[e.Service] = &pace{factor: min(max(factor, 1), maxPace), at: now}
}
