package control_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/control"
	"github.com/trefoilkeel/trefoilkeel/internal/follow"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/state"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// The sizes to design for.
const (
	workspaces    = 1500
	workers       = 680
	domains       = 5
	changesPerDay = 3400
)

// fullTicket defines a class, a model, a group and the workspaces.
func fullTicket() *ticket.Ticket {
	t := &ticket.Ticket{
		Number: 1, Author: "bench", Summary: "all workspaces",
		Classes: []ticket.Class{{Name: "counter", Tier: 1,
			FirstTokenTarget:    ticket.Duration(490 * time.Millisecond),
			BetweenTokensTarget: ticket.Duration(77 * time.Millisecond),
			Patience:            ticket.Duration(4 * time.Second), Deadline: ticket.Duration(30 * time.Second)}},
		Models:         []ticket.Model{{Name: "m", MaxOutputTokens: 1000}},
		EndpointGroups: []ticket.EndpointGroup{{Name: "g", Workspaces: []string{"*"}, Models: []string{"m"}}},
	}
	for i := range workspaces {
		t.Workspaces = append(t.Workspaces, workspace(i, 1))
	}
	return t
}

func workspace(i, share int) ticket.Workspace {
	return ticket.Workspace{
		Name:      fmt.Sprintf("workspace-%04d", i),
		KeyHashes: []string{fmt.Sprintf("%x", sha256.Sum256([]byte(fmt.Sprint(i))))},
		Classes:   []string{"counter"}, DefaultClass: "counter", Share: share,
	}
}

// edit is the n-th ordinary change: the share of one workspace.
func edit(i, n int) []byte {
	t := &ticket.Ticket{Number: uint64(n + 2), Author: "bench", Summary: "share",
		Workspaces: []ticket.Workspace{workspace(i, n%9+1)}}
	return must(ticket.Encode(t))
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// rig is a control host with the whole configuration.
type rig struct {
	machine *state.Machine
	server  *control.Server
	log     replica.Log
	url     string
}

func newRig(b *testing.B, s control.Settings) *rig {
	machine := state.New(state.Options{})
	r := &rig{machine: machine, log: replica.NewSolo(machine)}
	r.server = control.New(control.Options{Machine: machine, Log: r.log, Settings: s})
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	r.url = "http://" + listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = r.server.Run(ctx) }()
	go func() { _ = rpc.Serve(ctx, listener, r.server.Handler(), nil, slog.New(slog.DiscardHandler)) }()
	r.submit(must(ticket.Encode(fullTicket())))
	return r
}

func (r *rig) submit(encoded []byte) {
	r.propose(&pb.Command{Command: &pb.Command_Submit{Submit: &pb.SubmitCommand{Ticket: encoded}}})
}

func (r *rig) propose(c *pb.Command) {
	c.Term = 1
	must(r.log.Propose(context.Background(), must(proto.Marshal(c))))
}

// join fills the directory with the workers.
func (r *rig) join() {
	for i := range workers {
		r.propose(&pb.Command{Command: &pb.Command_Join{Join: &pb.JoinCommand{MaxEndpoints: workers, Nonce: "n",
			Endpoint: &pb.Endpoint{Name: fmt.Sprintf("worker-%03d", i), Group: "g", Kind: pb.EndpointKind_ENDPOINT_KIND_ENGINE,
				Host: fmt.Sprintf("host-%03d", i), FailureDomain: fmt.Sprint(i % domains), AgentUrl: "http://10.0.0.1:7000"}}}})
	}
}

// beat sends one heartbeat of every worker with a new load.
func (r *rig) beat(sequence uint64) {
	client := trefoilkeelDirectory(r.url)
	for i := range workers {
		var tiers []*pb.TierLoad
		for tier := range uint32(3) {
			tiers = append(tiers, &pb.TierLoad{Tier: tier + 1, Waiting: varied(sequence, i) % 97,
				Running: varied(sequence, i+1) % 9, OldestWaitUs: uint64(varied(sequence, i+2) % 900_000)})
		}
		_, _ = client.Heartbeat(context.Background(), connect.NewRequest(&pb.HeartbeatRequest{
			Name: fmt.Sprintf("worker-%03d", i), Incarnation: uint64(i + 1), State: pb.EndpointState_ENDPOINT_STATE_ACTIVE,
			Load: &pb.Load{Tiers: tiers, Running: 12, Slots: 16, ServiceTimeUs: uint64(varied(sequence, i+3) % 900_000), FirstTokenUs: 200_000, Sequence: sequence},
		}))
	}
}

// varied returns unlike figures, so that compression gains nothing from the
// likeness of the loads.
func varied(sequence uint64, i int) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, sequence, i)
	return h.Sum32()
}

// counted is a client that counts the bytes of its connections.
func counted(bytes *atomic.Int64) *http.Client {
	c := rpc.Client(nil)
	dialer := &net.Dialer{}
	c.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return &countedConn{Conn: conn, bytes: bytes}, err
	}
	return c
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fleet runs subscribers, each with a connection of its own, and tells of
// each new revision on a channel.
func fleet(b *testing.B, url string, n int, bytes *atomic.Int64, told func(*follow.Client, uint64)) []*follow.Client {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var clients []*follow.Client
	for i := range n {
		c := follow.New(follow.Options{ControlURLs: []string{url}, Subscriber: fmt.Sprintf("router-%03d", i), Kind: "router",
			FailureDomain: fmt.Sprint(i % domains), WithDirectory: true, HTTP: counted(bytes)})
		clients = append(clients, c)
		go func() { _ = c.Run(ctx) }()
		go func() {
			last := uint64(0)
			for {
				select {
				case <-ctx.Done():
					return
				case <-c.Changed():
				}
				if now := c.State(); now != nil && now.Revision > last {
					last = now.Revision
					told(c, last)
				}
			}
		}()
	}
	return clients
}

// BenchmarkSpread measures the time from the submission of a ticket to its
// being in force at each subscriber.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("subscribers=%d", n), func(b *testing.B) {
			r := newRig(b, control.Settings{})
			r.join()
			var bytes atomic.Int64
			arrivals := make(chan time.Time, n)
			fleet(b, r.url, n, &bytes, func(*follow.Client, uint64) { arrivals <- time.Now() })
			for range n {
				<-arrivals
			}
			times := hdrhistogram.New(1, 60_000_000, 3)
			b.ResetTimer()
			for i := range b.N {
				begin := time.Now()
				r.submit(edit(i%workspaces, i))
				for range n {
					_ = times.RecordValue((<-arrivals).Sub(begin).Microseconds())
				}
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(times.Max())/1000, "max-ms")
		})
	}
}

// BenchmarkSubscriber measures what one subscription costs a second, on both
// ends together: idle, with the loads of all workers changing each second,
// and per configuration change.
func BenchmarkSubscriber(b *testing.B) {
	const n = 100
	const span = 8 * time.Second
	r := newRig(b, control.Settings{})
	r.join()
	before := heap()
	var bytes atomic.Int64
	var arrived sync.WaitGroup
	arrived.Add(n)
	const changes = 50
	fleet(b, r.url, n, &bytes, func(_ *follow.Client, revision uint64) {
		if revision == 1 || revision == 1+changes {
			arrived.Done()
		}
	})
	arrived.Wait()
	time.Sleep(2 * time.Second)
	b.ReportMetric(float64(heap()-before)/n/1024, "heap-KB/subscriber")
	b.ReportMetric(float64(bytes.Load())/n/1024, "first-KB/subscriber")

	span1 := measure(&bytes, func() { time.Sleep(span) })
	b.ReportMetric(float64(span1.bytes)/n/span.Seconds(), "idle-B/s")
	b.ReportMetric(100*span1.cpu.Seconds()/n/span.Seconds(), "idle-cpu-%")

	arrived.Add(n)
	span2 := measure(&bytes, func() {
		for i := range changes {
			r.submit(edit(i%workspaces, i))
			time.Sleep(100 * time.Millisecond)
		}
		arrived.Wait()
	})
	perDay := float64(changesPerDay) / 86400
	b.ReportMetric(float64(span2.bytes)/n/changes, "change-B")
	b.ReportMetric(float64(span2.cpu.Microseconds())/n/changes, "change-cpu-us")
	b.ReportMetric(float64(span2.bytes)/n/changes*perDay, "changes-B/s")

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	control3 := measure(&bytes, func() {
		deadline := time.Now().Add(span)
		for sequence := uint64(1); time.Now().Before(deadline) && ctx.Err() == nil; sequence++ {
			next := time.Now().Add(time.Second)
			r.beat(sequence)
			time.Sleep(time.Until(next))
		}
	})
	b.ReportMetric(float64(control3.bytes)/n/span.Seconds(), "loads-B/s")
	b.ReportMetric(100*control3.cpu.Seconds()/n/span.Seconds(), "loads-cpu-%")
}

// usage is what a span took.
type usage struct {
	bytes int64
	cpu   time.Duration
}

func measure(bytes *atomic.Int64, do func()) usage {
	b, c := bytes.Load(), processorTime()
	do()
	return usage{bytes: bytes.Load() - b, cpu: processorTime() - c}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkCatchUp compares the bytes of the log with those of a checkpoint
// over the number of missed revisions.
func BenchmarkCatchUp(b *testing.B) {
	for _, n := range []int{10, workspaces} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) { benchmarkCatchUp(b, n) })
	}
}

func benchmarkCatchUp(b *testing.B, n int) {
	machine := state.New(state.Options{})
	r := &rig{machine: machine, log: replica.NewSolo(machine)}
	first := fullTicket()
	first.Workspaces = first.Workspaces[:n]
	r.submit(must(ticket.Encode(first)))
	for i := range 512 {
		r.submit(edit(i%n, i))
	}
	newest := machine.Configuration()
	checkpoint := len(must(ticket.EncodeState(newest)))
	b.ReportMetric(float64(checkpoint), "checkpoint-B")
	for _, missed := range []uint64{1, 10, 100, 511} {
		list, ok := machine.Tickets(newest.Revision - missed)
		if !ok {
			b.Fatalf("the log does not hold %d revisions", missed)
		}
		size := 0
		for _, t := range list {
			size += len(t.GetTicket())
		}
		b.ReportMetric(float64(size), fmt.Sprintf("log-%d-B", missed))
		b.ReportMetric(float64(checkpoint)/(float64(size)/float64(missed)), "crossover-revisions")
	}
}
