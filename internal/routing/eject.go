package routing

import "time"

// fail counts a failure and ejects the endpoint if it is one too many and
// its group keeps enough others.
func (t *Table) fail(now time.Time, e *endpoint) {
	e.failures++
	wasProbe := e.probing
	e.probing = false
	if e.failures < t.config.FailuresToEject && !wasProbe {
		return
	}
	if !e.ejected {
		if e.group == nil || (e.group.ejected+1)*100 > e.group.members*t.config.MaxEjectedPercent {
			return
		}
		e.group.ejected++
		e.ejected = true
	}
	period := t.config.EjectFor << min(e.ejections, maxDoublings)
	e.ejections++
	e.ejectedUntil = now.Add(min(period, t.config.MaxEjectFor))
}

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 16

// restore forgets the failures of an endpoint that answered.
func (t *Table) restore(e *endpoint) {
	if e.ejected && e.group != nil {
		e.group.ejected--
	}
	e.ejected = false
	e.failures = 0
	e.ejections = 0
	e.probing = false
	e.ejectedUntil = time.Time{}
}
