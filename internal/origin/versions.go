package origin

import "time"

// goneTTL is how long after its last endpoint has gone a version may have begun streams that
// callers take up.
const goneTTL = 2 * time.Minute

// Versions tracks which software versions the endpoints of services have.
type Versions struct {
	byEndpoint map[string]Origin // by endpoint ID
	endpoints  map[Origin]int    // number of endpoints
	goneAt     map[Origin]time.Time
	recorded   map[Origin]bool // by control hosts; true if by a majority; nil if not known
}

// NewVersions returns a tracker without endpoints.
func NewVersions() *Versions {
	return &Versions{byEndpoint: map[string]Origin{}, endpoints: map[Origin]int{}, goneAt: map[Origin]time.Time{}}
}

// Update applies the state of an endpoint.
func (v *Versions) Update(now time.Time, endpointID string, o Origin, gone bool) {
	if old, known := v.byEndpoint[endpointID]; known {
		delete(v.byEndpoint, endpointID)
		if v.endpoints[old]--; v.endpoints[old] == 0 {
			delete(v.endpoints, old)
			v.goneAt[old] = now
		}
	}
	if o.Service == "" {
		return // a departure of an endpoint that was never known
	}
	if gone {
		v.goneAt[o] = now
		return
	}
	v.byEndpoint[endpointID] = o
	v.endpoints[o]++
}

// SetRecorded replaces the versions that control hosts have recorded; true is one that a majority has. One
// without an endpoint may have gone just before.
func (v *Versions) SetRecorded(now time.Time, recorded map[Origin]bool) {
	known := v.recorded
	v.recorded = recorded
	for o := range recorded {
		if _, was := known[o]; !was && v.endpoints[o] == 0 {
			v.goneAt[o] = now
		}
	}
}

// Known returns the versions of a service that serve, or did so short ago: as long as one is recorded, and
// for goneTTL after its last endpoint has gone.
func (v *Versions) Known(now time.Time, service string) map[string]bool {
	known := map[string]bool{}
	for o := range v.endpoints {
		if o.Service == service {
			known[o.Version] = true
		}
	}
	for o := range v.recorded {
		if o.Service == service {
			known[o.Version] = true
		}
	}
	for o, at := range v.goneAt {
		switch {
		case now.Sub(at) > goneTTL:
			delete(v.goneAt, o)
		case o.Service == service:
			known[o.Version] = true
		}
	}
	return known
}

// Mixed reports whether endpoints of several versions serve a service, or did so short ago.
func (v *Versions) Mixed(now time.Time, service string) bool { return len(v.Known(now, service)) > 1 }

// Unrecorded returns the versions of a service at which no stream may begin yet, nil for none: a majority of
// the control hosts must have recorded them, so that each majority names them to an entry where a stream is
// taken up. Endpoints that name no version can't be recorded, nor can a version while the record is full.
func (v *Versions) Unrecorded(service string) map[string]bool {
	if v.recorded == nil || v.isRecordFull() {
		return nil
	}
	var unrecorded map[string]bool
	for o := range v.endpoints {
		if o.Service != service || o.Version == "" || v.recorded[o] {
			continue
		}
		if unrecorded == nil {
			unrecorded = map[string]bool{}
		}
		unrecorded[o.Version] = true
	}
	return unrecorded
}

// isRecordFull reports whether a majority has recorded all that there is room for.
func (v *Versions) isRecordFull() bool {
	count := 0
	for _, byMajority := range v.recorded {
		if byMajority {
			count++
		}
	}
	return count >= MaxRecorded
}
