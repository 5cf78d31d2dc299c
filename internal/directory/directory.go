// Package directory is what endpoints say of themselves: soft state that is
// merged by birth and sequence number, so that reports may come late, twice and
// over several hosts. A Directory has no clock or I/O and is not safe for
// concurrent use.
package directory

import "time"

// State is what an endpoint is ready for.
type State uint8

// States, in the order in which an incarnation goes through them. Silent is
// taken back by any newer report.
const (
	Ready State = iota + 1
	Silent
	Draining
	Gone
)

// String names the state.
func (s State) String() string {
	return [...]string{"unknown", "ready", "silent", "draining", "gone"}[min(s, Gone)]
}

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	ID       string
	Service  string
	Address  string // host and port
	Domain   string // failure domain
	Slots    int
	State    State
	Born     int64  // start of the incarnation, Unix milliseconds
	Sequence uint64 // of the report
	ColdTill time.Time
	HeardAt  time.Time
}

// Bounds of the memory of endpoints.
const (
	// SilentAfter is how long an endpoint may miss reports, of which one is due
	// in about a second, before it counts as silent.
	SilentAfter = 5 * time.Second
	// ForgetAfter is how long an endpoint is kept that is gone or silent: longer
	// than any report of it may be on its way.
	ForgetAfter = time.Minute
	// MaxEndpoints bounds the endpoints kept.
	MaxEndpoints = 10000
)

// Directory holds the newest report of each endpoint.
type Directory struct {
	revision uint64
	byID     map[string]*entry
	holders  map[string]string // address to the id that was born last there
}

// entry is an endpoint with the revision of its last change.
type entry struct {
	Endpoint
	changed uint64
}

// New returns an empty directory.
func New() *Directory { return &Directory{byID: map[string]*entry{}, holders: map[string]string{}} }

// Put merges a report. It tells whether anything but the time of the last
// report changed.
func (d *Directory) Put(e Endpoint) (changed bool) {
	old := d.byID[e.ID]
	if old != nil && !newer(&e, &old.Endpoint) {
		return false
	}
	if old == nil && len(d.byID) >= MaxEndpoints {
		return false
	}
	if e.State != Gone && !d.claim(&e) {
		return false
	}
	if old != nil && sameFacts(&e, &old.Endpoint) {
		old.Endpoint = e
		return false
	}
	d.revision++
	d.byID[e.ID] = &entry{Endpoint: e, changed: d.revision}
	return true
}

// newer reports whether a report supersedes one of the same endpoint. An
// incarnation that is gone doesn't come back.
func newer(e, old *Endpoint) bool {
	switch {
	case e.Born != old.Born:
		return e.Born > old.Born
	case old.State == Gone:
		return false
	case e.State == Gone:
		return true
	case e.Sequence != old.Sequence:
		return e.Sequence > old.Sequence
	}
	return e.State > old.State
}

// claim gives an address to the endpoint that was born last there; the one
// before is gone.
func (d *Directory) claim(e *Endpoint) bool {
	holder := d.byID[d.holders[e.Address]]
	if holder != nil && holder.ID != e.ID && holder.Address == e.Address && holder.State != Gone {
		if holder.Born > e.Born {
			return false
		}
		d.revision++
		holder.State, holder.changed = Gone, d.revision
	}
	d.holders[e.Address] = e.ID
	return true
}

// sameFacts reports whether two reports tell the same.
func sameFacts(a, b *Endpoint) bool {
	return a.Born == b.Born && a.State == b.State && a.Service == b.Service && a.Address == b.Address &&
		a.Domain == b.Domain && a.Slots == b.Slots
}

// Leave marks an endpoint as gone, whatever it reports later in this
// incarnation. It tells whether that changed anything.
func (d *Directory) Leave(id string, born int64, now time.Time) bool {
	old := d.byID[id]
	if old == nil {
		return d.Put(Endpoint{ID: id, Born: born, State: Gone, HeardAt: now})
	}
	left := old.Endpoint
	left.State, left.HeardAt = Gone, now
	if born != 0 {
		left.Born = born
	}
	return d.Put(left)
}

// Expire marks what has not reported for SilentAfter as silent and forgets
// what is gone or silent for ForgetAfter. It tells whether anything changed.
func (d *Directory) Expire(now time.Time) (changed bool) {
	for id, e := range d.byID {
		age := now.Sub(e.HeardAt)
		if e.State != Ready && age > ForgetAfter {
			if d.holders[e.Address] == id {
				delete(d.holders, e.Address)
			}
			delete(d.byID, id)
			continue
		}
		if e.State == Ready && age > SilentAfter {
			d.revision++
			e.State, e.changed = Silent, d.revision
			changed = true
		}
	}
	return changed
}

// Since returns the endpoints that changed after a revision, and the present
// revision.
func (d *Directory) Since(revision uint64) ([]Endpoint, uint64) {
	if revision == d.revision {
		return nil, revision
	}
	var changed []Endpoint
	for _, e := range d.byID {
		if e.changed > revision {
			changed = append(changed, e.Endpoint)
		}
	}
	return changed, d.revision
}

// Get returns an endpoint.
func (d *Directory) Get(id string) (Endpoint, bool) {
	e := d.byID[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Len is the number of endpoints held.
func (d *Directory) Len() int { return len(d.byID) }
