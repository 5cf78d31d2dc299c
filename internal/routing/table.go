package routing

import (
	"slices"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// workspaceWildcard in an endpoint group admits all workspaces.
const workspaceWildcard = "*"

// targetKey identifies a model or a service that requests can ask for.
type targetKey struct {
	kind pb.EndpointKind
	name string
}

// pool is the endpoints of one group that serve one target.
type pool struct {
	group     *group
	endpoints []*endpoint
}

// group is the state of one configured endpoint group.
type group struct {
	allWorkspaces bool
	workspaces    map[string]struct{}
	memberCount   int
	ejectedCount  int
}

// Table is a router's view of the endpoints.
type Table struct {
	config      Config
	endpoints   map[string]*endpoint
	pools       map[targetKey][]pool
	classes     map[string]ticket.Class
	retryBudget *RetryBudget
	affinity    *affinityIndex
	choiceCount uint64
	candidates  []*endpoint // scratch space of Choose
	scores      []Score     // scratch space of Choose
}

// New returns a table without endpoints.
func New(config Config) *Table {
	config = config.withDefaults()
	return &Table{
		config:      config,
		affinity:    newAffinityIndex(config.MaxAffinityBlocks),
		endpoints:   map[string]*endpoint{},
		pools:       map[targetKey][]pool{},
		retryBudget: NewRetryBudget(RetryBudgetConfig{}),
	}
}

// RetryBudget returns the router's retry budget.
func (t *Table) RetryBudget() *RetryBudget { return t.retryBudget }

// Update replaces the directory and the configuration. The state of an endpoint is
// kept while its incarnation stays the same.
func (t *Table) Update(now time.Time, endpoints []*pb.Endpoint, configuration *ticket.Configuration) {
	previous := t.endpoints
	t.endpoints = make(map[string]*endpoint, len(endpoints))
	t.pools = map[targetKey][]pool{}
	if configuration == nil {
		return
	}
	t.classes = configuration.Classes
	groups := map[string]*group{}
	for _, descriptor := range endpoints {
		e := previous[descriptor.GetName()]
		if e == nil || e.descriptor.GetIncarnation() != descriptor.GetIncarnation() {
			e = &endpoint{}
		}
		e.descriptor = descriptor
		e.inOwnDomain = descriptor.GetFailureDomain() == t.config.FailureDomain
		e.recordLoad(now, descriptor.GetLoad())
		t.endpoints[descriptor.GetName()] = e
		groupConfig, known := configuration.EndpointGroups[descriptor.GetGroup()]
		if !known {
			continue
		}
		e.group = groups[groupConfig.Name]
		if e.group == nil {
			e.group = newGroup(groupConfig)
			groups[groupConfig.Name] = e.group
		}
		e.group.memberCount++
		if e.ejectedUntil.After(now) {
			e.group.ejectedCount++
		}
		t.addToPools(e, groupConfig)
	}
}

func newGroup(groupConfig ticket.EndpointGroup) *group {
	g := &group{workspaces: make(map[string]struct{}, len(groupConfig.Workspaces))}
	for _, name := range groupConfig.Workspaces {
		g.workspaces[name] = struct{}{}
	}
	_, g.allWorkspaces = g.workspaces[workspaceWildcard]
	return g
}

// addToPools adds e to the pool of every target that its group serves and that it
// has loaded.
func (t *Table) addToPools(e *endpoint, groupConfig ticket.EndpointGroup) {
	names := groupConfig.Models
	if e.descriptor.GetKind() == pb.EndpointKind_ENDPOINT_KIND_SERVICE {
		names = groupConfig.Services
	}
	for _, name := range names {
		if !slices.Contains(e.descriptor.GetModels(), name) {
			continue
		}
		key := targetKey{kind: e.descriptor.GetKind(), name: name}
		t.pools[key] = addToGroupPool(t.pools[key], e)
	}
}

func addToGroupPool(pools []pool, e *endpoint) []pool {
	for i := range pools {
		if pools[i].group == e.group {
			pools[i].endpoints = append(pools[i].endpoints, e)
			return pools
		}
	}
	return append(pools, pool{group: e.group, endpoints: []*endpoint{e}})
}

func (g *group) admits(workspace string) bool {
	if g.allWorkspaces {
		return true
	}
	_, ok := g.workspaces[workspace]
	return ok
}

// RecordLoad records a load report. Older reports and those of another incarnation
// are ignored.
func (t *Table) RecordLoad(now time.Time, name string, incarnation uint64, load *pb.Load) {
	e := t.endpoints[name]
	if e == nil || e.descriptor.GetIncarnation() != incarnation {
		return
	}
	e.recordLoad(now, load)
}

// RequestStarted records that a request was sent to the endpoint.
func (t *Table) RequestStarted(now time.Time, name string, tier int) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	e.inFlight++
	e.sentSinceLoad++
}

// RequestFinished records how a request reported to RequestStarted has ended.
func (t *Table) RequestFinished(now time.Time, name string, tier int, result Result) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	e.sentSinceLoad = max(min(e.sentSinceLoad, e.inFlight), 0)
	switch result {
	case Succeeded, Refused:
		t.clearFailures(e)
	case Failed:
		t.recordFailure(now, e)
	case Cancelled:
		e.probeInFlight = false
	}
}
