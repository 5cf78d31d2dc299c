// Package routing chooses the endpoint for a request at a router. It filters the
// endpoints that can serve the request, scores a random sample of them by expected
// cost in time, and picks the one of lowest cost.
//
// A Table has no clock, goroutine or I/O, and takes its randomness from the
// caller. It is not safe for concurrent use.
package routing

import (
	"fmt"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Request describes a request to Choose.
type Request struct {
	Workspace      string
	Target         string // model or service name
	Kind           pb.EndpointKind
	Class          string
	Tier           int
	Prefix         []uint64 // chained hashes of the prompt's leading blocks; each covers all blocks up to its own
	BodyBytes      int
	TriedEndpoints []string // endpoints that refused or failed this request
	// BusyEndpoints lists endpoints that refused this request as busy. They are
	// considered again only when no other endpoint is left, so that a caller never
	// sees busy.
	BusyEndpoints []string
	// RequireLowerTier limits the choice to endpoints where a request of a lower
	// tier waits or runs.
	RequireLowerTier bool
}

// Rand is the source of randomness. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Score is the cost estimate for one candidate.
type Score struct {
	Endpoint     string        `json:"endpoint"`
	ExpectedWait time.Duration `json:"wait_ns"`    // in the agent's queue
	Cost         time.Duration `json:"cost_ns"`    // total expected cost, which the choice minimises
	CachedBlocks int           `json:"blocks"`     // leading blocks of the prompt expected in its cache
	OwnDomain    bool          `json:"own_domain"` // in the router's failure domain
}

// Decision is the result of Choose. Candidates is valid until the next Choose.
type Decision struct {
	Endpoint   *pb.Endpoint
	Candidates []Score
	Reason     string
	// MayRefuseAsBusy allows the agent to refuse the request as busy if it would start
	// late there. It is set on a first attempt with other candidates; see
	// flow.Request.
	MayRefuseAsBusy bool
}

// Values of Decision.Reason.
const (
	ReasonOnlyCandidate = "only"     // no other candidate was left
	ReasonLowestCost    = "better"   // lowest cost in the random sample
	ReasonAffinity      = "affinity" // caches the prompt's prefix
	ReasonSpillover     = "spill"    // the own failure domain has no candidate or a higher cost
	ReasonAllBusy       = "busy"     // every candidate left has refused the request as busy
	ReasonAllEjected    = "ejected"  // every candidate left is ejected
)

// NoEndpointError reports that no endpoint is left for a request.
type NoEndpointError struct {
	Target           string
	Workspace        string
	Serving          int // endpoints that serve the target to the workspace
	Tried            int // of Serving, already tried
	Leaving          int // of Serving, draining or gone
	WithoutLowerTier int // of Serving, excluded by RequireLowerTier
}

func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("no endpoint left for %s of workspace %s: %d serve it, %d tried, %d leaving, %d without a lower tier",
		e.Target, e.Workspace, e.Serving, e.Tried, e.Leaving, e.WithoutLowerTier)
}

// Result is how an attempt at an endpoint ended.
type Result uint8

// Values of Result.
const (
	Succeeded Result = iota
	Failed           // no connection, broken answer or server error
	Refused          // the agent refused the request without running it
	Cancelled        // the caller disconnected; says nothing about the endpoint
)

// Config sets the weights and bounds of a Table. A zero field takes its default.
type Config struct {
	// FailureDomain is the router's own failure domain.
	FailureDomain string
	// CrossDomainCost is added to the cost of endpoints outside the router's
	// failure domain.
	CrossDomainCost time.Duration
	// SpilloverThreshold is the cost in the own failure domain from which other
	// domains are considered.
	SpilloverThreshold time.Duration
	// SampleSize is how many random candidates are scored in the own failure
	// domain, and again in the others.
	SampleSize                 int
	ConsecutiveFailuresToEject int
	// BaseEjectionTime is the length of the first ejection. Each consecutive one
	// doubles it, up to MaxEjectionTime.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// MaxEjectedPercent bounds the share of ejected endpoints in a group.
	MaxEjectedPercent int
	// CachedBlockBonus is the reduction of the cost per cached block. It exceeds
	// the time saved for this request, because the other requests on the engine
	// benefit as well.
	CachedBlockBonus time.Duration
	// MaxAffinityBlocks bounds the affinity index; a negative value turns it off.
	MaxAffinityBlocks int
}

// Defaults of Config.
const (
	defaultCrossDomainCost            = 10 * time.Millisecond
	defaultSpilloverThreshold         = 50 * time.Millisecond
	defaultSampleSize                 = 2
	defaultConsecutiveFailuresToEject = 3
	defaultBaseEjectionTime           = time.Second
	defaultMaxEjectionTime            = time.Minute
	defaultMaxEjectedPercent          = 50
	defaultCachedBlockBonus           = 100 * time.Millisecond
	defaultMaxAffinityBlocks          = 1 << 16
)

func (c Config) withDefaults() Config {
	c.CrossDomainCost = orDefault(c.CrossDomainCost, defaultCrossDomainCost)
	c.SpilloverThreshold = orDefault(c.SpilloverThreshold, defaultSpilloverThreshold)
	c.SampleSize = orDefault(c.SampleSize, defaultSampleSize)
	c.ConsecutiveFailuresToEject = orDefault(c.ConsecutiveFailuresToEject, defaultConsecutiveFailuresToEject)
	c.BaseEjectionTime = orDefault(c.BaseEjectionTime, defaultBaseEjectionTime)
	c.MaxEjectionTime = orDefault(c.MaxEjectionTime, defaultMaxEjectionTime)
	c.MaxEjectedPercent = orDefault(c.MaxEjectedPercent, defaultMaxEjectedPercent)
	c.CachedBlockBonus = orDefault(c.CachedBlockBonus, defaultCachedBlockBonus)
	c.MaxAffinityBlocks = orDefault(c.MaxAffinityBlocks, defaultMaxAffinityBlocks)
	return c
}

func orDefault[T int | time.Duration](value, defaultValue T) T {
	if value == 0 {
		return defaultValue
	}
	return value
}
