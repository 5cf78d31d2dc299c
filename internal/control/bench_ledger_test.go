package control_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/control"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/state"
)

// BenchmarkLedger measures claims through the ledger service of the leader, without
// the network between caller and leader.
func BenchmarkLedger(b *testing.B) {
	for _, kind := range []string{"memory", "three-synced"} {
		for _, batch := range []int{1, 10, 100} {
			for _, callers := range []int{1, 400} {
				b.Run(fmt.Sprintf("log=%s/batch=%d/callers=%d", kind, batch, callers), func(b *testing.B) {
					s := control.Settings{LedgerMaxBatchOperations: batch}
					if kind == "memory" {
						benchmarkClaims(b, newBenchHost(b, s).server, callers)
						return
					}
					benchmarkClaims(b, startThreeSynced(b, s), callers)
				})
			}
		}
	}
}

func benchmarkClaims(b *testing.B, s *control.Server, callers int) {
	service := control.NewLedgerHandler(s)
	digest := sha256.Sum256([]byte("body"))
	var next atomic.Int64
	var mu sync.Mutex
	times := hdrhistogram.New(1, 60_000_000, 3)
	var group sync.WaitGroup
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			callerTimes := hdrhistogram.New(1, 60_000_000, 3)
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				begin := time.Now()
				answer, err := service.Claim(context.Background(), connect.NewRequest(&pb.ClaimRequest{
					Workspace: "workspace-0001", Key: fmt.Sprintf("key-%d", i), BodyDigest: digest[:],
					RequestId: fmt.Sprintf("request-%d", i), Endpoint: "worker-001", Incarnation: 1}))
				if err != nil || answer.Msg.GetState() != pb.ClaimState_CLAIM_STATE_GRANTED {
					b.Errorf("claim: %v %v", answer, err)
					return
				}
				_ = callerTimes.RecordValue(time.Since(begin).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			times.Merge(callerTimes)
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
}

// startThreeSynced starts three control hosts whose logs are synced to disk, and
// returns the leader.
func startThreeSynced(b *testing.B, s control.Settings) *control.Server {
	var members []replica.Member
	var listeners []net.Listener
	for id := range uint64(3) {
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		listeners = append(listeners, l)
		members = append(members, replica.Member{ID: id + 1, URL: "http://" + l.Addr().String(), IsVoter: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	b.Cleanup(func() { cancel(); group.Wait() })
	var replicas []*replica.Replica
	var servers []*control.Server
	for i, m := range members {
		machine := state.New(state.Options{})
		log := must(replica.Open(replica.Options{ID: m.ID, ClusterName: "bench", DataDir: b.TempDir(), SelfURL: m.URL,
			InitialMembers: members, JoinMembers: members, Bootstrap: true, NewStateMachine: func() replica.StateMachine { return machine }, HTTPClient: rpc.Client(nil), Logger: slog.New(slog.DiscardHandler)}))
		server := control.New(control.Options{StateMachine: machine, Log: log, Settings: s})
		replicas, servers = append(replicas, log), append(servers, server)
		mux := http.NewServeMux()
		mux.Handle("/", server.Handler())
		mux.Handle(log.Handler())
		group.Go(func() { _ = log.Run(ctx) })
		group.Go(func() { _ = server.Run(ctx) })
		group.Go(func() { _ = rpc.Serve(ctx, listeners[i], mux, nil, slog.New(slog.DiscardHandler)) })
	}
	for {
		for i, r := range replicas {
			if _, _, ok := r.LeaderLease(); ok {
				return servers[i]
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}
