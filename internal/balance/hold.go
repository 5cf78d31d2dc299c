package balance

import "time"

// MaxHold bounds how long an endpoint may keep requests away with one response, so that a
// faulty endpoint is tried again.
const MaxHold = 2 * time.Minute

// RecordLeaving records that the endpoint of an attempt has announced its departure. The
// incarnation gets no further request, whatever the directory says of it.
func (t *Table) RecordLeaving(a *Attempt) {
	if a == nil || a.endpoint.leaving {
		return
	}
	a.endpoint.leaving = true
	t.assignReserved(a.endpoint.Service)
}

// RecordHold records that the endpoint of an attempt has asked for no requests for a time.
// It replaces the time that an earlier response asked for.
func (t *Table) RecordHold(now time.Time, a *Attempt, hold time.Duration) {
	if a == nil || hold <= 0 {
		return
	}
	a.endpoint.heldUntil = now.Add(hold)
}

// held reports whether the endpoint has asked for no requests at this time.
func (e *endpoint) held(now time.Time) bool { return now.Before(e.heldUntil) }
