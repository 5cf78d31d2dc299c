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

const (
	usageReportInterval = time.Second
	usageReportTimeout  = time.Second
)

// admissionControl enforces the workspace limits at this router.
type admissionControl struct {
	mu          sync.Mutex
	limiter     *limits.Limiter
	routerCount int
}

// newAdmissionControl assumes that this is the only router until control reports the
// number of routers.
func newAdmissionControl() *admissionControl {
	return &admissionControl{limiter: limits.New(1), routerCount: 1}
}

// admit admits a request, or returns the error if its workspace exceeds a limit.
func (a *admissionControl) admit(req *callerRequest) *dispatch.RequestError {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Configure(req.config, a.routerCount)
	err := a.limiter.Admit(time.Now(), req.workspace.Name)
	var exceeded *limits.ExceededError
	if !errors.As(err, &exceeded) {
		return nil
	}
	reqErr := notRunError(dispatch.LimitExceeded, http.StatusTooManyRequests, err.Error())
	reqErr.RetryAfter = exceeded.RetryAfter
	if req.protected {
		// An earlier request with the same key may have run.
		reqErr.Execution = dispatch.ExecutionUnknown
	}
	return reqErr
}

// release must follow each admission.
func (a *admissionControl) release(req *callerRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Finish(time.Now(), req.workspace.Name, req.outputTokens)
}

// buildUsageReport returns the usage since the last report.
func (a *admissionControl) buildUsageReport(name string) *trefoilkeelv1.ReportUsageRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	request := &trefoilkeelv1.ReportUsageRequest{Router: name}
	for workspace, usage := range a.limiter.Report(time.Now()) {
		request.Usage = append(request.Usage, &trefoilkeelv1.WorkspaceUsage{
			Workspace: workspace, Asked: usage.RequestsPerSecond, Tokens: usage.TokensPerSecond, Running: usage.Running,
		})
	}
	return request
}

// applyTotals stores the usage summed over all routers.
func (a *admissionControl) applyTotals(response *trefoilkeelv1.ReportUsageResponse) {
	totals := make(map[string]limits.Usage, len(response.GetTotals()))
	for _, workspaceTotal := range response.GetTotals() {
		totals[workspaceTotal.GetWorkspace()] = limits.Usage{RequestsPerSecond: workspaceTotal.GetAsked(), TokensPerSecond: workspaceTotal.GetTokens(), Running: workspaceTotal.GetRunning()}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.routerCount = max(int(response.GetRouters()), 1)
	a.limiter.SetTotals(time.Now(), totals)
}

// RunUsageReports sends this router's usage of limited workspaces to control every
// usageReportInterval and receives the totals, until ctx ends. While control is
// unreachable, the router enforces its own share of each limit.
func (rt *Router) RunUsageReports(ctx context.Context, hosts []trefoilkeelv1connect.UsageServiceClient) error {
	ticker := time.NewTicker(usageReportInterval)
	defer ticker.Stop()
	hostIndex := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		callCtx, cancel := context.WithTimeout(ctx, usageReportTimeout)
		response, err := hosts[hostIndex%len(hosts)].ReportUsage(callCtx, connect.NewRequest(rt.admission.buildUsageReport(rt.options.Name)))
		cancel()
		if err != nil {
			hostIndex++
			continue
		}
		rt.admission.applyTotals(response.Msg)
	}
}
