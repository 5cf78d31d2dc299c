// Package catalog defines the configuration of routes, services and workspaces,
// which operators always replace as a whole. It validates a configuration and
// answers the lookups that a request needs.
package catalog

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// RequestKind determines whether a request may be retried; see Route.SafeToRetry.
type RequestKind uint8

// Kinds of requests.
const (
	Idempotent  RequestKind = iota + 1 // may run more than once
	AtMostOnce                         // may run at most once for each request ID
	EventStream                        // answered by a stream of events
)

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          RequestKind
	Resumable     bool          // a broken stream may be resumed at another endpoint
	Timeout       time.Duration // longest total time of a request
	LatencyTarget time.Duration // target latency of the response, or of a stream's first event
	GapTarget     time.Duration // target for the longest pause between events of a stream
	Rank          int           // 0 is the most urgent
	Backends      []Backend
	MaxAttempts   int  // number of endpoints on which one request may run
	Public        bool // served without an API key
}

// SafeToRetry reports whether a request may be sent again when it may already have run.
func (r *Route) SafeToRetry() bool {
	return r.Kind == Idempotent || r.Kind == EventStream && r.Resumable
}

// Backend is a service to which a route sends a weighted share of its requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name                      string
	MaxConnectionsPerEndpoint int // accepted by one endpoint, over all callers
	Engine                    *Engine
	Scaling                   *Scaling // nil: the number of its endpoints isn't ordered
}

// Scaling bounds the number of a service's endpoints in each failure domain.
type Scaling struct {
	Min, Max int
	BootTime time.Duration // from an order until a new endpoint serves
}

// Engine describes the model engines behind the endpoints of a service.
type Engine struct {
	Slots               int // batch size: requests that run at the same time
	CacheCapacityTokens int // cache capacity, shared by running requests and cached prompts
	// CopyTimePerToken is the time in which an engine copies one cached token from another
	// engine. 0 means that it can't copy.
	CopyTimePerToken time.Duration
	TokensPerEvent   int // tokens in an event of a stream, 0 if not known
}

// ShortestGapTarget returns the shortest gap target among the routes to a service, 0 if
// none has one.
func (d *Document) ShortestGapTarget(service string) time.Duration {
	shortest := time.Duration(0)
	for i := range d.Routes {
		target := d.Routes[i].GapTarget
		if target <= 0 || shortest > 0 && target >= shortest {
			continue
		}
		for _, b := range d.Routes[i].Backends {
			if b.Service == service && b.Weight > 0 {
				shortest = target
			}
		}
	}
	return shortest
}

// Workspace is a customer with its API keys. A nil Rank leaves the urgency to the
// rank of the route.
type Workspace struct {
	Name string
	Keys []string
	Rank *int
}

// Limits apply to the requests of callers.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// MaxVersion is the highest version of a configuration that can be stored.
const MaxVersion = math.MaxUint64 - 1

// Document is a complete configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// ServiceNames returns the names of the services.
func (d *Document) ServiceNames() map[string]bool {
	names := map[string]bool{}
	for _, s := range d.Services {
		names[s.Name] = true
	}
	return names
}

// InvalidError lists the problems of a document.
type InvalidError struct {
	Problems []string
}

// Error joins the problems.
func (e *InvalidError) Error() string {
	return "invalid configuration: " + strings.Join(e.Problems, "; ")
}

// Validate returns nil or an *InvalidError that lists every problem.
func (d *Document) Validate() error {
	v := validator{serviceNames: map[string]bool{}, routeByHostAndPrefix: map[string]string{}, workspaceByKey: map[string]string{}}
	switch {
	case d.Version == 0:
		v.addf("the version is missing")
	case d.Version > MaxVersion:
		v.addf("the version is over %d", uint64(MaxVersion))
	}
	v.serviceNames = d.ServiceNames()
	for _, s := range d.Services {
		v.checkScaling(s)
	}
	for i := range d.Routes {
		v.checkRoute(&d.Routes[i])
	}
	for _, w := range d.Workspaces {
		v.checkWorkspace(w)
	}
	if len(v.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: v.problems}
}

// validator collects the problems of a document.
type validator struct {
	serviceNames         map[string]bool
	routeByHostAndPrefix map[string]string // route name by host and prefix
	workspaceByKey       map[string]string // workspace name by API key
	problems             []string
}

func (v *validator) addf(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

func (v *validator) checkRoute(r *Route) {
	hostAndPrefix := strings.ToLower(r.Host) + " " + r.Prefix
	if other, found := v.routeByHostAndPrefix[hostAndPrefix]; found {
		v.addf("route %s: host and prefix are those of route %s", r.Name, other)
	}
	v.routeByHostAndPrefix[hostAndPrefix] = r.Name
	if r.Timeout <= 0 {
		v.addf("route %s: the timeout is 0", r.Name)
	}
	totalWeight := 0
	for _, b := range r.Backends {
		totalWeight += b.Weight
		if !v.serviceNames[b.Service] {
			v.addf("route %s: service %q does not exist", r.Name, b.Service)
		}
		if b.Weight < 0 {
			v.addf("route %s: the weight of service %q is negative", r.Name, b.Service)
		}
	}
	if totalWeight <= 0 {
		v.addf("route %s: the weights add up to 0", r.Name)
	}
}

func (v *validator) checkScaling(s Service) {
	if s.Scaling != nil && s.Scaling.Min > s.Scaling.Max {
		v.addf("service %s: the least number of endpoints, %d, is over the largest, %d", s.Name, s.Scaling.Min, s.Scaling.Max)
	}
}

func (v *validator) checkWorkspace(w Workspace) {
	for _, key := range w.Keys {
		if other, found := v.workspaceByKey[key]; found && other != w.Name {
			v.addf("workspaces %s and %s share a key", other, w.Name)
		}
		v.workspaceByKey[key] = w.Name
	}
}

// Index answers lookups in a document. The document must not be modified.
type Index struct {
	Document       *Document
	routesByHost   map[string][]*Route // longest prefix first
	workspaceByKey map[string]*Workspace
	serviceByName  map[string]*Service
}

// NewIndex builds the index of a document that passed validation.
func NewIndex(d *Document) *Index {
	x := &Index{Document: d, routesByHost: map[string][]*Route{}, workspaceByKey: map[string]*Workspace{}, serviceByName: map[string]*Service{}}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		x.routesByHost[host] = append(x.routesByHost[host], &d.Routes[i])
	}
	for _, routes := range x.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].Keys {
			x.workspaceByKey[key] = &d.Workspaces[i]
		}
	}
	for i := range d.Services {
		x.serviceByName[d.Services[i].Name] = &d.Services[i]
	}
	return x
}

// Route returns the route for a path on a host. A port in host is ignored.
func (x *Index) Route(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range x.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Workspace returns the workspace that owns an API key.
func (x *Index) Workspace(key string) (*Workspace, bool) {
	w, ok := x.workspaceByKey[key]
	return w, ok && key != ""
}

// Service returns the service with a name, or nil.
func (x *Index) Service(name string) *Service { return x.serviceByName[name] }

// PickService selects a service in proportion to the weights: point, in [0, 1), is a
// position on the concatenated weights.
func (r *Route) PickService(point float64) string {
	totalWeight := 0
	for _, b := range r.Backends {
		totalWeight += b.Weight
	}
	remaining := int(point * float64(totalWeight))
	for _, b := range r.Backends {
		if remaining < b.Weight {
			return b.Service
		}
		remaining -= b.Weight
	}
	return ""
}

// routeRanksPerWorkspaceRank is how many route ranks one workspace rank counts for. The
// workspace's rank decides first as long as the route ranks are below this value.
const routeRanksPerWorkspaceRank = 3

// Urgency returns the urgency of a request at an endpoint, from 0, the most urgent,
// to maxUrgency. It adds the rank of the workspace, if it has one, in route ranks to that
// of the route.
func Urgency(r *Route, w *Workspace, maxUrgency int) int {
	rank := r.Rank
	if w != nil && w.Rank != nil {
		rank += *w.Rank * routeRanksPerWorkspaceRank
	}
	return min(max(rank, 0), maxUrgency)
}
