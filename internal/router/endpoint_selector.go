package router

import (
	"math/rand/v2"
	"sync"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// endpointSelector serializes access to the routing table, which is not safe for
// concurrent use, and updates it with the latest directory and configuration.
type endpointSelector struct {
	mu        sync.Mutex
	table     *routing.Table
	source    ConfigSource
	random    *rand.Rand
	config    *ticket.Configuration
	endpoints []*trefoilkeelv1.Endpoint
}

func newEndpointSelector(config routing.Config, source ConfigSource) *endpointSelector {
	return &endpointSelector{
		table:  routing.New(config),
		source: source,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// refresh updates the table if the source has a new snapshot.
func (s *endpointSelector) refresh(now time.Time) {
	config, endpoints := s.source.Configuration(), s.source.Endpoints()
	if config == s.config && sameSnapshot(endpoints, s.endpoints) {
		return
	}
	s.config, s.endpoints = config, endpoints
	s.table.Update(now, endpoints, config)
}

// sameSnapshot reports whether a and b are the same slice, without comparing
// elements.
func sameSnapshot(a, b []*trefoilkeelv1.Endpoint) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// selection is the selected endpoint and why it was selected.
type selection struct {
	endpoint        *trefoilkeelv1.Endpoint
	reason          string
	candidates      []routing.Score
	mayRefuseAsBusy bool // the agent may refuse the attempt as busy if it would start late
}

// selectEndpoint selects an endpoint for the request and counts an attempt as
// started there. The error is a *routing.NoEndpointError.
func (s *endpointSelector) selectEndpoint(r routing.Request) (selection, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.refresh(now)
	decision, err := s.table.Choose(now, r, s.random)
	if err != nil {
		return selection{}, err
	}
	s.table.RequestStarted(now, decision.Endpoint.GetName(), r.Tier)
	selected := selection{endpoint: decision.Endpoint, reason: decision.Reason}
	selected.candidates = append(selected.candidates, decision.Candidates...)
	selected.mayRefuseAsBusy = decision.MayRefuseAsBusy
	return selected, nil
}

// recordResult ends an attempt that selectEndpoint counted as started.
func (s *endpointSelector) recordResult(name string, tier int, result routing.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RequestFinished(time.Now(), name, tier, result)
}

// observeLoad records the load that an agent reported with a response.
func (s *endpointSelector) observeLoad(endpoint *trefoilkeelv1.Endpoint, load *trefoilkeelv1.Load) {
	if load == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordLoad(time.Now(), endpoint.GetName(), endpoint.GetIncarnation(), load)
}

// creditRetryBudget adds one successful answer to the retry budget of a class.
func (s *endpointSelector) creditRetryBudget(class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RetryBudget().RecordSuccess(class)
}

// spendRetryBudget takes one retry from the budget of a class; false if none is
// left.
func (s *endpointSelector) spendRetryBudget(class string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RetryBudget().TryTake(class)
}
