// Package placement decides which engine loads or unloads which model: the
// desired models of each endpoint group against what is loaded, at the pace
// of the weight store, and with a bounded share of a model's endpoints out of
// service at once.
//
// Nothing here reads a clock, starts a goroutine or does I/O.
package placement

import (
	"slices"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Settings bound the pace of orders.
type Settings struct {
	// LoadInterval is the time between two loads that the weight store allows.
	LoadInterval time.Duration
	// LoadBurst is the most loads ordered at once, at least 1.
	LoadBurst int
	// OutShare is the greatest share of a model's endpoints that may be out
	// of service at once, in (0, 1]; one endpoint is always allowed.
	OutShare float64
	// OrderTimeout is how long an order may stay pending before it is given anew.
	OrderTimeout time.Duration
}

// Outcome says what became of a difference between desired and loaded.
type Outcome string

// The outcomes.
const (
	Ordered  Outcome = "ordered"
	Paced    Outcome = "waits for the weight store"
	Limited  Outcome = "too many endpoints of a model are out"
	Pending  Outcome = "an order is pending"
	Draining Outcome = "the endpoint is draining"
)

// Decision is one difference and what is done about it.
type Decision struct {
	Endpoint    string
	Incarnation uint64
	Kind        pb.OrderKind
	Model       string
	Outcome     Outcome
}

// Planner remembers the pace and the age of orders. It is not replicated: a
// new leader begins with one allowed load. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	tokens   float64
	last     time.Time
	since    map[string]time.Time // first sight of each pending order
}

// New returns a planner that has ordered nothing yet.
func New(s Settings) *Planner {
	s.LoadBurst = max(s.LoadBurst, 1)
	return &Planner{settings: s, tokens: 1, since: map[string]time.Time{}}
}

// Plan returns one decision for each difference, in the order of members.
func (p *Planner) Plan(now time.Time, config *ticket.State, members []lease.Member) []Decision {
	p.refill(now)
	p.observe(now, members)
	out := countOut(members)
	var decisions []Decision
	for _, m := range members {
		d, differs := difference(config, m.Endpoint)
		if !differs {
			continue
		}
		d.Outcome = p.judge(now, m, d, out)
		if d.Outcome == Ordered {
			out.take(m.Endpoint)
		}
		decisions = append(decisions, d)
	}
	return decisions
}

// judge decides one difference.
func (p *Planner) judge(now time.Time, m lease.Member, d Decision, out outCount) Outcome {
	if m.Endpoint.GetState() != pb.EndpointState_ENDPOINT_STATE_ACTIVE {
		return Draining
	}
	retry := p.overdue(now, m)
	if len(m.Orders) > 0 && !retry {
		return Pending
	}
	if !retry && !out.allows(m.Endpoint, p.settings.OutShare) {
		return Limited
	}
	if d.Kind != pb.OrderKind_ORDER_KIND_LOAD {
		return Ordered
	}
	if p.tokens < 1 {
		return Paced
	}
	p.tokens--
	return Ordered
}

// refill adds the loads that the weight store allows since the last call.
func (p *Planner) refill(now time.Time) {
	if !p.last.IsZero() && p.settings.LoadInterval > 0 {
		p.tokens += float64(now.Sub(p.last)) / float64(p.settings.LoadInterval)
	}
	if p.settings.LoadInterval <= 0 {
		p.tokens = float64(p.settings.LoadBurst)
	}
	p.tokens = min(p.tokens, float64(p.settings.LoadBurst))
	p.last = now
}

// observe notes when each pending order was first seen.
func (p *Planner) observe(now time.Time, members []lease.Member) {
	seen := map[string]time.Time{}
	for _, m := range members {
		for _, o := range m.Orders {
			at, known := p.since[o.GetId()]
			if !known {
				at = now
			}
			seen[o.GetId()] = at
		}
	}
	p.since = seen
}

// overdue tells whether every pending order of m has been waiting too long.
func (p *Planner) overdue(now time.Time, m lease.Member) bool {
	if len(m.Orders) == 0 {
		return false
	}
	return !slices.ContainsFunc(m.Orders, func(o *pb.Order) bool {
		return now.Sub(p.since[o.GetId()]) < p.settings.OrderTimeout
	})
}

// difference finds the next step of an engine towards the models of its
// group: first what is missing, then what is too much.
func difference(config *ticket.State, e *pb.Endpoint) (Decision, bool) {
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
