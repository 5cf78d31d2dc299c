package daemon

import (
	"context"
	"net/http"
	"strconv"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

// tiers is the number of tiers that agents report.
const tiers = 6

// serveMetrics sends every metric of the process as JSON.
func (d *Daemon) serveMetrics(w http.ResponseWriter, r *http.Request) {
	d.gauges(r.Context())
	w.Header().Set("Content-Type", "application/json")
	d.metrics.Write(w)
}

// gauges reads the figures that are kept elsewhere.
func (d *Daemon) gauges(ctx context.Context) {
	if d.client != nil {
		d.metrics.Set(metrics.Revision, int64(d.Revision()))
		d.metrics.Set(metrics.RevisionAge, d.client.Age().Milliseconds())
		d.metrics.Set(metrics.Endpoints, int64(len(d.client.Endpoints())))
	}
	for _, a := range d.agents {
		a.gauges(ctx, d.metrics)
	}
	if d.control != nil {
		d.control.gauges(d.metrics)
	}
}

// gauges reads the queue and the counters of one agent.
func (a *agentRole) gauges(ctx context.Context, m *metrics.Registry) {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	name, load := a.agent.Name(), a.agent.Load(ctx)
	m.Set(metrics.AgentRunning+name, int64(load.GetRunning()))
	m.Set(metrics.AgentSlots+name, int64(load.GetSlots()))
	byTier := map[uint32]*trefoilkeelv1.TierLoad{}
	for _, t := range load.GetTiers() {
		byTier[t.GetTier()] = t
	}
	for tier := range uint32(tiers) {
		key := metrics.AgentWaiting + name + "." + strconv.Itoa(int(tier)+1)
		m.Set(key, int64(byTier[tier+1].GetWaiting()))
	}
	relayed, wasted := a.agent.Tokens()
	m.Set(metrics.AgentTokens+name, int64(relayed))
	m.Set(metrics.AgentWasted+name, int64(wasted))
	m.Set(metrics.AgentPreempted+name, int64(a.agent.Preempted()))
}

// gauges reads the state of a control host.
func (c *controlRole) gauges(m *metrics.Registry) {
	term, _, leading := c.replica.Leading()
	m.Set(metrics.Term, int64(term))
	m.Set(metrics.Leading, 0)
	if leading {
		m.Set(metrics.Leading, 1)
	}
	m.Set(metrics.Revision, int64(c.machine.Book().State().Revision))
	entries, bytes := c.machine.LedgerSize()
	m.Set(metrics.LedgerEntries, int64(entries))
	m.Set(metrics.LedgerBytes, bytes)
}
