// Package origin remembers which software version of which service began each stream. A stream
// may go on only at endpoints of the version that began it: what two versions write does not fit
// together.
//
// The package has no clock, goroutine or I/O. Its types are not safe for concurrent use.
package origin

import (
	"maps"
	"time"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // of the software of the endpoint
}

// Start is the begin of a stream.
type Start struct {
	Stream uint64 // key of the stream
	Origin Origin
}

const (
	// memoryTTL is how long a Memory remembers a stream at least, unless it is full. Streams end
	// with the timeouts of their routes, which are shorter.
	memoryTTL = time.Minute
	// maxRemembered limits each half of a Memory.
	maxRemembered = 65536
)

// Memory maps streams to their origins. The newest start of a stream counts.
type Memory struct {
	newer, older map[uint64]Origin
	rotatedAt    time.Time
}

// Add adds the start of a stream.
func (m *Memory) Add(now time.Time, s Start) {
	if m.newer == nil || now.Sub(m.rotatedAt) > memoryTTL || len(m.newer) >= maxRemembered {
		m.newer, m.older, m.rotatedAt = map[uint64]Origin{}, m.newer, now
	}
	m.newer[s.Stream] = s.Origin
}

// Find returns the origin of a stream.
func (m *Memory) Find(stream uint64) (o Origin, known bool) {
	if o, known = m.newer[stream]; known {
		return o, true
	}
	o, known = m.older[stream]
	return o, known
}

// All returns the remembered streams of a service in any order.
func (m *Memory) All(service string) []Start {
	merged := maps.Clone(m.older)
	if merged == nil {
		merged = map[uint64]Origin{}
	}
	maps.Copy(merged, m.newer)
	var all []Start
	for stream, o := range merged {
		if o.Service == service {
			all = append(all, Start{Stream: stream, Origin: o})
		}
	}
	return all
}
