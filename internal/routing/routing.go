// Package routing chooses the endpoint of a request at a router: it filters
// the endpoints that may serve it, scores a few of them by the time that the
// request would lose there, and picks the best of a few random ones.
//
// A Table has no clock, goroutine or I/O, and takes its randomness from the
// caller. It is not safe for concurrent use.
package routing

import (
	"fmt"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Request is what the choice needs to know of a request.
type Request struct {
	Workspace string
	Target    string // model or service name
	Kind      pb.EndpointKind
	Class     string
	Tier      int
	Prefix    []uint64 // hashes of the prompt's leading blocks, each over all before it
	Bytes     int
	Tried     []string // endpoints that refused or failed this request
	// Busy are endpoints that gave this request back as busy. They are chosen
	// again once nothing else is left, so that busy never reaches a caller.
	Busy []string
	// LowerTierOnly keeps to endpoints where a lower tier waits or runs.
	LowerTierOnly bool
}

// Rand is the randomness of a choice; *rand.Rand of math/rand/v2 is one.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Score is the estimate for one endpoint that was considered.
type Score struct {
	Endpoint string        `json:"endpoint"`
	Wait     time.Duration `json:"wait_ns"`    // expected time in the agent's queue
	Cost     time.Duration `json:"cost_ns"`    // everything that the request would lose there
	Blocks   int           `json:"blocks"`     // leading blocks of the prompt expected in its cache
	Own      bool          `json:"own_domain"` // in the router's failure domain
}

// Decision is the endpoint chosen. Candidates is valid until the next Choose.
type Decision struct {
	Endpoint   *pb.Endpoint
	Candidates []Score
	Reason     string
	// MayMove is true for a first attempt with other candidates, see
	// flow.Request.
	MayMove bool
}

// The reasons of a Decision.
const (
	ReasonOnly     = "only"     // one candidate was left
	ReasonBetter   = "better"   // the best of a few random ones
	ReasonAffinity = "affinity" // it holds the prompt's prefix
	ReasonSpill    = "spill"    // the own failure domain would be later
	ReasonBusy     = "busy"     // back to the one that gave it back
	ReasonEjected  = "ejected"  // every candidate is ejected
)

// NoEndpointError says why no endpoint is left.
type NoEndpointError struct {
	Target    string
	Workspace string
	Serving   int // endpoints that serve target and workspace
	Tried     int // of these, tried before
	Leaving   int // of these, draining or gone
	Unfit     int // of these, without a lower tier though one was asked for
}

// Error gives the counts.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("no endpoint left for %s of workspace %s: %d serve it, %d tried, %d leaving, %d without a lower tier",
		e.Target, e.Workspace, e.Serving, e.Tried, e.Leaving, e.Unfit)
}

// Result says how an attempt at an endpoint ended.
type Result uint8

// The results of an attempt.
const (
	Succeeded Result = iota
	Failed           // no connection, broken answer, server error
	Refused          // the agent refused it as not run
	Cancelled        // the caller left; says nothing of the endpoint
)

// Config sets the weights and bounds of a Table. The zero value of a field
// takes its default.
type Config struct {
	// FailureDomain is the router's own.
	FailureDomain string
	// DomainCost is what a request loses by leaving the failure domain.
	DomainCost time.Duration
	// SpillCost is the cost in the own failure domain from which the others
	// are considered.
	SpillCost time.Duration
	// Choices is how many random candidates are scored in each of the own
	// and the other failure domains.
	Choices int
	// FailuresToEject is how many failures in a row eject an endpoint.
	FailuresToEject int
	// EjectFor is the first ejection; each further one doubles it up to
	// MaxEjectFor.
	EjectFor, MaxEjectFor time.Duration
	// MaxEjectedPercent bounds the ejected endpoints of one group.
	MaxEjectedPercent int
	// BlockTime is the advantage of one cached block in the score. It is more
	// than the time that the block saves to this request, because the engine's
	// other requests gain as well.
	BlockTime time.Duration
	// MaxPrefixes bounds the affinity index, in blocks; negative turns it off.
	MaxPrefixes int
}

// Defaults of Config.
const (
	defaultDomainCost      = 10 * time.Millisecond
	defaultSpillCost       = 50 * time.Millisecond
	defaultChoices         = 2
	defaultFailuresToEject = 3
	defaultEjectFor        = time.Second
	defaultMaxEjectFor     = time.Minute
	defaultMaxEjected      = 50
	defaultBlockTime       = 100 * time.Millisecond
	defaultMaxPrefixes     = 1 << 16
)

func (c Config) withDefaults() Config {
	c.DomainCost = orDefault(c.DomainCost, defaultDomainCost)
	c.SpillCost = orDefault(c.SpillCost, defaultSpillCost)
	c.Choices = orDefault(c.Choices, defaultChoices)
	c.FailuresToEject = orDefault(c.FailuresToEject, defaultFailuresToEject)
	c.EjectFor = orDefault(c.EjectFor, defaultEjectFor)
	c.MaxEjectFor = orDefault(c.MaxEjectFor, defaultMaxEjectFor)
	c.MaxEjectedPercent = orDefault(c.MaxEjectedPercent, defaultMaxEjected)
	c.BlockTime = orDefault(c.BlockTime, defaultBlockTime)
	c.MaxPrefixes = orDefault(c.MaxPrefixes, defaultMaxPrefixes)
	return c
}

func orDefault[T int | time.Duration](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}
