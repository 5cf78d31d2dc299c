// Package flow implements an agent's request queue: it decides which request
// starts at the endpoint next, which waits, which is refused and which is
// preempted.
//
// Requests start strictly by tier, except for a bounded share of aged ones.
// Within a tier, requests that can still meet their target come before those
// that cannot; each of these two groups is a deficit round robin over workspaces,
// and earliest deadline first within a workspace. The request to shed or preempt
// is always of the lowest tier present.
//
// A Queue has no clock, goroutine, randomness or I/O: each method takes the
// present time and returns the actions to carry out, in order. It is not safe for
// concurrent use.
package flow

import "time"

// Range of tiers.
const (
	highestTier = 1
	lowestTier  = 6
)

// Request describes a request to the queue. ID must be unique among the requests
// that wait or run.
type Request struct {
	ID        string
	Tier      int // 1 is the highest, 6 the lowest
	Class     string
	Workspace string
	Weight    int // round-robin weight of the workspace within the tier, at least 1
	// Arrived is when the caller's request reached its router, not this agent.
	Arrived time.Time
	// StartBy is when the patience of the request ends: it is refused if it has
	// not started by then.
	StartBy time.Time
	// Deadline is when the answer must be complete; zero for none.
	Deadline  time.Time
	BodyBytes int
	// Preemptible allows preemption until the first token.
	Preemptible bool
	// PreemptibleAfterToken allows it after the first token as well, for an
	// answer that is buffered or that the engine can resume.
	PreemptibleAfterToken bool
	// Resumable is set if a preempted answer can continue from the tokens sent,
	// here or at another endpoint, so that a preemption loses no work.
	Resumable           bool
	FirstTokenTarget    time.Duration // 0: none
	BetweenTokensTarget time.Duration // 0: none
	// MayRefuseAsBusy allows a refusal as Busy once the request has waited half of the
	// time that its target leaves, so that the router tries another candidate. It
	// must be set on first attempts only: on a later one, no time would be left to
	// preempt at the next endpoint.
	MayRefuseAsBusy bool
}

// Reason is why a request was refused. The values are those of
// dispatch.ErrorType.
type Reason string

// The reasons of a refusal.
const (
	Overloaded       Reason = "overloaded"        // shed because the queue is at its bound
	Busy             Reason = "busy"              // another candidate should be tried; never passed to a caller
	PatienceExceeded Reason = "patience_exceeded" // not started by StartBy
	DeadlineExceeded Reason = "deadline_exceeded" // expected not to finish by Deadline
	Preempted        Reason = "preempted"         // preempted and not restarted in time
	Duplicate        Reason = "duplicate"         // a request with the same ID waits or runs
	Draining         Reason = "draining"
)

// Outcome is how a started request ended.
type Outcome uint8

// The outcomes of a started request.
const (
	Completed      Outcome = iota // the complete answer was relayed
	EndpointFailed                // the endpoint failed after the start
	Cancelled                     // the caller disconnected or the deadline passed
)

// Action is an instruction to the caller of the queue: Start, Refuse or Preempt.
type Action interface{ action() }

// Start means that a waiting request is to be sent to the endpoint.
type Start struct{ ID string }

// Refuse removes a waiting request from the queue and answers it with a refusal.
// Ran is true if the request had started before; it must then not be reported as
// not run.
type Refuse struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
	Ran        bool
}

// Preempt cancels a running request at the endpoint. The request then waits again
// unless a Refuse for it follows. A later Start runs it from the beginning, or
// from the tokens sent if the endpoint can resume it.
type Preempt struct{ ID string }

func (Start) action()   {}
func (Refuse) action()  {}
func (Preempt) action() {}

// Config configures a Queue. A field that is zero takes its default.
type Config struct {
	// Slots is the initial concurrency, and the fixed one if Adaptive is false.
	Slots int
	// MinSlots and MaxSlots bound the adaptive concurrency.
	MinSlots, MaxSlots int
	// Adaptive adjusts the concurrency to the observed latency.
	Adaptive bool
	// MaxWaiting and MaxWaitingBytes bound the waiting requests.
	MaxWaiting, MaxWaitingBytes int
	// StartsPerAgedStart limits starts of aged requests out of tier order to one
	// in this many starts; negative disables them.
	StartsPerAgedStart int
	// MaxPreemptions bounds the preemptions of one request; negative disables
	// preemption.
	MaxPreemptions int
	// HeadroomPercent is the headroom that lower tiers leave to higher ones, as a
	// percentage of the slots that those recently used and do not use now;
	// negative disables it.
	HeadroomPercent int
}

// Defaults of Config.
const (
	defaultSlots              = 16
	defaultMinSlots           = 1
	defaultMaxSlots           = 256
	defaultMaxWaiting         = 2048
	defaultMaxWaitingBytes    = 64 << 20
	defaultStartsPerAgedStart = 10
	defaultMaxPreemptions     = 4
	defaultHeadroomPercent    = 150
)

func (c Config) withDefaults() Config {
	c.Slots = orDefault(c.Slots, defaultSlots)
	c.MinSlots = orDefault(c.MinSlots, defaultMinSlots)
	c.MaxSlots = max(orDefault(c.MaxSlots, defaultMaxSlots), c.Slots)
	c.MaxWaiting = orDefault(c.MaxWaiting, defaultMaxWaiting)
	c.MaxWaitingBytes = orDefault(c.MaxWaitingBytes, defaultMaxWaitingBytes)
	c.StartsPerAgedStart = orDefault(c.StartsPerAgedStart, defaultStartsPerAgedStart)
	c.MaxPreemptions = orDefault(c.MaxPreemptions, defaultMaxPreemptions)
	c.HeadroomPercent = orDefault(c.HeadroomPercent, defaultHeadroomPercent)
	return c
}

func (c Config) headroomFactor() float64 { return float64(max(c.HeadroomPercent, 0)) / 100 }

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
