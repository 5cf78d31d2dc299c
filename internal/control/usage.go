package control

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/limits"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// usageService sums the usage of limited workspaces on the leader. The sums are
// not replicated: after a change of leader they are complete again one report
// later, and until then each router enforces its own part of a limit.
type usageService struct {
	server *Server
	mu     sync.Mutex
	sum    *limits.UsageSum
}

func newUsageService(s *Server) *usageService {
	return &usageService{server: s, sum: limits.NewUsageSum()}
}

// ReportUsage records a router's report and returns the totals; a follower
// forwards it to the leader. It fails with CodeUnavailable while no leader is
// known.
func (u *usageService) ReportUsage(ctx context.Context, r *connect.Request[pb.ReportUsageRequest]) (*connect.Response[pb.ReportUsageResponse], error) {
	if _, leading := u.server.leaderTerm(); leading {
		return connect.NewResponse(u.recordReport(r.Msg)), nil
	}
	status := u.server.log.Status()
	if r.Msg.GetForwarded() || status.LeaderURL == "" || status.IsLeader {
		return nil, connect.NewError(connect.CodeUnavailable, &NoLeaderError{})
	}
	client := trefoilkeelv1connect.NewUsageServiceClient(u.server.httpClient, status.LeaderURL, connect.WithReadMaxBytes(rpc.MaxMessageBytes))
	forward := &pb.ReportUsageRequest{Router: r.Msg.GetRouter(), Usage: r.Msg.GetUsage(), Forwarded: true}
	response, err := client.ReportUsage(ctx, connect.NewRequest(forward))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.Msg), nil
}

// recordReport replaces the router's earlier report in the sums and returns the
// totals of the reported workspaces.
func (u *usageService) recordReport(report *pb.ReportUsageRequest) *pb.ReportUsageResponse {
	usage := make(map[string]limits.Usage, len(report.GetUsage()))
	for _, w := range report.GetUsage() {
		usage[w.GetWorkspace()] = limits.Usage{RequestsPerSecond: w.GetAsked(), TokensPerSecond: w.GetTokens(), Running: w.GetRunning()}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.server.now()
	u.sum.SetReport(now, report.GetRouter(), usage)
	totals, routers := u.sum.Totals(now, usage)
	response := &pb.ReportUsageResponse{Routers: uint32(routers)}
	for workspace, total := range totals {
		response.Totals = append(response.Totals, &pb.WorkspaceUsage{
			Workspace: workspace, Asked: total.RequestsPerSecond, Tokens: total.TokensPerSecond, Running: total.Running,
		})
	}
	return response
}

// NoLeaderError reports that no leader is known.
type NoLeaderError struct{}

// Error implements the error interface.
func (*NoLeaderError) Error() string { return "no leader is known" }
