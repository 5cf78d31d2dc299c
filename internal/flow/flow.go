// Package flow is the queue of one agent: it decides which request starts at
// the endpoint next, which waits, which is refused and which is preempted.
//
// Order: strictly by tier; inside a tier, requests that can still meet their
// target before those that cannot; deficit round robin over workspaces; inside
// a workspace, earliest deadline. A victim is always of the lowest tier
// present. A Queue has no clock, goroutine, randomness or I/O: each method
// takes the present time and returns the actions to carry out, in order. It
// is not safe for concurrent use.
package flow

import "time"

// Bounds of a tier: 1 is the highest.
const (
	highestTier = 1
	lowestTier  = 6
)

// Request is what the queue needs to know of a request. ID must be unique
// among the requests that wait or run.
type Request struct {
	ID        string
	Tier      int // 1 is the highest, 6 the lowest
	Class     string
	Workspace string
	Share     int // weight of the workspace inside its tier, at least 1
	// Arrived is when the caller asked, not when this agent got to know.
	Arrived time.Time
	// StartBy is when patience ends: a request that has not started is refused.
	StartBy time.Time
	// Deadline is when the answer must be whole.
	Deadline time.Time
	Bytes    int
	// Preemptible allows a preemption until the first token.
	Preemptible bool
	// PreemptibleAfterToken extends Preemptible to the whole run, for an
	// answer that is buffered or that the engine can resume.
	PreemptibleAfterToken bool
	// Resumable says that a preempted answer goes on from the tokens sent, here
	// or elsewhere: a preemption throws no work away.
	Resumable           bool
	FirstTokenTarget    time.Duration // 0: none
	BetweenTokensTarget time.Duration // 0: none
	// MayMove is for a first attempt with other candidates: the request is
	// refused with Busy, for the router to try one of them, once it has waited
	// half of the time to its target. Set on a later attempt as well, it leaves
	// no time to preempt there.
	MayMove bool
}

// Reason says why a request was refused. The values are those of
// dispatch.RefusalType.
type Reason string

// The reasons of a refusal.
const (
	Overloaded       Reason = "overloaded"        // shed, the queue is at its bound
	Busy             Reason = "busy"              // try another candidate; never passed to a caller
	PatienceExceeded Reason = "patience_exceeded" // not started in time
	DeadlineExceeded Reason = "deadline_exceeded" // cannot finish in time
	Preempted        Reason = "preempted"         // preempted, and not restarted in time
	Duplicate        Reason = "duplicate"         // the newcomer's ID is taken
	Draining         Reason = "draining"
)

// Outcome says how a started request ended.
type Outcome uint8

// The outcomes of a started request.
const (
	Whole  Outcome = iota // the whole answer was relayed
	Broken                // the endpoint failed after the start
	Gone                  // the caller left or the deadline passed
)

// Action is one thing for the shell to do: Start, Refuse or Preempt.
type Action interface{ action() }

// Start sends a waiting request to the endpoint.
type Start struct{ ID string }

// Refuse answers a request for good. Ran is true if it had started before,
// so that it must not be told as not run.
type Refuse struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
	Ran        bool
}

// Preempt cancels a running request at the endpoint. The request waits again
// unless a Refuse for it follows; a later Start runs it from the beginning,
// or from the tokens sent if the endpoint can resume it.
type Preempt struct{ ID string }

func (Start) action()   {}
func (Refuse) action()  {}
func (Preempt) action() {}

// Config bounds a Queue. The zero value of a field takes its default.
type Config struct {
	// Slots is the concurrency at the start, and always if Adaptive is false.
	Slots int
	// MinSlots and MaxSlots bound the adaptive concurrency.
	MinSlots, MaxSlots int
	// Adaptive lets observed latency move the concurrency.
	Adaptive bool
	// MaxWaiting and MaxWaitingBytes bound the waiting requests.
	MaxWaiting, MaxWaitingBytes int
	// AgedOneIn allows at most one start in AgedOneIn to an aged request of
	// a lower tier while a higher tier waits; negative turns it off.
	AgedOneIn int
	// MaxPreemptions bounds how often one request is preempted; negative
	// turns preemption off.
	MaxPreemptions int
	// HeadroomPercent is the part of the concurrency lately needed by higher
	// tiers that lower ones leave free; negative turns it off.
	HeadroomPercent int
}

// Defaults of Config.
const (
	defaultSlots          = 16
	defaultMinSlots       = 1
	defaultMaxSlots       = 256
	defaultMaxWaiting     = 2048
	defaultMaxWaitBytes   = 64 << 20
	defaultAgedOneIn      = 10
	defaultMaxPreemptions = 4
	defaultHeadroom       = 150
)

func (c Config) withDefaults() Config {
	c.Slots = orDefault(c.Slots, defaultSlots)
	c.MinSlots = orDefault(c.MinSlots, defaultMinSlots)
	c.MaxSlots = max(orDefault(c.MaxSlots, defaultMaxSlots), c.Slots)
	c.MaxWaiting = orDefault(c.MaxWaiting, defaultMaxWaiting)
	c.MaxWaitingBytes = orDefault(c.MaxWaitingBytes, defaultMaxWaitBytes)
	c.AgedOneIn = orDefault(c.AgedOneIn, defaultAgedOneIn)
	c.MaxPreemptions = orDefault(c.MaxPreemptions, defaultMaxPreemptions)
	c.HeadroomPercent = orDefault(c.HeadroomPercent, defaultHeadroom)
	return c
}

// headroom is HeadroomPercent as a factor.
func (c Config) headroom() float64 { return float64(max(c.HeadroomPercent, 0)) / 100 }

func orDefault(value, standard int) int {
	if value == 0 {
		return standard
	}
	return value
}
