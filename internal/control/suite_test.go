package control_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/admin"
	"github.com/trefoilkeel/trefoilkeel/internal/control"
	"github.com/trefoilkeel/trefoilkeel/internal/follow"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/state"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

// client is shared, so that its idle connections can be closed before a host stops.
var client = rpc.Client(nil)

// host is one control host on loopback.
type host struct {
	url     string
	machine *state.Machine
	stop    func()
}

// start runs a control host at an address ("" for any) until the spec ends.
func start(address string, machine *state.Machine, log replica.Log, s control.Settings, now ...func() time.Time) *host {
	GinkgoHelper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	options := control.Options{Machine: machine, Log: log, Settings: s, Auth: admin.Auth{Open: true}}
	if len(now) > 0 {
		options.Now = now[0]
	}
	server := control.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() { _ = server.Run(ctx); ended <- struct{}{} }()
	go func() {
		_ = rpc.Serve(ctx, listener, server.Handler(), nil, slog.New(slog.DiscardHandler))
		ended <- struct{}{}
	}()
	h := &host{url: "http://" + listener.Addr().String(), machine: machine}
	stopped := false
	h.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		for running := 2; running > 0; {
			client.CloseIdleConnections()
			select {
			case <-ended:
				running--
			case <-time.After(every):
			}
		}
	}
	DeferCleanup(h.stop)
	return h
}

// solo runs a control host whose log is in memory.
func solo(s control.Settings, now ...func() time.Time) *host {
	GinkgoHelper()
	machine := state.New(state.Options{})
	return start("", machine, replica.NewSolo(machine), s, now...)
}

func (h *host) directory() trefoilkeelv1connect.DirectoryServiceClient {
	return trefoilkeelv1connect.NewDirectoryServiceClient(client, h.url)
}

func (h *host) ledger() trefoilkeelv1connect.LedgerServiceClient {
	return trefoilkeelv1connect.NewLedgerServiceClient(client, h.url)
}

// submit sends a ticket that sets the limit named "limit" to n requests a second.
func (h *host) submit(n int) {
	GinkgoHelper()
	answer, err := trefoilkeelv1connect.NewAdminServiceClient(client, h.url).SubmitTicket(
		context.Background(), connect.NewRequest(&pb.SubmitTicketRequest{Ticket: limitTicket(n)}))
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Msg.GetVerdict()).To(Equal(pb.Verdict_VERDICT_ACCEPTED), "%v", answer.Msg.GetFaults())
}

func limitTicket(n int) []byte {
	GinkgoHelper()
	encoded, err := ticket.Encode(&ticket.Ticket{
		Number:  uint64(n),
		Author:  "test",
		Summary: fmt.Sprintf("limit %d", n),
		Limits:  []ticket.Limit{{Name: "limit", RequestsPerSecond: n}},
	})
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

// subscribe runs a client until the spec ends.
func subscribe(urls ...string) *follow.Client {
	c := follow.New(follow.Options{ControlURLs: urls, Subscriber: "router-1", Kind: "router", WithDirectory: true, HTTP: client})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = c.Run(ctx); close(ended) }()
	DeferCleanup(func() { cancel(); <-ended })
	return c
}

// revision returns a poller for the client's revision.
func revision(c *follow.Client) func() uint64 {
	return func() uint64 {
		if c.State() == nil {
			return 0
		}
		return c.State().Revision
	}
}

func endpoint(name string) *pb.Endpoint {
	return &pb.Endpoint{
		Name:          name,
		Group:         "group",
		Kind:          pb.EndpointKind_ENDPOINT_KIND_ENGINE,
		Host:          "host-" + name,
		FailureDomain: "a",
		AgentUrl:      "http://127.0.0.1:1",
	}
}

const (
	within = 10 * time.Second
	every  = 10 * time.Millisecond
)

func drain(h *host, name string) (*connect.Response[pb.DrainResponse], error) {
	return trefoilkeelv1connect.NewAdminServiceClient(client, h.url).Drain(
		context.Background(), connect.NewRequest(&pb.DrainRequest{Endpoint: name}))
}

func trefoilkeelDirectory(url string) trefoilkeelv1connect.DirectoryServiceClient {
	return trefoilkeelv1connect.NewDirectoryServiceClient(client, url)
}

// clock is the time of the hosts, moved by hand.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Now()} }

func (c *clock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// pass moves the clock by a number of seconds, and lets each member finish a
// heartbeat in each of them.
func (c *clock) pass(seconds int, members ...*member) {
	GinkgoHelper()
	for range seconds {
		c.advance(time.Second)
		for _, m := range members {
			begun := m.beats.Load()
			Eventually(m.beats.Load, within, time.Millisecond).Should(BeNumerically(">=", begun+2))
		}
	}
}
