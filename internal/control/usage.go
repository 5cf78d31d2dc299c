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

// usageService sums the use of limited workspaces at the leader. The sums are
// not replicated: after a change of leader they are whole again one report
// later, and until then each router enforces its own part of a limit.
type usageService struct {
	server *Server
	mu     sync.Mutex
	sum    *limits.Sum
}

// newUsageService returns the service with no reports.
func newUsageService(s *Server) *usageService { return &usageService{server: s, sum: limits.NewSum()} }

// ReportUsage takes a router's report and returns the sums. It is refused with
// CodeUnavailable while no leader is known.
func (u *usageService) ReportUsage(ctx context.Context, r *connect.Request[pb.ReportUsageRequest]) (*connect.Response[pb.ReportUsageResponse], error) {
	if _, leading := u.server.leading(); leading {
		return connect.NewResponse(u.add(r.Msg)), nil
	}
	status := u.server.log.Status()
	if r.Msg.GetForwarded() || status.LeaderURL == "" || status.IsLeader {
		return nil, connect.NewError(connect.CodeUnavailable, &NoLeaderError{})
	}
	client := trefoilkeelv1connect.NewUsageServiceClient(u.server.http, status.LeaderURL, connect.WithReadMaxBytes(rpc.MaxMessageBytes))
	forward := &pb.ReportUsageRequest{Router: r.Msg.GetRouter(), Usage: r.Msg.GetUsage(), Forwarded: true}
	response, err := client.ReportUsage(ctx, connect.NewRequest(forward))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.Msg), nil
}

// add takes one report into the sums.
func (u *usageService) add(report *pb.ReportUsageRequest) *pb.ReportUsageResponse {
	usage := make(map[string]limits.Usage, len(report.GetUsage()))
	for _, w := range report.GetUsage() {
		usage[w.GetWorkspace()] = limits.Usage{Asked: w.GetAsked(), Tokens: w.GetTokens(), Running: w.GetRunning()}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.server.now()
	u.sum.Put(now, report.GetRouter(), usage)
	totals, routers := u.sum.Totals(now, usage)
	response := &pb.ReportUsageResponse{Routers: uint32(routers)}
	for workspace, total := range totals {
		response.Totals = append(response.Totals, &pb.WorkspaceUsage{
			Workspace: workspace, Asked: total.Asked, Tokens: total.Tokens, Running: total.Running,
		})
	}
	return response
}

// NoLeaderError says that no leader is known.
type NoLeaderError struct{}

// Error says so.
func (*NoLeaderError) Error() string { return "no leader is known" }
