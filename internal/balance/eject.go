package balance

import "time"

// Limits of the ejection of failing endpoints.
const (
	failuresToEject      = 2                      // consecutive failures
	baseEjectionTime     = 700 * time.Millisecond // doubled by each consecutive ejection
	maxEjectionTime      = 5 * time.Second
	busyRetryDelay       = 100 * time.Millisecond // of an endpoint that answered that it is full
	maxEjectionDoublings = 4
)

// ejection is the state of an endpoint's circuit breaker: consecutive failures
// eject it for a time, after which a single request probes it.
type ejection struct {
	failures  int       // consecutive
	ejections int       // consecutive
	until     time.Time // no requests before this time
	ejected   bool
	probing   bool
}

// admits reports whether a request may be sent to the endpoint.
func (j *ejection) admits(now time.Time) bool {
	if !j.ejected {
		return !now.Before(j.until)
	}
	return !j.probing && !now.Before(j.until)
}

// healthy reports whether the endpoint admits requests and has no recent failure.
func (j *ejection) healthy(now time.Time) bool { return !j.ejected && j.failures == 0 && j.admits(now) }

// sent records a request. The first one after the ejection time is the probe.
func (j *ejection) sent(now time.Time) {
	if j.ejected && !now.Before(j.until) {
		j.probing = true
	}
}

func (j *ejection) succeeded() { *j = ejection{} }

func (j *ejection) cancelled() { j.probing = false }

// busy pauses an endpoint that declined a request as full.
func (j *ejection) busy(now time.Time) {
	j.probing = false
	if !j.ejected {
		j.until = now.Add(busyRetryDelay)
	}
}

// failed records a failure. A failed probe, or failuresToEject failures if mayEject,
// ejects the endpoint.
func (j *ejection) failed(now time.Time, mayEject bool) {
	j.failures++
	probe := j.probing
	j.probing = false
	if !probe && (j.failures < failuresToEject || !mayEject) {
		return
	}
	j.eject(now)
}

// unreachable records that no process accepts connections. Unlike another failure, a
// single one ejects the endpoint.
func (j *ejection) unreachable(now time.Time, mayEject bool) {
	j.failures = max(j.failures, failuresToEject-1)
	j.failed(now, mayEject)
}

// eject keeps requests away, for longer with each consecutive ejection.
func (j *ejection) eject(now time.Time) {
	j.ejected = true
	j.until = now.Add(min(baseEjectionTime<<min(j.ejections, maxEjectionDoublings), maxEjectionTime))
	j.ejections++
}
