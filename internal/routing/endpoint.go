package routing

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// endpoint is what the router knows of one incarnation.
type endpoint struct {
	described *pb.Endpoint
	group     *group
	own       bool
	load      *pb.Load
	loadAt    time.Time
	inFlight  int // sent by this router and not ended
	unseen    int // of these, sent since the last load figure

	failures     int // in a row
	ejections    int // in a row
	ejectedUntil time.Time
	ejected      bool
	probing      bool
}

func (e *endpoint) observe(now time.Time, load *pb.Load) {
	if load == nil || (e.load != nil && load.GetSequence() <= e.load.GetSequence()) {
		return
	}
	e.load = load
	e.loadAt = now
	e.unseen = 0
}

func (e *endpoint) leaving() bool {
	state := e.described.GetState()
	return state == pb.EndpointState_ENDPOINT_STATE_DRAINING || state == pb.EndpointState_ENDPOINT_STATE_GONE
}

// wait is the expected time in the agent's queue for a request of the tier.
func (e *endpoint) wait(tier int) time.Duration {
	if e.load == nil {
		return 0
	}
	ahead := e.unseen
	for _, t := range e.load.GetTiers() {
		if int(t.GetTier()) <= tier {
			ahead += int(t.GetWaiting())
		}
	}
	slots := max(int(e.load.GetSlots()), 1)
	free := slots - int(e.load.GetRunning())
	if ahead < free {
		return 0
	}
	return time.Duration(ahead-free+1) * e.serviceTime() / time.Duration(slots)
}

func (e *endpoint) serviceTime() time.Duration {
	return time.Duration(e.load.GetServiceTimeUs()) * time.Microsecond
}

func (e *endpoint) firstToken() time.Duration {
	return time.Duration(e.load.GetFirstTokenUs()) * time.Microsecond
}

// busy is the part of the slots in use or asked for, in percent.
func (e *endpoint) busy() int {
	if e.load == nil {
		return 0
	}
	return 100 * (int(e.load.GetRunning()) + e.unseen) / max(int(e.load.GetSlots()), 1)
}

// lowerTier says that something below the tier waits or runs there.
func (e *endpoint) lowerTier(tier int) bool {
	for _, t := range e.load.GetTiers() {
		if int(t.GetTier()) > tier {
			return true
		}
	}
	return false
}
