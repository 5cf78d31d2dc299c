// Package directory holds the newest state that each endpoint reports. Reports
// are ordered by the start time of the endpoint's incarnation and their sequence
// number, so they may arrive late, repeatedly and through several hosts.
package directory

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// State is the lifecycle state of an endpoint.
type State uint8

// States, in the order in which an incarnation passes through them. Silent means
// that reports have stopped; a newer report ends it.
const (
	Ready State = iota + 1
	Silent
	Draining
	Gone
)

// String returns the lower-case name of the state.
func (s State) String() string {
	return [...]string{"unknown", "ready", "silent", "draining", "gone"}[min(s, Gone)]
}

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	ID            string
	Service       string
	Address       string // host:port
	FailureDomain string
	Version       string // of its software, "" if not known
	Slots         int
	State         State
	// Displaced says of an endpoint that is Gone that it has not departed: another one has reported its address. Its own
	// next report ends that if the other one does not outrank it.
	Displaced     bool
	StartedUnixMS int64     // start of the incarnation, in Unix milliseconds
	Sequence      uint64    // sequence number of the report
	WarmupEndsAt  time.Time // until then responses are slow because of the recent start
	LastReportAt  time.Time // time of the newest report or of departure
}

// IncarnationKey returns a hash of the ID and the start of the incarnation, which is short in
// messages between hosts.
func (e *Endpoint) IncarnationKey() uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(e.ID), uint64(e.StartedUnixMS)))
	return h.Sum64()
}

const (
	// SilenceTimeout is the time since the newest report after which a ready
	// endpoint becomes Silent. Reports are due about once a second.
	SilenceTimeout = 5 * time.Second
	// RemovalTimeout is the time since the newest report or departure after which an
	// endpoint that is not ready is removed. It exceeds the longest delay of a report,
	// so that a late report can't restore a removed endpoint.
	RemovalTimeout = time.Minute
	// MaxEndpoints is the capacity of a Directory. For further endpoints it drops those
	// that departed or fell silent first, and takes none while all others are in use.
	MaxEndpoints = 10000
	// dropDivisor is the part of the endpoints that may be dropped which is dropped at once,
	// since the search looks at all endpoints.
	dropDivisor = 16
	// maxDropped limits the dropped endpoints that TakeDropped returns.
	maxDropped = 2048
)

// Directory holds the newest report of each endpoint. It has no clock or I/O and
// is not safe for concurrent use.
type Directory struct {
	revision      uint64
	byID          map[string]*record
	addressOwners map[string]string // endpoint ID by address
	dropped       []Endpoint        // for TakeDropped, oldest first
	services      map[string]bool   // of the configuration, nil if that is not known
}

// record is an endpoint and the directory revision of its last change.
type record struct {
	Endpoint
	changedRevision uint64
	firstReportAt   time.Time // time of the first report of the incarnation that was merged
	// departedStart is the start of the newest earlier incarnation that has departed, 0 if none is known, and departedAt
	// the time of its departure.
	departedStart int64
	departedAt    time.Time
	// contradiction is the newest report that the record contradicts, see MergeDirectReport.
	contradiction Endpoint
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{byID: map[string]*record{}, addressOwners: map[string]string{}}
}

// SetServices sets the services of the configuration. A report of an unknown service may come from a writer that is no
// endpoint, or from the first endpoint of a service that this host does not know yet. It is merged, but takes
// neither ID nor address of an endpoint of a known service that has not departed.
func (d *Directory) SetServices(services map[string]bool) { d.services = services }

// isKnown reports whether an endpoint's service is one of the configuration.
func (d *Directory) isKnown(e *Endpoint) bool { return d.services == nil || d.services[e.Service] }

// MergeDirectReport merges a report that an endpoint has sent to this host itself. An incarnation keeps its service and
// address, so a report that names others is of another writer, or the record is: the report is merged only if it is the second one in a
// row, with none between that agrees with the record.
func (d *Directory) MergeDirectReport(e Endpoint) (changed bool) {
	old := d.byID[e.ID]
	if old == nil || !e.contradicts(&old.Endpoint) || old.HasDeparted() || d.isKnown(&e) != d.isKnown(&old.Endpoint) {
		return d.MergeReport(e)
	}
	former := old.contradiction
	isRepeated := e.Sequence > former.Sequence && e.Service == former.Service && e.Address == former.Address && old.LastReportAt.Before(former.LastReportAt)
	if !isRepeated {
		old.contradiction = e
		return false
	}
	return d.MergeReport(e)
}

// contradicts reports whether two reports of one incarnation, whose start is known, name another service or address.
func (e *Endpoint) contradicts(other *Endpoint) bool {
	return e.State != Gone && e.StartedUnixMS != 0 && e.StartedUnixMS == other.StartedUnixMS && (e.Service != other.Service || e.Address != other.Address)
}

// MergeReport merges a report, unless it is outdated. It returns whether anything changed
// besides the sequence number and times.
func (d *Directory) MergeReport(e Endpoint) (changed bool) {
	old := d.byID[e.ID]
	if old != nil {
		e = resolveDeparture(e, old)
		changed = d.shareVersion(&e, old)
	}
	if old != nil && !d.supersedes(&e, old) {
		return changed
	}
	if old == nil && !d.makeRoom(&e) {
		return false
	}
	if e.State != Gone && !d.claimAddress(&e) {
		return false
	}
	if old != nil && equalAttributes(&e, &old.Endpoint) && !e.isDepartureOfUnknown() {
		old.Endpoint = e
		return changed
	}
	if old != nil && old.Address != e.Address {
		d.releaseAddress(&old.Endpoint)
	}
	d.revision++
	merged := &record{Endpoint: e, changedRevision: d.revision, firstReportAt: e.LastReportAt}
	if old != nil && old.StartedUnixMS == e.StartedUnixMS {
		merged.firstReportAt = old.firstReportAt
	}
	if old != nil {
		merged.departedStart, merged.departedAt = old.departedStart, old.departedAt
		if old.HasDeparted() && old.StartedUnixMS != e.StartedUnixMS {
			merged.departedStart, merged.departedAt = old.StartedUnixMS, old.LastReportAt
		}
	}
	d.byID[e.ID] = merged
	return true
}

// shareVersion sets the version of the one of two reports of an incarnation that has none: a
// departure, or a report through a host that does not know versions. It reports whether the
// record changed.
func (d *Directory) shareVersion(e *Endpoint, old *record) (changed bool) {
	switch {
	case e.StartedUnixMS != old.StartedUnixMS || e.Version == old.Version:
		return false
	case e.Version == "":
		e.Version = old.Version
		return false
	case old.Version != "":
		return false
	}
	d.revision++
	old.Version, old.changedRevision = e.Version, d.revision
	return true
}

// resolveDeparture returns e with the incarnation that a departure without a start time
// is about. A host that does not know an endpoint reports its departure so. The departure
// is about an incarnation that reported before it, and not about one that began later.
// The comparison uses the times at which reports arrived, not the endpoint's clock.
func resolveDeparture(e Endpoint, old *record) Endpoint {
	switch {
	case e.isDepartureOfUnknown() && !old.isDepartureOfUnknown() && old.firstReportAt.Before(e.LastReportAt):
		departed := old.Endpoint
		departed.State, departed.Displaced, departed.LastReportAt = Gone, false, e.LastReportAt
		return departed
	case old.isDepartureOfUnknown() && !e.isDepartureOfUnknown() && e.LastReportAt.Before(old.LastReportAt):
		e.State, e.LastReportAt = Gone, old.LastReportAt
	}
	return e
}

// isDepartureOfUnknown reports whether e only says that the endpoint with this ID has left.
func (e *Endpoint) isDepartureOfUnknown() bool { return e.State == Gone && e.StartedUnixMS == 0 }

// HasDeparted reports whether e drains or is gone by its own report.
func (e *Endpoint) HasDeparted() bool { return e.State >= Draining && !e.Displaced }

// supersedes reports whether e replaces the record of the same endpoint. An incarnation that has departed stays so. Otherwise
// an endpoint of a known service is not replaced by one of an unknown service. Of reports of the same incarnation that
// contradict each other the later one counts: sequence numbers of another writer say nothing.
func (d *Directory) supersedes(e *Endpoint, old *record) bool {
	isSameStart := e.StartedUnixMS == old.StartedUnixMS
	isReport := e.State != Gone
	isOtherWriters := old.Service != "" && !d.isKnown(&old.Endpoint)
	switch {
	case isReport && e.StartedUnixMS != 0 && e.StartedUnixMS <= old.departedStart && e.LastReportAt.Sub(old.departedAt) <= RemovalTimeout:
		return false
	case isReport && isOtherWriters && d.isKnown(e):
		return true
	case old.HasDeparted():
		return supersedes(e, &old.Endpoint)
	case isReport && !isOtherWriters && !d.isKnown(e):
		return false
	case old.Displaced && isSameStart:
		return e.State >= Draining || e.Sequence > old.Sequence
	case e.State == Ready && e.contradicts(&old.Endpoint):
		return e.LastReportAt.After(old.LastReportAt)
	case isSameStart && e.State == Ready && old.State == Silent && e.LastReportAt.After(old.LastReportAt):
		return true // a sign of life, though a report had a higher sequence number
	}
	return supersedes(e, &old.Endpoint)
}

// supersedes reports whether e replaces an older report of the same endpoint. An
// incarnation never returns from Draining or Gone, whatever the sequence numbers: the
// departure has been acknowledged.
func supersedes(e, old *Endpoint) bool {
	switch {
	case (e.StartedUnixMS != old.StartedUnixMS || hasDepartedWithoutStart(old)) && isRemovedBefore(old, e):
		return true
	case e.StartedUnixMS != old.StartedUnixMS && isRemovedBefore(e, old):
		return false
	case e.StartedUnixMS != old.StartedUnixMS:
		return e.StartedUnixMS > old.StartedUnixMS
	case max(e.State, old.State) >= Draining && e.State != old.State:
		return e.State > old.State
	case e.isDepartureOfUnknown() && old.isDepartureOfUnknown():
		return e.LastReportAt.After(old.LastReportAt) // may be about a later incarnation
	case old.State == Gone:
		return false
	case e.Sequence != old.Sequence:
		return e.Sequence > old.Sequence
	}
	return e.State > old.State
}

// isRemovedBefore reports whether RemovalTimeout had passed for one endpoint when the other one reported.
// Its ID and address are then free for an incarnation of any start, also in a directory that is never
// expired: the clock of its host may have been ahead.
func isRemovedBefore(removed, e *Endpoint) bool {
	return removed.State != Ready && e.LastReportAt.Sub(removed.LastReportAt) > RemovalTimeout
}

// hasDepartedWithoutStart reports whether e is draining or gone and its start is not known, so that a later
// incarnation can't be recognized by its start.
func hasDepartedWithoutStart(e *Endpoint) bool { return e.State >= Draining && e.StartedUnixMS == 0 }

// isOutrankedBy reports whether an incarnation that started later keeps its ID and address from e.
func (e *Endpoint) isOutrankedBy(other *Endpoint) bool {
	return other.StartedUnixMS > e.StartedUnixMS && !isRemovedBefore(other, e)
}

// claimAddress assigns the address to e and marks its previous owner as displaced. It
// returns false if the owner keeps the address.
func (d *Directory) claimAddress(e *Endpoint) bool {
	owner := d.ownerOf(e.Address)
	if owner != nil && owner.ID != e.ID && owner.State != Gone {
		if d.keepsAddress(owner, e) {
			return false
		}
		d.revision++
		owner.Displaced = owner.State < Draining
		owner.State, owner.changedRevision = Gone, d.revision
	}
	d.addressOwners[e.Address] = e.ID
	return true
}

// keepsAddress reports whether the owner of an address keeps it from another endpoint that reports it: one that started
// later, unless it is due to be removed, one of a known service from one of an unknown service, and one that reports from one of
// the same start.
func (d *Directory) keepsAddress(owner *record, e *Endpoint) bool {
	switch isOwnerKnown := d.isKnown(&owner.Endpoint); {
	case !isOwnerKnown && d.isKnown(e):
		return false
	case isOwnerKnown && !d.isKnown(e) && !owner.HasDeparted():
		return true
	}
	isSameStart := owner.StartedUnixMS == e.StartedUnixMS && e.StartedUnixMS != 0
	return e.isOutrankedBy(&owner.Endpoint) || isSameStart && owner.State == Ready
}

// makeRoom drops some endpoints if the directory is full, for one that reports: those of unknown services first, so that no
// number of them costs a departure of another one. It returns whether there is room.
func (d *Directory) makeRoom(e *Endpoint) bool {
	if len(d.byID) < MaxEndpoints {
		return true
	}
	isUnknown := func(r *record) bool { return r.Service != "" && !d.isKnown(&r.Endpoint) }
	candidates := d.selected(isUnknown)
	if len(candidates) == 0 && e.Service != "" && !d.isKnown(e) {
		return false
	}
	for _, isCandidate := range []func(*record) bool{
		func(r *record) bool { return r.State == Gone && r.Service == "" },
		func(r *record) bool { return r.State == Gone },
		func(r *record) bool { return r.State == Silent },
		func(r *record) bool { return r.State == Draining && isRemovedBefore(&r.Endpoint, e) },
	} {
		if len(candidates) == 0 {
			candidates = d.selected(isCandidate)
		}
	}
	slices.SortFunc(candidates, func(a, b *record) int {
		return cmp.Or(a.LastReportAt.Compare(b.LastReportAt), strings.Compare(a.ID, b.ID))
	})
	for _, r := range candidates[:(len(candidates)+dropDivisor-1)/dropDivisor] {
		d.drop(r)
	}
	return len(d.byID) < MaxEndpoints
}

// selected returns the endpoints that a function selects in any order.
func (d *Directory) selected(isSelected func(*record) bool) (found []*record) {
	for _, r := range d.byID {
		if isSelected(r) {
			found = append(found, r)
		}
	}
	return found
}

// drop removes an endpoint before its time.
func (d *Directory) drop(e *record) {
	d.releaseAddress(&e.Endpoint)
	delete(d.byID, e.ID)
	d.dropped = append(d.dropped, e.Endpoint)
	d.dropped = d.dropped[max(len(d.dropped)-maxDropped, 0):]
}

// TakeDropped returns the endpoints that were dropped for lack of room since the last call and have
// not reported again, as departed. Other hosts must not learn of it: they may know newer reports.
func (d *Directory) TakeDropped() (dropped []Endpoint) {
	for _, e := range d.dropped {
		if d.byID[e.ID] == nil {
			e.State = Gone
			dropped = append(dropped, e)
		}
	}
	d.dropped = nil
	return dropped
}

// releaseAddress forgets that e is the owner of its address.
func (d *Directory) releaseAddress(e *Endpoint) {
	if d.addressOwners[e.Address] == e.ID {
		delete(d.addressOwners, e.Address)
	}
}

// equalAttributes reports whether two reports differ at most in their sequence
// number and times.
func equalAttributes(a, b *Endpoint) bool {
	return a.StartedUnixMS == b.StartedUnixMS && a.State == b.State && a.Displaced == b.Displaced && a.Service == b.Service && a.Address == b.Address &&
		a.FailureDomain == b.FailureDomain && a.Slots == b.Slots && a.Version == b.Version
}

// MarkGone marks an incarnation of an endpoint as gone, so that its later reports
// are ignored. A start time of 0 selects the known incarnation. It reports
// whether the directory changed.
func (d *Directory) MarkGone(id string, startedUnixMS int64, now time.Time) bool {
	old := d.byID[id]
	if old == nil {
		return d.MergeReport(Endpoint{ID: id, StartedUnixMS: startedUnixMS, State: Gone, LastReportAt: now})
	}
	departed := old.Endpoint
	departed.State, departed.Displaced, departed.LastReportAt = Gone, false, now
	if startedUnixMS != 0 {
		departed.StartedUnixMS = startedUnixMS
	}
	return d.MergeReport(departed)
}

// Holds reports whether merging a report would add nothing: the directory holds it or a
// newer one. It does not hold that an endpoint drains whose start the report lacks and the
// directory knows: the report counts as one of an older incarnation.
func (d *Directory) Holds(e Endpoint) bool {
	old := d.byID[e.ID]
	if old == nil {
		owner := d.ownerOf(e.Address)
		return e.State != Gone && owner != nil && owner.State != Gone && d.keepsAddress(owner, &e)
	}
	if e.State == Draining && e.StartedUnixMS == 0 && old.StartedUnixMS != 0 {
		return old.State >= Draining
	}
	e = resolveDeparture(e, old)
	return !d.supersedes(&e, old)
}

// IsOutranked reports whether another incarnation, or a departure without a start, keeps its ID or its address from e.
func (d *Directory) IsOutranked(e Endpoint) bool {
	if old := d.byID[e.ID]; old != nil {
		departed := old.StartedUnixMS == e.StartedUnixMS && e.State < Draining && hasDepartedWithoutStart(&old.Endpoint)
		isOtherWriters := !old.HasDeparted() && d.isKnown(&old.Endpoint) && !d.isKnown(&e)
		if departed || isOtherWriters || e.isOutrankedBy(&old.Endpoint) {
			return true
		}
	}
	owner := d.ownerOf(e.Address)
	return owner != nil && owner.ID != e.ID && owner.State != Gone && d.keepsAddress(owner, &e)
}

// ownerOf returns the endpoint that has an address, nil if there is none.
func (d *Directory) ownerOf(address string) *record {
	if owner := d.byID[d.addressOwners[address]]; owner != nil && owner.Address == address {
		return owner
	}
	return nil
}

// Departures returns the endpoints that have departed. Those that are due to be removed
// are left out.
func (d *Directory) Departures(now time.Time) []Endpoint {
	var departures []Endpoint
	for _, e := range d.byID {
		if e.HasDeparted() && now.Sub(e.LastReportAt) < RemovalTimeout {
			departures = append(departures, e.Endpoint)
		}
	}
	return departures
}

// DepartureDigest returns a hash of the incarnations and states of Departures. It does not
// depend on their order, nor on the clock of the host beyond RemovalTimeout.
func (d *Directory) DepartureDigest(now time.Time) uint64 {
	var digest uint64
	for _, e := range d.Departures(now) {
		h := fnv.New64a()
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{byte(e.State)}, e.IncarnationKey()))
		digest ^= h.Sum64()
	}
	return digest
}

// Expire applies SilenceTimeout and RemovalTimeout. It reports whether any
// endpoint became Silent.
func (d *Directory) Expire(now time.Time) (changed bool) {
	for id, e := range d.byID {
		age := now.Sub(e.LastReportAt)
		if e.State != Ready && age > RemovalTimeout {
			d.releaseAddress(&e.Endpoint)
			delete(d.byID, id)
			continue
		}
		if e.State == Ready && age > SilenceTimeout {
			d.revision++
			e.State, e.changedRevision = Silent, d.revision
			changed = true
		}
	}
	return changed
}

// ChangedSince returns the endpoints that changed after a revision, and the current
// revision. Removed endpoints are not listed.
func (d *Directory) ChangedSince(revision uint64) ([]Endpoint, uint64) {
	if revision == d.revision {
		return nil, revision
	}
	var changed []Endpoint
	for _, e := range d.byID {
		if e.changedRevision > revision {
			changed = append(changed, e.Endpoint)
		}
	}
	return changed, d.revision
}

// Get returns the endpoint with the given ID.
func (d *Directory) Get(id string) (Endpoint, bool) {
	e := d.byID[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Len returns the number of endpoints.
func (d *Directory) Len() int { return len(d.byID) }
