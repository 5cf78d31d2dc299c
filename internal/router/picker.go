package router

import (
	"math/rand/v2"
	"sync"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// picker guards the routing table, which has one user at a time, and keeps it
// on the newest directory and configuration.
type picker struct {
	mu        sync.Mutex
	table     *routing.Table
	source    Source
	random    *rand.Rand
	state     *ticket.State
	endpoints []*trefoilkeelv1.Endpoint
}

// newPicker returns a picker over the source.
func newPicker(config routing.Config, source Source) *picker {
	return &picker{
		table:  routing.New(config),
		source: source,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// refresh takes a newer snapshot of the source into the table.
func (p *picker) refresh(now time.Time) {
	state, endpoints := p.source.State(), p.source.Endpoints()
	if state == p.state && sameSlice(endpoints, p.endpoints) {
		return
	}
	p.state, p.endpoints = state, endpoints
	p.table.Update(now, endpoints, state)
}

// sameSlice reports whether two snapshots are the same one.
func sameSlice(a, b []*trefoilkeelv1.Endpoint) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// choice is one chosen endpoint.
type choice struct {
	endpoint   *trefoilkeelv1.Endpoint
	reason     string
	candidates []routing.Score
	mayMove    bool // the agent may refuse it at once as busy
}

// choose returns an endpoint for the request and counts the attempt as
// started there. The error is a *routing.NoEndpointError.
func (p *picker) choose(r routing.Request) (choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.refresh(now)
	decision, err := p.table.Choose(now, r, p.random)
	if err != nil {
		return choice{}, err
	}
	p.table.Started(now, decision.Endpoint.GetName(), r.Tier)
	picked := choice{endpoint: decision.Endpoint, reason: decision.Reason}
	picked.candidates = append(picked.candidates, decision.Candidates...)
	picked.mayMove = decision.MayMove
	return picked, nil
}

// finished ends the attempt that choose started.
func (p *picker) finished(name string, tier int, result routing.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Finished(time.Now(), name, tier, result)
}

// observe takes the queue figures that came with an answer.
func (p *picker) observe(endpoint *trefoilkeelv1.Endpoint, load *trefoilkeelv1.Load) {
	if load == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Observe(time.Now(), endpoint.GetName(), endpoint.GetIncarnation(), load)
}

// succeeded earns retries for a class.
func (p *picker) succeeded(class string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Budget().Success(class)
}

// takeRetry spends a retry of a class; false if there is none.
func (p *picker) takeRetry(class string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Budget().Take(class)
}
