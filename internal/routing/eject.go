package routing

import "time"

// recordFailure counts a failure. It ejects the endpoint after too many in a row,
// or after a failed probe, unless that would exceed the group's MaxEjectedPercent.
func (t *Table) recordFailure(now time.Time, e *endpoint) {
	e.consecutiveFailures++
	wasProbe := e.probeInFlight
	e.probeInFlight = false
	if e.consecutiveFailures < t.config.ConsecutiveFailuresToEject && !wasProbe {
		return
	}
	if !e.ejected {
		if e.group == nil || (e.group.ejectedCount+1)*100 > e.group.memberCount*t.config.MaxEjectedPercent {
			return
		}
		e.group.ejectedCount++
		e.ejected = true
	}
	period := t.config.BaseEjectionTime << min(e.consecutiveEjections, maxBackoffDoublings)
	e.consecutiveEjections++
	e.ejectedUntil = now.Add(min(period, t.config.MaxEjectionTime))
}

// maxBackoffDoublings keeps the shift of BaseEjectionTime from overflowing.
const maxBackoffDoublings = 16

// clearFailures ends the ejection of an endpoint that answered and resets its
// failure counts.
func (t *Table) clearFailures(e *endpoint) {
	if e.ejected && e.group != nil {
		e.group.ejectedCount--
	}
	e.ejected = false
	e.consecutiveFailures = 0
	e.consecutiveEjections = 0
	e.probeInFlight = false
	e.ejectedUntil = time.Time{}
}
