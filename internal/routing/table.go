package routing

import (
	"slices"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// everyWorkspace in an endpoint group admits all workspaces.
const everyWorkspace = "*"

// target names what a request is for.
type target struct {
	kind pb.EndpointKind
	name string
}

// pool is the endpoints of one group that serve one target.
type pool struct {
	group     *group
	endpoints []*endpoint
}

// group is an endpoint group of the configuration with what is known of it.
type group struct {
	everyone   bool
	workspaces map[string]struct{}
	members    int
	ejected    int
}

// Table is a router's view of the endpoints.
type Table struct {
	config    Config
	endpoints map[string]*endpoint
	pools     map[target][]pool
	classes   map[string]ticket.Class
	budget    *Budget
	affinity  *affinity
	choices   uint64
	fit       []*endpoint // scratch of Choose
	scores    []Score     // scratch of Choose
}

// New returns a table without endpoints.
func New(config Config) *Table {
	config = config.withDefaults()
	return &Table{
		config:    config,
		affinity:  newAffinity(config.MaxPrefixes),
		endpoints: map[string]*endpoint{},
		pools:     map[target][]pool{},
		budget:    NewBudget(BudgetConfig{}),
	}
}

// Budget is the retry budget of the router.
func (t *Table) Budget() *Budget { return t.budget }

// Update takes a new snapshot of the directory and the configuration. What
// was learnt of an endpoint is kept as long as its incarnation is the same.
func (t *Table) Update(now time.Time, endpoints []*pb.Endpoint, state *ticket.State) {
	before := t.endpoints
	t.endpoints = make(map[string]*endpoint, len(endpoints))
	t.pools = map[target][]pool{}
	if state == nil {
		return
	}
	t.classes = state.Classes
	groups := map[string]*group{}
	for _, described := range endpoints {
		e := before[described.GetName()]
		if e == nil || e.described.GetIncarnation() != described.GetIncarnation() {
			e = &endpoint{}
		}
		e.described = described
		e.own = described.GetFailureDomain() == t.config.FailureDomain
		e.observe(now, described.GetLoad())
		t.endpoints[described.GetName()] = e
		settings, known := state.EndpointGroups[described.GetGroup()]
		if !known {
			continue
		}
		e.group = groups[settings.Name]
		if e.group == nil {
			e.group = newGroup(settings)
			groups[settings.Name] = e.group
		}
		e.group.members++
		if e.ejectedUntil.After(now) {
			e.group.ejected++
		}
		t.pool(e, settings)
	}
}

func newGroup(settings ticket.EndpointGroup) *group {
	g := &group{workspaces: make(map[string]struct{}, len(settings.Workspaces))}
	for _, name := range settings.Workspaces {
		g.workspaces[name] = struct{}{}
	}
	_, g.everyone = g.workspaces[everyWorkspace]
	return g
}

// pool enters e under every target that its group serves and it has loaded.
func (t *Table) pool(e *endpoint, settings ticket.EndpointGroup) {
	names := settings.Models
	if e.described.GetKind() == pb.EndpointKind_ENDPOINT_KIND_SERVICE {
		names = settings.Services
	}
	for _, name := range names {
		if !slices.Contains(e.described.GetModels(), name) {
			continue
		}
		key := target{kind: e.described.GetKind(), name: name}
		t.pools[key] = addToPool(t.pools[key], e)
	}
}

func addToPool(pools []pool, e *endpoint) []pool {
	for i := range pools {
		if pools[i].group == e.group {
			pools[i].endpoints = append(pools[i].endpoints, e)
			return pools
		}
	}
	return append(pools, pool{group: e.group, endpoints: []*endpoint{e}})
}

func (g *group) admits(workspace string) bool {
	if g.everyone {
		return true
	}
	_, ok := g.workspaces[workspace]
	return ok
}

// Observe takes a load figure; older ones and those of another incarnation
// are ignored.
func (t *Table) Observe(now time.Time, name string, incarnation uint64, load *pb.Load) {
	e := t.endpoints[name]
	if e == nil || e.described.GetIncarnation() != incarnation {
		return
	}
	e.observe(now, load)
}

// Started says that a request of the tier was sent to the endpoint.
func (t *Table) Started(now time.Time, name string, tier int) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	e.inFlight++
	e.unseen++
}

// Finished says how a request that Started told of has ended.
func (t *Table) Finished(now time.Time, name string, tier int, result Result) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	e.unseen = max(min(e.unseen, e.inFlight), 0)
	switch result {
	case Succeeded, Refused:
		t.restore(e)
	case Failed:
		t.fail(now, e)
	case Cancelled:
		e.probing = false
	}
}
