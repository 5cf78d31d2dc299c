package control_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/limits"
)

// routerCount is the design size of a deployment.
const routerCount = 350

// BenchmarkUsage measures what one router report costs the leader, and the bytes of
// request and response before compression, by the number of limited workspaces that
// every router reports.
func BenchmarkUsage(b *testing.B) {
	for _, n := range []int{18, 186, workspaceCount} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			now := time.Unix(0, 0)
			sum := limits.NewUsageSum()
			usage := map[string]limits.Usage{}
			report := &pb.ReportUsageRequest{Router: "router-001"}
			for i := range n {
				name := newWorkspace(i, 1).Name
				usage[name] = limits.Usage{RequestsPerSecond: 1.01, TokensPerSecond: 351.2, Running: 20}
				report.Usage = append(report.Usage, &pb.WorkspaceUsage{Workspace: name, Asked: 1.01, Tokens: 351.2, Running: 20})
			}
			for i := range routerCount {
				sum.SetReport(now, fmt.Sprint(i), usage)
			}
			for b.Loop() {
				sum.SetReport(now, "0", usage)
				sum.Totals(now, usage)
			}
			b.ReportMetric(float64(2*proto.Size(report)), "report-B")
		})
	}
}

// BenchmarkAggregate measures the bytes before compression of a heartbeat and of the
// report exchange between a follower and the leader; each takes place once a second.
func BenchmarkAggregate(b *testing.B) {
	const hostCount = 9 // control hosts that share the agents
	load := &pb.Load{Running: 20, Slots: 24, ServiceTimeUs: 9_400_000, FirstTokenUs: 410_000, Sequence: 86_400, BetweenTokensUs: 41_000}
	for tier := range uint32(6) {
		load.Tiers = append(load.Tiers, &pb.TierLoad{Tier: tier + 1, Waiting: 3, Running: 4, OldestWaitUs: 130_000})
	}
	heartbeat := &pb.HeartbeatRequest{Name: "worker-001", Incarnation: 1 << 33, Load: load, Models: []string{"m"}}
	request, response := &pb.ReportRequest{Reporter: 1}, &pb.ReportResponse{Leading: true}
	for i := range engineCount {
		name := fmt.Sprintf("worker-%03d", i)
		if i%hostCount == 0 {
			request.Beats = append(request.Beats, &pb.Beat{Name: name, Incarnation: 1 << 33, AgeMs: 500, Load: load, Models: []string{"m"}})
		}
		response.Loads = append(response.Loads, &pb.EndpointLoad{Name: name, Incarnation: 1 << 33, Load: load})
	}
	for i := range routerCount + engineCount {
		s := &pb.SubscriberReport{Name: fmt.Sprintf("process-%04d", i), Kind: "router", Revision: 3400, AgeMs: 500}
		if i%hostCount == 0 {
			request.Subscribers = append(request.Subscribers, s)
		}
		response.Subscribers = append(response.Subscribers, s)
	}
	var encoded []byte
	for b.Loop() {
		encoded = must(proto.Marshal(response))
	}
	b.ReportMetric(float64(proto.Size(heartbeat)), "heartbeat-B")
	b.ReportMetric(float64(proto.Size(request)), "aggregate-B")
	b.ReportMetric(float64(len(encoded)), "answer-B")
}
