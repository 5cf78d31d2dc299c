package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/limits"
)

// Times of the usage duty.
const (
	usageInterval = time.Second
	usageTimeout  = time.Second
)

// admission enforces the limits of the workspaces at this router.
type admission struct {
	mu      sync.Mutex
	limiter *limits.Limiter
	routers int
}

// newAdmission returns the admission of the only router, until control tells how many there are.
func newAdmission() *admission { return &admission{limiter: limits.New(1), routers: 1} }

// enter admits a query, or refuses it before anything ran.
func (g *admission) enter(q *query) *dispatch.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Update(q.state, g.routers)
	err := g.limiter.Take(time.Now(), q.workspace.Name)
	var exceeded *limits.ExceededError
	if !errors.As(err, &exceeded) {
		return nil
	}
	refused := refusal(dispatch.LimitExceeded, http.StatusTooManyRequests, err.Error())
	refused.RetryAfter = exceeded.RetryAfter
	if q.protected {
		// An earlier call under the same key may have run.
		refused.Execution = dispatch.Unknown
	}
	return refused
}

// leave ends a query that enter admitted.
func (g *admission) leave(q *query) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Finish(time.Now(), q.workspace.Name, q.tokens)
}

// report gathers what this router saw since the last report.
func (g *admission) report(name string) *trefoilkeelv1.ReportUsageRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	request := &trefoilkeelv1.ReportUsageRequest{Router: name}
	for workspace, u := range g.limiter.Report(time.Now()) {
		request.Usage = append(request.Usage, &trefoilkeelv1.WorkspaceUsage{
			Workspace: workspace, Asked: u.Asked, Tokens: u.Tokens, Running: u.Running,
		})
	}
	return request
}

// totals takes over the sums of all routers.
func (g *admission) totals(response *trefoilkeelv1.ReportUsageResponse) {
	sums := make(map[string]limits.Usage, len(response.GetTotals()))
	for _, w := range response.GetTotals() {
		sums[w.GetWorkspace()] = limits.Usage{Asked: w.GetAsked(), Tokens: w.GetTokens(), Running: w.GetRunning()}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.routers = max(int(response.GetRouters()), 1)
	g.limiter.Totals(time.Now(), sums)
}

// ReportUsage sends this router's use of limited workspaces to control once a
// second and takes the sums back, until ctx ends. While control is out of
// reach the router enforces its own part of each limit.
func (rt *Router) ReportUsage(ctx context.Context, hosts []trefoilkeelv1connect.UsageServiceClient) error {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	next := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		callCtx, cancel := context.WithTimeout(ctx, usageTimeout)
		response, err := hosts[next%len(hosts)].ReportUsage(callCtx, connect.NewRequest(rt.admission.report(rt.options.Name)))
		cancel()
		if err != nil {
			next++
			continue
		}
		rt.admission.totals(response.Msg)
	}
}
