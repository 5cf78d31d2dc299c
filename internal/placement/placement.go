// Package placement decides which engine loads or unloads which model. It
// compares the desired models of each endpoint group with those loaded, limits
// the rate of loads to what the weight store allows, and bounds the fraction of
// a model's endpoints that are out of service at the same time.
//
// The package reads no clock, starts no goroutine and does no I/O.
package placement

import (
	"slices"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Settings limit the rate of orders.
type Settings struct {
	// LoadInterval is the mean time between loads that the weight store allows;
	// 0 allows LoadBurst loads in every call of Plan.
	LoadInterval time.Duration
	// LoadBurst is the maximum number of loads ordered at once, at least 1.
	LoadBurst int
	// MaxUnavailableFraction bounds the endpoints of a model that are out of
	// service at the same time, in (0, 1]; one endpoint is always allowed.
	MaxUnavailableFraction float64
	// OrderTimeout is how long an order may stay pending before it is reissued.
	OrderTimeout time.Duration
}

// Outcome says whether a needed load or unload was ordered, or why not.
type Outcome string

// Outcomes of a decision.
const (
	Ordered            Outcome = "ordered"
	RateLimited        Outcome = "waits for the weight store"
	TooManyUnavailable Outcome = "too many endpoints of a model are out"
	Pending            Outcome = "an order is pending"
	Draining           Outcome = "the endpoint is draining"
)

// Decision is a load or unload that an engine needs, and its outcome.
type Decision struct {
	Endpoint    string
	Incarnation uint64
	Kind        pb.OrderKind
	Model       string
	Outcome     Outcome
}

// Planner decides on loads and unloads. Its rate limiter and the age of pending
// orders are not replicated: a new leader starts with one allowed load, and counts
// the timeout of pending orders afresh. It is not safe for concurrent use.
type Planner struct {
	settings     Settings
	loadTokens   float64 // loads that may be ordered now
	refilledAt   time.Time
	pendingSince map[string]time.Time // when each pending order was first seen, by order ID
}

// New returns a planner that starts with one load token.
func New(s Settings) *Planner {
	s.LoadBurst = max(s.LoadBurst, 1)
	return &Planner{settings: s, loadTokens: 1, pendingSince: map[string]time.Time{}}
}

// Plan returns at most one decision for each member, in the order of members.
func (p *Planner) Plan(now time.Time, config *ticket.Configuration, members []lease.Member) []Decision {
	p.refill(now)
	p.recordPending(now, members)
	unavailable := countUnavailable(members)
	var decisions []Decision
	for _, m := range members {
		d, needed := nextChange(config, m.Endpoint)
		if !needed {
			continue
		}
		d.Outcome = p.decide(now, m, d, unavailable)
		if d.Outcome == Ordered {
			unavailable.add(m.Endpoint)
		}
		decisions = append(decisions, d)
	}
	return decisions
}

// decide returns the outcome for the change d of m, and takes a load token if it
// orders a load.
func (p *Planner) decide(now time.Time, m lease.Member, d Decision, unavailable unavailableCounts) Outcome {
	if m.Endpoint.GetState() != pb.EndpointState_ENDPOINT_STATE_ACTIVE {
		return Draining
	}
	reissue := p.overdue(now, m)
	if len(m.PendingOrders) > 0 && !reissue {
		return Pending
	}
	if !reissue && !unavailable.allowsOneMore(m.Endpoint, p.settings.MaxUnavailableFraction) {
		return TooManyUnavailable
	}
	if d.Kind != pb.OrderKind_ORDER_KIND_LOAD {
		return Ordered
	}
	if p.loadTokens < 1 {
		return RateLimited
	}
	p.loadTokens--
	return Ordered
}

// refill adds the load tokens that have accrued since the last call, up to LoadBurst.
func (p *Planner) refill(now time.Time) {
	if !p.refilledAt.IsZero() && p.settings.LoadInterval > 0 {
		p.loadTokens += float64(now.Sub(p.refilledAt)) / float64(p.settings.LoadInterval)
	}
	if p.settings.LoadInterval <= 0 {
		p.loadTokens = float64(p.settings.LoadBurst)
	}
	p.loadTokens = min(p.loadTokens, float64(p.settings.LoadBurst))
	p.refilledAt = now
}

// recordPending records when each pending order was first seen, and forgets
// orders that are no longer pending.
func (p *Planner) recordPending(now time.Time, members []lease.Member) {
	since := map[string]time.Time{}
	for _, m := range members {
		for _, o := range m.PendingOrders {
			at, known := p.pendingSince[o.GetId()]
			if !known {
				at = now
			}
			since[o.GetId()] = at
		}
	}
	p.pendingSince = since
}

// overdue reports whether m has pending orders and all of them have timed out.
func (p *Planner) overdue(now time.Time, m lease.Member) bool {
	if len(m.PendingOrders) == 0 {
		return false
	}
	return !slices.ContainsFunc(m.PendingOrders, func(o *pb.Order) bool {
		return now.Sub(p.pendingSince[o.GetId()]) < p.settings.OrderTimeout
	})
}

// nextChange returns the next load or unload that brings an engine closer to the
// models of its group. Missing models are loaded before surplus ones are unloaded.
func nextChange(config *ticket.Configuration, e *pb.Endpoint) (Decision, bool) {
	group, known := config.EndpointGroups[e.GetGroup()]
	if !known || e.GetKind() != pb.EndpointKind_ENDPOINT_KIND_ENGINE {
		return Decision{}, false
	}
	d := Decision{Endpoint: e.GetName(), Incarnation: e.GetIncarnation()}
	for _, model := range group.Models {
		if !slices.Contains(e.GetModels(), model) {
			d.Kind, d.Model = pb.OrderKind_ORDER_KIND_LOAD, model
			return d, true
		}
	}
	for _, model := range e.GetModels() {
		if !slices.Contains(group.Models, model) {
			d.Kind, d.Model = pb.OrderKind_ORDER_KIND_UNLOAD, model
			return d, true
		}
	}
	return Decision{}, false
}
