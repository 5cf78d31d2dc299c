package fleet

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/throttle"
)

// Guards against a first event that is too large for every entry, because of long names.
func TestFullDirectoryFitsOneEvent(t *testing.T) {
	g := NewWithT(t)
	name := strings.Repeat("n", directory.MaxNameBytes)
	event := &pb.FleetEvent{}
	for i := range directory.MaxEndpoints {
		e := directory.Endpoint{ID: fmt.Sprintf("%05d", i) + name[5:], Service: name, FailureDomain: name, Version: name, Address: strings.Repeat("n", directory.MaxNameBytes-len(":80")) + ":80", Slots: 1 << 20, State: directory.Ready, StartedUnixMS: 1 << 53, Sequence: 1 << 53}
		g.Expect(e.Check()).To(Succeed())
		event.Endpoints = append(event.Endpoints, endpointToProto(e, time.Now()))
	}
	const otherFields = 1 << 20
	g.Expect(proto.Size(event)).To(BeNumerically("<", rpc.MaxMessageBytes-otherFields))
}

// olderHost is a control host that sends endpoints as an older build accepts them.
type olderHost struct {
	trefoilkeelv1connect.UnimplementedFleetServiceHandler
	events chan *pb.FleetEvent
}

func (h *olderHost) Watch(ctx context.Context, _ *connect.Request[pb.WatchFleetRequest], stream *connect.ServerStream[pb.FleetEvent]) error {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		event := &pb.FleetEvent{}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case event = <-h.events:
		}
		if err := stream.Send(event); err != nil {
			return err
		}
	}
}

// Guards against an entry that uses an odd endpoint which a control host of an older build has
// accepted, or that drops the endpoints beside it.
func TestOddEndpointOfAnOlderControlHostIsLeftOut(t *testing.T) {
	older := &olderHost{events: make(chan *pb.FleetEvent, 1)}
	path, handler := trefoilkeelv1connect.NewFleetServiceHandler(older)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	f, c := startFollower(t, "e", &controlHost{http: server})
	sound := func(id string) *pb.FleetEndpoint {
		return endpointToProto(endpoint(id, 1, directory.Ready), time.Now())
	}
	NewWithT(t).Eventually(func() int { return f.Status().LiveHostCount }, "5s").Should(Equal(1))
	for name, spoil := range map[string]func(*pb.FleetEndpoint){
		"port out of range":        func(p *pb.FleetEndpoint) { p.Address = "10.0.0.9:99999" },
		"no address":               func(p *pb.FleetEndpoint) { p.Address = "" },
		"no ID":                    func(p *pb.FleetEndpoint) { p.Id = "" },
		"ID with a line break":     func(p *pb.FleetEndpoint) { p.Id = "odd\n" },
		"long version":             func(p *pb.FleetEndpoint) { p.Version = strings.Repeat("v", 1<<10) },
		"no state":                 func(p *pb.FleetEndpoint) { p.State = 0 },
		"state of a later build":   func(p *pb.FleetEndpoint) { p.State = 9 },
		"state that wraps":         func(p *pb.FleetEndpoint) { p.State = 1<<8 + uint32(directory.Ready) },
		"many slots":               func(p *pb.FleetEndpoint) { p.Slots = math.MaxUint32 },
		"negative start":           func(p *pb.FleetEndpoint) { p.BornMs = -1 },
		"start out of range":       func(p *pb.FleetEndpoint) { p.BornMs = math.MaxInt64 },
		"last sequence number":     func(p *pb.FleetEndpoint) { p.Sequence = math.MaxUint64 },
		"warmup out of range":      func(p *pb.FleetEndpoint) { p.ColdMs = math.MaxInt64 },
		"warmup that is negative":  func(p *pb.FleetEndpoint) { p.ColdMs = math.MinInt64 },
		"age out of range":         func(p *pb.FleetEndpoint) { p.AgeMs = math.MaxInt64 },
		"age that is out of range": func(p *pb.FleetEndpoint) { p.AgeMs = math.MinInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			id := strings.ReplaceAll(name, " ", "-")
			odd := sound("odd-" + id)
			spoil(odd)
			older.events <- &pb.FleetEvent{Endpoints: []*pb.FleetEndpoint{sound("first-" + id), odd, sound("last-" + id)}}
			g.Eventually(c.state("last-"+id), "2s", "2ms").Should(Equal(directory.Ready))
			g.Expect(c.state("first-" + id)()).To(Equal(directory.Ready))
			g.Expect(c.state(odd.Id)()).To(BeZero())
			g.Expect(f.Status().LiveHostCount).To(Equal(1))
		})
	}
}

// Guards against a limit of another host whose permits can't be counted.
func TestOddLimitOfAnotherHostIsBounded(t *testing.T) {
	g := NewWithT(t)
	for sent, want := range map[float64]float64{math.NaN(): 0, -1: 0, math.Inf(-1): 0, 2.5: 2.5, 1e300: throttle.MaxPerSecond, math.Inf(1): throttle.MaxPerSecond} {
		g.Expect(noticeFromProto(time.Now(), &pb.EndpointLimit{Limited: true, PerSecond: sent}).PerSecond).To(Equal(want), "%v", sent)
	}
}

// Guards against an entry that takes no further endpoint after it has known as many as a directory
// holds, or that keeps what the directory has dropped.
func TestEntryTakesEndpointsBeyondAFullDirectory(t *testing.T) {
	g := NewWithT(t)
	c := &recordingConsumer{endpoints: map[string]directory.State{}}
	f := NewFollower(FollowerOptions{Consumer: c, Logger: discardLogger})
	const perEvent = 1000
	for i := 0; i <= directory.MaxEndpoints; i += perEvent {
		event := &pb.FleetEvent{}
		for j := range perEvent {
			event.Endpoints = append(event.Endpoints, endpointToProto(endpoint(fmt.Sprint("odd-", i+j), 1, directory.Silent), time.Now()))
		}
		f.applyEvent(&host{}, event)
	}
	f.applyEvent(&host{}, &pb.FleetEvent{Endpoints: []*pb.FleetEndpoint{endpointToProto(endpoint("further", 1, directory.Ready), time.Now())}})
	g.Expect(c.state("further")()).To(Equal(directory.Ready))
	present := 0
	for _, state := range c.endpoints {
		if state != directory.Gone {
			present++
		}
	}
	g.Expect(present).To(Equal(f.Status().EndpointCount))
	g.Expect(present).To(BeNumerically("<=", directory.MaxEndpoints))
}
