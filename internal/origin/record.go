package origin

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
)

// Presence is what a Record knows of a version.
type Presence uint8

// Presences of a version; the zero value is that of one that is not recorded.
const (
	Serving Presence = iota + 1 // endpoints of the version serve, or did so short ago
	Leaving                     // a control host has not seen one for goneTTL
)

// MaxRecorded limits the versions of a Record.
const MaxRecorded = 128

// maxNameBytes limits the name of a service or version in a Record.
const maxNameBytes = 255

// Record is what control hosts agree on of the software versions that serve, or did so short ago.
// After a restart of all hosts it names the versions whose streams callers take up, also those
// of which no endpoint is left. Endpoints that name no version are not recorded.
type Record struct {
	versions map[Origin]Presence
}

// Versions returns the recorded versions in order.
func (r *Record) Versions() []Origin {
	return slices.SortedFunc(maps.Keys(r.versions), func(a, b Origin) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
	})
}

// Presence returns what is known of a version.
func (r *Record) Presence(o Origin) Presence { return r.versions[o] }

// Clone returns a copy.
func (r *Record) Clone() Record { return Record{versions: maps.Clone(r.versions)} }

// IsZero reports whether no version is recorded.
func (r *Record) IsZero() bool { return len(r.versions) == 0 }

// CanRecord reports whether there is room for a version, and it has a name that can be recorded.
func (r *Record) CanRecord(o Origin) bool {
	if o.Service == "" || o.Version == "" || len(o.Service) > maxNameBytes || len(o.Version) > maxNameBytes {
		return false
	}
	return r.versions[o] != 0 || len(r.versions) < MaxRecorded
}

// Change is a change of a Record. Only a version that is Leaving is forgotten.
type Change struct {
	Origin   Origin
	Presence Presence // 0 to forget the version
}

// Encode returns the command of a change: its presence, and the names with their lengths.
func (c Change) Encode() []byte { return appendVersion(nil, c.Origin, c.Presence) }

// Apply applies a command. It reports whether the record has changed, and ignores a command that is
// malformed, for which there is no room, or that forgets a version that serves again. What
// follows a command has no meaning.
func (r *Record) Apply(command []byte) (changed bool) {
	o, presence, _, ok := cutVersion(command)
	known := r.versions[o]
	switch {
	case !ok || known == presence || presence > Leaving || !r.CanRecord(o):
		return false
	case presence == 0 && known != Leaving, presence == Leaving && known == 0:
		return false
	case presence == 0:
		delete(r.versions, o)
		return true
	}
	if r.versions == nil {
		r.versions = map[Origin]Presence{}
	}
	r.versions[o] = presence
	return true
}

// AppendSnapshot appends the record to a snapshot.
func (r *Record) AppendSnapshot(snapshot []byte) []byte {
	snapshot = binary.BigEndian.AppendUint32(snapshot, uint32(len(r.versions)))
	for _, o := range r.Versions() {
		snapshot = appendVersion(snapshot, o, r.versions[o])
	}
	return snapshot
}

// CutSnapshot decodes what AppendSnapshot has appended, and returns the rest of the snapshot.
func CutSnapshot(snapshot []byte) (r Record, rest []byte, ok bool) {
	if len(snapshot) < 4 {
		return Record{}, nil, false
	}
	count, rest := binary.BigEndian.Uint32(snapshot), snapshot[4:]
	if count > MaxRecorded {
		return Record{}, nil, false
	}
	r.versions = map[Origin]Presence{}
	for range count {
		var o Origin
		var presence Presence
		if o, presence, rest, ok = cutVersion(rest); !ok || presence == 0 || presence > Leaving {
			return Record{}, nil, false
		}
		r.versions[o] = presence
	}
	return r, rest, true
}

func appendVersion(out []byte, o Origin, p Presence) []byte {
	out = append(out, byte(p))
	for _, name := range []string{o.Service, o.Version} {
		name = name[:min(len(name), maxNameBytes)]
		out = append(append(out, byte(len(name))), name...)
	}
	return out
}

// cutVersion decodes what appendVersion has appended.
func cutVersion(in []byte) (o Origin, p Presence, rest []byte, ok bool) {
	if len(in) < 1 {
		return Origin{}, 0, nil, false
	}
	p, rest = Presence(in[0]), in[1:]
	for _, name := range []*string{&o.Service, &o.Version} {
		if len(rest) < 1 || len(rest) < 1+int(rest[0]) {
			return Origin{}, 0, nil, false
		}
		*name, rest = string(rest[1:1+int(rest[0])]), rest[1+int(rest[0]):]
	}
	return o, p, rest, true
}
