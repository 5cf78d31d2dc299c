package origin

import "time"

// Keeper decides on a control host how the Record is to change. Endpoints report to some control
// hosts only. So a version that one host has not seen for goneTTL becomes Leaving first, and is
// forgotten after as long again, unless a host that sees an endpoint of it records it as Serving.
type Keeper struct {
	lastSeen     map[Origin]time.Time // when this host last saw an endpoint of a version, or saw it recorded as Serving anew
	leavingSince map[Origin]time.Time // when this host first saw that a version is Leaving
}

// NewKeeper returns a keeper of a host that has just started.
func NewKeeper() *Keeper {
	return &Keeper{lastSeen: map[Origin]time.Time{}, leavingSince: map[Origin]time.Time{}}
}

// Decide returns the changes that the record needs. serving are the versions of the endpoints
// that report to this host.
func (k *Keeper) Decide(now time.Time, serving map[Origin]bool, r *Record) []Change {
	var changes []Change
	for o := range serving {
		k.lastSeen[o] = now
		if r.Presence(o) != Serving && r.CanRecord(o) {
			changes = append(changes, Change{Origin: o, Presence: Serving})
		}
	}
	for _, o := range r.Versions() {
		since, leaving := k.updateLeaving(now, o, r.Presence(o))
		switch {
		case serving[o]:
		case leaving && now.Sub(since) > goneTTL:
			changes = append(changes, Change{Origin: o})
		case !leaving && now.Sub(k.lastSeen[o]) > goneTTL:
			changes = append(changes, Change{Origin: o, Presence: Leaving})
		}
	}
	k.expire(now, r)
	return changes
}

// updateLeaving returns whether a recorded version is Leaving, and since when as this host knows.
func (k *Keeper) updateLeaving(now time.Time, o Origin, p Presence) (since time.Time, leaving bool) {
	since, was := k.leavingSince[o]
	switch {
	case p == Leaving && !was:
		k.leavingSince[o], since = now, now
	case p == Serving && (was || k.lastSeen[o].IsZero()):
		delete(k.leavingSince, o)
		k.lastSeen[o] = now
	}
	return since, p == Leaving
}

// expire forgets what is neither recorded nor served any more.
func (k *Keeper) expire(now time.Time, r *Record) {
	for o, at := range k.lastSeen {
		if r.Presence(o) == 0 && now.Sub(at) > goneTTL {
			delete(k.lastSeen, o)
		}
	}
	for o := range k.leavingSince {
		if r.Presence(o) == 0 {
			delete(k.leavingSince, o)
		}
	}
}
