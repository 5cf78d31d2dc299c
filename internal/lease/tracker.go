package lease

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// minGroup is the least number of endpoints whose common silence counts as
// control's own fault.
const minGroup = 3

// wholeGroup stands for all endpoints together.
const wholeGroup = ""

// TrackerSettings bound how long an endpoint may be silent.
type TrackerSettings struct {
	// Lease is the longest silence of one endpoint.
	Lease time.Duration
	// GroupGrace is the longest silence while most of its group is silent too.
	GroupGrace time.Duration
}

// Tracker is the leader's record of who was heard when, by its own clock. It
// is not replicated: a new leader begins with everyone just heard. It is not
// safe for concurrent use.
type Tracker struct {
	settings TrackerSettings
	heard    map[string]heard
	held     map[string]bool
	lastTick time.Time
	floor    time.Time // everyone counts as heard at this time at least
}

// heard is the last sign of life of one incarnation.
type heard struct {
	incarnation uint64
	at          time.Time
}

// group counts the endpoints of one failure domain.
type group struct {
	total  int
	silent int
}

// NewTracker returns an empty record.
func NewTracker(s TrackerSettings) *Tracker {
	return &Tracker{settings: s, heard: map[string]heard{}, held: map[string]bool{}}
}

// Reset forgets everything: at the next Expire everyone counts as just heard.
// It is due when this host becomes the leader.
func (t *Tracker) Reset() {
	clear(t.heard)
	clear(t.held)
	t.lastTick = time.Time{}
}

// Heard records a sign of life at a time that may lie in the past.
func (t *Tracker) Heard(at time.Time, name string, incarnation uint64) {
	last, known := t.heard[name]
	if known && (last.incarnation > incarnation || (last.incarnation == incarnation && !at.After(last.at))) {
		return
	}
	t.heard[name] = heard{incarnation: incarnation, at: at}
}

// Expire returns the incarnations whose lease has run out. It must be called
// several times per lease: a longer pause is this host's own fault, and
// everyone gets a new lease. While most of a group, or everyone, is silent,
// the silence is taken as control's fault: nobody of that group is returned
// before GroupGrace, and nobody at all while everyone is silent. When such a
// silence ends, those not heard yet get one new lease.
func (t *Tracker) Expire(now time.Time, endpoints []*pb.Endpoint) []*pb.Incarnation {
	if t.lastTick.IsZero() || now.Sub(t.lastTick) > t.settings.Lease/2 {
		t.floor = now
	}
	t.lastTick = now
	t.sync(now, endpoints)
	groups := t.count(now, endpoints)
	t.release(now, endpoints, groups)
	whole := groups[wholeGroup]
	if whole == nil || whole.silent == 0 || whole.silent == whole.total {
		return nil
	}
	var expired []*pb.Incarnation
	for _, e := range endpoints {
		if t.expired(now, e) {
			expired = append(expired, &pb.Incarnation{Name: e.GetName(), Incarnation: e.GetIncarnation()})
		}
	}
	return expired
}

// sync starts the record of new incarnations and drops the absent ones.
func (t *Tracker) sync(now time.Time, endpoints []*pb.Endpoint) {
	present := make(map[string]heard, len(endpoints))
	for _, e := range endpoints {
		h, known := t.heard[e.GetName()]
		if !known || h.incarnation < e.GetIncarnation() {
			h = heard{incarnation: e.GetIncarnation(), at: now}
		}
		present[e.GetName()] = h
	}
	t.heard = present
}

func (t *Tracker) count(now time.Time, endpoints []*pb.Endpoint) map[string]*group {
	groups := map[string]*group{}
	for _, e := range endpoints {
		silent := t.silence(now, e) > t.settings.Lease
		add(groups, wholeGroup, silent)
		if e.GetFailureDomain() != wholeGroup {
			add(groups, e.GetFailureDomain(), silent)
		}
	}
	return groups
}

func add(groups map[string]*group, name string, silent bool) {
	g := groups[name]
	if g == nil {
		g = &group{}
		groups[name] = g
	}
	g.total++
	if silent {
		g.silent++
	}
}

// release marks the groups that are held and gives a new lease to the silent
// members of those that no longer are.
func (t *Tracker) release(now time.Time, endpoints []*pb.Endpoint, groups map[string]*group) {
	released := map[string]bool{}
	for name, g := range groups {
		hold := g.faulty()
		if t.held[name] && !hold {
			released[name] = true
		}
		t.held[name] = hold
	}
	for _, e := range endpoints {
		over := t.silence(now, e) > t.settings.Lease
		if over && (released[wholeGroup] || released[e.GetFailureDomain()]) {
			t.heard[e.GetName()] = heard{incarnation: e.GetIncarnation(), at: now}
		}
	}
}

// faulty tells whether so many are silent at once that control is at fault.
func (g *group) faulty() bool {
	return g.total >= minGroup && 2*g.silent > g.total
}

func (t *Tracker) expired(now time.Time, e *pb.Endpoint) bool {
	silence := t.silence(now, e)
	if silence <= t.settings.Lease {
		return false
	}
	held := t.held[wholeGroup] || t.held[e.GetFailureDomain()]
	return !held || silence > t.settings.GroupGrace
}

func (t *Tracker) silence(now time.Time, e *pb.Endpoint) time.Duration {
	last := t.heard[e.GetName()].at
	if last.Before(t.floor) {
		last = t.floor
	}
	return now.Sub(last)
}
