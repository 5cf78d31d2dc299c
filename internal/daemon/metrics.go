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
	d.metrics.WriteJSON(w)
}

// updateGauges sets the gauges whose values the roles hold.
func (d *Daemon) updateGauges(ctx context.Context) {
	if d.directoryClient != nil {
		d.metrics.SetGauge(metrics.Revision, int64(d.Revision()))
		d.metrics.SetGauge(metrics.RevisionAgeMS, d.directoryClient.TimeSinceConfirmed().Milliseconds())
		d.metrics.SetGauge(metrics.Endpoints, int64(len(d.directoryClient.Endpoints())))
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
	m.SetGauge(metrics.AgentRunningPrefix+name, int64(load.GetRunning()))
	m.SetGauge(metrics.AgentSlotsPrefix+name, int64(load.GetSlots()))
	loadByTier := map[uint32]*trefoilkeelv1.TierLoad{}
	for _, t := range load.GetTiers() {
		loadByTier[t.GetTier()] = t
	}
	for tier := range uint32(tierCount) {
		key := metrics.AgentWaitingPrefix + name + "." + strconv.Itoa(int(tier)+1)
		m.SetGauge(key, int64(loadByTier[tier+1].GetWaiting()))
	}
	relayed, wasted := a.agent.TokenCounts()
	m.SetGauge(metrics.AgentRelayedTokensPrefix+name, int64(relayed))
	m.SetGauge(metrics.AgentWastedTokensPrefix+name, int64(wasted))
	m.SetGauge(metrics.AgentPreemptionsPrefix+name, int64(a.agent.PreemptionCount()))
}

// updateGauges sets the gauges of the control host.
func (c *controlRole) updateGauges(m *metrics.Registry) {
	term, _, leading := c.replica.LeaderLease()
	m.SetGauge(metrics.ControlTerm, int64(term))
	m.SetGauge(metrics.ControlLeading, 0)
	if leading {
		m.SetGauge(metrics.ControlLeading, 1)
	}
	m.SetGauge(metrics.Revision, int64(c.stateMachine.TicketStore().Configuration().Revision))
	entries, bytes := c.stateMachine.LedgerSize()
	m.SetGauge(metrics.LedgerEntries, int64(entries))
	m.SetGauge(metrics.LedgerBytes, bytes)
}
