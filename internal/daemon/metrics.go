package daemon

import (
	"context"
	"net/http"
	"strconv"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

// tierCount is the number of tiers in an agent's load report.
const tierCount = 6

// serveMetrics sends every metric of the process as JSON.
func (d *Daemon) serveMetrics(w http.ResponseWriter, r *http.Request) {
	d.updateGauges(r.Context())
	w.Header().Set("Content-Type", "application/json")
	d.metrics.Write(w)
}

// updateGauges sets the gauges whose values the roles hold.
func (d *Daemon) updateGauges(ctx context.Context) {
	if d.directoryClient != nil {
		d.metrics.Set(metrics.Revision, int64(d.Revision()))
		d.metrics.Set(metrics.RevisionAge, d.directoryClient.Age().Milliseconds())
		d.metrics.Set(metrics.Endpoints, int64(len(d.directoryClient.Endpoints())))
	}
	for _, a := range d.agents {
		a.updateGauges(ctx, d.metrics)
	}
	if d.control != nil {
		d.control.updateGauges(d.metrics)
	}
}

// updateGauges sets the gauges of one agent's queue and token counters.
func (a *agentRole) updateGauges(ctx context.Context, m *metrics.Registry) {
	ctx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	name, load := a.agent.Name(), a.agent.Load(ctx)
	m.Set(metrics.AgentRunning+name, int64(load.GetRunning()))
	m.Set(metrics.AgentSlots+name, int64(load.GetSlots()))
	loadByTier := map[uint32]*trefoilkeelv1.TierLoad{}
	for _, t := range load.GetTiers() {
		loadByTier[t.GetTier()] = t
	}
	for tier := range uint32(tierCount) {
		key := metrics.AgentWaiting + name + "." + strconv.Itoa(int(tier)+1)
		m.Set(key, int64(loadByTier[tier+1].GetWaiting()))
	}
	relayed, wasted := a.agent.Tokens()
	m.Set(metrics.AgentTokens+name, int64(relayed))
	m.Set(metrics.AgentWasted+name, int64(wasted))
	m.Set(metrics.AgentPreempted+name, int64(a.agent.Preempted()))
}

// updateGauges sets the gauges of the control host.
func (c *controlRole) updateGauges(m *metrics.Registry) {
	term, _, leading := c.replica.Leading()
	m.Set(metrics.Term, int64(term))
	m.Set(metrics.Leading, 0)
	if leading {
		m.Set(metrics.Leading, 1)
	}
	m.Set(metrics.Revision, int64(c.stateMachine.Book().State().Revision))
	entries, bytes := c.stateMachine.LedgerSize()
	m.Set(metrics.LedgerEntries, int64(entries))
	m.Set(metrics.LedgerBytes, bytes)
}
